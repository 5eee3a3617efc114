//! Which items run here, and how many.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftshunt_jobs::JobSpec;
use swiftshunt_scheduler::batch::{by_urgency, urgency};
use tokio_util::sync::CancellationToken;

use super::Batch;
use crate::beliefs::lock;

/// Pause between looks at what may be started while something waits.
const LOOK_INTERVAL: Duration = Duration::from_millis(40);
/// Longest time without a look.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Items started in one look at most, so that the load they cause is seen before more follow.
const STARTED_AT_ONCE: usize = 6;

/// An item that runs here.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct ItemId {
    pub(crate) partition: u32,
    pub(crate) job: String,
    pub(crate) index: u32,
}

struct RunningItem {
    service: String,
    worker: Option<String>,
    /// Ends the item's run here for good.
    stop: CancellationToken,
    /// Interrupts the present attempt alone.
    interrupt: CancellationToken,
}

/// Items that run here.
#[derive(Default)]
pub(crate) struct Running {
    items: Mutex<HashMap<ItemId, RunningItem>>,
}

impl Running {
    fn insert(&self, id: ItemId, service: String) -> CancellationToken {
        let stop = CancellationToken::new();
        let item = RunningItem {
            service,
            worker: None,
            stop: stop.clone(),
            interrupt: CancellationToken::new(),
        };
        lock(&self.items).insert(id, item);
        stop
    }

    pub(crate) fn remove(&self, id: &ItemId) {
        lock(&self.items).remove(id);
    }

    pub(crate) fn is_empty(&self) -> bool {
        lock(&self.items).is_empty()
    }

    fn contains(&self, id: &ItemId) -> bool {
        lock(&self.items).contains_key(id)
    }

    fn count(&self, service: &str) -> usize {
        let items = lock(&self.items);
        items
            .values()
            .filter(|item| item.service == service)
            .count()
    }

    /// Records where an item runs; gives the token that interrupts it there.
    pub(crate) fn at_worker(&self, id: &ItemId, worker: Option<&str>) -> CancellationToken {
        let interrupt = CancellationToken::new();
        if let Some(item) = lock(&self.items).get_mut(id) {
            item.worker = worker.map(str::to_owned);
            item.interrupt = interrupt.clone();
        }
        interrupt
    }

    /// Interrupts an item at a worker, if one runs there.
    pub(crate) fn interrupt_one(&self, worker: &str) -> Option<String> {
        let mut items = lock(&self.items);
        let of_worker = items
            .iter_mut()
            .find(|(_, item)| item.worker.as_deref() == Some(worker));
        let (id, item) = of_worker?;
        item.worker = None;
        item.interrupt.cancel();
        Some(format!("{}/{}", id.job, id.index))
    }

    /// Stops the items of a job.
    pub(crate) fn stop_job(&self, job: &str) {
        for (id, item) in lock(&self.items).iter() {
            if id.job == job {
                item.stop.cancel();
            }
        }
    }

    /// Stops every item.
    pub(crate) fn stop_all(&self) {
        for item in lock(&self.items).values() {
            item.stop.cancel();
        }
    }

    /// Stops items that `keeps` does not accept.
    fn retain(&self, keeps: impl Fn(&ItemId) -> bool) {
        for (id, item) in lock(&self.items).iter() {
            if !keeps(id) {
                item.stop.cancel();
            }
        }
    }
}

/// An item that waits.
struct Waiting {
    id: ItemId,
    spec: Arc<JobSpec>,
    service: String,
    first_seen: Duration,
    /// When it is due, on the gateway's clock.
    due: Duration,
}

/// Items of a service that are not settled, at this gateway.
#[derive(Default)]
struct Share {
    items: u32,
    /// Urgency of the most urgent one.
    urgency: f64,
}

/// When an item of a route without a target is due.
const NEVER_DUE: Duration = Duration::from_secs(1 << 32);

impl Batch {
    /// Starts items for as long as the process takes work.
    pub(crate) async fn run_items(self: Arc<Self>) {
        let mut changes = self.replay.any_change();
        loop {
            changes.mark_unchanged();
            self.yield_to_online();
            let left_waiting = self.look() || !self.running.is_empty();
            let pause = if left_waiting {
                LOOK_INTERVAL
            } else {
                IDLE_INTERVAL
            };
            // Either a change or the pause leads to the next look.
            drop(tokio::time::timeout(pause, changes.changed()).await);
            if !left_waiting {
                tokio::time::sleep(LOOK_INTERVAL).await;
            }
        }
    }

