//! What gateways ask readers.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use swiftshunt_journal::Topic;

/// Asks for what has changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TailCall {
    /// Where.
    pub(crate) topic: Topic,
    /// From which offset on.
    pub(crate) from: u64,
    /// How long the answer may wait for a change.
    pub(crate) wait: Duration,
}
