//! A server that stops answers every request that reached it.

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
const UNDER_LOAD: Duration = Duration::from_millis(60);
const LIMIT: Duration = Duration::from_secs(5);

struct Quiet;

impl ObserveFailure for Quiet {
    fn observe_failure(&self, _failure: &Failure) {}
}

async fn answer(_state: Arc<Quiet>, _call: Call) -> Result<Reply, Failure> {
    tokio::time::sleep(Duration::from_millis(1)).await;
    Ok(Reply::bytes("text/plain", "whole"))
}

/// How a caller uses its connections.
#[derive(Clone, Copy)]
enum Connections {
    Fresh,
    Kept,
}

/// Asks until the server is gone, and returns what was cut.
async fn ask(
    address: SocketAddr,
    connections: Connections,
    answered: &AtomicUsize,
) -> Vec<HttpError> {
    let mut client = HttpClient::new(None);
    let mut cut = Vec::new();
    loop {
        if matches!(connections, Connections::Fresh) {
            client = HttpClient::new(None);
        }
        match client.exchange(HttpRequest::get(address, "/"), LIMIT).await {
            Ok(answer) => {
                assert_eq!(answer.body.as_ref(), b"whole");
                answered.fetch_add(1, Ordering::Relaxed);
            }
            Err(HttpError::NotConnected { .. }) => return cut,
            Err(error) => cut.push(error),
        }
    }
}

#[test_case(Connections::Fresh; "fresh connections")]
#[test_case(Connections::Kept; "kept connections")]
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_answers_every_request_that_came(connections: Connections) {
    let state = Arc::new(Quiet);
    let answered = AtomicUsize::new(0);
    let mut cut = Vec::new();
    for _ in 0..ROUNDS {
        let address = "127.0.0.1:0".parse().expect("an address");
        let (acceptor, address) = bind(address).await.expect("a free port");
        let mut server = serve(acceptor, Router::new().get(endpoint(&state, answer)));
        let callers = join_all((0..CALLERS).map(|_| ask(address, connections, &answered)));
        let stop = async {
            tokio::time::sleep(UNDER_LOAD).await;
            server.stop(LIMIT).await;
            server.ended().await;
        };
        let (errors, ()) = tokio::join!(callers, stop);
        cut.extend(errors.into_iter().flatten());
    }
    let answered = answered.into_inner();
    assert!(answered > CALLERS * ROUNDS, "only {answered} answered");
    assert!(
        cut.is_empty(),
        "{} cut, {answered} answered: {:?}",
        cut.len(),
        cut.first().map(ToString::to_string)
    );
}
