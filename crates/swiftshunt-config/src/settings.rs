//! Settings of a node: its zone, listen addresses, platform services, limits and components.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use swiftshunt_ledger::LedgerConfig;
use swiftshunt_membership::MembershipConfig;
use swiftshunt_scheduler::SchedulerConfig;
use swiftshunt_types::{Digest, ZoneName};

use crate::ConfigError;

/// The settings file of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The zone of this node; one of `zones`.
    pub zone: ZoneName,
    /// All zones of the fleet. Each partition has replicas in `ledger.replicas` of these zones, and a majority of the
    /// replicas commits its entries.
    pub zones: Vec<ZoneName>,
    /// Peer addresses of nodes through which this node joins the fleet.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Listen addresses.
    pub listen: ListenSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Operators that are accepted even before a fleet configuration exists.
    #[serde(default)]
    pub operators: Vec<OperatorSettings>,
    /// Limits of this process.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Log settings.
    #[serde(default)]
    pub log: LogSettings,
    /// Settings of consensus, archive and recovery.
    #[serde(default)]
    pub ledger: LedgerConfig,
    /// Settings of failure detection.
    #[serde(default)]
    pub membership: MembershipConfig,
    /// Settings of worker selection, admission and batch grants.
    #[serde(default)]
    pub scheduler: SchedulerConfig,
}

/// Addresses on which a node listens, and the addresses that it advertises to other nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Listen address for callers and operators.
    pub api: SocketAddr,
    /// Listen address for other nodes.
    pub peer: SocketAddr,
    /// Caller address advertised to other nodes, if it differs from `api`.
    #[serde(default)]
    pub advertise_api: Option<SocketAddr>,
    /// Peer address advertised to other nodes, if it differs from `peer`.
    #[serde(default)]
    pub advertise_peer: Option<SocketAddr>,
}

/// Addresses of the platform's services, and the timing of calls to them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the log service.
    pub log: SocketAddr,
    /// Address of the service that publishes the machine list.
    pub machines: SocketAddr,
    /// Address of the weight store, if there is one.
    #[serde(default)]
    pub weights: Option<SocketAddr>,
    /// Interval between reads of the machine list.
    #[serde(default = "default_poll_interval", with = "humantime_serde")]
    pub machines_interval: Duration,
    /// Timeout of one call to a platform service; at least 10 ms.
    #[serde(default = "default_call_timeout", with = "humantime_serde")]
    pub call_timeout: Duration,
}

fn default_poll_interval() -> Duration {
    Duration::from_millis(500)
}

fn default_call_timeout() -> Duration {
    Duration::from_millis(1000)
}

/// An operator listed in the settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// The name under which commands are recorded.
    pub name: String,
    /// Digest of the bearer token that authenticates this operator.
    pub token_digest: Digest,
}

/// Limits that each node applies by itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Largest request body in bytes, except for uploaded files.
    pub body_bytes: usize,
    /// Largest uploaded file in bytes.
    pub file_bytes: usize,
    /// Longest time that a caller waits for the result of a submission before the response is 202.
    #[serde(with = "humantime_serde")]
    pub submission_wait: Duration,
    /// Longest time that a request waits for the leader of a partition before it is rejected.
    #[serde(with = "humantime_serde")]
    pub leader_wait: Duration,
    /// Timeout of one attempt on a submission worker.
    #[serde(with = "humantime_serde")]
    pub worker_timeout: Duration,
    /// Longest time that a stopping process waits for requests in progress.
    #[serde(with = "humantime_serde")]
    pub drain_timeout: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            file_bytes: 256 << 20,
            submission_wait: Duration::from_secs(30),
            leader_wait: Duration::from_secs(2),
            worker_timeout: Duration::from_secs(5),
            drain_timeout: Duration::from_secs(60),
        }
    }
}

/// Log level; each level includes the ones before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures that an operator has to resolve.
    Error,
    /// Failures that the process handled itself.
    Warn,
    /// Decisions of the process.
    #[default]
    Info,
    /// Single steps within a decision.
    Debug,
    /// All messages.
    Trace,
}

impl std::str::FromStr for LogLevel {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            "trace" => Ok(Self::Trace),
            _ => Err(format!(
                "`{text}` is no log level; expected error, warn, info, debug or trace"
            )),
        }
    }
}

/// Log settings.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: LogLevel,
}

/// Reads and validates a settings file.
pub fn load_settings(file: &str) -> Result<Settings, ConfigError> {
    let text = std::fs::read_to_string(file).map_err(|source| ConfigError::Unreadable {
        file: file.to_owned(),
        source,
    })?;
    parse_settings(file, &text)
}

/// Parses and validates settings. Errors name `file` as the source of the text.
pub fn parse_settings(file: &str, text: &str) -> Result<Settings, ConfigError> {
    let settings: Settings =
        toml::from_str(text).map_err(|error| ConfigError::malformed(file, text, &error))?;
    settings.validate(file)?;
    Ok(settings)
}

/// Shortest call timeout that a healthy platform service can meet.
const MINIMUM_CALL_TIMEOUT: Duration = Duration::from_millis(10);

impl Settings {
    /// Rejects settings that are inconsistent or out of range. Call this again after command-line flags have changed
    /// the settings.
    pub fn validate(&self, file: &str) -> Result<(), ConfigError> {
        let invalid = |field: &str, reason: &str| ConfigError::invalid(file, field, reason);
        if !self.zones.contains(&self.zone) {
            return Err(invalid("zone", "is not one of `zones`"));
        }
        if self.zones.len() < self.ledger.replicas {
            return Err(invalid("zones", "names fewer zones than `ledger.replicas`"));
        }
        let distinct: std::collections::BTreeSet<_> = self.zones.iter().collect();
        if distinct.len() != self.zones.len() {
            return Err(invalid("zones", "names a zone twice"));
        }
        if self.platform.call_timeout < MINIMUM_CALL_TIMEOUT {
            return Err(invalid("platform.call_timeout", "must be at least 10ms"));
        }
        if self.platform.machines_interval.is_zero() {
            return Err(invalid("platform.machines_interval", "must be above zero"));
        }
        if self.limits.body_bytes == 0 {
            return Err(invalid("limits.body_bytes", "must be above zero"));
        }
        for (index, operator) in self.operators.iter().enumerate() {
            if !operator.token_digest.is_well_formed() {
                let field = format!("operators[{index}].token_digest");
                return Err(invalid(&field, "must be 64 hexadecimal digits"));
            }
        }
        let prefixed = |component: &str, field: &str, reason: &str| {
            ConfigError::invalid(file, &format!("{component}.{field}"), reason)
        };
        let ledger = self.ledger.validate();
        ledger.map_err(|error| prefixed("ledger", error.field, error.reason))?;
        let membership = self.membership.validate();
        membership.map_err(|error| prefixed("membership", error.field, error.reason))?;
        let scheduler = self.scheduler.validate();
        scheduler.map_err(|error| prefixed("scheduler", error.field, error.reason))
    }
}
