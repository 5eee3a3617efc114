//! Messages between gateways about the origins of streams.

use serde::{Deserialize, Serialize};
use swiftshunt_scheduler::origins::key::AttemptKey;
use swiftshunt_scheduler::origins::resolution::OriginKnowledge;
use swiftshunt_scheduler::origins::table::StreamOrigin;

/// A message about the origins of streams. Each is one datagram and may be lost, duplicated or late. A stream whose
/// records are lost is not continued.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum OriginMessage {
    /// Tells the gateways that remember a stream's origin what began it.
    Began {
        /// The streams.
        streams: Vec<BegunStream>,
    },
    /// Asks what the receiver knows of a stream.
    Ask {
        /// Identifies the question in the answer.
        ask: u64,
        /// The key of the stream's first attempt.
        key: AttemptKey,
        /// The host that the caller names.
        host: String,
        /// The prefix of the paths of the stream's route.
        path_prefix: String,
    },
    /// The answer to [`Self::Ask`].
    Knows {
        /// The identifier of the question.
        ask: u64,
        /// What the sender knows.
        knowledge: OriginKnowledge,
    },
}

/// A stream and its origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BegunStream {
    /// The key of the stream's first attempt.
    pub(crate) key: AttemptKey,
    /// What began the stream.
    pub(crate) origin: StreamOrigin,
    /// Time for which the origin is remembered, in milliseconds.
    pub(crate) ttl_ms: u64,
}
