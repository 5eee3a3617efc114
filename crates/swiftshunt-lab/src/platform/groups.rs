//! Groups of the store's stand-in: members that share partitions.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

struct Member {
    until: Instant,
}

/// Members and what they own.
#[derive(Default)]
pub(super) struct Group {
    members: BTreeMap<String, Member>,
    /// Rises with each change.
    pub(super) generation: u64,
    /// Owner of each partition.
    pub(super) owners: BTreeMap<u32, String>,
}

impl Group {
    /// Removes members that have been silent for too long, and deals partitions evenly if the
    /// members changed.
    fn settle(&mut self, partitions: u32, changed: bool) {
        let now = Instant::now();
        let before = self.members.len();
        self.members.retain(|_, member| member.until > now);
        if !changed && before == self.members.len() {
            return;
        }
        self.generation += 1;
        let names: Vec<String> = self.members.keys().cloned().collect();
        self.owners.clear();
        for partition in 0..partitions {
            if let Some(owner) = names.get(partition as usize % names.len().max(1)) {
                self.owners.insert(partition, owner.clone());
            }
        }
    }

    /// A member joins, or stays for `time` more.
    pub(super) fn join(&mut self, member: &str, time: Duration, partitions: u32) {
        let until = Instant::now() + time;
        let known = self.members.insert(member.to_owned(), Member { until });
        self.settle(partitions, known.is_none());
    }

    /// A member leaves.
    pub(super) fn leave(&mut self, member: &str, partitions: u32) {
        let known = self.members.remove(member);
        self.settle(partitions, known.is_some());
    }

    /// Moves each partition to the member behind its present one.
    pub(super) fn deal_anew(&mut self) {
        let names: Vec<String> = self.members.keys().cloned().collect();
        let count = names.len().max(1);
        self.generation += 1;
        for owner in self.owners.values_mut() {
            let place = names.iter().position(|name| name == owner);
            if let Some(name) = names.get((place.unwrap_or(0) + 1) % count) {
                owner.clone_from(name);
            }
        }
    }
}
