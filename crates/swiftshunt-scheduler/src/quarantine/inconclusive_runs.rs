//! Runs that ended neither with an answer nor with a broken connection: their caller disconnected, a
//! time limit passed, they were cancelled, or their worker answered that it failed.
//!
//! Such a run shows nothing by itself. Its worker may still work on it for a moment, and if the worker
//! ends within that moment, whoever notices it, the run is accused as one that broke off.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::slots::WorkerKey;

/// Time after the end of a run for the sender within which its worker may still work on it: a closed
/// connection stops the run by then.
pub const LINGER_TIME: Duration = Duration::from_millis(500);
/// Time for which a run is kept: its worker ends within [`LINGER_TIME`], and another gateway may take
/// as long to find that out and to tell it.
const RUN_TTL: Duration = Duration::from_millis(1_500);
/// Time for which the end of a worker is remembered, for runs that end later for the sender.
const WORKER_END_TTL: Duration = Duration::from_secs(8);
/// Time within which several gateways notice the same end of a worker.
const SAME_END_WINDOW: Duration = Duration::from_secs(1);
/// Most runs that are kept.
const MAX_RUNS: usize = 512;
/// Most bytes of content that are kept. The oldest runs give way.
const MAX_CONTENT_BYTES: usize = 4 << 20;
/// Most ends of workers that are remembered.
const MAX_WORKER_ENDS: usize = 1_024;

/// A run that ended neither with an answer nor with a broken connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InconclusiveRun<C> {
    /// The worker.
    pub worker: WorkerKey,
    /// When the request was sent to the worker.
    pub sent_at: Duration,
    /// When the run ended for the sender.
    pub ended_at: Duration,
    /// Size of the content in bytes.
    pub content_bytes: usize,
    /// What the run was.
    pub content: C,
}

impl<C> InconclusiveRun<C> {
    /// Whether the worker may have worked on the run when it ended at `worker_ended_at`.
    fn may_have_been_running(&self, worker_ended_at: Duration) -> bool {
        self.sent_at < worker_ended_at && worker_ended_at <= self.ended_at + LINGER_TIME
    }
}

/// What follows from the end of a worker.
#[derive(Debug, PartialEq, Eq)]
pub struct AccusedRuns<C> {
    /// The runs that the worker may have worked on.
    pub runs: Vec<InconclusiveRun<C>>,
    /// Whether this end of the worker was not known.
    pub is_new: bool,
}

/// The inconclusive runs of one gateway, and the recent ends of workers. All times are on the
/// gateway's clock.
#[derive(Debug)]
pub struct InconclusiveRuns<C> {
    runs: VecDeque<InconclusiveRun<C>>,
    content_bytes: usize,
    /// When workers ended.
    worker_ends: HashMap<WorkerKey, Duration>,
}

impl<C> Default for InconclusiveRuns<C> {
    fn default() -> Self {
        Self {
            runs: VecDeque::new(),
            content_bytes: 0,
            worker_ends: HashMap::new(),
        }
    }
}

impl<C> InconclusiveRuns<C> {
    /// Keeps a run that has just ended. Returns it instead, with the time at which its worker ended, if
    /// the worker is known to have ended while it may have worked on it.
    pub fn record_run(
        &mut self,
        run: InconclusiveRun<C>,
    ) -> Option<(InconclusiveRun<C>, Duration)> {
        self.remove_expired(run.ended_at);
        let worker_end = self.worker_ends.get(&run.worker).copied();
        if let Some(worker_ended_at) = worker_end
            && run.may_have_been_running(worker_ended_at)
        {
            return Some((run, worker_ended_at));
        }
        self.content_bytes += run.content_bytes;
        self.runs.push_back(run);
        while self.runs.len() > MAX_RUNS || self.content_bytes > MAX_CONTENT_BYTES {
            self.remove_oldest();
        }
        None
    }

    /// Records that a worker ended at `at`. Removes and returns the runs that it may have worked on.
    pub fn record_worker_end(&mut self, worker: WorkerKey, at: Duration) -> AccusedRuns<C> {
        self.remove_expired(at);
        let known = self.worker_ends.get(&worker).copied();
        let is_new = known.is_none_or(|known| at.abs_diff(known) > SAME_END_WINDOW);
        if is_new {
            self.evict_worker_end();
            self.worker_ends.insert(worker, at);
        }
        let kept = std::mem::take(&mut self.runs);
        let is_accused =
            |run: &InconclusiveRun<C>| run.worker == worker && run.may_have_been_running(at);
        let (accused, kept): (VecDeque<_>, VecDeque<_>) = kept.into_iter().partition(is_accused);
        self.runs = kept;
        self.content_bytes = self.runs.iter().map(|run| run.content_bytes).sum();
        AccusedRuns {
            runs: accused.into(),
            is_new,
        }
    }

    /// Returns whether a worker is known to have ended recently.
    pub fn has_worker_end(&self, worker: WorkerKey) -> bool {
        self.worker_ends.contains_key(&worker)
    }

    /// Forgets that a worker has ended, since it is refuted or only this gateway has seen it.
    pub fn forget_worker_end(&mut self, worker: WorkerKey) {
        self.worker_ends.remove(&worker);
    }

    fn remove_expired(&mut self, now: Duration) {
        while (self.runs.front()).is_some_and(|run| run.ended_at + RUN_TTL < now) {
            self.remove_oldest();
        }
        self.worker_ends.retain(|_, at| now < *at + WORKER_END_TTL);
    }

    fn remove_oldest(&mut self) {
        if let Some(run) = self.runs.pop_front() {
            self.content_bytes -= run.content_bytes;
        }
    }

    fn evict_worker_end(&mut self) {
        if self.worker_ends.len() < MAX_WORKER_ENDS {
            return;
        }
        let oldest = self.worker_ends.iter().min_by_key(|(_, at)| **at);
        if let Some(worker) = oldest.map(|(worker, _)| *worker) {
            self.worker_ends.remove(&worker);
        }
    }
}
