//! Monitoring of evacuated zones: exports the number of requests in progress in each, and interrupts batch items that
//! continue to run there for long. An interrupted item keeps its progress.
//!
//! An item in an evacuated zone holds a slot that no other request may use. Moving the item costs the rest of the
//! fleet a slot and frees none, so short items run to their end. An item that is still there after some time is long
//! and keeps the zone from becoming empty. Such items are interrupted one at a time, and wait for another slot behind
//! online requests as any batch item does.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Clock;
use crate::fleet_state::FleetState;
use crate::metrics::Metrics;
use crate::running::RunningItems;

/// Interval between two checks; each check interrupts at most one item of this gateway.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Monitors evacuated zones.
pub(crate) struct EvacuationMonitor {
    pub(crate) fleet_state: Arc<FleetState>,
    pub(crate) running: Arc<RunningItems>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) clock: Clock,
    /// Time from the evacuation of a zone for which its batch items may continue to run there.
    pub(crate) items_leave_after: Duration,
}

impl EvacuationMonitor {
    /// Checks the evacuated zones until the process ends.
    pub(crate) async fn run(self) {
        let mut before = BTreeMap::new();
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let zones = self.fleet_state.selector().evacuated_zones();
            if !zones.is_empty() {
                self.interrupt_an_item();
            }
            if zones != before {
                self.metrics.set_evacuated_zones(&zones);
                log_emptied_zones(&before, &zones);
            }
            before = zones;
        }
    }

    fn interrupt_an_item(&self) {
        let now = self.clock.now();
        let to_vacate = self.workers_to_vacate(now);
        let item = self
            .running
            .interrupt_one(|worker| to_vacate.contains(worker), now);
        if let Some(item) = item {
            self.metrics.items_stepped_aside.inc();
            log::info!(item = item.as_str(); "batch item in an evacuated zone was interrupted");
        }
    }

    fn workers_to_vacate(&self, now: Duration) -> BTreeSet<String> {
        let selector = self.fleet_state.selector();
        selector.workers_to_vacate(self.items_leave_after, now)
    }
}

/// Logs the zones in which no request of this gateway is in progress any more.
fn log_emptied_zones(before: &BTreeMap<String, u32>, zones: &BTreeMap<String, u32>) {
    let empty = zones.iter().filter(|(_, in_progress)| **in_progress == 0);
    let newly_empty = empty.filter(|(zone, _)| before.get(*zone) != Some(&0));
    for (zone, _) in newly_empty {
        log::info!(zone = zone.as_str(); "no request of this gateway is in progress in an evacuated zone any more");
    }
}
