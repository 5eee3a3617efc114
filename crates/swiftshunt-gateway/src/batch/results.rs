//! Writes results and handed-over progress to the journal, and deletes expired jobs from it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftshunt_jobs::{JobRecord, Progress, Settled};
use tokio::sync::Notify;

use super::Batch;
use super::appender::Appended;
use crate::fleet_state::lock;

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
    /// Time of the last successful append; `None` before the first one.
    written_at: Option<Duration>,
}

/// Results that have not been read back from the journal yet, and progress that has not been written yet.
#[derive(Default)]
pub(crate) struct PendingResults {
    entries: Mutex<BTreeMap<ItemKey, Entry>>,
    pending_progress: Mutex<BTreeMap<(u32, String), Vec<Progress>>>,
    added: Notify,
}

impl PendingResults {
    pub(crate) fn add_result(&self, partition: u32, job: &str, result: Settled) {
        let key = (partition, job.to_owned(), result.item);
        let entry = Entry {
            result,
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
        of_job.push(progress);
        self.added.notify_one();
    }

    /// Whether the append of all queued progress has been tried.
    pub(crate) fn is_progress_drained(&self) -> bool {
        lock(&self.pending_progress).is_empty()
    }

    /// Whether the item has a result that has not been read back yet.
    pub(crate) fn contains(&self, partition: u32, job: &str, item: u32) -> bool {
        lock(&self.entries).contains_key(&(partition, job.to_owned(), item))
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

    /// Writes the queued progress with a single attempt: if it fails, the next runners start the items anew.
    async fn write_progress(&self) {
        let pending_progress = lock(&self.results.pending_progress).clone();
        for ((partition, job), progress) in pending_progress {
            let record = JobRecord::HandedOver {
                job: job.clone(),
                progress,
            };
            let outcome = self.appender.append(partition, &record).await;
            log::info!(job = job.as_str(), partition, outcome:? = outcome;
                "the append of items' progress for their next runner ended");
            lock(&self.results.pending_progress).remove(&(partition, job));
        }
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
        if !self.leases.holds(partition) {
            return;
        }
        let outcome = self.appender.drop_keys(partition, keys).await;
        log::info!(job, partition, outcome:? = outcome;
            "the deletion of an expired job from the journal ended");
    }
}
