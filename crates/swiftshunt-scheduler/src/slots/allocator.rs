//! The book of a cell: what every gateway holds there, and the decisions made by it. Pure: time is
//! given.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::gateway_state::{Assignment, Class, GatewayState};
use super::placement_options::{PlacementOption, cheapest};
use super::prompts::{EngineRates, PrefillEstimate, Prompt, PromptCaches};
use super::worker_health::{FailureTracker, WorkerHealth};
use super::{Bid, CellWorker, SlotReport, WorkerKey};

/// Age from which a report no longer counts: its gateway is gone or asks elsewhere. Gateways that
/// hold something report at least three times in this time.
const REPORT_TTL: Duration = Duration::from_millis(1_500);
/// Time in which an assignment shows in a report, or was lost: a few times the way to and fro and the
/// pause before a report.
const ASSIGNMENT_TTL: Duration = Duration::from_millis(250);
/// Time in which an item that is to step aside has gone, or the order was lost.
const PREEMPTION_TTL: Duration = Duration::from_millis(150);
/// Time after a request found no slot in time for which free slots are not granted to batch items: its gateway
/// asks again within it, and an item would have to leave at once.
const ONLINE_RESERVATION_TIME: Duration = Duration::from_millis(150);
/// Requests beyond the book's that a worker may tell of without anybody else sending there: what has
/// ended a moment ago.
const REPORTED_LOAD_SLACK: u32 = 2;

/// What all gateways together hold at a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that callers wait for.
    pub online: u32,
    /// Batch items, without those that were told to step aside.
    pub batch: u32,
}

impl Load {
    /// Slots that are taken.
    pub fn taken(self) -> u32 {
        self.online + self.batch
    }
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The assignment's number.
    pub number: u64,
    /// The worker.
    pub worker: WorkerKey,
    /// The gateway that must take one of its batch items away from that worker.
    pub preempted_gateway: Option<SocketAddr>,
    /// Whether the request has to wait for a slot.
    pub waits: bool,
    /// What the worker has to read for it.
    pub prefill: PrefillEstimate,
}

/// What a request asks the owner of a cell for.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'q> {
    /// Where it may go, and what speaks against each worker.
    pub bids: &'q [Bid],
    /// Its prompt.
    pub prompt: Prompt<'q>,
    /// Whether it may be assigned a worker at which it has to wait for a slot.
    pub may_wait: bool,
    /// Time within which it must get a slot to be in time; none if it takes any that comes.
    pub max_wait: Option<Duration>,
    /// Whether it may go to another worker if this one fails while it runs.
    pub may_repeat: bool,
}

/// Why a request gets no worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementError {
    /// No bid names a worker of the cell.
    NoWorker,
    /// It would have to wait for a slot.
    Full,
}

/// A slot for a batch item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The assignment's number.
    pub number: u64,
    /// The gateway whose item gets it.
    pub to: SocketAddr,
    /// The worker.
    pub worker: WorkerKey,
}

/// Slots of a cell, by use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotUsage {
    /// Held by requests that callers wait for, also those that wait for a slot.
    pub online: u32,
    /// Held by batch items.
    pub batch: u32,
    /// Free.
    pub free: u32,
}

/// The book of a cell.
#[derive(Debug, Default)]
pub struct SlotAllocator {
    gateways: HashMap<SocketAddr, GatewayState>,
    pub(super) prompts: PromptCaches,
    pub(super) failure_tracker: FailureTracker,
    last_number: u64,
    opened_at: Option<Duration>,
    heard_at: Duration,
    /// When a request found no slot in time.
    rejected_at: Option<Duration>,
}

impl SlotAllocator {
    /// Takes a gateway's report, unless a later one of it is known.
    pub fn apply_report(&mut self, from: SocketAddr, report: SlotReport, now: Duration) {
        self.opened_at.get_or_insert(now);
        self.heard_at = now;
        let state = self.gateways.entry(from).or_default();
        if report.life != state.life || report.number > state.report {
            state.apply_report(report, now);
        }
    }

    /// Forgets what is too old to count.
    pub fn expire(&mut self, now: Duration) {
        self.gateways
            .retain(|_, state| now < state.heard_at + REPORT_TTL);
        self.failure_tracker.expire(now);
        for state in self.gateways.values_mut() {
            state.unconfirmed.retain(|it| now < it.at + ASSIGNMENT_TTL);
            state.leaving.retain(|(_, at)| now < *at + PREEMPTION_TTL);
        }
    }

    /// A gateway's send to a worker failed; tells whether requests keep clear of it from now on.
    pub fn record_failure(&mut self, worker: WorkerKey, now: Duration) -> bool {
        self.failure_tracker.record_failure(worker, now)
    }

    fn is_failing(&self, worker: WorkerKey, now: Duration) -> bool {
        self.failure_tracker.health(worker, now) == WorkerHealth::Failing
    }

