//! How long answers of other gateways are waited for: a property of the way, not of the code that waits.
//!
//! Within a region an answer is waited for as long as whoever waits says. To another region the way itself takes
//! longer than that: there the round trips that were observed between the zones are added, with their deviation.

use std::sync::Mutex;
use std::time::Duration;

use swiftshunt_topology::{Bounds, Distance, RoundTrips, Topology};

use crate::fleet_state::lock;

/// How long the way to another region is waited for until one was observed.
const UNOBSERVED: Duration = Duration::from_millis(150);
/// What the way to another region adds at least and at most: beyond that, what is asked there is of no use any
/// more.
const BOUNDS: Bounds = Bounds {
    floor: Duration::from_millis(5),
    ceiling: Duration::from_millis(600),
};

/// The ways from this gateway's zone to others.
#[derive(Default)]
pub(crate) struct ZoneLatencies {
    round_trips: Mutex<RoundTrips<String>>,
}

impl ZoneLatencies {
    /// An answer came from a zone.
    pub(crate) fn record_answer(&self, zone: &str, took: Duration) {
        lock(&self.round_trips).observe(zone.to_owned(), took);
    }

    /// An answer from a zone did not come in time.
    pub(crate) fn record_timeout(&self, zone: &str) {
        lock(&self.round_trips).record_timeout(&zone.to_owned());
    }

    /// The round trip to a zone; none that counts where it is in the own region, or was not observed yet: the first
    /// request that goes there finds it out.
    pub(crate) fn round_trip(&self, topology: &Topology, zone: &str) -> Duration {
        if topology.distance_to(zone) < Distance::OtherRegion {
            return Duration::ZERO;
        }
        let mean = lock(&self.round_trips).mean(&zone.to_owned());
        mean.unwrap_or_default()
    }

    /// How long an answer from a zone is waited for that within a region is waited for `within_region`.
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
        within_region + round_trips.response_timeout(&zone.to_owned(), UNOBSERVED, BOUNDS)
    }

    /// The same for answers from all zones.
    pub(crate) fn max_answer_timeout(
        &self,
        topology: &Topology,
        within_region: Duration,
    ) -> Duration {
        let zones = topology.zones();
        let patience = zones.map(|zone| self.answer_timeout(topology, zone, within_region));
        patience.max().unwrap_or(within_region)
    }
}
