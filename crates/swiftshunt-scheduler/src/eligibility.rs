//! May this worker be offered this request now? All placement asks it, whatever is placed, and so does each send.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derive_more::Display;
use swiftshunt_topology::Residency;
use swiftshunt_types::RegionName;

use crate::admission::Obstacle;
use crate::candidate::Candidate;
use crate::directory::Availability;
use crate::selection::Selector;
use crate::warmup::WarmupState;

/// Why a worker may not be offered a request.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Withheld {
    /// The directory does not list it.
    #[display("it is not listed")]
    Unlisted,
    /// It is leaving.
    #[display("it is leaving")]
    Leaving,
    /// Its zone is evacuated.
    #[display("zone {zone} is evacuated")]
    Evacuated {
        /// The zone.
        zone: String,
        /// Since when, on the own clock.
        since: Duration,
    },
    /// It stands where the request may not go.
    #[display("the request may not go to {}", region.as_ref().map_or("an unknown region", RegionName::as_str))]
    OutsideResidency {
        /// Its region, if it is known.
        region: Option<RegionName>,
    },
    /// It is cold, or may be, and this request has no start there.
    #[display("it is cold, and no start there is to be had")]
    Cold,
}

impl Selector {
    /// Whether a worker may be offered a request that may be handled in these regions.
    pub fn may_offer(&self, incarnation: &str, residency: &Residency) -> Result<(), Withheld> {
        let candidate = self.candidates.get(incarnation).ok_or(Withheld::Unlisted)?;
        self.withhold_reason(candidate, residency)
            .map_or(Ok(()), Err)
    }

    pub(crate) fn withhold_reason(
        &self,
        candidate: &Candidate,
        residency: &Residency,
    ) -> Option<Withheld> {
        let zone = &candidate.entry.zone;
        if candidate.entry.availability != Availability::Ready {
            return Some(Withheld::Leaving);
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

    /// Workers of a service that may be offered a request.
    pub(crate) fn eligible_workers<'s>(
        &'s self,
        service: &str,
        residency: &Residency,
    ) -> impl Iterator<Item = &'s Candidate> + use<'s> {
        let residency = residency.clone();
        self.ready_workers(service)
            .filter(move |candidate| self.withhold_reason(candidate, &residency).is_none())
    }

    /// Whether any worker of a service may be offered a request.
    pub fn has_eligible_worker(&self, service: &str, residency: &Residency) -> bool {
        self.eligible_workers(service, residency).next().is_some()
    }

    /// Why no worker of a service may be offered a request though some take new work; none where one may be.
    pub fn service_obstacle(
        &self,
        service: &str,
        residency: &Residency,
        now: Duration,
    ) -> Option<Obstacle> {
        let mut is_elsewhere = false;
        let mut evacuated_since = None;
        for candidate in self.ready_workers(service) {
            match self.withhold_reason(candidate, residency) {
                None => return None,
                // Closed since the last of its zones was.
                Some(Withheld::Evacuated { since, .. })
                    if self.stands_within(candidate, residency) =>
                {
                    evacuated_since = evacuated_since.max(Some(since));
                }
                Some(_) => is_elsewhere = true,
            }
        }
        let evacuated = evacuated_since.map(|since| Obstacle::Evacuated {
            lasted: now.saturating_sub(since),
        });
        evacuated.or(is_elsewhere.then_some(Obstacle::OutsideResidency))
    }

    fn stands_within(&self, candidate: &Candidate, residency: &Residency) -> bool {
        residency.allows(self.topology.region_of(&candidate.entry.zone))
    }

    /// Whether a worker bears its usual load.
    pub fn warmup_state(&self, incarnation: &str, now: Duration) -> WarmupState {
        let candidate = self.candidates.get(incarnation);
        candidate.map_or(WarmupState::Unknown, |candidate| {
            self.warmup_state_of(candidate, now)
        })
    }

    /// A zone's workers are to get nothing; gives whether that is new.
    pub fn evacuate(&mut self, zone: &str, now: Duration) -> bool {
        self.evacuations.begin(zone, now)
    }

    /// A zone's workers may get something again; gives whether that is new.
    pub fn withdraw_evacuation(&mut self, zone: &str, now: Duration) -> bool {
        self.evacuations.withdraw(zone, now)
    }

    /// The zones that are evacuated, and what this gateway has in progress at the workers of each.
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

    /// Workers that long items are to leave: their zones have been evacuated for `after` or longer, and others of
    /// their service and region are open.
    pub fn workers_to_vacate(&self, after: Duration, now: Duration) -> BTreeSet<String> {
        let due = self.candidates.values().filter(|candidate| {
            let since = self.evacuations.since(&candidate.entry.zone);
            candidate.own_batch > 0 && since.is_some_and(|since| now >= since + after)
        });
        let due = due.filter(|candidate| {
            let mut open = self.eligible_workers(&candidate.entry.service, &Residency::anywhere());
            open.any(|other| other.region == candidate.region)
        });
        due.map(|candidate| candidate.entry.incarnation.clone())
            .collect()
    }

    pub(crate) fn is_zone_evacuated(&self, candidate: &Candidate) -> bool {
        self.evacuations.since(&candidate.entry.zone).is_some()
    }
}
