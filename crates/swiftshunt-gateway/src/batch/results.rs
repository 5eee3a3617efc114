//! Writes results and handed-over progress to the journal, and deletes expired jobs from it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftshunt_jobs::{FailedRun, JobRecord, Progress, Settled};
use tokio::sync::Notify;

use super::Batch;
use super::appender::Appended;
use crate::fleet_state::lock;
use crate::metrics::ItemWait;
use crate::running::ItemId;

/// Pause before a write, so that results that arrive close together are written together.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Longest pause after a slow write.
const MAX_WRITE_PAUSE: Duration = Duration::from_secs(1);
/// Pause after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Interval between checks for expired jobs.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// Time after which a written result that has not been read back is written again.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(4);

/// Partition, job and index of an item.
type ItemKey = (u32, String, u32);

struct Entry {
    result: Settled,
    added_at: Duration,
    /// Time of the last successful append; `None` before the first one.
    written_at: Option<Duration>,
}

/// What the next runners of a job's items have to know.
#[derive(Clone, Default)]
struct PendingProgress {
    outputs: Vec<Progress>,
    failed_runs: Vec<FailedRun>,
}

/// Results that have not been read back from the journal yet, and progress that has not been written yet.
#[derive(Default)]
pub(crate) struct PendingResults {
    entries: Mutex<BTreeMap<ItemKey, Entry>>,
    pending_progress: Mutex<BTreeMap<(u32, String), PendingProgress>>,
    added: Notify,
}

impl PendingResults {
    pub(crate) fn add_result(&self, partition: u32, job: &str, result: Settled, now: Duration) {
        let key = (partition, job.to_owned(), result.item);
        let entry = Entry {
            result,
            added_at: now,
            written_at: None,
        };
        lock(&self.entries).insert(key, entry);
        self.added.notify_one();
    }

    /// Queues the progress of an item for its next runner.
    pub(crate) fn add_progress(&self, partition: u32, job: &str, progress: Progress) {
        let mut pending_progress = lock(&self.pending_progress);
        let of_job = pending_progress
            .entry((partition, job.to_owned()))
            .or_default();
        of_job.outputs.push(progress);
        self.added.notify_one();
    }

    /// Queues a failed run of an item for any later runner, since this one may be lost.
    pub(crate) fn add_failed_run(&self, partition: u32, job: &str, failed: FailedRun) {
        let mut pending_progress = lock(&self.pending_progress);
        let of_job = pending_progress
            .entry((partition, job.to_owned()))
            .or_default();
        of_job.failed_runs.push(failed);
        self.added.notify_one();
    }

    /// Removes progress whose append has been tried, but for its failed runs if they are to be written again. What was
    /// queued meanwhile stays.
    fn remove_progress(
        &self,
        partition: u32,
        job: String,
        tried: &PendingProgress,
        keeps_failed_runs: bool,
    ) {
        let mut pending_progress = lock(&self.pending_progress);
        let key = (partition, job);
        let Some(of_job) = pending_progress.get_mut(&key) else {
            return;
        };
        of_job.outputs.drain(..tried.outputs.len());
        if !keeps_failed_runs {
            of_job.failed_runs.drain(..tried.failed_runs.len());
        }
        if of_job.outputs.is_empty() && of_job.failed_runs.is_empty() {
            pending_progress.remove(&key);
        }
    }

    /// Whether all queued progress has been written, or its append has been tried.
    pub(crate) fn is_progress_drained(&self) -> bool {
        lock(&self.pending_progress).is_empty()
    }

    /// Whether the item has a result that has not been read back yet.
    pub(crate) fn contains(&self, partition: u32, job: &str, item: u32) -> bool {
        lock(&self.entries).contains_key(&(partition, job.to_owned(), item))
    }

    /// Returns the items whose results have not been read back, with what each waits for and when it ended.
    pub(super) fn waits(&self) -> Vec<(ItemId, ItemWait, Duration)> {
        let entries = lock(&self.entries);
        let waits = entries.iter().map(|((partition, job, index), entry)| {
            let id = ItemId {
                partition: *partition,
                job: job.clone(),
                index: *index,
            };
            let waits_for = match entry.written_at {
                Some(_) => ItemWait::ReadBack,
                None => ItemWait::Append,
            };
            (id, waits_for, entry.added_at)
        });
        waits.collect()
    }

    /// Whether every result has been written and no progress is queued.
    pub(crate) fn are_results_written(&self) -> bool {
        let written = lock(&self.entries)
            .values()
            .all(|entry| entry.written_at.is_some());
        written && self.is_progress_drained()
    }

    fn is_empty(&self) -> bool {
        lock(&self.entries).is_empty() && self.is_progress_drained()
    }

    /// Returns the results to write now, by partition and job.
    fn due_results(&self, now: Duration) -> BTreeMap<u32, BTreeMap<String, Vec<Settled>>> {
        let mut due: BTreeMap<u32, BTreeMap<String, Vec<Settled>>> = BTreeMap::new();
        for ((partition, job, _), entry) in lock(&self.entries).iter() {
            let awaits_read_back = entry
                .written_at
                .is_some_and(|at| now < at + READ_BACK_TIMEOUT);
            if !awaits_read_back {
                let of_partition = due.entry(*partition).or_default();
                let results = of_partition.entry(job.clone()).or_default();
                results.push(entry.result.clone());
            }
        }
        due
    }

