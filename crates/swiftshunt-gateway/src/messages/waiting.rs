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

/// A job that asks for room within a limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LimitedJob {
    /// What is limited.
    pub(crate) allowance: Allowance,
    /// Names the job: by its identifier, or by a digest of one that is too long for a datagram.
    pub(crate) job: String,
    /// The partition that it lies in.
    pub(crate) partition: u32,
    /// Its tokens.
    pub(crate) tokens: u64,
    /// The limit.
    pub(crate) limit: u64,
}

/// Longest identifier of a job that is told as it is, in bytes.
const MAX_PLAIN_NAME_BYTES: usize = 200;

impl LimitedJob {
    /// Names a job that has an identifier: callers may choose one of any length.
    pub(crate) fn job_name(identifier: &str) -> String {
        if identifier.len() <= MAX_PLAIN_NAME_BYTES {
            return identifier.to_owned();
        }
        blake3::hash(identifier.as_bytes()).to_hex().to_string()
    }
}

/// What the gateway that counts says about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum JobVerdict {
    /// It fits.
    Admitted,
    /// It does not fit now.
    Full,
    /// It is not known yet; it is after so many milliseconds.
    Settling {
        /// Milliseconds.
        within_ms: u64,
    },
    /// Another gateway counts, or another life of this one.
    NotCounter,
}

/// What stands in a partition, as its holder has read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HeldPartition {
    /// The partition.
    pub(crate) partition: u32,
    /// Tokens of unfinished items.
    pub(crate) tokens: u64,
    /// The offset up to which the holder has read.
    pub(crate) end: u64,
    /// Milliseconds since the holder's last read was answered, when it answered the call for reports.
    pub(crate) age_ms: u64,
}

/// A message about a limit. Each is one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum WaitingMessage {
    /// What waits in partitions that the sender holds: from earlier builds.
    Report {
        /// What is limited.
        allowance: Allowance,
        /// Tokens by partition.
        partitions: Vec<(u32, u64)>,
    },
    /// Asks whether a job fits: from earlier builds.
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
    /// The answer to an earlier build.
    Answer {
        /// The question.
        ask: u64,
        /// Whether it fits.
        fits: bool,
        /// Tokens that wait, with this job if it fits.
        waiting: u64,
    },
    /// Asks the gateway that counts whether a job fits.
    Question {
        /// Names the question in the answer.
        ask: u64,
        /// The life that is taken for the one that counts.
        counter: String,
        /// The job.
        job: LimitedJob,
    },
    /// The answer.
    Decided {
        /// The question.
        ask: u64,
        /// What is decided.
        verdict: JobVerdict,
    },
    /// The record of an admitted job stands.
    Recorded {
        /// What is limited.
        allowance: Allowance,
        /// The job.
        job: String,
    },
    /// An admitted job was not recorded, and will not be.
    Released {
        /// What is limited.
        allowance: Allowance,
        /// The job.
        job: String,
    },
    /// Asks holders of partitions what stands in them.
    Collect {
        /// Names the call in the answers.
        round: u64,
        /// What is limited.
        allowance: Allowance,
        /// Whether a holder first reads what it has not seen.
        is_exact: bool,
    },
    /// The answer of a holder.
    Collected {
        /// The call.
        round: u64,
        /// What is limited.
        allowance: Allowance,
        /// What it holds.
        partitions: Vec<HeldPartition>,
    },
}
