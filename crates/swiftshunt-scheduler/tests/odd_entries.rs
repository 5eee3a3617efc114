//! Directory entries and configurations whose numbers are out of range.

use std::time::Duration;

use swiftshunt_scheduler::cold::ColdBound;
use swiftshunt_scheduler::cold::permit_rate::{PermitBucket, PermitRate};
use swiftshunt_scheduler::directory::{Availability, WorkerEntry, WorkerLife};
use swiftshunt_scheduler::selection::Selector;

/// Age of the process.
const NOW: Duration = Duration::from_secs(7_200);

fn entry(cold_left: Duration) -> WorkerEntry {
    let life = WorkerLife {
        id: "worker".to_owned(),
        started_unix_ms: None,
    };
    WorkerEntry {
        incarnation: life.incarnation(),
        life,
        service: "s".to_owned(),
        address: "127.0.0.1:1".parse().expect("parse the worker's address"),
        zone: "z".to_owned(),
        software: "v1".into(),
        slots: 4,
        availability: Availability::Ready,
        cold_left,
    }
}

#[test]
fn an_entry_that_is_cold_for_the_longest_time_overflows_no_clock() {
    let mut selector = Selector::new("z");
    let longest = entry(Duration::MAX);
    selector.apply_entry(longest.clone(), NOW);
    assert!(!selector.extends_cold_period(&longest, NOW));
    selector.apply_entry(longest, NOW);
    selector.apply_entry(entry(Duration::ZERO), NOW);
    assert!(selector.extends_cold_period(&entry(Duration::MAX), NOW));
}

#[test]
fn a_cold_worker_with_hardly_any_requests_a_second_overflows_no_wait() {
    let bound = ColdBound::new(Duration::from_secs(10), 1e-20, 1.0, 5.0);
    let rate = PermitRate::of_all(&bound);
    let mut bucket = PermitBucket::full(rate, NOW);
    while bucket.try_take(rate, NOW).is_ok() {}
    assert!(!bucket.has_permit(rate, NOW));
}
