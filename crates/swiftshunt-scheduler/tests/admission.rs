//! When a request goes on looking for a worker, and when refused callers come back.

use std::time::Duration;

use proptest::prelude::*;
use swiftshunt_scheduler::admission::{
    Decision, Obstacle, Situation, decide, retry_after_elsewhere, retry_after_log_outage,
    retry_after_route_limit, retry_after_startup,
};
use test_case::test_case;

const MIDDLE: f64 = 0.5;

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

/// However much of the objective is over: a caller that is refused has one try less.
#[test]
fn a_request_waits_for_full_workers_until_their_slots_have_turned_over() {
    let full = |waited, time_left| {
        let situation = Situation {
            waited: ms(waited),
            ..situation(Obstacle::Full, time_left)
        };
        decide(&situation, MIDDLE)
    };
    assert_eq!(full(0, 5_000), Decision::AskAgain(ms(25)));
    assert_eq!(full(690, 5_000), Decision::AskAgain(ms(25)));
    assert_eq!(full(700, 5_000), Decision::Refuse(ms(700)));
}

#[test]
fn a_request_that_would_not_be_done_in_its_time_is_refused_at_once() {
    let wait = decide(&situation(Obstacle::Full, 730), MIDDLE);
    assert_eq!(wait, Decision::AskAgain(ms(25)));
    let refuse = decide(&situation(Obstacle::Full, 720), MIDDLE);
    assert_eq!(refuse, Decision::Refuse(ms(240)));
}

#[test_case(Obstacle::NoWorker, 800; "no worker is listed")]
#[test_case(Obstacle::Unreachable, 100; "none is reached from here")]
fn what_cannot_be_served_here_is_refused_at_once(obstacle: Obstacle, come_back: u64) {
    let decision = decide(&situation(obstacle, 5_000), MIDDLE);
    assert_eq!(decision, Decision::Refuse(ms(come_back)));
}

/// Callers who were refused come back ever later while an outage lasts, within their time.
#[test]
fn come_back_times_follow_the_age_of_an_outage() {
    let times =
        [0, 500, 1_000, 2_000].map(|age| retry_after_log_outage(ms(age), ms(8_000), MIDDLE));
    assert_eq!(times, [250, 500, 1_000, 2_000].map(ms));
    // A caller that has the time for it is refused as often as the age doubles.
    let refusals = |outage: u64| {
        let (mut age, mut refusals) = (200, 0);
        while age < outage {
            refusals += 1;
            age += retry_after_log_outage(ms(age), ms(60_000), MIDDLE).as_millis() as u64;
        }
        refusals
    };
    assert_eq!([1_000, 7_000, 14_000].map(refusals), [3, 5, 6]);
}

#[test]
fn callers_of_a_gateway_that_starts_come_back_when_it_serves() {
    assert_eq!(retry_after_startup(ms(100), MIDDLE), ms(800));
    assert_eq!(retry_after_startup(ms(850), MIDDLE), ms(250));
    assert_eq!(retry_after_startup(ms(4_900), MIDDLE), ms(4_000));
}

proptest! {
    /// No come-back time takes more than a third of a caller's time, and those of two callers
    /// differ.
    #[test]
    fn come_back_times_fit_and_spread(age in 0_u64..60_000, left in 0_u64..60_000, draws in (0.0..0.4_f64, 0.6..1.0_f64)) {
        let (one, other) = draws;
        for time in [retry_after_log_outage(ms(age), ms(left), other), retry_after_route_limit(ms(left), other)] {
            prop_assert!(time <= ms(left) / 3);
        }
        prop_assert!(retry_after_elsewhere(one) < retry_after_elsewhere(other));
        prop_assert!(retry_after_log_outage(ms(age), ms(1 << 40), one) < retry_after_log_outage(ms(age), ms(1 << 40), other));
    }
}
