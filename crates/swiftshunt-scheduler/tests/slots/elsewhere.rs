//! Free slots of other regions.

use std::time::Duration;

use swiftshunt_scheduler::slots::cell::Cell;
use swiftshunt_scheduler::slots::elsewhere::Elsewhere;
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
    let mut elsewhere = Elsewhere::default();
    let full = cell("s", "north", 0);
    elsewhere.told(cell("s", "south", 0), 2, START);
    elsewhere.told(cell("s", "south", 1), 1, START);
    let sent: Vec<_> = (0..5).map(|_| elsewhere.send_on(&full, START)).collect();
    assert_eq!(sent.iter().flatten().count(), 3, "{sent:?}");
}

#[test]
fn a_request_is_sent_to_its_own_service_in_another_region() {
    let mut elsewhere = Elsewhere::default();
    elsewhere.told(cell("s", "north", 1), 9, START);
    elsewhere.told(cell("other", "south", 1), 9, START);
    assert_eq!(elsewhere.send_on(&cell("s", "north", 0), START), None);
}

#[test]
fn what_was_told_long_ago_counts_no_more() {
    let mut elsewhere = Elsewhere::default();
    elsewhere.told(cell("s", "south", 0), 9, START);
    let full = cell("s", "north", 0);
    assert_eq!(elsewhere.send_on(&full, START + LONG), None);
}

/// A few bytes a second: what stays much the same is told once a second, the turn at once.
#[test]
fn owners_tell_seldom_unless_the_last_slot_goes_or_the_first_is_back() {
    let mut elsewhere = Elsewhere::default();
    let own = cell("s", "south", 0);
    let moments = (0..40).map(|step| START + Duration::from_millis(50) * step);
    let told = moments.filter(|now| elsewhere.is_to_tell(&own, 3, *now));
    assert_eq!(told.count(), 2);
    let now = START + Duration::from_millis(2_010);
    assert!(elsewhere.is_to_tell(&own, 0, now));
    assert!(!elsewhere.is_to_tell(&own, 0, now));
    assert!(elsewhere.is_to_tell(&own, 1, now));
}
