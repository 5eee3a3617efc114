//! Sends that failed: told to the owner of the worker's cell, unless it is this gateway that fails.

use std::net::SocketAddr;

use swiftshunt_scheduler::selection::ChosenWorker;
use swiftshunt_scheduler::slots::WorkerKey;
use swiftshunt_scheduler::slots::cell::Cell;

use super::Slots;
use crate::fleet_state::lock;
use crate::messages::slots::SlotMessage as Message;

impl Slots {
    /// A send of this gateway to a worker broke, found no connection, or was met by silence.
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
                "sends fail at many workers: the cause may be here, and nobody is told");
            return;
        }
        let owner = self.members.owner(&cell);
        if owner == self.members.own_address() {
            self.record_send_failure(&cell, worker, owner);
        } else {
            self.send(Message::SendFailed { cell, worker }, owner);
        }
    }

    /// Takes word that a send of `from` to a worker failed.
    pub(super) fn record_send_failure(&self, cell: &Cell, worker: WorkerKey, from: SocketAddr) {
        let now = self.clock.now();
        let is_news = {
            let mut allocators = lock(&self.allocators);
            self.allocator(&mut allocators, cell)
                .record_failure(worker, now)
        };
        if is_news {
            self.metrics.workers_failing.inc();
            log::info!(cell = cell.index, worker = worker.0, gateway = from.to_string().as_str();
                "requests keep clear of a worker that failed");
        }
    }
}
