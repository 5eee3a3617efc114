//! How an engine stand-in behaves.

use std::net::SocketAddr;
use std::time::Duration;

use swiftshunt_types::ModelName;

/// How an engine stand-in behaves.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Requests in one step.
    pub slots: u32,
    /// Requests that may wait.
    pub queue_limit: usize,
    /// Duration of a step, whatever it holds.
    pub step_base: Duration,
    /// Added to a step for each request in it.
    pub step_per_request: Duration,
    /// Added to a request's first step for each prompt block that is not cached.
    pub prefill_per_block: Duration,
    /// Prompt blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Age of the load that is reported.
    pub report_lag: Duration,
    /// Models loaded at the start; empty means any.
    pub models: Vec<ModelName>,
    /// Where weights are fetched before an ordered model is served; at once if there is none.
    pub weight_store: Option<SocketAddr>,
    /// Each so-manieth event is sent twice; 0 for none.
    pub duplicate_event_interval: u32,
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
        }
    }
}
