//! Batch items that wait for a slot here, in the order of their rank.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use rand::RngCore;
use swiftshunt_scheduler::slots::cell::Cell;
use swiftshunt_scheduler::slots::{ItemTimes, WaitingItems, WorkerKey};
use swiftshunt_types::RegionName;
use tokio::sync::oneshot;

use crate::fleet_state::lock;

/// Time after which an item that waits for a slot of one cell waits for one of another: a few times
/// the way to its owner and back, and short against the time of an item.
const CELL_ROTATION_INTERVAL: Duration = Duration::from_millis(400);

/// Moves after which an item may wait in another region, too: its prompt and its whole output would cross, and a
/// short peak at home is over by then.
const HOME_REGION_MOVES: usize = 8;

/// A slot that was granted.
#[derive(Clone, Debug)]
pub(crate) struct GrantedSlot {
    pub(crate) cell: Cell,
    pub(crate) worker: WorkerKey,
    pub(crate) number: u64,
}

/// An item's entry.
struct Entry {
    /// Differs between items; decides in which cell it waits first.
    draw: u64,
    /// Regions in which it may wait, in this order; one without a name where there is one alone.
    regions: Vec<Option<RegionName>>,
    times: ItemTimes,
    since: Duration,
    granted: oneshot::Sender<GrantedSlot>,
}

impl Entry {
    /// Whether it waits in a cell now: for a while in those of its first region, and then of each by turns.
    fn waits_in(&self, cell: &Cell, now: Duration) -> bool {
        let waited = now.saturating_sub(self.since).as_millis();
        let moves = (waited / CELL_ROTATION_INTERVAL.as_millis()) as usize;
        let turn = moves.saturating_sub(HOME_REGION_MOVES) % self.regions.len().max(1);
        let index = self.draw.wrapping_add(moves as u64) % u64::from(cell.count.max(1));
        self.regions.get(turn) == Some(&cell.region) && index == u64::from(cell.index)
    }
}

/// Items that wait, by service.
#[derive(Default)]
pub(crate) struct Queue {
    services: Mutex<HashMap<String, Vec<Entry>>>,
}

/// An item's place in the queue, which it leaves when this is dropped.
pub(crate) struct Ticket<'q> {
    queue: &'q Queue,
    service: &'q str,
    draw: u64,
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        if let Some(items) = lock(&self.queue.services).get_mut(self.service) {
            items.retain(|entry| entry.draw != self.draw);
        }
    }
}

impl Queue {
    /// Takes a place for an item.
    pub(crate) fn enter<'q>(
        &'q self,
        service: &'q str,
        regions: Vec<Option<RegionName>>,
        times: ItemTimes,
        now: Duration,
    ) -> (Ticket<'q>, oneshot::Receiver<GrantedSlot>) {
        let (granted, receiver) = oneshot::channel();
        let draw = rand::rng().next_u64();
        let entry = Entry {
            draw,
            regions,
            times,
            since: now,
            granted,
        };
        let mut services = lock(&self.services);
        services.entry(service.to_owned()).or_default().push(entry);
        drop(services);
        let ticket = Ticket {
            queue: self,
            service,
            draw,
        };
        (ticket, receiver)
    }

    /// The items that wait in a cell.
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

    /// Gives a slot to the first item of its service that may run in its region; tells whether one took it.
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
            if entry.granted.send(granted.clone()).is_ok() {
                return true;
            }
        }
    }
}
