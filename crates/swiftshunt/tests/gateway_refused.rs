//! Gateways that the log does not serve while it serves the others: they reach the log through another
//! gateway.

mod gateway;

use std::time::{Duration, Instant};

use gateway::{
    ExclusiveFleet, assert_completed, listed_results, start, submit, wait_for_all_results,
};
use hyper::StatusCode;
use swiftshunt_lab::platform::fleet::{
    ASK, BATCH, PlatformOptions, eventually, first_configuration,
};
use swiftshunt_lab::platform::store::{StoreFaults, StoreOutage};
use swiftshunt_platform::words::{topics, values};
use test_case::test_case;

const DEADLINE: Duration = Duration::from_secs(6);
/// Time within which gateways must apply a change.
const APPLIED_WITHIN: Duration = Duration::from_secs(2);
/// Time in which gateways discover each other, and in which a gateway notices that the log does not serve it.
const SETTLED: Duration = Duration::from_millis(2_500);

/// Starts two gateways, lets them discover each other, and cuts the first off from the log.
async fn start_with_refused_gateway(outage: StoreOutage) -> ExclusiveFleet {
    let fleet = start(PlatformOptions::default()).await;
    tokio::time::sleep(SETTLED).await;
    let faults = StoreFaults {
        outage: Some(outage),
        ..StoreFaults::default()
    };
    fleet.gateways[0].store_listener.set_faults(faults);
    tokio::time::sleep(SETTLED).await;
    fleet
}

/// When many gateways start at once and list a large directory, the log refuses some of their calls. A listing
/// of several pages must still be completed.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_directory_is_listed_although_some_calls_are_refused() {
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
        let body = serde_json::to_vec(&other).expect("the document cannot be encoded");
        // Half of the keys sort before those of the serving workers, and half after them.
        let key = format!("{}-{number}", if number % 2 == 0 { "a" } else { "z" });
        fleet.store.put(topics::WORKERS, &key, body);
    }
    fleet.gateways[0].store_listener.set_faults(StoreFaults {
        refuse_every_second_newest: true,
        ..StoreFaults::default()
    });
    fleet.restart(0).expect("the gateway did not start");
    let gateway = fleet.gateways[0].callers;
    eventually("the gateway knows the workers", || async {
        let answer = fleet.caller.ask(gateway, ASK, "r", DEADLINE).await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    })
    .await;
}

#[test_case(StoreOutage::Unresponsive; "log does not answer")]
#[test_case(StoreOutage::Busy; "log answers busy")]
#[test_case(StoreOutage::Reset; "log resets connections")]
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_gateway_applies_changes_in_time(outage: StoreOutage) {
    let mut fleet = start_with_refused_gateway(outage).await;
    let mut changed = first_configuration();
    changed.routes.remove(1);
    fleet.configure(changed);
    fleet.list(&fleet.whole_workers[0], "whole", values::DRAINING);
    tokio::time::sleep(APPLIED_WITHIN).await;
    let before = fleet.whole_workers[0].runs().len();
    let gateway = fleet.gateways[0].callers;
    let removed = fleet.caller.ask(gateway, "/once/", "r", DEADLINE).await;
    assert_eq!(removed.expect("no response").status, StatusCode::NOT_FOUND);
    for number in 0..12 {
        let id = format!("r{number}");
        let answer = fleet.caller.ask(gateway, ASK, &id, DEADLINE).await;
        assert_eq!(answer.expect("no response").status, StatusCode::OK);
    }
    assert_eq!(fleet.whole_workers[0].runs().len(), before);
}

#[test_case(StoreOutage::Unresponsive; "log does not answer")]
#[test_case(StoreOutage::Busy; "log answers busy")]
#[test_case(StoreOutage::Reset; "log resets connections")]
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_gateway_accepts_and_lists_jobs(outage: StoreOutage) {
    const ITEMS: usize = 4;
    let fleet = start_with_refused_gateway(outage).await;
    let [refused, other] = [fleet.gateways[0].callers, fleet.gateways[1].callers];
    // Each gateway owns some of the eight jobs.
    for number in 0..8 {
        let job = format!("job-{number}");
        submit(&fleet, refused, &job, ITEMS).await;
        wait_for_all_results(&fleet, refused, &job, ITEMS).await;
        for gateway in [refused, other] {
            assert_completed(&listed_results(&fleet, gateway, &job).await, &job, ITEMS);
        }
    }
}

/// If no gateway reaches the log, submissions fail without additional delay, and jobs are accepted again once
/// the log is back.
#[test_case(StoreOutage::Busy; "log answers busy")]
#[test_case(StoreOutage::Reset; "log resets connections")]
#[tokio::test(flavor = "multi_thread")]
async fn submissions_fail_without_delay_if_all_gateways_are_refused(outage: StoreOutage) {
    let fleet = start_with_refused_gateway(outage).await;
    let faults = StoreFaults {
        outage: Some(outage),
        ..StoreFaults::default()
    };
    fleet.gateways[1].store_listener.set_faults(faults);
    tokio::time::sleep(SETTLED).await;
    for (number, gateway) in fleet.gateways.iter().enumerate() {
        let sent_at = Instant::now();
        let job = format!("job-{number}");
        let status = fleet.caller.submit(gateway.callers, BATCH, &job, 2).await;
        let status = status.expect("no response");
        assert!(
            [StatusCode::SERVICE_UNAVAILABLE, StatusCode::GATEWAY_TIMEOUT].contains(&status),
            "{status}"
        );
        assert!(sent_at.elapsed() < Duration::from_secs(4));
    }
    for gateway in &fleet.gateways {
        gateway.store_listener.set_faults(StoreFaults::default());
    }
    tokio::time::sleep(SETTLED).await;
    for gateway in &fleet.gateways {
        let job = format!("late-{}", gateway.callers.port());
        submit(&fleet, gateway.callers, &job, 2).await;
        wait_for_all_results(&fleet, gateway.callers, &job, 2).await;
    }
}

/// A gateway that starts while the log does not serve it knows other gateways only from its settings.
#[test_case(StoreOutage::Unresponsive; "log does not answer")]
#[test_case(StoreOutage::Busy; "log answers busy")]
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_that_starts_while_it_is_refused_serves(outage: StoreOutage) {
    let mut fleet = start_with_refused_gateway(outage).await;
    let seed = fleet.gateways[1].peers;
    let lines = format!("[gateways]\nseeds = [\"{seed}\"]");
    fleet
        .add_settings(0, &lines)
        .expect("the settings were not written");
    fleet.restart(0).expect("the gateway did not start");
    let (gateway, ready) = (fleet.gateways[0].callers, fleet.gateways[0].ready);
    let caller = fleet.caller.clone();
    eventually("the gateway is ready", || caller.is_ready(ready)).await;
    let answer = fleet.caller.ask(gateway, ASK, "r1", DEADLINE).await;
    assert_eq!(answer.expect("no response").status, StatusCode::OK);
    submit(&fleet, gateway, "job-1", 2).await;
    wait_for_all_results(&fleet, gateway, "job-1", 2).await;
}

/// After a restart of all gateways, a gateway that the log serves must announce itself to one that the log
/// does not serve.
#[tokio::test(flavor = "multi_thread")]
async fn a_starting_gateway_announces_itself_to_a_refused_one() {
    let mut fleet = start_with_refused_gateway(StoreOutage::Busy).await;
    fleet.restart(0).expect("the gateway did not start");
    fleet.restart(1).expect("the gateway did not start");
    let ready = fleet.gateways[0].ready;
    let caller = fleet.caller.clone();
    eventually("the gateway is ready", || caller.is_ready(ready)).await;
}
