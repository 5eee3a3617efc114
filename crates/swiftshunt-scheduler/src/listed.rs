//! Which workers a node knows: those that the directory lists, and for a short while those whose entries
//! lapsed while the log was away.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::candidate::Candidate;
use crate::directory::WorkerEntry;
use crate::selection::Selector;

/// What became of workers that the directory no longer lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Unlisted {
    /// Those that are gone.
    pub gone: Vec<String>,
    /// Those that serve on until their entries are back or the time for that is over.
    pub lapsed: Vec<String>,
}

impl Selector {
    /// Takes an entry of the directory; gives whether its availability or address is new.
    pub fn apply(&mut self, entry: WorkerEntry, now: Duration) -> bool {
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
        self.candidates
            .insert(key, Candidate::new(entry, memory, now));
        true
    }

    /// Whether an entry says something that matters for a choice and is not known; entries are written
    /// anew every second or so, and most of them say nothing new.
    pub fn is_news(&self, entry: &WorkerEntry) -> bool {
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

    /// Removes workers that one reading of the directory no longer lists.
    ///
    /// A log that was away has dropped the entries of workers that could not renew them, and they
    /// list themselves again a moment after its return. `lapses_until` is the end of that moment,
    /// while it lasts: until then the workers of a service serve on of which more than half vanished
    /// at once. Few of many that vanish are taken as gone.
    pub fn unlist(
        &mut self,
        incarnations: &BTreeSet<String>,
        lapses_until: Option<Duration>,
    ) -> Unlisted {
        let mut unlisted = Unlisted::default();
        let lapsing = match lapses_until {
            Some(_) => self.mostly_in(incarnations),
            None => BTreeSet::new(),
        };
        for incarnation in incarnations {
            let Some(candidate) = self.candidates.get_mut(incarnation) else {
                continue;
            };
            if lapsing.contains(&candidate.entry.service) {
                candidate.lapsed_until = lapses_until;
                unlisted.lapsed.push(incarnation.clone());
            } else {
                self.candidates.remove(incarnation);
                unlisted.gone.push(incarnation.clone());
            }
        }
        unlisted
    }

    /// Removes workers whose entries lapsed and are not back in time; gives their incarnations.
    pub fn remove_lapsed(&mut self, now: Duration) -> Vec<String> {
        let mut removed = Vec::new();
        self.candidates.retain(|incarnation, candidate| {
            let stays = candidate.lapsed_until.is_none_or(|until| now < until);
            if !stays {
                removed.push(incarnation.clone());
            }
            stays
        });
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
