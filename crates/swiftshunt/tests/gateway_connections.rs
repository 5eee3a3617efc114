//! Connections of callers: those that are closed early, and those that come as soon as a gateway says
//! that it is ready.

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
/// Time after a caller has left in which its worker is free again.
const FREE_WITHIN: Duration = Duration::from_millis(500);
const LOOK: Duration = Duration::from_millis(10);

fn running(fleet: &ExclusiveFleet) -> usize {
    let workers = fleet.whole.iter().chain(&fleet.engines);
    workers.map(|worker| worker.running()).sum()
}

/// How long after now slots are taken.
async fn taken_for(fleet: &ExclusiveFleet) -> Duration {
    let left = Instant::now();
    while running(fleet) > 0 && left.elapsed() < DEADLINE {
        tokio::time::sleep(LOOK).await;
    }
    left.elapsed()
}

#[test_case(ASK; "an answer that may be repeated, not begun")]
#[test_case(ONCE; "an answer that may not, not begun")]
#[test_case(STREAM; "a stream that may be resumed")]
#[test_case(STREAM_ONCE; "a stream that may not")]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_frees_its_worker_within_half_a_second(path: &str) {
    let fleet = start(PlatformOptions {
        events: 200,
        event_pause: Duration::from_millis(20),
        whole_pause: Duration::from_secs(4),
        ..PlatformOptions::default()
    })
    .await;
    let gateway = fleet.gateways[0].callers;
    let patience = Duration::from_millis(300);
    let calls = (0..6).map(|number| {
        let caller = fleet.caller.clone();
        let id = format!("r{number}");
        async move { caller.ask_and_leave(gateway, path, &id, patience).await }
    });
    let ran = async {
        tokio::time::sleep(patience / 2).await;
        running(&fleet)
    };
    let (_, ran) = tokio::join!(join_all(calls), ran);
    assert_eq!(ran, 6, "requests that ran before their callers left");
    let taken = taken_for(&fleet).await;
    assert!(taken < FREE_WITHIN, "slots were taken for {taken:?}");
}

/// Sends the head of a request and a part of its body, and leaves.
async fn begin_and_leave(gateway: SocketAddr, id: &str) -> std::io::Result<()> {
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
async fn a_request_whose_caller_leaves_before_it_was_read_runs_nowhere() {
    let fleet = start(PlatformOptions::default()).await;
    let gateway = fleet.gateways[0].callers;
    for number in 0..5 {
        let left = begin_and_leave(gateway, &format!("begun-{number}")).await;
        left.expect("a connection");
    }
    let answer = fleet.caller.ask(gateway, ASK, "whole", DEADLINE).await;
    assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    tokio::time::sleep(FREE_WITHIN).await;
    for number in 0..5 {
        let id = format!("begun-{number}");
        assert!(fleet.runs_of(&id).is_empty(), "{id} ran");
    }
}

/// Whoever sends callers to a gateway asks whether it is ready, and sends them at the first yes.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_that_says_that_it_is_ready_takes_connections_at_once() {
    const STARTS: usize = 4;
    let mut fleet = start(PlatformOptions::default()).await;
    for round in 0..STARTS {
        fleet.restart(0).expect("a gateway");
        let gateway = &fleet.gateways[0];
        while !fleet.caller.is_ready(gateway.ready).await {
            tokio::time::sleep(LOOK).await;
        }
        let asked = (0..20).map(|number| {
            let caller = fleet.caller.clone();
            let id = format!("r{round}-{number}");
            async move { caller.ask(gateway.callers, ASK, &id, DEADLINE).await }
        });
        for answer in join_all(asked).await {
            assert_eq!(answer.expect("an answer").status, StatusCode::OK);
        }
    }
}
