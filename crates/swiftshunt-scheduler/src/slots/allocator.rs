//! Slot allocator of a cell: tracks what every gateway holds there, assigns workers and grants
//! slots. It does no I/O; callers pass the time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::gateway_state::{Assignment, Class, GatewayState};
use super::placement_options::{PlacementOption, cheapest};
use super::prompts::{EngineRates, PrefillEstimate, Prompt, PromptCaches};
use super::worker_health::{FailureTracker, WorkerHealth};
use super::{Bid, CellWorker, SlotReport, WorkerKey};

/// Age from which a report no longer counts, since its gateway is gone or uses another owner.
/// Gateways that hold a slot report at least three times in this period.
const REPORT_TTL: Duration = Duration::from_millis(1_500);
/// Time after which an assignment that no report shows counts as lost: a few round trips plus the
/// pause before a report.
const ASSIGNMENT_TTL: Duration = Duration::from_millis(250);
/// Time after which a preemption order counts as lost if the item is still held.
const PREEMPTION_TTL: Duration = Duration::from_millis(150);
/// Time after a request found no slot in time during which batch items get no free slots: the
/// request's gateway retries within it, and a granted item would have to be preempted at once.
const ONLINE_RESERVATION_TIME: Duration = Duration::from_millis(150);
/// Requests by which a worker's own count may exceed the allocator's without any other sender:
/// requests that ended a moment ago.
const REPORTED_LOAD_SLACK: u32 = 2;

/// Slots that all gateways together hold at a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Slots held by online requests.
    pub online: u32,
    /// Slots held by batch items, without items that are being preempted.
    pub batch: u32,
}

impl Load {
    /// Returns the number of slots that are in use.
    pub fn taken(self) -> u32 {
        self.online + self.batch
    }
}

/// The worker assigned to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Number of the assignment.
    pub number: u64,
    /// The assigned worker.
    pub worker: WorkerKey,
    /// The gateway that must remove one of its batch items from the worker, if one is preempted.
    pub preempted_gateway: Option<SocketAddr>,
    /// Whether the request has to wait for a slot.
    pub waits: bool,
    /// Prompt tokens that the worker has to prefill for the request, and the expected time.
    pub prefill: PrefillEstimate,
}

/// A request's query to the owner of a cell.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'q> {
    /// Workers that the request may go to, with the cost of each.
    pub bids: &'q [Bid],
    /// Prompt of the request.
    pub prompt: Prompt<'q>,
    /// Whether the request may be assigned a worker at which it has to wait for a slot.
    pub may_wait: bool,
    /// Longest wait for a slot with which the request is still in time; `None` if any wait will do.
    pub max_wait: Option<Duration>,
    /// Whether the request may be sent to another worker if this one fails while it runs.
    pub may_repeat: bool,
}

/// Reason why a request gets no worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementError {
    /// No bid names a worker of the cell.
    NoWorker,
    /// The request would have to wait for a slot, and may not wait or would wait too long.
    Full,
}

/// A slot granted to a batch item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Number of the assignment.
    pub number: u64,
    /// The gateway whose item gets the slot.
    pub to: SocketAddr,
    /// The worker that the slot belongs to.
    pub worker: WorkerKey,
}

/// Slots of a cell by use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotUsage {
    /// Number of online requests that hold a slot or wait for one.
    pub online: u32,
    /// Number of slots held by batch items.
    pub batch: u32,
    /// Number of free slots.
    pub free: u32,
}

/// Slots of a cell that batch items may get.
#[derive(Debug, Default)]
struct BatchCapacity {
    /// Free slots by worker.
    free: Vec<(WorkerKey, u32)>,
    /// Number of slots that may be granted.
    grantable: u32,
}

/// Slot allocator of a cell.
#[derive(Debug, Default)]
pub struct SlotAllocator {
    gateways: HashMap<SocketAddr, GatewayState>,
    pub(super) prompts: PromptCaches,
    pub(super) failure_tracker: FailureTracker,
    last_number: u64,
    first_report_at: Option<Duration>,
    last_report_at: Duration,
    /// When a request last found no slot in time.
    rejected_at: Option<Duration>,
}

