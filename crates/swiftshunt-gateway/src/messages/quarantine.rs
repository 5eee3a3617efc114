//! What gateways tell each other of requests that end their workers.

use serde::{Deserialize, Serialize};
use swiftshunt_scheduler::quarantine::{Fingerprint, WorkerEnd};

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
}
