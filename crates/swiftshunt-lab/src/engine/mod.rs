//! The engine stand-in: continuous batching in steps, a prefix cache, priorities, resume, cancel,
//! lagging load reports, fenced load orders.

mod batcher;
mod prefix_cache;
mod server;
mod settings;
mod tokens;

pub use batcher::{AcceptedRequest, TokenCounts};
pub use server::{EngineState, start};
pub use settings::EngineSettings;
pub use tokens::{expected_answer, natural_length, token_text};
