//! Tests the handling of workers that are no longer listed in the directory.

use std::collections::BTreeSet;
use std::time::Duration;

use swiftshunt_scheduler::directory::{Availability, WorkerEntry, WorkerLife};
use swiftshunt_scheduler::eligibility::OfferScope;
use swiftshunt_scheduler::listed::RemovedWorker;
use swiftshunt_scheduler::selection::{
    AttemptOutcome, ChosenWorker, Class, Demand, ReportedLoad, Selector,
};

const START: Duration = Duration::from_secs(10);
const GRACE_UNTIL: Duration = Duration::from_secs(12);

fn entry(service: &str, number: u32) -> WorkerEntry {
    entry_with_start(service, number, None)
}

/// Returns the entry of a worker that reports its start time, in milliseconds.
fn entry_with_start(service: &str, number: u32, started_unix_ms: Option<u64>) -> WorkerEntry {
    let life = WorkerLife {
        id: format!("{service}{number}"),
        started_unix_ms,
    };
    WorkerEntry {
        incarnation: life.incarnation(),
        life,
        service: service.to_owned(),
        address: format!("10.0.0.{number}:80")
            .parse()
            .expect("parse the worker's address"),
        zone: "z".to_owned(),
        software: "v1".into(),
        slots: 4,
        availability: Availability::Ready,
        cold_left: Duration::ZERO,
    }
}

/// Returns a selector with a service `many` of six workers and a service `few` of two.
fn selector() -> Selector {
    let mut selector = Selector::new("z");
    let entries = (0..6).map(|number| entry("many", number));
    for entry in entries.chain((0..2).map(|number| entry("few", number))) {
        selector.apply_entry(entry, START);
    }
    selector
}

fn worker_ids(service: &str, numbers: std::ops::Range<u32>) -> BTreeSet<String> {
    numbers.map(|number| format!("{service}{number}")).collect()
}

/// Returns the incarnations of removed workers.
fn removed_incarnations(removed_workers: &[RemovedWorker]) -> Vec<&str> {
    let removed_workers = removed_workers.iter();
    removed_workers
        .map(|worker| worker.incarnation.as_str())
        .collect()
}

#[test]
fn most_workers_missing_after_an_outage_stay_usable_for_the_grace_period() {
    let mut selector = selector();
    let missing = worker_ids("many", 0..5);
    let unlisted = selector.remove_unlisted(&missing, Some(GRACE_UNTIL));
    assert_eq!(unlisted.lapsed, missing.iter().cloned().collect::<Vec<_>>());
    assert_eq!(unlisted.removed, []);
    assert_eq!(selector.ready_count("many"), 6);
    selector.apply_entry(entry("many", 0), START);
    let before = GRACE_UNTIL - Duration::from_millis(1);
    assert_eq!(selector.remove_lapsed(before), []);
    let removed = selector.remove_lapsed(GRACE_UNTIL);
    assert_eq!(
        removed_incarnations(&removed),
        ["many1", "many2", "many3", "many4"]
    );
    assert!(selector.is_ready("many0"));
}

#[test]
fn few_workers_missing_after_an_outage_are_removed() {
    let mut selector = selector();
    let unlisted = selector.remove_unlisted(&worker_ids("many", 0..3), Some(GRACE_UNTIL));
    assert_eq!(
        removed_incarnations(&unlisted.removed),
        ["many0", "many1", "many2"]
    );
    assert_eq!(unlisted.lapsed, Vec::<String>::new());
    assert_eq!(selector.ready_count("many"), 3);
}

#[test]
fn the_share_of_missing_workers_counts_by_service() {
    let mut selector = selector();
    let mut missing = worker_ids("many", 0..2);
    missing.extend(worker_ids("few", 0..2));
    let unlisted = selector.remove_unlisted(&missing, Some(GRACE_UNTIL));
    assert_eq!(removed_incarnations(&unlisted.removed), ["many0", "many1"]);
    assert_eq!(unlisted.lapsed, ["few0", "few1"]);
}

#[test]
fn without_an_outage_all_missing_workers_are_removed() {
    let mut selector = selector();
    selector.remove_unlisted(&worker_ids("many", 0..6), None);
    assert_eq!(selector.ready_count("many"), 0);
}

