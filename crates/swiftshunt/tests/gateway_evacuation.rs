//! A zone that operators evacuate: its workers get nothing new by any path, what runs there goes on, and the
//! rest of the fleet serves.

mod gateway;

use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use gateway::{ExclusiveFleet, assert_all_events, listed, start, submit, whole_job};
use hyper::StatusCode;
use swiftshunt_lab::platform::fleet::{
    ASK, BATCH, PlatformOptions, STREAM, eventually, first_configuration, route, split,
};
use swiftshunt_lab::platform::places::Places;
use swiftshunt_lab::platform::store::{Down, StoreFaults};
use swiftshunt_lab::platform::worker::Worker;
use swiftshunt_platform::words::{topics, values};
use test_case::test_case;

const DEADLINE: Duration = Duration::from_secs(6);
/// Time within which an evacuation must be obeyed, as the settings of these fleets say.
const OBEY_WITHIN: Duration = Duration::from_secs(2);
/// Time in which gateways learn of each other, and in which one notices that it is turned away.
const SETTLED: Duration = Duration::from_millis(2_500);
/// Time within which a refusal counts as one at once.
const AT_ONCE: Duration = Duration::from_millis(200);
const A: &str = "zone-a";
const B: &str = "zone-b";

/// Two gateways and two workers of each service, one in either zone of a region.
fn two_zones() -> PlatformOptions {
    PlatformOptions {
        places: Places::new(&[(A, "north"), (B, "north")]),
        ..PlatformOptions::default()
    }
}

/// The workers in zone a, and how many requests each has run.
fn runs_in_a(fleet: &ExclusiveFleet) -> Vec<usize> {
    let workers = fleet.whole.iter().chain(&fleet.engines);
    let in_a = workers.filter(|worker| worker.settings().zone == A);
    in_a.map(|worker| worker.runs().len()).collect()
}

/// Sends requests of each kind and a job to every gateway; all are to be served.
async fn all_kinds_are_served(fleet: &ExclusiveFleet, name: &str) {
    for (number, gateway) in fleet.gateways.iter().enumerate() {
        let gateway = gateway.callers;
        for request in 0..8 {
            for path in [ASK, "/once/", STREAM] {
                let id = format!("{name}-{number}-{request}-{}", path.trim_matches('/'));
                let answer = fleet.caller.ask(gateway, path, &id, DEADLINE).await;
                assert_eq!(answer.expect("an answer").status, StatusCode::OK, "{id}");
            }
        }
        let job = format!("{name}-job-{number}");
        submit(fleet, gateway, &job, 6).await;
        whole_job(fleet, gateway, &job, 6).await;
    }
}

/// Asserts that all is served and nothing of it reaches zone a.
async fn zone_a_gets_nothing(fleet: &ExclusiveFleet, name: &str) {
    let before = runs_in_a(fleet);
    all_kinds_are_served(fleet, name).await;
    assert_eq!(runs_in_a(fleet), before, "{name}");
}

