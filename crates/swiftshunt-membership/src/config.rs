//! Settings of failure detection and their validation.

use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Settings of failure detection. All durations are measured on the monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipConfig {
    /// Interval between probes. Each interval, one member is probed. Above zero.
    #[serde(with = "humantime_serde")]
    pub probe_interval: Duration,
    /// Timeout of a probe, direct or indirect. Above zero.
    #[serde(with = "humantime_serde")]
    pub probe_timeout: Duration,
    /// Number of other members through which a failed probe is repeated.
    pub indirect_probes: usize,
    /// Time that a suspected member has to refute the suspicion. At least `probe_interval`.
    #[serde(with = "humantime_serde")]
    pub suspicion_timeout: Duration,
    /// Time for which the record of a dead or left member is kept, so that delayed updates cannot revive it. At least
    /// twice `suspicion_timeout`.
    #[serde(with = "humantime_serde")]
    pub retention: Duration,
    /// Maximum number of scheduled member records in one message. At least 1.
    pub changes_per_message: usize,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(500),
            probe_timeout: Duration::from_millis(200),
            indirect_probes: 2,
            suspicion_timeout: Duration::from_millis(1500),
            retention: Duration::from_secs(120),
            changes_per_message: 16,
        }
    }
}

/// A setting of failure detection that is out of range.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{field}: {reason}")]
pub struct MembershipConfigError {
    /// Name of the invalid field.
    pub field: &'static str,
    /// Why the value is invalid.
    pub reason: &'static str,
}

impl MembershipConfig {
    /// Rejects settings with which failure detection cannot work.
    pub fn validate(&self) -> Result<(), MembershipConfigError> {
        let reject = |field, reason| Err(MembershipConfigError { field, reason });
        if self.probe_interval.is_zero() {
            return reject("probe_interval", "must be above zero");
        }
        if self.probe_timeout.is_zero() {
            return reject("probe_timeout", "must be above zero");
        }
        if self.suspicion_timeout < self.probe_interval {
            return reject("suspicion_timeout", "must be at least one probe interval");
        }
        if self.retention < self.suspicion_timeout * 2 {
            return reject("retention", "must be at least two suspicion timeouts");
        }
        if self.changes_per_message == 0 {
            return reject("changes_per_message", "must be at least 1");
        }
        Ok(())
    }
}
