//! What the operator and the directory write to the store.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::{BufMut, Bytes, BytesMut};
use swiftshunt_http::HttpRequest;
use swiftshunt_platform::documents::WorkerDocument;
use swiftshunt_platform::words::{paths, queries, topics, values};

use super::{CONTROL_TIMEOUT, Testbed};
use crate::platform::fleet::{first_configuration, route};
use crate::soak::history::Configured;
use crate::soak::plan::Moment;
use crate::stand_in::lock;

/// Routes of earlier versions that a configuration keeps.
const MARKERS_KEPT: u64 = 4;

/// The operator.
pub(super) struct Operator {
    /// A door of the store without faults.
    pub(super) door: SocketAddr,
    version: AtomicU64,
}

impl Operator {
    pub(super) fn new(door: SocketAddr) -> Self {
        Self {
            door,
            version: AtomicU64::new(0),
        }
    }
}

/// The path of the route that version `version` brought.
pub(in crate::soak) fn marker(version: u64) -> String {
    format!("/marker-{version}/")
}

impl Testbed {
    /// Writes a record under a key; gives whether the store acknowledged it.
    pub(super) async fn put(&self, topic: &str, key: &[u8], value: &[u8]) -> bool {
        let path = format!(
            "{}?{}={topic}&{}=0",
            paths::APPEND,
            queries::TOPIC,
            queries::PARTITION
        );
        let body = record(key, value);
        let request = HttpRequest::post(self.operator.door, path, "application/octet-stream", body);
        let answer = self.client.expect_success(request, CONTROL_TIMEOUT).await;
        if let Err(error) = &answer {
            self.record_failure(format!(
                "the store's stand-in does not take a record: {error}"
            ));
        }
        answer.is_ok()
    }

    /// Publishes a configuration under the next version, with a route of its number.
    pub(super) async fn configure(&self) {
        let version = self.operator.version.fetch_add(1, Ordering::SeqCst) + 1;
        let mut document = first_configuration();
        document.version = version;
        let oldest = version.saturating_sub(MARKERS_KEPT).max(1);
        for marked in oldest..=version {
            let marker = route(&marker(marked), values::IDEMPOTENT, "whole");
            document.routes.push(marker);
        }
        let body = serde_json::to_vec(&document).unwrap_or_default();
        if self
            .put(topics::OPERATOR, topics::CONFIGURATION_KEY, &body)
            .await
        {
            let at = self.now();
            let configured = Configured { version, at };
            lock(&self.facts).configurations.push(configured);
            self.reached(Moment::Configured);
        }
    }

    /// The newest configuration that was acknowledged.
    pub(in crate::soak) fn configured(&self) -> Option<Configured> {
        let facts = lock(&self.facts);
        facts
            .configurations
            .iter()
            .max_by_key(|it| it.version)
            .copied()
    }

    /// Lists a worker in a state.
    pub(super) async fn list(&self, incarnation: &str, document: &WorkerDocument) -> bool {
        let body = serde_json::to_vec(document).unwrap_or_default();
        self.put(topics::WORKERS, incarnation.as_bytes(), &body)
            .await
    }

    /// Takes a worker out of the directory.
    pub(super) async fn unlist(&self, incarnation: &str) {
        self.put(topics::WORKERS, incarnation.as_bytes(), &[]).await;
    }
}

/// A record of a keyed topic as it is appended.
fn record(key: &[u8], value: &[u8]) -> Bytes {
    let mut body = BytesMut::new();
    body.put_u32((1 + key.len() + value.len()) as u32);
    body.put_u8(key.len() as u8);
    body.put_slice(key);
    body.put_slice(value);
    body.freeze()
}
