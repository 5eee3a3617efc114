//! Estimated cost of a request at each worker of a cell, by the load that the allocator knows.

use std::time::Duration;

use super::CellWorker;
use super::allocator::{Load, PlacementRequest, SlotAllocator};
use super::prompts::{EngineRates, PrefillEstimate};

/// Cost of a worker with all slots in use over one with none, in milliseconds; spreads requests
/// over otherwise equal workers.
const OCCUPANCY_COST: f64 = 8.0;
/// Cost of a slot that a batch item must leave first, in milliseconds: the time that the preemption
/// order takes, and the repeated prefill of the item's prompt elsewhere.
const PREEMPTION_COST: f64 = 30.0;
/// Prefill time of a prompt above which it disturbs streams that run beside it: an engine prefills
/// a piece of the prompt before each of their tokens, and their pauses grow with the rest.
const DISTURBING_PREFILL_TIME: Duration = Duration::from_millis(150);
/// Cost of a disturbed stream per time by which the prefill exceeds `DISTURBING_PREFILL_TIME`: a
/// stream that pauses for too long loses about as much as the prompt's own request would.
const DISTURBANCE_COST: f64 = 0.5;

/// A worker that a request may be assigned to, with its cost.
pub(super) struct PlacementOption<'w> {
    /// Whether the worker should be avoided because it fails, so that the request goes there only
    /// if there is no other.
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

    /// Returns whether a slot is free or can be freed by preempting a batch item.
    pub(super) fn has_room(&self) -> bool {
        !self.is_full() || self.load.batch > 0
    }

    /// Returns whether the request gets a slot at once, or may wait and gets one within its longest
    /// wait.
    pub(super) fn is_in_time(&self, request: &PlacementRequest<'_>, rates: &EngineRates) -> bool {
        if self.has_room() {
            return true;
        }
        let wait = wait_behind(self.load, self.worker.slots, rates.slot_ms);
        let max_wait_ms = request.max_wait.map(milliseconds);
        request.may_wait && max_wait_ms.is_none_or(|max_wait_ms| wait <= max_wait_ms)
    }
}

impl SlotAllocator {
    /// Returns the bids' workers that are in the cell, with the cost of each.
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

/// Returns the cheapest option among those that are no last resort, or among all if there is no
/// other.
pub(super) fn cheapest<'o, 'w>(
    options: impl Iterator<Item = &'o PlacementOption<'w>>,
) -> Option<&'o PlacementOption<'w>>
where
    'w: 'o,
{
    options.min_by(|one, other| {
        let by_last_resort = one.is_last_resort.cmp(&other.is_last_resort);
        by_last_resort.then(one.cost_ms.total_cmp(&other.cost_ms))
    })
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// Returns the expected cost, in milliseconds, of slowing the running streams by a prefill of this
/// length.
fn disturbance_cost(load: Load, prefill_time: Duration) -> f64 {
    let disturbing = milliseconds(prefill_time.saturating_sub(DISTURBING_PREFILL_TIME));
    f64::from(load.online) * disturbing * DISTURBANCE_COST
}

/// Returns the cost, in milliseconds, of the slots in use, of preempting a batch item, and of
/// waiting for a slot.
fn queue_cost(load: Load, slots: u32, slot_ms: f64) -> f64 {
    let slots = slots.max(1);
    let occupancy = f64::from(load.taken().min(slots)) / f64::from(slots) * OCCUPANCY_COST;
    if load.taken() < slots {
        return occupancy;
    }
    if load.batch > 0 {
        return occupancy + PREEMPTION_COST;
    }
    occupancy + PREEMPTION_COST + wait_behind(load, slots, slot_ms)
}

/// Returns the expected milliseconds until a slot is free at a full worker, behind the requests
/// that run and wait there.
fn wait_behind(load: Load, slots: u32, slot_ms: f64) -> f64 {
    let slots = slots.max(1);
    let ahead = f64::from((load.taken() + 1).saturating_sub(slots));
    ahead * slot_ms / f64::from(slots)
}
