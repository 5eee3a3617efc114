//! Tests which workers count as cold, and what follows for placement and sends.

use std::time::Duration;

use swiftshunt_scheduler::cold::ColdBound;
use swiftshunt_scheduler::directory::{Availability, WorkerEntry, WorkerLife};
use swiftshunt_scheduler::eligibility::OfferScope;
use swiftshunt_scheduler::selection::{AttemptOutcome, ChosenWorker, Class, Demand, Selector};
use swiftshunt_scheduler::slots::WorkerKey;
use swiftshunt_scheduler::warmup::WarmupState;

const START: Duration = Duration::from_secs(100);
/// Time at which the entry of a worker that is listed at `START` is certain to say whether the
/// worker is cold.
const ENTRY_SETTLED: Duration = Duration::from_secs(103);
const COLD_PERIOD: Duration = Duration::from_secs(3);

fn bound() -> ColdBound {
    ColdBound::new(COLD_PERIOD, 5.5, 1.5, 5.0)
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
        address: "127.0.0.1:1".parse().expect("parse the worker's address"),
        zone: "a".to_owned(),
        software: "v1".into(),
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
        scope: OfferScope::anywhere(),
        salt: 1,
    }
}

fn choose(selector: &Selector, tried: &[&str], now: Duration) -> Option<ChosenWorker> {
    let tried: Vec<String> = tried.iter().map(|id| (*id).to_owned()).collect();
    selector.choose("s", &demand(), &tried, now)
}

fn choose_one(selector: &Selector, now: Duration) -> ChosenWorker {
    choose(selector, &["two"], now).expect("choose a worker")
}

fn record_attempt(selector: &mut Selector, outcome: AttemptOutcome, now: Duration) {
    let chosen = choose_one(selector, now);
    selector.record_send(&chosen, &demand(), now);
    selector.record_outcome(&chosen, Class::Online, outcome, false, Duration::ZERO, now);
}

#[test]
fn a_worker_that_was_just_listed_counts_as_possibly_cold() {
    let selector = selector();
    assert_eq!(selector.warmup_state("one", START), WarmupState::Unknown);
    assert_eq!(
        selector.required_cold_bound(&choose_one(&selector, START), START),
        Some(bound())
    );
    assert_eq!(
        selector.warmup_state("one", ENTRY_SETTLED),
        WarmupState::Warm
    );
    assert_eq!(
        selector.required_cold_bound(&choose_one(&selector, ENTRY_SETTLED), ENTRY_SETTLED),
        None
    );
}

#[test]
fn no_permit_is_required_without_a_cold_bound() {
    let mut selector = selector();
    selector.set_cold_bound("s", None);
    selector.apply_entry(entry("one", COLD_PERIOD), START);
    assert_eq!(
        selector.required_cold_bound(&choose_one(&selector, START), START),
        None
    );
}

#[test]
fn workers_of_a_zone_whose_evacuation_was_withdrawn_may_be_cold() {
    let mut selector = selector();
    selector.evacuate("a", ENTRY_SETTLED);
    let withdrawn_at = ENTRY_SETTLED + Duration::from_secs(8);
    selector.withdraw_evacuation("a", withdrawn_at);
    assert_eq!(
        selector.warmup_state("one", withdrawn_at + COLD_PERIOD),
        WarmupState::Unknown
    );
    let cold_period_end = withdrawn_at + COLD_PERIOD * 2;
    assert_eq!(
        selector.warmup_state("one", cold_period_end),
        WarmupState::Warm
    );
}

