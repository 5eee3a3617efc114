//! Tests whether a request may be offered to a worker.

use std::collections::BTreeMap;
use std::time::Duration;

use swiftshunt_scheduler::admission::Obstacle;
use swiftshunt_scheduler::directory::{Availability, WorkerEntry, WorkerLife};
use swiftshunt_scheduler::eligibility::{OfferScope, Withheld};
use swiftshunt_scheduler::prefix_cache::PromptPart;
use swiftshunt_scheduler::selection::{Class, Demand, Selector};
use swiftshunt_scheduler::slots::WorkerKey;
use swiftshunt_scheduler::slots::prompts::PrefillEstimate;
use swiftshunt_scheduler::warmup::WarmupState;
use swiftshunt_topology::{Residency, Topology};
use swiftshunt_types::{OutputOrigin, RegionName};
use test_case::test_case;

const START: Duration = Duration::from_secs(100);

fn region(name: &str) -> RegionName {
    RegionName(name.to_owned())
}

fn entry(zone: &str, availability: Availability) -> WorkerEntry {
    let life = WorkerLife {
        id: format!("in-{zone}"),
        started_unix_ms: None,
    };
    WorkerEntry {
        incarnation: life.incarnation(),
        life,
        service: "s".to_owned(),
        address: "127.0.0.1:1".parse().expect("parse the worker's address"),
        zone: zone.to_owned(),
        software: "v1".into(),
        slots: 4,
        availability,
        cold_left: Duration::ZERO,
    }
}

/// Returns a selector of a node in zone a, with one worker in each of the zones a and b of the
/// region north and c of the region south.
fn selector() -> Selector {
    let zones = [("a", "north"), ("b", "north"), ("c", "south")];
    let zones = zones.map(|(zone, name)| (zone.to_owned(), region(name)));
    let topology = Topology::new("a", BTreeMap::from(zones)).expect("build the topology");
    let mut selector = Selector::with_topology(topology);
    for zone in ["a", "b", "c"] {
        selector.apply_entry(entry(zone, Availability::Ready), START);
    }
    selector
}

fn demand(residency: Residency) -> Demand {
    Demand {
        class: Class::Online,
        prompt: Vec::new(),
        prompt_tokens: 0,
        scope: OfferScope::within(residency),
        salt: 1,
    }
}

fn south() -> Residency {
    Residency::within([region("south")])
}

#[test_case(Residency::anywhere(), "in-a"; "the nearest worker")]
#[test_case(south(), "in-c"; "the only worker in the allowed region")]
fn a_request_goes_to_the_nearest_allowed_worker(residency: Residency, worker: &str) {
    let chosen = selector().choose("s", &demand(residency), &[], START);
    assert_eq!(
        chosen.map(|chosen| chosen.incarnation).as_deref(),
        Some(worker)
    );
}

#[test]
fn may_offer_returns_the_reason_against_a_worker() {
    let mut selector = selector();
    let anywhere = OfferScope::anywhere();
    assert_eq!(selector.may_offer("in-a", &anywhere), Ok(()));
    assert_eq!(
        selector.may_offer("nobody", &anywhere),
        Err(Withheld::Unlisted)
    );
    let outside = Withheld::OutsideResidency {
        region: Some(region("north")),
    };
    assert_eq!(
        selector.may_offer("in-a", &OfferScope::within(south())),
        Err(outside)
    );
    selector.apply_entry(entry("b", Availability::Draining), START);
    assert_eq!(
        selector.may_offer("in-b", &anywhere),
        Err(Withheld::Leaving)
    );
    assert!(selector.evacuate("c", START));
    assert!(
        !selector.evacuate("c", START),
        "a repeated evacuation counted as new"
    );
    let evacuated = Withheld::Evacuated {
        zone: "c".to_owned(),
        since: START,
    };
    assert_eq!(selector.may_offer("in-c", &anywhere), Err(evacuated));
    assert!(selector.withdraw_evacuation("c", START));
    assert_eq!(selector.may_offer("in-c", &anywhere), Ok(()));
}

#[test]
fn no_kind_of_placement_uses_an_evacuated_zone() {
    let mut selector = selector();
    let all = demand(south());
    let cell = selector
        .cells("s")
        .find(|cell| cell.region == Some(region("south")));
    let cell = cell.expect("find a cell in the south");
    let key = WorkerKey::of("in-c");
    assert_eq!(selector.bids(&cell, &all, &[], START).len(), 1);
    selector.evacuate("c", START);
    assert_eq!(selector.choose("s", &all, &[], START), None);
    assert!(selector.bids(&cell, &all, &[], START).is_empty());
    assert_eq!(selector.assigned_worker("s", key, &all.scope, START), None);
    assert_eq!(
        selector.assigned_worker_for("s", key, &all, PrefillEstimate::default()),
        None
    );
    let workers = selector.cell_workers(&cell, START);
    assert!(
        workers.iter().all(|worker| !worker.accepts_batch),
        "a worker in an evacuated zone accepts batch items"
    );
    assert!(!selector.has_eligible_worker("s", &all.scope));
    assert!(selector.has_eligible_worker("s", &OfferScope::anywhere()));
}

