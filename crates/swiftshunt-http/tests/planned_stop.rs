//! A server that stops gracefully answers every request that reached it. Without precautions, a request is
//! lost if its connection completes the handshake while the listener closes, or if the server closes the
//! connection before it has read the request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_util::future::join_all;
use swiftshunt_http::{
    Call, HttpClient, HttpError, HttpRequest, ObserveFailure, Reply, Router, bind, endpoint, serve,
};
use swiftshunt_types::Failure;
use test_case::test_case;

const CALLERS: usize = 24;
const ROUNDS: usize = 8;
const LOAD_DURATION: Duration = Duration::from_millis(60);
const TIMEOUT: Duration = Duration::from_secs(5);

struct IgnoredFailures;

impl ObserveFailure for IgnoredFailures {
    fn observe_failure(&self, _failure: &Failure) {}
}

async fn answer(_state: Arc<IgnoredFailures>, _call: Call) -> Result<Reply, Failure> {
    tokio::time::sleep(Duration::from_millis(1)).await;
    Ok(Reply::bytes("text/plain", "whole"))
}

/// Whether a client opens a connection for each request or reuses one.
#[derive(Clone, Copy)]
enum Connections {
    Fresh,
    Kept,
}

/// Sends requests until the server refuses connections, and returns the errors of all other failed requests.
async fn send_until_stopped(
    address: SocketAddr,
    connections: Connections,
    answered: &AtomicUsize,
) -> Vec<HttpError> {
    let mut client = HttpClient::new(None);
    let mut failed = Vec::new();
    loop {
        if matches!(connections, Connections::Fresh) {
            client = HttpClient::new(None);
        }
        match client
            .exchange(HttpRequest::get(address, "/"), TIMEOUT)
            .await
        {
            Ok(answer) => {
                assert_eq!(answer.body.as_ref(), b"whole");
                answered.fetch_add(1, Ordering::Relaxed);
            }
            Err(HttpError::NotConnected { .. }) => return failed,
            Err(error) => failed.push(error),
        }
    }
}

#[test_case(Connections::Fresh; "fresh connections")]
#[test_case(Connections::Kept; "kept connections")]
#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_stop_answers_every_request_that_was_received(connections: Connections) {
    let state = Arc::new(IgnoredFailures);
    let answered = AtomicUsize::new(0);
    let mut failed = Vec::new();
    for _ in 0..ROUNDS {
        let address = "127.0.0.1:0".parse().expect("a valid address");
        let (acceptor, address) = bind(address).await.expect("a free port");
        let mut server = serve(acceptor, Router::new().get(endpoint(&state, answer)));
        let callers =
            join_all((0..CALLERS).map(|_| send_until_stopped(address, connections, &answered)));
        let stop = async {
            tokio::time::sleep(LOAD_DURATION).await;
            server.stop(TIMEOUT).await;
            server.ended().await;
        };
        let (errors, ()) = tokio::join!(callers, stop);
        failed.extend(errors.into_iter().flatten());
    }
    let answered = answered.into_inner();
    assert!(
        answered > CALLERS * ROUNDS,
        "only {answered} requests were answered"
    );
    assert!(
        failed.is_empty(),
        "{} requests failed, {answered} were answered; first error: {:?}",
        failed.len(),
        failed.first().map(ToString::to_string)
    );
}
