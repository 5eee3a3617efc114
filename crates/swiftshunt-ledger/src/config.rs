//! Configuration of the ledger and its validation.

use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Configuration of consensus, archive and recovery. Durations are measured on the monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerConfig {
    /// Number of partitions of the key space. Must be the same on every node and must never change in
    /// the lifetime of a fleet.
    pub partitions: u16,
    /// Number of replicas of each partition, each in a different zone. Must be odd and the same on
    /// every node.
    pub replicas: usize,
    /// Interval at which a leader sends heartbeats to its followers.
    #[serde(with = "humantime_serde")]
    pub heartbeat_interval: Duration,
    /// Minimum time without contact to a leader after which a follower starts an election; the actual
    /// time is drawn at random between this value and twice this value.
    #[serde(with = "humantime_serde")]
    pub election_timeout: Duration,
    /// Time for which a replica's node must be dead before the replica is replaced.
    #[serde(with = "humantime_serde")]
    pub replace_delay: Duration,
    /// Time for which a partition must have no leader before a new generation is claimed. A replica
    /// without contact with its group stops participating after half of this time.
    #[serde(with = "humantime_serde")]
    pub rebuild_delay: Duration,
    /// Time without progress of the archive on committed entries after which it counts as
    /// unavailable; until it progresses again, entries are acknowledged once they are committed.
    #[serde(with = "humantime_serde")]
    pub archive_wait: Duration,
    /// Number of applied entries that stay in memory for followers that lag. Archived entries before
    /// them are removed once the log holds twice as many.
    pub retained_entries: usize,
}

impl Default for LedgerConfig {
    fn default() -> Self {
        Self {
            partitions: 8,
            replicas: 3,
            heartbeat_interval: Duration::from_millis(120),
            election_timeout: Duration::from_millis(600),
            replace_delay: Duration::from_secs(2),
            rebuild_delay: Duration::from_secs(20),
            archive_wait: Duration::from_millis(300),
            retained_entries: 4096,
        }
    }
}

/// An invalid ledger setting.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{field}: {reason}")]
pub struct LedgerConfigError {
    /// Name of the invalid field.
    pub field: &'static str,
    /// The condition that the field violates.
    pub reason: &'static str,
}

/// Minimum election timeout in heartbeat intervals: a few lost heartbeats must not start an election.
const MIN_HEARTBEATS_PER_ELECTION: u32 = 3;
/// Minimum rebuild delay in election timeouts: an election must be able to finish long before a
/// rebuild starts.
const MIN_ELECTIONS_PER_REBUILD: u32 = 5;

impl LedgerConfig {
    /// Checks the settings. Returns an error for values under which the protocol would lose its safety
    /// or its liveness.
    pub fn validate(&self) -> Result<(), LedgerConfigError> {
        let invalid = |field, reason| Err(LedgerConfigError { field, reason });
        if self.partitions == 0 {
            return invalid("partitions", "must be at least 1");
        }
        if self.replicas.is_multiple_of(2) {
            return invalid("replicas", "must be odd");
        }
        if self.heartbeat_interval.is_zero() {
            return invalid("heartbeat_interval", "must be above zero");
        }
        if self.election_timeout < self.heartbeat_interval * MIN_HEARTBEATS_PER_ELECTION {
            return invalid("election_timeout", "must be at least 3 heartbeat intervals");
        }
        if self.rebuild_delay < self.election_timeout * MIN_ELECTIONS_PER_REBUILD {
            return invalid("rebuild_delay", "must be at least 5 election timeouts");
        }
        if self.archive_wait.is_zero() {
            return invalid("archive_wait", "must be above zero");
        }
        Ok(())
    }
}
