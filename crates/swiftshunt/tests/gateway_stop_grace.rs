//! Requests that outlast the grace period of a planned stop.
//!
//! Guards against requests that a stopping gateway cuts off without an answer.

mod gateway;

use std::time::Duration;

use gateway::{ExclusiveFleet, start, submit, unresponsive_log};
use hyper::StatusCode;
use swiftshunt_lab::platform::caller::HOST;
use swiftshunt_lab::platform::fleet::{ASK, ONCE, PlatformOptions, STREAM, eventually};
use swiftshunt_lab::platform::worker::WorkerBehaviour;
use swiftshunt_platform::words::headers;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Stop of the gateways: the closing stage begins one second after the signal.
const STOP_SETTINGS: &str = "[stop]\ngrace = \"4s\"\nunlisted_after = \"1s\"";
/// Time from the signal until the closing stage has begun.
const CLOSING_AFTER: Duration = Duration::from_millis(1_500);
/// Time that the workers take for a request, beyond the grace period and below the time-out of the routes.
const ANSWER_DELAY: Duration = Duration::from_secs(7);
/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(15);
/// Number of concurrent requests.
const REQUESTS: usize = 6;

async fn start_fleet() -> ExclusiveFleet {
    let fleet = start(PlatformOptions {
        gateways: 1,
        extra_settings: STOP_SETTINGS.to_owned(),
        ..PlatformOptions::default()
    })
    .await;
    for worker in fleet.whole_workers.iter().chain(&fleet.engine_workers) {
        worker.set_behaviour(WorkerBehaviour::DelayAnswer(ANSWER_DELAY));
    }
    fleet
}

#[test_case(ONCE; "not repeatable")]
#[test_case(ASK; "repeatable")]
#[test_case(STREAM; "streams before their first event")]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_in_progress_at_the_end_of_the_grace_period_gets_an_answer(path: &'static str) {
    let fleet = start_fleet().await;
    let gateway = fleet.gateways[0].callers;
    let requests = (0..REQUESTS).map(|number| {
        let caller = fleet.caller.clone();
        async move {
            let id = format!("r{number}");
            (caller.ask(gateway, path, &id, DEADLINE).await, id)
        }
    });
    let requests: Vec<_> = requests.map(tokio::spawn).collect();
    eventually("the requests run", || async {
        fleet.runs().len() >= REQUESTS
    })
    .await;
    fleet.gateways[0].process.terminate();
    for request in requests {
        let (answer, id) = request.await.expect("the caller panicked");
        let answer = answer.unwrap_or_else(|error| panic!("{id} got no answer: {error}"));
        // Its workers take longer than the grace period; one that may be repeated may have used its attempts up.
        let may_have_run = [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT];
        assert!(
            may_have_run.contains(&answer.status),
            "{id}: {}",
            answer.status
        );
    }
}

#[test_case(ONCE; "not repeatable")]
#[test_case(ASK; "repeatable")]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_ends_late_in_a_planned_stop_is_refused_and_does_not_run(path: &str) {
    let fleet = start_fleet().await;
    let gateway = fleet.gateways[0].callers;
    let mut stream = TcpStream::connect(gateway).await.expect("no connection");
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\n{}: late\r\n{}: 15000\r\ncontent-length: 2\r\n\r\na",
        headers::REQUEST_ID,
        headers::DEADLINE
    );
    let sent = stream.write_all(head.as_bytes()).await;
    sent.expect("the head was not sent");
    fleet.gateways[0].process.terminate();
    tokio::time::sleep(CLOSING_AFTER).await;
    // The gateway may have answered and closed the connection.
    drop(stream.write_all(b"b").await);
    let mut answer = Vec::new();
    let read = tokio::time::timeout(DEADLINE, stream.read_to_end(&mut answer)).await;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(read.is_ok(), "the connection stays open");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(fleet.runs_of("late").is_empty(), "it ran");
}

/// Guards against calls about jobs that are cut without an answer: they may wait for results longer than the grace period.
#[test_case(false; "log answers")]
#[test_case(true; "log unresponsive")]
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_waits_for_results_at_the_end_of_the_grace_period_gets_an_answer(
    is_log_unresponsive: bool,
) {
    let fleet = start_fleet().await;
    let gateway = &fleet.gateways[0];
    submit(&fleet, gateway.callers, "long", 1).await;
    let (caller, address) = (fleet.caller.clone(), gateway.callers);
    let call = tokio::spawn(async move { caller.results(address, "long", 0, DEADLINE).await });
    eventually("the item runs", || async { !fleet.runs().is_empty() }).await;
    if is_log_unresponsive {
        gateway.store_listener.set_faults(unresponsive_log());
    }
    gateway.process.terminate();
    let answer = call.await.expect("the caller panicked");
    let (status, _) = answer.unwrap_or_else(|error| panic!("no answer: {error}"));
    // An answer of 200 without results would be as good: both send the caller to another gateway.
    assert!(
        [StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE].contains(&status),
        "{status}"
    );
}