impl SlotAllocator {
    /// Replaces the gateway's previous report, unless that one is of the same life and at least as
    /// new.
    pub fn apply_report(&mut self, from: SocketAddr, report: SlotReport, now: Duration) {
        self.first_report_at.get_or_insert(now);
        self.last_report_at = now;
        let state = self.gateways.entry(from).or_default();
        if report.life != state.life || report.number > state.report_number {
            state.apply_report(report, now);
        }
    }

    /// Removes reports, assignments, preemption orders and failures that are too old to count.
    pub fn expire(&mut self, now: Duration) {
        self.gateways
            .retain(|_, state| now < state.last_report_at + REPORT_TTL);
        self.failure_tracker.expire(now);
        for state in self.gateways.values_mut() {
            state.unconfirmed.retain(|it| now < it.at + ASSIGNMENT_TTL);
            state
                .preempting
                .retain(|(_, at)| now < *at + PREEMPTION_TTL);
        }
    }

    /// Records that a gateway's send to a worker failed. Returns whether requests avoid the worker
    /// from now on.
    pub fn record_failure(&mut self, worker: WorkerKey, now: Duration) -> bool {
        self.failure_tracker.record_failure(worker, now)
    }

    fn is_failing(&self, worker: WorkerKey, now: Duration) -> bool {
        self.failure_tracker.health(worker, now) == WorkerHealth::Failing
    }

    /// Returns whether a gateway other than `own` has reported recently.
    pub fn has_reports_from_others(&self, own: SocketAddr) -> bool {
        self.gateways.keys().any(|gateway| *gateway != own)
    }

    /// Returns whether no gateway has reported within the lifetime of a report.
    pub fn has_no_recent_reports(&self, now: Duration) -> bool {
        now >= self.last_report_at + REPORT_TTL
    }

    /// Returns whether every gateway has had time to report since the first report arrived.
    pub fn is_warmed_up(&self, now: Duration) -> bool {
        self.first_report_at
            .is_some_and(|first_report_at| now >= first_report_at + REPORT_TTL / 3)
    }

    /// Returns the slots in use at a worker, by the gateways' reports and the assignments since.
    pub fn load(&self, worker: WorkerKey) -> Load {
        let mut load = Load::default();
        for state in self.gateways.values() {
            let held = state.held_at(worker);
            load.online += held.online;
            load.batch += held.batch.saturating_sub(state.preempting_items(worker));
        }
        load
    }

    /// Returns the load at a worker, raised to the count that the worker itself reported if that is
    /// clearly higher: the difference is requests of gateways that do not report here.
    pub(super) fn effective_load(&self, worker: &CellWorker) -> Load {
        let mut load = self.load(worker.key);
        let reported = worker.reported_load.unwrap_or(0);
        if reported > load.taken() + REPORTED_LOAD_SLACK {
            load.online += reported - load.taken();
        }
        load
    }

    /// Assigns to a request of `from` the worker with the lowest cost among its bids, given the
    /// exact load and the estimated prompt cache of each worker. If the request may not wait at
    /// that worker, or would be late there, it gets the cheapest worker that is no last resort and
    /// at which it is in time; without such a worker it is refused as [`PlacementError::Full`]. A
    /// late request is refused because workers take requests in order of arrival: it would make all
    /// requests behind it late, too, until the peak is over.
    pub fn place(
        &mut self,
        from: SocketAddr,
        request: &PlacementRequest<'_>,
        workers: &[CellWorker],
        rates: &EngineRates,
        now: Duration,
    ) -> Result<Placement, PlacementError> {
        self.expire(now);
        let options = self.placement_options(request, workers, rates, now);
        let best = cheapest(options.iter()).ok_or(PlacementError::NoWorker)?;
        let in_time = |option: &PlacementOption| option.is_in_time(request, rates);
        let option = if in_time(best) {
            best
        } else {
            let others = options.iter().filter(|option| !option.is_last_resort);
            let Some(option) = cheapest(others.filter(|option| in_time(option))) else {
                if request.may_wait {
                    self.rejected_at = Some(now);
                }
                return Err(PlacementError::Full);
            };
            option
        };
        let (worker, is_full, prefill) = (option.worker.key, option.is_full(), option.prefill);
        let preempted_gateway = if is_full {
            self.preempt_item(worker, from, now)
        } else {
            None
        };
        if is_full && preempted_gateway.is_none() && !request.may_wait {
            return Err(PlacementError::Full);
        }
        self.prompts
            .record_assignment(worker, request.prompt, rates, now);
        let number = self.assign(from, worker, Class::Online, now);
        Ok(Placement {
            number,
            worker,
            preempted_gateway,
            waits: is_full && preempted_gateway.is_none(),
            prefill,
        })
    }

