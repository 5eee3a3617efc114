//! Which items look for a slot here; the owners of cells decide which get one (`slots/`).

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use swiftshunt_jobs::JobSpec;
use swiftshunt_scheduler::slots::ItemTimes;

use super::Batch;
use crate::clock::Clock;
use crate::running::ItemId;

/// Pause between looks at what may be started while something waits.
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(40);
/// Longest time without a look.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Items that begin to look for a slot in one look at most, so that a look takes no more than a few
/// milliseconds.
const MAX_STARTS_PER_ROUND: usize = 64;

/// An item that has not begun to look for a slot.
struct WaitingItem {
    id: ItemId,
    spec: Arc<JobSpec>,
    service: String,
    first_seen: Duration,
    times: ItemTimes,
}

/// When an item of a route without a target is due, or without a limit is given up.
const NEVER: Duration = Duration::from_secs(1 << 32);

impl Batch {
    /// Starts items for as long as the process takes work.
    pub(crate) async fn start_items(self: Arc<Self>) {
        let mut changes = self.replay.subscribe_any_change();
        loop {
            changes.mark_unchanged();
            let left_waiting = self.schedule_items() || !self.running.is_empty();
            let pause = if left_waiting {
                SCHEDULE_INTERVAL
            } else {
                IDLE_INTERVAL
            };
            // Either a change or the pause leads to the next look.
            drop(tokio::time::timeout(pause, changes.changed()).await);
            if !left_waiting {
                tokio::time::sleep(SCHEDULE_INTERVAL).await;
            }
        }
    }

    /// Stops what is not to run here any more and starts what may; tells whether items wait.
    fn schedule_items(self: &Arc<Self>) -> bool {
        let held = self.leases.partitions();
        self.running
            .retain(|id| held.contains(&id.partition) && self.is_item_open(id));
        if held.is_empty() || self.stops.is_cancelled() {
            return false;
        }
        let now = self.dispatcher.clock.now();
        let mut waiting = self.waiting_items(&held);
        waiting.sort_by_key(|item| item.times.rank(now));
        let mut started = 0;
        let mut left = false;
        for item in waiting {
            let may_start = self.leases.may_start_items(item.id.partition)
                && self.may_send(item.id.partition)
                && self.has_service_capacity(&item.service);
            if started >= MAX_STARTS_PER_ROUND || !may_start {
                left = true;
                continue;
            }
            started += 1;
            self.start_item(item);
        }
        left
    }

    /// Items that wait here.
    fn waiting_items(&self, held: &BTreeSet<u32>) -> Vec<WaitingItem> {
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
                // A gateway that took the job over has seen it for less than its age.
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

    /// Whether an item's job is known and has not ended, nor has the item.
    pub(crate) fn is_item_open(&self, id: &ItemId) -> bool {
        let state = self.replay.state(id.partition);
        let job = state.fold.job(&id.job);
        job.is_some_and(|job| !job.ended && !job.is_settled(id.index as usize))
    }

    /// Whether items of a partition may go to workers by what is known of it.
    pub(crate) fn may_send(&self, partition: u32) -> bool {
        self.replay.is_fresh(partition) || self.leases.is_log_unavailable()
    }

    /// Whether one more item of a service may look for a slot from here: as many as it has slots.
    fn has_service_capacity(&self, service: &str) -> bool {
        let slots = self.dispatcher.fleet_state.selector().slots(service) as usize;
        self.running.count(service) < slots.max(1)
    }

    fn start_item(self: &Arc<Self>, item: WaitingItem) {
        let stop = self
            .running
            .insert(item.id.clone(), item.service, item.times);
        let batch = Arc::clone(self);
        tokio::spawn(async move {
            let id = item.id;
            let mut output = batch.recorded_output(&id);
            tokio::select! {
                () = stop.cancelled() => batch.hand_over_progress(&id, output),
                () = batch.run_item(&id, &item.spec, item.first_seen, item.times, &mut output) => {}
            }
            batch.running.remove(&id);
        });
    }
}
