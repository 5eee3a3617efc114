//! A request whose permit ended on its way to the connection is not written.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use futures_util::poll;
use swiftshunt_http::{
    Call, HttpClient, HttpError, HttpRequest, JSON, ObserveFailure, Reply, Router, SendPermit,
    ServeHandle, bind, endpoint, serve,
};
use swiftshunt_types::Failure;
use test_case::test_case;

const LIMIT: Duration = Duration::from_secs(5);

#[derive(Default)]
struct Arrivals(AtomicUsize);

impl ObserveFailure for Arrivals {
    fn observe_failure(&self, _failure: &Failure) {}
}

async fn arrived(arrivals: Arc<Arrivals>, _call: Call) -> Result<Reply, Failure> {
    arrivals.0.fetch_add(1, Ordering::SeqCst);
    Ok(Reply::bytes("text/plain", "arrived"))
}

async fn start(arrivals: &Arc<Arrivals>) -> (ServeHandle, SocketAddr) {
    let address = "127.0.0.1:0".parse().expect("an address");
    let (acceptor, address) = bind(address).await.expect("a free port");
    let router = Router::new().post(endpoint(arrivals, arrived));
    (serve(acceptor, router), address)
}

/// Whether the client has a connection at rest when it sends.
#[derive(Clone, Copy, PartialEq)]
enum Connection {
    New,
    Kept,
}

// On one thread nothing is written between the first poll and the next, as in a process that is stopped there.
#[test_case(Connection::New; "on a new connection")]
#[test_case(Connection::Kept; "on a kept connection")]
#[tokio::test(flavor = "current_thread")]
async fn a_request_whose_permit_ends_on_its_way_is_not_written(connection: Connection) {
    let arrivals = Arc::new(Arrivals::default());
    let (_server, address) = start(&arrivals).await;
    let client = HttpClient::new(None);
    let post = || HttpRequest::post(address, "/", JSON, "{}");
    if connection == Connection::Kept {
        client.exchange(post(), LIMIT).await.expect("an answer");
    }
    let earlier = arrivals.0.load(Ordering::SeqCst);
    let holds = Arc::new(AtomicBool::new(true));
    let asked = Arc::clone(&holds);
    let permit = SendPermit::while_true(move || asked.load(Ordering::SeqCst));

    let mut sending = Box::pin(client.exchange(post().with_permit(permit), LIMIT));
    assert!(poll!(&mut sending).is_pending());
    holds.store(false, Ordering::SeqCst);
    let error = sending.await.expect_err("withheld");

    assert!(matches!(error, HttpError::Withheld { .. }), "{error}");
    assert!(error.was_not_sent());
    client.exchange(post(), LIMIT).await.expect("an answer");
    assert_eq!(arrivals.0.load(Ordering::SeqCst), earlier + 1);
}
