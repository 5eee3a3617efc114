//! Recovery of a partition without a working group: when to replay the archive and when to claim a
//! generation.

use std::time::Duration;

use swiftshunt_ledger::archive::{ArchiveRecord, ClaimedMember, Generation};
use swiftshunt_types::{Monotonic, PartitionId};

use crate::context::Context;
use crate::lock;

/// Delay between replays while no generation is known.
const INITIAL_REPLAY_DELAY: Duration = Duration::from_millis(100);
/// Delay between replays while the group of a known generation has no leader.
const REPLAY_DELAY: Duration = Duration::from_millis(500);

/// A driver's state of recovery from the archive.
#[derive(Debug)]
pub(super) struct Recovery {
    /// The newest generation seen in the archive or in messages of other replicas.
    pub(super) known_generation: Generation,
    /// The newest generation whose claim a replay has shown, or could not show because the archive did not answer.
    looked_up_generation: Generation,
    /// The newest generation seen in messages whose claim has not been looked up.
    requested_generation: Generation,
    is_replaying: bool,
    next_replay: Monotonic,
    /// Time since which this node has seen no working leader of the partition; at least the start of
    /// the driver and of the last replica that it started from a claim.
    leaderless_since: Monotonic,
}

impl Recovery {
    pub(super) fn new(now: Monotonic) -> Self {
        Self {
            known_generation: 0,
            looked_up_generation: 0,
            requested_generation: 0,
            is_replaying: false,
            next_replay: now,
            leaderless_since: now,
        }
    }

    /// Restarts the time without a leader, because the partition has a working leader or a group that
    /// has just been claimed.
    pub(super) fn restart_leaderless_time(&mut self, now: Monotonic) {
        self.leaderless_since = now;
    }

    /// Whether a replay of the archive is due; if so, marks a replay as running.
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

    /// Whether a replica of a generation may start as a learner: its claim was looked up, and a replica of a claimed member
    /// would have been started then.
    pub(super) fn may_start_learner(&self, generation: Generation) -> bool {
        generation <= self.looked_up_generation
    }

    /// Begins a replay that looks up the claim of a generation, unless a replay is running. Returns whether it began.
    pub(super) fn try_begin_replay_of(&mut self, generation: Generation) -> bool {
        self.requested_generation = self.requested_generation.max(generation);
        !std::mem::replace(&mut self.is_replaying, true)
    }

    /// Records that a replay has shown the claims up to a generation.
    pub(super) fn record_replayed(&mut self, generation: Generation) {
        self.looked_up_generation = self.looked_up_generation.max(generation);
    }

    /// Records that a replay failed: replicas start without the claims that were asked for.
    pub(super) fn record_failed_replay(&mut self) {
        self.looked_up_generation = self.looked_up_generation.max(self.requested_generation);
    }

    /// Marks the replay as ended and schedules the next one.
    pub(super) fn finish_replay(&mut self, now: Monotonic) {
        self.is_replaying = false;
        let delay = if self.known_generation == 0 {
            INITIAL_REPLAY_DELAY
        } else {
            REPLAY_DELAY
        };
        self.next_replay = now + delay;
    }

    /// Marks any replay as ended and makes the next one due at once.
    pub(super) fn schedule_replay_now(&mut self, now: Monotonic) {
        self.is_replaying = false;
        self.next_replay = now;
    }

    /// Whether the partition has had no leader for the rebuild delay.
    pub(super) fn is_lost(&self, rebuild_delay: Duration, now: Monotonic) -> bool {
        now >= self.leaderless_since + rebuild_delay
    }
}

/// The claim that this node should append after generation `last`; `None` if no claim is due or this
/// node is not its zone's candidate.
///
/// A claim needs candidates in a majority of the zones. The first claim of a partition also waits for
/// candidates in every zone, or for the rebuild delay, so that a starting fleet does not leave out a
/// zone.
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
