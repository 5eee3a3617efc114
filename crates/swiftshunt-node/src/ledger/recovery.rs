//! When a partition has no group, or has lost it: reading the archive and claiming a generation.

use std::time::Duration;

use swiftshunt_ledger::archive::{ArchiveRecord, ClaimedMember, Generation};
use swiftshunt_types::{Monotonic, PartitionId};

use crate::context::Context;
use crate::lock;

/// Pause between replays while no group exists yet.
const INITIAL_REPLAY_DELAY: Duration = Duration::from_millis(100);
/// Pause between replays while a group is lost.
const REPLAY_DELAY: Duration = Duration::from_millis(500);

/// What a driver keeps about the archive while it has no working group.
#[derive(Debug)]
pub(super) struct Recovery {
    /// The newest generation that the archive or another replica has shown.
    pub(super) known_generation: Generation,
    is_replaying: bool,
    next_replay: Monotonic,
    leaderless_since: Monotonic,
}

impl Recovery {
    pub(super) fn new(now: Monotonic) -> Self {
        Self {
            known_generation: 0,
            is_replaying: false,
            next_replay: now,
            leaderless_since: now,
        }
    }

    /// Notes that some leader works.
    pub(super) fn record_working_leader(&mut self, now: Monotonic) {
        self.leaderless_since = now;
    }

    /// Whether the archive should be replayed now; marks it as under way.
    pub(super) fn try_begin_replay(
        &mut self,
        has_replica: bool,
        rebuild_delay: Duration,
        now: Monotonic,
    ) -> bool {
        let never_claimed = !has_replica && self.known_generation == 0;
        let is_lost = now >= self.leaderless_since + rebuild_delay;
        if self.is_replaying || now < self.next_replay || !(never_claimed || is_lost) {
            return false;
        }
        self.is_replaying = true;
        true
    }

    /// A replay or a claim ended.
    pub(super) fn finish_replay(&mut self, now: Monotonic) {
        self.is_replaying = false;
        let delay = if self.known_generation == 0 {
            INITIAL_REPLAY_DELAY
        } else {
            REPLAY_DELAY
        };
        self.next_replay = now + delay;
    }

    /// The next replay is due at once.
    pub(super) fn schedule_replay_now(&mut self, now: Monotonic) {
        self.is_replaying = false;
        self.next_replay = now;
    }

    /// Whether the partition has been without a leader for the whole rebuild delay.
    pub(super) fn is_lost(&self, rebuild_delay: Duration, now: Monotonic) -> bool {
        now >= self.leaderless_since + rebuild_delay
    }
}

/// The claim that this node should make after generation `last`, if it is the one to make it.
///
/// A claim needs members in a majority of zones. The first one of all waits for every zone, or for
/// the rebuild delay, so that a fleet that starts does not leave a zone out.
pub(super) fn claim_after(
    context: &Context,
    partition: PartitionId,
    last: Generation,
    is_lost: bool,
) -> Option<ArchiveRecord> {
    let candidates = context.placement.candidates(context, partition);
    let replicas = context.settings.ledger.replicas;
    let own_zone = &context.own.zone;
    if candidates.get(own_zone) != Some(&context.own.id) {
        return None;
    }
    let has_all_zones = candidates.len() == replicas;
    let has_majority = candidates.len() > replicas / 2;
    let is_due = is_lost || (last == 0 && has_all_zones);
    if !has_majority || !is_due {
        return None;
    }
    let membership = lock(&context.membership);
    let members = candidates.values().filter_map(|node| {
        let member = &membership.record(*node)?.member;
        Some(ClaimedMember {
            node: member.id,
            address: member.peer,
            zone: member.zone.clone(),
        })
    });
    Some(ArchiveRecord::Claim {
        generation: last + 1,
        members: members.collect(),
    })
}
