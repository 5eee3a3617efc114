//! The settings of a gateway: reading from a file, and validation.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use derive_more::{Display, Error};
use serde::Deserialize;
use swiftshunt_scheduler::rates::Tolerance;
use swiftshunt_topology::{Topology, TopologyError};
use swiftshunt_types::RegionName;

/// The settings file. Durations are written as text such as `2s` or `150ms`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of this machine in logs and leases.
    pub name: String,
    /// The zone of this machine.
    pub zone: String,
    /// The zones of the deployment with the region of each. If empty, the deployment is a single region.
    #[serde(default)]
    pub zones: BTreeMap<String, RegionName>,
    /// The addresses to listen on.
    pub listen: ListenSettings,
    /// The platform's replicated log.
    pub log: LogSettings,
    /// How this gateway reads the directory of workers.
    pub directory: DirectorySettings,
    /// The other gateways of the deployment.
    #[serde(default)]
    pub gateways: GatewaysSettings,
    /// Connections to workers.
    #[serde(default)]
    pub workers: WorkersSettings,
    /// Handling of batch jobs.
    #[serde(default)]
    pub batch: BatchSettings,
    /// Handling of the keys and rate limits of tenants.
    #[serde(default)]
    pub tenants: TenantSettings,
    /// Limits for workers that have just started.
    #[serde(default)]
    pub cold: ColdSettings,
    /// Evacuation of zones.
    #[serde(default)]
    pub evacuation: EvacuationSettings,
    /// The memory of this machine.
    #[serde(default)]
    pub memory: MemorySettings,
    /// The graceful stop.
    #[serde(default)]
    pub stop: StopSettings,
}

/// The addresses on which a gateway listens.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for readiness checks.
    pub ready: SocketAddr,
    /// Address for other gateways: calls about jobs, relayed calls to the log, reads of the log's tails (TCP), and
    /// notices (UDP).
    pub peers: SocketAddr,
    /// Address for metrics; `None` if they are not served.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// The other gateways of the deployment.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewaysSettings {
    /// Addresses (`listen.peers`) of some other gateways, used as long as none is known from the log, such as after a
    /// start while the log refuses calls. Some of them may be out of date or unreachable.
    pub seeds: Vec<SocketAddr>,
}

/// The platform's replicated log.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Address of the log.
    pub address: SocketAddr,
    /// Number of partitions of each topic that gateways write.
    pub partitions: u32,
    /// Largest size of a record, in bytes.
    pub record_bytes: usize,
    /// Largest size of an append, in bytes.
    pub append_bytes: usize,
    /// Shortest lease that the log grants.
    #[serde(with = "duration_text")]
    pub shortest_lease: Duration,
    /// Time-out of a call to the log, in addition to the time that the call asks the log to wait.
    #[serde(default = "default_call_timeout", with = "duration_text")]
    pub call_timeout: Duration,
}

/// How a gateway reads the directory of workers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectorySettings {
    /// Time within which a change must be in force at this gateway.
    #[serde(with = "duration_text")]
    pub obey_within: Duration,
    /// Number of gateways for which one of them reads the directory and the configuration from the log. With fewer
    /// gateways, each reads by itself.
    #[serde(default = "default_gateways_per_reader")]
    pub gateways_per_reader: usize,
}

/// Connections to workers.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkersSettings {
    /// Local address of the connections, on a machine with several; the operating system chooses it by default.
    pub source: Option<IpAddr>,
}

/// Handling of batch jobs.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BatchSettings {
    /// Share of the slots of a group of workers, taken together, that batch items leave free.
    pub headroom: f64,
    /// Time from the acceptance of a job for which its results can be read.
    #[serde(with = "duration_text")]
    pub keep_results: Duration,
    /// Time for which a partition that another gateway runs is followed after a call about one of its jobs.
    #[serde(with = "duration_text")]
    pub follow_after_call: Duration,
    /// Duration of the lease on a partition: a gateway that does not renew it loses the partition after this time.
    #[serde(with = "duration_text")]
    pub lease: Duration,
}

impl Default for BatchSettings {
    fn default() -> Self {
        Self {
            headroom: 0.05,
            keep_results: Duration::from_secs(120),
            follow_after_call: Duration::from_secs(5),
            lease: Duration::from_secs(3),
        }
    }
}

