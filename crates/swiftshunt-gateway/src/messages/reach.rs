//! Messages by which a gateway whose sends get no answers finds out whether others fare better.

use serde::{Deserialize, Serialize};

/// A message about how a gateway reaches the workers of a service. Each is one datagram and may be lost, duplicated or
/// late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ReachMessage {
    /// Asks a gateway how it reaches the workers of a service.
    Ask {
        /// Identifies the question in the answer.
        ask: u64,
        /// The service.
        service: String,
    },
    /// The answer to [`Self::Ask`].
    Answer {
        /// The identifier of the question.
        ask: u64,
        /// Milliseconds since a worker of the service last answered the sender; `None` if none has.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        answered_ms: Option<u64>,
        /// Milliseconds since a send to a worker of the service last got no answer; `None` if there was none since the last
        /// answer.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        failed_ms: Option<u64>,
    },
}
