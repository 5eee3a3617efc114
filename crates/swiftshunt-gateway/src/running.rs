//! The batch items that this gateway runs.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftshunt_scheduler::slots::ItemTimes;
use tokio_util::sync::CancellationToken;

use crate::fleet_state::lock;
use crate::metrics::ItemWait;

/// Identifies a batch item.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct ItemId {
    pub(crate) partition: u32,
    pub(crate) job: String,
    pub(crate) index: u32,
}

/// What an item that runs here waits for, and since when it has made no progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Activity {
    pub(crate) waits_for: ItemWait,
    /// When the item last received an event, or its job was first read here.
    pub(crate) progress_at: Duration,
    /// Attempts since then that ended without an event.
    pub(crate) failed_attempts: u32,
}

/// The shared state of an item's activity, which its run updates.
#[derive(Debug)]
pub(crate) struct ItemActivity(Mutex<Activity>);

impl ItemActivity {
    fn started(waits_since: Duration) -> Arc<Self> {
        Arc::new(Self(Mutex::new(Activity {
            waits_for: ItemWait::Slot,
            progress_at: waits_since,
            failed_attempts: 0,
        })))
    }

    pub(crate) fn set_wait(&self, waits_for: ItemWait) {
        lock(&self.0).waits_for = waits_for;
    }

    /// Records that the item received an event.
    pub(crate) fn record_event(&self, now: Duration) {
        *lock(&self.0) = Activity {
            waits_for: ItemWait::Event,
            progress_at: now,
            failed_attempts: 0,
        };
    }

    /// Records that an attempt ended without the item's last event.
    pub(crate) fn record_failed_attempt(&self) {
        lock(&self.0).failed_attempts += 1;
    }

    /// Returns when the item last received an event, or its job was first read here.
    pub(crate) fn progress_at(&self) -> Duration {
        lock(&self.0).progress_at
    }

    fn get(&self) -> Activity {
        *lock(&self.0)
    }
}

/// An item that runs here, as far as its progress is concerned.
pub(crate) struct ItemSnapshot {
    pub(crate) id: ItemId,
    pub(crate) activity: Activity,
    /// Incarnation of the worker that the item was sent to; `None` if it is at no worker.
    pub(crate) worker: Option<String>,
}

/// The means by which an item's run is controlled and observed. The item counts as running until this is dropped, however
/// its task ends.
pub(crate) struct RunHandle {
    running: Arc<RunningItems>,
    id: ItemId,
    /// Cancelled to end the item's run at this gateway for good.
    pub(crate) stop: CancellationToken,
    pub(crate) activity: Arc<ItemActivity>,
}

impl Drop for RunHandle {
    fn drop(&mut self) {
        lock(&self.running.items).remove(&self.id);
    }
}

struct RunningItem {
    service: String,
    times: ItemTimes,
    activity: Arc<ItemActivity>,
    worker: Option<String>,
    /// Ends the item's run at this gateway for good.
    stop: CancellationToken,
    /// Ends only the current attempt at a worker.
    interrupt: CancellationToken,
}

/// The batch items that this gateway runs.
#[derive(Default)]
pub(crate) struct RunningItems {
    items: Mutex<HashMap<ItemId, RunningItem>>,
}

impl RunningItems {
    /// Adds an item whose job was first read here at `waits_since`, and returns the handle of its run.
    pub(crate) fn insert(
        self: &Arc<Self>,
        id: ItemId,
        service: String,
        times: ItemTimes,
        waits_since: Duration,
    ) -> RunHandle {
        let stop = CancellationToken::new();
        let activity = ItemActivity::started(waits_since);
        let item = RunningItem {
            service,
            times,
            activity: Arc::clone(&activity),
            worker: None,
            stop: stop.clone(),
            interrupt: CancellationToken::new(),
        };
        lock(&self.items).insert(id.clone(), item);
        RunHandle {
            running: Arc::clone(self),
            id,
            stop,
            activity,
        }
    }

    /// Returns what each item waits for.
    pub(crate) fn snapshot(&self) -> Vec<ItemSnapshot> {
        let items = lock(&self.items);
        let snapshots = items.iter().map(|(id, item)| ItemSnapshot {
            id: id.clone(),
            activity: item.activity.get(),
            worker: item.worker.clone(),
        });
        snapshots.collect()
    }

    pub(crate) fn is_empty(&self) -> bool {
        lock(&self.items).is_empty()
    }

    pub(crate) fn contains(&self, id: &ItemId) -> bool {
        lock(&self.items).contains_key(id)
    }

    pub(crate) fn count(&self, service: &str) -> usize {
        let items = lock(&self.items);
        items
            .values()
            .filter(|item| item.service == service)
            .count()
    }

    /// Records the expected remaining run time of an item.
    pub(crate) fn set_remaining_time(&self, id: &ItemId, remaining: Duration) {
        if let Some(item) = lock(&self.items).get_mut(id) {
            item.times.expected_run = remaining;
        }
    }

    /// Records the worker that runs an item, or that none does, and returns the token that interrupts the attempt.
    pub(crate) fn set_worker(&self, id: &ItemId, worker: Option<&str>) -> CancellationToken {
        let interrupt = CancellationToken::new();
        if let Some(item) = lock(&self.items).get_mut(id) {
            item.worker = worker.map(str::to_owned);
            item.interrupt = interrupt.clone();
        }
        interrupt
    }

    /// Interrupts the item that is last in rank among those at workers that `is_affected` accepts. Returns its job and
    /// index, or `None` if no item runs at these workers.
    pub(crate) fn interrupt_one(
        &self,
        is_affected: impl Fn(&str) -> bool,
        now: Duration,
    ) -> Option<String> {
        let mut items = lock(&self.items);
        let affected = items
            .iter_mut()
            .filter(|(_, item)| item.worker.as_deref().is_some_and(&is_affected));
        let (id, item) = affected.max_by_key(|(_, item)| item.times.rank(now))?;
        item.worker = None;
        item.interrupt.cancel();
        Some(format!("{}/{}", id.job, id.index))
    }

    /// Stops all items of a job.
    pub(crate) fn stop_job(&self, job: &str) {
        for (id, item) in lock(&self.items).iter() {
            if id.job == job {
                item.stop.cancel();
            }
        }
    }

    /// Stops all items.
    pub(crate) fn stop_all(&self) {
        for item in lock(&self.items).values() {
            item.stop.cancel();
        }
    }

    /// Stops the items that `keeps` does not accept.
    pub(crate) fn retain(&self, keeps: impl Fn(&ItemId) -> bool) {
        for (id, item) in lock(&self.items).iter() {
            if !keeps(id) {
                item.stop.cancel();
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn an_item_whose_task_panicked_does_not_count_as_running() {
        let running = Arc::new(RunningItems::default());
        let id = ItemId {
            partition: 0,
            job: "job".to_owned(),
            index: 0,
        };
        let times = ItemTimes {
            due_at: Duration::ZERO,
            expires_at: Duration::ZERO,
            expected_run: Duration::ZERO,
        };
        let handle = running.insert(id.clone(), "engine".to_owned(), times, Duration::ZERO);
        assert!(running.contains(&id));
        let task = tokio::spawn(async move {
            let _handle = handle;
            panic!("broken");
        });
        assert!(task.await.is_err());
        assert!(!running.contains(&id));
    }
}
