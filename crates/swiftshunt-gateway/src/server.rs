//! The servers of a gateway: for callers, other gateways, readiness checks and metrics.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::answers::{CallerAnswer, full_body, plain};
use crate::batch::{self, Batch};
use crate::body_buffers::BodyBuffers;
use crate::fleet_state::FleetState;
use crate::log_relay::{self, RelayedLog};
use crate::metrics::Metrics;
use crate::online::OnlineHandler;
use crate::peers::Peers;
use crate::protocol::Protocol;
use crate::tails::{self, SharedTails};

/// Length of the queue of connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// Smallest buffer size that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;
/// Buffer space for the parts of a request's head that the limit of header bytes does not count.
const HEAD_OVERHEAD_BYTES: usize = 4096;
/// Buffer size of connections of other gateways, in bytes.
const PEER_BUFFER_BYTES: usize = 64 << 10;
/// Time within which a request must begin and its head be complete on connections that are not those of callers.
const INTERNAL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest number of headers of a request.
const MAX_HEADERS: usize = 256;
/// Time beyond the configured idle time-out for which a connection is kept.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Idle time after which keep-alive probes are sent to a caller, and the interval between them.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Pause after a failed accept, which usually means a lack of resources such as file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The stages of a graceful stop.
#[derive(Clone, Default)]
pub(crate) struct Stop {
    /// Cancelled at the first stage: the gateway is not ready any more, and answers close their connections.
    pub(crate) draining: CancellationToken,
    /// Cancelled at the second stage: idle connections are closed, and new requests are refused.
    pub(crate) closing: CancellationToken,
    /// Cancelled at the third stage, shortly before the process ends: requests without an answer get one.
    pub(crate) ending: CancellationToken,
    /// The open connections of callers.
    pub(crate) connections: TaskTracker,
}

/// Opens a listener with address reuse, so that a restarted process can bind its address at once.
pub(crate) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

async fn accept_all<F, Serving>(listener: TcpListener, serve: F)
where
    F: Fn(TcpStream) -> Serving,
    Serving: Future<Output = ()>,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                drop(stream.set_nodelay(true));
                serve(stream).await;
            }
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves callers until the process ends.
pub(crate) async fn serve_callers(
    listener: TcpListener,
    online: Arc<OnlineHandler>,
    fleet_state: Arc<FleetState>,
    stop: Stop,
) {
    accept_all(listener, |stream| {
        let probes = TcpKeepalive::new()
            .with_time(PROBE_INTERVAL)
            .with_interval(PROBE_INTERVAL);
        drop(SockRef::from(&stream).set_tcp_keepalive(&probes));
        let serving = serve_caller(stream, Arc::clone(&online), &fleet_state, stop.clone());
        stop.connections.spawn(serving);
        std::future::ready(())
    })
    .await;
}

