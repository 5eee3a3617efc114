//! What a node knows of cold workers. A worker that may be cold is treated as cold.

use std::time::Duration;

use super::ColdBound;
use super::permit_rate::{PermitBucket, PermitRate};
use crate::candidate::Candidate;
use crate::eligibility::OfferScope;
use crate::selection::{AttemptOutcome, ChosenWorker, Selector};
use crate::slots::WorkerKey;
use crate::warmup::WarmupState;

/// Time after a worker is listed until its entry is certain to say whether it is cold: entries are
/// renewed about every second, and a renewal may be in transit.
const ENTRY_SETTLE_DELAY: Duration = Duration::from_secs(2);

/// Evidence that a worker may be cold although its entry does not say so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ColdSuspicion {
    /// When the worker was listed for the first time, or again after its entry had lapsed.
    listed_at: Duration,
    /// Whether a send has failed since the last complete response: the worker may have ended and be
    /// about to start again.
    is_failing: bool,
    /// When the worker last responded again after a failed send.
    recovered_at: Option<Duration>,
}

impl ColdSuspicion {
    /// Creates the state of a worker that is listed at `now`.
    pub(crate) fn listed(now: Duration) -> Self {
        Self {
            listed_at: now,
            is_failing: false,
            recovered_at: None,
        }
    }

    /// Records the outcome of a request to the worker.
    pub(crate) fn observe(&mut self, outcome: AttemptOutcome, now: Duration) {
        match outcome {
            AttemptOutcome::Unreachable | AttemptOutcome::Broken | AttemptOutcome::TimedOut => {
                self.is_failing = true
            }
            AttemptOutcome::Answered if self.is_failing => {
                self.is_failing = false;
                self.recovered_at = Some(now);
            }
            AttemptOutcome::Answered
            | AttemptOutcome::Declined
            | AttemptOutcome::Failed
            | AttemptOutcome::Cancelled => {}
        }
    }

    fn is_active(&self, cold_period: Duration, now: Duration) -> bool {
        let recovered_recently = |recovered_at| now < recovered_at + cold_period;
        self.is_failing
            || now < self.listed_at + ENTRY_SETTLE_DELAY
            || self.recovered_at.is_some_and(recovered_recently)
    }
}

/// What a node knows of the start permits that are left for a worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KnownPermits {
    /// The time until which the issuers have no permit.
    none_until: Duration,
    /// The requests that this node may still assign as the owner of the worker's slots; `None`
    /// before the first assignment.
    assignable: Option<PermitBucket>,
}

impl Selector {
    /// Sets the bound for the cold workers of a service; `None` if they sustain their usual load
    /// from the start.
    pub fn set_cold_bound(&mut self, service: &str, bound: Option<ColdBound>) {
        match bound {
            Some(bound) => drop(self.cold.insert(service.to_owned(), bound)),
            None => drop(self.cold.remove(service)),
        }
    }

    /// Returns the bound for the cold workers of a service; `None` if there is none.
    pub fn cold_bound(&self, service: &str) -> Option<&ColdBound> {
        self.cold.get(service)
    }

    pub(crate) fn warmup_state_of(&self, candidate: &Candidate, now: Duration) -> WarmupState {
        let listed_state = candidate.warmup_state(now);
        let Some(bound) = self.cold.get(&candidate.entry.service) else {
            return listed_state;
        };
        if listed_state != WarmupState::Warm {
            return listed_state;
        }
        let withdrawn_at = self.evacuations.withdrawn_at(&candidate.entry.zone);
        let reopened_recently =
            withdrawn_at.is_some_and(|at| now < at + bound.cold_period + ENTRY_SETTLE_DELAY);
        if reopened_recently || candidate.cold_suspicion.is_active(bound.cold_period, now) {
            return WarmupState::Unknown;
        }
        WarmupState::Warm
    }

    /// Returns the bound of a worker that is cold or may be: a request may be sent there only with
    /// a start permit. Returns `None` if no permit is needed.
    pub fn required_cold_bound(&self, chosen: &ChosenWorker, now: Duration) -> Option<ColdBound> {
        let bound = self.cold.get(&chosen.service)?;
        let is_warm = self.warmup_state(&chosen.incarnation, now) == WarmupState::Warm;
        (!is_warm).then_some(*bound)
    }

    /// Records that a worker's issuers have no permit until `until`.
    pub fn record_no_permits_until(&mut self, incarnation: &str, until: Duration) {
        if let Some(candidate) = self.candidates.get_mut(incarnation) {
            candidate.known_permits.none_until = until;
        }
    }

    /// Records, as the owner of a worker's slots, that its issuers have refused a permit to another gateway until `until`.
    pub fn record_refused_permit(&mut self, worker: WorkerKey, until: Duration) {
        let mut candidates = self.candidates.values_mut();
        if let Some(candidate) = candidates.find(|candidate| candidate.key == worker) {
            candidate.known_permits.none_until = until;
        }
    }

    /// Returns whether any eligible worker of a service lacks start permits at present and may thus
    /// accept a request as soon as there is a permit.
    pub fn awaits_start_permits(&self, service: &str, scope: &OfferScope, now: Duration) -> bool {
        let mut eligible = self.eligible_workers(service, scope);
        eligible.any(|candidate| self.lacks_start_permits(candidate, now))
    }

    /// Returns whether a worker is cold, or may be, and its issuers have no permit for it.
    pub(crate) fn lacks_start_permits(&self, candidate: &Candidate, now: Duration) -> bool {
        now < candidate.known_permits.none_until
            && self.warmup_state_of(candidate, now) != WarmupState::Warm
    }

    /// Returns whether the owner of a worker's slots may assign a request to it: the worker is
    /// warm or not known, or a start permit is likely to be available.
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
        let is_refused = now < candidate.known_permits.none_until;
        self.warmup_state_of(candidate, now) == WarmupState::Warm || has_permit && !is_refused
    }

    /// Records that this node, as the owner of a worker's slots, assigned a request to it.
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
            // The bucket is only a hint: a request beyond the permits that are left takes nothing.
            let _result = bucket.try_take(permit_rate, now);
            candidate.known_permits.assignable = Some(bucket);
        }
    }
}
