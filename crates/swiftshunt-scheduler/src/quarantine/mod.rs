//! Requests that end the workers that run them.
//!
//! A worker that ends while it runs six requests accuses six, and one did it. What is known is therefore a
//! set: which workers ended while they ran which requests. It is the same set wherever it is put together, in
//! any order and from whatever sources, and what follows for a request is a function of it ([`Quarantine`]):
//!
//! - Each life of a worker counts once. Of many that end at one moment, and did not all run the
//!   request, one counts: a rack that dies while a popular request runs on half of its workers says no more
//!   than one worker would.
//! - Ends that a request shares with another one which has ended more workers are that one's, and do not
//!   count.
//! - A run that ended well clears a request.
//! - What is known lapses after [`PROVED_END_TTL`].
//! - A refused connection looks like the end of a process, and may be the way to it: it is a suspicion, and
//!   lapses after [`SUSPECTED_END_TTL`] unless the end is proved ([`Evidence`]). A sign of life refutes it.

mod evidence;
mod fingerprint;
mod lapsed_workers;
mod renewal_tracker;
mod table;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::slots::WorkerKey;

pub use evidence::Evidence;
pub use fingerprint::{Fingerprint, ParseFingerprintError, RequestIdentity};
pub use lapsed_workers::{LAPSE_SETTLE_DELAY, LapsedWorkers};
pub use renewal_tracker::RenewalTracker;
pub use table::Quarantine;

/// Ends of workers after which a request is not sent any more. Two come together by chance: a request that
/// goes on at another worker, and meets the one there that ended its first.
pub const QUARANTINE_THRESHOLD: usize = 3;
/// How long an end is remembered: a request is tried again after it, at the risk of as many workers. Callers'
/// own tries end within minutes, and a worker's software is replaced within an hour.
pub const PROVED_END_TTL: Duration = Duration::from_secs(15 * 60);
/// How long an end is remembered that is only suspected. The entry of a worker that has ended lapses within
/// three signs of life, some four seconds, and what lapsed with it is looked at for two more.
pub const SUSPECTED_END_TTL: Duration = Duration::from_secs(8);
/// Ends within this time of each other are one moment, unless the later run began after the earlier end. What
/// dies together is noticed within a few times the way to and fro within a region.
pub const SIMULTANEITY_WINDOW: Duration = Duration::from_millis(30);

/// A worker that ended while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerEnd {
    /// The worker.
    pub worker: WorkerKey,
    /// When the request was sent to it, in milliseconds of Unix time.
    pub sent_unix_ms: u64,
    /// When its end was seen, in milliseconds of Unix time.
    pub ended_unix_ms: u64,
    /// What says that it has ended. A gateway that does not tell had seen a connection refused.
    #[serde(default, skip_serializing_if = "Evidence::is_suspicion")]
    pub evidence: Evidence,
}

impl WorkerEnd {
    /// Whether both are the same end, on whatever evidence.
    pub fn is_same(&self, other: &Self) -> bool {
        (self.worker, self.sent_unix_ms, self.ended_unix_ms)
            == (other.worker, other.sent_unix_ms, other.ended_unix_ms)
    }
}

/// What follows for a request from the ends of workers that ran it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// It may be sent.
    Allowed,
    /// It may not be sent.
    Quarantined {
        /// Workers that have ended while they ran it.
        ends: usize,
        /// How long it is held yet.
        time_left: Duration,
    },
}
