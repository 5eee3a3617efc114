//! Settings of a gateway, checked.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::Deserialize;
use swiftshunt_scheduler::rates::Tolerance;
use swiftshunt_topology::{Topology, TopologyError};
use swiftshunt_types::RegionName;

/// The settings file. Durations are written like `2s` or `150ms`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of this machine, in logs and leases.
    pub name: String,
    /// The zone that it stands in.
    pub zone: String,
    /// The zones of the deployment, and the region of each; one region where none is listed.
    #[serde(default)]
    pub zones: BTreeMap<String, RegionName>,
    /// Where to listen.
    pub listen: ListenSettings,
    /// The platform's log.
    pub log: LogSettings,
    /// The directory of workers.
    pub directory: DirectorySettings,
    /// Other gateways.
    #[serde(default)]
    pub gateways: GatewaysSettings,
    /// Batch jobs.
    #[serde(default)]
    pub batch: BatchSettings,
    /// Tenants' keys and limits.
    #[serde(default)]
    pub tenants: TenantSettings,
    /// Workers that have just started.
    #[serde(default)]
    pub cold: ColdSettings,
    /// Evacuation of zones.
    #[serde(default)]
    pub evacuation: EvacuationSettings,
    /// The planned stop.
    #[serde(default)]
    pub stop: StopSettings,
}

/// Where a gateway listens.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Callers.
    pub callers: SocketAddr,
    /// Questions whether the gateway is ready.
    pub ready: SocketAddr,
    /// Other gateways: calls about jobs that run here, calls to the log, notices.
    pub peers: SocketAddr,
    /// Metrics; none if left out.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// Other gateways.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewaysSettings {
    /// Where some of them may be reached (their `listen.peers`): used by a gateway that starts while
    /// the log turns it away. They may be stale or down.
    pub seeds: Vec<SocketAddr>,
}

/// The platform's log.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Its address.
    pub address: SocketAddr,
    /// Partitions of each topic of the gateway's own.
    pub partitions: u32,
    /// Bytes of a record at most.
    pub record_bytes: usize,
    /// Bytes of one append at most.
    pub append_bytes: usize,
    /// Shortest lease that the log gives.
    #[serde(with = "duration_text")]
    pub shortest_lease: Duration,
    /// Time that a call may take beyond what it waits on purpose.
    #[serde(default = "default_call_timeout", with = "duration_text")]
    pub call_timeout: Duration,
}

/// The directory of workers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectorySettings {
    /// How soon a change must be in force here.
    #[serde(with = "duration_text")]
    pub obey_within: Duration,
    /// Gateways for which one of them reads the log's directory and configuration. Where there are
    /// fewer, each reads for itself.
    #[serde(default = "default_gateways_per_reader")]
    pub gateways_per_reader: usize,
}

/// Batch jobs.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BatchSettings {
    /// Share of the slots of some workers together that batch items leave free.
    pub headroom: f64,
    /// How long results stay readable after a job was accepted.
    #[serde(with = "duration_text")]
    pub keep_results: Duration,
    /// How long a partition that runs elsewhere is followed after a call about it.
    #[serde(with = "duration_text")]
    pub follow_after_call: Duration,
    /// How long the runner of a partition keeps it without a sign of life.
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

/// Tenants' keys and limits.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TenantSettings {
    /// Whether callers with keys are refused while the configuration could not be confirmed for
    /// `confirm_within`: a key may have been taken away meanwhile. Else they are served as last known.
    pub strict: bool,
    /// See `strict`.
    #[serde(with = "duration_text")]
    pub confirm_within: Duration,
    /// The window within which a tenant's requests are held to its limit.
    #[serde(with = "duration_text")]
    pub window: Duration,
    /// Share of what the limit allows in a window by which it may be passed while gateways cannot reach
    /// each other.
    pub tolerance: f64,
    /// Requests in a window beyond that share.
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
    /// By how much a limit may be passed.
    pub(crate) fn tolerance(&self) -> Tolerance {
        Tolerance {
            window: self.window,
            share: self.tolerance,
            requests: self.tolerated_requests,
        }
    }

    /// Age of the configuration up to which callers with keys are served, if there is one.
    pub(crate) fn max_config_age(&self) -> Option<Duration> {
        self.strict.then_some(self.confirm_within)
    }
}

/// Workers that have just started, and bear few requests a second for some time.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ColdSettings {
    /// Requests that all gateways together may send to a cold worker in a second, as a multiple of what its
    /// service's configuration says.
    pub share: f64,
    /// Requests in a second beyond that.
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
    /// How soon an evacuation must be in force here.
    #[serde(with = "duration_text")]
    pub obey_within: Duration,
    /// How long batch items run on in an evacuated zone before they step aside.
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

/// The planned stop.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StopSettings {
    /// Time from the signal until the process must have ended.
    #[serde(with = "duration_text")]
    pub grace: Duration,
    /// Time after which no new connections are expected.
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

/// A reader answers so many about once in two seconds: a small part of a core.
fn default_gateways_per_reader() -> usize {
    24
}

fn default_call_timeout() -> Duration {
    Duration::from_secs(2)
}

/// Why settings are not taken.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("{file}: {source}")]
    Unreadable {
        /// The file.
        file: String,
        /// The system's reason.
        source: std::io::Error,
    },
    /// Not TOML, or fields that do not fit.
    #[display("{file}: {reason}")]
    Malformed {
        /// The file.
        file: String,
        /// Where and why.
        reason: String,
    },
    /// Zones that make no topology.
    #[display("{file}: {source}")]
    Topology {
        /// The file.
        file: String,
        /// Why.
        source: TopologyError,
    },
    /// A value that cannot work.
    #[display("{file}: {field}: {reason}")]
    Invalid {
        /// The file.
        file: String,
        /// The field.
        field: &'static str,
        /// Why.
        reason: &'static str,
    },
}

impl GatewaySettings {
    /// Reads and checks a file.
    pub fn load(file: &str) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file).map_err(|source| SettingsError::Unreadable {
            file: file.to_owned(),
            source,
        })?;
        Self::parse(file, &text)
    }

    /// Parses and checks; `file` names the text in errors.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|error| SettingsError::Malformed {
            file: file.to_owned(),
            reason: error.to_string(),
        })?;
        settings.validate(file)?;
        Ok(settings)
    }

    /// The zones, and this gateway's place among them.
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
    //! Durations as text: `1m 30s` and the like, and decimal fractions such as `4.7s` or `2.5ms`.

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

/// Smallest record into which frames with their heads fit.
const MINIMUM_RECORD_BYTES: usize = 4096;
