//! Batch slots of the node that runs items: assigns granted slots to waiting items, and preempts running
//! items.
//!
//! Whenever the state changes, free slots go to the job with the least slack first, and items in excess
//! of what an engine may run are preempted. A preempted item resumes after its last token.

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

/// Longest time between two reviews of the slots while no change is notified.
const REVIEW_INTERVAL: Duration = Duration::from_millis(10);
/// Assumed time per item from which the slack of a job is computed, in seconds.
const ASSUMED_SECONDS_PER_ITEM: f64 = 0.5;

/// A slot on an engine, released when dropped.
pub(crate) struct Slot {
    pub(crate) worker: WorkerId,
    pub(crate) address: SocketAddr,
    /// Cancelled when the holder must stop using the slot.
    pub(crate) preempted: CancellationToken,
    pool: PoolName,
    context: Arc<Context>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.context.batch.release(&self.context, self);
    }
}

/// The items of a job that wait for a slot.
struct Queue {
    pool: PoolName,
    /// Deadline of the job in seconds of Unix time.
    deadline: u64,
    /// Number of items that were incomplete when the job started on this node.
    remaining: u32,
    waiting: VecDeque<oneshot::Sender<Slot>>,
}

/// An item that occupies a slot.
struct RunningItem {
    pool: PoolName,
    preempted: CancellationToken,
}

/// The slots that a zone's granter allows this node on one engine.
#[derive(Clone, Debug)]
struct ZoneGrant {
    pool: PoolName,
    zone: ZoneName,
    slots: u32,
    expires_at: Monotonic,
}

/// Waiting items, running items and granted slots of this node.
#[derive(Default)]
pub(crate) struct BatchState {
    queues: Mutex<BTreeMap<JobId, Queue>>,
    running: Mutex<BTreeMap<WorkerId, Vec<RunningItem>>>,
    granted: Mutex<BTreeMap<WorkerId, ZoneGrant>>,
    changed: Notify,
    /// Notified when an item starts to wait, so that grants are requested without delay.
    pub(super) demand: Notify,
}

impl BatchState {
    /// Waits for a slot for an item of `job`. `deadline` is in seconds of Unix time, `remaining` is the
    /// number of items that were incomplete when the job started on this node. `None` if the wait was dropped without a slot.
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

    /// Triggers a review of the slots.
    pub(crate) fn notify_changed(&self) {
        self.changed.notify_one();
    }

    /// Preempts batch items whose engine has no capacity left for them, after an online request was
    /// placed.
    pub(crate) fn preempt_for_online(&self, context: &Context) {
        self.preempt_excess(context);
    }

    /// Assigns and preempts slots until the process ends.
    pub(crate) async fn run(context: Arc<Context>) {
        loop {
            let changed = context.batch.changed.notified();
            drop(tokio::time::timeout(REVIEW_INTERVAL, changed).await);
            context.batch.preempt_excess(&context);
            context.batch.assign_slots(&context);
        }
    }

    /// Number of slots wanted for each pool: waiting and running items.
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

    /// Replaces the grants of a pool in a zone; the new ones all expire at `expires_at`.
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

    /// Gives free granted slots to waiting items, the jobs with the least slack first.
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
                    // If the receiver has gone, dropping the slot releases it.
                    drop(waiting.send(slot));
                }
            }
        }
    }

    /// Occupies a slot on the engine of the pool with the most free granted slots.
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

    /// Preempts the youngest items on engines that run more of this node's items than allowed. The limit
    /// is the granted number of slots; on engines with online requests of this node it is also the
    /// number that the engine's load permits.
    fn preempt_excess(&self, context: &Context) {
        let workers = lock(&context.workers);
        let running = lock(&self.running);
        let granted = lock(&self.granted);
        let now = context.clock.now();
        for (id, items) in running.iter() {
            let held = granted.get(id).filter(|held| now < held.expires_at);
            let mut allowed = held.map_or(0, |held| held.slots);
            if let Some(worker) = workers.get(id).filter(|worker| worker.own_online > 0) {
                let scheduler = &context.settings.scheduler;
                allowed = allowed.min(batch_slots(worker, 0, scheduler));
            }
            let active = items.iter().filter(|item| !item.preempted.is_cancelled());
            let active: Vec<&RunningItem> = active.collect();
            let excess = active.len().saturating_sub(allowed as usize);
            for item in active.into_iter().rev().take(excess) {
                item.preempted.cancel();
                context.metrics.preempted_items.inc();
            }
        }
    }

    /// Frees a slot and removes its item from the running items.
    fn release(&self, context: &Context, slot: &Slot) {
        if let Some(worker) = lock(&context.workers).get_mut(&slot.worker) {
            worker.own_batch = worker.own_batch.saturating_sub(1);
        }
        slot.preempted.cancel();
        let mut running = lock(&self.running);
        if let Some(items) = running.get_mut(&slot.worker) {
            // Entries of cancelled items of one pool are interchangeable, so any of them may be removed.
            let cancelled = items
                .iter()
                .position(|item| item.pool == slot.pool && item.preempted.is_cancelled());
            if let Some(index) = cancelled {
                items.remove(index);
            }
        }
        drop(running);
        self.notify_changed();
    }
}

/// The queued jobs, the one with the least slack first.
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
