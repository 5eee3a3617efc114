//! Message with which a gateway requests a part of a tail from a reader.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use swiftshunt_journal::Topic;

/// A request for the changes of a topic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TailCall {
    /// Topic that is followed.
    pub(crate) topic: Topic,
    /// First offset requested.
    pub(crate) from: u64,
    /// Longest time for which the answer waits for a change.
    pub(crate) wait: Duration,
}
