//! Batch slots at the node that runs items: which job may run an item on which engine now, and which
//! running items yield.
//!
//! Items wait here. Each time something changes, granted slots are given to the job with the least
//! slack, and items beyond what an engine may run are stopped, their resume point active.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftshunt_scheduler::batch::{JobDemand, batch_slots, least_slack_first};
use swiftshunt_scheduler::grants::Grant;
use swiftshunt_types::{JobId, Monotonic, PoolName, WorkerId, ZoneName};
use tokio::sync::{Notify, oneshot};
use tokio_util::sync::CancellationToken;

use crate::clock::unix_seconds;
use crate::context::Context;
use crate::lock;

/// Slots are looked at this often even if nothing is heard.
const REVIEW_INTERVAL: Duration = Duration::from_millis(10);
/// Assumed time per item until one is measured, in seconds.
const ASSUMED_SECONDS_PER_ITEM: f64 = 0.5;

/// A slot on an engine, held until dropped.
pub(crate) struct Slot {
    pub(crate) worker: WorkerId,
    pub(crate) address: SocketAddr,
    /// Cancelled when the slot is taken back.
    pub(crate) preempted: CancellationToken,
    pool: PoolName,
    context: Arc<Context>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.context.batch.release(&self.context, self);
    }
}

/// A job that has items waiting.
struct Queue {
    pool: PoolName,
    deadline: u64,
    remaining: u32,
    waiting: VecDeque<oneshot::Sender<Slot>>,
}

/// A slot that is in use.
struct RunningItem {
    pool: PoolName,
    preempted: CancellationToken,
}

/// What a granter allowed on one engine.
#[derive(Clone, Debug)]
struct ZoneGrant {
    pool: PoolName,
    zone: ZoneName,
    slots: u32,
    expires_at: Monotonic,
}

/// Waiting items, granted slots and running items of this node.
#[derive(Default)]
pub(crate) struct BatchState {
    queues: Mutex<BTreeMap<JobId, Queue>>,
    running: Mutex<BTreeMap<WorkerId, Vec<RunningItem>>>,
    granted: Mutex<BTreeMap<WorkerId, ZoneGrant>>,
    changed: Notify,
    /// Items began to wait: grants are asked for at once.
    pub(super) demand: Notify,
}

impl BatchState {
    /// Waits for a slot for an item of `job`.
    pub(crate) async fn acquire(
        &self,
        job: &JobId,
        pool: &PoolName,
        deadline: u64,
        remaining: u32,
    ) -> Option<Slot> {
        let (sender, receiver) = oneshot::channel();
        {
            let mut queues = lock(&self.queues);
            let queue = queues.entry(job.clone()).or_insert_with(|| Queue {
                pool: pool.clone(),
                deadline,
                remaining,
                waiting: VecDeque::new(),
            });
            queue.deadline = deadline;
            queue.remaining = remaining;
            queue.waiting.push_back(sender);
        }
        self.demand.notify_one();
        self.notify_changed();
        receiver.await.ok()
    }

    /// Something changed: slots are looked at again.
    pub(crate) fn notify_changed(&self) {
        self.changed.notify_one();
    }

    /// An online request was placed: its engine's batch items may have to yield now.
    pub(crate) fn preempt_for_online(&self, context: &Context) {
        self.preempt_excess(context);
    }

    /// Gives and takes back slots until the process ends.
    pub(crate) async fn run(context: Arc<Context>) {
        loop {
            let changed = context.batch.changed.notified();
            drop(tokio::time::timeout(REVIEW_INTERVAL, changed).await);
            context.batch.preempt_excess(&context);
            context.batch.assign_slots(&context);
        }
    }

    /// Slots wanted for each pool: what waits and what runs.
    pub(super) fn wanted(&self) -> BTreeMap<PoolName, u32> {
        let mut wanted: BTreeMap<PoolName, u32> = BTreeMap::new();
        for queue in lock(&self.queues).values() {
            let waiting = queue.waiting.iter().filter(|waiting| !waiting.is_closed());
            *wanted.entry(queue.pool.clone()).or_default() += waiting.count() as u32;
        }
        for running in lock(&self.running).values().flatten() {
            *wanted.entry(running.pool.clone()).or_default() += 1;
        }
        wanted
    }

    /// Takes over what the granter of a zone allows of a pool, in place of what it allowed before.
    pub(super) fn set_granted(
        &self,
        pool: &PoolName,
        zone: &ZoneName,
        grants: Vec<Grant>,
        expires_at: Monotonic,
    ) {
        let mut granted = lock(&self.granted);
        granted.retain(|_, held| held.pool != *pool || held.zone != *zone);
        for grant in grants {
            let held = ZoneGrant {
                pool: pool.clone(),
                zone: zone.clone(),
                slots: grant.slots,
                expires_at,
            };
            granted.insert(grant.worker, held);
        }
        drop(granted);
        self.notify_changed();
    }

