//! A small HTTP server whose handler may also break connections off.

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

/// Why a connection or body was broken off: because a test wants it.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("broken off on purpose")]
pub(crate) struct BrokenOff;

/// A body that may break off.
pub(crate) type Body = UnsyncBoxBody<Bytes, BrokenOff>;

/// A port of the loopback address that the system chooses.
pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A whole body.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> Body {
    http_body_util::Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Serves at `listen`, until `stop`; port 0 lets the system choose.
pub(crate) async fn serve<Handler, Answer>(
    listen: SocketAddr,
    stop: CancellationToken,
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
                () = stop.cancelled() => return,
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
                    () = stop.cancelled() => {}
                }
            });
        }
    });
    Ok(address)
}
