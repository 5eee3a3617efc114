//! A driver's use of the archive: appending committed entries, handling the results of archive tasks
//! and rebuilding a lost group.

use swiftshunt_backends::log_service::LogError;
use swiftshunt_ledger::archive::{ArchivePosition, ArchiveRecord, Generation, Replay};
use swiftshunt_ledger::raft::ArchiveMark;
use swiftshunt_types::Monotonic;

use super::Driver;
use crate::ledger::input::ArchiveEvent;
use crate::ledger::recovery::claim_after;
use crate::ledger::replica::Replica;
use crate::lock;

/// Most entries in one archive record.
const MAX_ENTRIES_PER_RECORD: usize = 256;

impl Driver {
    /// Starts to append committed entries to the archive, if this replica leads and an append is due.
    pub(super) fn write_archive(&mut self, now: Monotonic) {
        let Some(replica) = self.replica.as_mut() else {
            return;
        };
        if replica.leadership.is_none() {
            return;
        }
        let committed = replica.raft.commit_index();
        let archived = replica.raft.archived().index;
        replica.writer.observe(committed, archived, now);
        let Some(after) = replica.writer.next_append_after(committed, archived, now) else {
            return;
        };
        let entries = replica.raft.committed_after(after, MAX_ENTRIES_PER_RECORD);
        let Some(last) = entries.last() else {
            return;
        };
        let up_to = last.position.index;
        replica.writer.on_append_started(now);
        let record = ArchiveRecord::Entries {
            generation: replica.generation,
            entries,
        };
        self.archive.append(record, up_to);
    }

    /// Sends the replies whose entries are archived, or committed while the archive is unavailable.
    pub(super) fn acknowledge(&mut self, now: Monotonic) {
        let wait = self.context.settings.ledger.archive_wait;
        let Some(replica) = self.replica.as_mut() else {
            return;
        };
        let bound = if replica.writer.is_unavailable(wait, now) {
            replica.raft.commit_index()
        } else {
            replica.raft.archived().index
        };
        replica.acknowledgements.flush(bound);
    }

    pub(super) fn on_archive(&mut self, event: ArchiveEvent, now: Monotonic) {
        match event {
            ArchiveEvent::Appended { up_to } => {
                if let Some(replica) = self.replica.as_mut() {
                    replica.writer.on_append_succeeded(up_to, now);
                }
            }
            ArchiveEvent::AppendFailed { reason } => {
                log::warn!(partition = self.partition.0;
                    "append to the archive failed or was not acknowledged; appending its entries again unless the archive shows them: {reason}");
                if let Some(replica) = self.replica.as_mut() {
                    let archived = replica.raft.archived().index;
                    replica.writer.on_append_failed(archived, now);
                }
            }
            ArchiveEvent::Tail(position) => self.on_tail(&position),
            ArchiveEvent::Verified {
                started_at,
                outcome,
            } => self.on_verified(started_at, outcome, now),
            ArchiveEvent::Replayed(outcome) => self.on_replayed(outcome, now),
            ArchiveEvent::ClaimAppended => self.recovery.schedule_replay_now(now),
        }
    }

    pub(super) fn on_tail(&mut self, position: &ArchivePosition) {
        let Some(replica) = self.replica.as_mut() else {
            return;
        };
        if position.generation > replica.generation {
            self.recovery.known_generation = position.generation;
            self.retire();
        } else if position.generation == replica.generation {
            replica.writer.on_tail_advanced();
            replica.raft.set_archived(ArchiveMark {
                index: position.last.index,
                next_offset: position.next_offset,
            });
        }
    }

    pub(super) fn on_verified(
        &mut self,
        started_at: Monotonic,
        outcome: Result<ArchivePosition, LogError>,
        now: Monotonic,
    ) {
        self.is_verifying = false;
        let Some(replica) = self.replica.as_mut() else {
            return;
        };
        let Ok(position) = outcome else {
            return;
        };
        if position.generation == replica.generation {
            replica.verified_at = started_at;
            return;
        }
        log::warn!(partition = self.partition.0, generation = position.generation;
            "a newer generation has superseded the replica; dropping the replica");
        self.recovery.known_generation = position.generation;
        self.retire();
        self.recovery.schedule_replay_now(now);
    }

    // Recovery.

    pub(super) fn recover(&mut self, now: Monotonic) {
        if self.has_working_leader(now) {
            self.recovery.restart_leaderless_time(now);
            return;
        }
        let delay = self.context.settings.ledger.rebuild_delay;
        let has_replica = self.replica.is_some();
        if self.recovery.try_begin_replay(has_replica, delay, now) {
            self.archive.replay();
        }
    }

    /// Whether the partition has a working leader: this replica leads or has recent contact to the
    /// leader, or the last known leader is another node that is reachable.
    pub(super) fn has_working_leader(&self, now: Monotonic) -> bool {
        let timeout = self.context.settings.ledger.election_timeout * 2;
        let has_leader_contact = self.replica.as_ref().is_some_and(|replica| {
            let last_contact = replica.raft.last_leader_contact();
            let is_recent = last_contact.is_some_and(|last_contact| now < last_contact + timeout);
            replica.raft.holds_lease(now) || (replica.raft.leader().is_some() && is_recent)
        });
        if has_leader_contact {
            return true;
        }
        let Some(leader) = self.known_leader() else {
            return false;
        };
        let membership = lock(&self.context.membership);
        leader.node != self.context.own.id
            && membership
                .record(leader.node)
                .is_some_and(|record| record.state.is_reachable())
    }

    pub(super) fn on_replayed(&mut self, outcome: Result<Box<Replay>, LogError>, now: Monotonic) {
        let replay = match outcome {
            Ok(replay) => replay,
            Err(error) => {
                log::warn!(partition = self.partition.0;
                    "replay of the archive failed; it will be retried: {error}");
                self.recovery.record_failed_replay();
                self.recovery.finish_replay(now);
                return;
            }
        };
        let generation = replay.position.generation;
        self.recovery.record_replayed(generation);
        let current = self
            .replica
            .as_ref()
            .map_or(0, |replica| replica.generation);
        self.recovery.known_generation = self.recovery.known_generation.max(generation);
        let members = replay.position.members.iter();
        let is_member = members
            .clone()
            .any(|member| member.node == self.context.own.id);
        if generation > current && is_member && generation > self.retired_generation {
            self.start_claimed(&replay, now);
        } else if generation > current {
            self.retire();
        }
        self.recovery.finish_replay(now);
        self.claim_if_due(generation, now);
    }

    pub(super) fn start_claimed(&mut self, replay: &Replay, now: Monotonic) {
        self.retire();
        let config = self.context.settings.ledger.clone();
        let replica = Replica::from_claim(self.context.own.id, config, replay, now);
        log::info!(partition = self.partition.0, generation = replica.generation;
            "started a replica as a voter of a claimed generation");
        self.replica = Some(replica);
        self.recovery.restart_leaderless_time(now);
    }

    pub(super) fn claim_if_due(&mut self, generation: Generation, now: Monotonic) {
        let delay = self.context.settings.ledger.rebuild_delay;
        let lost = self.recovery.is_lost(delay, now);
        if self.has_working_leader(now) || generation < self.recovery.known_generation {
            return;
        }
        let Some(claim) = claim_after(&self.context, self.partition, generation, lost) else {
            return;
        };
        self.context.decisions.record(
            format!("partition {}", self.partition),
            format!("claim generation {}", generation + 1),
            "no group has led for the rebuild delay, or none existed",
        );
        self.archive.claim(claim);
    }
}
