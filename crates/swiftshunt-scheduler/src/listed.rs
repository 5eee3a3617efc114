//! Which workers a node knows: those that the directory lists, and for a short while those whose entries
//! lapsed while the log was away.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::candidate::Candidate;
use crate::directory::{WorkerEntry, WorkerLife};
use crate::selection::Selector;

/// What became of workers that the directory no longer lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Unlisted {
    /// Those that are gone.
    pub gone: Vec<String>,
    /// Those that serve on until their entries are back or the time for that is over.
    pub lapsed: Vec<String>,
}

/// How a life stands to the one that is known of the same worker.
enum Life {
    /// It is that one, or none is known.
    Same,
    /// It came later, and that one, of this incarnation, has ended.
    Later(String),
    /// It had ended before that one began.
    Earlier,
    /// Its start is not told: it is taken for that one, of this incarnation.
    Untold(String),
}

impl Selector {
    /// Takes an entry of the directory; gives whether its availability or address is new.
    pub fn apply(&mut self, mut entry: WorkerEntry, now: Duration) -> bool {
        match self.compare_lives(&entry.life) {
            Life::Earlier => return false,
            Life::Later(ended) => self.remove(&ended),
            Life::Untold(known) => entry.incarnation = known,
            Life::Same => {}
        }
        let memory = self.memory_tokens(&entry.service);
        if let Some(known) = self.candidates.get_mut(&entry.incarnation) {
            let changed = known.entry.availability != entry.availability
                || known.entry.address != entry.address
                || known.lapsed_until.is_some();
            known.entry = entry;
            known.lapsed_until = None;
            return changed;
        }
        let key = entry.incarnation.clone();
        self.incarnations.insert(entry.life.id.clone(), key.clone());
        self.candidates
            .insert(key, Candidate::new(entry, memory, now));
        true
    }

    /// How a life stands to the one that is known under its identifier.
    fn compare_lives(&self, life: &WorkerLife) -> Life {
        let Some(known) = self.incarnations.get(&life.id) else {
            return Life::Same;
        };
        let candidate = self.candidates.get(known);
        let known_start = candidate.and_then(|candidate| candidate.entry.life.started_unix_ms);
        match (known_start, life.started_unix_ms) {
            (Some(_), None) => Life::Untold(known.clone()),
            (before, after) if after > before => Life::Later(known.clone()),
            (before, after) if after < before => Life::Earlier,
            _ => Life::Same,
        }
    }

    /// Removes a worker, and all that is believed of it.
    fn remove(&mut self, incarnation: &str) {
        if let Some(candidate) = self.candidates.remove(incarnation) {
            self.incarnations.remove(&candidate.entry.life.id);
        }
    }

    /// Whether an entry says something that matters for a choice and is not known; entries are written
    /// anew every second or so, and most of them say nothing new.
    pub fn is_news(&self, entry: &WorkerEntry) -> bool {
        if matches!(self.compare_lives(&entry.life), Life::Earlier) {
            return false;
        }
        let Some(known) = self.candidates.get(&entry.incarnation) else {
            return true;
        };
        let before = WorkerEntry {
            cold_left: entry.cold_left,
            ..known.entry.clone()
        };
        let is_cold_as_before = known.entry.cold_left.is_zero() == entry.cold_left.is_zero();
        known.lapsed_until.is_some() || before != *entry || !is_cold_as_before
    }

    /// Removes workers, by their identifiers, that one reading of the directory no longer lists.
    ///
    /// A log that was away has dropped the entries of workers that could not renew them, and they
    /// list themselves again a moment after its return. `lapses_until` is the end of that moment,
    /// while it lasts: until then the workers of a service serve on of which more than half vanished
    /// at once. Few of many that vanish are taken as gone.
    pub fn unlist(&mut self, ids: &BTreeSet<String>, lapses_until: Option<Duration>) -> Unlisted {
        let mut unlisted = Unlisted::default();
        let listed = ids.iter().filter_map(|id| self.incarnations.get(id));
        let incarnations: BTreeSet<String> = listed.cloned().collect();
        let lapsing = match lapses_until {
            Some(_) => self.mostly_in(&incarnations),
            None => BTreeSet::new(),
        };
        for incarnation in incarnations {
            let Some(candidate) = self.candidates.get_mut(&incarnation) else {
                continue;
            };
            if lapsing.contains(&candidate.entry.service) {
                candidate.lapsed_until = lapses_until;
                unlisted.lapsed.push(incarnation);
            } else {
                self.remove(&incarnation);
                unlisted.gone.push(incarnation);
            }
        }
        unlisted
    }

    /// Removes workers whose entries lapsed and are not back in time; gives their incarnations.
    pub fn remove_lapsed(&mut self, now: Duration) -> Vec<String> {
        let over = self.candidates.iter().filter(|(_, candidate)| {
            let until = candidate.lapsed_until;
            until.is_some_and(|until| until <= now)
        });
        let removed: Vec<String> = over.map(|(incarnation, _)| incarnation.clone()).collect();
        for incarnation in &removed {
            self.remove(incarnation);
        }
        removed
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