#[test]
fn a_draining_worker_gets_no_requests_in_the_grace_period() {
    let mut selector = selector();
    for number in 0..2 {
        selector.apply_entry(
            WorkerEntry {
                availability: Availability::Draining,
                ..entry("few", number)
            },
            START,
        );
    }
    selector.remove_unlisted(&worker_ids("few", 0..2), Some(GRACE_UNTIL));
    assert!(!selector.is_served("few"));
}

#[test]
fn only_changes_that_matter_for_placement_make_an_entry_differ() {
    let mut selector = selector();
    let cold = WorkerEntry {
        cold_left: Duration::from_secs(5),
        ..entry("many", 1)
    };
    assert!(selector.differs_from_known(&entry("many", 9)));
    assert!(!selector.differs_from_known(&entry("many", 1)));
    assert!(selector.differs_from_known(&cold));
    selector.apply_entry(cold.clone(), START);
    let less_cold = WorkerEntry {
        cold_left: Duration::from_secs(4),
        ..cold
    };
    assert!(!selector.differs_from_known(&less_cold));
    assert!(selector.differs_from_known(&entry("many", 1)));
    let leaving = WorkerEntry {
        availability: Availability::Draining,
        ..entry("many", 2)
    };
    assert!(selector.differs_from_known(&leaving));
}

#[test]
fn an_entry_that_returns_in_the_grace_period_differs() {
    let mut selector = selector();
    selector.remove_unlisted(&worker_ids("few", 0..2), Some(GRACE_UNTIL));
    assert!(selector.differs_from_known(&entry("few", 0)));
}

const DEMAND: Demand = Demand {
    class: Class::Online,
    prompt: Vec::new(),
    prompt_tokens: 0,
    scope: OfferScope::anywhere(),
    salt: 1,
};

/// A worker that restarts under its identifier keeps no state of its earlier life: requests that
/// were sent to it, reported load, failures and draining.
#[test]
fn a_later_life_of_a_worker_keeps_no_state_of_an_earlier_one() {
    let mut selector = Selector::new("z");
    selector.apply_entry(entry_with_start("s", 0, Some(1_000)), START);
    let before = selector
        .choose("s", &DEMAND, &[], START)
        .expect("choose a worker");
    for _ in 0..4 {
        selector.record_send(&before, &DEMAND, START);
    }
    let reported = ReportedLoad {
        running: 4,
        waiting: 9,
        slots: 4,
    };
    selector.record_load(&before.incarnation, reported, START);
    assert!(selector.is_full(&before.incarnation, START));
    let leaving = WorkerEntry {
        availability: Availability::Draining,
        ..entry_with_start("s", 0, Some(1_000))
    };
    selector.apply_entry(leaving, START);
    let later = entry_with_start("s", 0, Some(2_000));
    assert!(selector.differs_from_known(&later));
    assert!(selector.apply_entry(later, START));
    let after = selector
        .choose("s", &DEMAND, &[], START)
        .expect("choose a worker");
    assert_eq!(after.id, before.id);
    assert_ne!(after.incarnation, before.incarnation);
    assert!(!selector.is_ready(&before.incarnation));
    assert!(!selector.is_full(&after.incarnation, START));
    assert_eq!(selector.ready_count("s"), 1);
    // Late outcomes of the earlier life do not count for this one.
    let held = Duration::from_secs(1);
    for _ in 0..4 {
        selector.record_outcome(
            &before,
            Class::Online,
            AttemptOutcome::Broken,
            false,
            held,
            START + held,
        );
    }
    assert!(!selector.is_full(&after.incarnation, START + held));
    assert_eq!(selector.silence(&before.incarnation, START), None);
}

#[test]
fn a_late_entry_of_an_earlier_life_is_ignored() {
    let mut selector = Selector::new("z");
    selector.apply_entry(entry_with_start("s", 0, Some(2_000)), START);
    let earlier = WorkerEntry {
        availability: Availability::Draining,
        ..entry_with_start("s", 0, Some(1_000))
    };
    assert!(!selector.differs_from_known(&earlier));
    assert!(!selector.apply_entry(earlier, START));
    assert_eq!(selector.ready_count("s"), 1);
}

#[test]
fn an_entry_without_a_start_time_applies_to_the_known_life() {
    let mut selector = Selector::new("z");
    selector.apply_entry(entry_with_start("s", 0, Some(2_000)), START);
    let leaving = WorkerEntry {
        availability: Availability::Draining,
        ..entry("s", 0)
    };
    assert!(selector.apply_entry(leaving, START));
    assert_eq!(selector.ready_count("s"), 0);
    assert!(selector.apply_entry(entry_with_start("s", 0, Some(3_000)), START));
    assert_eq!(selector.ready_count("s"), 1);
}