    /// Whether a gateway other than `own` has reported of late.
    pub fn has_reports_from_others(&self, own: SocketAddr) -> bool {
        self.gateways.keys().any(|gateway| *gateway != own)
    }

    /// Whether nobody has reported for long.
    pub fn has_no_recent_reports(&self, now: Duration) -> bool {
        now >= self.heard_at + REPORT_TTL
    }

    /// Whether every gateway has had the time to report since the book was opened.
    pub fn is_warmed_up(&self, now: Duration) -> bool {
        self.opened_at
            .is_some_and(|opened_at| now >= opened_at + REPORT_TTL / 3)
    }

    /// What is held at a worker.
    pub fn load(&self, worker: WorkerKey) -> Load {
        let mut load = Load::default();
        for state in self.gateways.values() {
            let held = state.held_at(worker);
            load.online += held.online;
            load.batch += held.batch.saturating_sub(state.preempting_items(worker));
        }
        load
    }

    /// The same, or what the worker itself told where that is more: requests of gateways that do not
    /// report here.
    pub(super) fn effective_load(&self, worker: &CellWorker) -> Load {
        let mut load = self.load(worker.key);
        let reported = worker.reported_load.unwrap_or(0);
        if reported > load.taken() + REPORTED_LOAD_SLACK {
            load.online += reported - load.taken();
        }
        load
    }

    /// Assigns a worker to a request of `from`: the one with the lowest cost among the bids, with
    /// the exact load and what each worker holds of the prompt. A request that may not wait goes to
    /// the best worker that has room, before it is told that the cell is full; so does one that would be
    /// late by its wait. Workers take requests in the order in which they come: one that is late in any
    /// case would make all behind it late, too, until the peak is over.
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

    /// Has a gateway take an item away from a worker: `from` itself if it has one there.
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

    /// The gateway with the most items at a worker that may still be told to leave.
    fn gateway_to_preempt(&self, worker: WorkerKey) -> Option<SocketAddr> {
        let preemptible_items = self
            .gateways
            .iter()
            .map(|(gateway, it)| (it.preemptible_items(worker), *gateway));
        let (items, gateway) = preemptible_items.max()?;
        (items > 0).then_some(gateway)
    }

    /// Counts an item of a gateway's as one that was told to leave a worker.
    fn record_preemption(&mut self, gateway: SocketAddr, worker: WorkerKey, now: Duration) {
        if let Some(state) = self.gateways.get_mut(&gateway) {
            state.leaving.push((worker, now));
        }
    }

    /// Orders items away from workers that hold more than they have slots for, until what is left
    /// fits: assignments that were made without knowing everything, and orders that were lost, heal
    /// by it. Gives the gateway and the worker of each order.
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

    /// Grants free slots to waiting items, the most urgent first, as long as `reserved` of the
    /// cell's slots stay free.
    pub fn grant(&mut self, workers: &[CellWorker], reserved: f64, now: Duration) -> Vec<Grant> {
        self.expire(now);
        let mut grants = Vec::new();
        let is_kept = |at: Duration| now < at + ONLINE_RESERVATION_TIME;
        if self.rejected_at.is_some_and(is_kept) {
            return grants;
        }
        if !self.is_warmed_up(now) || self.gateways.values().all(|it| it.waiting.items == 0) {
            return grants;
        }
        let mut free: Vec<(WorkerKey, u32)> = workers
            .iter()
            .filter(|worker| worker.accepts_batch && !self.is_failing(worker.key, now))
            .map(|worker| {
                let taken = self.effective_load(worker).taken();
                (worker.key, worker.slots.saturating_sub(taken))
            })
            .collect();
        let slots: u32 = workers.iter().map(|worker| worker.slots).sum();
        let reserved = (f64::from(slots) * reserved).ceil() as u32;
        let mut left: u32 = free.iter().map(|(_, free)| *free).sum();
        while left > reserved {
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

    /// The gateway whose waiting item has the lowest rank; one item of it no longer counts as waiting.
    fn most_urgent(&mut self, now: Duration) -> Option<SocketAddr> {
        let waiting = self.gateways.iter_mut();
        let waiting = waiting.filter(|(_, state)| state.waiting.items > 0);
        let (gateway, state) = waiting.min_by_key(|(_, state)| {
            let age = now.saturating_sub(state.heard_at).as_millis() as i64;
            let first = state.waiting.first;
            (first.is_late, first.due_in_ms - age)
        })?;
        state.waiting.items -= 1;
        Some(*gateway)
    }

    /// Forgets what is known of workers that are no longer in the cell.
    pub fn forget_gone(&mut self, workers: &[CellWorker]) {
        let is_there = |key| workers.iter().any(|worker| worker.key == key);
        self.prompts.retain(is_there);
    }

    /// How the slots of the cell are used.
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
