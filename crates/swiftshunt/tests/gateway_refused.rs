//! Gateways that alone are turned away by the log, while it serves the others: they reach it through
//! another gateway.

mod gateway;

use std::time::{Duration, Instant};

use gateway::{ExclusiveFleet, assert_completed, listed, start, submit, whole_job};
use hyper::StatusCode;
use swiftshunt_lab::platform::fleet::{
    ASK, BATCH, PlatformOptions, eventually, first_configuration,
};
use swiftshunt_lab::platform::store::{Down, StoreFaults};
use swiftshunt_platform::words::{topics, values};
use test_case::test_case;

const DEADLINE: Duration = Duration::from_secs(6);
/// Time within which a change must be obeyed.
const OBEY_WITHIN: Duration = Duration::from_secs(2);
/// Time in which gateways learn of each other, and in which one notices that it is turned away.
const SETTLED: Duration = Duration::from_millis(2_500);

/// Two gateways that know each other, the first of which the log turns away.
async fn with_one_turned_away(how: Down) -> ExclusiveFleet {
    let fleet = start(PlatformOptions::default()).await;
    tokio::time::sleep(SETTLED).await;
    let faults = StoreFaults {
        down: Some(how),
        ..StoreFaults::default()
    };
    fleet.gateways[0].door.set(faults);
    tokio::time::sleep(SETTLED).await;
    fleet
}

/// Many gateways that start at once list a large directory together, and the log refuses a part of
/// their calls: a listing of several pages must get through all the same.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_directory_is_listed_though_calls_in_between_are_refused() {
    const ENTRIES: usize = 1_400;
    let options = PlatformOptions {
        gateways: 1,
        ..PlatformOptions::default()
    };
    let mut fleet = start(options).await;
    for number in 0..ENTRIES {
        let other = swiftshunt_platform::documents::WorkerDocument {
            service: "other".to_owned(),
            address: "127.0.0.1:9".to_owned(),
            zone: "zone-a".to_owned(),
            slots: 1,
            state: values::READY.to_owned(),
            ..Default::default()
        };
        let body = serde_json::to_vec(&other).expect("a document");
        // Some come before the workers that serve, and some behind them.
        let key = format!("{}-{number}", if number % 2 == 0 { "a" } else { "z" });
        fleet.store.put(topics::WORKERS, &key, body);
    }
    fleet.gateways[0].door.set(StoreFaults {
        half_of_listings: true,
        ..StoreFaults::default()
    });
    fleet.restart(0).expect("a gateway");
    let gateway = fleet.gateways[0].callers;
    eventually("the workers are known", || async {
        let answer = fleet.caller.ask(gateway, ASK, "r", DEADLINE).await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    })
    .await;
}

#[test_case(Down::Silent; "by silence")]
#[test_case(Down::Busy; "by refusals")]
#[test_case(Down::Reset; "by resets")]
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_that_is_turned_away_obeys_changes_in_time(how: Down) {
    let mut fleet = with_one_turned_away(how).await;
    let mut without = first_configuration();
    without.routes.remove(1);
    fleet.configure(without);
    fleet.list(&fleet.whole[0], "whole", values::DRAINING);
    tokio::time::sleep(OBEY_WITHIN).await;
    let before = fleet.whole[0].runs().len();
    let gateway = fleet.gateways[0].callers;
    let gone = fleet.caller.ask(gateway, "/once/", "r", DEADLINE).await;
    assert_eq!(gone.expect("an answer").status, StatusCode::NOT_FOUND);
    for number in 0..12 {
        let id = format!("r{number}");
        let answer = fleet.caller.ask(gateway, ASK, &id, DEADLINE).await;
        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    }
    assert_eq!(fleet.whole[0].runs().len(), before);
}

#[test_case(Down::Silent; "by silence")]
#[test_case(Down::Busy; "by refusals")]
#[test_case(Down::Reset; "by resets")]
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_that_is_turned_away_takes_and_lists_jobs(how: Down) {
    const ITEMS: usize = 4;
    let fleet = with_one_turned_away(how).await;
    let [refused, other] = [fleet.gateways[0].callers, fleet.gateways[1].callers];
    // Of eight jobs some run at either gateway.
    for number in 0..8 {
        let job = format!("job-{number}");
        submit(&fleet, refused, &job, ITEMS).await;
        whole_job(&fleet, refused, &job, ITEMS).await;
        for gateway in [refused, other] {
            assert_completed(&listed(&fleet, gateway, &job).await, &job, ITEMS);
        }
    }
}

/// Where nobody reaches the log, callers are told so as soon as before, and all goes on once it is
/// back.
#[test_case(Down::Busy; "by refusals")]
#[test_case(Down::Reset; "by resets")]
#[tokio::test(flavor = "multi_thread")]
async fn gateways_that_are_all_turned_away_say_so_at_once(how: Down) {
    let fleet = with_one_turned_away(how).await;
    let faults = StoreFaults {
        down: Some(how),
        ..StoreFaults::default()
    };
    fleet.gateways[1].door.set(faults);
    tokio::time::sleep(SETTLED).await;
    for (number, gateway) in fleet.gateways.iter().enumerate() {
        let asked = Instant::now();
        let job = format!("job-{number}");
        let status = fleet.caller.submit(gateway.callers, BATCH, &job, 2).await;
        let status = status.expect("an answer");
        assert!(
            [StatusCode::SERVICE_UNAVAILABLE, StatusCode::GATEWAY_TIMEOUT].contains(&status),
            "{status}"
        );
        assert!(asked.elapsed() < Duration::from_secs(4));
    }
    for gateway in &fleet.gateways {
        gateway.door.set(StoreFaults::default());
    }
    tokio::time::sleep(SETTLED).await;
    for gateway in &fleet.gateways {
        let job = format!("late-{}", gateway.callers.port());
        submit(&fleet, gateway.callers, &job, 2).await;
        whole_job(&fleet, gateway.callers, &job, 2).await;
    }
}

/// A gateway that starts while it is turned away knows others from its settings alone.
#[test_case(Down::Silent; "by silence")]
#[test_case(Down::Busy; "by refusals")]
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_that_starts_while_it_is_turned_away_serves(how: Down) {
    let mut fleet = with_one_turned_away(how).await;
    let seed = fleet.gateways[1].peers;
    let lines = format!("[gateways]\nseeds = [\"{seed}\"]");
    fleet.add_settings(0, &lines).expect("a settings file");
    fleet.restart(0).expect("a gateway");
    let (gateway, ready) = (fleet.gateways[0].callers, fleet.gateways[0].ready);
    let caller = fleet.caller.clone();
    eventually("the gateway is ready", || caller.is_ready(ready)).await;
    let answer = fleet.caller.ask(gateway, ASK, "r1", DEADLINE).await;
    assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    submit(&fleet, gateway, "job-1", 2).await;
    whole_job(&fleet, gateway, "job-1", 2).await;
}

/// Where every gateway starts anew, one that the log answers makes itself known to those that it
/// turns away.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_that_starts_is_heard_of_by_one_that_is_turned_away() {
    let mut fleet = with_one_turned_away(Down::Busy).await;
    fleet.restart(0).expect("a gateway");
    fleet.restart(1).expect("a gateway");
    let ready = fleet.gateways[0].ready;
    let caller = fleet.caller.clone();
    eventually("the gateway is ready", || caller.is_ready(ready)).await;
}
