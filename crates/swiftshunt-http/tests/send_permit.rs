//! A request whose permit expires while it waits for its connection is not written.

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

const TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Default)]
struct Arrivals(AtomicUsize);

impl ObserveFailure for Arrivals {
    fn observe_failure(&self, _failure: &Failure) {}
}

async fn count_arrival(arrivals: Arc<Arrivals>, _call: Call) -> Result<Reply, Failure> {
    arrivals.0.fetch_add(1, Ordering::SeqCst);
    Ok(Reply::bytes("text/plain", "arrived"))
}

async fn start(arrivals: &Arc<Arrivals>) -> (ServeHandle, SocketAddr) {
    let address = "127.0.0.1:0".parse().expect("a valid address");
    let (acceptor, address) = bind(address).await.expect("a free port");
    let router = Router::new().post(endpoint(arrivals, count_arrival));
    (serve(acceptor, router), address)
}

/// Whether the client has an idle connection when it sends.
#[derive(Clone, Copy, PartialEq)]
enum Connection {
    New,
    Kept,
}

// On one thread nothing is written between the first poll and the next, as in a process that is suspended at
// that point. The permit expires between the two polls.
#[test_case(Connection::New; "on a new connection")]
#[test_case(Connection::Kept; "on a kept connection")]
#[tokio::test(flavor = "current_thread")]
async fn a_request_whose_permit_expires_before_the_write_is_not_sent(connection: Connection) {
    let arrivals = Arc::new(Arrivals::default());
    let (_server, address) = start(&arrivals).await;
    let client = HttpClient::new(None);
    let post = || HttpRequest::post(address, "/", JSON, "{}");
    if connection == Connection::Kept {
        client.exchange(post(), TIMEOUT).await.expect("a response");
    }
    let earlier = arrivals.0.load(Ordering::SeqCst);
    let holds = Arc::new(AtomicBool::new(true));
    let permitted = Arc::clone(&holds);
    let permit = SendPermit::while_true(move || permitted.load(Ordering::SeqCst));

    let mut sending = Box::pin(client.exchange(post().with_permit(permit), TIMEOUT));
    assert!(poll!(&mut sending).is_pending());
    holds.store(false, Ordering::SeqCst);
    let error = sending.await.expect_err("the request should be withheld");

    assert!(matches!(error, HttpError::Withheld { .. }), "{error}");
    assert!(error.was_not_sent());
    client.exchange(post(), TIMEOUT).await.expect("a response");
    assert_eq!(arrivals.0.load(Ordering::SeqCst), earlier + 1);
}