    /// Records when results were appended, so that they are written again only after [`READ_BACK_TIMEOUT`].
    fn mark_written(&self, partition: u32, job: &str, results: &[Settled], now: Duration) {
        let mut entries = lock(&self.entries);
        for result in results {
            if let Some(entry) = entries.get_mut(&(partition, job.to_owned(), result.item)) {
                entry.written_at = Some(now);
            }
        }
    }

    fn partitions(&self) -> BTreeSet<u32> {
        let entries = lock(&self.entries);
        entries.keys().map(|(partition, ..)| *partition).collect()
    }

    fn retain_needed(&self, still_needed: impl Fn(u32, &str, u32) -> bool) {
        lock(&self.entries)
            .retain(|(partition, job, item), _| still_needed(*partition, job, *item));
    }
}

impl Batch {
    /// Writes results until the process ends.
    pub(crate) async fn write_results(self: Arc<Self>) {
        loop {
            if self.results.is_empty() {
                self.results.added.notified().await;
            }
            self.write_progress().await;
            tokio::time::sleep(WRITE_INTERVAL).await;
            // A result is kept until it has been read back, so its partition must be followed until then.
            for partition in self.results.partitions() {
                self.replay.follow_for_call(partition);
            }
            self.results.retain_needed(|partition, job, item| {
                let state = self.replay.state(partition);
                if !state.is_listed {
                    return true;
                }
                let known = state.fold.job(job);
                known.is_some_and(|known| !known.ended && !known.is_settled(item as usize))
            });
            let began = self.dispatcher.clock.now();
            let due = self.results.due_results(began);
            let writes = due.into_iter().map(|(partition, jobs)| {
                let batch = Arc::clone(&self);
                async move { batch.write_partition(partition, jobs).await }
            });
            let written = futures_util::future::join_all(writes).await;
            if written.contains(&false) {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            // A slow log makes the appends to a partition one after the other. The pause keeps the appends of submitted
            // jobs from queueing behind results.
            let took = self.dispatcher.clock.now().saturating_sub(began);
            tokio::time::sleep(took.min(MAX_WRITE_PAUSE)).await;
        }
    }

    /// Writes the queued progress. Outputs are written with a single attempt: if it fails, the next runners start the items
    /// anew. Failed runs are kept until they are written or their job is closed.
    async fn write_progress(&self) {
        let pending_progress = lock(&self.results.pending_progress).clone();
        for ((partition, job), pending) in pending_progress {
            let record = JobRecord::HandedOver {
                job: job.clone(),
                progress: pending.outputs.clone(),
                failed_runs: pending.failed_runs.clone(),
            };
            let outcome = self.appender.append(partition, &record).await;
            log::info!(job = job.as_str(), partition, outputs = pending.outputs.len(),
                failed_runs = pending.failed_runs.len(), outcome:? = outcome;
                "the append of items' progress for their next runner ended");
            let keeps_failed_runs = outcome != Appended::Done && self.is_job_open(partition, &job);
            self.results
                .remove_progress(partition, job, &pending, keeps_failed_runs);
        }
    }

    fn is_job_open(&self, partition: u32, job: &str) -> bool {
        let state = self.replay.state(partition);
        !state.is_listed || state.fold.job(job).is_some_and(|job| !job.is_closed())
    }

    async fn write_partition(&self, partition: u32, jobs: BTreeMap<String, Vec<Settled>>) -> bool {
        let records = jobs.iter().map(|(job, results)| JobRecord::Settled {
            job: job.clone(),
            results: results.clone(),
        });
        let records: Vec<JobRecord> = records.collect();
        let outcome = self.appender.append_all(partition, &records).await;
        if outcome != Appended::Done {
            return false;
        }
        let now = self.dispatcher.clock.now();
        for (job, results) in jobs {
            self.results.mark_written(partition, &job, &results, now);
        }
        true
    }

    /// Drops closed jobs that were first seen longer ago than the configured time for keeping results.
    pub(crate) async fn drop_expired_jobs(self: Arc<Self>) {
        loop {
            tokio::time::sleep(EXPIRY_CHECK_INTERVAL).await;
            let retention = self.settings.batch.keep_results + EXPIRY_CHECK_INTERVAL;
            let Some(horizon) = self.dispatcher.clock.now().checked_sub(retention) else {
                continue;
            };
            for partition in 0..self.replay.partition_count() {
                let expired = self.replay.state(partition).fold.expired(horizon);
                for job in expired {
                    self.drop_job(partition, &job).await;
                }
            }
        }
    }

    /// Forgets a job and, if this gateway holds its partition, deletes its records from the log.
    async fn drop_job(&self, partition: u32, job: &str) {
        let keys = self.replay.state(partition).fold.forget(job);
        self.bodies.drop_job(partition, job);
        if !self.leases.holds(partition) {
            return;
        }
        let outcome = self.appender.drop_keys(partition, keys).await;
        log::info!(job, partition, outcome:? = outcome;
            "the deletion of an expired job from the journal ended");
    }
}
