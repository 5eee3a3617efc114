//! What the workers of a cell would cost a request, by the book.

use std::time::Duration;

use super::CellWorker;
use super::allocator::{Load, PlacementRequest, SlotAllocator};
use super::prompts::{EngineRates, PrefillEstimate};

/// Cost of full slots against empty ones, in milliseconds: spreads requests over equal workers.
const OCCUPANCY_COST: f64 = 8.0;
/// Cost of a slot that a batch item must leave first, in milliseconds: the order's way, and that its
/// prompt is read again elsewhere.
const PREEMPTION_COST: f64 = 30.0;
/// Reading time of a prompt from which streams that run beside it are disturbed: an engine reads a piece
/// of it before each of their tokens, and their pauses grow with what is left.
const DISTURBING: Duration = Duration::from_millis(150);
/// Cost of a disturbed stream, against the time by which the reading exceeds that: a stream that pauses
/// for too long loses about as much as the prompt's own request would.
const DISTURBANCE_COST: f64 = 0.5;

/// A worker that a request may be assigned to.
pub(super) struct PlacementOption<'w> {
    /// Whether the worker fails, and the request goes there only for want of another.
    pub(super) is_last_resort: bool,
    cost_ms: f64,
    pub(super) worker: &'w CellWorker,
    pub(super) load: Load,
    pub(super) prefill: PrefillEstimate,
}

impl PlacementOption<'_> {
    pub(super) fn is_full(&self) -> bool {
        self.load.taken() >= self.worker.slots
    }

    /// Whether a slot is free, or a batch item may leave one.
    pub(super) fn has_room(&self) -> bool {
        !self.is_full() || self.load.batch > 0
    }

    /// Whether a request gets a slot here as soon as it wants one.
    pub(super) fn is_in_time(&self, request: &PlacementRequest<'_>, rates: &EngineRates) -> bool {
        if self.has_room() {
            return true;
        }
        let wait = wait_behind(self.load, self.worker.slots, rates.slot_ms);
        let in_time = request.max_wait.map(milliseconds);
        request.may_wait && in_time.is_none_or(|in_time| wait <= in_time)
    }
}

impl SlotAllocator {
    /// The workers among the bids, with what each would cost.
    pub(super) fn placement_options<'w>(
        &self,
        request: &PlacementRequest<'_>,
        workers: &'w [CellWorker],
        rates: &EngineRates,
        now: Duration,
    ) -> Vec<PlacementOption<'w>> {
        let options = request.bids.iter().filter_map(|bid| {
            let worker = workers.iter().find(|worker| worker.key == bid.worker)?;
            let load = self.effective_load(worker);
            let prefill = self
                .prompts
                .estimate_prefill(worker.key, request.prompt, rates, now);
            let queue = queue_cost(load, worker.slots, rates.slot_ms);
            let own_prefill = rates.prefill_time(prefill.missing_tokens);
            let disturbance = disturbance_cost(load, own_prefill);
            let health = self.failure_tracker.health(worker.key, now);
            Some(PlacementOption {
                is_last_resort: health.should_avoid(request.may_repeat),
                cost_ms: f64::from(bid.cost_ms) + queue + disturbance + milliseconds(prefill.time),
                worker,
                load,
                prefill,
            })
        });
        options.collect()
    }
}

/// The best of some openings: the cheapest of those that are no last resort, or of all.
pub(super) fn cheapest<'o, 'w>(
    options: impl Iterator<Item = &'o PlacementOption<'w>>,
) -> Option<&'o PlacementOption<'w>>
where
    'w: 'o,
{
    options.min_by(|one, other| {
        let by_need = one.is_last_resort.cmp(&other.is_last_resort);
        by_need.then(one.cost_ms.total_cmp(&other.cost_ms))
    })
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// What streams lose by a prompt that takes `reading` to read beside them, in milliseconds.
fn disturbance_cost(load: Load, prefill_time: Duration) -> f64 {
    let disturbing = milliseconds(prefill_time.saturating_sub(DISTURBING));
    f64::from(load.online) * disturbing * DISTURBANCE_COST
}

/// Expected milliseconds until a slot is there, for a request that comes now.
fn queue_cost(load: Load, slots: u32, service_ms: f64) -> f64 {
    let slots = slots.max(1);
    let occupancy = f64::from(load.taken().min(slots)) / f64::from(slots) * OCCUPANCY_COST;
    if load.taken() < slots {
        return occupancy;
    }
    if load.batch > 0 {
        return occupancy + PREEMPTION_COST;
    }
    occupancy + PREEMPTION_COST + wait_behind(load, slots, service_ms)
}

/// Expected milliseconds until a slot is free, behind those that run and wait at a full worker.
fn wait_behind(load: Load, slots: u32, service_ms: f64) -> f64 {
    let slots = slots.max(1);
    let ahead = f64::from((load.taken() + 1).saturating_sub(slots));
    ahead * service_ms / f64::from(slots)
}
