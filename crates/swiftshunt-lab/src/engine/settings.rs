//! Settings of the engine stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use swiftshunt_types::{ModelName, SoftwareVersion};

/// Capacity, timing and faults of an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Largest number of requests in one step.
    pub slots: u32,
    /// Largest number of waiting requests, online and batch together.
    pub queue_limit: usize,
    /// Fixed part of the duration of a step.
    pub step_base: Duration,
    /// Time added to a step for each request in it.
    pub step_per_request: Duration,
    /// Time added to the first step of a request for each prompt block that is not cached.
    pub prefill_per_block: Duration,
    /// Capacity of the prefix cache, in prompt blocks.
    pub cache_blocks: usize,
    /// Age of the load that is reported.
    pub report_lag: Duration,
    /// Models that are loaded at the start. If there are none, every model is served until an order loads one; then
    /// only loaded models are served.
    pub models: Vec<ModelName>,
    /// Weight store from which an ordered model is fetched before it is served; with `None` it is served at once.
    pub weight_store: Option<SocketAddr>,
    /// Send every n-th event twice; 0 disables duplicates.
    pub duplicate_event_interval: u32,
    /// Software version, which each token names; `None` if they name none.
    pub software: Option<SoftwareVersion>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            slots: 16,
            queue_limit: 512,
            step_base: Duration::from_millis(4),
            step_per_request: Duration::from_micros(100),
            prefill_per_block: Duration::from_micros(500),
            cache_blocks: 4096,
            report_lag: Duration::from_millis(100),
            models: Vec::new(),
            weight_store: None,
            duplicate_event_interval: 0,
            software: None,
        }
    }
}