    /// Preempts a batch item at a worker. Returns the gateway that holds the item: `from` itself if
    /// it has one there.
    fn preempt_item(
        &mut self,
        worker: WorkerKey,
        from: SocketAddr,
        now: Duration,
    ) -> Option<SocketAddr> {
        let has_own = self
            .gateways
            .get(&from)
            .is_some_and(|own| own.preemptible_items(worker) > 0);
        let gateway = if has_own {
            from
        } else {
            self.gateway_to_preempt(worker)?
        };
        self.record_preemption(gateway, worker, now);
        Some(gateway)
    }

    /// Returns the gateway with the most items at a worker that may still be preempted.
    fn gateway_to_preempt(&self, worker: WorkerKey) -> Option<SocketAddr> {
        let preemptible_items = self
            .gateways
            .iter()
            .map(|(gateway, it)| (it.preemptible_items(worker), *gateway));
        let (items, gateway) = preemptible_items.max()?;
        (items > 0).then_some(gateway)
    }

    /// Marks one of a gateway's items at a worker as being preempted.
    fn record_preemption(&mut self, gateway: SocketAddr, worker: WorkerKey, now: Duration) {
        if let Some(state) = self.gateways.get_mut(&gateway) {
            state.preempting.push((worker, now));
        }
    }

    /// Preempts items at workers whose load exceeds their slots, until the rest fits. This corrects
    /// assignments made with incomplete information, and preemption orders that were lost. Returns
    /// the gateway and the worker of each order.
    pub fn preempt_surplus(
        &mut self,
        workers: &[CellWorker],
        now: Duration,
    ) -> Vec<(SocketAddr, WorkerKey)> {
        self.expire(now);
        let mut orders = Vec::new();
        for worker in workers {
            let surplus = self.load(worker.key).taken().saturating_sub(worker.slots);
            for _ in 0..surplus {
                let Some(gateway) = self.gateway_to_preempt(worker.key) else {
                    break;
                };
                self.record_preemption(gateway, worker.key, now);
                orders.push((gateway, worker.key));
            }
        }
        orders
    }

    fn assign(&mut self, to: SocketAddr, worker: WorkerKey, class: Class, now: Duration) -> u64 {
        self.failure_tracker.record_send(worker, now);
        self.last_number += 1;
        let number = self.last_number;
        let state = self.gateways.entry(to).or_default();
        state.unconfirmed.push(Assignment {
            number,
            worker,
            class,
            at: now,
        });
        number
    }

    /// Grants free slots to waiting items, the most urgent first. The share `reserved` of the
    /// cell's slots stays free.
    pub fn grant(&mut self, workers: &[CellWorker], reserved: f64, now: Duration) -> Vec<Grant> {
        self.expire(now);
        let mut grants = Vec::new();
        if self.gateways.values().all(|it| it.waiting.items == 0) {
            return grants;
        }
        let BatchCapacity {
            mut free,
            grantable: mut left,
        } = self.batch_capacity(workers, reserved, now);
        while left > 0 {
            let Some((worker, room)) = free.iter_mut().max_by_key(|(_, free)| *free) else {
                break;
            };
            let Some(to) = self.most_urgent(now) else {
                break;
            };
            *room -= 1;
            left -= 1;
            let worker = *worker;
            let number = self.assign(to, worker, Class::Batch, now);
            grants.push(Grant { number, to, worker });
        }
        grants
    }

