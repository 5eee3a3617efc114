//! The configuration that is in force, and the rule that it never goes back.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use swiftshunt_topology::Residency;
use swiftshunt_types::{RegionName, TenantName};

use crate::tenants::{Caller, Credentials, Rejected, TenantError, Tenants};

/// What a route carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// One answer to one request.
    Unary,
    /// A sequence of events.
    Stream,
    /// Batch jobs.
    Batch,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// As often as is needed.
    Allowed,
    /// At most once for each attempt of the caller.
    Forbidden,
}

/// One service's part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: String,
    /// Its weight against the weights of the other parts.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// The beginning of the paths that it takes; ends with a slash.
    pub path_prefix: String,
    /// What it carries.
    pub kind: RouteKind,
    /// Whether its requests may run more than once.
    pub repeat: Repeat,
    /// Whether a stream may go on at another worker.
    pub resumable: bool,
    /// The services that serve it; never empty.
    pub shares: Vec<Share>,
    /// The longest that a request is held.
    pub timeout: Duration,
    /// Time to the answer, or to a stream's first event, that earns full credit.
    pub objective: Duration,
    /// Most workers that one request is sent to.
    pub max_attempts: u32,
    /// Rank; 0 is highest.
    pub priority: u32,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Longest pause between events that is still in time.
    pub pause_target: Option<Duration>,
    /// Time within which a batch job's results are due.
    pub completion_target: Option<Duration>,
    /// Age at which an item of a batch job may be given up.
    pub give_up_after: Option<Duration>,
    /// Tokens of a batch route's items that may wait at a time; none where there is no limit.
    pub waiting_tokens: Option<u64>,
    /// Where its requests may be handled.
    pub residency: Residency,
}

/// What is known of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that the memory holds.
    pub memory_tokens: u64,
}

