//! Workers that answer every request at once, with a status that is no answer or that is not the expected one.
//!
//! Guards against statuses of workers in trouble that reach callers, and against one such worker that holds items of
//! accepted jobs beside sound ones.

mod gateway;

use std::net::SocketAddr;

use futures_util::future::join_all;
use gateway::raw_worker::{field, list_worker, read_head};
use gateway::{
    ExclusiveFleet, assert_completed, listed_results, start, submit, wait_for_all_results,
};
use hyper::StatusCode;
use std::time::Duration;
use swiftshunt_lab::platform::fleet::{ASK, ONCE, PlatformOptions, STREAM, STREAM_ONCE};
use swiftshunt_platform::words::headers;
use test_case::test_case;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Identifier of the worker with the odd status.
const ODD_WORKER: &str = "odd-0";
/// Number of requests of each kind, and of items.
const REQUESTS: usize = 24;
/// Number of sound workers of each service.
const SOUND_WORKERS: usize = 3;
const DEADLINE: Duration = Duration::from_secs(5);

/// Starts a worker that answers every request with this status line, signed and whole.
async fn start_odd_worker(status_line: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("no free port");
    let address = listener.local_addr().expect("no address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_all(stream, status_line));
        }
    });
    address
}

async fn answer_all(mut stream: TcpStream, status_line: &str) {
    while let Some(head) = read_head(&mut stream).await {
        let id = field(&head, headers::REQUEST_ID).unwrap_or_default();
        let answer = format!(
            "HTTP/1.1 {status_line}\r\n{}: {id}\r\n{}: signed\r\ncontent-length: 0\r\n\r\n",
            headers::REQUEST_ID,
            headers::SIGNATURE
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn start_fleet() -> ExclusiveFleet {
    start(PlatformOptions {
        workers: SOUND_WORKERS,
        ..PlatformOptions::default()
    })
    .await
}

/// Sends requests of each kind, and returns the statuses that callers got.
async fn ask_all(fleet: &ExclusiveFleet) -> Vec<StatusCode> {
    let gateway = fleet.gateways[0].callers;
    let paths = [ASK, ONCE, STREAM, STREAM_ONCE];
    let requests = (0..REQUESTS).flat_map(|number| paths.map(|path| (path, number)));
    let asked = requests.map(|(path, number)| async move {
        let id = format!("r{}{number}", path.trim_matches('/'));
        let answer = fleet.caller.ask(gateway, path, &id, DEADLINE).await;
        answer
            .unwrap_or_else(|error| panic!("{id}: {error}"))
            .status
    });
    join_all(asked).await
}

/// Guards against statuses that are no final answer and reach callers as one.
#[test_case("000 "; "status 000")]
#[test_case("000 OK"; "status 000 with a reason")]
#[test_case("099 Odd"; "status 099")]
#[test_case("101 Switching Protocols"; "status 101 that nobody asked for")]
#[test_case("199 Odd"; "status 199")]
#[test_case("600 Odd"; "status 600")]
#[test_case("999 Odd"; "status 999")]
#[tokio::test(flavor = "multi_thread")]
async fn a_status_that_is_no_answer_reaches_no_caller(status_line: &'static str) {
    let fleet = start_fleet().await;
    let odd = start_odd_worker(status_line).await;
    for service in ["whole", "engine"] {
        list_worker(&fleet, odd, service, &format!("{ODD_WORKER}-{service}"));
    }
    let beside = ask_all(&fleet).await;
    let may_be = [
        StatusCode::OK,
        StatusCode::BAD_GATEWAY,
        StatusCode::GATEWAY_TIMEOUT,
    ];
    assert!(
        beside.iter().all(|status| may_be.contains(status)),
        "{beside:?}"
    );
    for worker in fleet.whole_workers.iter().chain(&fleet.engine_workers) {
        fleet.unlist(worker);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let alone = ask_all(&fleet).await;
    // A status below 200 may be followed by the answer, for which a request waits until its deadline.
    let may_be = [
        StatusCode::BAD_GATEWAY,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::GATEWAY_TIMEOUT,
    ];
    assert!(
        alone.iter().all(|status| may_be.contains(status)),
        "{alone:?}"
    );
}

/// Guards against items of accepted jobs that are sent again and again to one worker that fails them at once, while sound
/// workers are idle, and against items that are completed by an answer that holds no output.
#[test_case("000 OK"; "status 000")]
#[test_case("101 Switching Protocols"; "status 101")]
#[test_case("204 No Content"; "status 204")]
#[test_case("302 Found"; "status 302")]
#[test_case("400 Bad Request"; "status 400")]
#[test_case("404 Not Found"; "status 404")]
#[test_case("500 Internal Server Error"; "status 500")]
#[test_case("503 Service Unavailable"; "status 503")]
#[test_case("600 Odd"; "status 600")]
#[tokio::test(flavor = "multi_thread")]
async fn items_complete_beside_a_worker_that_fails_them_at_once(status_line: &'static str) {
    let fleet = start_fleet().await;
    let odd = start_odd_worker(status_line).await;
    list_worker(&fleet, odd, "engine", ODD_WORKER);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let gateway = fleet.gateways[0].callers;
    submit(&fleet, gateway, "odd", REQUESTS).await;
    wait_for_all_results(&fleet, gateway, "odd", REQUESTS).await;
    let results = listed_results(&fleet, gateway, "odd").await;
    assert_completed(&results, "odd", REQUESTS);
}
