//! The tokens that wait on a route.

use std::time::Duration;

use swiftshunt_scheduler::waiting_tokens::{Admission, WaitingTokens};

const LIMIT: u64 = 1_000;
const NOW: Duration = Duration::from_secs(100);

#[test]
fn jobs_are_admitted_up_to_the_limit_and_counted_once() {
    let mut waiting = WaitingTokens::default();
    assert_eq!(waiting.admit("one", 600, LIMIT, NOW), Admission::Admitted);
    assert_eq!(waiting.admit("one", 600, LIMIT, NOW), Admission::Admitted);
    assert_eq!(waiting.admit("two", 500, LIMIT, NOW), Admission::Full);
    assert_eq!(waiting.admit("three", 400, LIMIT, NOW), Admission::Admitted);
    assert_eq!(waiting.waiting(NOW), LIMIT);
}

#[test]
fn an_admission_counts_until_the_report_must_show_it() {
    let mut waiting = WaitingTokens::default();
    waiting.admit("one", 600, LIMIT, NOW);
    let later = NOW + Duration::from_secs(2);
    waiting.report([(3, 600)], later);
    assert_eq!(waiting.waiting(later), 600);
    waiting.report([(3, 200)], later);
    assert_eq!(waiting.waiting(later), 200);
}

#[test]
fn a_partition_that_moves_is_counted_once_and_one_without_a_holder_still() {
    let mut waiting = WaitingTokens::default();
    waiting.report([(1, 500), (2, 300)], NOW);
    let later = NOW + Duration::from_secs(5);
    // Another holder reports one of them; the other has none yet.
    waiting.report([(1, 450)], later);
    assert_eq!(waiting.waiting(later), 750);
    assert_eq!(waiting.admit("job", 300, LIMIT, later), Admission::Full);
}

/// A caller may name any number of tokens: a job of that many does not fit, and makes no room for others.
#[test]
fn numbers_that_no_job_has_do_not_turn_over() {
    let mut waiting = WaitingTokens::default();
    let now = Duration::from_secs(1);
    assert_eq!(
        waiting.admit("huge", u64::MAX, u64::MAX, now),
        Admission::Admitted
    );
    assert_eq!(waiting.admit("next", 10, 1_000, now), Admission::Full);
    assert_eq!(
        waiting.admit("as huge", u64::MAX, u64::MAX - 1, now),
        Admission::Full
    );
}
