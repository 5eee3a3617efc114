//! Configurations that the operators of a fleet publish.

use serde::Serialize;
use swiftshunt_platform::documents::{
    BackendDocument, ConfigurationDocument, LimitsDocument, RouteDocument, ServiceDocument,
};
use swiftshunt_platform::words::values;

use crate::platform::caller::HOST;

/// Path of an idempotent route of the first configuration.
pub const ASK: &str = "/ask/";
/// Path of a route whose requests must not be repeated.
pub const ONCE: &str = "/once/";
/// Path of a route of streams that may be resumed at another worker.
pub const STREAM: &str = "/stream/";
/// Path of a route of streams that must not be resumed.
pub const STREAM_ONCE: &str = "/stream-once/";
/// Path of a route of batch jobs.
pub const BATCH: &str = "/batch/";

/// Returns a route for requests of [`HOST`] under `path`, which the workers of `service` run.
pub fn route(path: &str, kind: &str, service: &str) -> RouteDocument {
    RouteDocument {
        name: path.trim_matches('/').to_owned(),
        host: HOST.to_owned(),
        path_prefix: path.to_owned(),
        kind: kind.to_owned(),
        timeout_ms: 8_000.0,
        slo_ms: 300.0,
        service: Some(service.to_owned()),
        max_attempts: 3,
        ..RouteDocument::default()
    }
}

/// Returns the configuration with which a fleet starts: the routes above and the two services.
pub fn first_configuration() -> ConfigurationDocument {
    let mut streams = route(STREAM, values::STREAMING, "engine");
    streams.can_resume = true;
    streams.gap_target_ms = Some(500.0);
    let mut batch = route(BATCH, values::BATCH, "engine");
    batch.completion_target_ms = Some(20_000.0);
    batch.max_wait_s = Some(60.0);
    let service = |name: &str| ServiceDocument {
        name: name.to_owned(),
        max_conns: 200,
        ..ServiceDocument::default()
    };
    ConfigurationDocument {
        version: 1,
        routes: vec![
            route(ASK, values::IDEMPOTENT, "whole"),
            route(ONCE, values::NON_IDEMPOTENT, "whole"),
            streams,
            route(STREAM_ONCE, values::STREAMING, "engine"),
            batch,
        ],
        services: vec![service("whole"), service("engine")],
        limits: LimitsDocument {
            max_header_bytes: 16_384,
            max_body_bytes: 65_536,
            header_timeout_ms: 3_000.0,
            idle_timeout_ms: 15_000.0,
        },
        tenants: None,
    }
}

/// A tenant in a published configuration.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct PublishedTenant {
    /// Name of the tenant.
    pub name: String,
    /// API keys, all of which authenticate the tenant.
    pub api_keys: Vec<String>,
    /// Priority, which takes precedence over that of routes; 0 is the highest.
    pub priority: u32,
    /// Limit of requests per second; 0 for no limit.
    pub rate_per_s: f64,
    /// Number of requests above the rate that are admitted at once.
    pub burst: f64,
}

impl PublishedTenant {
    /// Creates a tenant without a rate limit.
    pub fn new(name: &str, keys: &[&str]) -> Self {
        Self {
            name: name.to_owned(),
            api_keys: keys.iter().map(|key| (*key).to_owned()).collect(),
            ..Self::default()
        }
    }

    /// Returns the tenant with a limit of requests per second and a burst.
    pub fn with_rate_limit(self, rate_per_s: f64, burst: f64) -> Self {
        Self {
            rate_per_s,
            burst,
            ..self
        }
    }
}

/// A configuration document with the tenants in the form in which operators publish them.
#[derive(Serialize)]
pub(super) struct PublishedConfiguration<'t> {
    #[serde(flatten)]
    pub(super) document: ConfigurationDocument,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) tenants: Option<&'t [PublishedTenant]>,
}

/// Returns the backends of a route that splits its requests between services by weight. Always `Some`, as the
/// route's field requires.
pub fn weighted_split(parts: &[(&str, u32)]) -> Option<Vec<BackendDocument>> {
    let parts = parts.iter().map(|(service, weight)| BackendDocument {
        service: (*service).to_owned(),
        weight: *weight,
    });
    Some(parts.collect())
}
