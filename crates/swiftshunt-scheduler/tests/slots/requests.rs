//! Where requests go, and which items step aside for them.

use std::time::Duration;

use swiftshunt_scheduler::slots::allocator::{PlacementError, PlacementRequest, SlotAllocator};

use crate::support::{
    RATES, SETTLED, bids, gateway, held, key, place, place_at, placement_request, report, waiting,
    workers,
};

#[test]
fn a_request_goes_where_a_slot_is_free() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), report(1, 0, &[(0, held(4, 0))]), SETTLED);
    allocator.apply_report(gateway(2), report(1, 0, &[(1, held(2, 1))]), SETTLED);
    let placed = place(&mut allocator, 3, &[0, 0]);
    let placed = placed.expect("a worker");
    assert_eq!(placed.worker, key(1));
    assert!(!placed.waits);
    assert_eq!(placed.preempted_gateway, None);
}

#[test]
fn what_speaks_against_a_free_worker_is_weighed_against_a_slot() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), report(1, 0, &[(0, held(3, 1))]), SETTLED);
    // Reading 400 ms more at the free worker is worse than an item's way out of the full one.
    let placed = place(&mut allocator, 2, &[0, 400]);
    assert_eq!(placed.expect("a worker").worker, key(0));
}

#[test]
fn exactly_one_item_steps_aside_for_each_request_that_would_wait() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), report(1, 0, &[(0, held(2, 2))]), SETTLED);
    let mut place = || {
        let placed = place(&mut allocator, 2, &[0]);
        placed.expect("a worker")
    };
    assert_eq!(place().preempted_gateway, Some(gateway(1)));
    assert_eq!(place().preempted_gateway, Some(gateway(1)));
    let third = place();
    assert_eq!(third.preempted_gateway, None, "no item is left");
    assert!(third.waits);
}

#[test]
fn a_request_that_would_wait_is_told_so_if_it_may_go_elsewhere() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), report(1, 0, &[(0, held(4, 0))]), SETTLED);
    let mut place = |may_wait| {
        let bids = bids(&[0]);
        let request = PlacementRequest {
            may_wait,
            ..placement_request(&bids)
        };
        allocator.place(gateway(2), &request, &workers(1), &RATES, SETTLED)
    };
    assert_eq!(place(false), Err(PlacementError::Full));
    assert!(place(true).expect("a worker").waits);
    let mut unknown = SlotAllocator::default();
    let none = unknown.place(
        gateway(2),
        &placement_request(&bids(&[0])),
        &[],
        &RATES,
        SETTLED,
    );
    assert_eq!(none, Err(PlacementError::NoWorker));
}

#[test]
fn a_gateway_gives_up_its_own_item_first() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), report(1, 0, &[(0, held(0, 3))]), SETTLED);
    allocator.apply_report(gateway(2), report(1, 0, &[(0, held(0, 1))]), SETTLED);
    let placed = place(&mut allocator, 2, &[0]);
    assert_eq!(
        placed.expect("a worker").preempted_gateway,
        Some(gateway(2))
    );
}

#[test]
fn an_order_that_was_lost_is_given_again() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), report(1, 0, &[(0, held(3, 1))]), SETTLED);
    let mut now = SETTLED;
    let first = place_at(&mut allocator, 2, &[0], now);
    assert_eq!(first.expect("a worker").preempted_gateway, Some(gateway(1)));
    now += Duration::from_millis(300);
    allocator.apply_report(gateway(2), report(1, 1, &[(0, held(1, 0))]), now);
    let second = place_at(&mut allocator, 2, &[0], now);
    assert_eq!(
        second.expect("a worker").preempted_gateway,
        Some(gateway(1))
    );
}

/// Found by a test with real processes: a new owner had granted items slots that another gateway's
/// items held, and a stream waited behind the surplus until an item ended.
#[test]
fn items_leave_a_worker_that_holds_more_than_its_slots() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), report(1, 0, &[(0, held(1, 3))]), SETTLED);
    assert_eq!(allocator.preempt_surplus(&workers(1), SETTLED), []);
    // Two gateways whose requests and items did not know of each other.
    allocator.apply_report(gateway(2), report(1, 0, &[(0, held(1, 1))]), SETTLED);
    let orders = allocator.preempt_surplus(&workers(1), SETTLED);
    assert_eq!(orders, [(gateway(1), key(0)), (gateway(1), key(0))]);
    assert_eq!(
        allocator.preempt_surplus(&workers(1), SETTLED),
        [],
        "told twice"
    );
    allocator.apply_report(gateway(1), report(2, 0, &[(0, held(1, 1))]), SETTLED);
    assert_eq!(
        allocator.preempt_surplus(&workers(1), SETTLED),
        [],
        "it fits"
    );
}

