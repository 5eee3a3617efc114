//! Assigns workers to cells and cells to gateways. Gateways that know the same workers and gateways
//! get the same result without exchanging messages.

use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use swiftshunt_types::RegionName;

use super::WorkerKey;
use crate::readers::stable_hash;

/// Most workers per cell on average. With some dozen slots together the load of a cell is as even
/// as that of the whole service, and its owner's part of the messages stays small.
const CELL_WORKERS: usize = 16;

/// A group of a service's workers whose slots one gateway allocates.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cell {
    /// Name of the service.
    pub service: String,
    /// Region of the workers, if there is more than one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<RegionName>,
    /// Number of cells that the service has as far as the sender knows. It is part of the cell's
    /// identity so that gateways that briefly know different numbers of workers do not mix up their
    /// cells.
    pub count: u32,
    /// Index of the cell, below `count`.
    pub index: u32,
}

/// Leaves out an absent region, so that gateways without regions all find the same owner.
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

/// Returns the number of cells of a service with `workers` workers: a power of two, so that it
/// changes seldom.
pub fn cell_count(workers: usize) -> u32 {
    workers.div_ceil(CELL_WORKERS).next_power_of_two() as u32
}

impl WorkerKey {
    /// Returns the key of an incarnation.
    pub fn of(incarnation: &str) -> Self {
        Self(stable_hash(incarnation))
    }

    /// Returns the index of the worker's cell among `count` cells of its service.
    pub fn cell_index(self, count: u32) -> u32 {
        (stable_hash(self.0) % u64::from(count.max(1))) as u32
    }
}

/// Returns the owner of a cell: the gateway with the highest hash for it (rendezvous hashing), so
/// that only the cells of a gateway that leaves change owner. `None` without gateways.
pub fn owner(cell: &Cell, gateways: impl IntoIterator<Item = SocketAddr>) -> Option<SocketAddr> {
    gateways
        .into_iter()
        .max_by_key(|gateway| (stable_hash((cell, gateway)), *gateway))
}
