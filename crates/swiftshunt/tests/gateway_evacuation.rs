//! Evacuation of a zone by operators: its workers receive nothing new from any gateway, what already runs
//! there continues, and the other zones serve all requests.

mod gateway;

use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use gateway::{
    ExclusiveFleet, assert_all_events, listed_results, start, submit, wait_for_all_results,
};
use hyper::StatusCode;
use swiftshunt_lab::platform::fleet::{
    ASK, BATCH, PlatformOptions, STREAM, eventually, first_configuration, route, weighted_split,
};
use swiftshunt_lab::platform::store::{StoreFaults, StoreOutage};
use swiftshunt_lab::platform::worker::Worker;
use swiftshunt_lab::platform::zone_layout::ZoneLayout;
use swiftshunt_platform::words::{topics, values};
use test_case::test_case;

const DEADLINE: Duration = Duration::from_secs(6);
/// Time within which gateways must apply an evacuation, as set for these fleets.
const APPLIED_WITHIN: Duration = Duration::from_secs(2);
/// Time in which gateways discover each other, and in which a gateway notices that the log does not serve it.
const SETTLED: Duration = Duration::from_millis(2_500);
/// Maximum time until a refusal that must not wait for a worker.
const REFUSED_WITHIN: Duration = Duration::from_millis(200);
const A: &str = "zone-a";
const B: &str = "zone-b";

/// Returns options for two gateways and two workers per service, one of each in both zones of a region.
fn two_zones() -> PlatformOptions {
    PlatformOptions {
        zone_layout: ZoneLayout::new(&[(A, "north"), (B, "north")]),
        ..PlatformOptions::default()
    }
}

/// Returns the number of runs of each worker in zone a.
fn runs_in_a(fleet: &ExclusiveFleet) -> Vec<usize> {
    let workers = fleet.whole_workers.iter().chain(&fleet.engine_workers);
    let in_a = workers.filter(|worker| worker.settings().zone == A);
    in_a.map(|worker| worker.runs().len()).collect()
}

/// Sends requests of each kind and a job to each gateway and asserts that all are served.
async fn assert_all_kinds_are_served(fleet: &ExclusiveFleet, name: &str) {
    for (number, gateway) in fleet.gateways.iter().enumerate() {
        let gateway = gateway.callers;
        for request in 0..8 {
            for path in [ASK, "/once/", STREAM] {
                let id = format!("{name}-{number}-{request}-{}", path.trim_matches('/'));
                let answer = fleet.caller.ask(gateway, path, &id, DEADLINE).await;
                assert_eq!(answer.expect("no response").status, StatusCode::OK, "{id}");
            }
        }
        let job = format!("{name}-job-{number}");
        submit(fleet, gateway, &job, 6).await;
        wait_for_all_results(fleet, gateway, &job, 6).await;
    }
}

/// Asserts that all requests and items are served and that none of them runs in zone a.
async fn assert_zone_a_receives_nothing(fleet: &ExclusiveFleet, name: &str) {
    let before = runs_in_a(fleet);
    assert_all_kinds_are_served(fleet, name).await;
    assert_eq!(runs_in_a(fleet), before, "{name}");
}

