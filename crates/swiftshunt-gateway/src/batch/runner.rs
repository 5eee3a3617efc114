//! Selects the items that request a slot here. The owners of cells decide which of them get one (`slots/`).

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use swiftshunt_jobs::JobSpec;
use swiftshunt_scheduler::slots::ItemTimes;

use super::Batch;
use super::item::ItemRun;
use crate::clock::Clock;
use crate::metrics::ItemWait;
use crate::running::ItemId;

/// Longest interval between scheduling rounds while items wait or run, and shortest interval while none does.
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(40);
/// Longest interval between scheduling rounds while no item waits or runs.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Largest number of items started in one scheduling round, so that a round takes no more than a few milliseconds.
const MAX_STARTS_PER_ROUND: usize = 64;

/// An item that has not been started.
pub(super) struct WaitingItem {
    pub(super) id: ItemId,
    spec: Arc<JobSpec>,
    service: String,
    /// When the item's job was first read here.
    pub(super) first_seen: Duration,
    times: ItemTimes,
}

/// Due time of items whose route has no completion target, and expiry of items whose route has no limit
/// (`give_up_after`).
const NEVER: Duration = Duration::from_secs(1 << 32);

impl Batch {
    /// Runs scheduling rounds until the process ends.
    pub(crate) async fn start_items(self: Arc<Self>) {
        let mut changes = self.replay.subscribe_any_change();
        loop {
            changes.mark_unchanged();
            let has_work = self.schedule_items() || !self.running.is_empty();
            let pause = if has_work {
                SCHEDULE_INTERVAL
            } else {
                IDLE_INTERVAL
            };
            // The next round starts after a change or after the pause.
            drop(tokio::time::timeout(pause, changes.changed()).await);
            if !has_work {
                tokio::time::sleep(SCHEDULE_INTERVAL).await;
            }
        }
    }

    /// Stops items that are not to run here any more and starts those that may run. Returns whether items are left
    /// waiting.
    fn schedule_items(self: &Arc<Self>) -> bool {
        let held = self.leases.partitions();
        self.running
            .retain(|id| held.contains(&id.partition) && self.is_item_open(id));
        if held.is_empty() || self.stop_token.is_cancelled() {
            return false;
        }
        let now = self.dispatcher.clock.now();
        let mut waiting = self.waiting_items(&held);
        waiting.sort_by_key(|item| item.times.rank(now));
        let mut started = 0;
        let mut has_waiting = false;
        for item in waiting {
            if started >= MAX_STARTS_PER_ROUND || self.start_obstacle(&item).is_some() {
                has_waiting = true;
                continue;
            }
            started += 1;
            self.start_item(item);
        }
        has_waiting
    }

    /// Returns what an item waits for before it can be started here; `None` if it can be started now.
    pub(super) fn start_obstacle(&self, item: &WaitingItem) -> Option<ItemWait> {
        let partition = item.id.partition;
        if !self.leases.may_start_items(partition) {
            Some(ItemWait::NewLease)
        } else if !self.may_send(partition) {
            Some(ItemWait::RecentState)
        } else if !self.has_service_capacity(&item.service) {
            Some(ItemWait::Capacity)
        } else {
            None
        }
    }

    /// Returns the items of the held partitions that have not been started and have no result.
    pub(super) fn waiting_items(&self, held: &BTreeSet<u32>) -> Vec<WaitingItem> {
        let now = self.dispatcher.clock.now();
        let unix_ms = Clock::unix_ms();
        let mut waiting = Vec::new();
        let Some(configuration) = self.dispatcher.fleet_state.configuration() else {
            return waiting;
        };
        for partition in held.iter().copied() {
            let unsettled = self.replay.state(partition).fold.unsettled_items();
            for (spec, index, first_seen) in unsettled {
                let route = configuration.route(&spec.host, &spec.path);
                let service = route.map(|route| route.shares[0].service.clone());
                // A gateway that took the job over saw it later than it was submitted, so `first_seen` is not enough.
                let age = spec.age(unix_ms).max(now.saturating_sub(first_seen));
                let target = route.and_then(|route| route.completion_target);
                let limit = route.and_then(|route| route.give_up_after);
                let id = ItemId {
                    partition,
                    job: spec.id.clone(),
                    index: index as u32,
                };
                let known = self.running.contains(&id)
                    || self.results.contains(partition, &id.job, id.index);
                if !known {
                    waiting.push(WaitingItem {
                        id,
                        spec,
                        service: service.unwrap_or_default(),
                        first_seen,
                        times: ItemTimes {
                            due_at: target
                                .map_or(NEVER, |target| (now + target).saturating_sub(age)),
                            expires_at: limit
                                .map_or(NEVER, |limit| (now + limit).saturating_sub(age)),
                            expected_run: Duration::ZERO,
                        },
                    });
                }
            }
        }
        waiting
    }

    /// Whether the item's job is known and not ended, and the item is not settled.
    pub(crate) fn is_item_open(&self, id: &ItemId) -> bool {
        let state = self.replay.state(id.partition);
        let job = state.fold.job(&id.job);
        job.is_some_and(|job| !job.ended && !job.is_settled(id.index as usize))
    }

    /// Whether items of a partition may be sent to workers: its state is recent, or the log is unavailable, so that no
    /// gateway can get a more recent one.
    pub(crate) fn may_send(&self, partition: u32) -> bool {
        self.replay.is_fresh(partition) || self.leases.is_log_unavailable()
    }

    /// Whether another item of a service may be started here. The limit is the service's number of slots, at least 1.
    fn has_service_capacity(&self, service: &str) -> bool {
        let slots = self.dispatcher.fleet_state.selector().slots(service) as usize;
        self.running.count(service) < slots.max(1)
    }

    fn start_item(self: &Arc<Self>, item: WaitingItem) {
        let waits_since = item.first_seen;
        let handle = self
            .running
            .insert(item.id.clone(), item.service, item.times, waits_since);
        let batch = Arc::clone(self);
        tokio::spawn(async move {
            let id = item.id;
            let mut output = batch.recorded_output(&id);
            let run = ItemRun {
                id: &id,
                spec: &item.spec,
                first_seen: item.first_seen,
                times: item.times,
                activity: &handle.activity,
            };
            tokio::select! {
                () = handle.stop.cancelled() => batch.hand_over_progress(&id, output),
                () = batch.run_item(run, &mut output) => {}
            }
        });
    }
}
