//! The workers that a node knows: those that the directory lists and, for a grace period, those
//! whose entries lapsed while the log was unavailable.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::candidate::Candidate;
use crate::cold::worker_state::ColdSuspicion;
use crate::directory::{Availability, WorkerEntry};
use crate::selection::Selector;

/// Tolerance for entries that describe the same cold period: their delays on the way to this node
/// differ.
const COLD_PERIOD_TOLERANCE: Duration = Duration::from_millis(400);

/// A worker that was removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemovedWorker {
    /// The incarnation of the worker.
    pub incarnation: String,
    /// The zone of the worker.
    pub zone: String,
    /// Whether its last entry let it get requests. A worker that leaves as planned mostly says so before.
    pub was_ready: bool,
}

/// The result of removing workers that the directory no longer lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnlistOutcome {
    /// Workers that were removed.
    pub removed: Vec<RemovedWorker>,
    /// Incarnations that stay usable until their entries return or the grace period ends.
    pub lapsed: Vec<String>,
}

impl Selector {
    /// Applies a directory entry. Returns whether the worker's life, availability or address is
    /// new, or its entry had lapsed. An entry of an earlier life is ignored.
    pub fn apply_entry(&mut self, mut entry: WorkerEntry, now: Duration) -> bool {
        if let Some(known) = self.known_candidate(&entry.life.id) {
            let WorkerEntry {
                life, incarnation, ..
            } = &known.entry;
            match entry.life.compare(life) {
                Ordering::Less => return false,
                Ordering::Greater => {
                    let (incarnation, software) =
                        (incarnation.clone(), known.entry.software.clone());
                    if software != entry.software {
                        self.software.record_replaced(&incarnation, now);
                    }
                    drop(self.remove(&incarnation));
                }
                Ordering::Equal => {
                    entry.life.clone_from(life);
                    entry.incarnation.clone_from(incarnation);
                }
            }
        }
        let has_other_software = self
            .candidates
            .get(&entry.incarnation)
            .is_none_or(|known| known.entry.software != entry.software);
        if has_other_software {
            // The worker may be gone before the versions of all known workers are recorded the next time.
            self.software
                .record_listed(&entry.service, &entry.software, now);
        }
        let memory = self.memory_tokens(&entry.service);
        if let Some(known) = self.candidates.get_mut(&entry.incarnation) {
            let changed = known.entry.availability != entry.availability
                || known.entry.address != entry.address
                || known.grace_until.is_some();
            known.cold_until = now.saturating_add(entry.cold_left);
            if known.grace_until.is_some() {
                known.cold_suspicion = ColdSuspicion::listed(now);
            }
            known.entry = entry;
            known.grace_until = None;
            return changed;
        }
        let key = entry.incarnation.clone();
        self.incarnations.insert(entry.life.id.clone(), key.clone());
        let region = self.topology.dividing_region_of(&entry.zone).cloned();
        let mut candidate = Candidate::new(entry, region, memory, now);
        if let Some(before) = self.unlisted.remove(&key) {
            candidate.take_over_requests(before);
        }
        self.candidates.insert(key, candidate);
        true
    }

    /// Returns the known state of a worker, by its identifier.
    fn known_candidate(&self, id: &str) -> Option<&Candidate> {
        self.candidates.get(self.incarnations.get(id)?)
    }

    /// Returns the known incarnation of a worker, by its identifier.
    pub fn incarnation(&self, id: &str) -> Option<&str> {
        self.incarnations.get(id).map(String::as_str)
    }

    /// Returns the number of workers in a zone that are listed; those in a grace period do not
    /// count.
    pub fn listed_count(&self, zone: &str) -> usize {
        let listed = self.candidates.values();
        listed
            .filter(|candidate| candidate.entry.zone == zone && candidate.grace_until.is_none())
            .count()
    }

