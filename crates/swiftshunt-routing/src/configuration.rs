//! Configurations of routes, services and tenants. The version of the configuration in force never decreases.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error, From};
use swiftshunt_topology::Residency;
use swiftshunt_types::{RegionName, TenantName};

use crate::tenants::{Caller, Credentials, Rejected, TenantError, Tenants};

/// The kind of traffic that a route carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// One response to each request.
    Unary,
    /// A response that is a sequence of events.
    Stream,
    /// Batch jobs, whose items run later.
    Batch,
}

/// Whether one request may be run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Retries may run it again.
    Allowed,
    /// It runs at most once each time that the caller sends it.
    Forbidden,
}

/// The share of a route's requests that one service gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service's name.
    pub service: String,
    /// Weight relative to the other shares of the route; 0 gets no requests while another service is usable.
    pub weight: u32,
}

/// A route: which requests it matches, which services serve them and under which limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name, by which settings and messages refer to the route.
    pub name: String,
    /// Host of the requests that the route matches, compared without regard to case.
    pub host: String,
    /// Prefix of the paths that the route matches; begins and ends with a slash.
    pub path_prefix: String,
    /// The kind of traffic.
    pub kind: RouteKind,
    /// Whether a request of this route may be run more than once.
    pub repeat: Repeat,
    /// Whether another worker can continue a stream that broke off.
    pub resumable: bool,
    /// The services that serve the route, with their weights; never empty.
    pub shares: Vec<Share>,
    /// Time after which a request is given up.
    pub timeout: Duration,
    /// Latency objective: longest time to the response, or to the first event of a stream, that earns full credit.
    pub objective: Duration,
    /// Maximum number of attempts for one request, including the first.
    pub max_attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Whether callers may use the route without a key.
    pub is_public: bool,
    /// Longest pause between two events of a stream that still meets the objective; `None` if there is none.
    pub pause_target: Option<Duration>,
    /// Time within which the results of a batch job are due; `None` if there is no target.
    pub completion_target: Option<Duration>,
    /// Age from which an item of a batch job may be given up; `None` if items are never too old.
    pub give_up_after: Option<Duration>,
    /// Limit of the tokens of a batch route's accepted items without a result, whether they wait or run; `None`
    /// if there is no limit.
    pub waiting_tokens: Option<u64>,
    /// Regions in which requests of the route may be handled.
    pub residency: Residency,
}

/// Capacity of one model engine of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Maximum number of requests that run at the same time.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens.
    pub memory_tokens: u64,
}

/// The load that a worker of a service can bear just after it has started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdSpec {
    /// Time after its start during which a worker is cold.
    pub cold_period: Duration,
    /// Maximum number of requests per second to a cold worker.
    pub per_second: f64,
}

/// A service: the workers that requests are sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Maximum number of connections that one worker accepts from all clients together.
    pub connection_cap: u32,
    /// Capacity of each worker; `None` if the workers are not known to be model engines.
    pub engine: Option<EngineSpec>,
    /// Limit for cold workers; `None` if a worker bears full load from its start.
    pub cold: Option<ColdSpec>,
}

