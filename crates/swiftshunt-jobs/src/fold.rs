//! State as the fold of records.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use swiftshunt_types::total_tokens;

use crate::{JobRecord, JobSpec, Progress, Settled};

/// A batch job.
#[derive(Debug)]
pub struct Job {
    /// What was handed in.
    pub spec: Arc<JobSpec>,
    /// Results in the order of their positions.
    pub results: Vec<Settled>,
    settled: Vec<bool>,
    progress: BTreeMap<u32, Progress>,
    /// Whether the caller ended it.
    pub ended: bool,
    /// When this process first saw it, on its own steady clock: never earlier than the caller sent
    /// it.
    pub first_seen: Duration,
    /// Keys of its records, for dropping them.
    keys: Vec<Vec<u8>>,
}

/// Results from a position on.
#[derive(Debug)]
pub struct Page<'j> {
    /// Items of the job.
    pub total: usize,
    /// The results.
    pub results: &'j [Settled],
}

impl Job {
    fn new(spec: JobSpec, now: Duration) -> Self {
        Self {
            settled: vec![false; spec.items.len()],
            spec: Arc::new(spec),
            results: Vec::new(),
            progress: BTreeMap::new(),
            ended: false,
            first_seen: now,
            keys: Vec::new(),
        }
    }

    /// Whether nothing more is to run.
    pub fn is_closed(&self) -> bool {
        self.ended || self.results.len() == self.spec.items.len()
    }

    /// Whether the item has a result.
    pub fn is_settled(&self, item: usize) -> bool {
        self.settled.get(item).copied().unwrap_or(true)
    }

    /// How far an earlier runner came with an item.
    pub fn progress(&self, item: u32) -> Option<&Progress> {
        self.progress.get(&item)
    }

    /// Takes progress that goes further than what is known.
    fn hand_over(&mut self, progress: Progress) {
        if self.is_settled(progress.item as usize) {
            return;
        }
        let known = self.progress.get(&progress.item);
        if known.is_none_or(|known| known.last_event < progress.last_event) {
            self.progress.insert(progress.item, progress);
        }
    }

    /// Results from `from` on, as many as stay within `limit` bytes, at least one if there is one.
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

    fn settle(&mut self, result: Settled) -> bool {
        let Some(settled) = self.settled.get_mut(result.item as usize) else {
            return false;
        };
        if *settled || self.ended {
            return false;
        }
        *settled = true;
        self.progress.remove(&result.item);
        self.results.push(result);
        true
    }
}

/// Bytes of a listed result beside its text.
const RESULT_OVERHEAD: usize = 128;

/// What a record changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A new job stands.
    Accepted(String),
    /// Results were added to a job.
    Progress(String),
    /// A job was ended.
    Ended(String),
    /// The record came second, or is about a job that is not there.
    Nothing,
}

/// The jobs of a partition.
#[derive(Debug, Default)]
pub struct JobFold {
    jobs: BTreeMap<String, Job>,
}

impl JobFold {
    /// Applies a record that lies under `keys`.
    pub fn apply(&mut self, record: JobRecord, keys: Vec<Vec<u8>>, now: Duration) -> Effect {
        let id = record.job().to_owned();
        let effect = match record {
            JobRecord::Accepted(spec) => self.accept(spec, now),
            JobRecord::Settled { job, results } => self.settle(job, results),
            JobRecord::HandedOver { job, progress } => self.hand_over(&job, progress),
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
        let mut any = false;
        for result in results {
            any |= job.settle(result);
        }
        if any {
            Effect::Progress(id)
        } else {
            Effect::Nothing
        }
    }

    fn hand_over(&mut self, id: &str, progress: Vec<Progress>) -> Effect {
        if let Some(job) = self.jobs.get_mut(id) {
            for item in progress {
                job.hand_over(item);
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

    /// A job by its identifier.
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Every job.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Items of open jobs without a result, oldest job first.
    pub fn unsettled_items(&self) -> Vec<(Arc<JobSpec>, usize, Duration)> {
        let mut open: Vec<&Job> = self.jobs.values().filter(|job| !job.is_closed()).collect();
        open.sort_by_key(|job| job.first_seen);
        let items = open.into_iter().flat_map(|job| {
            let left = (0..job.spec.items.len()).filter(|item| !job.is_settled(*item));
            left.map(|item| (Arc::clone(&job.spec), item, job.first_seen))
        });
        items.collect()
    }

    /// Tokens of items without a result, by job; none of a closed one.
    pub fn waiting_tokens(&self) -> impl Iterator<Item = (&JobSpec, u64)> {
        self.jobs.values().map(|job| {
            if job.is_closed() {
                return (job.spec.as_ref(), 0);
            }
            let items = job.spec.items.iter().enumerate();
            let left = items.filter(|(index, _)| !job.is_settled(*index));
            let tokens = total_tokens(left.map(|(_, item)| item.tokens));
            (job.spec.as_ref(), tokens)
        })
    }

    /// Closed jobs first seen before `horizon`.
    pub fn expired(&self, horizon: Duration) -> Vec<String> {
        let old = self.jobs.values().filter(|job| job.is_closed());
        let old = old.filter(|job| job.first_seen < horizon);
        old.map(|job| job.spec.id.clone()).collect()
    }

    /// Forgets a job; gives the keys of its records.
    pub fn forget(&mut self, id: &str) -> Vec<Vec<u8>> {
        let job = self.jobs.remove(id);
        job.map(|job| job.keys).unwrap_or_default()
    }
}
