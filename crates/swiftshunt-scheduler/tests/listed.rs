//! Workers that vanish from the directory.

use std::collections::BTreeSet;
use std::time::Duration;

use swiftshunt_scheduler::directory::{Availability, WorkerEntry};
use swiftshunt_scheduler::listed::Unlisted;
use swiftshunt_scheduler::selection::Selector;

const START: Duration = Duration::from_secs(10);
const BACK_BY: Duration = Duration::from_secs(12);

fn entry(service: &str, number: u32) -> WorkerEntry {
    WorkerEntry {
        incarnation: format!("{service}{number}"),
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
        selector.apply(entry, START);
    }
    selector
}

fn named(service: &str, numbers: std::ops::Range<u32>) -> BTreeSet<String> {
    numbers.map(|number| format!("{service}{number}")).collect()
}

#[test]
fn workers_that_vanish_together_after_an_outage_serve_until_they_may_be_back() {
    let mut selector = selector();
    let vanished = named("many", 0..5);
    let unlisted = selector.unlist(&vanished, Some(BACK_BY));
    assert_eq!(
        unlisted.lapsed,
        vanished.iter().cloned().collect::<Vec<_>>()
    );
    assert_eq!(unlisted.gone, Vec::<String>::new());
    assert_eq!(selector.ready_count("many"), 6);
    selector.apply(entry("many", 0), START);
    let before = BACK_BY - Duration::from_millis(1);
    assert_eq!(selector.remove_lapsed(before), Vec::<String>::new());
    let removed = selector.remove_lapsed(BACK_BY);
    assert_eq!(removed, ["many1", "many2", "many3", "many4"]);
    assert!(selector.is_ready("many0"));
}

#[test]
fn a_few_of_many_that_vanish_after_an_outage_are_gone() {
    let mut selector = selector();
    let unlisted = selector.unlist(&named("many", 0..3), Some(BACK_BY));
    let gone = ["many0", "many1", "many2"].map(str::to_owned).to_vec();
    assert_eq!(
        unlisted,
        Unlisted {
            gone,
            lapsed: Vec::new()
        }
    );
    assert_eq!(selector.ready_count("many"), 3);
}

#[test]
fn each_service_counts_for_itself() {
    let mut selector = selector();
    let mut vanished = named("many", 0..2);
    vanished.extend(named("few", 0..2));
    let unlisted = selector.unlist(&vanished, Some(BACK_BY));
    assert_eq!(unlisted.gone, ["many0", "many1"]);
    assert_eq!(unlisted.lapsed, ["few0", "few1"]);
}

#[test]
fn without_an_outage_all_that_vanish_are_gone() {
    let mut selector = selector();
    selector.unlist(&named("many", 0..6), None);
    assert_eq!(selector.ready_count("many"), 0);
}

#[test]
fn a_worker_that_was_leaving_gets_nothing_when_its_entry_lapses() {
    let mut selector = selector();
    for number in 0..2 {
        selector.apply(
            WorkerEntry {
                availability: Availability::Draining,
                ..entry("few", number)
            },
            START,
        );
    }
    selector.unlist(&named("few", 0..2), Some(BACK_BY));
    assert!(!selector.is_served("few"));
}

#[test]
fn only_what_matters_for_a_choice_is_news() {
    let mut selector = selector();
    let cold = WorkerEntry {
        cold_left: Duration::from_secs(5),
        ..entry("many", 1)
    };
    assert!(selector.is_news(&entry("many", 9)));
    assert!(!selector.is_news(&entry("many", 1)));
    assert!(selector.is_news(&cold));
    selector.apply(cold.clone(), START);
    let less_cold = WorkerEntry {
        cold_left: Duration::from_secs(4),
        ..cold
    };
    assert!(!selector.is_news(&less_cold));
    assert!(selector.is_news(&entry("many", 1)));
    let leaving = WorkerEntry {
        availability: Availability::Draining,
        ..entry("many", 2)
    };
    assert!(selector.is_news(&leaving));
}

#[test]
fn an_entry_that_is_back_is_news() {
    let mut selector = selector();
    selector.unlist(&named("few", 0..2), Some(BACK_BY));
    assert!(selector.is_news(&entry("few", 0)));
}
