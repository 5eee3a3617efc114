//! Order of events when a request has crashed its third worker: once its caller knows of the failure, no gateway may
//! send the request again.
//!
//! Guards against a fourth crashed worker in attempts that follow each other at different gateways. Each test holds
//! back the report of a crash where luck would have it be late: by gateways that start while the log is slow, a gateway
//! that loses its datagrams, one that is paused, and a listening socket that is closed late.

mod gateway;

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use gateway::{ExclusiveFleet, start, unresponsive_log};
use hyper::StatusCode;
use swiftshunt_http::{HttpAnswer, HttpError};
use swiftshunt_lab::platform::fleet::{
    ASK, ONCE, PlatformOptions, STREAM_ONCE, eventually, first_configuration,
};
use swiftshunt_lab::platform::store::StoreFaults;
use swiftshunt_lab::platform::worker::Worker;
use swiftshunt_platform::words::topics;
use test_case::test_case;

/// The body of a request that crashes each worker that runs it.
const HARMFUL: &str = "a question that ends its worker";
/// Number of crashed workers after which a request is quarantined.
const MAX_CRASHES: usize = 3;
/// Number of datagrams that fill a gateway's receive buffer, so that those of other gateways are lost.
const FLOOD_DATAGRAMS: usize = 4_000;
/// Number of datagrams that a gateway does not handle in one go, and that leave room in its receive buffer.
const BACKLOG_DATAGRAMS: usize = 200;
/// Time that the log takes for an append.
const APPEND_DELAY: Duration = Duration::from_millis(200);
/// Time after a crash within which its worker is found to have ended and the first report of that is sent.
const REPORT_TIME: Duration = Duration::from_millis(60);
/// Time after the start of a stream in which its first events reach the caller.
const FIRST_EVENTS: Duration = Duration::from_millis(80);
/// Time from the end of a worker's connections to the close of its listening socket. Shorter than the pause between two
/// probes, so that the second one is refused.
const LISTENER_DELAY: Duration = Duration::from_millis(4);
/// Time after which failed sends of a gateway no longer suggest a fault of that gateway.
const LOCAL_FAULT_WINDOW: Duration = Duration::from_millis(400);
/// Name of the metric that tells the version of the configuration in force.
const CONFIGURATION_VERSION: &str = "swiftshunt_configuration_version";

async fn start_fleet(gateways: usize, workers: usize) -> ExclusiveFleet {
    start(PlatformOptions {
        gateways,
        workers,
        crash_workers_on_body: Some(HARMFUL.to_owned()),
        ..PlatformOptions::default()
    })
    .await
}

/// Returns the number of workers that have crashed.
fn crashed_workers(fleet: &ExclusiveFleet) -> usize {
    let workers = fleet.whole_workers.iter().chain(&fleet.engine_workers);
    workers.filter(|worker| worker.has_crashed()).count()
}

/// Sends the harmful request once in a task of its own.
fn send(
    fleet: &ExclusiveFleet,
    gateway: SocketAddr,
    path: &str,
    id: &str,
) -> tokio::task::JoinHandle<Result<HttpAnswer, HttpError>> {
    let caller = fleet.caller.clone();
    let (path, id) = (path.to_owned(), id.to_owned());
    tokio::spawn(async move { caller.ask_with_body(gateway, &path, &id, HARMFUL).await })
}

/// Sends the harmful request once and returns the status of the answer.
async fn status_of_attempt(
    fleet: &ExclusiveFleet,
    gateway: SocketAddr,
    path: &str,
    id: &str,
) -> StatusCode {
    let answer = send(fleet, gateway, path, id).await;
    let answer = answer.expect("the task panicked").expect("no response");
    answer.status
}

/// Sends the harmful request `attempts` times, to each gateway in turn from the one at index `first`, and returns the
/// statuses of the answers.
async fn statuses_in_turn(
    fleet: &ExclusiveFleet,
    path: &str,
    first: usize,
    attempts: usize,
) -> Vec<StatusCode> {
    let mut statuses = Vec::new();
    for attempt in 0..attempts {
        let index = (first + attempt) % fleet.gateways.len();
        let gateway = fleet.gateways[index].callers;
        let id = format!("harmful-{first}-{attempt}");
        statuses.push(status_of_attempt(fleet, gateway, path, &id).await);
    }
    statuses
}

/// Waits until `crashes` workers have crashed.
async fn until_crashed(fleet: &ExclusiveFleet, crashes: usize) {
    eventually("the worker crashes", || async {
        crashed_workers(fleet) == crashes
    })
    .await;
}

