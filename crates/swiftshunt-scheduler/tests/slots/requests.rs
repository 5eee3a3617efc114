//! Placement of requests, and preemption of batch items for them.

use std::time::Duration;

use swiftshunt_scheduler::slots::allocator::{PlacementError, PlacementRequest, SlotAllocator};

use crate::support::{
    RATES, SETTLED, bids, gateway, held, key, place, place_at, placement_request, report, waiting,
    workers,
};

#[test]
fn a_request_goes_to_a_worker_with_a_free_slot() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), report(1, 0, &[(0, held(4, 0))]), SETTLED);
    allocator.apply_report(gateway(2), report(1, 0, &[(1, held(2, 1))]), SETTLED);
    let placed = place(&mut allocator, 3, &[0, 0]);
    let placed = placed.expect("the request should get a worker");
    assert_eq!(placed.worker, key(1));
    assert!(!placed.waits);
    assert_eq!(placed.preempted_gateway, None);
}

#[test]
fn the_bid_of_a_free_worker_is_weighed_against_a_preemption() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), report(1, 0, &[(0, held(3, 1))]), SETTLED);
    // A further 400 ms at the free worker cost more than a preemption at the full one.
    let placed = place(&mut allocator, 2, &[0, 400]);
    assert_eq!(
        placed.expect("the request should get a worker").worker,
        key(0)
    );
}

#[test]
fn exactly_one_item_is_preempted_for_each_request_that_would_wait() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), report(1, 0, &[(0, held(2, 2))]), SETTLED);
    let mut place = || {
        let placed = place(&mut allocator, 2, &[0]);
        placed.expect("the request should get a worker")
    };
    assert_eq!(place().preempted_gateway, Some(gateway(1)));
    assert_eq!(place().preempted_gateway, Some(gateway(1)));
    let third = place();
    assert_eq!(
        third.preempted_gateway, None,
        "an item was preempted although none is left"
    );
    assert!(third.waits);
}

#[test]
fn a_request_that_may_not_wait_is_refused_as_full() {
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
    assert!(place(true).expect("the request should get a worker").waits);
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
fn an_item_of_the_requesting_gateway_is_preempted_first() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), report(1, 0, &[(0, held(0, 3))]), SETTLED);
    allocator.apply_report(gateway(2), report(1, 0, &[(0, held(0, 1))]), SETTLED);
    let placed = place(&mut allocator, 2, &[0]);
    assert_eq!(
        placed
            .expect("the request should get a worker")
            .preempted_gateway,
        Some(gateway(2))
    );
}

#[test]
fn a_lost_preemption_order_is_repeated() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), report(1, 0, &[(0, held(3, 1))]), SETTLED);
    let mut now = SETTLED;
    let first = place_at(&mut allocator, 2, &[0], now);
    assert_eq!(
        first
            .expect("the request should get a worker")
            .preempted_gateway,
        Some(gateway(1))
    );
    now += Duration::from_millis(300);
    allocator.apply_report(gateway(2), report(1, 1, &[(0, held(1, 0))]), now);
    let second = place_at(&mut allocator, 2, &[0], now);
    assert_eq!(
        second
            .expect("the request should get a worker")
            .preempted_gateway,
        Some(gateway(1))
    );
}

/// A new owner grants slots that another gateway's items hold, so a stream waits behind the surplus
/// until an item ends. The surplus must be preempted.
#[test]
fn surplus_items_of_an_overloaded_worker_are_preempted() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), report(1, 0, &[(0, held(1, 3))]), SETTLED);
    assert_eq!(allocator.preempt_surplus(&workers(1), SETTLED), []);
    // The two gateways' requests and items were placed without knowledge of each other.
    allocator.apply_report(gateway(2), report(1, 0, &[(0, held(1, 1))]), SETTLED);
    let orders = allocator.preempt_surplus(&workers(1), SETTLED);
    assert_eq!(orders, [(gateway(1), key(0)), (gateway(1), key(0))]);
    assert_eq!(
        allocator.preempt_surplus(&workers(1), SETTLED),
        [],
        "the order was repeated too early"
    );
    allocator.apply_report(gateway(1), report(2, 0, &[(0, held(1, 1))]), SETTLED);
    assert_eq!(
        allocator.preempt_surplus(&workers(1), SETTLED),
        [],
        "an item was preempted although the load fits"
    );
}

#[test]
fn a_lost_order_to_preempt_surplus_is_repeated() {
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
fn requests_that_wait_preempt_no_item_at_another_worker() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(
        gateway(1),
        report(1, 0, &[(0, held(7, 0)), (1, held(0, 4))]),
        SETTLED,
    );
    assert_eq!(allocator.preempt_surplus(&workers(2), SETTLED), []);
}

/// In a peak of a few seconds, with four slots and requests that each take `slot_ms`, a queue forms
/// at the worker. A request that would wait too long there must be refused.
#[test]
fn a_request_whose_wait_would_be_too_long_is_refused() {
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
    // One request waits already, so this one gets the second slot that becomes free.
    assert_eq!(place(Some(0)), Err(PlacementError::Full));
    assert_eq!(place(Some(slot)), Err(PlacementError::Full));
    assert!(
        place(Some(2 * slot))
            .expect("the request should get a worker")
            .waits
    );
    // The request placed before waits there now, too.
    assert_eq!(place(Some(2 * slot)), Err(PlacementError::Full));
    assert!(
        place(Some(3 * slot))
            .expect("the request should get a worker")
            .waits
    );
    assert!(place(None).expect("the request should get a worker").waits);
}

#[test]
fn a_request_that_cannot_wait_long_takes_a_free_slot_or_preempts_an_item() {
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
    assert_eq!(
        free.expect("the request should get a worker").worker,
        key(1)
    );
    let preempting = allocator.place(gateway(2), &request, &workers(2), &RATES, SETTLED);
    assert_eq!(
        preempting
            .expect("the request should get a worker")
            .preempted_gateway,
        Some(gateway(1))
    );
    let full = allocator.place(gateway(2), &request, &workers(2), &RATES, SETTLED);
    assert_eq!(full, Err(PlacementError::Full));
}

/// A request that was refused a moment ago is retried and must get the next free slot before batch
/// items.
#[test]
fn batch_items_get_no_slot_shortly_after_a_request_was_refused() {
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
