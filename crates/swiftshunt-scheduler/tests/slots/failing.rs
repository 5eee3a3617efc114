//! Workers at which sends fail.

use std::time::Duration;

use swiftshunt_scheduler::slots::allocator::{PlacementRequest, SlotAllocator};
use swiftshunt_scheduler::slots::{SlotReport, WorkerKey};

use crate::support::{
    RATES, SETTLED, SLOTS, bids, gateway, key, placement_request, waiting, workers,
};

/// A request that may not be repeated, or may, to two workers of which the first would be better.
fn place_unless_failing(
    allocator: &mut SlotAllocator,
    may_repeat: bool,
    now: Duration,
) -> WorkerKey {
    let bids = bids(&[0, 50]);
    let request = PlacementRequest {
        may_repeat,
        ..placement_request(&bids)
    };
    let placed = allocator.place(gateway(2), &request, &workers(2), &RATES, now);
    placed.expect("a worker").worker
}

/// What one gateway saw keeps the requests of all away, and those that may not be repeated longest.
#[test]
fn requests_keep_clear_of_a_worker_that_failed_another_gateway() {
    let mut allocator = SlotAllocator::default();
    assert_eq!(place_unless_failing(&mut allocator, false, SETTLED), key(0));
    assert!(allocator.record_failure(key(0), SETTLED));
    let at = |ms| SETTLED + Duration::from_millis(ms);
    for (ms, may_repeat, worker) in [
        (10, true, 1),
        (390, true, 1),
        (410, false, 1),
        (410, true, 0),
        (1_190, false, 1),
        (1_210, false, 0),
    ] {
        let placed = place_unless_failing(&mut allocator, may_repeat, at(ms));
        assert_eq!(placed, key(worker), "after {ms} ms, repeated: {may_repeat}");
    }
}

#[test]
fn a_worker_that_fails_again_is_left_for_longer() {
    let mut allocator = SlotAllocator::default();
    let mut now = SETTLED;
    assert!(allocator.record_failure(key(0), now));
    assert!(
        !allocator.record_failure(key(0), now),
        "one more request that was there"
    );
    now += Duration::from_millis(450);
    assert!(allocator.record_failure(key(0), now));
    now += Duration::from_millis(750);
    assert_eq!(place_unless_failing(&mut allocator, true, now), key(1));
    now += Duration::from_millis(100);
    assert_eq!(place_unless_failing(&mut allocator, true, now), key(0));
    // What is long ago does not count.
    now += Duration::from_secs(10);
    assert!(allocator.record_failure(key(0), now));
    now += Duration::from_millis(450);
    assert_eq!(place_unless_failing(&mut allocator, true, now), key(0));
}

/// A worker that loses an answer now and then is not left: the others could not carry its part.
#[test]
fn a_worker_that_fails_seldom_is_not_left() {
    let mut allocator = SlotAllocator::default();
    let mut now = SETTLED;
    for _ in 0..20 {
        now += Duration::from_millis(50);
        place_unless_failing(&mut allocator, false, now);
    }
    assert!(!allocator.record_failure(key(0), now));
    assert_eq!(place_unless_failing(&mut allocator, false, now), key(0));
    // One at which all that runs breaks is.
    let failed = (0..8).filter(|_| allocator.record_failure(key(0), now));
    assert_eq!(failed.count(), 1);
    assert_eq!(place_unless_failing(&mut allocator, true, now), key(1));
}

#[test]
fn where_all_workers_fail_requests_are_still_served() {
    let mut allocator = SlotAllocator::default();
    for worker in 0..2 {
        allocator.record_failure(key(worker), SETTLED);
    }
    assert_eq!(place_unless_failing(&mut allocator, false, SETTLED), key(0));
}

#[test]
fn items_are_granted_no_slot_of_a_failing_worker() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), waiting(9, 1_000), Duration::ZERO);
    allocator.apply_report(
        gateway(1),
        SlotReport {
            number: 2,
            ..waiting(9, 1_000)
        },
        SETTLED,
    );
    allocator.record_failure(key(0), SETTLED);
    let grants = allocator.grant(&workers(2), 0.0, SETTLED);
    assert_eq!(grants.len() as u32, SLOTS);
    assert!(grants.iter().all(|grant| grant.worker == key(1)));
}
