//! Placement and grants when sends to workers fail.

use std::time::Duration;

use swiftshunt_scheduler::slots::allocator::{PlacementRequest, SlotAllocator};
use swiftshunt_scheduler::slots::{SlotReport, WorkerKey};

use crate::support::{
    RATES, SETTLED, SLOTS, bids, gateway, key, placement_request, waiting, workers,
};

/// Places a request at two workers of which the first is cheaper.
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
    placed.expect("the request should get a worker").worker
}

/// After a failure seen by one gateway, the requests of all gateways avoid the worker, those that
/// may not be repeated for longer.
#[test]
fn requests_avoid_a_worker_that_failed_another_gateway() {
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
        assert_eq!(
            placed,
            key(worker),
            "after {ms} ms, may_repeat: {may_repeat}"
        );
    }
}

#[test]
fn repeated_failures_double_the_time_a_worker_is_avoided() {
    let mut allocator = SlotAllocator::default();
    let mut now = SETTLED;
    assert!(allocator.record_failure(key(0), now));
    assert!(
        !allocator.record_failure(key(0), now),
        "a failure of a request already running counted again"
    );
    now += Duration::from_millis(450);
    assert!(allocator.record_failure(key(0), now));
    now += Duration::from_millis(750);
    assert_eq!(place_unless_failing(&mut allocator, true, now), key(1));
    now += Duration::from_millis(100);
    assert_eq!(place_unless_failing(&mut allocator, true, now), key(0));
    // Failures from long ago do not lengthen the period.
    now += Duration::from_secs(10);
    assert!(allocator.record_failure(key(0), now));
    now += Duration::from_millis(450);
    assert_eq!(place_unless_failing(&mut allocator, true, now), key(0));
}

/// A worker that seldom loses an answer must not be avoided: the others could not take over its
/// load.
#[test]
fn rare_failures_do_not_exclude_a_worker() {
    let mut allocator = SlotAllocator::default();
    let mut now = SETTLED;
    for _ in 0..20 {
        now += Duration::from_millis(50);
        place_unless_failing(&mut allocator, false, now);
    }
    assert!(!allocator.record_failure(key(0), now));
    assert_eq!(place_unless_failing(&mut allocator, false, now), key(0));
    // A worker at which all running requests fail is avoided.
    let failed = (0..8).filter(|_| allocator.record_failure(key(0), now));
    assert_eq!(failed.count(), 1);
    assert_eq!(place_unless_failing(&mut allocator, true, now), key(1));
}

#[test]
fn requests_are_placed_even_if_all_workers_fail() {
    let mut allocator = SlotAllocator::default();
    for worker in 0..2 {
        allocator.record_failure(key(worker), SETTLED);
    }
    assert_eq!(place_unless_failing(&mut allocator, false, SETTLED), key(0));
}

#[test]
fn batch_items_get_no_slot_of_a_failing_worker() {
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
