//! Messages between gateways and the owners of cells.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use swiftshunt_scheduler::prefix_cache::PromptPart;
use swiftshunt_scheduler::slots::allocator::{Grant, PlacementError, PlacementRequest};
use swiftshunt_scheduler::slots::cell::Cell;
use swiftshunt_scheduler::slots::prompts::{PrefillEstimate, Prompt};
use swiftshunt_scheduler::slots::{Bid, SlotReport, WorkerKey};

/// A message about slots. Each is one datagram and may be lost, duplicated or late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum SlotMessage {
    /// Reports to the owner of a cell what the sender holds there.
    Report {
        /// The cell that the report is about.
        cell: Cell,
        /// The slots that the sender holds, and its waiting items.
        report: SlotReport,
        /// Whether the owner must answer with [`Self::Noted`].
        answer: bool,
    },
    /// The owner's answer to a report that requires one.
    Noted,
    /// Asks the owner of a cell for a worker.
    Ask {
        /// Identifies the question in the answer.
        ask: u64,
        /// The cell from which a worker is requested, and which the report is about.
        cell: Cell,
        /// The slots that the sender holds, and its waiting items.
        report: SlotReport,
        /// The request that needs a worker.
        request: SlotRequest,
    },
    /// The answer to [`Self::Ask`].
    Assigned {
        /// The identifier of the question.
        ask: u64,
        /// The assigned worker, or the reason why there is none.
        verdict: SlotVerdict,
        /// A cell of another region with free slots, if the asked cell is full.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        elsewhere: Option<Cell>,
    },
    /// Tells the owner of a cell of another region how many slots are free.
    Room {
        /// The cell with the free slots.
        cell: Cell,
        /// Number of free slots in the cell.
        free: u32,
    },
    /// Grants a slot to a batch item of the receiver.
    Grant {
        /// The cell of the worker.
        cell: Cell,
        /// The key of the worker's incarnation.
        worker: WorkerKey,
        /// The number of the assignment, which reports of the receiver refer to.
        number: u64,
    },
    /// Orders the receiver to preempt one of its batch items at a worker.
    StepAside {
        /// The key of the worker's incarnation.
        worker: WorkerKey,
    },
    /// Tells the owner of a cell that a send to one of its workers failed.
    SendFailed {
        /// The cell of the worker.
        cell: Cell,
        /// The key of the worker's incarnation.
        worker: WorkerKey,
    },
    /// Tells the owner of a cell that one of its workers is cold and its issuers refused a start permit.
    StartRefused {
        /// The key of the worker's incarnation.
        worker: WorkerKey,
        /// Time until a permit may be available, in milliseconds.
        retry_after_ms: u64,
    },
}

/// A request that needs a worker of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SlotRequest {
    /// The workers at which the request may run, with their costs.
    pub(crate) bids: Vec<Bid>,
    /// The first parts of the prompt.
    pub(crate) parts: Vec<PromptPart>,
    /// Number of tokens in the whole prompt.
    pub(crate) tokens: u64,
    /// Whether the request may be assigned a worker at which it has to wait for a slot.
    pub(crate) may_wait: bool,
    /// Time within which the request must get a slot: for online requests the time left to the route's objective, zero
    /// for late ones. `None` allows any slot, however late.
    #[serde(rename = "in_time")]
    pub(crate) max_wait: Option<Duration>,
    /// Whether the request may be sent to another worker if the first one fails while running it.
    pub(crate) may_repeat: bool,
    /// Whether the request is a batch item that continues its output: it gets only a slot that batch items may have.
    #[serde(default, skip_serializing_if = "is_false")]
    pub(crate) for_item: bool,
}

fn is_false(value: &bool) -> bool {
    !value
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
            max_wait: self.max_wait,
            may_repeat: self.may_repeat,
        }
    }
}

/// A slot owner's decision about a request.
pub(crate) type SlotVerdict = Result<Assigned, PlacementError>;

/// A worker that an owner assigned to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Assigned {
    /// The key of the worker's incarnation.
    pub(crate) worker: WorkerKey,
    /// The number of the assignment, which reports of the receiver refer to.
    pub(crate) number: u64,
    /// Whether the request has to wait for a slot.
    pub(crate) waits: bool,
    /// Whether a batch item is preempted for the request.
    pub(crate) frees: bool,
    /// The part of the prompt that the worker has to process, and the time that it takes.
    pub(crate) reading: PrefillEstimate,
}

impl From<Grant> for Assigned {
    fn from(grant: Grant) -> Self {
        Self {
            worker: grant.worker,
            number: grant.number,
            waits: false,
            frees: false,
            reading: PrefillEstimate::default(),
        }
    }
}
