//! What gateways tell each other by datagram. The modules that send and take messages stand above this one;
//! whoever starts a gateway joins them.
//!
//! A kind of message that a gateway does not know is passed over, and so are fields that it does not know: a new
//! field has a default, and a new meaning is a new kind.

pub(crate) mod quarantine;
pub(crate) mod rates;
pub(crate) mod slots;
pub(crate) mod starts;
pub(crate) mod waiting;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use swiftshunt_scheduler::prefix_cache::PromptPart;

use quarantine::QuarantineMessage;
use rates::RateMessage;
use slots::SlotMessage;
use starts::StartMessage;
use waiting::WaitingMessage;

/// What one gateway tells another: the envelope of each part's own messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Notice {
    /// A long prompt is on its way to a worker.
    Reading {
        /// The worker's incarnation.
        worker: String,
        /// Tokens that it is expected to read.
        missing: u64,
        /// The beginning of the prompt.
        parts: Vec<PromptPart>,
    },
    /// The sender has started and reaches the log: others may not have heard of it.
    Here {
        /// Where it is listed.
        from: SocketAddr,
        /// Its zone; none from a gateway that does not tell.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        zone: Option<String>,
    },
    /// About slots that requests and batch items share.
    Slots(SlotMessage),
    /// About limits of what waits on batch routes.
    Waiting(WaitingMessage),
    /// About limits of tenants' requests.
    Rate(RateMessage),
    /// About requests that end their workers.
    Quarantine(QuarantineMessage),
    /// About starts at cold workers.
    Start(StartMessage),
}