#[test]
fn an_order_of_relief_that_was_lost_is_given_again() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), report(1, 0, &[(0, held(4, 1))]), SETTLED);
    assert_eq!(
        allocator.preempt_surplus(&workers(1), SETTLED),
        [(gateway(1), key(0))]
    );
    let later = SETTLED + Duration::from_millis(300);
    assert_eq!(
        allocator.preempt_surplus(&workers(1), later),
        [(gateway(1), key(0))]
    );
}

#[test]
fn requests_that_wait_without_an_item_at_their_worker_move_nobody() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(
        gateway(1),
        report(1, 0, &[(0, held(7, 0)), (1, held(0, 4))]),
        SETTLED,
    );
    assert_eq!(allocator.preempt_surplus(&workers(2), SETTLED), []);
}

/// A peak of a few seconds: four slots, a request of one second each, and a queue in the worker.
#[test]
fn a_request_that_would_be_late_by_its_wait_is_not_put_behind_others() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), report(1, 0, &[(0, held(5, 0))]), SETTLED);
    let bids = bids(&[0]);
    let mut place = |max_wait: Option<u64>| {
        let request = PlacementRequest {
            max_wait: max_wait.map(Duration::from_millis),
            ..placement_request(&bids)
        };
        allocator.place(gateway(2), &request, &workers(1), &RATES, SETTLED)
    };
    let slot = RATES.slot_ms as u64 / 4;
    // One waits before it: it is the second for whom a slot must come free.
    assert_eq!(place(Some(0)), Err(PlacementError::Full));
    assert_eq!(place(Some(slot)), Err(PlacementError::Full));
    assert!(place(Some(2 * slot)).expect("a worker").waits);
    // That one waits there now, too.
    assert_eq!(place(Some(2 * slot)), Err(PlacementError::Full));
    assert!(place(Some(3 * slot)).expect("a worker").waits);
    assert!(place(None).expect("a worker").waits);
}

#[test]
fn a_late_request_takes_the_slot_of_an_item_and_a_free_one() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(
        gateway(1),
        report(1, 0, &[(0, held(3, 1)), (1, held(3, 0))]),
        SETTLED,
    );
    let bids = bids(&[0, 0]);
    let request = PlacementRequest {
        max_wait: Some(Duration::ZERO),
        ..placement_request(&bids)
    };
    let free = allocator.place(gateway(2), &request, &workers(2), &RATES, SETTLED);
    assert_eq!(free.expect("a worker").worker, key(1));
    let of_item = allocator.place(gateway(2), &request, &workers(2), &RATES, SETTLED);
    assert_eq!(
        of_item.expect("a worker").preempted_gateway,
        Some(gateway(1))
    );
    let full = allocator.place(gateway(2), &request, &workers(2), &RATES, SETTLED);
    assert_eq!(full, Err(PlacementError::Full));
}

/// Free slots are for those that were turned away a moment ago, before items.
#[test]
fn items_get_no_slot_while_late_requests_wait_for_one() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), report(1, 0, &[(0, held(4, 0))]), SETTLED);
    let bids = bids(&[0]);
    let request = PlacementRequest {
        max_wait: Some(Duration::ZERO),
        ..placement_request(&bids)
    };
    let now = SETTLED + Duration::from_secs(1);
    allocator.apply_report(gateway(1), report(2, 0, &[(0, held(4, 0))]), now);
    let full = allocator.place(gateway(2), &request, &workers(1), &RATES, now);
    assert_eq!(full, Err(PlacementError::Full));
    allocator.apply_report(gateway(1), report(3, 0, &[]), now);
    allocator.apply_report(gateway(3), waiting(5, 1_000), now);
    assert_eq!(allocator.grant(&workers(1), 0.0, now), []);
    let later = now + Duration::from_millis(200);
    assert_eq!(allocator.grant(&workers(1), 0.0, later).len(), 4);
}
