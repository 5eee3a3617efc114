//! Free slots announced by other regions.

use std::time::Duration;

use swiftshunt_scheduler::slots::cell::Cell;
use swiftshunt_scheduler::slots::remote_capacity::RemoteCapacity;
use swiftshunt_types::RegionName;

const START: Duration = Duration::from_secs(100);
const AFTER_EXPIRY: Duration = Duration::from_secs(10);

fn cell(service: &str, region: &str, index: u32) -> Cell {
    Cell {
        service: service.to_owned(),
        region: Some(RegionName(region.to_owned())),
        count: 4,
        index,
    }
}

/// Each forwarded request reserves a slot: no more are forwarded than there are free slots.
#[test]
fn requests_are_forwarded_up_to_the_announced_free_slots() {
    let mut remote_capacity = RemoteCapacity::default();
    let full = cell("s", "north", 0);
    remote_capacity.record_free_slots(cell("s", "south", 0), 2, START);
    remote_capacity.record_free_slots(cell("s", "south", 1), 1, START);
    let sent: Vec<_> = (0..5)
        .map(|_| remote_capacity.reserve_slot(&full, START))
        .collect();
    assert_eq!(sent.iter().flatten().count(), 3, "{sent:?}");
}

#[test]
fn requests_are_forwarded_only_to_the_same_service_in_another_region() {
    let mut remote_capacity = RemoteCapacity::default();
    remote_capacity.record_free_slots(cell("s", "north", 1), 9, START);
    remote_capacity.record_free_slots(cell("other", "south", 1), 9, START);
    assert_eq!(
        remote_capacity.reserve_slot(&cell("s", "north", 0), START),
        None
    );
}

#[test]
fn old_announcements_expire() {
    let mut remote_capacity = RemoteCapacity::default();
    remote_capacity.record_free_slots(cell("s", "south", 0), 9, START);
    let full = cell("s", "north", 0);
    assert_eq!(
        remote_capacity.reserve_slot(&full, START + AFTER_EXPIRY),
        None
    );
}

/// Limits the traffic between owners: an announcement that changes little is repeated once a
/// second, a change to or from zero free slots is announced at once.
#[test]
fn free_slots_are_announced_once_a_second_and_at_once_on_a_change_to_or_from_zero() {
    let mut remote_capacity = RemoteCapacity::default();
    let own = cell("s", "south", 0);
    let moments = (0..40).map(|step| START + Duration::from_millis(50) * step);
    let announcements = moments.filter(|now| remote_capacity.should_announce(&own, 3, *now));
    assert_eq!(announcements.count(), 2);
    let now = START + Duration::from_millis(2_010);
    assert!(remote_capacity.should_announce(&own, 0, now));
    assert!(!remote_capacity.should_announce(&own, 0, now));
    assert!(remote_capacity.should_announce(&own, 1, now));
}
