//! Messages between gateways about requests that end their workers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use swiftshunt_scheduler::quarantine::{Evidence, Fingerprint, WorkerEnd};
use swiftshunt_scheduler::slots::WorkerKey;

/// A message about the quarantine of requests. Each is one datagram and may be lost, duplicated or late; the ends of
/// workers are also recorded in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum QuarantineMessage {
    /// Tells the collectors of a request that a worker ended while it ran the request.
    Ended {
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// The end of the worker.
        end: WorkerEnd,
    },
    /// Tells the collectors of a request that one of its runs succeeded.
    RanWell {
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
    },
    /// Tells all gateways that a request has ended so many workers that it must not be sent any more.
    Held {
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// All known ends of workers that ran the request.
        ends: Vec<WorkerEnd>,
    },
    /// Asks a gateway near a worker to probe the worker.
    Look {
        /// Identifies the probe in the answer.
        ask: u64,
        /// The address at which the worker listens.
        address: SocketAddr,
    },
    /// The answer to [`Self::Look`].
    Looked {
        /// The identifier of the probe.
        ask: u64,
        /// The result of the probe.
        sight: Sight,
    },
    /// Tells all gateways that a worker is no longer considered to have ended.
    Refuted {
        /// The key of the worker's incarnation.
        worker: WorkerKey,
        /// The strongest evidence that is refuted; ends with stronger evidence remain.
        #[serde(default)]
        evidence: Evidence,
    },
}

/// The result of trying a connection to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Sight {
    /// The connection was refused, by the worker's system or by a device on the network path.
    Refuses,
    /// The connection was accepted.
    Takes,
    /// There was no answer, or the connection failed in another way.
    Nothing,
}
