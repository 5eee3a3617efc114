//! Sends that failed: told to the owner of the worker's cell, unless it is this gateway that fails.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use swiftshunt_scheduler::selection::Chosen;
use swiftshunt_scheduler::slots::WorkerKey;
use swiftshunt_scheduler::slots::cell::Cell;

use super::Slots;
use super::message::SlotMessage as Message;
use crate::beliefs::lock;

/// Time within which failures at many workers show that this gateway's own links fail: connections
/// that are reset together show it within milliseconds, time-outs within theirs.
const TOGETHER: Duration = Duration::from_millis(300);
/// Share of a service's workers at which sends may fail within that time before this gateway takes
/// itself for the cause: racks and zones of workers are smaller.
const MOST_FAILING_SHARE: usize = 4;
/// The same where a service has few workers.
const FEWEST_FAILING: usize = 3;

/// Workers at which sends of this gateway failed a moment ago.
#[derive(Default)]
pub(super) struct OwnFailures {
    recent: VecDeque<(Duration, WorkerKey)>,
}

impl OwnFailures {
    /// Records a failure; tells at how many workers sends have failed of late.
    fn add(&mut self, worker: WorkerKey, now: Duration) -> usize {
        self.recent.retain(|(at, _)| now < *at + TOGETHER);
        if !self.recent.iter().any(|(_, key)| *key == worker) {
            self.recent.push_back((now, worker));
        }
        self.recent.len()
    }
}

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
        let failing = lock(&self.own_failures).add(worker, now);
        if failing > FEWEST_FAILING.max(workers / MOST_FAILING_SHARE) {
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
            let mut books = lock(&self.books);
            self.book(&mut books, cell).failed(worker, now)
        };
        if is_news {
            self.metrics.workers_failing.inc();
            log::info!(cell = cell.index, worker = worker.0, gateway = from.to_string().as_str();
                "requests keep clear of a worker that failed");
        }
    }
}
