//! Slots of workers that online requests and batch items share, decided in one place.
//!
//! The workers of a service are divided into cells of a few workers each. Every cell has one owner
//! among the gateways ([`cell`]). Gateways report to it what they hold at the cell's workers, and ask
//! it for a worker when a request comes; it keeps the exact load in a [`allocator`], assigns the worker,
//! grants slots to batch items, and takes exactly one back for each request that would wait. What its
//! workers hold of shared beginnings of prompts it knows by what it assigned ([`prompts`]), and which of
//! them fail by what all gateways tell it ([`worker_health`]).
//!
//! All of it is a hint: an owner that is gone, late or doubled costs a worse choice and nothing else.

pub mod allocator;
pub mod cell;
mod gateway_state;
mod placement_options;
pub mod prompts;
pub mod remote_capacity;
pub mod worker_health;

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A worker's incarnation, hashed: short enough for a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkerKey(pub u64);

/// What one gateway holds at a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSlots {
    /// Requests that callers wait for.
    pub online: u32,
    /// Batch items.
    pub batch: u32,
}

/// Batch items of a gateway that wait for a slot of a cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingItems {
    /// How many.
    pub items: u32,
    /// Rank of the first of them.
    pub first: Rank,
}

/// Which of the items that wait goes first: the lowest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rank {
    /// Whether it will be late in any case: it goes behind those that can still be in time, since
    /// else each of them would wait until it is late, too.
    pub is_late: bool,
    /// Milliseconds until it is due; negative once that is over.
    pub due_in_ms: i64,
}

/// Times of a batch item, on the clock of its gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemTimes {
    /// When it is due.
    pub due_at: Duration,
    /// When it is given up.
    pub expires_at: Duration,
    /// How long it is expected to run yet.
    pub expected_run: Duration,
}

/// Part of the expected run that an item surely needs: lengths differ.
const SURE_SHARE: f64 = 0.6;

impl ItemTimes {
    /// The rank now. One that is late goes before all others again after half of the time until it
    /// is given up: it must not wait for ever behind new ones.
    pub fn rank(&self, now: Duration) -> Rank {
        let is_late = now + self.expected_run.mul_f64(SURE_SHARE) > self.due_at;
        let patient_until = self.due_at + self.expires_at.saturating_sub(self.due_at) / 2;
        Rank {
            is_late: is_late && now < patient_until,
            due_in_ms: self.due_at.as_millis() as i64 - now.as_millis() as i64,
        }
    }
}

/// All that a gateway holds in a cell. Each report replaces the one before, so that one that is lost
/// or doubled does no harm.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotReport {
    /// Drawn at each start of the gateway.
    pub life: u64,
    /// Rises with each report of that life.
    pub number: u64,
    /// The highest number of an assignment that is counted in it, or 0.
    pub seen: u64,
    /// What is held, without the workers at which nothing is.
    pub held: Vec<(WorkerKey, HeldSlots)>,
    /// Items that wait.
    pub waiting: WaitingItems,
}

/// A worker at which a gateway would have its request, and what speaks against it there beside the
/// requests that it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bid {
    /// The worker.
    pub worker: WorkerKey,
    /// Expected milliseconds until the first event if a slot were free and nothing had to be read.
    pub cost_ms: u32,
}

/// A worker of a cell as its owner knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellWorker {
    /// The worker.
    pub key: WorkerKey,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that it told to hold a moment ago, if it did.
    pub reported_load: Option<u32>,
    /// Whether batch items may go there: it answers.
    pub accepts_batch: bool,
}
