//! A minimal HTTP/1 server whose handler can also close the connection without a response.

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Error with which a handler or a body closes the connection: because a test injected a fault, or because the
/// request's body could not be read.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("connection closed by an injected fault")]
pub(crate) struct BrokenOff;

/// A response body that can end early with [`BrokenOff`], which closes the connection.
pub(crate) type Body = UnsyncBoxBody<Bytes, BrokenOff>;

/// Closes the sockets of a server.
#[derive(Clone, Default)]
pub(crate) struct ServerStop {
    /// Cancelled to close open connections, and each new one at once.
    pub(crate) connections: CancellationToken,
    /// Cancelled to close the listening socket.
    pub(crate) listener: CancellationToken,
}

impl ServerStop {
    /// Closes all sockets.
    pub(crate) fn cancel(&self) {
        self.connections.cancel();
        self.listener.cancel();
    }
}

/// Returns the loopback address with port 0: the system chooses a free port.
pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns a body of known length that is sent at once.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> Body {
    http_body_util::Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Serves at `listen` in background tasks until `stop` is cancelled. Returns the bound address, or an error if
/// `listen` cannot be bound.
pub(crate) async fn serve<Handler, Answer>(
    listen: SocketAddr,
    stop: ServerStop,
    handler: Handler,
) -> std::io::Result<SocketAddr>
where
    Handler: Fn(Request<Incoming>) -> Answer + Clone + Send + 'static,
    Answer: Future<Output = Result<Response<Body>, BrokenOff>> + Send + 'static,
{
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = stop.listener.cancelled() => return,
            };
            let Ok((stream, _)) = accepted else {
                continue;
            };
            drop(stream.set_nodelay(true));
            let stop = stop.clone();
            let service = service_fn(handler.clone());
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(async move {
                tokio::select! {
                    ended = connection => drop(ended),
                    () = stop.connections.cancelled() => {}
                }
            });
        }
    });
    Ok(address)
}