/// Handling of the keys and rate limits of tenants.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TenantSettings {
    /// Whether callers with keys are refused once the configuration has not been confirmed for `confirm_within`,
    /// since a key may have been revoked in the meantime. Otherwise they are served by the last known configuration.
    pub strict: bool,
    /// Age of the last confirmation of the configuration from which `strict` applies.
    #[serde(with = "duration_text")]
    pub confirm_within: Duration,
    /// Window of time in which the requests of a tenant are counted against its limit.
    #[serde(with = "duration_text")]
    pub window: Duration,
    /// Share of a window's limit by which the limit may be exceeded while gateways cannot reach each other.
    pub tolerance: f64,
    /// Number of requests in a window by which the limit may be exceeded in addition to `tolerance`.
    pub tolerated_requests: f64,
}

impl Default for TenantSettings {
    fn default() -> Self {
        Self {
            strict: false,
            confirm_within: Duration::from_secs(5),
            window: Duration::from_secs(5),
            tolerance: 0.1,
            tolerated_requests: 0.0,
        }
    }
}

impl TenantSettings {
    /// Returns by how much the limit of a tenant may be exceeded.
    pub(crate) fn tolerance(&self) -> Tolerance {
        Tolerance {
            window: self.window,
            share: self.tolerance,
            requests: self.tolerated_requests,
        }
    }

    /// Returns the age of the last confirmation of the configuration up to which callers with keys are served;
    /// `None` if they are served at any age.
    pub(crate) fn max_config_age(&self) -> Option<Duration> {
        self.strict.then_some(self.confirm_within)
    }
}

/// Limits for cold workers, which have just started and can serve only few requests a second for some time.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ColdSettings {
    /// Requests per second that all gateways together may send to a cold worker, as a multiple of the rate in the
    /// configuration of its service.
    pub share: f64,
    /// Number of requests that may exceed that rate in any one second.
    pub requests: f64,
}

impl Default for ColdSettings {
    fn default() -> Self {
        Self {
            share: 1.0,
            requests: 0.0,
        }
    }
}

/// Evacuation of zones.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EvacuationSettings {
    /// Time within which an evacuation must be in force at this gateway.
    #[serde(with = "duration_text")]
    pub obey_within: Duration,
    /// Time for which batch items continue to run in an evacuated zone before they are interrupted.
    #[serde(with = "duration_text")]
    pub items_leave_after: Duration,
}

impl Default for EvacuationSettings {
    fn default() -> Self {
        Self {
            obey_within: Duration::from_secs(5),
            items_leave_after: Duration::from_secs(10),
        }
    }
}

/// The memory of a gateway's machine.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MemorySettings {
    /// Memory that the process may use, in MiB; `None` for that of the machine.
    pub limit_mb: Option<u64>,
}

/// The graceful stop of a gateway.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StopSettings {
    /// Time from the signal until the process must have ended.
    #[serde(with = "duration_text")]
    pub grace: Duration,
    /// Time from the signal after which no new connections are expected.
    #[serde(with = "duration_text")]
    pub unlisted_after: Duration,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(8),
            unlisted_after: Duration::from_secs(3),
        }
    }
}

/// A reader answers each of this many gateways about once in two seconds, which takes a small part of a core.
fn default_gateways_per_reader() -> usize {
    24
}

fn default_call_timeout() -> Duration {
    Duration::from_secs(2)
}

/// The error of settings that cannot be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("{file}: {source}")]
    Unreadable {
        /// Path of the settings file.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The text is not TOML, or its keys or types are wrong.
    #[display("{file}: {reason}")]
    Malformed {
        /// Path of the settings file.
        file: String,
        /// Position and description of the error.
        reason: String,
    },
    /// The zones do not form a valid topology.
    #[display("{file}: {source}")]
    Topology {
        /// Path of the settings file.
        file: String,
        /// What is wrong with the zones.
        source: TopologyError,
    },
    /// A value is out of its range.
    #[display("{file}: {field}: {reason}")]
    Invalid {
        /// Path of the settings file.
        file: String,
        /// Key of the value.
        field: &'static str,
        /// The condition that the value must meet.
        reason: &'static str,
    },
}

