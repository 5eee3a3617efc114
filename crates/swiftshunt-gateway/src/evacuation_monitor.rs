//! Evacuated zones become empty: what is in progress in each is told, and batch items that run on there for long
//! step aside with their progress.
//!
//! An item there holds a slot that nobody else may have, so that it leaves costs the rest of the fleet a slot and
//! gives it none. Short ones therefore run on. One that is left after some time is long, and keeps the zone from
//! being empty: it steps aside, one after the other, and waits for a slot behind callers' requests as any other.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Clock;
use crate::fleet_state::FleetState;
use crate::metrics::Metrics;
use crate::running::RunningItems;

/// Pause between looks; an item of this gateway leaves at each of them at most.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// Looks after evacuated zones.
pub(crate) struct EvacuationMonitor {
    pub(crate) fleet_state: Arc<FleetState>,
    pub(crate) running: Arc<RunningItems>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) clock: Clock,
    /// How long items run on in an evacuated zone.
    pub(crate) items_leave_after: Duration,
}

impl EvacuationMonitor {
    /// Looks for as long as the process lives.
    pub(crate) async fn run(self) {
        let mut before = BTreeMap::new();
        loop {
            tokio::time::sleep(LOOK_INTERVAL).await;
            let zones = self.fleet_state.selector().evacuated_zones();
            if !zones.is_empty() {
                self.have_an_item_leave();
            }
            if zones != before {
                self.metrics.set_evacuated_zones(&zones);
                tell_of_empty(&before, &zones);
            }
            before = zones;
        }
    }

    fn have_an_item_leave(&self) {
        let now = self.clock.now();
        let left = self.items_left(now);
        let item = self
            .running
            .interrupt_one(|worker| left.contains(worker), now);
        if let Some(item) = item {
            self.metrics.items_stepped_aside.inc();
            log::info!(item = item.as_str(); "a batch item leaves an evacuated zone");
        }
    }

    fn items_left(&self, now: Duration) -> BTreeSet<String> {
        let selector = self.fleet_state.selector();
        selector.workers_to_vacate(self.items_leave_after, now)
    }
}

/// Logs zones in which nothing of this gateway is in progress any more.
fn tell_of_empty(before: &BTreeMap<String, u32>, zones: &BTreeMap<String, u32>) {
    let empty = zones.iter().filter(|(_, in_progress)| **in_progress == 0);
    let newly = empty.filter(|(zone, _)| before.get(*zone) != Some(&0));
    for (zone, _) in newly {
        log::info!(zone = zone.as_str(); "nothing of this gateway runs in an evacuated zone");
    }
}