#[test]
fn cells_do_not_span_regions() {
    let selector = selector();
    let regions: Vec<_> = selector.cells("s").map(|cell| cell.region).collect();
    assert_eq!(regions, [Some(region("north")), Some(region("south"))]);
    let mut alone = Selector::new("a");
    alone.apply_entry(entry("a", Availability::Ready), START);
    let regions: Vec<_> = alone.cells("s").map(|cell| cell.region).collect();
    assert_eq!(regions, [None]);
}

#[test]
fn a_worker_is_cold_for_the_time_in_its_entry() {
    let mut selector = selector();
    let cold_left = Duration::from_secs(3);
    selector.apply_entry(
        WorkerEntry {
            cold_left,
            ..entry("a", Availability::Ready)
        },
        START,
    );
    let until = START + cold_left;
    assert_eq!(
        selector.warmup_state("in-a", START),
        WarmupState::ColdUntil(until)
    );
    assert_eq!(selector.warmup_state("in-a", until), WarmupState::Warm);
    assert_eq!(selector.warmup_state("nobody", START), WarmupState::Unknown);
}

/// The reason why no worker is eligible decides the response to the caller.
#[test]
fn service_obstacle_returns_the_reason_against_a_service() {
    let mut selector = selector();
    let anywhere = OfferScope::anywhere();
    let later = START + Duration::from_secs(9);
    assert_eq!(selector.service_obstacle("s", &anywhere, START), None);
    assert_eq!(selector.service_obstacle("unknown", &anywhere, START), None);
    let east = OfferScope::within(Residency::within([region("east")]));
    let outside = Some(Obstacle::OutsideResidency);
    assert_eq!(selector.service_obstacle("s", &east, START), outside);
    selector.evacuate("c", START);
    assert_eq!(selector.service_obstacle("s", &anywhere, later), None);
    let lasted = later - START;
    let evacuated = Some(Obstacle::Evacuated { lasted });
    assert_eq!(
        selector.service_obstacle("s", &OfferScope::within(south()), later),
        evacuated
    );
    assert_eq!(selector.slots("s"), 8);
    // The obstacle began when the last zone was evacuated.
    let last = START + Duration::from_secs(4);
    selector.evacuate("a", last);
    selector.evacuate("b", last);
    let lasted = later - last;
    let evacuated = Some(Obstacle::Evacuated { lasted });
    assert_eq!(selector.service_obstacle("s", &anywhere, later), evacuated);
    selector.withdraw_evacuation("b", later);
    assert_eq!(selector.service_obstacle("s", &anywhere, later), None);
}

/// Checks the worker of a request, given the workers that were tried and whether the cells of its
/// own region are full.
#[test_case(&[], false, Some("in-a"); "the nearest worker")]
#[test_case(&["in-a"], false, Some("in-b"); "another worker of the region")]
#[test_case(&["in-a", "in-b"], false, Some("in-c"); "another region once all workers of the own one were tried")]
#[test_case(&[], true, None; "no other region while only the cells of the own one are full")]
fn a_request_stays_in_its_region_while_an_untried_worker_is_there(
    tried: &[&str],
    is_full: bool,
    worker: Option<&str>,
) {
    let selector = selector();
    let tried: Vec<String> = tried.iter().map(|id| (*id).to_owned()).collect();
    let north = selector.cells("s").next().expect("find a cell");
    let full: Vec<_> = is_full.then_some(north).into_iter().collect();
    let anywhere = demand(Residency::anywhere());
    let chosen = selector.choose_outside_cells("s", &anywhere, &tried, &full, START);
    assert_eq!(chosen.map(|chosen| chosen.incarnation).as_deref(), worker);
}

/// Each region has its own affinity target for a shared prefix, and all gateways of a region choose
/// the same one.
#[test]
fn a_shared_prefix_has_an_affinity_target_in_each_region() {
    let part = |id| PromptPart {
        id,
        tokens: 100_000,
    };
    let zones = [
        ("a", "north"),
        ("b", "north"),
        ("c", "south"),
        ("d", "south"),
    ];
    let zones = zones.map(|(zone, name)| (zone.to_owned(), region(name)));
    let target_zone_seen_from = |own: &str, id: u64| {
        let topology =
            Topology::new(own, BTreeMap::from(zones.clone())).expect("build the topology");
        let mut selector = Selector::with_topology(topology);
        for zone in ["a", "b", "c", "d"] {
            selector.apply_entry(entry(zone, Availability::Ready), START);
        }
        let demand = Demand {
            prompt: vec![part(id), part(id + 1_000)],
            prompt_tokens: 200_000,
            ..demand(Residency::anywhere())
        };
        let affinity_target = selector.choose_affinity_target("s", &demand, &[], &[], START);
        affinity_target.expect("choose an affinity target").zone
    };
    for id in 0..20 {
        let north = target_zone_seen_from("a", id);
        assert!(["a", "b"].contains(&north.as_str()), "{id}: {north}");
        assert_eq!(north, target_zone_seen_from("b", id));
        let south = target_zone_seen_from("c", id);
        assert!(["c", "d"].contains(&south.as_str()), "{id}: {south}");
        assert_eq!(south, target_zone_seen_from("d", id));
    }
}

