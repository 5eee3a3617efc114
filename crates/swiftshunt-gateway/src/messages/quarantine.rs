//! What gateways tell each other of requests that end their workers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use swiftshunt_scheduler::quarantine::{Evidence, Fingerprint, WorkerEnd};
use swiftshunt_scheduler::slots::WorkerKey;

/// A message. Each is one datagram; any may be lost, doubled or late: all of it is recorded in the log, too.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum QuarantineMessage {
    /// A worker ended while it ran a request: to those who collect for that.
    Ended {
        /// The request.
        fingerprint: Fingerprint,
        /// The end.
        end: WorkerEnd,
    },
    /// A run of a request ended well: to those who collect for it.
    RanWell {
        /// The request.
        fingerprint: Fingerprint,
    },
    /// A request has ended so many workers that it is not to be sent any more: to all.
    Held {
        /// The request.
        fingerprint: Fingerprint,
        /// All ends that are known.
        ends: Vec<WorkerEnd>,
    },
    /// Asks a gateway near a worker whether it reaches it.
    Look {
        /// Names the question in the answer.
        ask: u64,
        /// Where the worker listens.
        address: SocketAddr,
    },
    /// The answer.
    Looked {
        /// The question.
        ask: u64,
        /// What was seen.
        sight: Sight,
    },
    /// It is not true that a worker has ended, as far as known: to all.
    Refuted {
        /// The worker.
        worker: WorkerKey,
        /// Up to what evidence.
        #[serde(default)]
        evidence: Evidence,
    },
}

/// What a connection to a worker showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Sight {
    /// Nobody listens at an address whose system answers, or something on the way says so.
    Refuses,
    /// It is taken.
    Takes,
    /// There was no answer.
    Nothing,
}
