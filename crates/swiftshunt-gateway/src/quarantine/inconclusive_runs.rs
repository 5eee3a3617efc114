//! Runs that ended for this gateway before it was seen what they do to their workers
//! ([`swiftshunt_scheduler::quarantine::InconclusiveRuns`]), and the news of workers that have ended.
//!
//! The gateway whose caller has left may have nothing else at the worker. So a gateway that notices the end of a worker
//! tells all others: by way of the worker's collectors, since many gateways may notice it at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use swiftshunt_scheduler::quarantine::{
    Evidence, Fingerprint, InconclusiveRun, LINGER_TIME, WorkerEnd,
};
use swiftshunt_scheduler::selection::ChosenWorker;
use swiftshunt_scheduler::slots::WorkerKey;

use super::probe::probe_connection;
use super::worker_ends::{EndBasis, accused_by};
use super::{MAX_COLLECTORS, Quarantine, RequestContent};
use crate::clock::Clock;
use crate::fleet_state::lock;
use crate::messages::quarantine::{QuarantineMessage, Sight};

/// Time after an inconclusive run of a suspect request at which its worker is probed. A worker that it has ended is not
/// back by then as a rule.
const WATCH_DELAY: Duration = Duration::from_millis(250);
/// Time after an unnoticed end of a worker in which the workers of all inconclusive runs are probed.
const WATCH_ALL_TIME: Duration = Duration::from_secs(60);
/// Most workers that are watched at once.
pub(super) const MAX_WATCHED_RUNS: usize = 32;

/// The request of an inconclusive run, and its worker.
#[derive(Clone, Debug)]
pub(super) struct RequestAtWorker {
    request_content: RequestContent,
    chosen: ChosenWorker,
}

type Run = InconclusiveRun<RequestAtWorker>;

impl Quarantine {
    /// Counts the time at its worker of a run that may have begun and ended neither with an answer nor with a broken
    /// connection, and accuses the run if its worker is found to have ended within [`LINGER_TIME`].
    pub(crate) fn record_inconclusive_run(
        self: &Arc<Self>,
        request_content: &RequestContent,
        chosen: &ChosenWorker,
        time_at_worker: Duration,
    ) {
        if !request_content.may_end_workers() {
            return;
        }
        self.count_exposure(request_content, time_at_worker + LINGER_TIME);
        let now = self.clock.now();
        let run = InconclusiveRun {
            worker: WorkerKey::of(&chosen.incarnation),
            sent_at: now.saturating_sub(time_at_worker),
            ended_at: now,
            content_bytes: request_content.body().len(),
            content: RequestAtWorker {
                request_content: request_content.clone(),
                chosen: chosen.clone(),
            },
        };
        let accused = lock(&self.inconclusive_runs).record_run(run);
        match accused {
            Some((run, worker_ended_at)) => {
                self.report_inconclusive_runs(&[run], worker_ended_at);
            }
            None => self.watch_suspect(request_content, chosen),
        }
    }

    /// Whether the request of an inconclusive run may have ended its worker without anybody noticing: workers have ended
    /// while they ran it, or a worker has ended lately and nobody knows why.
    fn is_suspect(&self, request_content: &RequestContent) -> bool {
        if self.clock.now() < *lock(&self.watch_all_until) {
            return true;
        }
        let table = lock(&self.table);
        !table.is_empty() && table.has_ends(&request_content.fingerprint())
    }

    /// Probes the worker of an inconclusive run of a suspect request a moment later.
    fn watch_suspect(self: &Arc<Self>, request_content: &RequestContent, chosen: &ChosenWorker) {
        if !self.is_suspect(request_content) {
            return;
        }
        let Ok(permit) = Arc::clone(&self.watches).try_acquire_owned() else {
            log::info!(worker = chosen.incarnation.as_str(), watched = MAX_WATCHED_RUNS;
                "too many workers are watched after inconclusive runs of suspect requests; not watching one more");
            return;
        };
        let quarantine = Arc::clone(self);
        let chosen = chosen.clone();
        tokio::spawn(async move {
            tokio::time::sleep(WATCH_DELAY).await;
            if probe_connection(chosen.address).await == Sight::Refuses {
                quarantine.check_refusing(&chosen, EndBasis::OwnProbe);
            }
            drop(permit);
        });
    }

