//! Messages between gateways and the counters of tenants' rate limits.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use swiftshunt_scheduler::rates::bucket::{CreditRequest, CreditResponse};
use swiftshunt_types::{RateLimit, TenantName};

/// A message about a rate limit. Each is one datagram and may be lost or late.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum RateMessage {
    /// Asks a counter for credits.
    Ask {
        /// Identifies the request in the answer.
        ask: u64,
        /// The tenant whose credits are requested.
        tenant: TenantName,
        /// The credit request.
        question: CreditRequest,
        /// The limit as the sender knows it.
        limit: VersionedLimit,
    },
    /// The counter's answer.
    Answer {
        /// The identifier of the request.
        ask: u64,
        /// The counter's decision.
        answer: CounterAnswer,
    },
    /// Asks the receiver to answer with [`Self::Pong`].
    Ping,
    /// The answer to [`Self::Ping`].
    Pong,
}

/// The answer of a gateway that was asked as a tenant's counter.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum CounterAnswer {
    /// The gateway is the counter.
    Counted(CreditResponse),
    /// Another gateway is the counter, and is known to be alive.
    CountedBy(SocketAddr),
    /// The gateway does not know yet whether it is the counter. It is still finding out whether an earlier gateway in
    /// the tenant's order is gone, or which gateways are silent.
    NotYet,
}

/// The limit of a tenant as a version of the configuration sets it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct VersionedLimit {
    /// Sustained rate in requests per second.
    per_second: f64,
    /// Requests that may come in a burst beyond that rate.
    burst: f64,
    /// The version of the configuration.
    pub(crate) version: u64,
}

impl VersionedLimit {
    pub(crate) fn new(limit: RateLimit, version: u64) -> Self {
        Self {
            per_second: limit.per_second,
            burst: limit.burst,
            version,
        }
    }

    pub(crate) fn limit(&self) -> RateLimit {
        RateLimit {
            per_second: self.per_second,
            burst: self.burst,
        }
    }
}