/// Limits of the size and duration of what a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time within which the head of a request must be complete.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits that apply until a configuration is known.
    fn default() -> Self {
        Self {
            header_bytes: 64 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// One version of the complete configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Version; a configuration replaces only one with a lower version.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// All services, by name.
    pub services: BTreeMap<String, Service>,
    /// Limits of what callers send.
    pub limits: Limits,
    /// The tenants; `None` if callers need no keys.
    pub tenants: Option<Tenants>,
}

/// The reason why a configuration is rejected.
#[derive(Debug, Display, Error, From, PartialEq, Eq)]
pub enum ConfigurationError {
    /// A route without a service whose weight is above zero.
    #[display("routes.{route}: no service with a weight above zero")]
    NoShare {
        /// The route's name.
        route: String,
    },
    /// A path prefix that does not both begin and end with a slash.
    #[display("routes.{route}.prefix: `{prefix}` must begin and end with a slash")]
    Prefix {
        /// The route's name.
        route: String,
        /// The prefix in the configuration.
        prefix: String,
    },
    /// A tenant with an invalid name, key or limit.
    #[display("{_0}")]
    #[from]
    Tenants(TenantError),
}

impl Configuration {
    /// Checks the prefixes and weights of all routes and the tenants; returns the first fault.
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

    /// Identifies the caller of a request on a route by its credentials.
    ///
    /// Fails if the route requires a key and the credentials hold none that is known.
    pub fn caller(&self, route: &Route, credentials: &Credentials) -> Result<Caller, Rejected> {
        match &self.tenants {
            None => Ok(Caller::Unchecked),
            Some(tenants) => tenants.caller(route.is_public, credentials),
        }
    }

    /// Returns the regions in which a caller's requests on a route may be handled: those that both the route
    /// and the caller's tenant allow.
    pub fn residency(route: &Route, caller: &Caller) -> Residency {
        match caller.tenant() {
            Some(tenant) => route.residency.intersect(&tenant.residency),
            None => route.residency.clone(),
        }
    }

    /// Returns the regions in which a job that the tenant named `tenant` submitted on a route may be handled.
    /// A tenant that the configuration does not know adds no restriction.
    pub fn residency_of(&self, route: &Route, tenant: Option<&TenantName>) -> Residency {
        let tenants = self.tenants.as_ref();
        let tenant = tenant.and_then(|name| tenants?.named(name));
        match tenant {
            Some(tenant) => route.residency.intersect(&tenant.residency),
            None => route.residency.clone(),
        }
    }

    /// Returns the regions of a deployment whose gateways run batch jobs and read their records.
    ///
    /// These are all regions, narrowed in turn by each batch route and by each tenant on it; a restriction that
    /// would leave no region is skipped. Every gateway computes the same regions from the same configuration. A
    /// job that may not be handled in all of them is rejected.
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
            let of_tenants = tenants.map(|tenant| route.residency.intersect(&tenant.residency));
            std::iter::once(route.residency.clone()).chain(of_tenants)
        })
    }

    /// Identifies the caller of a request about an existing batch job; such a request names no route.
    ///
    /// A caller without a key is accepted if any batch route is public, because jobs can be submitted there
    /// without a key. A request that carries a key is rejected unless the key is known.
    pub fn job_caller(&self, credentials: &Credentials) -> Result<Caller, Rejected> {
        let Some(tenants) = &self.tenants else {
            return Ok(Caller::Unchecked);
        };
        let is_public_batch =
            |route: &Arc<Route>| route.kind == RouteKind::Batch && route.is_public;
        let is_public = self.routes.iter().any(is_public_batch);
        match credentials {
            Credentials::Missing => tenants.caller(is_public, credentials),
            Credentials::Unreadable | Credentials::Key(_) => tenants.caller(false, credentials),
        }
    }

    /// Returns the route with this name; `None` if there is none.
    pub fn route_named(&self, name: &str) -> Option<&Arc<Route>> {
        self.routes.iter().find(|route| route.name == name)
    }

    /// Returns the route of `host` with the longest prefix of `path`; `None` if no route matches.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let of_host = self
            .routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host));
        of_host
            .filter(|route| path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Returns the names of the services that serve routes of streams.
    pub fn stream_services(&self) -> BTreeSet<&str> {
        let routes = self.routes.iter();
        let streams = routes.filter(|route| route.kind == RouteKind::Stream);
        let shares = streams.flat_map(|route| &route.shares);
        shares.map(|share| share.service.as_str()).collect()
    }

    /// Returns the longest time for which one attempt of a caller may stream; zero without a route of streams.
    pub fn longest_stream(&self) -> Duration {
        let routes = self.routes.iter();
        let streams = routes.filter(|route| route.kind == RouteKind::Stream);
        let timeouts = streams.map(|route| route.timeout);
        timeouts.max().unwrap_or_default()
    }

    /// Returns the names of the services that serve batch routes.
    pub fn batch_services(&self) -> BTreeSet<&str> {
        let routes = self.routes.iter();
        let batch = routes.filter(|route| route.kind == RouteKind::Batch);
        let shares = batch.flat_map(|route| &route.shares);
        shares.map(|share| share.service.as_str()).collect()
    }
}

/// Outcome of [`CurrentConfiguration::install`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Installed {
    /// The offered configuration is now in force.
    Taken,
    /// The version in force is the same or newer; nothing changed.
    NotNewer,
}

/// The configuration in force. Its version never decreases.
#[derive(Debug, Default)]
pub struct CurrentConfiguration {
    current: Option<Arc<Configuration>>,
}

impl CurrentConfiguration {
    /// Returns the configuration in force; `None` until the first one is installed.
    pub fn current(&self) -> Option<Arc<Configuration>> {
        self.current.clone()
    }

    /// Puts a configuration into force if its version is higher than the one in force.
    pub fn install(&mut self, offered: Configuration) -> Installed {
        let is_newer = self
            .current
            .as_ref()
            .is_none_or(|current| offered.version > current.version);
        if !is_newer {
            return Installed::NotNewer;
        }
        self.current = Some(Arc::new(offered));
        Installed::Taken
    }
}
