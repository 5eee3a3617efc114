//! What a node knows of cold workers, and what it does not: a worker that may be cold is treated as one that is.

use std::time::Duration;

use swiftshunt_topology::Residency;

use super::ColdBound;
use super::pace::{Left, Pace};
use crate::candidate::Candidate;
use crate::selection::{Chosen, Ending, Selector};
use crate::slots::WorkerKey;
use crate::warmth::Warmth;

/// Time from a worker's listing until its entry is sure to tell whether it is cold: entries are renewed about
/// every second, and one may be on its way.
const ENTRY_TELLS: Duration = Duration::from_secs(2);

/// Why a worker may be cold though its entry does not say so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ColdDoubt {
    /// When it was listed first, or again.
    listed_at: Duration,
    /// Whether the latest send to it met nobody: it may have ended, and start again.
    is_failing: bool,
    /// When it answered again after that.
    back_at: Option<Duration>,
}

impl ColdDoubt {
    /// Of a worker that is listed now.
    pub(crate) fn listed(now: Duration) -> Self {
        Self {
            listed_at: now,
            is_failing: false,
            back_at: None,
        }
    }

    /// A request left the worker.
    pub(crate) fn observe(&mut self, ending: Ending, now: Duration) {
        match ending {
            Ending::Unreachable | Ending::Broken | Ending::Silent => self.is_failing = true,
            Ending::Answered if self.is_failing => {
                self.is_failing = false;
                self.back_at = Some(now);
            }
            Ending::Answered | Ending::TurnedAway | Ending::Failed | Ending::Withdrawn => {}
        }
    }

    fn is_open(&self, lasts: Duration, now: Duration) -> bool {
        let is_back = |back_at| now < back_at + lasts;
        self.is_failing || now < self.listed_at + ENTRY_TELLS || self.back_at.is_some_and(is_back)
    }
}

/// What a node knows of the starts left at a worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KnownStarts {
    /// Until when its keepers said that there is none.
    none_until: Duration,
    /// What this node, as the owner of the worker's slots, may still assign.
    assignable: Option<Left>,
}

impl Selector {
    /// Tells what the workers of a service bear after a start; none if they bear their usual load.
    pub fn set_cold(&mut self, service: &str, bound: Option<ColdBound>) {
        match bound {
            Some(bound) => drop(self.cold.insert(service.to_owned(), bound)),
            None => drop(self.cold.remove(service)),
        }
    }

    /// What the cold workers of a service may get.
    pub fn cold_bound(&self, service: &str) -> Option<&ColdBound> {
        self.cold.get(service)
    }

    pub(crate) fn warmth_of(&self, candidate: &Candidate, now: Duration) -> Warmth {
        let told = candidate.warmth(now);
        let Some(bound) = self.cold.get(&candidate.entry.service) else {
            return told;
        };
        if told != Warmth::Warm {
            return told;
        }
        let withdrawn_at = self.evacuations.withdrawn_at(&candidate.entry.zone);
        let is_just_back = withdrawn_at.is_some_and(|at| now < at + bound.lasts + ENTRY_TELLS);
        if is_just_back || candidate.doubt.is_open(bound.lasts, now) {
            return Warmth::Unknown;
        }
        Warmth::Warm
    }

    /// What a worker may get from all nodes together, if it is cold or may be: a request goes there with a
    /// start alone.
    pub fn needs_start(&self, chosen: &Chosen, now: Duration) -> Option<ColdBound> {
        let bound = self.cold.get(&chosen.service)?;
        let is_warm = self.warmth(&chosen.incarnation, now) == Warmth::Warm;
        (!is_warm).then_some(*bound)
    }

    /// A worker's keepers have no start until then.
    pub fn no_start_until(&mut self, incarnation: &str, until: Duration) {
        if let Some(candidate) = self.candidates.get_mut(incarnation) {
            candidate.starts.none_until = until;
        }
    }

    /// Whether a worker is cold, or may be, and its keepers said that there is no start.
    /// Whether a cold worker of a service takes a request as soon as there is a start at it again.
    pub fn awaits_starts(&self, service: &str, residency: &Residency, now: Duration) -> bool {
        let mut open = self.open(service, residency);
        open.any(|candidate| self.lacks_starts(candidate, now))
    }

    pub(crate) fn lacks_starts(&self, candidate: &Candidate, now: Duration) -> bool {
        now < candidate.starts.none_until && self.warmth_of(candidate, now) != Warmth::Warm
    }

    /// Whether the owner of a worker's slots may assign it: it is warm, or a start there is likely to be had.
    pub fn is_assignable(&self, worker: WorkerKey, service: &str, now: Duration) -> bool {
        let Some(bound) = self.cold.get(service) else {
            return true;
        };
        let mut candidates = self.ready(service);
        let Some(candidate) = candidates.find(|candidate| candidate.key == worker) else {
            return true;
        };
        let left = candidate.starts.assignable;
        let has_one = left.is_none_or(|left| left.has_one(Pace::of_all(bound), now));
        self.warmth_of(candidate, now) == Warmth::Warm || has_one
    }

    /// The owner of a worker's slots has assigned it.
    pub fn assigned_one(&mut self, worker: WorkerKey, service: &str, now: Duration) {
        let Some(bound) = self.cold.get(service) else {
            return;
        };
        let pace = Pace::of_all(bound);
        let mut candidates = self.candidates.values_mut();
        let candidate = candidates.find(|candidate| candidate.key == worker);
        if let Some(candidate) = candidate {
            let left = candidate.starts.assignable;
            let mut left = left.unwrap_or_else(|| Left::full(pace, now));
            // More than was left counts as all that was: it is a hint.
            let _spent = left.take(pace, now);
            candidate.starts.assignable = Some(left);
        }
    }
}
