//! Configurations as operators of a fleet publish them.

use serde::Serialize;
use swiftshunt_platform::documents::{
    BackendDocument, ConfigurationDocument, LimitsDocument, RouteDocument, ServiceDocument,
};
use swiftshunt_platform::words::values;

use crate::platform::caller::HOST;

/// Paths of the routes that a fleet begins with.
pub const ASK: &str = "/ask/";
/// A route whose requests may not be repeated.
pub const ONCE: &str = "/once/";
/// Streams that may be resumed.
pub const STREAM: &str = "/stream/";
/// Streams that may not.
pub const STREAM_ONCE: &str = "/stream-once/";
/// Batch jobs.
pub const BATCH: &str = "/batch/";

/// A route of the callers' host.
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

/// The configuration that a fleet begins with.
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

/// A tenant as operators publish it.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct PublishedTenant {
    /// Name.
    pub name: String,
    /// Keys.
    pub api_keys: Vec<String>,
    /// Rank.
    pub priority: u32,
    /// Requests a second; 0 is no limit.
    pub rate_per_s: f64,
    /// Requests on top of that.
    pub burst: f64,
}

impl PublishedTenant {
    /// A tenant without a limit.
    pub fn new(name: &str, keys: &[&str]) -> Self {
        Self {
            name: name.to_owned(),
            api_keys: keys.iter().map(|key| (*key).to_owned()).collect(),
            ..Self::default()
        }
    }

    /// The same tenant with a limit.
    pub fn with_rate_limit(self, rate_per_s: f64, burst: f64) -> Self {
        Self {
            rate_per_s,
            burst,
            ..self
        }
    }
}

/// A configuration as operators publish it.
#[derive(Serialize)]
pub(super) struct PublishedConfiguration<'t> {
    #[serde(flatten)]
    pub(super) document: ConfigurationDocument,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) tenants: Option<&'t [PublishedTenant]>,
}

/// A split of a route.
pub fn weighted_split(parts: &[(&str, u32)]) -> Option<Vec<BackendDocument>> {
    let parts = parts.iter().map(|(service, weight)| BackendDocument {
        service: (*service).to_owned(),
        weight: *weight,
    });
    Some(parts.collect())
}