    fn assign_slots(&self, context: &Arc<Context>) {
        let mut queues = lock(&self.queues);
        queues.retain(|_, queue| {
            queue.waiting.retain(|waiting| !waiting.is_closed());
            !queue.waiting.is_empty()
        });
        for job in jobs_by_slack(&queues) {
            let Some(queue) = queues.get_mut(&job) else {
                continue;
            };
            while !queue.waiting.is_empty() {
                let Some(slot) = self.occupy_slot(context, &queue.pool) else {
                    break;
                };
                if let Some(waiting) = queue.waiting.pop_front() {
                    // A slot that nobody takes any more is freed by its drop.
                    drop(waiting.send(slot));
                }
            }
        }
    }

    /// Occupies a slot on the pool's engine with the most granted room.
    fn occupy_slot(&self, context: &Arc<Context>, pool: &PoolName) -> Option<Slot> {
        let mut workers = lock(&context.workers);
        let mut running = lock(&self.running);
        let granted = lock(&self.granted);
        let now = context.clock.now();
        let unexpired = granted
            .iter()
            .filter(|(_, held)| held.pool == *pool && now < held.expires_at);
        let (worker, address) = unexpired
            .filter_map(|(id, held)| {
                let worker = workers
                    .get(id)
                    .filter(|worker| workers.is_accepting(worker) && worker.is_reachable(now))?;
                let used = running.get(id).map_or(0, Vec::len) as u32;
                let free = held.slots.saturating_sub(used);
                Some((free, worker))
            })
            .filter(|(free, _)| *free > 0)
            .max_by_key(|(free, _)| *free)
            .map(|(_, worker)| (worker.machine.id.clone(), worker.machine.address))?;
        workers.get_mut(&worker)?.own_batch += 1;
        let preempted = CancellationToken::new();
        running
            .entry(worker.clone())
            .or_default()
            .push(RunningItem {
                pool: pool.clone(),
                preempted: preempted.clone(),
            });
        Some(Slot {
            worker,
            address,
            preempted,
            pool: pool.clone(),
            context: Arc::clone(context),
        })
    }

    /// Stops the youngest items on engines that hold more than they may: what was granted, and of
    /// the node's own zone also what the engine's load leaves at this moment.
    fn preempt_excess(&self, context: &Context) {
        let workers = lock(&context.workers);
        let running = lock(&self.running);
        let granted = lock(&self.granted);
        let now = context.clock.now();
        for (id, slots) in running.iter() {
            let held = granted.get(id).filter(|held| now < held.expires_at);
            let mut allowed = held.map_or(0, |held| held.slots);
            if let Some(worker) = workers.get(id).filter(|worker| worker.own_online > 0) {
                let scheduler = &context.settings.scheduler;
                allowed = allowed.min(batch_slots(worker, 0, scheduler));
            }
            let active = slots.iter().filter(|slot| !slot.preempted.is_cancelled());
            let active: Vec<&RunningItem> = active.collect();
            let excess = active.len().saturating_sub(allowed as usize);
            for slot in active.into_iter().rev().take(excess) {
                slot.preempted.cancel();
                context.metrics.preempted_items.inc();
            }
        }
    }

    fn release(&self, context: &Context, slot: &Slot) {
        if let Some(worker) = lock(&context.workers).get_mut(&slot.worker) {
            worker.own_batch = worker.own_batch.saturating_sub(1);
        }
        slot.preempted.cancel();
        let mut running = lock(&self.running);
        if let Some(slots) = running.get_mut(&slot.worker) {
            let own = slots
                .iter()
                .position(|held| held.pool == slot.pool && held.preempted.is_cancelled());
            if let Some(index) = own {
                slots.remove(index);
            }
        }
        drop(running);
        self.notify_changed();
    }
}

fn jobs_by_slack(queues: &BTreeMap<JobId, Queue>) -> Vec<JobId> {
    let demands = queues.iter().map(|(job, queue)| JobDemand {
        job: job.clone(),
        deadline: queue.deadline,
        remaining: queue.remaining,
    });
    let mut demands: Vec<JobDemand> = demands.collect();
    least_slack_first(&mut demands, unix_seconds(), ASSUMED_SECONDS_PER_ITEM);
    demands.into_iter().map(|demand| demand.job).collect()
}
