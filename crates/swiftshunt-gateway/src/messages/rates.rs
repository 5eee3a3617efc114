//! Messages between gateways and the counters of tenants.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use swiftshunt_scheduler::rates::bucket::{CreditRequest, CreditResponse};
use swiftshunt_types::{RateLimit, TenantName};

/// A message. Each is one datagram; any may be lost or late.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum RateMessage {
    /// Asks a counter for credits.
    Ask {
        /// Names the question in the answer.
        ask: u64,
        /// The tenant.
        tenant: TenantName,
        /// What is asked.
        question: CreditRequest,
        /// The limit as the sender knows it.
        limit: VersionedLimit,
    },
    /// The counter's answer.
    Answer {
        /// The question.
        ask: u64,
        /// The answer.
        answer: CounterAnswer,
    },
    /// Asks for a sign of life.
    Ping,
    /// The sign of life.
    Pong,
}

/// What a gateway that is taken for a counter answers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum CounterAnswer {
    /// It counts.
    Counted(CreditResponse),
    /// Another gateway counts, and has given a sign of life.
    CountedBy(SocketAddr),
    /// It is being found out whether the gateway that should count is gone.
    NotYet,
}

/// The limit of a tenant by a version of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct VersionedLimit {
    /// Requests a second.
    per_second: f64,
    /// Requests on top of that.
    burst: f64,
    /// The version.
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
