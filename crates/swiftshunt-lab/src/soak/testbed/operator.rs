//! Records that the operator and the directory write to the store.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use swiftshunt_http::HttpRequest;
use swiftshunt_platform::documents::{ConfigurationDocument, WorkerDocument};
use swiftshunt_platform::words::{paths, queries, topics, values};

use super::{CONTROL_TIMEOUT, Testbed};
use crate::platform::fleet::{BATCH, STREAM_ONCE, first_configuration, route};
use crate::soak::history::{Evacuation, PublishedConfiguration, ResidencyRule};
use crate::soak::plan::Trigger;
use crate::stand_in::lock;

/// Number of marker routes of earlier versions that a configuration keeps.
const MAX_EARLIER_MARKERS: u64 = 4;

/// Index of the zone whose region is the only region allowed for the route of non-resumable streams.
const RESIDENCY_ZONE: usize = 0;

/// The operator, who publishes configurations and evacuations.
pub(super) struct Operator {
    /// Address at which the store serves the operator, without faults.
    pub(super) store_address: SocketAddr,
    /// Version of the last configuration sent to the store, acknowledged or not; 0 before the first.
    version: AtomicU64,
}

impl Operator {
    pub(super) fn new(store_address: SocketAddr) -> Self {
        Self {
            store_address,
            version: AtomicU64::new(0),
        }
    }
}

/// Returns the path of the marker route of a configuration version.
pub(in crate::soak) fn marker(version: u64) -> String {
    format!("/marker-{version}/")
}

impl Testbed {
    /// Writes a record under a key and returns whether the store acknowledged it.
    pub(super) async fn put_record(&self, topic: &str, key: &[u8], value: &[u8]) -> bool {
        let path = format!(
            "{}?{}={topic}&{}=0",
            paths::APPEND,
            queries::TOPIC,
            queries::PARTITION
        );
        let body = encode_record(key, value);
        let request = HttpRequest::post(
            self.operator.store_address,
            path,
            "application/octet-stream",
            body,
        );
        let answer = self.client.expect_success(request, CONTROL_TIMEOUT).await;
        if let Err(error) = &answer {
            self.record_failure(format!(
                "the store stand-in did not accept a record: {error}"
            ));
        }
        answer.is_ok()
    }

    /// Publishes a configuration with the next version and a marker route for it.
    pub(super) async fn configure(&self) {
        let version = self.operator.version.fetch_add(1, Ordering::SeqCst) + 1;
        let mut document = first_configuration();
        document.version = version;
        self.apply_regions_and_cold_limits(&mut document);
        self.apply_waiting_limit(&mut document);
        let oldest = version.saturating_sub(MAX_EARLIER_MARKERS).max(1);
        for marked in oldest..=version {
            let marker = route(&marker(marked), values::IDEMPOTENT, "whole");
            document.routes.push(marker);
        }
        let body = serde_json::to_vec(&document).unwrap_or_default();
        if self
            .put_record(topics::OPERATOR, topics::CONFIGURATION_KEY, &body)
            .await
        {
            let at = self.now();
            let published = PublishedConfiguration { version, at };
            lock(&self.history).configurations.push(published);
            self.notify_trigger(Trigger::Configured);
        }
    }

    /// Sets the waiting limit of the batch route, unless the plan keeps it out of the configuration. The history gets
    /// the limit in both cases.
    fn apply_waiting_limit(&self, document: &mut ConfigurationDocument) {
        let Some(limit) = self.plan.waiting_limit else {
            return;
        };
        lock(&self.history).waiting_limit = Some(limit.tokens);
        let routes = document.routes.iter_mut();
        for route in routes.filter(|route| route.path_prefix == BATCH && limit.is_announced) {
            route.max_queued_tokens = Some(limit.tokens as f64);
        }
    }

    /// Restricts the route of non-resumable streams to one region, and sets the limits of cold workers.
    fn apply_regions_and_cold_limits(&self, document: &mut ConfigurationDocument) {
        if self.plan.regions.is_some() {
            let region = self.zones().region(RESIDENCY_ZONE);
            let routes = document.routes.iter_mut();
            for route in routes.filter(|route| route.path_prefix == STREAM_ONCE) {
                route.allowed_regions = vec![region.to_owned()];
            }
            let rule = ResidencyRule {
                path_prefix: STREAM_ONCE.to_owned(),
                regions: vec![region.to_owned()],
            };
            lock(&self.history).residency_rules = vec![rule];
        }
        if let Some(cold) = self.plan.cold.filter(|cold| cold.is_announced) {
            for service in &mut document.services {
                service.cold_s = cold.duration_ms as f64 / 1e3;
                service.cold_per_s = cold.per_second;
            }
        }
    }

    /// Evacuates a zone for a time. Has no effect in a round with a single zone, which has to keep serving.
    pub(super) async fn evacuate(&self, zone: usize, duration: Duration) {
        if self.plan.regions.is_none() {
            return;
        }
        let zone = self.zones().zone(zone).to_owned();
        let key = format!("{}{zone}", topics::EVACUATION_KEY);
        if !self
            .put_record(topics::OPERATOR, key.as_bytes(), b"{}")
            .await
        {
            return;
        }
        let mut evacuation = Evacuation {
            zone,
            at: self.now(),
            withdrawn: None,
            cold_ms: self.plan.cold.map_or(0, |cold| cold.duration_ms),
        };
        tokio::time::sleep(duration).await;
        evacuation.withdrawn = Some(self.now());
        lock(&self.history).evacuations.push(evacuation);
        self.put_record(topics::OPERATOR, key.as_bytes(), &[]).await;
    }

    /// Returns the acknowledged configuration with the highest version.
    pub(in crate::soak) fn latest_configuration(&self) -> Option<PublishedConfiguration> {
        let history = lock(&self.history);
        history
            .configurations
            .iter()
            .max_by_key(|it| it.version)
            .copied()
    }

    /// Writes the directory entry of a worker and returns whether the store acknowledged it.
    pub(super) async fn put_worker(&self, incarnation: &str, document: &WorkerDocument) -> bool {
        let body = serde_json::to_vec(document).unwrap_or_default();
        self.put_record(topics::WORKERS, incarnation.as_bytes(), &body)
            .await
    }

    /// Deletes the directory entry of a worker.
    pub(super) async fn remove_worker(&self, incarnation: &str) {
        self.put_record(topics::WORKERS, incarnation.as_bytes(), &[])
            .await;
    }
}

/// Encodes a record of a keyed topic for an append request.
fn encode_record(key: &[u8], value: &[u8]) -> Bytes {
    let mut body = BytesMut::new();
    body.put_u32((1 + key.len() + value.len()) as u32);
    body.put_u8(key.len() as u8);
    body.put_slice(key);
    body.put_slice(value);
    body.freeze()
}
