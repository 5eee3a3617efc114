//! Quarantine of requests that end the workers that run them.
//!
//! A worker that ends while it runs six requests makes all six suspect, although only one is the
//! cause. The state is therefore a set of facts: which workers ended while they ran which requests.
//! The set does not depend on the order or the source of the facts, and the status of a request is
//! a function of the set ([`Quarantine`]):
//!
//! - Each life of a worker counts once. A proof concerns one life: all requests that were sent to
//!   the worker before its next life started count as one end of it.
//! - If many workers end at one moment and not all of them ran the request, they count as one: a
//!   rack that fails while a popular request runs on half of its workers is no more evidence than one
//!   worker.
//! - An end does not count for a request if another request that ran on the worker has ended more
//!   workers: the other request explains it.
//! - A run that ends well clears a request.
//! - A part that many prompts share is accused by each end as well, and is held if it explains the
//!   ends ([`parts`]). Whole requests that it explains are free again.
//! - A run that ended before it was seen what it does to its worker is accused if the worker ends a
//!   moment later ([`InconclusiveRuns`]).
//! - A fact expires after [`PROVED_END_TTL`].
//! - A refused connection looks like the end of a process, but may be a network fault. It is only a
//!   suspicion, which expires after [`SUSPECTED_END_TTL`] unless the end is proved ([`Evidence`]).
//!   An entry that the worker renews refutes it.

mod evidence;
mod fingerprint;
mod inconclusive_runs;
mod lapsed_workers;
mod parts;
mod proved_lives;
mod recent_runs;
mod renewal_tracker;
mod table;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::slots::WorkerKey;

pub use evidence::Evidence;
pub use fingerprint::{Fingerprint, ParseFingerprintError, RequestIdentity};
pub use inconclusive_runs::{AccusedRuns, InconclusiveRun, InconclusiveRuns, LINGER_TIME};
pub use lapsed_workers::{LAPSE_SETTLE_DELAY, LapsedWorkers};
pub use parts::PART_THRESHOLD;
pub use proved_lives::NextLife;
pub use recent_runs::{COMPARISON_WINDOW, RecentRuns, RunCounts};
pub use renewal_tracker::RenewalTracker;
pub use table::Quarantine;

/// Number of worker ends from which a request is no longer sent. Two can coincide by chance: a
/// request is retried at another worker and meets there the request that ended its first worker.
pub const QUARANTINE_THRESHOLD: usize = 3;
/// Time for which a proved end is remembered. After it the request is tried again, at the risk of
/// as many workers. Callers' own retries stop within minutes, and a worker's software is replaced
/// within an hour.
pub const PROVED_END_TTL: Duration = Duration::from_secs(15 * 60);
/// Time for which a suspected end is remembered. The entry of a worker that has ended lapses within
/// three renewal intervals, some four seconds, and other lapses of its zone are awaited for two
/// more.
pub const SUSPECTED_END_TTL: Duration = Duration::from_secs(8);
/// Ends within this time of each other count as one moment, unless the later run began after the
/// earlier end. Ends with one cause are noticed within a few round trips of a region.
pub const SIMULTANEITY_WINDOW: Duration = Duration::from_millis(30);

/// The end of a worker while it ran a request, or a request whose prompt has a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerEnd {
    /// The worker.
    pub worker: WorkerKey,
    /// When the request was sent to the worker, in milliseconds of Unix time.
    pub sent_unix_ms: u64,
    /// When the end was noticed, in milliseconds of Unix time.
    pub ended_unix_ms: u64,
    /// Evidence for the end; a message without it stands for a refused connection.
    #[serde(default, skip_serializing_if = "Evidence::is_suspicion")]
    pub evidence: Evidence,
    /// Position of the part in the prompt, from 0, if the end accuses a part that prompts share; `None` if it accuses a
    /// whole request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<u8>,
}

impl WorkerEnd {
    /// Returns how long the end is remembered. Suspicions that accuse a part are kept as long as they
    /// are compared: while the log is away nothing proves them, and one of them alone holds nothing.
    pub fn ttl(&self) -> Duration {
        match self.part {
            None => self.evidence.ttl(),
            Some(_) => self.evidence.ttl().max(COMPARISON_WINDOW),
        }
    }

    /// Returns whether both are the same end, regardless of the evidence.
    pub fn is_same(&self, other: &Self) -> bool {
        (self.worker, self.sent_unix_ms, self.ended_unix_ms)
            == (other.worker, other.sent_unix_ms, other.ended_unix_ms)
    }
}

/// Whether a request, or one with a part, may be sent, by the ends of workers that ran it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// The request may be sent.
    Allowed,
    /// The request may not be sent.
    Quarantined {
        /// Number of worker ends known for the request, one per life of a worker.
        ends: usize,
        /// Time until the request may be sent again.
        time_left: Duration,
    },
}
