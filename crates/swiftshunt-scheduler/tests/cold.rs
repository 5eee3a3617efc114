//! Which workers are cold, or may be, and what follows for placing and sending.

use std::time::Duration;

use swiftshunt_scheduler::cold::ColdBound;
use swiftshunt_scheduler::directory::{Availability, WorkerEntry, WorkerLife};
use swiftshunt_scheduler::selection::{AttemptOutcome, ChosenWorker, Class, Demand, Selector};
use swiftshunt_scheduler::slots::WorkerKey;
use swiftshunt_scheduler::warmup::WarmupState;
use swiftshunt_topology::Residency;

const START: Duration = Duration::from_secs(100);
/// When the entry of a worker listed at `START` is sure to tell whether it is cold.
const TOLD: Duration = Duration::from_secs(103);
const LASTS: Duration = Duration::from_secs(3);

fn bound() -> ColdBound {
    ColdBound::new(LASTS, 5.5, 1.5, 5.0)
}

fn entry(id: &str, cold_left: Duration) -> WorkerEntry {
    let life = WorkerLife {
        id: id.to_owned(),
        started_unix_ms: None,
    };
    WorkerEntry {
        incarnation: life.incarnation(),
        life,
        service: "s".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "a".to_owned(),
        slots: 4,
        availability: Availability::Ready,
        cold_left,
    }
}

fn selector() -> Selector {
    let mut selector = Selector::new("a");
    selector.set_cold_bound("s", Some(bound()));
    for id in ["one", "two"] {
        selector.apply_entry(entry(id, Duration::ZERO), START);
    }
    selector
}

fn demand() -> Demand {
    Demand {
        class: Class::Online,
        prompt: Vec::new(),
        prompt_tokens: 0,
        residency: Residency::anywhere(),
        salt: 1,
    }
}

fn choose(selector: &Selector, tried: &[&str], now: Duration) -> Option<ChosenWorker> {
    let tried: Vec<String> = tried.iter().map(|id| (*id).to_owned()).collect();
    selector.choose("s", &demand(), &tried, now)
}

fn one(selector: &Selector, now: Duration) -> ChosenWorker {
    choose(selector, &["two"], now).expect("a worker")
}

fn leaves(selector: &mut Selector, outcome: AttemptOutcome, now: Duration) {
    let chosen = one(selector, now);
    selector.record_send(&chosen, &demand(), now);
    selector.record_outcome(&chosen, Class::Online, outcome, false, Duration::ZERO, now);
}

#[test]
fn a_worker_that_was_just_listed_may_be_cold() {
    let selector = selector();
    assert_eq!(selector.warmup_state("one", START), WarmupState::Unknown);
    assert_eq!(
        selector.required_cold_bound(&one(&selector, START), START),
        Some(bound())
    );
    assert_eq!(selector.warmup_state("one", TOLD), WarmupState::Warm);
    assert_eq!(
        selector.required_cold_bound(&one(&selector, TOLD), TOLD),
        None
    );
}

#[test]
fn nothing_is_asked_for_where_no_cold_rate_is_known() {
    let mut selector = selector();
    selector.set_cold_bound("s", None);
    selector.apply_entry(entry("one", LASTS), START);
    assert_eq!(
        selector.required_cold_bound(&one(&selector, START), START),
        None
    );
}

#[test]
fn a_zone_whose_evacuation_was_withdrawn_may_be_cold() {
    let mut selector = selector();
    selector.evacuate("a", TOLD);
    let back = TOLD + Duration::from_secs(8);
    selector.withdraw_evacuation("a", back);
    assert_eq!(
        selector.warmup_state("one", back + LASTS),
        WarmupState::Unknown
    );
    let over = back + LASTS * 2;
    assert_eq!(selector.warmup_state("one", over), WarmupState::Warm);
}

#[test]
fn a_worker_that_could_not_be_reached_may_be_cold_until_it_has_answered_for_a_while() {
    for outcome in [
        AttemptOutcome::Unreachable,
        AttemptOutcome::Broken,
        AttemptOutcome::TimedOut,
    ] {
        let mut selector = selector();
        leaves(&mut selector, outcome, TOLD);
        let later = TOLD + Duration::from_secs(60);
        assert_eq!(selector.warmup_state("one", later), WarmupState::Unknown);
        leaves(&mut selector, AttemptOutcome::Answered, later);
        let soon = later + LASTS / 2;
        assert_eq!(selector.warmup_state("one", soon), WarmupState::Unknown);
        assert_eq!(
            selector.warmup_state("one", later + LASTS),
            WarmupState::Warm
        );
    }
}

#[test]
fn an_entry_that_is_cold_again_is_news_and_one_of_the_same_cold_time_is_not() {
    let mut selector = selector();
    selector.apply_entry(entry("one", LASTS), TOLD);
    let second = Duration::from_secs(1);
    let same = entry("one", LASTS - second);
    assert!(!selector.extends_cold_period(&same, TOLD + second));
    let again = entry("one", LASTS);
    assert!(selector.extends_cold_period(&again, TOLD + second));
}

#[test]
fn a_worker_without_starts_is_passed_over_until_there_may_be_one() {
    let mut selector = selector();
    selector.apply_entry(entry("one", LASTS), TOLD);
    selector.apply_entry(entry("two", LASTS), TOLD);
    let until = TOLD + Duration::from_millis(100);
    selector.record_no_permits_until("one", until);
    let chosen = choose(&selector, &[], TOLD).expect("the other one");
    assert_eq!(chosen.incarnation, "two");
    assert_eq!(choose(&selector, &["two"], TOLD), None);
    assert!(choose(&selector, &["two"], until).is_some());
}

#[test]
fn a_warm_worker_is_not_passed_over_for_want_of_starts() {
    let mut selector = selector();
    selector.record_no_permits_until("one", TOLD + LASTS);
    assert!(choose(&selector, &["two"], TOLD).is_some());
}

#[test]
fn the_owner_of_slots_assigns_a_cold_worker_at_its_pace_and_a_warm_one_at_any() {
    let mut selector = selector();
    let key = WorkerKey::of("one");
    selector.apply_entry(entry("one", LASTS), TOLD);
    let mut assigned = 0_u32;
    for millisecond in 0..2_000 {
        let now = TOLD + Duration::from_millis(millisecond);
        if selector.is_assignable(key, "s", now) {
            selector.record_assignment(key, "s", now);
            assigned += 1;
        }
    }
    let steady = bound().per_second * 2.0;
    let allowed = (steady - 1.0)..=(steady + 3.0);
    assert!(
        allowed.contains(&f64::from(assigned)),
        "{assigned} assigned"
    );
    let warm = TOLD + LASTS * 2;
    for _ in 0..100 {
        assert!(selector.is_assignable(key, "s", warm));
        selector.record_assignment(key, "s", warm);
    }
}
