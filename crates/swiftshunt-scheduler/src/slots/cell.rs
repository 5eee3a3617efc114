//! Which workers form a cell, and which gateway owns it: the same answer at every gateway that knows
//! the same workers and gateways, without a word between them.

use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use swiftshunt_types::RegionName;

use super::WorkerKey;
use crate::readers::stable_hash;

/// Workers of a cell in the mean, at most: with some dozen slots together the load of a cell is as
/// even as that of the service, and its owner's part of the messages stays small.
const CELL_WORKERS: usize = 16;

/// A cell.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cell {
    /// The service.
    pub service: String,
    /// The region that its workers are in, where there is more than one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<RegionName>,
    /// Cells that the service has as far as the sender knows: gateways that know different numbers
    /// of workers for a moment do not mix their cells up.
    pub count: u32,
    /// Which of them.
    pub index: u32,
}

/// Gateways that know of no regions find the same owner.
impl Hash for Cell {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.service.hash(state);
        self.count.hash(state);
        self.index.hash(state);
        if let Some(region) = &self.region {
            region.hash(state);
        }
    }
}

/// Cells of a service with `workers` workers: a power of two, so that it changes seldom.
pub fn cell_count(workers: usize) -> u32 {
    workers.div_ceil(CELL_WORKERS).next_power_of_two() as u32
}

impl WorkerKey {
    /// The key of an incarnation.
    pub fn of(incarnation: &str) -> Self {
        Self(stable_hash(incarnation))
    }

    /// The cell that the worker is in, of `count` cells of its service.
    pub fn cell_index(self, count: u32) -> u32 {
        (stable_hash(self.0) % u64::from(count.max(1))) as u32
    }
}

/// The owner of a cell: the gateway with the highest weight for it, so that only the cells of a
/// gateway that goes move.
pub fn owner(cell: &Cell, gateways: impl IntoIterator<Item = SocketAddr>) -> Option<SocketAddr> {
    gateways
        .into_iter()
        .max_by_key(|gateway| (stable_hash((cell, gateway)), *gateway))
}
