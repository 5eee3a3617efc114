//! Messages about limits of the tokens that wait on batch routes.

use serde::{Deserialize, Serialize};
use swiftshunt_types::TenantName;

/// The scope of a limit of waiting tokens: a tenant's jobs on a route.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Allowance {
    /// The name of the batch route.
    pub(crate) route: String,
    /// The tenant; `None` if callers need no keys.
    pub(crate) tenant: Option<TenantName>,
}

/// A job whose tokens are to be reserved within a limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LimitedJob {
    /// The scope of the limit.
    pub(crate) allowance: Allowance,
    /// The job's name: its identifier, or a digest of an identifier that is too long for a datagram.
    pub(crate) job: String,
    /// The partition of the journal that holds the job.
    pub(crate) partition: u32,
    /// Number of tokens of the job's items.
    pub(crate) tokens: u64,
    /// The limit in tokens, by the sender's configuration.
    pub(crate) limit: u64,
}

/// Maximum length in bytes of a job's identifier that is sent as it is.
const MAX_PLAIN_NAME_BYTES: usize = 200;

impl LimitedJob {
    /// Returns the name of a job with this identifier. Callers may choose identifiers of any length.
    pub(crate) fn job_name(identifier: &str) -> String {
        if identifier.len() <= MAX_PLAIN_NAME_BYTES {
            return identifier.to_owned();
        }
        blake3::hash(identifier.as_bytes()).to_hex().to_string()
    }
}

/// A counter's decision about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum JobVerdict {
    /// The job fits into the limit, and its tokens are reserved.
    Admitted,
    /// The job does not fit into the limit now.
    Full,
    /// It is not known yet whether the job fits.
    Settling {
        /// Time in milliseconds after which it is expected to be known.
        within_ms: u64,
    },
    /// The asked gateway is not the counter, or the question names an earlier run of its process.
    NotCounter,
}

/// A holder's report of the outstanding tokens in a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HeldPartition {
    /// The number of the partition.
    pub(crate) partition: u32,
    /// Tokens of unfinished items in the partition.
    pub(crate) tokens: u64,
    /// The offset up to which the holder has read.
    pub(crate) end: u64,
    /// Time in milliseconds between the answer to the holder's last read and its report.
    pub(crate) age_ms: u64,
}

/// A message about a limit of waiting tokens. Each is one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum WaitingMessage {
    /// Reports the waiting tokens in partitions that the sender holds. Only earlier builds send it, and it is ignored.
    Report {
        /// The scope of the limit.
        allowance: Allowance,
        /// Waiting tokens by partition.
        partitions: Vec<(u32, u64)>,
    },
    /// Asks whether a job fits. Only earlier builds send it.
    Ask {
        /// Identifies the question in the answer.
        ask: u64,
        /// The scope of the limit.
        allowance: Allowance,
        /// The job's name.
        job: String,
        /// Number of tokens of the job's items.
        tokens: u64,
        /// The limit in tokens.
        limit: u64,
    },
    /// The answer to [`Self::Ask`].
    Answer {
        /// The identifier of the question.
        ask: u64,
        /// Whether the job fits.
        fits: bool,
        /// Number of waiting tokens, including the job if it fits.
        waiting: u64,
    },
    /// Asks the counter of a limit whether a job fits.
    Question {
        /// Identifies the question in the answer.
        ask: u64,
        /// The member name of the gateway process that the sender considers the counter.
        counter: String,
        /// The job to decide about.
        job: LimitedJob,
    },
    /// The answer to [`Self::Question`].
    Decided {
        /// The identifier of the question.
        ask: u64,
        /// The counter's decision.
        verdict: JobVerdict,
    },
    /// Tells the counter that an admitted job was recorded in the journal.
    Recorded {
        /// The scope of the limit.
        allowance: Allowance,
        /// The job's name.
        job: String,
    },
    /// Tells the counter that an admitted job was not recorded and will not be.
    Released {
        /// The scope of the limit.
        allowance: Allowance,
        /// The job's name.
        job: String,
    },
    /// Asks the holders of partitions to report the outstanding tokens in them.
    Collect {
        /// The number of the collection round, which identifies it in the answers.
        round: u64,
        /// The scope of the limit.
        allowance: Allowance,
        /// Whether a holder reads its partitions to the end before it answers.
        is_exact: bool,
    },
    /// A holder's answer to [`Self::Collect`].
    Collected {
        /// The number of the collection round.
        round: u64,
        /// The scope of the limit.
        allowance: Allowance,
        /// The reports of partitions that the sender holds.
        partitions: Vec<HeldPartition>,
    },
}