    /// Handles a worker that the directory lists no longer, or only in a later life. If nobody has noticed its end,
    /// watches the workers of inconclusive runs for some time.
    pub(super) fn watch_after_unnoticed_end(&self, incarnation: &str) {
        let worker = WorkerKey::of(incarnation);
        if lock(&self.inconclusive_runs).has_worker_end(worker) {
            return;
        }
        log::info!(worker = incarnation, for_s = WATCH_ALL_TIME.as_secs();
            "the directory lists a worker no longer, and nobody has noticed its end; probing workers after inconclusive runs");
        *lock(&self.watch_all_until) = self.clock.now() + WATCH_ALL_TIME;
    }

    /// Records the end of a worker that this gateway has noticed. Returns the ends to record of the inconclusive runs that
    /// the worker may have worked on.
    pub(super) fn take_accused_runs(
        &self,
        worker: WorkerKey,
        ended_at: Duration,
    ) -> Vec<(Fingerprint, WorkerEnd)> {
        let accused = lock(&self.inconclusive_runs).record_worker_end(worker, ended_at);
        self.ends_of(&accused.runs, ended_at)
    }

    /// Returns the ends to record of runs whose worker ended at `ended_at`.
    fn ends_of(&self, runs: &[Run], ended_at: Duration) -> Vec<(Fingerprint, WorkerEnd)> {
        let now = self.clock.now();
        let unix_ms = |at: Duration| {
            let age = now.saturating_sub(at).as_millis() as u64;
            Clock::unix_ms().saturating_sub(age)
        };
        let ends = runs.iter().flat_map(|run| {
            let end = WorkerEnd {
                worker: run.worker,
                sent_unix_ms: unix_ms(run.sent_at),
                ended_unix_ms: unix_ms(ended_at),
                evidence: Evidence::Suspected,
                part: None,
            };
            accused_by(&run.content.request_content, end)
        });
        ends.collect()
    }

    /// Records and reports the ends of inconclusive runs of one worker.
    fn report_inconclusive_runs(self: &Arc<Self>, runs: &[Run], ended_at: Duration) {
        let Some(run) = runs.first() else {
            return;
        };
        let ends = self.ends_of(runs, ended_at);
        self.report_ended(&run.content.chosen, &ends);
    }

    /// Tells the other gateways that a worker has ended, since they may have inconclusive runs there.
    pub(super) fn announce_worker_end(&self, worker: WorkerKey, ended_at: Duration) {
        let ago = self.clock.now().saturating_sub(ended_at);
        let message = QuarantineMessage::WorkerEnded {
            worker,
            ago_ms: ago.as_millis() as u64,
        };
        let collectors = self.members.ranked_gateways(&worker, MAX_COLLECTORS);
        let receivers = if collectors.contains(&self.members.own_address()) {
            self.members.others()
        } else {
            collectors
        };
        self.send(message, receivers);
    }

    /// Handles the news that a worker has ended.
    pub(super) fn handle_worker_end(
        self: &Arc<Self>,
        worker: WorkerKey,
        ago_ms: u64,
        from: SocketAddr,
    ) {
        let now = self.clock.now();
        let ended_at = now.saturating_sub(Duration::from_millis(ago_ms));
        let accused = lock(&self.inconclusive_runs).record_worker_end(worker, ended_at);
        log::info!(worker = worker.0, from = from.to_string().as_str(), ago_ms, is_new = accused.is_new,
            accused = accused.runs.len(); "another gateway tells that a worker has ended");
        let collectors = self.members.ranked_gateways(&worker, MAX_COLLECTORS);
        if accused.is_new && collectors.contains(&self.members.own_address()) {
            self.announce_worker_end(worker, ended_at);
        }
        self.report_inconclusive_runs(&accused.runs, ended_at);
    }
}
