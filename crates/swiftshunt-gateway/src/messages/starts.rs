//! Messages between gateways and the keepers of starts at cold workers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A message. Each is one datagram; any may be lost, doubled or late: a start that does not come in time has
/// lapsed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum StartMessage {
    /// Asks a keeper for a start.
    Ask {
        /// Names the question in the answer.
        ask: u64,
        /// The worker's service.
        service: String,
        /// The worker's identifier.
        worker: String,
        /// The worker's zone.
        zone: String,
    },
    /// The keeper's answer.
    Answer {
        /// The question.
        ask: u64,
        /// A start, or the time until there may be one.
        verdict: Result<(), Duration>,
    },
}
