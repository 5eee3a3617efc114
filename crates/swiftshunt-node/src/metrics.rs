//! Counters and gauges in the Prometheus text format.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use crate::peer::PeerTraffic;

/// The node's metrics.
pub(crate) struct Metrics {
    registry: Registry,
    /// Online requests accepted.
    pub(crate) online_requests: Counter,
    /// Requests refused without running.
    pub(crate) refused_requests: Counter,
    /// Streams resumed on another engine.
    pub(crate) resumed_streams: Counter,
    /// Submissions accepted through this node.
    pub(crate) submissions: Counter,
    /// Batch items whose results were recorded.
    pub(crate) batch_items: Counter,
    /// Batch items that were preempted.
    pub(crate) preempted_items: Counter,
    /// Partitions that this node leads.
    pub(crate) led_partitions: Gauge,
    /// Version of the configuration in force.
    pub(crate) configuration_version: Gauge<u64, AtomicU64>,
    /// Time from request to first token.
    pub(crate) first_token: Histogram,
}

const FIRST_TOKEN_MIN_SECONDS: f64 = 0.001;
const FIRST_TOKEN_BUCKETS: u16 = 16;

impl Default for Metrics {
    fn default() -> Self {
        let buckets = exponential_buckets(FIRST_TOKEN_MIN_SECONDS, 2.0, FIRST_TOKEN_BUCKETS);
        let mut metrics = Self {
            registry: Registry::with_prefix("swiftshunt"),
            online_requests: Counter::default(),
            refused_requests: Counter::default(),
            resumed_streams: Counter::default(),
            submissions: Counter::default(),
            batch_items: Counter::default(),
            preempted_items: Counter::default(),
            led_partitions: Gauge::default(),
            configuration_version: Gauge::default(),
            first_token: Histogram::new(buckets),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        let counters = [
            (
                "online_requests",
                "Online requests accepted",
                &self.online_requests,
            ),
            (
                "refused_requests",
                "Requests refused without running",
                &self.refused_requests,
            ),
            (
                "resumed_streams",
                "Streams resumed on another engine",
                &self.resumed_streams,
            ),
            ("submissions", "Submissions accepted", &self.submissions),
            (
                "batch_items",
                "Batch items whose results were recorded",
                &self.batch_items,
            ),
            (
                "preempted_items",
                "Batch items that were preempted",
                &self.preempted_items,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register(
            "led_partitions",
            "Partitions that this node leads",
            self.led_partitions.clone(),
        );
        registry.register(
            "configuration_version",
            "Version of the configuration in force",
            self.configuration_version.clone(),
        );
        registry.register_with_unit(
            "first_token",
            "Time from request to first token",
            Unit::Seconds,
            self.first_token.clone(),
        );
    }

    /// Registers the metrics of the calls to other nodes.
    pub(crate) fn register_traffic(&mut self, traffic: &PeerTraffic) {
        let registry = &mut self.registry;
        let calls = traffic.calls.clone();
        registry.register("peer_calls", "Calls to other nodes", calls);
        let sent = traffic.sent_bytes.clone();
        let help = "Bytes of request bodies sent to other nodes";
        registry.register_with_unit("peer_sent", help, Unit::Bytes, sent);
        let received = traffic.received_bytes.clone();
        let help = "Bytes of response bodies received from other nodes";
        registry.register_with_unit("peer_received", help, Unit::Bytes, received);
    }

    /// Encodes the metrics as the response body of `/metrics`.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# metrics cannot be written: {error}\n"),
        }
    }
}