impl GatewaySettings {
    /// Reads and validates a settings file.
    pub fn load(file: &str) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file).map_err(|source| SettingsError::Unreadable {
            file: file.to_owned(),
            source,
        })?;
        Self::parse(file, &text)
    }

    /// Parses and validates the text of a settings file; `file` is the path that errors name.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|error| SettingsError::Malformed {
            file: file.to_owned(),
            reason: error.to_string(),
        })?;
        settings.validate(file)?;
        Ok(settings)
    }

    /// Returns the zones of the deployment, with this gateway's own zone.
    pub(crate) fn topology(&self) -> Result<Topology, TopologyError> {
        Topology::new(&self.zone, self.zones.clone())
    }

    fn validate(&self, file: &str) -> Result<(), SettingsError> {
        let invalid = |field, reason| {
            Err(SettingsError::Invalid {
                file: file.to_owned(),
                field,
                reason,
            })
        };
        if self.log.partitions == 0 {
            return invalid("log.partitions", "must be above zero");
        }
        if self.log.record_bytes < MINIMUM_RECORD_BYTES {
            return invalid("log.record_bytes", "must be at least 4096");
        }
        if self.log.append_bytes < self.log.record_bytes {
            return invalid("log.append_bytes", "must be at least log.record_bytes");
        }
        if self
            .memory
            .limit_mb
            .is_some_and(|limit| limit < MINIMUM_MEMORY_MB)
        {
            return invalid("memory.limit_mb", "must be at least 32");
        }
        if self.directory.obey_within.is_zero() {
            return invalid("directory.obey_within", "must be above zero");
        }
        if self.directory.gateways_per_reader < 2 {
            return invalid("directory.gateways_per_reader", "must be above one");
        }
        let batch = &self.batch;
        if !(0.0..1.0).contains(&batch.headroom) {
            return invalid("batch.headroom", "must lie between 0 and 1");
        }
        if self.batch.follow_after_call.is_zero() {
            return invalid("batch.follow_after_call", "must be above zero");
        }
        if self.batch.lease < self.log.shortest_lease {
            return invalid("batch.lease", "must be at least log.shortest_lease");
        }
        let tolerances = [self.tenants.tolerance, self.tenants.tolerated_requests];
        if tolerances
            .iter()
            .any(|part| !part.is_finite() || *part < 0.0)
        {
            let reason = "and tenants.tolerated_requests must be numbers from 0 on";
            return invalid("tenants.tolerance", reason);
        }
        self.topology().map_err(|source| SettingsError::Topology {
            file: file.to_owned(),
            source,
        })?;
        let cold = [self.cold.share, self.cold.requests];
        if cold.iter().any(|part| !part.is_finite() || *part < 0.0) {
            return invalid("cold.share", "and cold.requests must be numbers from 0 on");
        }
        if self.evacuation.obey_within.is_zero() {
            return invalid("evacuation.obey_within", "must be above zero");
        }
        if self.tenants.window.is_zero() {
            return invalid("tenants.window", "must be above zero");
        }
        Ok(())
    }
}

mod duration_text {
    //! Deserialization of durations from text such as `1m 30s`, or decimal fractions such as `4.7s` and `2.5ms`.

    use std::time::Duration;

    use serde::{Deserialize, Deserializer, de::Error};

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
        let text = String::deserialize(from)?;
        if let Some(duration) = fraction(&text) {
            return Ok(duration);
        }
        let parsed = text.parse::<humantime::Duration>();
        parsed
            .map(Into::into)
            .map_err(|error| D::Error::custom(format!("`{text}` is no duration: {error}")))
    }

    fn fraction(text: &str) -> Option<Duration> {
        let (number, scale) = match text.strip_suffix("ms") {
            Some(number) => (number, 1e-3),
            None => (text.strip_suffix('s')?, 1.0),
        };
        let number: f64 = number.parse().ok()?;
        Duration::try_from_secs_f64(number * scale).ok()
    }
}

/// Lower bound of the memory, in MiB: an idle gateway and the largest body that the platform allows fit into it.
const MINIMUM_MEMORY_MB: u64 = 32;
/// Lower bound of the record size, so that frames with their headers fit into a record.
const MINIMUM_RECORD_BYTES: usize = 4096;
