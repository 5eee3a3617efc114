//! Workers that vanish from the directory.

use std::collections::BTreeSet;
use std::time::Duration;

use swiftshunt_scheduler::directory::{Availability, WorkerEntry, WorkerLife};
use swiftshunt_scheduler::listed::RemovedWorker;
use swiftshunt_scheduler::selection::{AttemptOutcome, Class, Demand, ReportedLoad, Selector};
use swiftshunt_topology::Residency;

const START: Duration = Duration::from_secs(10);
const BACK_BY: Duration = Duration::from_secs(12);

fn entry(service: &str, number: u32) -> WorkerEntry {
    started(service, number, None)
}

/// The entry of a worker that tells its start, in milliseconds.
fn started(service: &str, number: u32, started_unix_ms: Option<u64>) -> WorkerEntry {
    let life = WorkerLife {
        id: format!("{service}{number}"),
        started_unix_ms,
    };
    WorkerEntry {
        incarnation: life.incarnation(),
        life,
        service: service.to_owned(),
        address: format!("10.0.0.{number}:80").parse().expect("an address"),
        zone: "z".to_owned(),
        slots: 4,
        availability: Availability::Ready,
        cold_left: Duration::ZERO,
    }
}

/// A service `many` of six workers and a service `few` of two.
fn selector() -> Selector {
    let mut selector = Selector::new("z");
    let entries = (0..6).map(|number| entry("many", number));
    for entry in entries.chain((0..2).map(|number| entry("few", number))) {
        selector.apply_entry(entry, START);
    }
    selector
}

fn named(service: &str, numbers: std::ops::Range<u32>) -> BTreeSet<String> {
    numbers.map(|number| format!("{service}{number}")).collect()
}

/// The incarnations of workers that are gone.
fn names(departed: &[RemovedWorker]) -> Vec<&str> {
    let departed = departed.iter();
    departed.map(|worker| worker.incarnation.as_str()).collect()
}

#[test]
fn workers_that_vanish_together_after_an_outage_serve_until_they_may_be_back() {
    let mut selector = selector();
    let vanished = named("many", 0..5);
    let unlisted = selector.remove_unlisted(&vanished, Some(BACK_BY));
    assert_eq!(
        unlisted.lapsed,
        vanished.iter().cloned().collect::<Vec<_>>()
    );
    assert_eq!(unlisted.removed, []);
    assert_eq!(selector.ready_count("many"), 6);
    selector.apply_entry(entry("many", 0), START);
    let before = BACK_BY - Duration::from_millis(1);
    assert_eq!(selector.remove_lapsed(before), []);
    let removed = selector.remove_lapsed(BACK_BY);
    assert_eq!(names(&removed), ["many1", "many2", "many3", "many4"]);
    assert!(selector.is_ready("many0"));
}

#[test]
fn a_few_of_many_that_vanish_after_an_outage_are_gone() {
    let mut selector = selector();
    let unlisted = selector.remove_unlisted(&named("many", 0..3), Some(BACK_BY));
    assert_eq!(names(&unlisted.removed), ["many0", "many1", "many2"]);
    assert_eq!(unlisted.lapsed, Vec::<String>::new());
    assert_eq!(selector.ready_count("many"), 3);
}

#[test]
fn each_service_counts_for_itself() {
    let mut selector = selector();
    let mut vanished = named("many", 0..2);
    vanished.extend(named("few", 0..2));
    let unlisted = selector.remove_unlisted(&vanished, Some(BACK_BY));
    assert_eq!(names(&unlisted.removed), ["many0", "many1"]);
    assert_eq!(unlisted.lapsed, ["few0", "few1"]);
}

#[test]
fn without_an_outage_all_that_vanish_are_gone() {
    let mut selector = selector();
    selector.remove_unlisted(&named("many", 0..6), None);
    assert_eq!(selector.ready_count("many"), 0);
}

#[test]
fn a_worker_that_was_leaving_gets_nothing_when_its_entry_lapses() {
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
    selector.remove_unlisted(&named("few", 0..2), Some(BACK_BY));
    assert!(!selector.is_served("few"));
}

