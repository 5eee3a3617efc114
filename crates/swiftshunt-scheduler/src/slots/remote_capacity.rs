//! Free slots of a service in other regions, as the owners of cells there tell.
//!
//! The owner of a cell tells the owner of one cell in each other region; that one sends on whoever finds no slot
//! in time. What is told is seconds old, so each request that is sent on counts as a slot that is taken.

use std::collections::BTreeMap;
use std::time::Duration;

use swiftshunt_types::RegionName;

use super::cell::{Cell, cell_count};

/// Time for which what was told counts: a few times the pause between two messages.
const CAPACITY_TTL: Duration = Duration::from_secs(3);
/// Pause between two messages that say much the same.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Room {
    free: u32,
    at: Duration,
}

/// What other regions have.
#[derive(Debug, Default)]
pub struct RemoteCapacity {
    rooms: BTreeMap<Cell, Room>,
    announced: BTreeMap<Cell, Room>,
}

impl RemoteCapacity {
    /// The owner of a cell tells how many slots are free there.
    pub fn record_free_slots(&mut self, cell: Cell, free: u32, now: Duration) {
        self.rooms.insert(cell, Room { free, at: now });
    }

    /// The cell with the most room in another region, for one request that finds none in `full`.
    pub fn reserve_slot(&mut self, full: &Cell, now: Duration) -> Option<Cell> {
        self.rooms.retain(|_, room| now < room.at + CAPACITY_TTL);
        let others = self
            .rooms
            .iter_mut()
            .filter(|(cell, room)| is_elsewhere(cell, full) && room.free > 0);
        let (cell, room) = others.max_by_key(|(_, room)| room.free)?;
        room.free -= 1;
        Some(cell.clone())
    }

    /// Whether the owner of a cell is to tell what is free there: again after a while, and at once when the last
    /// slot is taken or the first one is free again.
    pub fn should_announce(&mut self, cell: &Cell, free: u32, now: Duration) -> bool {
        let is_due = self.announced.get(cell).is_none_or(|told| {
            now >= told.at + ANNOUNCE_INTERVAL || (told.free == 0) != (free == 0)
        });
        if is_due {
            self.announced.insert(cell.clone(), Room { free, at: now });
        }
        is_due
    }
}

/// Whether a cell is one of the same service in another region.
fn is_elsewhere(cell: &Cell, full: &Cell) -> bool {
    cell.service == full.service && cell.region != full.region
}

impl Cell {
    /// The cell of another region whose owner is told of this one, where the service has `workers` there.
    pub fn counterpart(&self, region: &RegionName, workers: usize) -> Self {
        let count = cell_count(workers);
        Self {
            service: self.service.clone(),
            region: Some(region.clone()),
            count,
            index: self.index % count.max(1),
        }
    }
}
