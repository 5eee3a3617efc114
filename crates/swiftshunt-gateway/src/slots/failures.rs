//! Sends that failed: told to the owner of the worker's cell, unless it is this gateway that fails.

use std::net::SocketAddr;

use swiftshunt_scheduler::selection::Chosen;
use swiftshunt_scheduler::slots::WorkerKey;
use swiftshunt_scheduler::slots::cell::Cell;

use super::Slots;
use crate::beliefs::lock;
use crate::messages::slots::SlotMessage as Message;

impl Slots {
    /// A send of this gateway to a worker broke, found no connection, or was met by silence.
    pub(crate) fn send_failed(&self, chosen: &Chosen) {
        if !self.beliefs.has_batch(&chosen.service) {
            return;
        }
        let now = self.clock.now();
        let worker = WorkerKey::of(&chosen.incarnation);
        let (cell, workers) = {
            let selector = self.beliefs.selector();
            (
                selector.cell_of(chosen),
                selector.ready_count(&chosen.service),
            )
        };
        let (failing, is_own_fault) = {
            let mut failures = lock(&self.own_failures);
            failures.add(&chosen.incarnation, now);
            (failures.workers(), failures.are_own(workers))
        };
        if is_own_fault {
            log::info!(worker = chosen.incarnation.as_str(), failing, workers;
                "sends fail at many workers: the cause may be here, and nobody is told");
            return;
        }
        let owner = self.members.owner(&cell);
        if owner == self.members.own() {
            self.worker_failed(&cell, worker, owner);
        } else {
            self.send(Message::SendFailed { cell, worker }, owner);
        }
    }

    /// Takes word that a send of `from` to a worker failed.
    pub(super) fn worker_failed(&self, cell: &Cell, worker: WorkerKey, from: SocketAddr) {
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
