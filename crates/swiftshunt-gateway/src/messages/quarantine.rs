//! Messages between gateways about requests that end their workers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use swiftshunt_scheduler::quarantine::{Evidence, Fingerprint, RunCounts, WorkerEnd};
use swiftshunt_scheduler::slots::WorkerKey;

/// Most ends of a part that one message tells. The rest is in the log.
pub(crate) const MAX_TOLD_ENDS: usize = 14;

/// A message about the quarantine of requests. Each is one datagram and may be lost, duplicated or late; the ends of
/// workers are also recorded in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum QuarantineMessage {
    /// Tells the collectors of a request, or of prompt parts, that a worker ended while it ran the request, or one with
    /// the part.
    Ended {
        /// The fingerprint of the request or part.
        fingerprint: Fingerprint,
        /// The end of the worker.
        end: WorkerEnd,
        /// The recent runs at the sender, if the end accuses a part.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        runs: Option<RunCounts>,
        /// Identifies the report in the answer; `None` if the sender does not wait for one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        report: Option<u64>,
    },
    /// Tells that the ends recorded for a request or part are void, since it ran well; or, with `runs`, tells the
    /// collectors of parts how often requests with a part did.
    RanWell {
        /// The fingerprint of the request or part.
        fingerprint: Fingerprint,
        /// The recent runs at the sender; `None` if the ends are void.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        runs: Option<RunCounts>,
    },
    /// Tells all gateways that a request, or each one with a part, has ended so many workers that it must not be sent any
    /// more.
    Held {
        /// The fingerprint of the request or part.
        fingerprint: Fingerprint,
        /// All known ends of workers that ran the request.
        ends: Vec<WorkerEnd>,
        /// Identifies the report in the answer; `None` if the sender does not wait for one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        report: Option<u64>,
    },
    /// The answer to [`Self::Ended`] and [`Self::Held`]: the receiver has recorded what they tell.
    Recorded {
        /// The identifier of the report.
        report: u64,
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// All ends that the sender knows if it holds the request, otherwise none.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        ends: Vec<WorkerEnd>,
    },
    /// Tells that a worker has ended: its collectors, which tell all gateways.
    WorkerEnded {
        /// The key of the worker's incarnation.
        worker: WorkerKey,
        /// Milliseconds since its end was noticed.
        ago_ms: u64,
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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::datagrams::MAX_DATAGRAM_BYTES;
    use crate::messages::Notice;

    /// Number of ends that a gateway remembers of one request.
    const MAX_ENDS: usize = 16;

    #[test]
    fn a_report_with_all_ends_of_a_request_fits_into_a_datagram() {
        assert_fits_into_a_datagram(MAX_ENDS, None);
    }

    #[test]
    fn a_report_with_the_ends_of_a_part_fits_into_a_datagram() {
        assert_fits_into_a_datagram(MAX_TOLD_ENDS, Some(u8::MAX));
    }

    fn assert_fits_into_a_datagram(ends: usize, part: Option<u8>) {
        let end = WorkerEnd {
            worker: WorkerKey(u64::MAX),
            sent_unix_ms: u64::MAX,
            ended_unix_ms: u64::MAX,
            evidence: Evidence::Proved,
            part,
        };
        let held = QuarantineMessage::Held {
            fingerprint: "ff".repeat(16).parse().expect("not a fingerprint"),
            ends: vec![end; ends],
            report: Some(u64::MAX),
        };
        let mut datagram = Vec::new();
        ciborium::into_writer(&Notice::Quarantine(held), &mut datagram).expect("cannot encode it");
        println!("{} bytes", datagram.len());
        assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
    }
}