#[test]
fn only_what_matters_for_a_choice_is_news() {
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
fn an_entry_that_is_back_is_news() {
    let mut selector = selector();
    selector.remove_unlisted(&named("few", 0..2), Some(BACK_BY));
    assert!(selector.differs_from_known(&entry("few", 0)));
}

const DEMAND: Demand = Demand {
    class: Class::Online,
    prompt: Vec::new(),
    prompt_tokens: 0,
    residency: Residency::anywhere(),
    salt: 1,
};

/// A worker that starts again under its identifier holds nothing of before: neither requests that were sent
/// to its last life, nor load that this told, nor its failures, nor that it was leaving.
#[test]
fn a_later_life_of_a_worker_begins_with_nothing() {
    let mut selector = Selector::new("z");
    selector.apply_entry(started("s", 0, Some(1_000)), START);
    let before = selector.choose("s", &DEMAND, &[], START).expect("a worker");
    for _ in 0..4 {
        selector.record_send(&before, &DEMAND, START);
    }
    let told = ReportedLoad {
        running: 4,
        waiting: 9,
        slots: 4,
    };
    selector.record_load(&before.incarnation, told, START);
    assert!(selector.is_full(&before.incarnation, START));
    let leaving = WorkerEntry {
        availability: Availability::Draining,
        ..started("s", 0, Some(1_000))
    };
    selector.apply_entry(leaving, START);
    let later = started("s", 0, Some(2_000));
    assert!(selector.differs_from_known(&later));
    assert!(selector.apply_entry(later, START));
    let after = selector.choose("s", &DEMAND, &[], START).expect("a worker");
    assert_eq!(after.id, before.id);
    assert_ne!(after.incarnation, before.incarnation);
    assert!(!selector.is_ready(&before.incarnation));
    assert!(!selector.is_full(&after.incarnation, START));
    assert_eq!(selector.ready_count("s"), 1);
    // What ends late of the life before says nothing of this one.
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
fn an_earlier_life_that_is_heard_of_late_changes_nothing() {
    let mut selector = Selector::new("z");
    selector.apply_entry(started("s", 0, Some(2_000)), START);
    let earlier = WorkerEntry {
        availability: Availability::Draining,
        ..started("s", 0, Some(1_000))
    };
    assert!(!selector.differs_from_known(&earlier));
    assert!(!selector.apply_entry(earlier, START));
    assert_eq!(selector.ready_count("s"), 1);
}

/// An entry without a start is about the life that is known, and is obeyed.
#[test]
fn an_entry_without_a_start_is_about_the_life_that_is_known() {
    let mut selector = Selector::new("z");
    selector.apply_entry(started("s", 0, Some(2_000)), START);
    let leaving = WorkerEntry {
        availability: Availability::Draining,
        ..entry("s", 0)
    };
    assert!(selector.apply_entry(leaving, START));
    assert_eq!(selector.ready_count("s"), 0);
    assert!(selector.apply_entry(started("s", 0, Some(3_000)), START));
    assert_eq!(selector.ready_count("s"), 1);
}

#[test]
fn a_worker_that_is_no_longer_listed_is_gone_in_any_life() {
    let mut selector = Selector::new("z");
    selector.apply_entry(started("s", 0, Some(1_000)), START);
    selector.apply_entry(started("s", 0, Some(2_000)), START);
    let unlisted = selector.remove_unlisted(&named("s", 0..1), None);
    assert_eq!(names(&unlisted.removed), ["s0@2000"]);
    assert!(selector.is_empty());
    assert!(selector.apply_entry(started("s", 0, Some(1_000)), START));
}

/// Such an entry leaves the life its start: the next one that tells it is no restart, and an earlier life is
/// known for that.
#[test]
fn an_entry_without_a_start_takes_none_away() {
    let mut selector = Selector::new("z");
    selector.apply_entry(started("s", 0, Some(2_000)), START);
    let chosen = selector.choose("s", &DEMAND, &[], START).expect("a worker");
    for _ in 0..4 {
        selector.record_send(&chosen, &DEMAND, START);
    }
    assert!(!selector.differs_from_known(&entry("s", 0)));
    assert!(!selector.apply_entry(entry("s", 0), START));
    assert_eq!(selector.incarnation("s0"), Some("s0@2000"));
    assert!(!selector.differs_from_known(&started("s", 0, Some(2_000))));
    assert!(!selector.apply_entry(started("s", 0, Some(2_000)), START));
    assert!(
        selector.is_full(&chosen.incarnation, START),
        "its requests are forgotten"
    );
    assert!(!selector.apply_entry(started("s", 0, Some(1_000)), START));
    assert_eq!(selector.incarnation("s0"), Some("s0@2000"));
}
