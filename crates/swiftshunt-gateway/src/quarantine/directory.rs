//! Evidence from the worker directory: it proves or refutes that a worker has ended.

use std::net::SocketAddr;
use std::sync::Arc;

use swiftshunt_scheduler::listed::RemovedWorker;
use swiftshunt_scheduler::quarantine::{Evidence, LAPSE_SETTLE_DELAY, NextLife};
use swiftshunt_scheduler::slots::WorkerKey;

use super::Quarantine;
use crate::clock::Clock;
use crate::fleet_state::lock;
use crate::messages::quarantine::QuarantineMessage;

impl Quarantine {
    /// Handles a new or changed worker entry in the directory. `before` is the previous incarnation under the worker's
    /// identifier, and `started_unix_ms` the start of the listed one, if its entry tells it. The entry proves that the
    /// previous incarnation and others at the address have ended. If the incarnation's own entry had lapsed, it refutes
    /// that this incarnation has ended.
    pub(crate) fn handle_listing(
        &self,
        incarnation: &str,
        started_unix_ms: Option<u64>,
        address: SocketAddr,
        before: Option<&str>,
    ) {
        if lock(&self.lapsed_workers).remove_returned(WorkerKey::of(incarnation)) {
            self.refute_end(
                WorkerKey::of(incarnation),
                Evidence::Proved,
                "it is listed again",
            );
        }
        let before = before.filter(|before| *before != incarnation);
        if let Some(before) = before {
            self.watch_after_unnoticed_end(before);
            let next = started_unix_ms.map(|started_unix_ms| NextLife {
                worker: WorkerKey::of(incarnation),
                started_unix_ms,
            });
            self.prove_end(before, next);
        }
        let mut others = self.doubted_incarnations_at(address);
        others.retain(|other| other != incarnation && Some(other.as_str()) != before);
        for other in others {
            self.prove_end(&other, None);
        }
    }

    /// Handles workers whose entries lapsed: after [`LAPSE_SETTLE_DELAY`], checks which of them have ended.
    pub(crate) fn handle_lapsed_workers(self: &Arc<Self>, lapsed: &[RemovedWorker]) {
        if lapsed.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut lapsed_workers = lock(&self.lapsed_workers);
        for worker in lapsed {
            let key = WorkerKey::of(&worker.incarnation);
            lapsed_workers.record_lapse(key, &worker.zone, now);
        }
        drop(lapsed_workers);
        for worker in lapsed.iter().filter(|worker| worker.was_ready) {
            self.watch_after_unnoticed_end(&worker.incarnation);
        }
        let quarantine = Arc::clone(self);
        let incarnations: Vec<String> = lapsed.iter().map(|it| it.incarnation.clone()).collect();
        tokio::spawn(async move {
            tokio::time::sleep(LAPSE_SETTLE_DELAY).await;
            quarantine.prove_lapsed_ends(&incarnations);
        });
    }

    fn prove_lapsed_ends(&self, incarnations: &[String]) {
        let ended = {
            let selector = self.fleet_state.selector();
            let listed = |zone: &str| selector.listed_count(zone);
            lock(&self.lapsed_workers).take_ended(listed, self.clock.now())
        };
        let is_ended = |incarnation: &&String| ended.contains(&WorkerKey::of(incarnation));
        for incarnation in incarnations.iter().filter(is_ended) {
            self.prove_end(incarnation, None);
        }
    }

    /// Handles the proof that a worker's incarnation has ended, and publishes the ends of workers that follow from it.
    /// `next` is the incarnation that followed it under the worker's identifier: ends of requests that reached it are
    /// recorded for it instead.
    fn prove_end(&self, incarnation: &str, next: Option<NextLife>) {
        let doubted = self.take_doubted_ends(incarnation);
        let worker = WorkerKey::of(incarnation);
        let now = self.clock.now();
        let (moved, suspected) = {
            let mut table = lock(&self.table);
            let moved = next.map(|next| table.record_next_life(worker, next, now));
            let suspected = table.mark_proved(worker, Clock::unix_ms(), now);
            (moved.unwrap_or_default(), suspected)
        };
        if doubted.is_empty() && suspected.is_empty() && moved.is_empty() {
            return;
        }
        log::info!(worker = incarnation, suspected = suspected.len(), doubted = doubted.len(), moved = moved.len();
            "the directory proves that a worker has ended while it ran requests");
        self.metrics.workers_ended.inc();
        for (fingerprint, end) in &moved {
            self.pending_records.add_removal(*fingerprint, end);
        }
        self.publish_ends(&moved);
        self.publish_ends(&doubted);
        self.publish_ends(&suspected);
    }

    /// Handles a read of the directory's tail in which these workers renewed their entries.
    pub(crate) fn handle_renewals(&self, incarnations: &[String]) {
        let workers_with_ends: Vec<WorkerKey> = lock(&self.table).ended_workers().collect();
        let renewed: Vec<WorkerKey> = incarnations
            .iter()
            .map(|incarnation| WorkerKey::of(incarnation))
            .collect();
        let alive =
            lock(&self.renewal_tracker).record_reading(workers_with_ends.into_iter(), &renewed);
        for worker in alive {
            self.refute_end(worker, Evidence::Proved, "it renews its entry");
        }
    }

    /// Removes the ends of a worker up to the given evidence, here, in the log and at all other gateways.
    pub(super) fn refute_end(&self, worker: WorkerKey, evidence: Evidence, reason: &str) {
        lock(&self.inconclusive_runs).forget_worker_end(worker);
        let refuted = lock(&self.table).refute(worker, evidence);
        if refuted.is_empty() {
            return;
        }
        log::info!(worker = worker.0, ends = refuted.len(), reason;
            "removing the recorded ends of a worker that has not ended");
        self.metrics.ends_refuted.inc();
        for (fingerprint, end) in refuted {
            self.pending_records.add_removal(fingerprint, &end);
        }
        self.send(
            QuarantineMessage::Refuted { worker, evidence },
            self.members.others(),
        );
    }
}
