//! Time-outs for answers of other gateways.
//!
//! Within a region, each kind of request has a fixed time-out. A round trip to another region may take longer than
//! that, so the observed round trip to its zone is added, with the deviation. The added time depends on the network
//! path alone, not on the kind of request.

use std::sync::Mutex;
use std::time::Duration;

use swiftshunt_topology::{Bounds, Distance, RoundTrips, Topology};

use crate::fleet_state::lock;

/// Time that is added for another region until a round trip was observed.
const UNOBSERVED_ROUND_TRIP: Duration = Duration::from_millis(150);
/// Bounds of the time that is added for another region: an answer that arrives later than that is of no use any
/// more.
const BOUNDS: Bounds = Bounds {
    floor: Duration::from_millis(5),
    ceiling: Duration::from_millis(600),
};

/// The observed round trips from this gateway's zone to others.
#[derive(Default)]
pub(crate) struct ZoneLatencies {
    round_trips: Mutex<RoundTrips<String>>,
}

impl ZoneLatencies {
    /// Records that an answer from a zone took this long.
    pub(crate) fn record_answer(&self, zone: &str, took: Duration) {
        lock(&self.round_trips).observe(zone.to_owned(), took);
    }

    /// Records that an answer from a zone did not arrive in time.
    pub(crate) fn record_timeout(&self, zone: &str) {
        lock(&self.round_trips).record_timeout(&zone.to_owned());
    }

    /// Returns the mean round trip to a zone; zero for a zone of the own region, and until the first request to the
    /// zone has been observed.
    pub(crate) fn round_trip(&self, topology: &Topology, zone: &str) -> Duration {
        if topology.distance_to(zone) < Distance::OtherRegion {
            return Duration::ZERO;
        }
        let mean = lock(&self.round_trips).mean(&zone.to_owned());
        mean.unwrap_or_default()
    }

    /// Returns the time-out for an answer from a zone, given the time-out within a region.
    pub(crate) fn answer_timeout(
        &self,
        topology: &Topology,
        zone: &str,
        within_region: Duration,
    ) -> Duration {
        if topology.distance_to(zone) < Distance::OtherRegion {
            return within_region;
        }
        let round_trips = lock(&self.round_trips);
        within_region
            + round_trips.response_timeout(&zone.to_owned(), UNOBSERVED_ROUND_TRIP, BOUNDS)
    }

    /// Returns the longest time-out for an answer from any zone, given the time-out within a region.
    pub(crate) fn max_answer_timeout(
        &self,
        topology: &Topology,
        within_region: Duration,
    ) -> Duration {
        let zones = topology.zones();
        let timeouts = zones.map(|zone| self.answer_timeout(topology, zone, within_region));
        timeouts.max().unwrap_or(within_region)
    }
}
