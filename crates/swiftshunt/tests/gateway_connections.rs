//! Connections of callers that are closed early, or opened as soon as a gateway reports that it is ready.

mod gateway;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use gateway::{ExclusiveFleet, start};
use hyper::StatusCode;
use swiftshunt_lab::platform::caller::HOST;
use swiftshunt_lab::platform::fleet::{ASK, ONCE, PlatformOptions, STREAM, STREAM_ONCE};
use swiftshunt_platform::words::headers;
use test_case::test_case;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const DEADLINE: Duration = Duration::from_secs(5);
/// Time within which a worker's slot is free after the caller has disconnected.
const FREE_WITHIN: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

fn running_requests(fleet: &ExclusiveFleet) -> usize {
    let workers = fleet.whole_workers.iter().chain(&fleet.engine_workers);
    workers.map(|worker| worker.running()).sum()
}

/// Waits until no request runs, or until `DEADLINE` is over, and returns how long that took.
async fn time_until_idle(fleet: &ExclusiveFleet) -> Duration {
    let started_at = Instant::now();
    while running_requests(fleet) > 0 && started_at.elapsed() < DEADLINE {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    started_at.elapsed()
}

#[test_case(ASK; "a repeatable request before its response")]
#[test_case(ONCE; "a request that may not be repeated, before its response")]
#[test_case(STREAM; "a resumable stream")]
#[test_case(STREAM_ONCE; "a stream that may not be resumed")]
#[tokio::test(flavor = "multi_thread")]
async fn a_disconnected_caller_frees_its_worker_within_half_a_second(path: &str) {
    let fleet = start(PlatformOptions {
        events: 200,
        event_interval: Duration::from_millis(20),
        answer_delay: Duration::from_secs(4),
        ..PlatformOptions::default()
    })
    .await;
    let gateway = fleet.gateways[0].callers;
    let disconnect_after = Duration::from_millis(300);
    let calls = (0..6).map(|number| {
        let caller = fleet.caller.clone();
        let id = format!("r{number}");
        async move {
            caller
                .ask_and_disconnect(gateway, path, &id, disconnect_after)
                .await
        }
    });
    let running_before = async {
        tokio::time::sleep(disconnect_after / 2).await;
        running_requests(&fleet)
    };
    let (_, running_before) = tokio::join!(join_all(calls), running_before);
    assert_eq!(
        running_before, 6,
        "not all requests ran before their callers disconnected"
    );
    let occupied = time_until_idle(&fleet).await;
    assert!(
        occupied < FREE_WITHIN,
        "slots were in use for {occupied:?} after the callers disconnected"
    );
}

/// Sends the head of a request and a part of its body, and closes the connection.
async fn send_incomplete(gateway: SocketAddr, id: &str) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(gateway).await?;
    let head = format!(
        "POST {ASK}begun HTTP/1.1\r\nhost: {HOST}\r\n{}: {id}\r\ncontent-length: 1000\r\n\r\n",
        headers::REQUEST_ID
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&[b'x'; 400]).await?;
    stream.flush().await?;
    tokio::time::sleep(Duration::from_millis(100)).await;
    stream.shutdown().await
}

#[tokio::test(flavor = "multi_thread")]
async fn an_incomplete_request_of_a_disconnected_caller_does_not_run() {
    let fleet = start(PlatformOptions::default()).await;
    let gateway = fleet.gateways[0].callers;
    for number in 0..5 {
        let sent = send_incomplete(gateway, &format!("begun-{number}")).await;
        sent.expect("the incomplete request was not sent");
    }
    let answer = fleet.caller.ask(gateway, ASK, "whole", DEADLINE).await;
    assert_eq!(answer.expect("no response").status, StatusCode::OK);
    tokio::time::sleep(FREE_WITHIN).await;
    for number in 0..5 {
        let id = format!("begun-{number}");
        assert!(fleet.runs_of(&id).is_empty(), "{id} ran");
    }
}

/// A load balancer sends callers to a gateway after the first successful readiness check, so the gateway must
/// already accept connections then.
#[tokio::test(flavor = "multi_thread")]
async fn a_ready_gateway_accepts_connections_immediately() {
    const STARTS: usize = 4;
    let mut fleet = start(PlatformOptions::default()).await;
    for round in 0..STARTS {
        fleet.restart(0).expect("the gateway did not start");
        let gateway = &fleet.gateways[0];
        while !fleet.caller.is_ready(gateway.ready).await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let requests = (0..20).map(|number| {
            let caller = fleet.caller.clone();
            let id = format!("r{round}-{number}");
            async move { caller.ask(gateway.callers, ASK, &id, DEADLINE).await }
        });
        for answer in join_all(requests).await {
            assert_eq!(answer.expect("no response").status, StatusCode::OK);
        }
    }
}
