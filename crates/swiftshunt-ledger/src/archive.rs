//! The archive of one partition: a log stream of committed entries and generation claims, and the
//! rules of its replay.
//!
//! The stream gives only append, read and offsets, so every rule is settled by replay, the same for
//! every reader: the first valid claim of a generation wins; a record of any other generation than
//! the one in force is void; an entry at an index already replayed is a repeated append and dropped.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use swiftshunt_types::{NodeId, ZoneName};

use crate::raft::{Entry, LogPosition, Payload, StateMachine};
use crate::state::{Command, LedgerState};

/// The number of rebuilds of a partition's group; the first group is generation 1.
pub type Generation = u64;

/// A member named by a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimedMember {
    /// The replica's identity.
    pub node: NodeId,
    /// Where it can be reached.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
}

/// A record of the archive stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ArchiveRecord {
    /// Opens a generation over everything archived before it.
    Claim {
        /// The generation claimed; valid only if it follows the one in force.
        generation: Generation,
        /// The voters of the new group.
        members: Vec<ClaimedMember>,
    },
    /// Committed entries of a generation, contiguous.
    Entries {
        /// The generation that committed them.
        generation: Generation,
        /// The entries.
        entries: Vec<Entry<Command>>,
    },
}

/// What one record did at replay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordEffect {
    /// A new generation is in force.
    Claimed,
    /// Entries after the given position are archived.
    Archived {
        /// The last entry replayed before.
        after: LogPosition,
    },
    /// The record is void or repeats earlier ones.
    Ignored,
}

/// How far a reader of the stream is: enough to judge each next record, without the state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ArchivePosition {
    /// The generation in force; 0 before the first claim.
    pub generation: Generation,
    /// The voters with which the generation started.
    pub members: Vec<ClaimedMember>,
    /// The last entry replayed.
    pub last: LogPosition,
    /// The last entry that earlier generations left: the base of the one in force.
    pub base: LogPosition,
    /// The next offset to read.
    pub next_offset: u64,
}

impl ArchivePosition {
    /// Judges the next record of the stream.
    pub fn advance(&mut self, record: &ArchiveRecord) -> RecordEffect {
        self.next_offset += 1;
        match record {
            ArchiveRecord::Claim {
                generation,
                members,
            } => self.claim(*generation, members),
            ArchiveRecord::Entries {
                generation,
                entries,
            } => self.entries(*generation, entries),
        }
    }

    fn claim(&mut self, generation: Generation, members: &[ClaimedMember]) -> RecordEffect {
        if generation != self.generation + 1 || members.is_empty() {
            return RecordEffect::Ignored;
        }
        self.generation = generation;
        self.members = members.to_vec();
        self.base = self.last;
        RecordEffect::Claimed
    }

    fn entries(&mut self, generation: Generation, entries: &[Entry<Command>]) -> RecordEffect {
        let after = self.last;
        if generation == self.generation {
            for entry in entries {
                if entry.position.index == self.last.index + 1 {
                    self.last = entry.position;
                }
            }
        }
        if self.last == after {
            return RecordEffect::Ignored;
        }
        RecordEffect::Archived { after }
    }
}

/// The state that a prefix of the stream stands for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replay {
    /// How far the stream is replayed.
    pub position: ArchivePosition,
    /// The state as of the last entry replayed.
    pub state: LedgerState,
    /// The state as of the base of the generation in force.
    pub base_state: LedgerState,
    /// The offset after the claim of the generation in force.
    pub base_offset: u64,
}

impl Replay {
    /// Applies the next record of the stream.
    pub fn apply(&mut self, record: &ArchiveRecord) {
        match (self.position.advance(record), record) {
            (RecordEffect::Claimed, _) => {
                self.base_state = self.state.clone();
                self.base_offset = self.position.next_offset;
            }
            (RecordEffect::Archived { after }, ArchiveRecord::Entries { entries, .. }) => {
                self.apply_entries(after, entries);
            }
            _ => {}
        }
    }

    fn apply_entries(&mut self, after: LogPosition, entries: &[Entry<Command>]) {
        let new = entries
            .iter()
            .filter(|entry| entry.position.index > after.index);
        for entry in new {
            if let Payload::Command(command) = &entry.payload {
                self.state.apply(command);
            }
        }
    }
}
