//! The choice of a worker under a slow view.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use swiftshunt_scheduler::directory::{Availability, WorkerEntry, WorkerLife};
use swiftshunt_scheduler::prompt_memory::{PromptMemory, PromptPart};
use swiftshunt_scheduler::selection::{Chosen, Class, Demand, Ending, Selector, ToldLoad};
use swiftshunt_topology::Residency;

const START: Duration = Duration::from_secs(100);

fn entry(name: &str, zone: &str) -> WorkerEntry {
    let life = WorkerLife {
        id: name.to_owned(),
        started_unix_ms: None,
    };
    WorkerEntry {
        incarnation: life.incarnation(),
        life,
        service: "s".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: zone.to_owned(),
        slots: 8,
        availability: Availability::Ready,
        cold_left: Duration::ZERO,
    }
}

fn selector(workers: usize) -> Selector {
    let mut selector = Selector::new("z");
    for worker in 0..workers {
        selector.apply(entry(&format!("w{worker}"), "z"), START);
    }
    selector
}

fn demand(salt: u64) -> Demand {
    Demand {
        class: Class::Online,
        prompt: Vec::new(),
        prompt_tokens: 0,
        residency: Residency::anywhere(),
        salt,
    }
}

fn prompt(shared: u64, own: u64, salt: u64) -> Demand {
    let part = |id, tokens| PromptPart { id, tokens };
    Demand {
        prompt: vec![part(shared, 10_000), part(own, 500)],
        prompt_tokens: 10_500,
        ..demand(salt)
    }
}

/// Chooses and sends `count` requests that stay, and counts them by worker.
fn spread(selector: &mut Selector, count: u64, now: Duration) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for salt in 0..count {
        let demand = demand(salt);
        let chosen = selector.choose("s", &demand, &[], now).expect("a worker");
        selector.sent(&chosen, &demand, now);
        *counts.entry(chosen.incarnation).or_default() += 1;
    }
    counts
}

fn fail(selector: &mut Selector, chosen: &Chosen, ending: Ending, now: Duration) {
    let demand = demand(0);
    selector.sent(chosen, &demand, now);
    let held = Duration::from_millis(10);
    selector.left(chosen, Class::Online, ending, false, held, now);
}

fn chosen(name: &str) -> Chosen {
    Chosen {
        service: "s".to_owned(),
        id: name.to_owned(),
        incarnation: name.to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "z".to_owned(),
        missing_tokens: 0,
        expected_reading: Duration::ZERO,
        has_prompt: false,
    }
}

#[test]
fn requests_spread_over_equal_workers() {
    let counts = spread(&mut selector(4), 40, START);
    assert!(
        counts.values().all(|count| (7..=13).contains(count)),
        "{counts:?}"
    );
}

/// By the age of their unchanged entries old workers looked stale.
#[test]
fn an_old_entry_is_as_good_as_a_new_one() {
    let mut selector = selector(3);
    let later = START + Duration::from_secs(60);
    selector.apply(entry("new", "z"), later);
    let counts = spread(&mut selector, 40, later);
    assert!(counts["new"] <= 14, "{counts:?}");
}

/// A failure rate that only answers could mend kept workers out for ever.
#[test]
fn failures_are_forgotten_by_time_alone() {
    let mut selector = selector(2);
    for _ in 0..20 {
        fail(&mut selector, &chosen("w0"), Ending::Failed, START);
    }
    let at_once = spread(&mut selector, 6, START);
    assert_eq!(at_once.get("w0"), None);
    let later = START + Duration::from_secs(15);
    let counts = spread(&mut selector, 30, later);
    assert!(counts["w0"] > 5, "{counts:?}");
}

#[test]
fn an_unreachable_worker_is_passed_over_while_another_is_there() {
    let mut selector = selector(2);
    fail(&mut selector, &chosen("w0"), Ending::Unreachable, START);
    assert_eq!(spread(&mut selector, 6, START).get("w0"), None);
    selector.unlist(&BTreeSet::from(["w1".to_owned()]), None);
    let only = selector.choose("s", &demand(1), &[], START);
    assert_eq!(only.map(|chosen| chosen.incarnation), Some("w0".to_owned()));
}

#[test]
fn leaving_and_tried_workers_are_never_chosen() {
    let mut selector = selector(2);
    let leaving = WorkerEntry {
        availability: Availability::Draining,
        ..entry("w0", "z")
    };
    selector.apply(leaving, START);
    assert_eq!(spread(&mut selector, 20, START).get("w0"), None);
    let tried = ["w1".to_owned()];
    assert_eq!(selector.choose("s", &demand(1), &tried, START), None);
}

/// Told load decayed to nothing while the queue it did not tell of grew.
#[test]
fn a_worker_at_which_requests_wait_is_passed_over_though_it_tells_nothing() {
    let mut selector = selector(2);
    let waiting = prompt(1, 2, 3);
    selector.sent(&chosen("w0"), &waiting, START);
    let later = START + Duration::from_millis(800);
    // It does answer others, so it is not silent.
    selector.heard("w0", later);
    assert_eq!(spread(&mut selector, 4, later).get("w0"), None);
}

#[test]
fn a_silent_worker_with_requests_is_passed_over() {
    let mut selector = selector(2);
    selector.sent(&chosen("w0"), &demand(0), START);
    let later = START + Duration::from_millis(400);
    assert_eq!(spread(&mut selector, 4, later).get("w0"), None);
    assert_eq!(
        selector.silence("w0", later),
        Some(Duration::from_millis(400))
    );
}

