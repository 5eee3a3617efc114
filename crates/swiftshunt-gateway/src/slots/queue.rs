//! Batch items of this gateway that wait for a slot, ordered by rank.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use rand::RngCore;
use swiftshunt_scheduler::slots::cell::Cell;
use swiftshunt_scheduler::slots::{ItemTimes, WaitingItems, WorkerKey};
use swiftshunt_types::RegionName;
use tokio::sync::oneshot;

use crate::fleet_state::lock;

/// Time after which an item that waits in one cell moves to the next: a few round trips to the slot
/// owner, and short compared with the run time of an item.
const CELL_ROTATION_INTERVAL: Duration = Duration::from_millis(400);

/// Number of moves after which an item may also wait in another region. Its prompt and its whole output would be
/// sent between regions, and a short peak of load in the home region is over by then.
const HOME_REGION_MOVES: usize = 8;

/// A slot that its owner granted to a batch item.
#[derive(Clone, Debug)]
pub(crate) struct GrantedSlot {
    pub(crate) cell: Cell,
    pub(crate) worker: WorkerKey,
    pub(crate) number: u64,
}

struct Entry {
    /// Random identifier of the entry; it decides in which cell the item waits first.
    id: u64,
    /// Regions in which the item may wait, in order of preference; a single `None` if regions are not configured.
    regions: Vec<Option<RegionName>>,
    times: ItemTimes,
    /// Since when the item has made no progress, also in earlier places in the queue.
    waits_since: Duration,
    grant_sender: oneshot::Sender<GrantedSlot>,
}

impl Entry {
    /// Returns whether the item waits in the given cell now. It moves through the cells of its first region for
    /// [`HOME_REGION_MOVES`] moves, and then through the cells of all its regions in turn.
    fn waits_in(&self, cell: &Cell, now: Duration) -> bool {
        let waited = now.saturating_sub(self.waits_since).as_millis();
        let moves = (waited / CELL_ROTATION_INTERVAL.as_millis()) as usize;
        let region_index = moves.saturating_sub(HOME_REGION_MOVES) % self.regions.len().max(1);
        let index = self.id.wrapping_add(moves as u64) % u64::from(cell.count.max(1));
        self.regions.get(region_index) == Some(&cell.region) && index == u64::from(cell.index)
    }
}

/// Waiting batch items by service.
#[derive(Default)]
pub(crate) struct Queue {
    services: Mutex<HashMap<String, Vec<Entry>>>,
}

/// An item's place in the queue; dropping it removes the item.
pub(crate) struct Ticket<'q> {
    queue: &'q Queue,
    service: &'q str,
    id: u64,
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        if let Some(items) = lock(&self.queue.services).get_mut(self.service) {
            items.retain(|entry| entry.id != self.id);
        }
    }
}

impl Queue {
    /// Adds an item that has made no progress since `waits_since`. Returns its ticket and the receiver of the granted slot.
    pub(crate) fn enter<'q>(
        &'q self,
        service: &'q str,
        regions: Vec<Option<RegionName>>,
        times: ItemTimes,
        waits_since: Duration,
    ) -> (Ticket<'q>, oneshot::Receiver<GrantedSlot>) {
        let (grant_sender, receiver) = oneshot::channel();
        let id = rand::rng().next_u64();
        let entry = Entry {
            id,
            regions,
            times,
            waits_since,
            grant_sender,
        };
        let mut services = lock(&self.services);
        services.entry(service.to_owned()).or_default().push(entry);
        drop(services);
        let ticket = Ticket {
            queue: self,
            service,
            id,
        };
        (ticket, receiver)
    }

    /// Returns the number of items that wait in a cell, and the lowest rank among them.
    pub(crate) fn waiting(&self, cell: &Cell, now: Duration) -> WaitingItems {
        let services = lock(&self.services);
        let items = services.get(&cell.service).map_or(&[][..], Vec::as_slice);
        let here = items.iter().filter(|entry| entry.waits_in(cell, now));
        let ranks = here.map(|entry| entry.times.rank(now));
        ranks.fold(WaitingItems::default(), |waiting, rank| WaitingItems {
            items: waiting.items + 1,
            first: if waiting.items == 0 {
                rank
            } else {
                waiting.first.min(rank)
            },
        })
    }

    /// Gives a slot to the lowest-ranked item of its service that may run in its region. Returns whether an item
    /// received it.
    pub(crate) fn grant(&self, granted: &GrantedSlot, now: Duration) -> bool {
        let mut services = lock(&self.services);
        let Some(items) = services.get_mut(&granted.cell.service) else {
            return false;
        };
        loop {
            let ranked = items.iter().enumerate();
            let ranked = ranked.filter(|(_, entry)| entry.regions.contains(&granted.cell.region));
            let first = ranked.min_by_key(|(_, entry)| entry.times.rank(now));
            let Some((position, _)) = first else {
                return false;
            };
            let entry = items.swap_remove(position);
            if entry.grant_sender.send(granted.clone()).is_ok() {
                return true;
            }
        }
    }
}