#[test]
fn an_unlisted_worker_is_removed_in_its_latest_life() {
    let mut selector = Selector::new("z");
    selector.apply_entry(entry_with_start("s", 0, Some(1_000)), START);
    selector.apply_entry(entry_with_start("s", 0, Some(2_000)), START);
    let unlisted = selector.remove_unlisted(&worker_ids("s", 0..1), None);
    assert_eq!(removed_incarnations(&unlisted.removed), ["s0@2000"]);
    assert!(selector.is_empty());
    assert!(selector.apply_entry(entry_with_start("s", 0, Some(1_000)), START));
}

/// An entry without a start time keeps the known start time: a later entry with that start time
/// does not count as a restart, and an entry of an earlier life is recognized as such.
#[test]
fn an_entry_without_a_start_time_keeps_the_known_start_time() {
    let mut selector = Selector::new("z");
    selector.apply_entry(entry_with_start("s", 0, Some(2_000)), START);
    let chosen = selector
        .choose("s", &DEMAND, &[], START)
        .expect("choose a worker");
    for _ in 0..4 {
        selector.record_send(&chosen, &DEMAND, START);
    }
    assert!(!selector.differs_from_known(&entry("s", 0)));
    assert!(!selector.apply_entry(entry("s", 0), START));
    assert_eq!(selector.incarnation("s0"), Some("s0@2000"));
    assert!(!selector.differs_from_known(&entry_with_start("s", 0, Some(2_000))));
    assert!(!selector.apply_entry(entry_with_start("s", 0, Some(2_000)), START));
    assert!(
        selector.is_full(&chosen.incarnation, START),
        "the worker's requests in progress were dropped"
    );
    assert!(!selector.apply_entry(entry_with_start("s", 0, Some(1_000)), START));
    assert_eq!(selector.incarnation("s0"), Some("s0@2000"));
}

/// Takes the entry of the only worker out of the directory and lists it again.
fn list_anew(selector: &mut Selector, now: Duration) {
    selector.remove_unlisted(&worker_ids("s", 0..1), None);
    assert_eq!(selector.ready_count("s"), 0);
    selector.apply_entry(entry("s", 0), now);
}

fn send_item(selector: &mut Selector, now: Duration) -> ChosenWorker {
    let demand = Demand {
        class: Class::Batch,
        ..DEMAND
    };
    let chosen = selector.choose("s", &demand, &[], now);
    let chosen = chosen.expect("no worker is eligible");
    selector.record_send(&chosen, &demand, now);
    chosen
}

fn held_items(selector: &Selector) -> u32 {
    let held = selector
        .cells("s")
        .map(|cell| selector.held_slots_in(&cell));
    held.flatten().map(|(_, held)| held.batch).sum()
}

#[test]
fn the_silence_of_a_worker_goes_on_when_its_entry_returns() {
    let mut selector = Selector::new("z");
    selector.apply_entry(entry("s", 0), START);
    let chosen = send_item(&mut selector, START);
    let silence = Duration::from_secs(2);
    list_anew(&mut selector, START + silence);
    assert_eq!(
        selector.silence(&chosen.incarnation, START + silence),
        Some(silence)
    );
}

#[test]
fn the_slots_held_at_a_worker_are_counted_when_its_entry_returns() {
    let mut selector = Selector::new("z");
    selector.apply_entry(entry("s", 0), START);
    let before = [(); 2].map(|()| send_item(&mut selector, START));
    list_anew(&mut selector, START);
    assert_eq!(held_items(&selector), 2);
    send_item(&mut selector, START);
    for chosen in &before {
        let outcome = AttemptOutcome::Answered;
        selector.record_outcome(chosen, Class::Batch, outcome, false, START, START);
    }
    assert_eq!(held_items(&selector), 1);
}

#[test]
fn requests_that_end_while_their_worker_is_not_listed_hold_no_slots_when_it_returns() {
    let mut selector = Selector::new("z");
    selector.apply_entry(entry("s", 0), START);
    let chosen = send_item(&mut selector, START);
    selector.remove_unlisted(&worker_ids("s", 0..1), None);
    let outcome = AttemptOutcome::Broken;
    selector.record_outcome(&chosen, Class::Batch, outcome, false, START, START);
    selector.apply_entry(entry("s", 0), START);
    assert_eq!(held_items(&selector), 0);
}