/// Two gateways start while the log takes long for appends, so that each may read the list of gateways before the other
/// one is in it. Neither would then tell the other one of a crash.
#[tokio::test(flavor = "multi_thread")]
async fn gateways_that_start_together_refuse_a_request_that_ended_three_workers() {
    let mut fleet = start_fleet(2, 8).await;
    for gateway in &fleet.gateways {
        gateway.process.signal_kill();
        let address = gateway.peers.to_string();
        fleet.store.put(topics::GATEWAYS, &address, Vec::new());
        gateway.store_listener.set_faults(StoreFaults {
            lost_answer_probability: 1.0,
            lost_append_delay: APPEND_DELAY,
            ..StoreFaults::default()
        });
    }
    for index in 0..fleet.gateways.len() {
        fleet.restart(index).expect("the gateway did not start");
    }
    for gateway in &fleet.gateways {
        let is_ready = || fleet.caller.is_ready(gateway.ready);
        eventually("the gateway is ready", is_ready).await;
    }
    for gateway in &fleet.gateways {
        gateway.store_listener.set_faults(unresponsive_log());
    }
    let statuses = statuses_in_turn(&fleet, ONCE, 0, 2 * MAX_CRASHES).await;
    println!("{statuses:?}");
    assert_eq!(crashed_workers(&fleet), MAX_CRASHES);
    let refused = &statuses[MAX_CRASHES..];
    assert_eq!(refused, [StatusCode::SERVICE_UNAVAILABLE; 3]);
}

/// Of six gateways, most know of none or one of the ends. The gateway at which the third worker ends has to learn from
/// the collectors that the request is held, and all others have to know it before the caller is answered.
#[tokio::test(flavor = "multi_thread")]
async fn attempts_at_changing_gateways_end_three_workers() {
    let requests = 8;
    let fleet = start_fleet(6, MAX_CRASHES * requests + 4).await;
    for gateway in &fleet.gateways {
        gateway.store_listener.set_faults(unresponsive_log());
    }
    for request in 0..requests {
        let path = format!("{ONCE}{request}");
        let statuses = statuses_in_turn(&fleet, &path, request, MAX_CRASHES + 1).await;
        println!("{path}: {statuses:?}");
        let crashes = (request + 1) * MAX_CRASHES;
        assert_eq!(crashed_workers(&fleet), crashes, "{path}");
        assert_eq!(statuses[MAX_CRASHES], StatusCode::SERVICE_UNAVAILABLE);
    }
}

/// A request that a gateway may send twice has ended two workers at another gateway. Its first worker here is the third
/// one: the gateway has to learn that from the collectors before it sends the request again.
#[tokio::test(flavor = "multi_thread")]
async fn a_retry_is_not_sent_before_the_collectors_have_answered() {
    let requests = 6;
    let mut fleet = start_fleet(6, MAX_CRASHES * requests + 4).await;
    let mut configuration = first_configuration();
    for route in &mut configuration.routes {
        route.max_attempts = 2;
    }
    fleet.configure(configuration);
    for gateway in &fleet.gateways {
        eventually("the configuration is in force", || async {
            let version = fleet
                .caller
                .metric_value(gateway.metrics, CONFIGURATION_VERSION);
            version.await >= 2.0
        })
        .await;
    }
    for request in 0..requests {
        let path = format!("{ASK}{request}");
        let statuses = statuses_in_turn(&fleet, &path, request, 3).await;
        println!("{path}: {statuses:?}");
        let crashes = (request + 1) * MAX_CRASHES;
        assert_eq!(crashed_workers(&fleet), crashes, "{path}");
        assert_eq!(statuses[2], StatusCode::SERVICE_UNAVAILABLE);
    }
}

/// Sends datagrams to a gateway that it cannot read.
fn send_unreadable_datagrams(gateway: SocketAddr, count: usize) {
    let socket = UdpSocket::bind(("127.0.0.1", 0)).expect("cannot open a socket");
    for _ in 0..count {
        socket
            .send_to(&[0], gateway)
            .expect("cannot send a datagram");
    }
}

