//! Decides whether a request may be offered to a worker now. Every kind of placement checks this,
//! and so does each send.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derive_more::Display;
use swiftshunt_topology::Residency;
use swiftshunt_types::{OutputOrigin, RegionName};

use crate::admission::Obstacle;
use crate::candidate::Candidate;
use crate::directory::Availability;
use crate::selection::Selector;
use crate::warmup::WarmupState;

/// The restriction of a request to a part of the workers, whatever their state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OfferScope {
    /// The regions in which the request may be handled.
    pub residency: Residency,
    /// The service and software version that began the output which the request continues; `None` if there is no
    /// output yet.
    pub origin: Option<OutputOrigin>,
}

impl OfferScope {
    /// Returns a scope without a restriction.
    pub const fn anywhere() -> Self {
        Self::within(Residency::anywhere())
    }

    /// Returns the scope of a request that has no output yet.
    pub const fn within(residency: Residency) -> Self {
        let origin = None;
        Self { residency, origin }
    }
}

/// The reason why a request may not be offered to a worker.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Withheld {
    /// The directory does not list the worker.
    #[display("it is not listed")]
    Unlisted,
    /// The worker is draining.
    #[display("it is leaving")]
    Leaving,
    /// The worker's zone is evacuated.
    #[display("zone {zone} is evacuated")]
    Evacuated {
        /// The evacuated zone.
        zone: String,
        /// When this node learned of the evacuation, on its own clock.
        since: Duration,
    },
    /// The worker is in a region in which the request may not be handled.
    #[display("the request may not go to {}", region.as_ref().map_or("an unknown region", RegionName::as_str))]
    OutsideResidency {
        /// The worker's region, if it is known.
        region: Option<RegionName>,
    },
    /// The worker has another service or software version than the one that began the request's output.
    #[display("the output was begun by {origin}")]
    OtherOrigin {
        /// The service and version that began the output.
        origin: OutputOrigin,
    },
    /// The worker is cold, or may be, and the request has no start permit.
    #[display("it is cold, and no start there is to be had")]
    Cold,
}

impl Selector {
    /// Checks whether a request of this scope may be offered to a worker.
    pub fn may_offer(&self, incarnation: &str, scope: &OfferScope) -> Result<(), Withheld> {
        let candidate = self.candidates.get(incarnation).ok_or(Withheld::Unlisted)?;
        self.withhold_reason(candidate, scope).map_or(Ok(()), Err)
    }

    pub(crate) fn withhold_reason(
        &self,
        candidate: &Candidate,
        scope: &OfferScope,
    ) -> Option<Withheld> {
        let OfferScope { residency, origin } = scope;
        let zone = &candidate.entry.zone;
        if candidate.entry.availability != Availability::Ready {
            return Some(Withheld::Leaving);
        }
        if let Some(origin) = origin
            && !candidate.is_of(origin)
        {
            let origin = origin.clone();
            return Some(Withheld::OtherOrigin { origin });
        }
        if let Some(since) = self.evacuations.since(zone) {
            let zone = zone.clone();
            return Some(Withheld::Evacuated { zone, since });
        }
        if residency.is_anywhere() {
            return None;
        }
        let region = self.topology.region_of(zone);
        let is_allowed = residency.allows(region);
        (!is_allowed).then(|| Withheld::OutsideResidency {
            region: region.cloned(),
        })
    }