/// In each other region, one owner is informed of a cell's free slots.
#[test]
fn a_cell_has_one_counterpart_in_each_other_region() {
    let selector = selector();
    let cells: Vec<_> = selector.cells("s").collect();
    assert_eq!(selector.counterparts(&cells[0]), [cells[1].clone()]);
    let mut alone = Selector::new("a");
    alone.apply_entry(entry("a", Availability::Ready), START);
    let cell = alone.cells("s").next().expect("find a cell");
    assert_eq!(alone.counterparts(&cell), []);
}

/// Returns a selector with a worker of each of the versions v1 and v2 of the service `s`, and one of v1 of the service
/// `t`.
fn two_versions() -> Selector {
    let mut selector = Selector::new("z");
    for (id, service, software) in [("one", "s", "v1"), ("two", "s", "v2"), ("other", "t", "v1")] {
        let life = WorkerLife {
            id: id.to_owned(),
            started_unix_ms: None,
        };
        let entry = WorkerEntry {
            incarnation: life.incarnation(),
            life,
            service: service.to_owned(),
            software: software.into(),
            ..entry("z", Availability::Ready)
        };
        selector.apply_entry(entry, START);
    }
    selector
}

fn begun_by(service: &str, software: &str) -> OfferScope {
    OfferScope {
        origin: Some(OutputOrigin {
            service: service.to_owned(),
            software: software.into(),
        }),
        ..OfferScope::anywhere()
    }
}

#[test_case("s", "v1", &["one"])]
#[test_case("s", "v2", &["two"])]
#[test_case("t", "v1", &["other"])]
#[test_case("t", "v2", &[])]
fn an_output_is_offered_only_to_workers_of_the_service_and_version_that_began_it(
    service: &str,
    software: &str,
    expected: &[&str],
) {
    let selector = two_versions();
    let scope = begun_by(service, software);
    for worker in ["one", "two", "other"] {
        let offered = selector.may_offer(worker, &scope);
        if expected.contains(&worker) {
            assert_eq!(offered, Ok(()));
        } else {
            let origin = scope.origin.clone().expect("the scope has an origin");
            assert_eq!(offered, Err(Withheld::OtherOrigin { origin }));
        }
    }
}

#[test]
fn no_kind_of_placement_continues_an_output_at_another_version() {
    let selector = two_versions();
    let demand = Demand {
        scope: begun_by("s", "v1"),
        ..demand(Residency::anywhere())
    };
    let cell = selector.cells("s").next().expect("the service has a cell");
    let bids = selector.bids(&cell, &demand, &[], START);
    assert_eq!(bids.len(), 1);
    assert_eq!(bids[0].worker, WorkerKey::of("one"));
    for salt in 0..20 {
        let demand = Demand {
            salt,
            ..demand.clone()
        };
        let chosen = selector.choose("s", &demand, &[], START);
        assert_eq!(chosen.map(|chosen| chosen.id).as_deref(), Some("one"));
    }
    let other = WorkerKey::of("two");
    let prefill = PrefillEstimate::default();
    assert_eq!(
        selector.assigned_worker("s", other, &demand.scope, START),
        None
    );
    assert_eq!(
        selector.assigned_worker_for("s", other, &demand, prefill),
        None
    );
    let tried = ["one".to_owned()];
    assert_eq!(selector.choose("s", &demand, &tried, START), None);
}

#[test]
fn an_output_has_workers_of_other_origin_only_while_other_versions_serve() {
    let mut selector = two_versions();
    let scope = begun_by("s", "v1");
    assert!(selector.has_worker_of_other_origin("s", &scope));
    assert!(!selector.has_worker_of_other_origin("s", &OfferScope::anywhere()));
    selector.remove_unlisted(&["two".to_owned()].into(), None);
    assert!(!selector.has_worker_of_other_origin("s", &scope));
}

#[test]
fn an_output_whose_version_is_gone_meets_its_own_obstacle() {
    let mut selector = two_versions();
    let scope = begun_by("s", "v1");
    assert_eq!(selector.service_obstacle("s", &scope, START), None);
    selector.remove_unlisted(&["one".to_owned()].into(), None);
    let obstacle = selector.service_obstacle("s", &scope, START);
    assert_eq!(obstacle, Some(Obstacle::OriginGone));
    let anywhere = OfferScope::anywhere();
    assert_eq!(selector.service_obstacle("s", &anywhere, START), None);
}