/// What workers of a service bear after a start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdSpec {
    /// How long a worker is cold after a start.
    pub cold_period: Duration,
    /// Requests that it bears a second meanwhile.
    pub per_second: f64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Connections that a worker accepts from all callers together.
    pub connection_cap: u32,
    /// Set where the workers are model engines.
    pub engine: Option<EngineSpec>,
    /// Set where workers bear less than usual after a start.
    pub cold: Option<ColdSpec>,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time within which a head is there.
    pub header_timeout: Duration,
    /// Time that a connection may rest.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// What holds until a configuration is known.
    fn default() -> Self {
        Self {
            header_bytes: 64 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// A configuration, whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Its version.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Limits for callers.
    pub limits: Limits,
    /// Tenants; none where callers need no keys.
    pub tenants: Option<Tenants>,
}

/// Why a configuration is not taken.
#[derive(Debug, Display, Error, From, PartialEq, Eq)]
pub enum ConfigurationError {
    /// A route without a service to go to.
    #[display("routes.{route}: no service with a weight above zero")]
    NoShare {
        /// The route.
        route: String,
    },
    /// A prefix that neither begins nor ends as prefixes do.
    #[display("routes.{route}.prefix: `{prefix}` must begin and end with a slash")]
    Prefix {
        /// The route.
        route: String,
        /// What stands there.
        prefix: String,
    },
    /// Tenants that cannot be told apart or limited.
    #[display("{_0}")]
    #[from]
    Tenants(TenantError),
}

impl Configuration {
    /// Refuses what cannot be served.
    pub fn validate(&self) -> Result<(), ConfigurationError> {
        for route in &self.routes {
            let prefix = &route.path_prefix;
            if !prefix.starts_with('/') || !prefix.ends_with('/') {
                return Err(ConfigurationError::Prefix {
                    route: route.name.clone(),
                    prefix: prefix.clone(),
                });
            }
            if route.shares.iter().all(|share| share.weight == 0) {
                return Err(ConfigurationError::NoShare {
                    route: route.name.clone(),
                });
            }
        }
        let tenants = self.tenants.as_ref();
        tenants.map_or(Ok(()), Tenants::validate)?;
        Ok(())
    }

    /// Who calls on a route.
    pub fn caller(&self, route: &Route, credentials: &Credentials) -> Result<Caller, Rejected> {
        match &self.tenants {
            None => Ok(Caller::Unchecked),
            Some(tenants) => tenants.caller(route.is_public, credentials),
        }
    }

    /// Where a caller's requests on a route may be handled: route and tenant each bind.
    pub fn residency(route: &Route, caller: &Caller) -> Residency {
        match caller.tenant() {
            Some(tenant) => route.residency.and(&tenant.residency),
            None => route.residency.clone(),
        }
    }

    /// Where what a tenant of that name has handed in on a route may be handled.
    pub fn residency_of(&self, route: &Route, tenant: Option<&TenantName>) -> Residency {
        let tenants = self.tenants.as_ref();
        let tenant = tenant.and_then(|name| tenants?.named(name));
        match tenant {
            Some(tenant) => route.residency.and(&tenant.residency),
            None => route.residency.clone(),
        }
    }

    /// The regions of a deployment whose gateways run batch jobs and read their records: all of them, narrowed by
    /// each batch route, and by each tenant on it, as long as a region is left. Every gateway finds the same. A
    /// job that may not be handled in all of them is not taken.
    pub fn regions_of_jobs(&self, deployment: &[RegionName]) -> BTreeSet<RegionName> {
        let mut regions: BTreeSet<RegionName> = deployment.iter().cloned().collect();
        for residency in self.residencies_of_jobs() {
            let mut narrowed = regions.clone();
            narrowed.retain(|region| residency.allows(Some(region)));
            if !narrowed.is_empty() {
                regions = narrowed;
            }
        }
        regions
    }

    fn residencies_of_jobs(&self) -> impl Iterator<Item = Residency> {
        let routes = self.routes.iter();
        let routes = routes.filter(|route| route.kind == RouteKind::Batch);
        routes.flat_map(|route| {
            let tenants = self.tenants.iter().flat_map(Tenants::all);
            let of_tenants = tenants.map(|tenant| route.residency.and(&tenant.residency));
            std::iter::once(route.residency.clone()).chain(of_tenants)
        })
    }

    /// Who makes a call about a batch job, which names no route: where jobs may be handed in without a
    /// key, they may be asked for without one.
    pub fn job_caller(&self, credentials: &Credentials) -> Result<Caller, Rejected> {
        let Some(tenants) = &self.tenants else {
            return Ok(Caller::Unchecked);
        };
        let batch = |route: &Arc<Route>| route.kind == RouteKind::Batch && route.is_public;
        let is_public = self.routes.iter().any(batch);
        match credentials {
            Credentials::Missing => tenants.caller(is_public, credentials),
            Credentials::Unreadable | Credentials::Key(_) => tenants.caller(false, credentials),
        }
    }

    /// The route of a name.
    pub fn route_named(&self, name: &str) -> Option<&Arc<Route>> {
        self.routes.iter().find(|route| route.name == name)
    }

    /// The route of a host with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let of_host = self
            .routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host));
        of_host
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Services that batch jobs go to.
    pub fn batch_services(&self) -> BTreeSet<&str> {
        let batch = self.routes.iter();
        let batch = batch.filter(|route| route.kind == RouteKind::Batch);
        let shares = batch.flat_map(|route| &route.shares);
        shares.map(|share| share.service.as_str()).collect()
    }
}

/// Outcome of offering a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Installed {
    /// It is in force.
    Taken,
    /// The version in force is this one or a newer one.
    NotNewer,
}

/// The configuration in force. Versions only rise.
#[derive(Debug, Default)]
pub struct CurrentConfiguration {
    current: Option<Arc<Configuration>>,
}

impl CurrentConfiguration {
    /// The configuration in force, if any is known.
    pub fn current(&self) -> Option<Arc<Configuration>> {
        self.current.clone()
    }

    /// Takes over a configuration if it is newer than what is in force.
    pub fn install(&mut self, offered: Configuration) -> Installed {
        let newer = self
            .current
            .as_ref()
            .is_none_or(|current| offered.version > current.version);
        if !newer {
            return Installed::NotNewer;
        }
        self.current = Some(Arc::new(offered));
        Installed::Taken
    }
}
