//! Surplus answers of a worker: a second answer to an earlier request arrives in the place of the next one's.
//!
//! Guards against a surplus refusal that is taken for the next request's: it ran at its worker and at a second one.

mod gateway;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use gateway::raw_worker::{field, list_worker, read_head};
use gateway::start;
use hyper::StatusCode;
use swiftshunt_lab::platform::fleet::{ASK, ONCE, PlatformOptions};
use swiftshunt_platform::words::headers;
use test_case::test_case;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Number of requests, one after the other.
const REQUESTS: usize = 120;
/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(5);

/// Number of runs by request.
type Runs = Arc<Mutex<HashMap<String, usize>>>;

/// Starts a worker that sends a refusal of the previous request with `status` before each second and later answer of a
/// connection. Returns its address and its runs.
async fn start_worker(status: StatusCode) -> (SocketAddr, Runs) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("no free port");
    let address = listener.local_addr().expect("no address");
    let runs = Runs::default();
    let counted = Arc::clone(&runs);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, status, Arc::clone(&counted)));
        }
    });
    (address, runs)
}

async fn answer(mut stream: TcpStream, status: StatusCode, runs: Runs) {
    let mut previous: Option<String> = None;
    while let Some(head) = read_head(&mut stream).await {
        let id = field(&head, headers::REQUEST_ID).unwrap_or_default();
        if let Some(previous) = &previous {
            let refusal = format!(
                "HTTP/1.1 {status}\r\n{}: {previous}\r\n{}: 1\r\ncontent-length: 0\r\n\r\n",
                headers::REQUEST_ID,
                headers::DECLINED
            );
            drop(stream.write_all(refusal.as_bytes()).await);
        }
        *runs
            .lock()
            .expect("poisoned")
            .entry(id.clone())
            .or_default() += 1;
        let text = format!("answer to {id}");
        let answer = format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: signed\r\ncontent-length: {}\r\n\r\n{text}",
            headers::REQUEST_ID,
            headers::SIGNATURE,
            text.len()
        );
        drop(stream.write_all(answer.as_bytes()).await);
        previous = Some(id);
    }
}

#[test_case(StatusCode::SERVICE_UNAVAILABLE)]
#[test_case(StatusCode::TOO_MANY_REQUESTS)]
#[test_case(StatusCode::MISDIRECTED_REQUEST)]
#[test_case(StatusCode::BAD_REQUEST)]
#[tokio::test(flavor = "multi_thread")]
async fn a_surplus_refusal_makes_no_request_run_twice(status: StatusCode) {
    let fleet = start(PlatformOptions {
        gateways: 1,
        workers: 1,
        ..PlatformOptions::default()
    })
    .await;
    let (address, runs) = start_worker(status).await;
    list_worker(&fleet, address, "whole", "surplus");
    let gateway = fleet.gateways[0].callers;
    let mut answers = Vec::new();
    for number in 0..REQUESTS {
        let path = if number % 3 == 0 { ASK } else { ONCE };
        let id = format!("request-{number}");
        let answer = fleet.caller.ask(gateway, path, &id, DEADLINE).await;
        answers.push((path, id, answer.expect("no response")));
    }
    let runs = runs.lock().expect("poisoned").clone();
    assert!(!runs.is_empty(), "no request reached the worker");
    for (path, id, answer) in answers {
        let runs = runs.get(&id).copied().unwrap_or_default() + fleet.runs_of(&id).len();
        let promises_not_run = answer.status == StatusCode::SERVICE_UNAVAILABLE;
        assert!(path == ASK || runs <= 1, "{id} ran {runs} times");
        assert!(
            !promises_not_run || runs == 0,
            "{id} ran, and its caller was told that it did not"
        );
        if answer.status == StatusCode::OK {
            assert_eq!(answer.body, format!("answer to {id}"));
        }
    }
}
