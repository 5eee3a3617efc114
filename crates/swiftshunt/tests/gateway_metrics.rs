//! Metrics and log lines about the decisions of a gateway.

mod gateway;

use std::time::Duration;

use gateway::{ExclusiveFleet, start};
use hyper::StatusCode;
use swiftshunt_lab::platform::fleet::{ASK, BATCH, PlatformOptions, STREAM, eventually};
use swiftshunt_lab::platform::store::{StoreFaults, StoreOutage};

/// Time within which gateways must apply a change.
const APPLIED_WITHIN: Duration = Duration::from_secs(2);
const DEADLINE: Duration = Duration::from_secs(5);
const REFUSALS: &str = "swiftshunt_refusals_total";

#[tokio::test(flavor = "multi_thread")]
async fn refusals_are_counted_by_reason() {
    let fleet = start(PlatformOptions {
        gateways: 1,
        ..PlatformOptions::default()
    })
    .await;
    let gateway = &fleet.gateways[0];
    let refusals = |reason: &str| {
        let name = format!("{REFUSALS}{{reason=\"{reason}\"}}");
        let caller = fleet.caller.clone();
        async move { caller.metric_value(gateway.metrics, &name).await }
    };
    for worker in &fleet.whole_workers {
        fleet.unlist(worker);
    }
    tokio::time::sleep(APPLIED_WITHIN).await;
    let answer = fleet.caller.ask(gateway.callers, ASK, "r1", DEADLINE).await;
    let status = answer.expect("no response").status;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refusals("NoWorker").await, 1.0);
    assert_eq!(refusals("LogAway").await, 0.0);

    gateway.store_listener.set_faults(StoreFaults {
        outage: Some(StoreOutage::Busy),
        ..StoreFaults::default()
    });
    let answer = fleet
        .caller
        .submit(gateway.callers, BATCH, "job-1", 3)
        .await;
    let status = answer.expect("no response");
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refusals("LogAway").await, 1.0);
    assert_eq!(refusals("NoWorker").await, 1.0);
}

/// A stream that starts in time may still end late because of a pause. The log line and the metric show the
/// reason.
#[tokio::test(flavor = "multi_thread")]
async fn streams_that_pause_for_too_long_are_counted_and_logged() {
    let fleet = start(PlatformOptions {
        gateways: 1,
        events: 3,
        event_interval: Duration::from_millis(540),
        ..PlatformOptions::default()
    })
    .await;
    let gateway = &fleet.gateways[0];
    let answer = fleet
        .caller
        .ask(gateway.callers, STREAM, "s1", DEADLINE)
        .await;
    assert_eq!(answer.expect("no response").status, StatusCode::OK);
    let name = "swiftshunt_streams_paused_total";
    eventually("the pause is counted", || async {
        fleet.caller.metric_value(gateway.metrics, name).await == 1.0
    })
    .await;
    let line = wait_for_log_line(&fleet, "s1", "a stream paused").await;
    let longest = line["longest_ms"]
        .as_u64()
        .expect("longest_ms is not a number");
    assert!((500..5_000).contains(&longest), "{line}");
}

/// The log line of a late response contains the time at which the request was sent and how much of its prompt
/// the worker had to read.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_response_is_logged_with_its_times() {
    let fleet = start(PlatformOptions {
        gateways: 1,
        answer_delay: Duration::from_millis(500),
        ..PlatformOptions::default()
    })
    .await;
    let gateway = &fleet.gateways[0];
    let answer = fleet.caller.ask(gateway.callers, ASK, "r1", DEADLINE).await;
    assert_eq!(answer.expect("no response").status, StatusCode::OK);
    let line = wait_for_log_line(&fleet, "r1", "answered").await;
    let field = |name: &str| line[name].as_u64().expect("the field is not a number");
    assert!(field("waited_ms") >= 500, "{line}");
    assert!(field("sent_after_ms") < field("waited_ms"), "{line}");
    assert_eq!(field("missing_tokens"), 0);
    assert_eq!(
        line["worker"].as_str().map(|worker| &worker[..6]),
        Some("whole-")
    );
}

/// Waits for a log line about a request whose message begins with `message`, and returns it.
async fn wait_for_log_line(
    fleet: &ExclusiveFleet,
    request: &str,
    message: &str,
) -> serde_json::Value {
    let file = fleet.log_directory().join("gateway-0.log");
    let find = || {
        let text = std::fs::read_to_string(&file).unwrap_or_default();
        let lines = text.lines();
        let mut lines = lines.filter_map(|line| serde_json::from_str(line).ok());
        lines.find(|line: &serde_json::Value| {
            let begins = line["message"].as_str().map(|it| it.starts_with(message));
            line["request"] == request && begins == Some(true)
        })
    };
    eventually("the log line is written", || async { find().is_some() }).await;
    find().expect("the log line is missing")
}
