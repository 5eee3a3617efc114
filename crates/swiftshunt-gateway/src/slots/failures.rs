//! Reports failed sends to the owner of the worker's cell, unless the cause seems to be this gateway.

use std::net::SocketAddr;

use swiftshunt_scheduler::selection::ChosenWorker;
use swiftshunt_scheduler::slots::WorkerKey;
use swiftshunt_scheduler::slots::cell::Cell;

use super::Slots;
use crate::fleet_state::lock;
use crate::messages::slots::SlotMessage as Message;

impl Slots {
    /// Reports that a send of this gateway to a worker broke off, got no connection or got no answer.
    pub(crate) fn report_send_failure(&self, chosen: &ChosenWorker) {
        if !self.fleet_state.has_batch(&chosen.service) {
            return;
        }
        let now = self.clock.now();
        let worker = WorkerKey::of(&chosen.incarnation);
        let (cell, workers) = {
            let selector = self.fleet_state.selector();
            (
                selector.cell_of(chosen),
                selector.ready_count(&chosen.service),
            )
        };
        let (failing, is_local_fault) = {
            let mut failures = lock(&self.local_faults);
            failures.record_failure(&chosen.incarnation, now);
            (failures.failing_workers(), failures.is_local_fault(workers))
        };
        if is_local_fault {
            log::info!(worker = chosen.incarnation.as_str(), failing, workers;
                "sends fail at many workers; suspecting a local fault and not reporting this failure");
            return;
        }
        let owner = self.members.owner(&cell);
        if owner == self.members.own_address() {
            self.record_send_failure(&cell, worker, owner);
        } else {
            self.send(Message::SendFailed { cell, worker }, owner);
        }
    }

    /// Records that a send from gateway `from` to a worker failed.
    pub(super) fn record_send_failure(&self, cell: &Cell, worker: WorkerKey, from: SocketAddr) {
        let now = self.clock.now();
        let is_newly_failing = {
            let mut allocators = lock(&self.allocators);
            self.allocator(&mut allocators, cell)
                .record_failure(worker, now)
        };
        if is_newly_failing {
            self.metrics.workers_failing.inc();
            log::info!(cell = cell.index, worker = worker.0, gateway = from.to_string().as_str();
                "sends to a worker fail; new requests avoid it");
        }
    }
}
