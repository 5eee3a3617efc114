//! HTTP calls between gateways.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::uri::PathAndQuery;
use hyper::{Request, Response, StatusCode, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::answers::{CallerAnswer, full_body, plain};
use crate::body_buffers::{BodyBuffers, BodyRefusal};

/// Time-out for opening a connection to another gateway.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time within which the body of a call must be complete.
const CALL_BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Idle time after which a connection to another gateway is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// An HTTP client for calls to other gateways.
pub(crate) type PeerClient<B> = Client<HttpConnector, B>;

/// Returns a client that keeps up to `max_idle` idle connections to each gateway.
pub(crate) fn new_client<B>(max_idle: usize) -> PeerClient<B>
where
    B: hyper::body::Body<Data = Bytes> + Send,
{
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .build(connector)
}

/// Returns the URI of a path at another gateway.
pub(crate) fn peer_uri(peer: SocketAddr, path: PathAndQuery) -> Option<Uri> {
    Uri::builder()
        .scheme("http")
        .authority(peer.to_string())
        .path_and_query(path)
        .build()
        .ok()
}

/// Decodes a call of another gateway, whose body may have at most `limit` bytes. The error is the answer to a call that
/// cannot be decoded.
pub(crate) async fn read_call<T: DeserializeOwned>(
    request: Request<Incoming>,
    limit: usize,
    calls: &BodyBuffers,
) -> Result<T, CallerAnswer> {
    let read = calls.read(request.into_body(), limit);
    let body = match tokio::time::timeout(CALL_BODY_TIMEOUT, read).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyRefusal::TooLong)) => {
            return Err(plain(StatusCode::PAYLOAD_TOO_LARGE, "the call is too long"));
        }
        Ok(Err(BodyRefusal::NoMemory)) => {
            return Err(plain(StatusCode::SERVICE_UNAVAILABLE, "too many calls"));
        }
        Ok(Err(BodyRefusal::BrokenOff)) | Err(_) => {
            return Err(plain(StatusCode::BAD_REQUEST, "the call broke off"));
        }
    };
    let call = ciborium::from_reader(body.as_ref());
    call.map_err(|_| plain(StatusCode::BAD_REQUEST, "the call is not readable"))
}

/// Returns the answer that carries a message to another gateway.
pub(crate) fn encode_answer(message: &impl Serialize) -> CallerAnswer {
    match encode_message(message) {
        Some(body) => Response::new(full_body(body)),
        None => plain(StatusCode::INTERNAL_SERVER_ERROR, "the answer has no form"),
    }
}

/// Encodes a message; `None` if it cannot be encoded.
pub(crate) fn encode_message(message: &impl Serialize) -> Option<Bytes> {
    let mut body = Vec::new();
    ciborium::into_writer(message, &mut body).ok()?;
    Some(body.into())
}
