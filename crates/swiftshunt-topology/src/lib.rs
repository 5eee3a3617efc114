//! Zones and regions, without I/O: the region of each zone, the regions in which a request may be handled, the
//! distance between zones, and response timeouts that follow measured round trips.

mod residency;
mod round_trips;
mod topology;

pub use residency::Residency;
pub use round_trips::{Bounds, RoundTrips};
pub use topology::{Distance, Topology, TopologyError};
