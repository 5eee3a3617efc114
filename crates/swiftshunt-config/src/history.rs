//! Replay of the configuration stream.
//!
//! Invariant: the version never decreases. A record is applied only if its base is the version in force. Of two
//! operators that publish concurrently, exactly one therefore succeeds, and all readers of the stream agree on which.

use serde::{Deserialize, Serialize};

use crate::FleetConfiguration;

/// Version of the fleet configuration: the offset of its record in the stream plus one, or 0 if no record was applied.
pub type Version = u64;

/// A record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationRecord {
    /// The version that this configuration was derived from.
    pub base: Version,
    /// Name of the operator who published the record.
    pub author: String,
    /// Random number by which the publisher recognises its own record among others with the same content.
    pub nonce: u64,
    /// The complete configuration, which replaces the previous one.
    pub configuration: FleetConfiguration,
}

/// Result of replaying a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The configuration of the record is now in force, under this version.
    Applied(Version),
    /// The record was ignored because its base is not the version in force.
    Stale {
        /// The version that was in force.
        in_force: Version,
        /// Who published the version in force.
        author: String,
    },
    /// The record was ignored because its offset was replayed before.
    Repeated,
}

/// The configuration in force after replay of a prefix of the stream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationHistory {
    /// The version in force.
    pub version: Version,
    /// Name of the operator who published the version in force; empty before the first.
    pub author: String,
    /// The configuration in force.
    pub configuration: FleetConfiguration,
    /// The next offset to replay.
    pub next_offset: u64,
}

impl ConfigurationHistory {
    /// Applies the record at `offset`. Records at offsets already replayed are ignored, so that a log that returns
    /// old records again cannot restore an old version.
    pub fn apply(&mut self, offset: u64, record: &ConfigurationRecord) -> RecordOutcome {
        if offset < self.next_offset {
            return RecordOutcome::Repeated;
        }
        self.next_offset = offset + 1;
        if record.base != self.version {
            return RecordOutcome::Stale {
                in_force: self.version,
                author: self.author.clone(),
            };
        }
        self.version = offset + 1;
        self.author.clone_from(&record.author);
        self.configuration.clone_from(&record.configuration);
        RecordOutcome::Applied(self.version)
    }

    /// Skips the record at `offset`, which cannot be decoded. All readers skip such records, so their versions agree.
    pub fn skip(&mut self, offset: u64) {
        self.next_offset = self.next_offset.max(offset + 1);
    }

    /// Replaces this history by that of a peer if the peer's version is higher. Returns whether it was replaced.
    pub fn adopt(&mut self, candidate: Self) -> bool {
        if candidate.version <= self.version {
            return false;
        }
        *self = candidate;
        true
    }
}
