//! What a node knows of cold workers, and what it does not: a worker that may be cold is treated as one that is.

use std::time::Duration;

use swiftshunt_topology::Residency;

use super::ColdBound;
use super::permit_rate::{PermitBucket, PermitRate};
use crate::candidate::Candidate;
use crate::selection::{AttemptOutcome, ChosenWorker, Selector};
use crate::slots::WorkerKey;
use crate::warmup::WarmupState;

/// Time from a worker's listing until its entry is sure to tell whether it is cold: entries are renewed about
/// every second, and one may be on its way.
const ENTRY_TELLS: Duration = Duration::from_secs(2);

/// Why a worker may be cold though its entry does not say so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ColdSuspicion {
    /// When it was listed first, or again.
    listed_at: Duration,
    /// Whether the latest send to it met nobody: it may have ended, and start again.
    is_failing: bool,
    /// When it answered again after that.
    back_at: Option<Duration>,
}

impl ColdSuspicion {
    /// Of a worker that is listed now.
    pub(crate) fn listed(now: Duration) -> Self {
        Self {
            listed_at: now,
            is_failing: false,
            back_at: None,
        }
    }

    /// A request left the worker.
    pub(crate) fn observe(&mut self, outcome: AttemptOutcome, now: Duration) {
        match outcome {
            AttemptOutcome::Unreachable | AttemptOutcome::Broken | AttemptOutcome::TimedOut => {
                self.is_failing = true
            }
            AttemptOutcome::Answered if self.is_failing => {
                self.is_failing = false;
                self.back_at = Some(now);
            }
            AttemptOutcome::Answered
            | AttemptOutcome::Declined
            | AttemptOutcome::Failed
            | AttemptOutcome::Cancelled => {}
        }
    }

    fn is_active(&self, cold_period: Duration, now: Duration) -> bool {
        let is_back = |back_at| now < back_at + cold_period;
        self.is_failing || now < self.listed_at + ENTRY_TELLS || self.back_at.is_some_and(is_back)
    }
}

/// What a node knows of the starts left at a worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KnownPermits {
    /// Until when its keepers said that there is none.
    none_until: Duration,
    /// What this node, as the owner of the worker's slots, may still assign.
    assignable: Option<PermitBucket>,
}

impl Selector {
    /// Tells what the workers of a service bear after a start; none if they bear their usual load.
    pub fn set_cold_bound(&mut self, service: &str, bound: Option<ColdBound>) {
        match bound {
            Some(bound) => drop(self.cold.insert(service.to_owned(), bound)),
            None => drop(self.cold.remove(service)),
        }
    }

    /// What the cold workers of a service may get.
    pub fn cold_bound(&self, service: &str) -> Option<&ColdBound> {
        self.cold.get(service)
    }

    pub(crate) fn warmup_state_of(&self, candidate: &Candidate, now: Duration) -> WarmupState {
        let told = candidate.warmup_state(now);
        let Some(bound) = self.cold.get(&candidate.entry.service) else {
            return told;
        };
        if told != WarmupState::Warm {
            return told;
        }
        let withdrawn_at = self.evacuations.withdrawn_at(&candidate.entry.zone);
        let is_just_back =
            withdrawn_at.is_some_and(|at| now < at + bound.cold_period + ENTRY_TELLS);
        if is_just_back || candidate.cold_suspicion.is_active(bound.cold_period, now) {
            return WarmupState::Unknown;
        }
        WarmupState::Warm
    }

    /// What a worker may get from all nodes together, if it is cold or may be: a request goes there with a
    /// start alone.
    pub fn required_cold_bound(&self, chosen: &ChosenWorker, now: Duration) -> Option<ColdBound> {
        let bound = self.cold.get(&chosen.service)?;
        let is_warm = self.warmup_state(&chosen.incarnation, now) == WarmupState::Warm;
        (!is_warm).then_some(*bound)
    }

    /// A worker's keepers have no start until then.
    pub fn record_no_permits_until(&mut self, incarnation: &str, until: Duration) {
        if let Some(candidate) = self.candidates.get_mut(incarnation) {
            candidate.known_permits.none_until = until;
        }
    }

    /// Whether a worker is cold, or may be, and its keepers said that there is no start.
    /// Whether a cold worker of a service takes a request as soon as there is a start at it again.
    pub fn awaits_start_permits(
        &self,
        service: &str,
        residency: &Residency,
        now: Duration,
    ) -> bool {
        let mut open = self.eligible_workers(service, residency);
        open.any(|candidate| self.lacks_start_permits(candidate, now))
    }

    pub(crate) fn lacks_start_permits(&self, candidate: &Candidate, now: Duration) -> bool {
        now < candidate.known_permits.none_until
            && self.warmup_state_of(candidate, now) != WarmupState::Warm
    }

    /// Whether the owner of a worker's slots may assign it: it is warm, or a start there is likely to be had.
    pub fn is_assignable(&self, worker: WorkerKey, service: &str, now: Duration) -> bool {
        let Some(bound) = self.cold.get(service) else {
            return true;
        };
        let mut candidates = self.ready_workers(service);
        let Some(candidate) = candidates.find(|candidate| candidate.key == worker) else {
            return true;
        };
        let bucket = candidate.known_permits.assignable;
        let has_permit =
            bucket.is_none_or(|bucket| bucket.has_permit(PermitRate::of_all(bound), now));
        self.warmup_state_of(candidate, now) == WarmupState::Warm || has_permit
    }

    /// The owner of a worker's slots has assigned it.
    pub fn record_assignment(&mut self, worker: WorkerKey, service: &str, now: Duration) {
        let Some(bound) = self.cold.get(service) else {
            return;
        };
        let permit_rate = PermitRate::of_all(bound);
        let mut candidates = self.candidates.values_mut();
        let candidate = candidates.find(|candidate| candidate.key == worker);
        if let Some(candidate) = candidate {
            let bucket = candidate.known_permits.assignable;
            let mut bucket = bucket.unwrap_or_else(|| PermitBucket::full(permit_rate, now));
            // More than was left counts as all that was: it is a hint.
            let _spent = bucket.try_take(permit_rate, now);
            candidate.known_permits.assignable = Some(bucket);
        }
    }
}
