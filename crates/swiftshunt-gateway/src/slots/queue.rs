//! Batch items that wait for a slot here, the most urgent first.

use std::collections::{BTreeMap, HashMap};
use std::sync::Mutex;
use std::time::Duration;

use rand::RngCore;
use swiftshunt_scheduler::slots::cell::Cell;
use swiftshunt_scheduler::slots::{Waiting, WorkerKey};
use tokio::sync::oneshot;

use crate::beliefs::lock;

/// Time after which an item that waits for a slot of one cell waits for one of another.
const NEXT_CELL_AFTER: Duration = Duration::from_millis(400);

/// A slot that was granted.
#[derive(Clone, Debug)]
pub(crate) struct Granted {
    pub(crate) cell: Cell,
    pub(crate) worker: WorkerKey,
    pub(crate) number: u64,
}

struct Entry {
    /// Decides in which cell it waits first.
    draw: u64,
    since: Duration,
    granted: oneshot::Sender<Granted>,
}

impl Entry {
    fn cell_index(&self, count: u32, now: Duration) -> u32 {
        let waited = now.saturating_sub(self.since).as_millis();
        let moves = waited / NEXT_CELL_AFTER.as_millis();
        (self.draw.wrapping_add(moves as u64) % u64::from(count.max(1))) as u32
    }
}

/// When an item is due, and a number that differs between items.
type Place = (Duration, u64);

/// Items that wait, by service.
#[derive(Default)]
pub(crate) struct Queue {
    services: Mutex<HashMap<String, BTreeMap<Place, Entry>>>,
}

/// An item's place in the queue, which it leaves when this is dropped.
pub(crate) struct Ticket<'q> {
    queue: &'q Queue,
    service: &'q str,
    place: Place,
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        if let Some(items) = lock(&self.queue.services).get_mut(self.service) {
            items.remove(&self.place);
        }
    }
}

impl Queue {
    /// Takes a place for an item that is due at `due`.
    pub(crate) fn enter<'q>(
        &'q self,
        service: &'q str,
        due: Duration,
        now: Duration,
    ) -> (Ticket<'q>, oneshot::Receiver<Granted>) {
        let (granted, receiver) = oneshot::channel();
        let draw = rand::rng().next_u64();
        let place = (due, draw);
        let entry = Entry {
            draw,
            since: now,
            granted,
        };
        let mut services = lock(&self.services);
        services
            .entry(service.to_owned())
            .or_default()
            .insert(place, entry);
        drop(services);
        let ticket = Ticket {
            queue: self,
            service,
            place,
        };
        (ticket, receiver)
    }

    /// The items that wait in a cell.
    pub(crate) fn waiting(&self, cell: &Cell, now: Duration) -> Waiting {
        let services = lock(&self.services);
        let Some(items) = services.get(&cell.service) else {
            return Waiting::default();
        };
        let mut here = items
            .iter()
            .filter(|(_, entry)| entry.cell_index(cell.count, now) == cell.index);
        let Some(((due, _), _)) = here.next() else {
            return Waiting::default();
        };
        Waiting {
            items: 1 + here.count() as u32,
            due_in_ms: due.as_millis() as i64 - now.as_millis() as i64,
        }
    }

    /// Gives a slot to the most urgent item of its service; tells whether one took it.
    pub(crate) fn grant(&self, granted: &Granted) -> bool {
        let mut services = lock(&self.services);
        let Some(items) = services.get_mut(&granted.cell.service) else {
            return false;
        };
        while let Some((_, entry)) = items.pop_first() {
            if entry.granted.send(granted.clone()).is_ok() {
                return true;
            }
        }
        false
    }
}