#[test]
fn a_worker_that_failed_may_be_cold_until_a_cold_period_after_its_next_response() {
    for outcome in [
        AttemptOutcome::Unreachable,
        AttemptOutcome::Broken,
        AttemptOutcome::TimedOut,
    ] {
        let mut selector = selector();
        record_attempt(&mut selector, outcome, ENTRY_SETTLED);
        let later = ENTRY_SETTLED + Duration::from_secs(60);
        assert_eq!(selector.warmup_state("one", later), WarmupState::Unknown);
        record_attempt(&mut selector, AttemptOutcome::Answered, later);
        let soon = later + COLD_PERIOD / 2;
        assert_eq!(selector.warmup_state("one", soon), WarmupState::Unknown);
        assert_eq!(
            selector.warmup_state("one", later + COLD_PERIOD),
            WarmupState::Warm
        );
    }
}

#[test]
fn only_an_entry_with_a_later_end_extends_the_cold_period() {
    let mut selector = selector();
    selector.apply_entry(entry("one", COLD_PERIOD), ENTRY_SETTLED);
    let second = Duration::from_secs(1);
    let same = entry("one", COLD_PERIOD - second);
    assert!(!selector.extends_cold_period(&same, ENTRY_SETTLED + second));
    let again = entry("one", COLD_PERIOD);
    assert!(selector.extends_cold_period(&again, ENTRY_SETTLED + second));
}

#[test]
fn a_cold_worker_without_permits_is_not_chosen_until_there_may_be_one() {
    let mut selector = selector();
    selector.apply_entry(entry("one", COLD_PERIOD), ENTRY_SETTLED);
    selector.apply_entry(entry("two", COLD_PERIOD), ENTRY_SETTLED);
    let until = ENTRY_SETTLED + Duration::from_millis(100);
    selector.record_no_permits_until("one", until);
    let chosen = choose(&selector, &[], ENTRY_SETTLED).expect("choose the worker that has permits");
    assert_eq!(chosen.incarnation, "two");
    assert_eq!(choose(&selector, &["two"], ENTRY_SETTLED), None);
    assert!(choose(&selector, &["two"], until).is_some());
}

#[test]
fn a_warm_worker_without_permits_is_chosen() {
    let mut selector = selector();
    selector.record_no_permits_until("one", ENTRY_SETTLED + COLD_PERIOD);
    assert!(choose(&selector, &["two"], ENTRY_SETTLED).is_some());
}

#[test]
fn a_slot_owner_limits_assignments_to_a_cold_worker_only() {
    let mut selector = selector();
    let key = WorkerKey::of("one");
    selector.apply_entry(entry("one", COLD_PERIOD), ENTRY_SETTLED);
    let mut assigned = 0_u32;
    for millisecond in 0..2_000 {
        let now = ENTRY_SETTLED + Duration::from_millis(millisecond);
        if selector.is_assignable(key, "s", now) {
            selector.record_assignment(key, "s", now);
            assigned += 1;
        }
    }
    let steady = bound().per_second * 2.0;
    let allowed = (steady - 1.0)..=(steady + 3.0);
    assert!(
        allowed.contains(&f64::from(assigned)),
        "{assigned} requests assigned, {allowed:?} allowed"
    );
    let warm = ENTRY_SETTLED + COLD_PERIOD * 2;
    for _ in 0..100 {
        assert!(selector.is_assignable(key, "s", warm));
        selector.record_assignment(key, "s", warm);
    }
}

#[test]
fn an_owner_does_not_assign_a_cold_worker_whose_permit_was_refused_to_another_gateway() {
    let mut selector = selector();
    let key = WorkerKey::of("one");
    selector.apply_entry(entry("one", COLD_PERIOD), ENTRY_SETTLED);
    assert!(selector.is_assignable(key, "s", ENTRY_SETTLED));
    let until = ENTRY_SETTLED + Duration::from_millis(200);
    selector.record_refused_permit(key, until);
    assert!(!selector.is_assignable(key, "s", ENTRY_SETTLED));
    assert!(selector.is_assignable(key, "s", until));
    let warm = ENTRY_SETTLED + COLD_PERIOD * 2;
    selector.record_refused_permit(key, warm + Duration::from_secs(1));
    assert!(selector.is_assignable(key, "s", warm));
}
