//! Fitness of a gateway to hold leases.

use std::time::Duration;

use swiftshunt_scheduler::lease_fitness::{PeerReach, ServiceReach, absence_after};
use swiftshunt_scheduler::slots::WorkerKey;
use test_case::test_case;

/// Ready workers of the service.
const READY: usize = 8;

fn worker(number: u32) -> WorkerKey {
    WorkerKey::of(&format!("engine-{number}"))
}

/// Returns the reach of a gateway whose sends fail once in `interval` at `workers` workers in turn, and the time of the last
/// failure.
fn failing(sends: u32, workers: u32, interval: Duration) -> (ServiceReach, Duration) {
    let mut reach = ServiceReach::default();
    let mut now = Duration::from_secs(100);
    for send in 0..sends {
        now += interval;
        reach.record_failure(worker(send % workers), now);
    }
    (reach, now)
}

#[test]
fn a_gateway_whose_sends_fail_at_many_workers_for_seconds_is_unanswered() {
    let (reach, now) = failing(6, 4, Duration::from_millis(700));
    assert!(reach.is_unanswered(READY, now));
}

#[test]
fn a_burst_of_failures_does_not_show_that_a_gateway_reaches_no_worker() {
    let (reach, now) = failing(40, 8, Duration::from_millis(20));
    assert!(!reach.is_unanswered(READY, now));
}

#[test]
fn bursts_of_failures_while_workers_are_avoided_in_between_are_one_sequence() {
    let (mut reach, now) = failing(6, 4, Duration::from_millis(1));
    let now = now + Duration::from_millis(3_200);
    reach.record_failure(worker(0), now);
    assert!(reach.is_unanswered(READY, now));
}

#[test]
fn failures_at_few_of_many_workers_do_not_show_that_a_gateway_reaches_no_worker() {
    let (reach, now) = failing(20, 2, Duration::from_millis(400));
    assert!(!reach.is_unanswered(READY, now));
    assert!(reach.is_unanswered(2, now));
}

#[test]
fn an_answer_ends_a_sequence_of_failures() {
    let (mut reach, now) = failing(12, 4, Duration::from_millis(700));
    reach.record_answer(now);
    reach.record_failure(worker(1), now + Duration::from_secs(1));
    let now = now + Duration::from_secs(1);
    assert!(!reach.is_unanswered(READY, now));
}

#[test]
fn failures_of_long_ago_do_not_show_that_a_gateway_reaches_no_worker_now() {
    let (mut reach, now) = failing(12, 4, Duration::from_millis(700));
    let later = now + Duration::from_secs(60);
    assert!(!reach.is_unanswered(READY, later));
    reach.record_failure(worker(1), later);
    assert!(!reach.is_unanswered(READY, later));
}

#[test]
fn a_gateway_that_reaches_no_worker_again_and_again_stays_away_longer() {
    assert!(absence_after(1) > absence_after(0));
    assert_eq!(absence_after(60), absence_after(6));
}

/// A gateway that got an answer `answered` ago and none to a send `failed` ago.
fn peer(answered: Option<u64>, failed: Option<u64>) -> PeerReach {
    PeerReach {
        answered_age: answered.map(Duration::from_millis),
        failed_age: failed.map(Duration::from_millis),
    }
}

#[test_case(&[], false; "nobody to compare with")]
#[test_case(&[peer(Some(200), None)], true; "another gateway gets answers")]
#[test_case(&[peer(None, Some(100)), peer(Some(200), Some(50))], true; "one of the others gets answers")]
#[test_case(&[peer(Some(60_000), Some(100))], false; "the sends of others fail as well")]
#[test_case(&[peer(Some(60_000), None)], false; "others have not tried")]
#[test_case(&[peer(Some(4_000), Some(100))], false; "others got answers when the failures began")]
fn a_gateway_is_at_fault_only_if_others_fare_better(peers: &[PeerReach], is_own_fault: bool) {
    let (reach, now) = failing(8, 4, Duration::from_millis(700));
    assert_eq!(reach.is_own_fault(peers, now), is_own_fault);
}

#[test]
fn a_gateway_whose_sends_fail_for_long_lets_others_try() {
    let (reach, now) = failing(30, 4, Duration::from_millis(700));
    assert!(reach.is_own_fault(&[peer(None, None)], now));
    assert!(!reach.is_own_fault(&[peer(None, Some(100))], now));
}
