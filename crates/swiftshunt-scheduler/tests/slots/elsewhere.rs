//! Free slots of other regions.

use std::time::Duration;

use swiftshunt_scheduler::slots::cell::Cell;
use swiftshunt_scheduler::slots::remote_capacity::RemoteCapacity;
use swiftshunt_types::RegionName;

const START: Duration = Duration::from_secs(100);
const LONG: Duration = Duration::from_secs(10);

fn cell(service: &str, region: &str, index: u32) -> Cell {
    Cell {
        service: service.to_owned(),
        region: Some(RegionName(region.to_owned())),
        count: 4,
        index,
    }
}

/// Whoever was sent on takes a slot: no more are sent on than there are slots.
#[test]
fn as_many_are_sent_on_as_there_are_free_slots() {
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
fn a_request_is_sent_to_its_own_service_in_another_region() {
    let mut remote_capacity = RemoteCapacity::default();
    remote_capacity.record_free_slots(cell("s", "north", 1), 9, START);
    remote_capacity.record_free_slots(cell("other", "south", 1), 9, START);
    assert_eq!(
        remote_capacity.reserve_slot(&cell("s", "north", 0), START),
        None
    );
}

#[test]
fn what_was_told_long_ago_counts_no_more() {
    let mut remote_capacity = RemoteCapacity::default();
    remote_capacity.record_free_slots(cell("s", "south", 0), 9, START);
    let full = cell("s", "north", 0);
    assert_eq!(remote_capacity.reserve_slot(&full, START + LONG), None);
}

/// A few bytes a second: what stays much the same is told once a second, the turn at once.
#[test]
fn owners_tell_seldom_unless_the_last_slot_goes_or_the_first_is_back() {
    let mut remote_capacity = RemoteCapacity::default();
    let own = cell("s", "south", 0);
    let moments = (0..40).map(|step| START + Duration::from_millis(50) * step);
    let told = moments.filter(|now| remote_capacity.should_announce(&own, 3, *now));
    assert_eq!(told.count(), 2);
    let now = START + Duration::from_millis(2_010);
    assert!(remote_capacity.should_announce(&own, 0, now));
    assert!(!remote_capacity.should_announce(&own, 0, now));
    assert!(remote_capacity.should_announce(&own, 1, now));
}
