//! Assignments and reports that are lost, late or doubled.

use std::time::Duration;

use swiftshunt_scheduler::slots::SlotReport;
use swiftshunt_scheduler::slots::allocator::{Load, SlotAllocator};

use crate::support::{SETTLED, gateway, held, key, place, report};

#[test]
fn an_assignment_counts_at_once_and_only_until_it_is_reported_or_lost() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), report(1, 0, &[]), SETTLED);
    let placed = place(&mut allocator, 1, &[0]);
    let number = placed.expect("a worker").number;
    assert_eq!(allocator.load(key(0)).taken(), 1);
    allocator.apply_report(gateway(1), report(2, number, &[(0, held(1, 0))]), SETTLED);
    assert_eq!(allocator.load(key(0)).taken(), 1, "counted twice");
    let lost = place(&mut allocator, 1, &[0]);
    assert!(lost.is_ok());
    assert_eq!(allocator.load(key(0)).taken(), 2);
    allocator.expire(SETTLED + Duration::from_millis(400));
    assert_eq!(allocator.load(key(0)).taken(), 1, "it was lost on the way");
}

#[test]
fn a_report_that_comes_late_or_twice_changes_nothing() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), report(2, 0, &[(0, held(1, 0))]), SETTLED);
    allocator.apply_report(gateway(1), report(1, 0, &[(0, held(4, 0))]), SETTLED);
    allocator.apply_report(gateway(1), report(2, 0, &[(0, held(1, 0))]), SETTLED);
    assert_eq!(allocator.load(key(0)).taken(), 1);
}

#[test]
fn a_gateway_that_started_again_is_believed_anew() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), report(900, 0, &[(0, held(4, 0))]), SETTLED);
    let after = SlotReport {
        life: 2,
        ..report(1, 0, &[])
    };
    allocator.apply_report(gateway(1), after, SETTLED);
    assert_eq!(allocator.load(key(0)), Load::default());
}

#[test]
fn what_a_silent_gateway_held_counts_no_more() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), report(1, 0, &[(0, held(4, 0))]), SETTLED);
    let later = SETTLED + Duration::from_secs(2);
    assert!(allocator.has_no_recent_reports(later));
    allocator.expire(later);
    assert_eq!(allocator.load(key(0)), Load::default());
}
