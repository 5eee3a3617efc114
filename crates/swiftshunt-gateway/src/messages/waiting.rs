//! Messages about limits of the tokens that wait on batch routes.

use serde::{Deserialize, Serialize};
use swiftshunt_types::TenantName;

/// What is limited together.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Allowance {
    /// The route.
    pub(crate) route: String,
    /// The tenant; none where callers need no keys.
    pub(crate) tenant: Option<TenantName>,
}

/// A message about a limit. Each is one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum WaitingMessage {
    /// What waits in partitions that the sender holds.
    Report {
        /// What is limited.
        allowance: Allowance,
        /// Tokens by partition.
        partitions: Vec<(u32, u64)>,
    },
    /// Asks whether a job fits.
    Ask {
        /// Names the question in the answer.
        ask: u64,
        /// What is limited.
        allowance: Allowance,
        /// The job.
        job: String,
        /// Its tokens.
        tokens: u64,
        /// The limit.
        limit: u64,
    },
    /// The answer.
    Answer {
        /// The question.
        ask: u64,
        /// Whether it fits.
        fits: bool,
        /// Tokens that wait, with this job if it fits.
        waiting: u64,
    },
}
