//! Groups of the store stand-in: their members share the partitions of a topic.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

struct Member {
    /// Time after which the next join or leave of any member removes this one.
    expires_at: Instant,
}

/// The members of a group and the partitions that each of them owns.
#[derive(Default)]
pub(super) struct Group {
    members: BTreeMap<String, Member>,
    /// Increases by one with each change of the members or owners.
    pub(super) generation: u64,
    /// Owner of each partition.
    pub(super) owners: BTreeMap<u32, String>,
}

impl Group {
    /// Removes expired members. If that or the caller (`changed`) changed the set of members, assigns the
    /// partitions to them in turn.
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

    /// Adds a member, or renews its membership, until `ttl` from now.
    pub(super) fn join(&mut self, member: &str, ttl: Duration, partitions: u32) {
        let expires_at = Instant::now() + ttl;
        let previous = self
            .members
            .insert(member.to_owned(), Member { expires_at });
        self.rebalance(partitions, previous.is_none());
    }

    /// Removes a member at once.
    pub(super) fn leave(&mut self, member: &str, partitions: u32) {
        let previous = self.members.remove(member);
        self.rebalance(partitions, previous.is_some());
    }

    /// Assigns each partition to the member that follows its owner in the order of names.
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
