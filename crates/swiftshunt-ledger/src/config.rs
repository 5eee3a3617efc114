//! Settings of the ledger.

use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Settings of consensus, archive and recovery. All durations are on the monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerConfig {
    /// Shards of the key space. Must be the same on every node and never changes in a fleet's life.
    pub partitions: u16,
    /// Replicas of each partition, each in a zone of its own; odd, and the same on every node.
    pub replicas: usize,
    /// How often a leader sends to followers that owe it nothing.
    #[serde(with = "humantime_serde")]
    pub heartbeat_interval: Duration,
    /// Shortest silence after which a follower may call an election; the longest is twice this.
    #[serde(with = "humantime_serde")]
    pub election_timeout: Duration,
    /// How long a replica must be dead before it is replaced.
    #[serde(with = "humantime_serde")]
    pub replace_delay: Duration,
    /// How long a partition must be without a leader before a new generation is claimed.
    #[serde(with = "humantime_serde")]
    pub rebuild_delay: Duration,
    /// How long an acknowledgement waits for the archive before the archive counts as unavailable.
    #[serde(with = "humantime_serde")]
    pub archive_wait: Duration,
    /// Entries kept in memory behind the applied index, for followers that lag.
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

/// A ledger setting that cannot work.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{field}: {reason}")]
pub struct LedgerConfigError {
    /// The field at fault.
    pub field: &'static str,
    /// Why it cannot work.
    pub reason: &'static str,
}

/// An election must outlast several lost heartbeats.
const MIN_HEARTBEATS_PER_ELECTION: u32 = 3;
/// A rebuild must be far above any election.
const MIN_ELECTIONS_PER_REBUILD: u32 = 5;

impl LedgerConfig {
    /// Refuses settings under which the protocol's guarantees or its liveness would be lost.
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