    /// Grants an item of `from` a free slot at one of the workers that its bids name, the one with the most free slots.
    /// The share `reserved` of the cell's slots stays free, and no item is preempted.
    pub fn grant_among(
        &mut self,
        from: SocketAddr,
        bids: &[Bid],
        workers: &[CellWorker],
        reserved: f64,
        now: Duration,
    ) -> Result<Grant, PlacementError> {
        self.expire(now);
        let is_named = |key: WorkerKey| bids.iter().any(|bid| bid.worker == key);
        if !workers.iter().any(|worker| is_named(worker.key)) {
            return Err(PlacementError::NoWorker);
        }
        let capacity = self.batch_capacity(workers, reserved, now);
        if capacity.grantable == 0 {
            return Err(PlacementError::Full);
        }
        let named = capacity.free.into_iter().filter(|(key, _)| is_named(*key));
        let most = named.max_by_key(|(_, free)| *free);
        let (worker, _) = most
            .filter(|(_, free)| *free > 0)
            .ok_or(PlacementError::Full)?;
        let number = self.assign(from, worker, Class::Batch, now);
        let to = from;
        Ok(Grant { number, to, worker })
    }

    /// Returns the slots that may be granted to batch items now. The share `reserved` of the cell's slots stays free, but for
    /// one slot of the workers that accept items.
    fn batch_capacity(
        &self,
        workers: &[CellWorker],
        reserved: f64,
        now: Duration,
    ) -> BatchCapacity {
        let is_reserved = |at: Duration| now < at + ONLINE_RESERVATION_TIME;
        if self.rejected_at.is_some_and(is_reserved) || !self.is_warmed_up(now) {
            return BatchCapacity::default();
        }
        let accepting = workers
            .iter()
            .filter(|worker| worker.accepts_batch && !self.is_failing(worker.key, now));
        let accepting_slots: u32 = accepting.clone().map(|worker| worker.slots).sum();
        let free: Vec<(WorkerKey, u32)> = accepting
            .map(|worker| {
                let taken = self.effective_load(worker).taken();
                (worker.key, worker.slots.saturating_sub(taken))
            })
            .collect();
        let slots: u32 = workers.iter().map(|worker| worker.slots).sum();
        let reserved = (f64::from(slots) * reserved).ceil() as u32;
        // With few slots, the whole cell would be reserved, and items would wait for good.
        let reserved = reserved.min(accepting_slots.saturating_sub(1));
        let all_free: u32 = free.iter().map(|(_, free)| *free).sum();
        BatchCapacity {
            free,
            grantable: all_free.saturating_sub(reserved),
        }
    }

    /// Returns the gateway whose waiting item has the lowest rank, and removes one item from its
    /// waiting count.
    fn most_urgent(&mut self, now: Duration) -> Option<SocketAddr> {
        let waiting = self.gateways.iter_mut();
        let waiting = waiting.filter(|(_, state)| state.waiting.items > 0);
        let (gateway, state) = waiting.min_by_key(|(_, state)| {
            let age = now.saturating_sub(state.last_report_at).as_millis() as i64;
            let first = state.waiting.first;
            (first.is_late, first.due_in_ms - age)
        })?;
        state.waiting.items -= 1;
        Some(*gateway)
    }

    /// Removes the prompt caches of workers that are no longer in the cell.
    pub fn forget_gone(&mut self, workers: &[CellWorker]) {
        let is_in_cell = |key| workers.iter().any(|worker| worker.key == key);
        self.prompts.retain(is_in_cell);
    }

    /// Returns how the slots of the cell are used.
    pub fn usage(&self, workers: &[CellWorker]) -> SlotUsage {
        let mut usage = SlotUsage::default();
        for worker in workers {
            let load = self.load(worker.key);
            usage.online += load.online;
            usage.batch += load.batch;
            usage.free += worker.slots.saturating_sub(load.taken());
        }
        usage
    }
}