fn serve_caller(
    stream: TcpStream,
    online: Arc<OnlineHandler>,
    fleet_state: &FleetState,
    stop: Stop,
) -> impl Future<Output = ()> + use<> {
    let limits = fleet_state
        .configuration()
        .map(|configuration| configuration.limits)
        .unwrap_or_default();
    let draining = stop.draining.clone();
    let closing = stop.closing.clone();
    let lacks_chunks = Arc::new(AtomicBool::new(false));
    let caller_lacks_chunks = Arc::clone(&lacks_chunks);
    let service = service_fn(move |request: Request<Incoming>| {
        let online = Arc::clone(&online);
        let draining = draining.clone();
        lacks_chunks.store(request.version() < Version::HTTP_11, Ordering::Relaxed);
        // A request that arrives in the closing stage might not end within the grace period.
        let is_closing = closing.is_cancelled();
        async move {
            let mut answer = if is_closing {
                online.refuse_late()
            } else {
                online.answer(request).await
            };
            if draining.is_cancelled() {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            Ok::<CallerAnswer, Infallible>(answer)
        }
    });
    // A connection that is accepted while the others are being closed gets a single answer.
    let accepted_while_closing = stop.closing.is_cancelled();
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(!accepted_while_closing)
        .header_read_timeout(limits.header_timeout.max(limits.idle_timeout) + IDLE_TIMEOUT_MARGIN)
        .max_buf_size(
            (limits.header_bytes)
                .saturating_add(HEAD_OVERHEAD_BYTES)
                .max(MIN_BUFFER_BYTES),
        )
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    async move {
        let mut connection = connection;
        let outcome = tokio::select! {
            outcome = &mut connection => outcome,
            () = stop.closing.cancelled(), if !accepted_while_closing => {
                Pin::new(&mut connection).graceful_shutdown();
                (&mut connection).await
            }
        };
        if let Err(error) = outcome {
            log::debug!("connection of a caller failed: {error}");
            if caller_lacks_chunks.load(Ordering::Relaxed) {
                reset(connection.into_parts().io.into_inner());
            }
        }
    }
}

/// Closes a connection by a reset. To a caller that knows no chunks, a regular close would complete the answer.
fn reset(stream: TcpStream) {
    if let Err(error) = SockRef::from(&stream).set_linger(Some(Duration::ZERO)) {
        log::warn!("cannot reset the connection of a caller whose answer broke off: {error}");
    }
}

/// Serves the calls of other gateways until the process ends: calls about jobs, relayed calls to the log, and reads
/// of the log's tails.
pub(crate) async fn serve_peers(
    listener: TcpListener,
    protocol: Arc<dyn Protocol>,
    batch: Arc<Batch>,
    log: Arc<RelayedLog>,
    tails: Arc<SharedTails>,
    calls: BodyBuffers,
) {
    let calls = Arc::new(calls);
    accept_all(listener, |stream| {
        let calls = Arc::clone(&calls);
        let protocol = Arc::clone(&protocol);
        let batch = Arc::clone(&batch);
        let log = Arc::clone(&log);
        let tails = Arc::clone(&tails);
        let service = service_fn(move |request: Request<Incoming>| {
            let protocol = Arc::clone(&protocol);
            let batch = Arc::clone(&batch);
            let log = Arc::clone(&log);
            let tails = Arc::clone(&tails);
            let calls = Arc::clone(&calls);
            async move {
                let answer = match request.uri().path() {
                    log_relay::PATH => log.answer_peer(request, &calls).await,
                    tails::PATH => tails.answer_peer(request, &calls).await,
                    batch::PAGES_PATH => batch.answer_page(request, &calls).await,
                    _ => {
                        let (method, uri) = (request.method(), request.uri());
                        let call = protocol.classify_request(method, uri, request.headers());
                        batch.answer_peer(call, request.headers()).await
                    }
                };
                Ok::<CallerAnswer, Infallible>(answer)
            }
        });
        let connection =
            internal_connections(PEER_BUFFER_BYTES).serve_connection(TokioIo::new(stream), service);
        // The gateway that made the call notices an error of the connection.
        tokio::spawn(async move { drop(connection.await) });
        std::future::ready(())
    })
    .await;
}

/// Serves readiness checks until the process ends.
pub(crate) async fn serve_ready(
    listener: TcpListener,
    fleet_state: Arc<FleetState>,
    peers: Arc<Peers>,
    stop: Stop,
) {
    serve_any_path(listener, move || {
        let can_serve = fleet_state.is_complete() && peers.is_introduced();
        let ready = can_serve && !stop.draining.is_cancelled();
        if ready {
            plain(StatusCode::OK, "ready")
        } else {
            plain(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    })
    .await;
}

/// Serves the metrics until the process ends.
pub(crate) async fn serve_metrics(listener: TcpListener, metrics: Arc<Metrics>) {
    serve_any_path(listener, move || {
        hyper::Response::new(full_body(metrics.encode_text().into()))
    })
    .await;
}

/// Answers every request on a listener with `answer`, whatever its path.
async fn serve_any_path(
    listener: TcpListener,
    answer: impl Fn() -> CallerAnswer + Clone + Send + 'static,
) {
    accept_all(listener, |stream| {
        let answer = answer.clone();
        let service = service_fn(move |_: Request<Incoming>| {
            let answer = answer();
            async move { Ok::<CallerAnswer, Infallible>(answer) }
        });
        let connection =
            internal_connections(MIN_BUFFER_BYTES).serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move { drop(connection.await) });
        std::future::ready(())
    })
    .await;
}

/// Returns how connections are served that are not those of callers, with at most this many bytes of a head.
fn internal_connections(buffer_bytes: usize) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(INTERNAL_IDLE_TIMEOUT)
        .max_buf_size(buffer_bytes);
    builder
}
