//! Where things stand, without I/O: zones and the regions that they are in, which regions something may be
//! handled in, how far apart two places are, and how long an answer from another place is waited for.

mod residency;
mod round_trips;
mod topology;

pub use residency::Residency;
pub use round_trips::{Bounds, RoundTrips};
pub use topology::{Distance, Topology, TopologyError};
