//! Which workers a node knows: those that the directory lists, and for a short while those whose entries
//! lapsed while the log was away.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::candidate::Candidate;
use crate::cold::worker_state::ColdSuspicion;
use crate::directory::WorkerEntry;
use crate::selection::Selector;

/// Difference between what entries tell of the same cold time, by their ways.
const COLDER_BY: Duration = Duration::from_millis(400);

/// A worker that is gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemovedWorker {
    /// Its incarnation.
    pub incarnation: String,
    /// Its zone.
    pub zone: String,
}

/// What became of workers that the directory no longer lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnlistOutcome {
    /// Those that are gone.
    pub removed: Vec<RemovedWorker>,
    /// Those that serve on until their entries are back or the time for that is over.
    pub lapsed: Vec<String>,
}

impl Selector {
    /// Takes an entry of the directory; gives whether its availability or address is new.
    pub fn apply_entry(&mut self, mut entry: WorkerEntry, now: Duration) -> bool {
        if let Some(known) = self.known(&entry.life.id) {
            let WorkerEntry {
                life, incarnation, ..
            } = &known.entry;
            match entry.life.compare(life) {
                Ordering::Less => return false,
                Ordering::Greater => drop(self.remove(&incarnation.clone())),
                Ordering::Equal => {
                    entry.life.clone_from(life);
                    entry.incarnation.clone_from(incarnation);
                }
            }
        }
        let memory = self.memory_tokens(&entry.service);
        if let Some(known) = self.candidates.get_mut(&entry.incarnation) {
            let changed = known.entry.availability != entry.availability
                || known.entry.address != entry.address
                || known.grace_until.is_some();
            known.cold_until = now + entry.cold_left;
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
        let candidate = Candidate::new(entry, region, memory, now);
        self.candidates.insert(key, candidate);
        true
    }

    /// What is known of a worker's life.
    fn known(&self, id: &str) -> Option<&Candidate> {
        self.candidates.get(self.incarnations.get(id)?)
    }

    /// The incarnation of a worker's life that is known.
    pub fn incarnation(&self, id: &str) -> Option<&str> {
        self.incarnations.get(id).map(String::as_str)
    }

    /// How many workers are listed in a zone.
    pub fn listed_count(&self, zone: &str) -> usize {
        let listed = self.candidates.values();
        listed
            .filter(|candidate| candidate.entry.zone == zone && candidate.grace_until.is_none())
            .count()
    }

    /// Removes a worker, and all that is believed of it.
    fn remove(&mut self, incarnation: &str) -> Option<RemovedWorker> {
        let candidate = self.candidates.remove(incarnation)?;
        self.incarnations.remove(&candidate.entry.life.id);
        Some(RemovedWorker {
            incarnation: candidate.entry.incarnation,
            zone: candidate.entry.zone,
        })
    }

    /// Whether an entry says something that matters for a choice and is not known; entries are written
    /// anew every second or so, and most of them say nothing new.
    pub fn differs_from_known(&self, entry: &WorkerEntry) -> bool {
        let Some(known) = self.known(&entry.life.id) else {
            return true;
        };
        match entry.life.compare(&known.entry.life) {
            Ordering::Less => return false,
            Ordering::Greater => return true,
            Ordering::Equal => {}
        }
        let before = WorkerEntry {
            life: entry.life.clone(),
            incarnation: entry.incarnation.clone(),
            cold_left: entry.cold_left,
            ..known.entry.clone()
        };
        let is_cold_as_before = known.entry.cold_left.is_zero() == entry.cold_left.is_zero();
        known.grace_until.is_some() || before != *entry || !is_cold_as_before
    }

    /// Whether an entry says that a worker is cold for longer than is known: it has turned cold again.
    pub fn extends_cold_period(&self, entry: &WorkerEntry, now: Duration) -> bool {
        let known = self.known(&entry.life.id);
        known.is_some_and(|known| now + entry.cold_left > known.cold_until + COLDER_BY)
    }

    /// Removes workers, by their identifiers, that one reading of the directory no longer lists.
    ///
    /// A log that was away has dropped the entries of workers that could not renew them, and they
    /// list themselves again a moment after its return. `grace_until` is the end of that moment,
    /// while it lasts: until then the workers of a service serve on of which more than half vanished
    /// at once. Few of many that vanish are taken as gone.
    pub fn remove_unlisted(
        &mut self,
        ids: &BTreeSet<String>,
        grace_until: Option<Duration>,
    ) -> UnlistOutcome {
        let mut unlisted = UnlistOutcome::default();
        let listed = ids.iter().filter_map(|id| self.incarnations.get(id));
        let incarnations: BTreeSet<String> = listed.cloned().collect();
        let lapsing = match grace_until {
            Some(_) => self.mostly_in(&incarnations),
            None => BTreeSet::new(),
        };
        for incarnation in incarnations {
            let Some(candidate) = self.candidates.get_mut(&incarnation) else {
                continue;
            };
            if lapsing.contains(&candidate.entry.service) {
                candidate.grace_until = grace_until;
                unlisted.lapsed.push(incarnation);
            } else {
                unlisted.removed.extend(self.remove(&incarnation));
            }
        }
        unlisted
    }

    /// Removes workers whose entries lapsed and are not back in time; gives them.
    pub fn remove_lapsed(&mut self, now: Duration) -> Vec<RemovedWorker> {
        let over = self.candidates.iter().filter(|(_, candidate)| {
            let until = candidate.grace_until;
            until.is_some_and(|until| until <= now)
        });
        let removed: Vec<String> = over.map(|(incarnation, _)| incarnation.clone()).collect();
        removed
            .iter()
            .filter_map(|incarnation| self.remove(incarnation))
            .collect()
    }

    /// Services of which more than half of the workers are among these.
    fn mostly_in(&self, incarnations: &BTreeSet<String>) -> BTreeSet<String> {
        let mut counts: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for candidate in self.candidates.values() {
            let (all, among) = counts.entry(&candidate.entry.service).or_default();
            *all += 1;
            *among += usize::from(incarnations.contains(&candidate.entry.incarnation));
        }
        let most = counts
            .into_iter()
            .filter(|(_, (all, among))| among * 2 > *all);
        most.map(|(service, _)| service.to_owned()).collect()
    }
}