    /// Removes a worker. Its state is kept as long as requests of this node are there: its entry may return.
    fn remove(&mut self, incarnation: &str) -> Option<RemovedWorker> {
        let candidate = self.candidates.remove(incarnation)?;
        self.incarnations.remove(&candidate.entry.life.id);
        let removed = RemovedWorker {
            was_ready: candidate.entry.availability == Availability::Ready,
            incarnation: candidate.entry.incarnation.clone(),
            zone: candidate.entry.zone.clone(),
        };
        if candidate.own_requests() > 0 {
            self.unlisted.insert(incarnation.to_owned(), candidate);
        }
        Some(removed)
    }

    /// Returns whether an entry differs from the known one in something that matters for placement.
    /// Entries are renewed about every second, and most renewals change nothing.
    pub fn differs_from_known(&self, entry: &WorkerEntry) -> bool {
        let Some(known) = self.known_candidate(&entry.life.id) else {
            return true;
        };
        match entry.life.compare(&known.entry.life) {
            Ordering::Less => return false,
            Ordering::Greater => return true,
            Ordering::Equal => {}
        }
        let known_entry = WorkerEntry {
            life: entry.life.clone(),
            incarnation: entry.incarnation.clone(),
            cold_left: entry.cold_left,
            ..known.entry.clone()
        };
        let is_cold_unchanged = known.entry.cold_left.is_zero() == entry.cold_left.is_zero();
        known.grace_until.is_some() || known_entry != *entry || !is_cold_unchanged
    }

    /// Returns whether an entry extends the known cold period of a worker: the worker has become
    /// cold again.
    pub fn extends_cold_period(&self, entry: &WorkerEntry, now: Duration) -> bool {
        let known = self.known_candidate(&entry.life.id);
        known.is_some_and(|known| {
            let cold_until = now.saturating_add(entry.cold_left);
            cold_until > known.cold_until.saturating_add(COLD_PERIOD_TOLERANCE)
        })
    }

    /// Removes the workers with these identifiers, which a read of the directory no longer lists.
    ///
    /// While the log is unavailable, entries that cannot be renewed expire, and the workers list
    /// themselves again shortly after the log has recovered. `grace_until` is the end of that
    /// period, or `None` outside of it. If more than half of a service's workers are missing at
    /// once, the missing ones stay usable until then; otherwise they are removed.
    pub fn remove_unlisted(
        &mut self,
        ids: &BTreeSet<String>,
        grace_until: Option<Duration>,
    ) -> UnlistOutcome {
        let mut unlisted = UnlistOutcome::default();
        let listed = ids.iter().filter_map(|id| self.incarnations.get(id));
        let incarnations: BTreeSet<String> = listed.cloned().collect();
        let lapsed_services = match grace_until {
            Some(_) => self.services_mostly_among(&incarnations),
            None => BTreeSet::new(),
        };
        for incarnation in incarnations {
            let Some(candidate) = self.candidates.get_mut(&incarnation) else {
                continue;
            };
            if lapsed_services.contains(&candidate.entry.service) {
                candidate.grace_until = grace_until;
                unlisted.lapsed.push(incarnation);
            } else {
                unlisted.removed.extend(self.remove(&incarnation));
            }
        }
        unlisted
    }

    /// Removes and returns the workers whose entries lapsed and did not return within the grace
    /// period.
    pub fn remove_lapsed(&mut self, now: Duration) -> Vec<RemovedWorker> {
        let overdue = self.candidates.iter().filter(|(_, candidate)| {
            let until = candidate.grace_until;
            until.is_some_and(|until| until <= now)
        });
        let removed: Vec<String> = overdue
            .map(|(incarnation, _)| incarnation.clone())
            .collect();
        removed
            .iter()
            .filter_map(|incarnation| self.remove(incarnation))
            .collect()
    }

    /// Returns the services of which more than half of the workers are among `incarnations`.
    fn services_mostly_among(&self, incarnations: &BTreeSet<String>) -> BTreeSet<String> {
        let mut counts: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for candidate in self.candidates.values() {
            let (all, missing) = counts.entry(&candidate.entry.service).or_default();
            *all += 1;
            *missing += usize::from(incarnations.contains(&candidate.entry.incarnation));
        }
        let affected = counts
            .into_iter()
            .filter(|(_, (all, missing))| missing * 2 > *all);
        affected.map(|(service, _)| service.to_owned()).collect()
    }
}
