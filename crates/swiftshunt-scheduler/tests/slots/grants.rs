//! Slots granted to batch items in order of urgency.

use std::net::SocketAddr;
use std::time::Duration;

use swiftshunt_scheduler::slots::allocator::{PlacementError, SlotAllocator};
use swiftshunt_scheduler::slots::{Bid, CellWorker, ItemTimes, Rank, SlotReport};
use test_case::test_case;

use crate::support::{SETTLED, SLOTS, gateway, held, key, rank, report, waiting, workers};

#[test]
fn grants_go_to_the_most_urgent_items_and_leave_reserved_slots_free() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), waiting(5, 9_000), Duration::ZERO);
    allocator.apply_report(gateway(2), waiting(2, 1_000), Duration::ZERO);
    assert!(
        allocator
            .grant(&workers(2), 0.25, Duration::ZERO)
            .is_empty(),
        "slots were granted before all gateways had time to report"
    );
    let grants = allocator.grant(&workers(2), 0.25, SETTLED);
    // A quarter of the eight slots stays free.
    assert_eq!(grants.len(), 6);
    let to: Vec<SocketAddr> = grants.iter().map(|grant| grant.to).collect();
    assert_eq!(to[..2], [gateway(2), gateway(2)]);
    assert_eq!(to[2..], [gateway(1); 4]);
    let at = |number| grants.iter().filter(|it| it.worker == key(number)).count();
    assert_eq!(
        [at(0), at(1)],
        [3, 3],
        "grants are not spread over the workers"
    );
    assert!(allocator.grant(&workers(2), 0.25, SETTLED).is_empty());
}

/// Slots of workers that accept no items are not there to be kept free.
#[test_case(1, 1, 1; "a service with a single slot")]
#[test_case(2, 1, 1; "one of two workers with a slot each accepts items")]
#[test_case(2, 2, 1; "both of two workers with a slot each accept items")]
fn reserved_slots_never_leave_items_without_any(listed: u64, accepting: u64, granted: usize) {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), waiting(5, 9_000), Duration::ZERO);
    let workers = workers(listed).into_iter().zip(0..);
    let workers: Vec<CellWorker> = workers
        .map(|(worker, number)| CellWorker {
            slots: 1,
            accepts_batch: number < accepting,
            ..worker
        })
        .collect();
    let grants = allocator.grant(&workers, 0.05, SETTLED);
    assert_eq!(grants.len(), granted);
}

/// The item is due at 18 s, expires at 58 s and is expected to run for 5 s.
#[test_case(0, false; "in time")]
#[test_case(14, false; "possibly in time")]
#[test_case(16, true; "late in any case")]
#[test_case(30, true; "late")]
#[test_case(40, false; "late for a long time")]
fn late_items_rank_last_until_half_of_their_remaining_time_has_passed(now: u64, is_late: bool) {
    let times = ItemTimes {
        due_at: Duration::from_secs(18),
        expires_at: Duration::from_secs(58),
        expected_run: Duration::from_secs(5),
    };
    assert_eq!(times.rank(Duration::from_secs(now)).is_late, is_late);
}

#[test]
fn an_item_that_can_be_in_time_is_granted_before_a_late_one() {
    let late = Rank {
        is_late: true,
        due_in_ms: -4_000,
    };
    assert!(rank(9_000) < late);
    let mut allocator = SlotAllocator::default();
    let mut late_report = waiting(1, 0);
    late_report.waiting.first = late;
    allocator.apply_report(gateway(1), late_report, SETTLED);
    allocator.apply_report(gateway(2), waiting(1, 9_000), SETTLED);
    let grants = allocator.grant(&workers(1), 0.0, SETTLED + SETTLED / 2);
    assert_eq!(grants[0].to, gateway(2));
}

#[test]
fn no_slot_is_granted_at_a_worker_that_reports_more_load_or_is_silent() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), waiting(9, 0), Duration::ZERO);
    let mut cell = workers(2);
    cell[0].reported_load = Some(SLOTS);
    cell[1].accepts_batch = false;
    assert!(allocator.grant(&cell, 0.0, SETTLED).is_empty());
}

/// Two workers with four slots each; a quarter of the slots stays free.
#[test]
fn an_item_bound_to_some_workers_gets_only_their_free_slots_and_leaves_the_reserve() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), report(1, 0, &[(1, held(0, 3))]), Duration::ZERO);
    let bound_to = |number| Bid {
        worker: key(number),
        cost_ms: 0,
    };
    let mut grant = |number| {
        allocator.apply_report(gateway(2), report(1, 0, &[]), SETTLED);
        allocator.grant_among(gateway(2), &[bound_to(number)], &workers(2), 0.25, SETTLED)
    };
    assert_eq!(grant(1).map(|granted| granted.worker), Ok(key(1)));
    assert_eq!(
        grant(1),
        Err(PlacementError::Full),
        "the worker has no free slot"
    );
    assert_eq!(grant(7), Err(PlacementError::NoWorker));
    for _ in 0..2 {
        assert_eq!(grant(0).map(|granted| granted.worker), Ok(key(0)));
    }
    assert_eq!(grant(0), Err(PlacementError::Full), "the reserve is used");
}

#[test]
fn an_item_bound_to_some_workers_preempts_no_other_item() {
    let mut allocator = SlotAllocator::default();
    let full = report(1, 0, &[(0, held(0, SLOTS))]);
    allocator.apply_report(gateway(1), full.clone(), Duration::ZERO);
    allocator.apply_report(gateway(1), SlotReport { number: 2, ..full }, SETTLED);
    let bid = Bid {
        worker: key(0),
        cost_ms: 0,
    };
    let granted = allocator.grant_among(gateway(2), &[bid], &workers(2), 0.0, SETTLED);
    assert_eq!(granted, Err(PlacementError::Full));
    assert_eq!(allocator.load(key(0)).batch, SLOTS);
}
