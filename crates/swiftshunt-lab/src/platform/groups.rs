//! Groups of the store's stand-in: members that share partitions.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

struct Member {
    expires_at: Instant,
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
    fn rebalance(&mut self, partitions: u32, changed: bool) {
        let now = Instant::now();
        let before = self.members.len();
        self.members.retain(|_, member| member.expires_at > now);
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
    pub(super) fn join(&mut self, member: &str, ttl: Duration, partitions: u32) {
        let expires_at = Instant::now() + ttl;
        let previous = self
            .members
            .insert(member.to_owned(), Member { expires_at });
        self.rebalance(partitions, previous.is_none());
    }

    /// A member leaves.
    pub(super) fn leave(&mut self, member: &str, partitions: u32) {
        let previous = self.members.remove(member);
        self.rebalance(partitions, previous.is_some());
    }

    /// Moves each partition to the member behind its present one.
    pub(super) fn rotate_owners(&mut self) {
        let names: Vec<String> = self.members.keys().cloned().collect();
        let count = names.len().max(1);
        self.generation += 1;
        for owner in self.owners.values_mut() {
            let position = names.iter().position(|name| name == owner);
            if let Some(name) = names.get((position.unwrap_or(0) + 1) % count) {
                owner.clone_from(name);
            }
        }
    }
}
