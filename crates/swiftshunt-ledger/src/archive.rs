//! The archive of one partition: a log stream of committed entries and generation claims, and the
//! rules for replaying it.
//!
//! The stream offers only append, read and offsets, so conflicts are resolved at replay, in the same
//! way by every reader: the first valid claim of a generation wins; entries of a generation other
//! than the current one are ignored; an entry whose index is already replayed comes from a repeated
//! append and is dropped.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use swiftshunt_types::{NodeId, ZoneName};

use crate::raft::{Entry, LogPosition, Payload, StateMachine};
use crate::state::{Command, LedgerState};

/// Number of a partition's replica group. The first group has generation 1; each rebuild from the
/// archive adds 1.
pub type Generation = u64;

/// A voter listed in a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimedMember {
    /// The node that holds the replica.
    pub node: NodeId,
    /// Peer address of the node.
    pub address: SocketAddr,
    /// Zone of the node.
    pub zone: ZoneName,
}

/// One record of the archive stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ArchiveRecord {
    /// Starts a new generation on top of everything archived before it.
    Claim {
        /// The claimed generation. The claim is valid only if this is the current generation plus 1.
        generation: Generation,
        /// The voters of the new group; a claim without voters is invalid.
        members: Vec<ClaimedMember>,
    },
    /// Contiguous committed entries of one generation.
    Entries {
        /// The generation that committed them.
        generation: Generation,
        /// The entries in log order.
        entries: Vec<Entry<Command>>,
    },
}

/// The effect of one record at replay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordEffect {
    /// The record started a new generation.
    Claimed,
    /// The record added entries after the given position.
    Archived {
        /// The last entry replayed before this record.
        after: LogPosition,
    },
    /// The record is invalid, belongs to another generation or repeats earlier records.
    Ignored,
}

/// A reader's position in the stream. Holds enough to evaluate the next record, but no state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ArchivePosition {
    /// The current generation; 0 before the first claim.
    pub generation: Generation,
    /// The voters with which the current generation started.
    pub members: Vec<ClaimedMember>,
    /// The last entry replayed.
    pub last: LogPosition,
    /// The last entry of earlier generations, on which the current one is based.
    pub base: LogPosition,
    /// The next stream offset to read.
    pub next_offset: u64,
}

impl ArchivePosition {
    /// Evaluates the next record of the stream and moves past it.
    pub fn advance(&mut self, record: &ArchiveRecord) -> RecordEffect {
        self.next_offset += 1;
        match record {
            ArchiveRecord::Claim {
                generation,
                members,
            } => self.on_claim(*generation, members),
            ArchiveRecord::Entries {
                generation,
                entries,
            } => self.on_entries(*generation, entries),
        }
    }

    fn on_claim(&mut self, generation: Generation, members: &[ClaimedMember]) -> RecordEffect {
        if generation != self.generation + 1 || members.is_empty() {
            return RecordEffect::Ignored;
        }
        self.generation = generation;
        self.members = members.to_vec();
        self.base = self.last;
        RecordEffect::Claimed
    }

    fn on_entries(&mut self, generation: Generation, entries: &[Entry<Command>]) -> RecordEffect {
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

/// The state rebuilt from a prefix of the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replay {
    /// The position up to which the stream is replayed.
    pub position: ArchivePosition,
    /// The state as of the last entry replayed.
    pub state: LedgerState,
    /// The state as of the base of the current generation.
    pub base_state: LedgerState,
    /// The stream offset after the claim of the current generation.
    pub base_offset: u64,
}

impl Replay {
    /// Evaluates the next record of the stream and applies its new entries to the state.
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
