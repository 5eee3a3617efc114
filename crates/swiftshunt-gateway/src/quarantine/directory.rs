//! What the directory says of workers that are said to have ended: it proves ends, and refutes them.

use std::net::SocketAddr;
use std::sync::Arc;

use swiftshunt_scheduler::listed::RemovedWorker;
use swiftshunt_scheduler::quarantine::{Evidence, LAPSE_SETTLE_DELAY};
use swiftshunt_scheduler::slots::WorkerKey;

use super::Quarantine;
use crate::clock::Clock;
use crate::fleet_state::lock;
use crate::messages::quarantine::QuarantineMessage;

impl Quarantine {
    /// The directory lists a worker that was not known, or not so; `before` is the life that it had under its
    /// identifier. Another life at its address has ended; a life that had lapsed is there again.
    pub(crate) fn handle_listing(
        &self,
        incarnation: &str,
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
        let mut ended = self.doubted_at(address);
        ended.extend(before.map(str::to_owned));
        for life in ended.iter().filter(|life| *life != incarnation) {
            self.prove_end(life);
        }
    }

    /// Entries of workers lapsed: after a while it shows whether they have ended.
    pub(crate) fn handle_lapsed_workers(self: &Arc<Self>, departed: &[RemovedWorker]) {
        if departed.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut lapsed_workers = lock(&self.lapsed_workers);
        for worker in departed {
            let key = WorkerKey::of(&worker.incarnation);
            lapsed_workers.record_lapse(key, &worker.zone, now);
        }
        drop(lapsed_workers);
        let quarantine = Arc::clone(self);
        let incarnations: Vec<String> = departed.iter().map(|it| it.incarnation.clone()).collect();
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
        let is_ended = |life: &&String| ended.contains(&WorkerKey::of(life));
        for life in incarnations.iter().filter(is_ended) {
            self.prove_end(life);
        }
    }

    /// It is proved that a worker's life has ended.
    fn prove_end(&self, incarnation: &str) {
        let doubted = self.take_doubted_ends(incarnation);
        let worker = WorkerKey::of(incarnation);
        let suspected = lock(&self.table).mark_proved(worker, Clock::unix_ms(), self.clock.now());
        if doubted.is_empty() && suspected.is_empty() {
            return;
        }
        log::info!(worker = incarnation, suspected = suspected.len(), doubted = doubted.len();
            "the directory proves that a worker has ended while it ran requests");
        self.metrics.workers_ended.inc();
        self.publish_ends(&doubted);
        self.publish_ends(&suspected);
    }

    /// The tail of the directory was read here, in which these workers renewed their entries.
    pub(crate) fn handle_renewals(&self, incarnations: &[String]) {
        let accused: Vec<WorkerKey> = lock(&self.table).ended_workers().collect();
        let renewed: Vec<WorkerKey> = incarnations
            .iter()
            .map(|life| WorkerKey::of(life))
            .collect();
        let alive = lock(&self.renewal_tracker).record_reading(accused.into_iter(), &renewed);
        for worker in alive {
            self.refute_end(worker, Evidence::Proved, "it renews its entry");
        }
    }

    /// It is refuted that a worker has ended, or nothing says so any more: everybody forgets it.
    pub(super) fn refute_end(&self, worker: WorkerKey, evidence: Evidence, reason: &str) {
        let refuted = lock(&self.table).refute(worker, evidence);
        if refuted.is_empty() {
            return;
        }
        log::info!(worker = worker.0, ends = refuted.len(), reason;
            "it is not true that a worker has ended");
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
