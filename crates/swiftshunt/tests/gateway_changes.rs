//! Changes of the configuration and of the worker directory, and planned stops of gateways.

mod gateway;

use std::time::{Duration, Instant};

use gateway::{assert_all_events, start};
use hyper::StatusCode;
use swiftshunt_lab::platform::fleet::{
    ASK, PlatformOptions, STREAM_ONCE, eventually, first_configuration,
};
use swiftshunt_lab::platform::store::StoreFaults;
use swiftshunt_platform::words::values;

const DEADLINE: Duration = Duration::from_secs(6);
/// Time within which gateways must apply a change.
const APPLIED_WITHIN: Duration = Duration::from_secs(2);

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_applies_everywhere_within_two_seconds_and_never_reverts() {
    let mut fleet = start(PlatformOptions::default()).await;
    let mut changed = first_configuration();
    changed.routes.remove(0);
    let outdated = first_configuration();
    fleet.configure(changed);
    tokio::time::sleep(APPLIED_WITHIN).await;
    for gateway in &fleet.gateways {
        let answer = fleet.caller.ask(gateway.callers, ASK, "r1", DEADLINE).await;
        assert_eq!(answer.expect("no response").status, StatusCode::NOT_FOUND);
    }
    // An older version that is written later changes nothing, also after the log was compacted.
    let body = serde_json::to_vec(&outdated).expect("the document cannot be encoded");
    let topic = swiftshunt_platform::words::topics::OPERATOR;
    fleet.store.put(topic, "config", body);
    fleet.store.drop_history();
    tokio::time::sleep(APPLIED_WITHIN).await;
    for gateway in &fleet.gateways {
        let answer = fleet.caller.ask(gateway.callers, ASK, "r2", DEADLINE).await;
        assert_eq!(answer.expect("no response").status, StatusCode::NOT_FOUND);
    }
}