    /// Takes an item back from each worker at which online requests wait.
    fn yield_to_online(&self) {
        if self.running.is_empty() {
            return;
        }
        let now = self.dispatcher.clock.now();
        let crowded = self.dispatcher.beliefs.selector().crowded_by_batch(now);
        for worker in crowded {
            self.make_room(&worker);
        }
    }

    /// Stops what is not to run here any more and starts what may; tells whether items wait.
    fn look(self: &Arc<Self>) -> bool {
        let held = self.leases.partitions();
        self.running.retain(|id| {
            if !held.contains(&id.partition) {
                return false;
            }
            let state = self.replay.state(id.partition);
            let job = state.fold.job(&id.job);
            job.is_some_and(|job| !job.ended && !job.is_settled(id.index as usize))
        });
        if held.is_empty() || self.stops.is_cancelled() {
            return false;
        }
        let (mut waiting, shares) = self.survey(&held);
        let items = shares.iter();
        let items = items.map(|(service, share)| (service.clone(), share.items));
        self.dispatcher.peers.tell_unsettled(items.collect());
        waiting.sort_by_key(|item| item.due);
        let mut started = 0;
        let mut left = false;
        for item in waiting {
            let may_start = self.leases.may_start(item.id.partition)
                && self.may_send(item.id.partition)
                && self.may_start(&item.service, &shares);
            if started >= STARTED_AT_ONCE || !may_start {
                left = true;
                continue;
            }
            started += 1;
            self.start_item(item);
        }
        left
    }

    /// Items that wait here, and each service's items that are not settled.
    fn survey(&self, held: &BTreeSet<u32>) -> (Vec<Waiting>, BTreeMap<String, Share>) {
        let now = self.dispatcher.clock.now();
        let mut waiting = Vec::new();
        let mut shares: BTreeMap<String, Share> = BTreeMap::new();
        let Some(configuration) = self.dispatcher.beliefs.configuration() else {
            return (waiting, shares);
        };
        for partition in held.iter().copied() {
            let unsettled = self.replay.state(partition).fold.unsettled();
            for (spec, index, first_seen) in unsettled {
                let route = configuration.route(&spec.host, &spec.path);
                let service = route.map(|route| route.shares[0].service.clone());
                let service = service.unwrap_or_default();
                let target = route.and_then(|route| route.completion_target);
                let age = now.saturating_sub(first_seen);
                let share = shares.entry(service.clone()).or_default();
                share.items += 1;
                share.urgency = share.urgency.max(urgency(age, target));
                let id = ItemId {
                    partition,
                    job: spec.id.clone(),
                    index: index as u32,
                };
                let known = self.running.contains(&id)
                    || self.results.contains(partition, &id.job, id.index);
                if !known {
                    waiting.push(Waiting {
                        id,
                        spec,
                        service,
                        first_seen,
                        due: target.map_or(NEVER_DUE, |target| first_seen + target),
                    });
                }
            }
        }
        (waiting, shares)
    }

    /// Whether items of a partition may go to workers by what is known of it.
    pub(crate) fn may_send(&self, partition: u32) -> bool {
        self.replay.is_fresh(partition) || self.leases.log_is_away()
    }

    /// Whether one more item of a service may run here: the slots for batch items are shared
    /// between gateways as the items that are not settled are.
    fn may_start(&self, service: &str, shares: &BTreeMap<String, Share>) -> bool {
        let Some(share) = shares.get(service) else {
            return false;
        };
        let slots = f64::from(self.dispatcher.beliefs.selector().slots(service));
        let settings = &self.settings.batch;
        let allowed = by_urgency(
            settings.slot_share,
            settings.urgent_slot_share,
            share.urgency,
        );
        let of_batch = slots * allowed;
        let elsewhere = self.dispatcher.peers.unsettled_elsewhere(service);
        let part = f64::from(share.items) / f64::from(share.items + elsewhere).max(1.0);
        let here = (of_batch * part).ceil().max(1.0) as usize;
        self.running.count(service) < here
    }

    fn start_item(self: &Arc<Self>, item: Waiting) {
        let stop = self.running.insert(item.id.clone(), item.service);
        let batch = Arc::clone(self);
        tokio::spawn(async move {
            let id = item.id;
            let mut output = batch.output_so_far(&id);
            tokio::select! {
                () = stop.cancelled() => batch.leave_word(&id, output),
                () = batch.run_item(&id, &item.spec, item.first_seen, &mut output) => {}
            }
            batch.running.remove(&id);
        });
    }
}