/// The report of the third crash is lost on its way to the gateway that the caller asks next. The caller must not be
/// answered before that gateway has recorded the crash.
#[test_case(ONCE; "whole answers")]
#[test_case(STREAM_ONCE; "streams")]
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_report_of_the_third_crash_is_repeated_before_the_caller_is_answered(path: &str) {
    let fleet = start_fleet(3, 8).await;
    for gateway in &fleet.gateways {
        gateway.store_listener.set_faults(unresponsive_log());
    }
    for attempt in 0..2 {
        let gateway = fleet.gateways[attempt].callers;
        let id = format!("harmful-{attempt}");
        status_of_attempt(&fleet, gateway, path, &id).await;
    }
    let next = &fleet.gateways[2];
    next.process.pause();
    send_unreadable_datagrams(next.peers, FLOOD_DATAGRAMS);
    let third = send(&fleet, fleet.gateways[0].callers, path, "harmful-2");
    until_crashed(&fleet, MAX_CRASHES).await;
    tokio::time::sleep(REPORT_TIME).await;
    next.process.resume();
    let third = third
        .await
        .expect("the task panicked")
        .expect("no response");
    assert_eq!(third.status, StatusCode::BAD_GATEWAY);
    let status = status_of_attempt(&fleet, next.callers, path, "harmful-3").await;
    assert_eq!(crashed_workers(&fleet), MAX_CRASHES);
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
}

/// A gateway that was paused finds the report of the third crash and the caller's next attempt side by side, in any
/// order. The caller of the third attempt must be answered although the paused gateway acknowledges nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_that_was_paused_handles_reports_before_requests() {
    let requests = 4;
    let fleet = start_fleet(3, MAX_CRASHES * requests + 4).await;
    for gateway in &fleet.gateways {
        gateway.store_listener.set_faults(unresponsive_log());
    }
    let paused = &fleet.gateways[2];
    for request in 0..requests {
        let path = format!("{ONCE}{request}");
        // The caller's next attempt then arrives on a connection that is open.
        let warm_up = fleet
            .caller
            .ask_with_body(paused.callers, ONCE, "other", "another");
        assert_eq!(warm_up.await.expect("no response").status, StatusCode::OK);
        paused.process.pause();
        send_unreadable_datagrams(paused.peers, BACKLOG_DATAGRAMS);
        for attempt in 0..MAX_CRASHES {
            let gateway = fleet.gateways[attempt % 2].callers;
            let id = format!("harmful-{request}-{attempt}");
            let status = status_of_attempt(&fleet, gateway, &path, &id).await;
            assert_eq!(status, StatusCode::BAD_GATEWAY);
        }
        let next = send(
            &fleet,
            paused.callers,
            &path,
            &format!("harmful-{request}-next"),
        );
        tokio::time::sleep(REPORT_TIME).await;
        paused.process.resume();
        let next = next.await.expect("the task panicked").expect("no response");
        assert_eq!(
            crashed_workers(&fleet),
            (request + 1) * MAX_CRASHES,
            "{path}"
        );
        assert_eq!(next.status, StatusCode::SERVICE_UNAVAILABLE);
        // Failures at many workers in quick succession would count as a fault of the gateway itself.
        tokio::time::sleep(LOCAL_FAULT_WINDOW).await;
    }
}

/// Streams break off after their first event, each at a worker whose listening socket is closed some milliseconds
/// later, so that its end is found late. The caller must not see the stream break off before the end is reported.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_breaks_off_at_its_caller_after_the_end_of_its_worker_is_reported() {
    let fleet = start(PlatformOptions {
        gateways: 3,
        workers: 6,
        event_interval: Duration::from_millis(30),
        ..PlatformOptions::default()
    })
    .await;
    for gateway in &fleet.gateways {
        gateway.store_listener.set_faults(unresponsive_log());
    }
    for attempt in 0..MAX_CRASHES {
        let gateway = fleet.gateways[attempt].callers;
        let id = format!("harmful-{attempt}");
        let stream = send(&fleet, gateway, STREAM_ONCE, &id);
        let runs = |worker: &&Worker| worker.running() > 0 && !worker.has_crashed();
        let running = || fleet.engine_workers.iter().find(runs);
        eventually("the stream runs", || async { running().is_some() }).await;
        tokio::time::sleep(FIRST_EVENTS).await;
        let worker = running().expect("no worker runs the stream");
        worker.crash_with_listener_delay(LISTENER_DELAY);
        let stream = stream.await.expect("the task panicked");
        assert!(stream.is_err(), "the stream of attempt {attempt} is whole");
    }
    for gateway in &fleet.gateways {
        let id = format!("next-{}", gateway.callers);
        let status = status_of_attempt(&fleet, gateway.callers, STREAM_ONCE, &id).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(fleet.runs_of(&id).is_empty());
    }
}
