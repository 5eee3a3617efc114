//! Connections of callers, and the questions whether the gateway is ready.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::answers::{CallerAnswer, full_body, plain};
use crate::batch::{self, Batch};
use crate::fleet_state::FleetState;
use crate::log_relay::{self, RelayedLog};
use crate::metrics::Metrics;
use crate::online::OnlineHandler;
use crate::protocol::Protocol;
use crate::tails::{self, SharedTails};

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// Smallest buffer that the library takes.
const SMALLEST_BUFFER: usize = 8192;
/// Room for a head's lines beside what counts as its size.
const HEAD_ROOM: usize = 4096;
/// Lines of a head at most.
const MOST_HEADERS: usize = 256;
/// Time beyond the agreed rest for which a connection is kept.
const REST_MARGIN: Duration = Duration::from_secs(2);
/// Rest after which a silent caller's machine is probed.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Pause after an accept that failed for want of resources.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The stages of a planned stop.
#[derive(Clone, Default)]
pub(crate) struct Stop {
    /// Nothing new is asked for; answers close their connections.
    pub(crate) draining: CancellationToken,
    /// Resting connections are closed.
    pub(crate) closing: CancellationToken,
    /// Connections of callers.
    pub(crate) connections: TaskTracker,
}

/// Listens with address reuse, so that a process that starts again gets its address at once.
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
                log::warn!("a connection was not accepted: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves callers for as long as the process lives.
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
    let service = service_fn(move |request: Request<Incoming>| {
        let online = Arc::clone(&online);
        let draining = draining.clone();
        // What is asked this late might not end within the grace period.
        let too_late = closing.is_cancelled();
        async move {
            let mut answer = if too_late {
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
    // A connection that comes while the rest is closed gets one answer.
    let comes_late = stop.closing.is_cancelled();
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(!comes_late)
        .header_read_timeout(limits.header_timeout.max(limits.idle_timeout) + REST_MARGIN)
        .max_buf_size((limits.header_bytes + HEAD_ROOM).max(SMALLEST_BUFFER))
        .max_headers(MOST_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    async move {
        let mut connection = std::pin::pin!(connection);
        let outcome = tokio::select! {
            outcome = connection.as_mut() => outcome,
            () = stop.closing.cancelled(), if !comes_late => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = outcome {
            log::debug!("a caller's connection ended: {error}");
        }
    }
}

/// Serves other gateways' calls, about jobs, to the log and for tails of it, for as long as the process lives.
pub(crate) async fn serve_peers(
    listener: TcpListener,
    protocol: Arc<dyn Protocol>,
    batch: Arc<Batch>,
    log: Arc<RelayedLog>,
    tails: Arc<SharedTails>,
) {
    accept_all(listener, |stream| {
        let protocol = Arc::clone(&protocol);
        let batch = Arc::clone(&batch);
        let log = Arc::clone(&log);
        let tails = Arc::clone(&tails);
        let service = service_fn(move |request: Request<Incoming>| {
            let protocol = Arc::clone(&protocol);
            let batch = Arc::clone(&batch);
            let log = Arc::clone(&log);
            let tails = Arc::clone(&tails);
            async move {
                let answer = match request.uri().path() {
                    log_relay::PATH => log.answer_peer(request).await,
                    tails::PATH => tails.answer_peer(request).await,
                    batch::PAGES_PATH => batch.answer_page(request).await,
                    _ => {
                        let (method, uri) = (request.method(), request.uri());
                        let call = protocol.classify_request(method, uri, request.headers());
                        batch.answer_peer(call, request.headers()).await
                    }
                };
                Ok::<CallerAnswer, Infallible>(answer)
            }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        // An error of the connection shows at the gateway that passed the call on.
        tokio::spawn(async move { drop(connection.await) });
        std::future::ready(())
    })
    .await;
}

/// Tells whether the gateway is ready, for as long as the process lives.
pub(crate) async fn serve_ready(listener: TcpListener, fleet_state: Arc<FleetState>, stop: Stop) {
    serve_small(listener, move || {
        let ready = fleet_state.is_complete() && !stop.draining.is_cancelled();
        if ready {
            plain(StatusCode::OK, "ready")
        } else {
            plain(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    })
    .await;
}

/// Tells the metrics, for as long as the process lives.
pub(crate) async fn serve_metrics(listener: TcpListener, metrics: Arc<Metrics>) {
    serve_small(listener, move || {
        hyper::Response::new(full_body(metrics.encode_text().into()))
    })
    .await;
}

async fn serve_small(
    listener: TcpListener,
    answer: impl Fn() -> CallerAnswer + Clone + Send + 'static,
) {
    accept_all(listener, |stream| {
        let answer = answer.clone();
        let service = service_fn(move |_: Request<Incoming>| {
            let answer = answer();
            async move { Ok::<CallerAnswer, Infallible>(answer) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move { drop(connection.await) });
        std::future::ready(())
    })
    .await;
}
