//! Tests the choice of a worker with a partly stale view of the load.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use swiftshunt_scheduler::directory::{Availability, WorkerEntry, WorkerLife};
use swiftshunt_scheduler::eligibility::OfferScope;
use swiftshunt_scheduler::prefix_cache::{PrefixCacheEstimate, PromptPart};
use swiftshunt_scheduler::selection::{
    AttemptOutcome, ChosenWorker, Class, Demand, ReportedLoad, Selector,
};

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
        address: "127.0.0.1:1".parse().expect("parse the worker's address"),
        zone: zone.to_owned(),
        software: "v1".into(),
        slots: 8,
        availability: Availability::Ready,
        cold_left: Duration::ZERO,
    }
}

fn selector(workers: usize) -> Selector {
    let mut selector = Selector::new("z");
    for worker in 0..workers {
        selector.apply_entry(entry(&format!("w{worker}"), "z"), START);
    }
    selector
}

fn demand(salt: u64) -> Demand {
    Demand {
        class: Class::Online,
        prompt: Vec::new(),
        prompt_tokens: 0,
        scope: OfferScope::anywhere(),
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

/// Chooses workers for `count` requests that stay in progress, records the sends, and counts the
/// requests by worker.
fn spread(selector: &mut Selector, count: u64, now: Duration) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for salt in 0..count {
        let demand = demand(salt);
        let chosen = selector
            .choose("s", &demand, &[], now)
            .expect("choose a worker");
        selector.record_send(&chosen, &demand, now);
        *counts.entry(chosen.incarnation).or_default() += 1;
    }
    counts
}

fn fail(selector: &mut Selector, chosen: &ChosenWorker, outcome: AttemptOutcome, now: Duration) {
    let demand = demand(0);
    selector.record_send(chosen, &demand, now);
    let held = Duration::from_millis(10);
    selector.record_outcome(chosen, Class::Online, outcome, false, held, now);
}

fn chosen(name: &str) -> ChosenWorker {
    ChosenWorker {
        service: "s".to_owned(),
        id: name.to_owned(),
        incarnation: name.to_owned(),
        address: "127.0.0.1:1".parse().expect("parse the worker's address"),
        zone: "z".to_owned(),
        software: "v1".into(),
        missing_tokens: 0,
        expected_prefill: Duration::ZERO,
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

/// Guards against treating a worker as stale because its unchanged entry is old.
#[test]
fn the_age_of_an_entry_does_not_count_against_a_worker() {
    let mut selector = selector(3);
    let later = START + Duration::from_secs(60);
    selector.apply_entry(entry("new", "z"), later);
    let counts = spread(&mut selector, 40, later);
    assert!(counts["new"] <= 14, "{counts:?}");
}

/// Guards against avoiding a worker for ever: without requests it has no successes that could lower
/// its failure rate.
#[test]
fn a_failure_rate_decays_without_requests() {
    let mut selector = selector(2);
    for _ in 0..20 {
        fail(&mut selector, &chosen("w0"), AttemptOutcome::Failed, START);
    }
    let at_once = spread(&mut selector, 6, START);
    assert_eq!(at_once.get("w0"), None);
    let later = START + Duration::from_secs(15);
    let counts = spread(&mut selector, 30, later);
    assert!(counts["w0"] > 5, "{counts:?}");
}

#[test]
fn an_unreachable_worker_is_chosen_only_if_no_other_is_left() {
    let mut selector = selector(2);
    fail(
        &mut selector,
        &chosen("w0"),
        AttemptOutcome::Unreachable,
        START,
    );
    assert_eq!(spread(&mut selector, 6, START).get("w0"), None);
    selector.remove_unlisted(&BTreeSet::from(["w1".to_owned()]), None);
    let only = selector.choose("s", &demand(1), &[], START);
    assert_eq!(only.map(|chosen| chosen.incarnation), Some("w0".to_owned()));
}

#[test]
fn draining_and_tried_workers_are_never_chosen() {
    let mut selector = selector(2);
    let leaving = WorkerEntry {
        availability: Availability::Draining,
        ..entry("w0", "z")
    };
    selector.apply_entry(leaving, START);
    assert_eq!(spread(&mut selector, 20, START).get("w0"), None);
    let tried = ["w1".to_owned()];
    assert_eq!(selector.choose("s", &demand(1), &tried, START), None);
}

/// Guards against choosing a worker whose old load report has decayed although its queue has grown
/// since.
#[test]
fn a_worker_with_a_pending_request_is_avoided_without_a_load_report() {
    let mut selector = selector(2);
    let waiting = prompt(1, 2, 3);
    selector.record_send(&chosen("w0"), &waiting, START);
    let later = START + Duration::from_millis(800);
    // The worker responds to other requests, so it does not count as silent.
    selector.record_activity("w0", later);
    assert_eq!(spread(&mut selector, 4, later).get("w0"), None);
}

#[test]
fn a_silent_worker_with_requests_is_avoided() {
    let mut selector = selector(2);
    selector.record_send(&chosen("w0"), &demand(0), START);
    let later = START + Duration::from_millis(400);
    assert_eq!(spread(&mut selector, 4, later).get("w0"), None);
    assert_eq!(
        selector.silence("w0", later),
        Some(Duration::from_millis(400))
    );
}

#[test]
fn a_hanging_request_counts_as_a_failure_of_its_worker() {
    let mut selector = selector(2);
    let hanging = chosen("w0");
    selector.record_send(&hanging, &demand(0), START);
    let next = START + Duration::from_millis(10);
    selector.record_send(&hanging, &demand(1), next);
    let first_event_at = START + Duration::from_millis(50);
    selector.record_first_event(&hanging, first_event_at - next, first_event_at);
    selector.record_outcome(
        &hanging,
        Class::Online,
        AttemptOutcome::Answered,
        true,
        first_event_at - next,
        first_event_at,
    );
    assert!(selector.has_overtaken("w0", START));
    assert!(!selector.has_overtaken("w0", next));
    let cancelled_at = START + Duration::from_secs(2);
    let held = cancelled_at - START;
    selector.record_outcome(
        &hanging,
        Class::Online,
        AttemptOutcome::Cancelled,
        false,
        held,
        cancelled_at,
    );
    assert_eq!(spread(&mut selector, 4, cancelled_at).get("w0"), None);
}

#[test]
fn reported_load_counts_and_decays() {
    let mut selector = selector(2);
    let full = ReportedLoad {
        running: 8,
        waiting: 10,
        slots: 8,
    };
    selector.record_load("w0", full, START);
    assert!(selector.is_full("w0", START));
    assert_eq!(spread(&mut selector, 4, START).get("w0"), None);
    let later = START + Duration::from_secs(30);
    assert!(!selector.is_full("w0", later));
}

#[test]
fn all_nodes_choose_the_same_worker_for_a_shared_prefix() {
    let targets = (0..20).map(|shared| {
        let nodes = (0..5).map(|node| {
            let demand = prompt(shared, 1_000 + node, node);
            let chosen = selector(6).choose("s", &demand, &[], START);
            chosen.expect("choose a worker").incarnation
        });
        let mut nodes: Vec<String> = nodes.collect();
        nodes.dedup();
        assert_eq!(nodes.len(), 1, "prompt {shared}: {nodes:?}");
        nodes.remove(0)
    });
    let targets: std::collections::BTreeSet<String> = targets.collect();
    assert!(
        targets.len() >= 4,
        "affinity targets are not spread over the workers: {targets:?}"
    );
}

/// Other nodes learn how many tokens a worker has to prefill, which includes a shared prefix that
/// is not cached yet.
#[test]
fn a_shared_prefix_counts_as_missing_until_it_is_sent_once() {
    let mut first = selector(6);
    let mut second = selector(6);
    let demand = prompt(7, 1, 1);
    let chosen = first
        .choose("s", &demand, &[], START)
        .expect("choose a worker");
    assert_eq!(chosen.missing_tokens, 10_500);
    first.record_send(&chosen, &demand, START);
    second.record_peer_send(
        &chosen.incarnation,
        &demand.prompt,
        chosen.missing_tokens,
        START,
    );
    let waited = Duration::from_millis(300);
    let later = START + waited;
    first.record_first_event(&chosen, waited, later);
    for selector in [first, second] {
        let next = selector.choose("s", &prompt(7, 2, 2), &[], later);
        let next = next.expect("choose a worker");
        assert_eq!(next.incarnation, chosen.incarnation);
        assert_eq!(next.missing_tokens, 500);
    }
}

#[test]
fn a_full_affinity_target_is_avoided() {
    let mut selector = selector(4);
    let first = selector.choose("s", &prompt(7, 1, 1), &[], START);
    let affinity_target = first.expect("choose a worker").incarnation;
    let full = ReportedLoad {
        running: 8,
        waiting: 40,
        slots: 8,
    };
    selector.record_load(&affinity_target, full, START);
    let next = selector.choose("s", &prompt(7, 2, 2), &[], START);
    assert_ne!(next.expect("choose a worker").incarnation, affinity_target);
}

#[test]
fn the_prefix_cache_keeps_the_most_recent_prompts() {
    let part = |id| PromptPart { id, tokens: 100 };
    let mut cache = PrefixCacheEstimate::new(1_000);
    for id in 0..20 {
        cache.record_prompt(&[part(id)]);
    }
    assert_eq!(cache.cached_tokens(&[part(19)]), 100);
    assert_eq!(cache.cached_tokens(&[part(0)]), 0);
    // A part counts only if every part before it is cached as well.
    assert_eq!(cache.cached_tokens(&[part(0), part(19)]), 0);
}

#[test]
fn a_long_prompt_of_another_node_counts_until_it_is_prefilled() {
    let mut selector = selector(2);
    let part = PromptPart {
        id: 7,
        tokens: 40_000,
    };
    selector.record_peer_send("w0", &[part], 40_000, START);
    for salt in 0..20 {
        let chosen = selector.choose("s", &demand(salt), &[], START);
        assert_eq!(chosen.expect("choose a worker").incarnation, "w1");
    }
    let prefill = selector.prefill_time("s", 40_000);
    let later = START + prefill;
    let counts = spread(&mut selector, 20, later);
    assert!(counts.contains_key("w0"), "{counts:?}");
    // The prompt of another node is believed to be cached, so no tokens of it are missing.
    let again = Demand {
        prompt: vec![part],
        prompt_tokens: 40_000,
        ..demand(0)
    };
    let chosen = selector.choose("s", &again, &[], later);
    let chosen = chosen.expect("choose a worker");
    assert_eq!(
        (chosen.incarnation.as_str(), chosen.missing_tokens),
        ("w0", 0)
    );
}