async fn zone_a_is_used_again(fleet: &ExclusiveFleet, name: &str) {
    let before = runs_in_a(fleet);
    all_kinds_are_served(fleet, name).await;
    let after = runs_in_a(fleet);
    assert!(after.iter().sum::<usize>() > before.iter().sum(), "{name}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_evacuated_zone_gets_nothing_until_the_evacuation_is_withdrawn() {
    let mut fleet = start(two_zones()).await;
    fleet.evacuate(A);
    // A configuration beside it changes nothing of it.
    fleet.configure(first_configuration());
    tokio::time::sleep(OBEY_WITHIN).await;
    zone_a_gets_nothing(&fleet, "evacuated").await;
    fleet.configure(first_configuration());
    tokio::time::sleep(OBEY_WITHIN).await;
    zone_a_gets_nothing(&fleet, "configured").await;
    fleet.withdraw_evacuation(A);
    tokio::time::sleep(OBEY_WITHIN).await;
    zone_a_is_used_again(&fleet, "withdrawn").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn what_runs_in_an_evacuated_zone_goes_on() {
    const EVENTS: u64 = 40;
    let fleet = start(PlatformOptions {
        gateways: 1,
        events: EVENTS,
        event_pause: Duration::from_millis(100),
        ..two_zones()
    })
    .await;
    let gateway = fleet.gateways[0].callers;
    let caller = fleet.caller.clone();
    let stream = tokio::spawn(async move { caller.ask(gateway, STREAM, "stream", DEADLINE).await });
    let in_a = &fleet.engines[0];
    eventually("the stream runs in zone a", || async {
        in_a.running() == 1
    })
    .await;
    fleet.evacuate(A);
    let answer = stream.await.expect("a task").expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
    assert_all_events(&answer.body, "stream", EVENTS);
    assert_eq!(fleet.runs_of("stream").len(), 1, "it ran on");
}

#[test_case(false; "with its history")]
#[test_case(true; "after dropped history")]
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_outlasts_a_restart_of_all_gateways(drops_history: bool) {
    let mut fleet = start(two_zones()).await;
    fleet.evacuate(A);
    if drops_history {
        fleet.store.drop_history();
    }
    for index in 0..fleet.gateways.len() {
        fleet.restart(index).expect("a gateway");
    }
    let before = runs_in_a(&fleet);
    // From its first answer on: a gateway that does not know of it yet must not serve.
    for (number, gateway) in fleet.gateways.iter().enumerate() {
        let serves = || async {
            let id = format!("first-{number}-{:x}", rand::random::<u64>());
            let asked = fleet.caller.ask(gateway.callers, ASK, &id, DEADLINE).await;
            asked.is_ok_and(|answer| answer.status == StatusCode::OK)
        };
        eventually("the gateway serves", serves).await;
    }
    assert_eq!(runs_in_a(&fleet), before);
    zone_a_gets_nothing(&fleet, "restarted").await;
}

#[test_case(Down::Silent; "by silence")]
#[test_case(Down::Busy; "by refusals")]
#[test_case(Down::Reset; "by resets")]
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_that_the_log_turns_away_obeys(how: Down) {
    let fleet = start(two_zones()).await;
    tokio::time::sleep(SETTLED).await;
    fleet.gateways[0].door.set(StoreFaults {
        down: Some(how),
        ..StoreFaults::default()
    });
    tokio::time::sleep(SETTLED).await;
    fleet.evacuate(A);
    tokio::time::sleep(OBEY_WITHIN).await;
    zone_a_gets_nothing(&fleet, "turned-away").await;
    fleet.withdraw_evacuation(A);
    tokio::time::sleep(OBEY_WITHIN).await;
    zone_a_is_used_again(&fleet, "withdrawn").await;
}

/// Written and withdrawn while nobody reads, and the history of both dropped: what counts is what stands.
#[test_case(true; "it was withdrawn meanwhile")]
#[test_case(false; "it was written meanwhile")]
#[tokio::test(flavor = "multi_thread")]
async fn what_changed_while_the_store_was_away_holds_once_it_is_back(withdrawn: bool) {
    let fleet = start(two_zones()).await;
    if withdrawn {
        fleet.evacuate(A);
        tokio::time::sleep(OBEY_WITHIN).await;
    }
    for gateway in &fleet.gateways {
        gateway.door.set(gateway::down());
    }
    tokio::time::sleep(SETTLED).await;
    if withdrawn {
        fleet.withdraw_evacuation(A);
    } else {
        fleet.evacuate(A);
    }
    fleet.store.drop_history();
    for gateway in &fleet.gateways {
        gateway.door.set(StoreFaults::default());
    }
    tokio::time::sleep(SETTLED).await;
    if withdrawn {
        zone_a_is_used_again(&fleet, "back").await;
    } else {
        zone_a_gets_nothing(&fleet, "back").await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn with_all_zones_evacuated_requests_are_refused_at_once_and_items_wait() {
    let fleet = start(two_zones()).await;
    let gateway = &fleet.gateways[0];
    fleet.evacuate(A);
    fleet.evacuate(B);
    tokio::time::sleep(OBEY_WITHIN).await;
    for path in [ASK, "/once/", STREAM] {
        let asked = Instant::now();
        let answer = fleet
            .caller
            .ask(gateway.callers, path, "none", DEADLINE)
            .await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
        assert!(asked.elapsed() < AT_ONCE, "{path}: {:?}", asked.elapsed());
        let come_back = answer.headers.get("retry-after");
        assert!(come_back.is_some(), "{path}: no time to come back");
    }
    let evacuated = "swiftshunt_refusals_total{reason=\"Evacuated\"}";
    let refused = fleet.caller.figure(gateway.metrics, evacuated).await;
    assert_eq!(refused, 3.0);
    let before = runs_in_a(&fleet);
    submit(&fleet, gateway.callers, "waits", 3).await;
    tokio::time::sleep(OBEY_WITHIN).await;
    assert!(listed(&fleet, gateway.callers, "waits").await.is_empty());
    assert_eq!(runs_in_a(&fleet), before);
    fleet.withdraw_evacuation(B);
    whole_job(&fleet, gateway.callers, "waits", 3).await;
    assert_eq!(runs_in_a(&fleet), before);
}

/// A part of a split all of whose zones are evacuated leaves its share to the others.
#[tokio::test(flavor = "multi_thread")]
async fn a_split_goes_on_with_the_services_that_are_open() {
    let mut fleet = start(two_zones()).await;
    let mut configuration = first_configuration();
    let mut parts = route("/parts/", values::IDEMPOTENT, "whole");
    parts.service = None;
    parts.backends = split(&[("whole", 1), ("engine", 1)]);
    configuration.routes.push(parts);
    fleet.configure(configuration);
    // The service `whole` is left in zone a alone.
    fleet.unlist(&fleet.whole[1]);
    fleet.evacuate(A);
    tokio::time::sleep(OBEY_WITHIN).await;
    let gateway = fleet.gateways[0].callers;
    for number in 0..6 {
        let id = format!("part-{number}");
        let answer = fleet.caller.ask(gateway, "/parts/", &id, DEADLINE).await;
        assert_eq!(answer.expect("an answer").status, StatusCode::OK, "{id}");
    }
}

/// Items that would keep a zone from being empty step aside with their progress, when they have had their
/// time and there is room elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn long_items_leave_an_evacuated_zone_with_their_progress() {
    const EVENTS: u64 = 80;
    let fleet = start(PlatformOptions {
        gateways: 1,
        events: EVENTS,
        event_pause: Duration::from_millis(100),
        settings: "[evacuation]\nobey_within = \"2s\"\nitems_leave_after = \"1s\"".to_owned(),
        ..two_zones()
    })
    .await;
    let gateway = &fleet.gateways[0];
    submit(&fleet, gateway.callers, "long", 6).await;
    let in_a: &Worker = &fleet.engines[0];
    eventually("items run in zone a", || async { in_a.running() > 0 }).await;
    fleet.evacuate(A);
    let emptied = Instant::now();
    let figure = format!("swiftshunt_evacuated_in_progress{{zone=\"{A}\"}}");
    eventually("an operator sees what runs in zone a", || async {
        fleet.caller.figure(gateway.metrics, &figure).await > 0.0
    })
    .await;
    eventually("zone a is empty", || async { in_a.running() == 0 }).await;
    let whole_item = Duration::from_millis(100) * EVENTS as u32;
    assert!(emptied.elapsed() < whole_item, "{:?}", emptied.elapsed());
    eventually("an operator sees that zone a is empty", || async {
        fleet.caller.figure(gateway.metrics, &figure).await == 0.0
    })
    .await;
    whole_job(&fleet, gateway.callers, "long", 6).await;
    let runs = fleet.engines[1].runs();
    let resumed = runs.iter().filter(|run| run.last_event.is_some()).count();
    assert!(resumed > 0, "none brought its progress");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operator_sees_what_is_evacuated() {
    let fleet = start(two_zones()).await;
    let figure = format!("swiftshunt_evacuated_zones{{zone=\"{A}\"}}");
    for gateway in &fleet.gateways {
        assert_eq!(fleet.caller.figure(gateway.metrics, &figure).await, 0.0);
    }
    fleet.evacuate(A);
    for gateway in &fleet.gateways {
        eventually("the zone is told as evacuated", || async {
            fleet.caller.figure(gateway.metrics, &figure).await == 1.0
        })
        .await;
    }
    fleet.withdraw_evacuation(A);
    for gateway in &fleet.gateways {
        eventually("the zone is no longer told", || async {
            fleet.caller.figure(gateway.metrics, &figure).await == 0.0
        })
        .await;
    }
}

/// `swiftshunt publish` for an operator who has the platform's log alone.
#[tokio::test(flavor = "multi_thread")]
async fn an_operator_writes_and_withdraws_an_evacuation() {
    let fleet = start(two_zones()).await;
    let publish = |log: &str, what: &str| {
        let binary = Path::new(env!("CARGO_BIN_EXE_swiftshunt"));
        let mut command = Command::new(binary);
        command.args(["publish", "--log", log, what, A]);
        command.output().expect("a command")
    };
    let log = fleet.gateways[0].door.address.to_string();
    let written = publish(&log, "--evacuate");
    assert!(written.status.success(), "{written:?}");
    assert_eq!(fleet.store.keys(topics::OPERATOR), 2);
    tokio::time::sleep(OBEY_WITHIN).await;
    zone_a_gets_nothing(&fleet, "written").await;
    let withdrawn = publish(&log, "--withdraw");
    assert!(withdrawn.status.success(), "{withdrawn:?}");
    tokio::time::sleep(OBEY_WITHIN).await;
    zone_a_is_used_again(&fleet, "withdrawn").await;
    // Nobody listens there: the operator is told that nothing was written.
    let nowhere = publish("127.0.0.1:9", "--evacuate");
    assert!(!nowhere.status.success(), "{nowhere:?}");
}

/// A job handed in at a gateway whose zone is evacuated runs elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_in_an_evacuated_zone_serves_on() {
    let fleet = start(two_zones()).await;
    fleet.evacuate(A);
    tokio::time::sleep(OBEY_WITHIN).await;
    let gateway = fleet.gateways[0].callers;
    let status = fleet.caller.submit(gateway, BATCH, "job", 4).await;
    assert_eq!(status.expect("an answer"), StatusCode::ACCEPTED);
    whole_job(&fleet, gateway, "job", 4).await;
}
