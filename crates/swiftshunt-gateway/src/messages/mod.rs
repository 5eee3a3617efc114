//! Messages that gateways send each other by datagram. This module depends on none of the modules that send and handle
//! the messages; the code that starts a gateway connects them.
//!
//! A gateway ignores kinds of messages and fields that it does not know. Therefore a new field needs a default, and a
//! new meaning needs a new kind of message.

pub(crate) mod origins;
pub(crate) mod quarantine;
pub(crate) mod rates;
pub(crate) mod reach;
pub(crate) mod slots;
pub(crate) mod starts;
pub(crate) mod waiting;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use swiftshunt_scheduler::prefix_cache::PromptPart;

use origins::OriginMessage;
use quarantine::QuarantineMessage;
use rates::RateMessage;
use reach::ReachMessage;
use slots::SlotMessage;
use starts::StartMessage;
use waiting::WaitingMessage;

/// A datagram between gateways: the envelope of the messages of each module.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Notice {
    /// Tells other gateways that a request with a long prompt was sent to a worker.
    Reading {
        /// The incarnation of the worker.
        worker: String,
        /// Number of prompt tokens that the worker is expected to process.
        missing: u64,
        /// The first parts of the prompt.
        parts: Vec<PromptPart>,
    },
    /// Announces that the sender has started and reaches the log, to gateways that may not know it yet.
    Here {
        /// The address under which the sender is listed.
        from: SocketAddr,
        /// The sender's zone; `None` if the sender does not send it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        zone: Option<String>,
    },
    /// A message about slots that online requests and batch items share.
    Slots(SlotMessage),
    /// A message about limits of the tokens that wait on batch routes.
    Waiting(WaitingMessage),
    /// A message about rate limits of tenants.
    Rate(RateMessage),
    /// A message about the quarantine of requests that end their workers.
    Quarantine(QuarantineMessage),
    /// A message about start permits for cold workers.
    Start(StartMessage),
    /// A message about the origins of streams.
    Origin(OriginMessage),
    /// A message about how gateways reach the workers of a service.
    Reach(ReachMessage),
}