    /// Returns the workers of a service to which a request of this scope may be offered.
    pub(crate) fn eligible_workers<'s>(
        &'s self,
        service: &str,
        scope: &OfferScope,
    ) -> impl Iterator<Item = &'s Candidate> + use<'s> {
        let scope = scope.clone();
        self.ready_workers(service)
            .filter(move |candidate| self.withhold_reason(candidate, &scope).is_none())
    }

    /// Returns whether a request of this scope may be offered to any worker of the service.
    pub fn has_eligible_worker(&self, service: &str, scope: &OfferScope) -> bool {
        self.eligible_workers(service, scope).next().is_some()
    }

    /// Returns whether the service has a worker that may be offered the request only if it drops the output that it
    /// continues.
    pub fn has_worker_of_other_origin(&self, service: &str, scope: &OfferScope) -> bool {
        self.workers_of_other_origin(service, scope)
            .next()
            .is_some()
    }

    /// Returns whether there is such a worker that requests do not avoid after failures.
    pub fn has_sound_worker_of_other_origin(
        &self,
        service: &str,
        scope: &OfferScope,
        now: Duration,
    ) -> bool {
        self.workers_of_other_origin(service, scope)
            .any(|candidate| candidate.ejected_until <= now)
    }

    fn workers_of_other_origin<'s>(
        &'s self,
        service: &str,
        scope: &OfferScope,
    ) -> impl Iterator<Item = &'s Candidate> + use<'s> {
        let without_output = OfferScope::within(scope.residency.clone());
        let origin = scope.origin.clone();
        self.eligible_workers(service, &without_output)
            .filter(move |candidate| origin.as_ref().is_some_and(|it| !candidate.is_of(it)))
    }

    /// Returns why a request may not be offered to any of the service's ready workers. Returns
    /// `None` if it may be offered to one, or if no worker is ready.
    pub fn service_obstacle(
        &self,
        service: &str,
        scope: &OfferScope,
        now: Duration,
    ) -> Option<Obstacle> {
        let residency = &scope.residency;
        let mut is_any_outside_residency = false;
        let mut is_any_of_other_origin = false;
        let mut evacuated_since = None;
        for candidate in self.ready_workers(service) {
            match self.withhold_reason(candidate, scope) {
                None => return None,
                Some(Withheld::OtherOrigin { .. }) => is_any_of_other_origin = true,
                // The service is unavailable since its last zone was evacuated.
                Some(Withheld::Evacuated { since, .. })
                    if self.is_within_residency(candidate, residency) =>
                {
                    evacuated_since = evacuated_since.max(Some(since));
                }
                Some(_) => is_any_outside_residency = true,
            }
        }
        let evacuated = evacuated_since.map(|since| Obstacle::Evacuated {
            lasted: now.saturating_sub(since),
        });
        evacuated
            .or(is_any_outside_residency.then_some(Obstacle::OutsideResidency))
            .or(is_any_of_other_origin.then_some(Obstacle::OriginGone))
    }

    fn is_within_residency(&self, candidate: &Candidate, residency: &Residency) -> bool {
        residency.allows(self.topology.region_of(&candidate.entry.zone))
    }

    /// Returns whether a worker sustains its usual load; `Unknown` for a worker that is not known.
    pub fn warmup_state(&self, incarnation: &str, now: Duration) -> WarmupState {
        let candidate = self.candidates.get(incarnation);
        candidate.map_or(WarmupState::Unknown, |candidate| {
            self.warmup_state_of(candidate, now)
        })
    }

    /// Stops the placement of requests in a zone. Returns whether the zone was not evacuated
    /// before.
    pub fn evacuate(&mut self, zone: &str, now: Duration) -> bool {
        self.evacuations.begin(zone, now)
    }

    /// Resumes the placement of requests in a zone. Returns whether the zone was evacuated.
    pub fn withdraw_evacuation(&mut self, zone: &str, now: Duration) -> bool {
        self.evacuations.withdraw(zone, now)
    }

    /// Returns the evacuated zones, each with the number of requests that this gateway has in
    /// progress at the zone's workers.
    pub fn evacuated_zones(&self) -> BTreeMap<String, u32> {
        let zones = self.evacuations.zones().map(|zone| (zone.to_owned(), 0));
        let mut zones: BTreeMap<String, u32> = zones.collect();
        for candidate in self.candidates.values() {
            if let Some(in_progress) = zones.get_mut(&candidate.entry.zone) {
                *in_progress += candidate.own_requests();
            }
        }
        zones
    }

    /// Returns the incarnations of the workers whose long-running batch items are to be moved: their
    /// zones have been evacuated for at least `after`, and another worker of the same service and
    /// region is eligible.
    pub fn workers_to_vacate(&self, after: Duration, now: Duration) -> BTreeSet<String> {
        let due = self.candidates.values().filter(|candidate| {
            let since = self.evacuations.since(&candidate.entry.zone);
            candidate.own_batch > 0 && since.is_some_and(|since| now >= since + after)
        });
        let due = due.filter(|candidate| {
            let mut eligible =
                self.eligible_workers(&candidate.entry.service, &OfferScope::anywhere());
            eligible.any(|other| other.region == candidate.region)
        });
        due.map(|candidate| candidate.entry.incarnation.clone())
            .collect()
    }

    pub(crate) fn is_zone_evacuated(&self, candidate: &Candidate) -> bool {
        self.evacuations.since(&candidate.entry.zone).is_some()
    }
}
