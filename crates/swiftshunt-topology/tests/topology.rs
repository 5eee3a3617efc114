//! Distances between zones, restrictions to regions, and response timeouts.

use std::collections::BTreeMap;
use std::time::Duration;

use swiftshunt_topology::{Bounds, Distance, Residency, RoundTrips, Topology, TopologyError};
use swiftshunt_types::RegionName;
use test_case::test_case;

fn zones(pairs: &[(&str, &str)]) -> BTreeMap<String, RegionName> {
    let pairs = pairs.iter();
    pairs
        .map(|(zone, region)| ((*zone).to_owned(), RegionName((*region).to_owned())))
        .collect()
}

#[test_case("a", Distance::SameZone)]
#[test_case("b", Distance::SameRegion)]
#[test_case("c", Distance::OtherRegion)]
#[test_case("unheard of", Distance::OtherRegion)]
fn distance_follows_zone_and_region(zone: &str, distance: Distance) {
    let zones = zones(&[("a", "north"), ("b", "north"), ("c", "south")]);
    let topology = Topology::new("a", zones).expect("the zones should be accepted");
    assert_eq!(topology.distance_to(zone), distance);
}

#[test]
fn zones_of_a_single_region_have_no_dividing_region() {
    let zones = zones(&[("a", "north"), ("b", "north")]);
    let topology = Topology::new("a", zones).expect("the zones should be accepted");
    assert!(!topology.spans_regions());
    assert_eq!(topology.dividing_region_of("b"), None);
    assert_eq!(topology.distance_to("unheard of"), Distance::SameRegion);
}

#[test]
fn a_list_of_zones_without_the_own_zone_is_rejected() {
    let result = Topology::new("z", zones(&[("a", "north")]));
    let zone = "z".to_owned();
    assert_eq!(result, Err(TopologyError::OwnZone { zone }));
}

#[test]
fn the_response_timeout_follows_the_round_trips_within_its_bounds() {
    let bounds = Bounds {
        floor: Duration::from_millis(14),
        ceiling: Duration::from_millis(500),
    };
    let mut trips = RoundTrips::default();
    let unobserved = Duration::from_millis(100);
    assert_eq!(trips.response_timeout(&1, unobserved, bounds), unobserved);
    for _ in 0..50 {
        trips.observe(1, Duration::from_millis(62));
        trips.observe(2, Duration::from_millis(2));
        trips.observe(3, Duration::from_secs(3));
    }
    let far_timeout = trips.response_timeout(&1, unobserved, bounds);
    assert!(
        far_timeout > Duration::from_millis(62) && far_timeout < Duration::from_millis(80),
        "timeout for round trips of 62 ms: {far_timeout:?}"
    );
    assert_eq!(trips.response_timeout(&2, unobserved, bounds), bounds.floor);
    assert_eq!(
        trips.response_timeout(&3, unobserved, bounds),
        bounds.ceiling
    );
}

#[test]
fn intersecting_residencies_applies_both_restrictions() {
    let region = |name: &str| RegionName(name.to_owned());
    let north = Residency::within([region("north")]);
    let both = Residency::within([region("north"), region("south")]);
    let south = Residency::within([region("south")]);
    assert_eq!(Residency::anywhere().intersect(&north), north);
    assert_eq!(both.intersect(&north), north);
    let nowhere = north.intersect(&south);
    assert!(!nowhere.is_anywhere());
    assert!(!nowhere.allows(Some(&region("north"))));
    assert!(Residency::within([]).is_anywhere());
    assert!(Residency::anywhere().allows(None));
    assert!(
        !north.allows(None),
        "a restricted residency allows an unknown region"
    );
}

/// A round trip that has grown beyond the response timeout is never observed unless the timeout grows, too.
#[test]
fn timeouts_double_the_response_timeout_until_a_response_arrives() {
    let bounds = Bounds {
        floor: Duration::from_millis(14),
        ceiling: Duration::from_millis(500),
    };
    let mut trips = RoundTrips::default();
    let unobserved = Duration::from_millis(100);
    for _ in 0..50 {
        trips.observe(1, Duration::from_millis(60));
    }
    let before = trips.response_timeout(&1, unobserved, bounds);
    trips.record_timeout(&1);
    assert_eq!(trips.response_timeout(&1, unobserved, bounds), before * 2);
    for _ in 0..100 {
        trips.record_timeout(&1);
    }
    assert_eq!(
        trips.response_timeout(&1, unobserved, bounds),
        bounds.ceiling
    );
    trips.observe(1, Duration::from_millis(60));
    assert!(trips.response_timeout(&1, unobserved, bounds) <= before);
}
