//! HTTP between gateways.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::http::uri::PathAndQuery;
use hyper::{Request, Response, StatusCode, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::answers::{CallerAnswer, full_body, plain};

/// Time within which a connection to another gateway is made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a connection to another gateway rests.
const REST: Duration = Duration::from_secs(4);

/// A client of other gateways.
pub(crate) type PeerClient<B> = Client<HttpConnector, B>;

/// A client that keeps up to `most_resting` connections to each gateway.
pub(crate) fn new_client<B>(most_resting: usize) -> PeerClient<B>
where
    B: hyper::body::Body<Data = Bytes> + Send,
{
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(REST)
        .pool_max_idle_per_host(most_resting)
        .build(connector)
}

/// A path at another gateway.
pub(crate) fn peer_uri(peer: SocketAddr, path: PathAndQuery) -> Option<Uri> {
    Uri::builder()
        .scheme("http")
        .authority(peer.to_string())
        .path_and_query(path)
        .build()
        .ok()
}

/// Reads a call of another gateway, of at most `limit` bytes, or gives the answer to one that is none.
pub(crate) async fn read_call<T: DeserializeOwned>(
    request: Request<Incoming>,
    limit: usize,
) -> Result<T, CallerAnswer> {
    let body = Limited::new(request.into_body(), limit).collect().await;
    let Ok(body) = body else {
        return Err(plain(StatusCode::BAD_REQUEST, "the call broke off"));
    };
    let call = ciborium::from_reader(body.to_bytes().as_ref());
    call.map_err(|_| plain(StatusCode::BAD_REQUEST, "the call is not readable"))
}

/// A message as the answer to another gateway.
pub(crate) fn encode_answer(message: &impl Serialize) -> CallerAnswer {
    match encode_message(message) {
        Some(body) => Response::new(full_body(body)),
        None => plain(StatusCode::INTERNAL_SERVER_ERROR, "the answer has no form"),
    }
}

/// A message as a body; none if it has no form.
pub(crate) fn encode_message(message: &impl Serialize) -> Option<Bytes> {
    let mut body = Vec::new();
    ciborium::into_writer(message, &mut body).ok()?;
    Some(body.into())
}
