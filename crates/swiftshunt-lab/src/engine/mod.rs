//! Stand-in for a model engine: continuous batching in steps, a prefix cache, priorities, resumption and
//! cancellation of requests, lagging load reports, and fenced orders to load models.

mod batcher;
mod prefix_cache;
mod server;
mod settings;
mod tokens;

pub use batcher::{AcceptedRequest, TokenCounts};
pub use server::{EngineState, start};
pub use settings::EngineSettings;
pub use tokens::{expected_answer, natural_length, token_text, versions_in};
