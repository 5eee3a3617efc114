//! Free slots of a service in other regions, as announced by the owners of cells there.
//!
//! The owner of a cell announces its free slots to the owner of one cell in each other region,
//! which forwards requests that find no slot in time. An announcement is seconds old, so each
//! forwarded request is subtracted from it.

use std::collections::BTreeMap;
use std::time::Duration;

use swiftshunt_types::RegionName;

use super::cell::{Cell, cell_count};

/// Time for which an announcement counts: a few times the pause between two announcements.
const CAPACITY_TTL: Duration = Duration::from_secs(3);
/// Pause between two announcements, unless the cell becomes full or gets its first free slot.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct FreeSlots {
    free: u32,
    at: Duration,
}

/// Free slots announced by cells of other regions, and those that this owner announced.
#[derive(Debug, Default)]
pub struct RemoteCapacity {
    free_slots: BTreeMap<Cell, FreeSlots>,
    announced: BTreeMap<Cell, FreeSlots>,
}

impl RemoteCapacity {
    /// Records how many slots the owner of a cell announced as free.
    pub fn record_free_slots(&mut self, cell: Cell, free: u32, now: Duration) {
        self.free_slots.insert(cell, FreeSlots { free, at: now });
    }

    /// Returns the cell of another region with the most free slots, for one request that finds no
    /// slot in `full`, and subtracts one slot there; `None` if no announced slot is left.
    pub fn reserve_slot(&mut self, full: &Cell, now: Duration) -> Option<Cell> {
        self.free_slots
            .retain(|_, slots| now < slots.at + CAPACITY_TTL);
        let others = self
            .free_slots
            .iter_mut()
            .filter(|(cell, slots)| is_elsewhere(cell, full) && slots.free > 0);
        let (cell, slots) = others.max_by_key(|(_, slots)| slots.free)?;
        slots.free -= 1;
        Some(cell.clone())
    }

    /// Returns whether the owner of a cell is to announce its free slots now: once per interval,
    /// and at once when the last slot becomes used or the first one becomes free again. If so,
    /// records the announcement.
    pub fn should_announce(&mut self, cell: &Cell, free: u32, now: Duration) -> bool {
        let is_due = self.announced.get(cell).is_none_or(|last| {
            now >= last.at + ANNOUNCE_INTERVAL || (last.free == 0) != (free == 0)
        });
        if is_due {
            self.announced
                .insert(cell.clone(), FreeSlots { free, at: now });
        }
        is_due
    }
}

/// Returns whether a cell belongs to the same service in another region.
fn is_elsewhere(cell: &Cell, full: &Cell) -> bool {
    cell.service == full.service && cell.region != full.region
}

impl Cell {
    /// Returns the cell in another region that this cell's free slots are announced to; the service
    /// has `workers` workers there.
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
