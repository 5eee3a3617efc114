//! Lost, late and duplicate assignments and reports.

use std::time::Duration;

use swiftshunt_scheduler::slots::SlotReport;
use swiftshunt_scheduler::slots::allocator::{Load, SlotAllocator};

use crate::support::{SETTLED, gateway, held, key, place, report};

#[test]
fn an_assignment_counts_until_a_report_includes_it_or_it_expires() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), report(1, 0, &[]), SETTLED);
    let placed = place(&mut allocator, 1, &[0]);
    let number = placed.expect("the request should get a worker").number;
    assert_eq!(allocator.load(key(0)).taken(), 1);
    allocator.apply_report(gateway(1), report(2, number, &[(0, held(1, 0))]), SETTLED);
    assert_eq!(
        allocator.load(key(0)).taken(),
        1,
        "the assignment counts twice"
    );
    let lost = place(&mut allocator, 1, &[0]);
    assert!(lost.is_ok());
    assert_eq!(allocator.load(key(0)).taken(), 2);
    allocator.expire(SETTLED + Duration::from_millis(400));
    assert_eq!(
        allocator.load(key(0)).taken(),
        1,
        "a lost assignment still counts"
    );
}

#[test]
fn late_and_duplicate_reports_are_ignored() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), report(2, 0, &[(0, held(1, 0))]), SETTLED);
    allocator.apply_report(gateway(1), report(1, 0, &[(0, held(4, 0))]), SETTLED);
    allocator.apply_report(gateway(1), report(2, 0, &[(0, held(1, 0))]), SETTLED);
    assert_eq!(allocator.load(key(0)).taken(), 1);
}

#[test]
fn reports_of_a_restarted_gateway_replace_those_of_its_previous_life() {
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
fn slots_of_a_silent_gateway_expire() {
    let mut allocator = SlotAllocator::default();
    allocator.apply_report(gateway(1), report(1, 0, &[(0, held(4, 0))]), SETTLED);
    let later = SETTLED + Duration::from_secs(2);
    assert!(allocator.has_no_recent_reports(later));
    allocator.expire(later);
    assert_eq!(allocator.load(key(0)), Load::default());
}