/// Asserts that all requests and items are served and that some of them run in zone a.
async fn assert_zone_a_is_used(fleet: &ExclusiveFleet, name: &str) {
    let before = runs_in_a(fleet);
    assert_all_kinds_are_served(fleet, name).await;
    let after = runs_in_a(fleet);
    assert!(after.iter().sum::<usize>() > before.iter().sum(), "{name}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_evacuated_zone_receives_nothing_until_the_evacuation_is_withdrawn() {
    let mut fleet = start(two_zones()).await;
    fleet.evacuate(A);
    // Publishing a configuration does not withdraw the evacuation.
    fleet.configure(first_configuration());
    tokio::time::sleep(APPLIED_WITHIN).await;
    assert_zone_a_receives_nothing(&fleet, "evacuated").await;
    fleet.configure(first_configuration());
    tokio::time::sleep(APPLIED_WITHIN).await;
    assert_zone_a_receives_nothing(&fleet, "configured").await;
    fleet.withdraw_evacuation(A);
    tokio::time::sleep(APPLIED_WITHIN).await;
    assert_zone_a_is_used(&fleet, "withdrawn").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_runs_in_an_evacuated_zone_continues_there() {
    const EVENTS: u64 = 40;
    let fleet = start(PlatformOptions {
        gateways: 1,
        events: EVENTS,
        event_interval: Duration::from_millis(100),
        ..two_zones()
    })
    .await;
    let gateway = fleet.gateways[0].callers;
    let caller = fleet.caller.clone();
    let stream = tokio::spawn(async move { caller.ask(gateway, STREAM, "stream", DEADLINE).await });
    let in_a = &fleet.engine_workers[0];
    eventually("the stream runs in zone a", || async {
        in_a.running() == 1
    })
    .await;
    fleet.evacuate(A);
    let answer = stream
        .await
        .expect("the task panicked")
        .expect("no response");
    assert_eq!(answer.status, StatusCode::OK);
    assert_all_events(&answer.body, "stream", EVENTS);
    assert_eq!(
        fleet.runs_of("stream").len(),
        1,
        "the stream was moved to another worker"
    );
}

#[test_case(false; "complete log")]
#[test_case(true; "compacted log")]
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_survives_a_restart_of_all_gateways(drops_history: bool) {
    let mut fleet = start(two_zones()).await;
    fleet.evacuate(A);
    if drops_history {
        fleet.store.drop_history();
    }
    for index in 0..fleet.gateways.len() {
        fleet.restart(index).expect("the gateway did not start");
    }
    let before = runs_in_a(&fleet);
    // A restarted gateway must not serve before it has read the evacuation.
    for (number, gateway) in fleet.gateways.iter().enumerate() {
        let serves = || async {
            let id = format!("first-{number}-{:x}", rand::random::<u64>());
            let request = fleet.caller.ask(gateway.callers, ASK, &id, DEADLINE).await;
            request.is_ok_and(|answer| answer.status == StatusCode::OK)
        };
        eventually("the gateway serves", serves).await;
    }
    assert_eq!(runs_in_a(&fleet), before);
    assert_zone_a_receives_nothing(&fleet, "restarted").await;
}

#[test_case(StoreOutage::Unresponsive; "log does not answer")]
#[test_case(StoreOutage::Busy; "log answers busy")]
#[test_case(StoreOutage::Reset; "log resets connections")]
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_without_access_to_the_log_applies_an_evacuation(outage: StoreOutage) {
    let fleet = start(two_zones()).await;
    tokio::time::sleep(SETTLED).await;
    fleet.gateways[0].store_listener.set_faults(StoreFaults {
        outage: Some(outage),
        ..StoreFaults::default()
    });
    tokio::time::sleep(SETTLED).await;
    fleet.evacuate(A);
    tokio::time::sleep(APPLIED_WITHIN).await;
    assert_zone_a_receives_nothing(&fleet, "turned-away").await;
    fleet.withdraw_evacuation(A);
    tokio::time::sleep(APPLIED_WITHIN).await;
    assert_zone_a_is_used(&fleet, "withdrawn").await;
}

/// An evacuation is written or withdrawn while no gateway reaches the log, and the log is then compacted: the
/// gateways must apply the state that they find afterwards.
#[test_case(true; "withdrawn in the outage")]
#[test_case(false; "written in the outage")]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_during_an_outage_of_the_log_applies_after_it(withdrawn: bool) {
    let fleet = start(two_zones()).await;
    if withdrawn {
        fleet.evacuate(A);
        tokio::time::sleep(APPLIED_WITHIN).await;
    }
    for gateway in &fleet.gateways {
        gateway
            .store_listener
            .set_faults(gateway::unresponsive_log());
    }
    tokio::time::sleep(SETTLED).await;
    if withdrawn {
        fleet.withdraw_evacuation(A);
    } else {
        fleet.evacuate(A);
    }
    fleet.store.drop_history();
    for gateway in &fleet.gateways {
        gateway.store_listener.set_faults(StoreFaults::default());
    }
    tokio::time::sleep(SETTLED).await;
    if withdrawn {
        assert_zone_a_is_used(&fleet, "back").await;
    } else {
        assert_zone_a_receives_nothing(&fleet, "back").await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn with_all_zones_evacuated_requests_are_refused_immediately_and_items_wait() {
    let fleet = start(two_zones()).await;
    let gateway = &fleet.gateways[0];
    fleet.evacuate(A);
    fleet.evacuate(B);
    tokio::time::sleep(APPLIED_WITHIN).await;
    for path in [ASK, "/once/", STREAM] {
        let sent_at = Instant::now();
        let answer = fleet
            .caller
            .ask(gateway.callers, path, "none", DEADLINE)
            .await;
        let answer = answer.expect("no response");
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
        assert!(
            sent_at.elapsed() < REFUSED_WITHIN,
            "{path}: refused only after {:?}",
            sent_at.elapsed()
        );
        let retry_after = answer.headers.get("retry-after");
        assert!(retry_after.is_some(), "{path}: no retry-after header");
    }
    let evacuated = "swiftshunt_refusals_total{reason=\"Evacuated\"}";
    let refused = fleet.caller.metric_value(gateway.metrics, evacuated).await;
    assert_eq!(refused, 3.0);
    let before = runs_in_a(&fleet);
    submit(&fleet, gateway.callers, "waits", 3).await;
    tokio::time::sleep(APPLIED_WITHIN).await;
    assert!(
        listed_results(&fleet, gateway.callers, "waits")
            .await
            .is_empty()
    );
    assert_eq!(runs_in_a(&fleet), before);
    fleet.withdraw_evacuation(B);
    wait_for_all_results(&fleet, gateway.callers, "waits", 3).await;
    assert_eq!(runs_in_a(&fleet), before);
}

/// If all workers of one service of a split are in evacuated zones, the other services take its share.
#[tokio::test(flavor = "multi_thread")]
async fn a_split_uses_the_services_that_are_not_evacuated() {
    let mut fleet = start(two_zones()).await;
    let mut configuration = first_configuration();
    let mut parts = route("/parts/", values::IDEMPOTENT, "whole");
    parts.service = None;
    parts.backends = weighted_split(&[("whole", 1), ("engine", 1)]);
    configuration.routes.push(parts);
    fleet.configure(configuration);
    // The service `whole` then has workers in zone a only.
    fleet.unlist(&fleet.whole_workers[1]);
    fleet.evacuate(A);
    tokio::time::sleep(APPLIED_WITHIN).await;
    let gateway = fleet.gateways[0].callers;
    for number in 0..6 {
        let id = format!("part-{number}");
        let answer = fleet.caller.ask(gateway, "/parts/", &id, DEADLINE).await;
        assert_eq!(answer.expect("no response").status, StatusCode::OK, "{id}");
    }
}

/// Items that run longer than `items_leave_after` in an evacuated zone move to another zone that has free
/// slots, and resume there after their last event.
#[tokio::test(flavor = "multi_thread")]
async fn long_items_move_out_of_an_evacuated_zone_with_their_progress() {
    const EVENTS: u64 = 80;
    let fleet = start(PlatformOptions {
        gateways: 1,
        events: EVENTS,
        event_interval: Duration::from_millis(100),
        extra_settings: "[evacuation]\nobey_within = \"2s\"\nitems_leave_after = \"1s\"".to_owned(),
        ..two_zones()
    })
    .await;
    let gateway = &fleet.gateways[0];
    submit(&fleet, gateway.callers, "long", 6).await;
    let in_a: &Worker = &fleet.engine_workers[0];
    eventually("items run in zone a", || async { in_a.running() > 0 }).await;
    fleet.evacuate(A);
    let evacuated_at = Instant::now();
    let metric = format!("swiftshunt_evacuated_in_progress{{zone=\"{A}\"}}");
    eventually("the metric shows runs in zone a", || async {
        fleet.caller.metric_value(gateway.metrics, &metric).await > 0.0
    })
    .await;
    eventually("zone a is empty", || async { in_a.running() == 0 }).await;
    let item_duration = Duration::from_millis(100) * EVENTS as u32;
    assert!(
        evacuated_at.elapsed() < item_duration,
        "items left zone a only after {:?}",
        evacuated_at.elapsed()
    );
    eventually("the metric shows no runs in zone a", || async {
        fleet.caller.metric_value(gateway.metrics, &metric).await == 0.0
    })
    .await;
    wait_for_all_results(&fleet, gateway.callers, "long", 6).await;
    let runs = fleet.engine_workers[1].runs();
    let resumed = runs.iter().filter(|run| run.last_event.is_some()).count();
    assert!(resumed > 0, "no item was resumed with its progress");
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_show_the_evacuated_zones() {
    let fleet = start(two_zones()).await;
    let metric = format!("swiftshunt_evacuated_zones{{zone=\"{A}\"}}");
    for gateway in &fleet.gateways {
        assert_eq!(
            fleet.caller.metric_value(gateway.metrics, &metric).await,
            0.0
        );
    }
    fleet.evacuate(A);
    for gateway in &fleet.gateways {
        eventually("the metric shows the zone as evacuated", || async {
            fleet.caller.metric_value(gateway.metrics, &metric).await == 1.0
        })
        .await;
    }
    fleet.withdraw_evacuation(A);
    for gateway in &fleet.gateways {
        eventually("the metric shows the zone as not evacuated", || async {
            fleet.caller.metric_value(gateway.metrics, &metric).await == 0.0
        })
        .await;
    }
}

/// `swiftshunt publish` needs only the address of the platform's log for evacuations.
#[tokio::test(flavor = "multi_thread")]
async fn the_publish_command_writes_and_withdraws_an_evacuation() {
    let fleet = start(two_zones()).await;
    let publish = |log: &str, option: &str| {
        let binary = Path::new(env!("CARGO_BIN_EXE_swiftshunt"));
        let mut command = Command::new(binary);
        command.args(["publish", "--log", log, option, A]);
        command.output().expect("the command did not start")
    };
    let log = fleet.gateways[0].store_listener.address.to_string();
    let written = publish(&log, "--evacuate");
    assert!(written.status.success(), "{written:?}");
    assert_eq!(fleet.store.key_count(topics::OPERATOR), 2);
    tokio::time::sleep(APPLIED_WITHIN).await;
    assert_zone_a_receives_nothing(&fleet, "written").await;
    let withdrawn = publish(&log, "--withdraw");
    assert!(withdrawn.status.success(), "{withdrawn:?}");
    tokio::time::sleep(APPLIED_WITHIN).await;
    assert_zone_a_is_used(&fleet, "withdrawn").await;
    // Nothing listens at this address, so the command must fail.
    let nowhere = publish("127.0.0.1:9", "--evacuate");
    assert!(!nowhere.status.success(), "{nowhere:?}");
}

/// A gateway in an evacuated zone still accepts jobs, and their items run in the other zone.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_in_an_evacuated_zone_still_accepts_jobs() {
    let fleet = start(two_zones()).await;
    fleet.evacuate(A);
    tokio::time::sleep(APPLIED_WITHIN).await;
    let gateway = fleet.gateways[0].callers;
    let status = fleet.caller.submit(gateway, BATCH, "job", 4).await;
    assert_eq!(status.expect("no response"), StatusCode::ACCEPTED);
    wait_for_all_results(&fleet, gateway, "job", 4).await;
}
