//! The state of the jobs of a partition, as the fold of its records in the order of their offsets.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use swiftshunt_types::total_tokens;

use crate::{FailedRun, JobRecord, JobSpec, Progress, Settled};

/// The state of a batch job.
#[derive(Debug)]
pub struct Job {
    /// The job as its caller submitted it, without the bodies of its items if whoever applied its acceptance took them.
    pub spec: Arc<JobSpec>,
    /// The first result of each item that has one, in the order in which they were recorded; the index of a result
    /// is its position.
    pub results: Vec<Settled>,
    settled: Vec<bool>,
    progress: BTreeMap<u32, Progress>,
    /// The failed runs of unsettled items.
    failed_runs: BTreeSet<FailedRun>,
    /// Whether the caller ended the job; unsettled items of an ended job do not run.
    pub ended: bool,
    /// When this process first read the job's acceptance, by its own monotonic clock; this is never before
    /// the caller submitted the job.
    pub first_seen: Duration,
    /// Keys of the frames of all records of the job, for dropping them from the log.
    keys: Vec<Vec<u8>>,
}

/// A page of a job's results.
#[derive(Debug)]
pub struct Page<'j> {
    /// Number of items of the job.
    pub total: usize,
    /// The results, in the order of their positions.
    pub results: &'j [Settled],
}

impl Job {
    fn new(spec: JobSpec, now: Duration) -> Self {
        Self {
            settled: vec![false; spec.items.len()],
            spec: Arc::new(spec),
            results: Vec::new(),
            progress: BTreeMap::new(),
            failed_runs: BTreeSet::new(),
            ended: false,
            first_seen: now,
            keys: Vec::new(),
        }
    }

    /// Returns whether no more items are to run: the caller ended the job, or every item has a result.
    pub fn is_closed(&self) -> bool {
        self.ended || self.results.len() == self.spec.items.len()
    }

    /// Returns whether the item has a result; also true for an index beyond the job's items.
    pub fn is_settled(&self, item: usize) -> bool {
        self.settled.get(item).copied().unwrap_or(true)
    }

    /// Returns the key of a frame of the job's acceptance.
    pub fn acceptance_key(&self) -> Option<&[u8]> {
        self.keys.first().map(Vec::as_slice)
    }

    /// Returns the progress that an earlier runner recorded for an unsettled item; `None` if there is none.
    pub fn progress(&self, item: u32) -> Option<&Progress> {
        self.progress.get(&item)
    }

    /// Returns the identifiers of the recorded runs of an unsettled item that failed.
    pub fn failed_runs(&self, item: u32) -> impl Iterator<Item = u64> {
        let first = FailedRun { item, run: 0 };
        let last = FailedRun {
            item,
            run: u64::MAX,
        };
        self.failed_runs
            .range(first..=last)
            .map(|failed| failed.run)
    }

    fn record_failed_run(&mut self, failed: FailedRun) {
        if !self.is_settled(failed.item as usize) {
            self.failed_runs.insert(failed);
        }
    }

    /// Records the progress of an unsettled item if its last event is later than that of the known progress.
    fn merge_progress(&mut self, progress: Progress) {
        if self.is_settled(progress.item as usize) {
            return;
        }
        let known = self.progress.get(&progress.item);
        if known.is_none_or(|known| known.last_event < progress.last_event) {
            self.progress.insert(progress.item, progress);
        }
    }

    /// Returns results from position `from` on, as many as fit into `limit` bytes, and at least one if there is
    /// one.
    pub fn page(&self, from: usize, limit: usize) -> Page<'_> {
        let rest = self.results.get(from..).unwrap_or_default();
        let mut bytes = 0;
        let fitting = rest.iter().take_while(|result| {
            bytes += result.text.len() + RESULT_OVERHEAD;
            bytes <= limit
        });
        let count = fitting.count().max(1).min(rest.len());
        Page {
            total: self.spec.items.len(),
            results: &rest[..count],
        }
    }

    /// Adds a result; returns false if the item has one, the job was ended, or the job has no such item.
    fn settle(&mut self, result: Settled) -> bool {
        let Some(settled) = self.settled.get_mut(result.item as usize) else {
            return false;
        };
        if *settled || self.ended {
            return false;
        }
        *settled = true;
        self.progress.remove(&result.item);
        self.failed_runs.retain(|failed| failed.item != result.item);
        self.results.push(result);
        true
    }
}

/// Estimated size of a listed result without its text, in bytes.
const RESULT_OVERHEAD: usize = 128;

