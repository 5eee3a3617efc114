//! HTTP between gateways.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Uri;
use hyper::http::uri::PathAndQuery;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Time within which a connection to another gateway is made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a connection to another gateway rests.
const REST: Duration = Duration::from_secs(4);

/// A client of other gateways.
pub(crate) type PeerClient<B> = Client<HttpConnector, B>;

/// A client that keeps up to `most_resting` connections to each gateway.
pub(crate) fn client<B>(most_resting: usize) -> PeerClient<B>
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
pub(crate) fn uri(peer: SocketAddr, path: PathAndQuery) -> Option<Uri> {
    Uri::builder()
        .scheme("http")
        .authority(peer.to_string())
        .path_and_query(path)
        .build()
        .ok()
}

/// A message as a body; none if it has no form.
pub(crate) fn encoded(message: &impl serde::Serialize) -> Option<Bytes> {
    let mut body = Vec::new();
    ciborium::into_writer(message, &mut body).ok()?;
    Some(body.into())
}
