//! Tests when a request without a worker retries placement, and when refused callers should retry.

use std::time::Duration;

use proptest::prelude::*;
use swiftshunt_scheduler::admission::{
    Decision, Obstacle, Situation, decide, retry_after_elsewhere, retry_after_log_outage,
    retry_after_route_limit, retry_after_startup,
};
use test_case::test_case;

const MEAN_DRAW: f64 = 0.5;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn situation(obstacle: Obstacle, time_left: u64) -> Situation {
    Situation {
        obstacle,
        waited: ms(200),
        time_left: ms(time_left),
        slot_time: ms(700),
        slots: 28,
    }
}

/// A refusal costs the caller one of its attempts, so a request waits for full workers for one slot
/// time, however much of its latency objective has passed.
#[test]
fn a_request_waits_for_full_workers_for_one_slot_time() {
    let full = |waited, time_left| {
        let situation = Situation {
            waited: ms(waited),
            ..situation(Obstacle::Full, time_left)
        };
        decide(&situation, MEAN_DRAW)
    };
    assert_eq!(full(0, 5_000), Decision::AskAgain(ms(25)));
    assert_eq!(full(690, 5_000), Decision::AskAgain(ms(25)));
    assert_eq!(full(700, 5_000), Decision::Refuse(ms(700)));
}

#[test]
fn a_request_that_would_miss_its_deadline_is_refused_at_once() {
    let wait = decide(&situation(Obstacle::Full, 730), MEAN_DRAW);
    assert_eq!(wait, Decision::AskAgain(ms(25)));
    let refuse = decide(&situation(Obstacle::Full, 720), MEAN_DRAW);
    assert_eq!(refuse, Decision::Refuse(ms(240)));
}

#[test_case(Obstacle::NoWorker, 800; "no worker is listed")]
#[test_case(Obstacle::Unreachable, 100; "no worker is reachable from this node")]
fn a_request_without_reachable_workers_is_refused_at_once(obstacle: Obstacle, retry_after: u64) {
    let decision = decide(&situation(obstacle, 5_000), MEAN_DRAW);
    assert_eq!(decision, Decision::Refuse(ms(retry_after)));
}

/// Retry-After grows with the age of an outage, within the caller's remaining time.
#[test]
fn retry_after_follows_the_age_of_an_outage() {
    let times = [0, 500, 1_000, 2_000]
        .map(|outage_age| retry_after_log_outage(ms(outage_age), ms(8_000), MEAN_DRAW));
    assert_eq!(times, [250, 500, 1_000, 2_000].map(ms));
    // A caller with enough time left is refused once for each doubling of the outage's age.
    let refusals = |outage: u64| {
        let (mut outage_age, mut refusals) = (200, 0);
        while outage_age < outage {
            refusals += 1;
            outage_age +=
                retry_after_log_outage(ms(outage_age), ms(60_000), MEAN_DRAW).as_millis() as u64;
        }
        refusals
    };
    assert_eq!([1_000, 7_000, 14_000].map(refusals), [3, 5, 6]);
}

#[test]
fn retry_after_of_a_starting_gateway_ends_when_it_serves() {
    assert_eq!(retry_after_startup(ms(100), MEAN_DRAW), ms(800));
    assert_eq!(retry_after_startup(ms(850), MEAN_DRAW), ms(250));
    assert_eq!(retry_after_startup(ms(4_900), MEAN_DRAW), ms(4_000));
}

proptest! {
    /// No Retry-After takes more than a third of a caller's remaining time, and callers with
    /// different draws get different times.
    #[test]
    fn retry_after_fits_the_remaining_time_and_is_jittered(outage_age in 0_u64..60_000, left in 0_u64..60_000, draws in (0.0..0.4_f64, 0.6..1.0_f64)) {
        let (one, other) = draws;
        for time in [retry_after_log_outage(ms(outage_age), ms(left), other), retry_after_route_limit(ms(left), other)] {
            prop_assert!(time <= ms(left) / 3);
        }
        prop_assert!(retry_after_elsewhere(one) < retry_after_elsewhere(other));
        prop_assert!(retry_after_log_outage(ms(outage_age), ms(1 << 40), one) < retry_after_log_outage(ms(outage_age), ms(1 << 40), other));
    }
}