/// What the application of a record changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A new job was accepted; its identifier.
    Accepted(String),
    /// At least one result was added to the job with this identifier.
    Progress(String),
    /// The job with this identifier was ended.
    Ended(String),
    /// No result was added and no job accepted or ended: the record repeats an earlier one, hands over progress,
    /// came after the job's end, or concerns an unknown job or item.
    Nothing,
}

/// The jobs of a partition, by identifier.
#[derive(Debug, Default)]
pub struct JobFold {
    jobs: BTreeMap<String, Job>,
}

impl JobFold {
    /// Applies a record whose frames are stored under `keys`; `now` is the process's monotonic clock.
    pub fn apply(&mut self, record: JobRecord, keys: Vec<Vec<u8>>, now: Duration) -> Effect {
        let id = record.job().to_owned();
        let effect = match record {
            JobRecord::Accepted(spec) => self.accept(spec, now),
            JobRecord::Settled { job, results } => self.settle(job, results),
            JobRecord::HandedOver {
                job,
                progress,
                failed_runs,
            } => self.merge_progress(&job, progress, failed_runs),
            JobRecord::Ended { job } => self.end(job),
        };
        if let Some(job) = self.jobs.get_mut(&id) {
            job.keys.extend(keys);
        }
        effect
    }

    fn accept(&mut self, spec: JobSpec, now: Duration) -> Effect {
        if self.jobs.contains_key(&spec.id) {
            return Effect::Nothing;
        }
        let id = spec.id.clone();
        self.jobs.insert(id.clone(), Job::new(spec, now));
        Effect::Accepted(id)
    }

    fn settle(&mut self, id: String, results: Vec<Settled>) -> Effect {
        let Some(job) = self.jobs.get_mut(&id) else {
            return Effect::Nothing;
        };
        let mut has_new_result = false;
        for result in results {
            has_new_result |= job.settle(result);
        }
        if has_new_result {
            Effect::Progress(id)
        } else {
            Effect::Nothing
        }
    }

    fn merge_progress(
        &mut self,
        id: &str,
        progress: Vec<Progress>,
        failed_runs: Vec<FailedRun>,
    ) -> Effect {
        if let Some(job) = self.jobs.get_mut(id) {
            for item in progress {
                job.merge_progress(item);
            }
            for failed in failed_runs {
                job.record_failed_run(failed);
            }
        }
        Effect::Nothing
    }

    fn end(&mut self, id: String) -> Effect {
        match self.jobs.get_mut(&id) {
            Some(job) if !job.ended => {
                job.ended = true;
                Effect::Ended(id)
            }
            _ => Effect::Nothing,
        }
    }

    /// Returns the job with this identifier; `None` if it is unknown or was forgotten.
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Returns all jobs, in the order of their identifiers.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Returns the items without a result of all jobs that are not closed, in the order in which the jobs were first
    /// seen: the job, the index of the item and when the job was first seen.
    pub fn unsettled_items(&self) -> Vec<(Arc<JobSpec>, usize, Duration)> {
        let mut open: Vec<&Job> = self.jobs.values().filter(|job| !job.is_closed()).collect();
        open.sort_by_key(|job| job.first_seen);
        let items = open.into_iter().flat_map(|job| {
            let unsettled = (0..job.spec.items.len()).filter(|item| !job.is_settled(*item));
            unsettled.map(|item| (Arc::clone(&job.spec), item, job.first_seen))
        });
        items.collect()
    }

    /// Returns the tokens of each job's items without a result; 0 for a closed job.
    pub fn waiting_tokens(&self) -> impl Iterator<Item = (&JobSpec, u64)> {
        self.jobs.values().map(|job| {
            if job.is_closed() {
                return (job.spec.as_ref(), 0);
            }
            let items = job.spec.items.iter().enumerate();
            let unsettled = items.filter(|(index, _)| !job.is_settled(*index));
            let tokens = total_tokens(unsettled.map(|(_, item)| item.tokens));
            (job.spec.as_ref(), tokens)
        })
    }

    /// Returns the identifiers of closed jobs that were first seen before `horizon`, a time of the
    /// process's monotonic clock.
    pub fn expired(&self, horizon: Duration) -> Vec<String> {
        let old = self.jobs.values().filter(|job| job.is_closed());
        let old = old.filter(|job| job.first_seen < horizon);
        old.map(|job| job.spec.id.clone()).collect()
    }

    /// Removes a job and returns the keys of its records; returns none if the job is unknown.
    pub fn forget(&mut self, id: &str) -> Vec<Vec<u8>> {
        let job = self.jobs.remove(id);
        job.map(|job| job.keys).unwrap_or_default()
    }
}
