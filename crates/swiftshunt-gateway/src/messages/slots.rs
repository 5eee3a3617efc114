//! Messages between gateways and the owners of cells.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use swiftshunt_scheduler::prefix_cache::PromptPart;
use swiftshunt_scheduler::slots::allocator::{PlacementError, PlacementRequest};
use swiftshunt_scheduler::slots::cell::Cell;
use swiftshunt_scheduler::slots::prompts::{PrefillEstimate, Prompt};
use swiftshunt_scheduler::slots::{Bid, SlotReport, WorkerKey};

/// A message. Each is one datagram; any may be lost, doubled or late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum SlotMessage {
    /// What the sender holds in a cell.
    Report {
        /// The cell.
        cell: Cell,
        /// What is held.
        report: SlotReport,
        /// Whether the sender wants a sign of life.
        answer: bool,
    },
    /// The owner's sign of life.
    Noted,
    /// Asks the owner for a worker.
    Ask {
        /// Names the question in the answer.
        ask: u64,
        /// The cell.
        cell: Cell,
        /// What is held.
        report: SlotReport,
        /// What the request wants.
        request: SlotRequest,
    },
    /// The owner's answer.
    Assigned {
        /// The question.
        ask: u64,
        /// The worker, or why there is none.
        verdict: SlotVerdict,
        /// A cell of another region that has room, where this one has none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        elsewhere: Option<Cell>,
    },
    /// Tells the owner of a cell of another region how many slots are free.
    Room {
        /// The cell that has them.
        cell: Cell,
        /// How many.
        free: u32,
    },
    /// A slot for a batch item.
    Grant {
        /// The cell.
        cell: Cell,
        /// The worker.
        worker: WorkerKey,
        /// The assignment's number.
        number: u64,
    },
    /// A batch item must leave a worker.
    StepAside {
        /// The worker.
        worker: WorkerKey,
    },
    /// Tells the owner that a send to a worker failed.
    SendFailed {
        /// The cell.
        cell: Cell,
        /// The worker.
        worker: WorkerKey,
    },
}

/// A request that wants a worker of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SlotRequest {
    /// Where it may go.
    pub(crate) bids: Vec<Bid>,
    /// The beginning of its prompt.
    pub(crate) parts: Vec<PromptPart>,
    /// Tokens of its prompt.
    pub(crate) tokens: u64,
    /// Whether it may be assigned a worker at which it has to wait.
    pub(crate) may_wait: bool,
    /// Time within which it must get a slot to be in time; none if it takes any that comes.
    pub(crate) in_time: Option<Duration>,
    /// Whether it may go to another worker if this one fails while it runs.
    pub(crate) may_repeat: bool,
}

impl SlotRequest {
    pub(crate) fn placement_request(&self) -> PlacementRequest<'_> {
        PlacementRequest {
            bids: &self.bids,
            prompt: Prompt {
                parts: &self.parts,
                tokens: self.tokens,
            },
            may_wait: self.may_wait,
            max_wait: self.in_time,
            may_repeat: self.may_repeat,
        }
    }
}

/// What an owner decides about a request.
pub(crate) type SlotVerdict = Result<Assigned, PlacementError>;

/// A worker that an owner assigned to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Assigned {
    /// The worker.
    pub(crate) worker: WorkerKey,
    /// The assignment's number.
    pub(crate) number: u64,
    /// Whether the request has to wait for a slot.
    pub(crate) waits: bool,
    /// Whether a batch item leaves its slot for it.
    pub(crate) frees: bool,
    /// What the worker has to read for it.
    pub(crate) reading: PrefillEstimate,
}
