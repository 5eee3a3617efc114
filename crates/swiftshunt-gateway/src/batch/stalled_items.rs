//! Monitoring of accepted items that make no progress: logs and counts, for the leased partitions, what each of them
//! waits for, and the partitions that cannot be read, whose items are not known here.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::Batch;
use crate::metrics::ItemWait;
use crate::running::ItemId;

/// Interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time without progress from which an item counts as stalled: longer than a lost answer and a hand-over take.
const STALL_TIME: Duration = Duration::from_secs(5);
/// Largest number of items that one check logs.
const MAX_LINES_PER_CHECK: usize = 16;

/// An item without a result, and since when it has made no progress.
struct ItemProgress {
    id: ItemId,
    waits_for: ItemWait,
    progress_at: Duration,
    /// Attempts since then that ended without an event.
    failed_attempts: u32,
    worker: Option<String>,
}

impl ItemProgress {
    fn stalled_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.progress_at)
    }

    fn is_due_for_log(&self, checked_at: Duration, now: Duration) -> bool {
        is_due_for_log(self.progress_at, checked_at, now)
    }

    fn log(&self, item: &str, now: Duration) {
        log::warn!(job = self.id.job.as_str(), item, partition = self.id.partition,
            waits_for:? = self.waits_for, stalled_ms = self.stalled_for(now).as_millis() as u64,
            failed_attempts = self.failed_attempts,
            worker = self.worker.as_deref().unwrap_or("");
            "an accepted item makes no progress");
    }
}

/// Whether the time since `since` has passed [`STALL_TIME`], or a further doubling of it, since the last check.
fn is_due_for_log(since: Duration, checked_at: Duration, now: Duration) -> bool {
    doublings(now.saturating_sub(since)) > doublings(checked_at.saturating_sub(since))
}

/// Returns 0 for a time below [`STALL_TIME`], 1 from there on, 2 from twice that time on, and so forth.
fn doublings(stalled: Duration) -> u32 {
    let periods = stalled.as_millis() / STALL_TIME.as_millis();
    u128::BITS - periods.leading_zeros()
}

impl Batch {
    /// Checks for stalled items until the process ends.
    pub(crate) async fn monitor_stalled_items(self: Arc<Self>) {
        let mut checked_at = self.dispatcher.clock.now();
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let now = self.dispatcher.clock.now();
            self.check_stalled_items(checked_at, now);
            self.check_unreadable_partitions(checked_at, now);
            checked_at = now;
        }
    }

    fn check_stalled_items(&self, checked_at: Duration, now: Duration) {
        let mut stalled = self.unsettled_items();
        stalled.retain(|item| item.stalled_for(now) >= STALL_TIME);
        let mut counts: HashMap<ItemWait, i64> = HashMap::new();
        for item in &stalled {
            *counts.entry(item.waits_for).or_default() += 1;
        }
        let longest = stalled.iter().map(|item| item.stalled_for(now)).max();
        self.dispatcher
            .metrics
            .set_stalled_items(&counts, longest.unwrap_or_default());
        stalled.retain(|item| item.is_due_for_log(checked_at, now));
        stalled.sort_by_key(|item| item.progress_at);
        for item in stalled.iter().take(MAX_LINES_PER_CHECK) {
            item.log(&self.item_name(&item.id), now);
        }
        let omitted = stalled.len().saturating_sub(MAX_LINES_PER_CHECK);
        if omitted > 0 {
            log::warn!(omitted; "further accepted items make no progress");
        }
    }

    /// Counts and logs the leased partitions of which no read has been answered for [`STALL_TIME`].
    fn check_unreadable_partitions(&self, checked_at: Duration, now: Duration) {
        let mut unreadable = 0;
        for partition in self.leases.partitions() {
            let Some(since) = self.unread_since(partition) else {
                continue;
            };
            unreadable += i64::from(now >= since + STALL_TIME);
            if is_due_for_log(since, checked_at, now) {
                let unread_ms = now.saturating_sub(since).as_millis() as u64;
                let is_listed = self.replay.last_read_at(partition).is_some();
                log::warn!(partition, unread_ms, is_listed,
                    is_log_unavailable = self.leases.is_log_unavailable();
                    "a leased partition cannot be read, and its items make no progress");
            }
        }
        self.dispatcher
            .metrics
            .unreadable_partitions
            .set(unreadable);
    }

    /// Returns since when a leased partition has not been read; `None` if it is not leased.
    pub(super) fn unread_since(&self, partition: u32) -> Option<Duration> {
        let leased_since = self.leases.leased_since(partition)?;
        let read_at = self.replay.last_read_at(partition);
        Some(read_at.unwrap_or_default().max(leased_since))
    }

    /// Returns the items of the leased partitions that have no recorded result.
    fn unsettled_items(&self) -> Vec<ItemProgress> {
        let started = self
            .running
            .snapshot()
            .into_iter()
            .map(|item| ItemProgress {
                id: item.id,
                waits_for: item.activity.waits_for,
                progress_at: item.activity.progress_at,
                failed_attempts: item.activity.failed_attempts,
                worker: item.worker,
            });
        let ended = self.results.waits().into_iter();
        let ended = ended.map(|(id, waits_for, progress_at)| ItemProgress {
            id,
            waits_for,
            progress_at,
            failed_attempts: 0,
            worker: None,
        });
        let waiting = self.waiting_items(&self.leases.partitions()).into_iter();
        let waiting = waiting.map(|item| ItemProgress {
            waits_for: self.start_obstacle(&item).unwrap_or(ItemWait::Start),
            progress_at: item.first_seen,
            failed_attempts: 0,
            id: item.id,
            worker: None,
        });
        started.chain(ended).chain(waiting).collect()
    }

    /// Returns the identifier of an item; empty if its job is not known.
    fn item_name(&self, id: &ItemId) -> String {
        let state = self.replay.state(id.partition);
        let job = state.fold.job(&id.job);
        let item = job.and_then(|job| job.spec.items.get(id.index as usize));
        item.map_or_else(String::new, |item| item.id.clone())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_item_is_due_for_a_log_line_at_each_doubling_of_its_stall() {
        let item = ItemProgress {
            id: ItemId {
                partition: 0,
                job: "job".to_owned(),
                index: 0,
            },
            waits_for: ItemWait::Slot,
            progress_at: Duration::ZERO,
            failed_attempts: 0,
            worker: None,
        };
        let seconds = (1..=60).map(Duration::from_secs);
        let due = seconds.filter(|now| item.is_due_for_log(*now - CHECK_INTERVAL, *now));
        let due: Vec<u64> = due.map(|now| now.as_secs()).collect();
        assert_eq!(due, [5, 10, 20, 40]);
    }
}