/// Reads that the log received during an outage are never answered, not even after it. Guards against
/// gateways that wait for these reads to time out before they apply changes acknowledged after the outage.
#[tokio::test(flavor = "multi_thread")]
async fn changes_after_an_outage_apply_in_time_although_reads_were_lost_in_it() {
    const OUTAGE: Duration = Duration::from_millis(500);
    let mut fleet = start(PlatformOptions::default()).await;
    for round in 0..4 {
        let mut changed = first_configuration();
        if round % 2 == 0 {
            changed.routes.remove(0);
        }
        for gateway in &fleet.gateways {
            gateway.store_listener.set_faults(StoreFaults {
                hang_reads: true,
                ..StoreFaults::default()
            });
        }
        // A change during the outage would answer the waiting reads; these answers are lost.
        fleet.configure(first_configuration());
        tokio::time::sleep(OUTAGE).await;
        for gateway in &fleet.gateways {
            gateway.store_listener.set_faults(StoreFaults::default());
        }
        fleet.configure(changed);
        tokio::time::sleep(APPLIED_WITHIN).await;
        let expected = if round % 2 == 0 {
            StatusCode::NOT_FOUND
        } else {
            StatusCode::OK
        };
        for (number, gateway) in fleet.gateways.iter().enumerate() {
            let id = format!("r{round}-{number}");
            let answer = fleet.caller.ask(gateway.callers, ASK, &id, DEADLINE).await;
            let status = answer.expect("no response").status;
            assert_eq!(status, expected, "round {round}, gateway {number}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_by_the_known_configuration_while_the_log_is_down() {
    let fleet = start(PlatformOptions::default()).await;
    for gateway in &fleet.gateways {
        gateway
            .store_listener
            .set_faults(gateway::unresponsive_log());
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    for (number, gateway) in fleet.gateways.iter().enumerate() {
        let id = format!("r{number}");
        let answer = fleet.caller.ask(gateway.callers, ASK, &id, DEADLINE).await;
        assert_eq!(answer.expect("no response").status, StatusCode::OK);
        assert!(fleet.caller.is_ready(gateway.ready).await);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_single_gateway_without_the_log_serves_by_the_known_configuration() {
    let mut fleet = start(PlatformOptions::default()).await;
    fleet.gateways[0]
        .store_listener
        .set_faults(gateway::unresponsive_log());
    fleet.configure(first_configuration());
    let answer = fleet
        .caller
        .ask(fleet.gateways[0].callers, ASK, "r1", DEADLINE)
        .await;
    assert_eq!(answer.expect("no response").status, StatusCode::OK);
    fleet.gateways[0]
        .store_listener
        .set_faults(StoreFaults::default());
    let answer = fleet
        .caller
        .ask(fleet.gateways[1].callers, ASK, "r2", DEADLINE)
        .await;
    assert_eq!(answer.expect("no response").status, StatusCode::OK);
}

#[derive(Clone, Copy, Debug)]
enum Leaving {
    Draining,
    Unlisted,
}

#[test_case::test_case(Leaving::Draining)]
#[test_case::test_case(Leaving::Unlisted)]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_worker_receives_nothing_after_two_seconds(leaving: Leaving) {
    let fleet = start(PlatformOptions::default()).await;
    match leaving {
        Leaving::Draining => fleet.list(&fleet.whole_workers[0], "whole", values::DRAINING),
        Leaving::Unlisted => fleet.unlist(&fleet.whole_workers[0]),
    }
    tokio::time::sleep(APPLIED_WITHIN).await;
    let before = fleet.whole_workers[0].runs().len();
    for number in 0..20 {
        let gateway = fleet.gateways[number % 2].callers;
        let id = format!("r{number}");
        let answer = fleet.caller.ask(gateway, ASK, &id, DEADLINE).await;
        assert_eq!(answer.expect("no response").status, StatusCode::OK);
    }
    assert_eq!(fleet.whole_workers[0].runs().len(), before);
}

/// The state of a draining worker that was read from the log stays valid while the log is down.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_worker_receives_nothing_while_the_log_is_down() {
    let fleet = start(PlatformOptions::default()).await;
    fleet.list(&fleet.whole_workers[0], "whole", values::DRAINING);
    tokio::time::sleep(APPLIED_WITHIN).await;
    for gateway in &fleet.gateways {
        gateway
            .store_listener
            .set_faults(gateway::unresponsive_log());
    }
    let before = fleet.whole_workers[0].runs().len();
    for number in 0..40 {
        let gateway = fleet.gateways[number % 2].callers;
        let id = format!("r{number}");
        let answer = fleet.caller.ask(gateway, ASK, &id, DEADLINE).await;
        assert_eq!(answer.expect("no response").status, StatusCode::OK);
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    assert_eq!(fleet.whole_workers[0].runs().len(), before);
}

/// Directory entries may expire while the log is unreachable. A worker whose entry is missing afterwards
/// receives no requests until it is listed again.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_whose_entry_expired_receives_nothing_until_it_is_listed_again() {
    let fleet = start(PlatformOptions::default()).await;
    for gateway in &fleet.gateways {
        gateway
            .store_listener
            .set_faults(gateway::unresponsive_log());
    }
    fleet.unlist(&fleet.whole_workers[0]);
    tokio::time::sleep(APPLIED_WITHIN / 2).await;
    for gateway in &fleet.gateways {
        gateway.store_listener.set_faults(StoreFaults::default());
    }
    tokio::time::sleep(APPLIED_WITHIN).await;
    let before = fleet.whole_workers[0].runs().len();
    for number in 0..24 {
        let gateway = fleet.gateways[number % 2].callers;
        let id = format!("gone-{number}");
        let answer = fleet.caller.ask(gateway, ASK, &id, DEADLINE).await;
        assert_eq!(answer.expect("no response").status, StatusCode::OK);
    }
    assert_eq!(fleet.whole_workers[0].runs().len(), before);
    fleet.list(&fleet.whole_workers[0], "whole", values::READY);
    tokio::time::sleep(APPLIED_WITHIN).await;
    for number in 0..24 {
        let gateway = fleet.gateways[number % 2].callers;
        let id = format!("back-{number}");
        let answer = fleet.caller.ask(gateway, ASK, &id, DEADLINE).await;
        assert_eq!(answer.expect("no response").status, StatusCode::OK);
    }
    assert!(fleet.whole_workers[0].runs().len() > before);
}

/// If all directory entries expired while the log was unreachable, running workers list themselves again
/// within about two seconds of its return. Until then the gateways must go on using the known workers.
#[tokio::test(flavor = "multi_thread")]
async fn known_workers_are_used_if_all_entries_expired_in_an_outage() {
    /// Time until the workers list themselves again.
    const LISTED_AFTER: Duration = Duration::from_millis(1_500);
    let fleet = start(PlatformOptions::default()).await;
    for gateway in &fleet.gateways {
        gateway
            .store_listener
            .set_faults(gateway::unresponsive_log());
    }
    for worker in fleet.whole_workers.iter().chain(&fleet.engine_workers) {
        fleet.unlist(worker);
    }
    tokio::time::sleep(APPLIED_WITHIN / 2).await;
    for gateway in &fleet.gateways {
        gateway.store_listener.set_faults(StoreFaults::default());
    }
    let log_restored_at = std::time::Instant::now();
    let (mut asked, mut refused) = (0, 0);
    while log_restored_at.elapsed() < LISTED_AFTER {
        let gateway = fleet.gateways[asked % 2].callers;
        let id = format!("lapsed-{asked}");
        let answer = fleet.caller.ask(gateway, ASK, &id, DEADLINE).await;
        let status = answer.expect("no response").status;
        refused += usize::from(status != StatusCode::OK);
        asked += 1;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    fleet.list_all(values::READY);
    assert_eq!(refused, 0, "refused requests, of {asked}");
}

/// Guards against a preference for new workers over those whose directory entries have not changed for
/// long.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_worker_does_not_attract_all_requests() {
    let fleet = start(PlatformOptions {
        workers: 3,
        ..PlatformOptions::default()
    })
    .await;
    fleet.unlist(&fleet.whole_workers[2]);
    tokio::time::sleep(APPLIED_WITHIN * 2).await;
    fleet.list(&fleet.whole_workers[2], "whole", values::READY);
    tokio::time::sleep(APPLIED_WITHIN).await;
    let before = fleet.whole_workers[2].runs().len();
    let gateway = fleet.gateways[0].callers;
    let requests = (0..60).map(|number| {
        let caller = fleet.caller.clone();
        let id = format!("r{number}");
        async move { caller.ask(gateway, ASK, &id, DEADLINE).await }
    });
    for answer in futures_util::future::join_all(requests).await {
        assert_eq!(answer.expect("no response").status, StatusCode::OK);
    }
    let new_worker_runs = fleet.whole_workers[2].runs().len() - before;
    assert!(
        new_worker_runs < 45,
        "{new_worker_runs} of 60 requests went to the new worker"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_breaks_off_no_stream_and_ends_in_time() {
    let mut fleet = start(PlatformOptions {
        events: 20,
        event_interval: Duration::from_millis(100),
        ..PlatformOptions::default()
    })
    .await;
    let gateway = fleet.gateways[0].callers;
    let streams: Vec<_> = (0..5)
        .map(|number| {
            let caller = fleet.caller.clone();
            let id = format!("s{number}");
            tokio::spawn(async move { caller.ask(gateway, STREAM_ONCE, &id, DEADLINE).await })
        })
        .collect();
    eventually("every stream runs", || async {
        (0..5).all(|number| !fleet.runs_of(&format!("s{number}")).is_empty())
    })
    .await;
    let stopped_at = Instant::now();
    fleet.gateways[0].process.terminate();
    let ready = fleet.gateways[0].ready;
    let caller = fleet.caller.clone();
    eventually("the gateway reports that it is not ready", || async {
        !caller.is_ready(ready).await
    })
    .await;
    let late = fleet.caller.ask(gateway, ASK, "r1", DEADLINE).await;
    let late = late.expect("a request right after SIGTERM was not answered");
    assert_eq!(late.status, StatusCode::OK);
    for (number, stream) in streams.into_iter().enumerate() {
        let answer = stream
            .await
            .expect("the task panicked")
            .expect("the stream is incomplete");
        assert_all_events(&answer.body, &format!("s{number}"), 20);
    }
    while fleet.gateways[0].process.is_running() {
        assert!(
            stopped_at.elapsed() < Duration::from_secs(8),
            "the gateway still runs"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a request that is accepted four seconds after SIGTERM and broken off when the process
/// ends: it must get 503 with `retry-after` instead.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_late_in_a_planned_stop_gets_503_with_retry_after() {
    let fleet = start(PlatformOptions {
        events: 60,
        event_interval: Duration::from_millis(100),
        ..PlatformOptions::default()
    })
    .await;
    let gateway = fleet.gateways[0].callers;
    let caller = fleet.caller.clone();
    // This stream keeps the process running until the late request arrives.
    let open_stream =
        tokio::spawn(async move { caller.ask(gateway, STREAM_ONCE, "s1", DEADLINE).await });
    eventually("the stream runs", || async {
        !fleet.runs_of("s1").is_empty()
    })
    .await;
    fleet.gateways[0].process.terminate();
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    let late = fleet.caller.ask(gateway, STREAM_ONCE, "s2", DEADLINE).await;
    let late = late.expect("no response");
    assert_eq!(late.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(late.headers.contains_key("retry-after"));
    assert!(fleet.runs_of("s2").is_empty());
    drop(open_stream.await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_logs_that_its_process_was_paused() {
    let fleet = start(PlatformOptions::default()).await;
    fleet.gateways[0].process.pause();
    // Longer than the interval at which the gateway checks its clock plus the tolerated delay.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    fleet.gateways[0].process.resume();
    let logs = fleet.log_directory().to_owned();
    eventually("the log shows that the process was paused", || async {
        let log = std::fs::read_to_string(logs.join("gateway-0.log"));
        log.is_ok_and(|log| log.contains("this process stood still"))
    })
    .await;
}