#[test]
fn a_request_that_was_left_hanging_counts_against_its_worker() {
    let mut selector = selector(2);
    let hanging = chosen("w0");
    selector.sent(&hanging, &demand(0), START);
    let next = START + Duration::from_millis(10);
    selector.sent(&hanging, &demand(1), next);
    let begun = START + Duration::from_millis(50);
    selector.first_event(&hanging, begun - next, begun);
    selector.left(
        &hanging,
        Class::Online,
        Ending::Answered,
        true,
        begun - next,
        begun,
    );
    assert!(selector.has_overtaken("w0", START));
    assert!(!selector.has_overtaken("w0", next));
    let given_up = START + Duration::from_secs(2);
    let held = given_up - START;
    selector.left(
        &hanging,
        Class::Online,
        Ending::Withdrawn,
        false,
        held,
        given_up,
    );
    assert_eq!(spread(&mut selector, 4, given_up).get("w0"), None);
}

#[test]
fn told_load_counts_and_fades() {
    let mut selector = selector(2);
    let full = ToldLoad {
        running: 8,
        waiting: 10,
        slots: 8,
    };
    selector.told("w0", full, START);
    assert!(selector.is_full("w0", START));
    assert_eq!(spread(&mut selector, 4, START).get("w0"), None);
    let later = START + Duration::from_secs(30);
    assert!(!selector.is_full("w0", later));
}

#[test]
fn every_node_looks_for_a_shared_beginning_at_the_same_worker() {
    let homes = (0..20).map(|shared| {
        let nodes = (0..5).map(|node| {
            let demand = prompt(shared, 1_000 + node, node);
            let chosen = selector(6).choose("s", &demand, &[], START);
            chosen.expect("a worker").incarnation
        });
        let mut nodes: Vec<String> = nodes.collect();
        nodes.dedup();
        assert_eq!(nodes.len(), 1, "prompt {shared}: {nodes:?}");
        nodes.remove(0)
    });
    let homes: std::collections::BTreeSet<String> = homes.collect();
    assert!(homes.len() >= 4, "homes are not spread: {homes:?}");
}

/// Others are told how much a worker is to read: a shared beginning that nobody has read yet is
/// part of it.
#[test]
fn a_shared_beginning_is_read_once_and_counts_until_then() {
    let mut first = selector(6);
    let mut second = selector(6);
    let demand = prompt(7, 1, 1);
    let chosen = first.choose("s", &demand, &[], START).expect("a worker");
    assert_eq!(chosen.missing_tokens, 10_500);
    first.sent(&chosen, &demand, START);
    second.sent_by_another(
        &chosen.incarnation,
        &demand.prompt,
        chosen.missing_tokens,
        START,
    );
    let waited = Duration::from_millis(300);
    let later = START + waited;
    first.first_event(&chosen, waited, later);
    for selector in [first, second] {
        let next = selector.choose("s", &prompt(7, 2, 2), &[], later);
        let next = next.expect("a worker");
        assert_eq!(next.incarnation, chosen.incarnation);
        assert_eq!(next.missing_tokens, 500);
    }
}

#[test]
fn a_crowded_home_is_left_for_another_worker() {
    let mut selector = selector(4);
    let first = selector.choose("s", &prompt(7, 1, 1), &[], START);
    let home = first.expect("a worker").incarnation;
    let full = ToldLoad {
        running: 8,
        waiting: 40,
        slots: 8,
    };
    selector.told(&home, full, START);
    let next = selector.choose("s", &prompt(7, 2, 2), &[], START);
    assert_ne!(next.expect("a worker").incarnation, home);
}

#[test]
fn memory_holds_what_was_read_last() {
    let part = |id| PromptPart { id, tokens: 100 };
    let mut memory = PromptMemory::new(1_000);
    for id in 0..20 {
        memory.touch(&[part(id)]);
    }
    assert_eq!(memory.resident_tokens(&[part(19)]), 100);
    assert_eq!(memory.resident_tokens(&[part(0)]), 0);
    // A part counts only if every part before it is held as well.
    assert_eq!(memory.resident_tokens(&[part(0), part(19)]), 0);
}

#[test]
fn a_long_prompt_that_another_node_sent_counts_until_it_is_read() {
    let mut selector = selector(2);
    let part = PromptPart {
        id: 7,
        tokens: 40_000,
    };
    selector.sent_by_another("w0", &[part], 40_000, START);
    for salt in 0..20 {
        let chosen = selector.choose("s", &demand(salt), &[], START);
        assert_eq!(chosen.expect("a worker").incarnation, "w1");
    }
    let reading = selector.prefill_time("s", 40_000);
    let later = START + reading;
    let counts = spread(&mut selector, 20, later);
    assert!(counts.contains_key("w0"), "{counts:?}");
    // What another node sent is believed to be there: it need not be read again.
    let again = Demand {
        prompt: vec![part],
        prompt_tokens: 40_000,
        ..demand(0)
    };
    let chosen = selector.choose("s", &again, &[], later);
    let chosen = chosen.expect("a worker");
    assert_eq!(
        (chosen.incarnation.as_str(), chosen.missing_tokens),
        ("w0", 0)
    );
}
