//! Worker slots shared by online requests and batch items, allocated by one gateway per cell.
//!
//! The workers of a service are divided into cells of a few workers each. Every cell has one owner
//! among the gateways ([`cell`]). Gateways report to the owner the slots that they hold at the
//! cell's workers, and ask the owner for a worker when a request arrives. The owner tracks the
//! exact load in an [`allocator`]: it assigns workers, grants slots to batch items, and preempts
//! exactly one batch item for each request that would otherwise wait. It estimates which prompt
//! prefixes its workers cache from its own assignments ([`prompts`]), and detects failing workers
//! from the failures that all gateways report ([`worker_health`]).
//!
//! Every decision is a hint: if an owner is gone or late, or a cell has two owners, requests get a
//! worse placement but are still served.

pub mod allocator;
pub mod cell;
mod gateway_state;
mod placement_options;
pub mod prompts;
pub mod remote_capacity;
pub mod worker_health;

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Hash of a worker's incarnation, short enough for a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkerKey(pub u64);

/// Slots that one gateway holds at a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSlots {
    /// Slots held by online requests.
    pub online: u32,
    /// Slots held by batch items.
    pub batch: u32,
}

/// Batch items of a gateway that wait for a slot of a cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingItems {
    /// Number of waiting items.
    pub items: u32,
    /// Rank of the most urgent waiting item.
    pub first: Rank,
}

/// Urgency of a waiting item: the item with the lowest rank gets a slot first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rank {
    /// Whether the item will miss its due time in any case, and is not yet so late that it ranks
    /// first ([`ItemTimes::rank`]). Late items rank behind items that can still be in time;
    /// otherwise each of those would wait until it is late, too.
    pub is_late: bool,
    /// Milliseconds until the item is due; negative after the due time.
    pub due_in_ms: i64,
}

/// Times of a batch item, on the clock of its gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemTimes {
    /// When the item is due.
    pub due_at: Duration,
    /// When the gateway gives up the item.
    pub expires_at: Duration,
    /// How much longer the item is expected to run.
    pub expected_run: Duration,
}

/// Part of the expected run that an item is sure to need, since run lengths vary.
const MIN_RUN_SHARE: f64 = 0.6;

impl ItemTimes {
    /// Returns the rank at `now`. Once half of the time between `due_at` and `expires_at` has
    /// passed, a late item no longer counts as late and ranks before all others: it must not wait
    /// forever behind new items.
    pub fn rank(&self, now: Duration) -> Rank {
        let is_late = now + self.expected_run.mul_f64(MIN_RUN_SHARE) > self.due_at;
        let late_until = self.due_at + self.expires_at.saturating_sub(self.due_at) / 2;
        Rank {
            is_late: is_late && now < late_until,
            due_in_ms: self.due_at.as_millis() as i64 - now.as_millis() as i64,
        }
    }
}

/// All that a gateway holds in a cell. Each report replaces the previous one, so a lost or
/// duplicated report does no harm.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotReport {
    /// Identifier of the gateway's process, drawn at random at each start.
    pub life: u64,
    /// Number of the report, which rises with each report of the same `life`.
    pub number: u64,
    /// The highest assignment number that the report takes into account, or 0.
    pub seen: u64,
    /// Held slots by worker, without the workers at which the gateway holds none.
    pub held: Vec<(WorkerKey, HeldSlots)>,
    /// Batch items that wait for a slot.
    pub waiting: WaitingItems,
}

/// A worker that a request may go to, and the cost of sending it there apart from the cell's own
/// load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bid {
    /// The worker.
    pub worker: WorkerKey,
    /// Expected milliseconds until the first event if a slot were free and no prompt tokens had to
    /// be prefilled.
    pub cost_ms: u32,
}

/// A worker of a cell as the cell's owner knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellWorker {
    /// Key of the worker.
    pub key: WorkerKey,
    /// Number of requests that the worker runs at once.
    pub slots: u32,
    /// Number of requests that the worker itself reported most recently; `None` if there is no
    /// recent report.
    pub reported_load: Option<u32>,
    /// Whether batch items may be sent to the worker, which requires that it answers.
    pub accepts_batch: bool,
}
