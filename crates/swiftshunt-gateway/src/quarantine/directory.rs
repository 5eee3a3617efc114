//! What the directory says of workers that are said to have ended: it proves ends, and refutes them.

use std::net::SocketAddr;
use std::sync::Arc;

use swiftshunt_scheduler::listed::Departed;
use swiftshunt_scheduler::quarantine::{Evidence, LAPSE_SETTLE_DELAY};
use swiftshunt_scheduler::slots::WorkerKey;

use super::Quarantine;
use crate::beliefs::lock;
use crate::clock::Clock;
use crate::messages::quarantine::QuarantineMessage;

impl Quarantine {
    /// The directory lists a worker that was not known, or not so; `before` is the life that it had under its
    /// identifier. Another life at its address has ended; a life that had lapsed is there again.
    pub(crate) fn listed(&self, incarnation: &str, address: SocketAddr, before: Option<&str>) {
        if lock(&self.lapsed_workers).remove_returned(WorkerKey::of(incarnation)) {
            self.refute(
                WorkerKey::of(incarnation),
                Evidence::Proved,
                "it is listed again",
            );
        }
        let mut ended = self.doubted_at(address);
        ended.extend(before.map(str::to_owned));
        for life in ended.iter().filter(|life| *life != incarnation) {
            self.prove(life);
        }
    }

    /// Entries of workers lapsed: after a while it shows whether they have ended.
    pub(crate) fn departed(self: &Arc<Self>, departed: &[Departed]) {
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
            quarantine.judge_departures(&incarnations);
        });
    }

    fn judge_departures(&self, incarnations: &[String]) {
        let ended = {
            let selector = self.beliefs.selector();
            let listed = |zone: &str| selector.listed_in(zone);
            lock(&self.lapsed_workers).take_ended(listed, self.clock.now())
        };
        let is_ended = |life: &&String| ended.contains(&WorkerKey::of(life));
        for life in incarnations.iter().filter(is_ended) {
            self.prove(life);
        }
    }

    /// It is proved that a worker's life has ended.
    fn prove(&self, incarnation: &str) {
        let doubted = self.doubted_ends(incarnation);
        let worker = WorkerKey::of(incarnation);
        let suspected = lock(&self.table).mark_proved(worker, Clock::unix_ms(), self.clock.now());
        if doubted.is_empty() && suspected.is_empty() {
            return;
        }
        log::info!(worker = incarnation, suspected = suspected.len(), doubted = doubted.len();
            "the directory proves that a worker has ended while it ran requests");
        self.metrics.workers_ended.inc();
        self.saw(&doubted);
        self.saw(&suspected);
    }

    /// The tail of the directory was read here, in which these workers renewed their entries.
    pub(crate) fn renewed(&self, incarnations: &[String]) {
        let accused: Vec<WorkerKey> = lock(&self.table).ended_workers().collect();
        let renewed: Vec<WorkerKey> = incarnations
            .iter()
            .map(|life| WorkerKey::of(life))
            .collect();
        let alive = lock(&self.renewal_tracker).record_reading(accused.into_iter(), &renewed);
        for worker in alive {
            self.refute(worker, Evidence::Proved, "it renews its entry");
        }
    }

    /// It is refuted that a worker has ended, or nothing says so any more: everybody forgets it.
    pub(super) fn refute(&self, worker: WorkerKey, evidence: Evidence, reason: &str) {
        let refuted = lock(&self.table).refute(worker, evidence);
        if refuted.is_empty() {
            return;
        }
        log::info!(worker = worker.0, ends = refuted.len(), reason;
            "it is not true that a worker has ended");
        self.metrics.ends_refuted.inc();
        for (fingerprint, end) in refuted {
            self.unrecorded.dropped(fingerprint, &end);
        }
        self.tell(
            QuarantineMessage::Refuted { worker, evidence },
            self.members.others(),
        );
    }
}
