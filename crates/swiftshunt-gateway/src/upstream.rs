//! Connections to workers: opening, a pool of idle ones, and their removal when they time out or fail.

use std::collections::{HashMap, VecDeque};
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::sync::Mutex;
use std::time::Duration;

use derive_more::{Display, Error};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use swiftshunt_http::PermittedBody;
use tokio::net::{TcpSocket, TcpStream};

use crate::fleet_state::lock;

/// A connection that is ready for a request.
pub(crate) type Sender = SendRequest<PermittedBody>;

/// Time-out for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which a connection with unacknowledged bytes fails.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time after which keep-alive probes are sent, and the interval between them.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which a connection fails.
const MAX_PROBES: u32 = 2;
/// Idle time-out of a connection if the worker does not announce one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time before the worker's idle time-out from which a connection is no longer used.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(800);
/// Time for which each connection to a worker is used only once, after the worker sent the answer to another request.
const SINGLE_USE_TIME: Duration = Duration::from_secs(20);
/// Largest number of idle connections kept for a worker.
const MAX_IDLE_PER_WORKER: usize = 8;

/// The error of a connection that could not be opened.
#[derive(Clone, Debug, Display, Error)]
#[display("no connection to {address}: {reason}")]
pub(crate) struct ConnectError {
    pub(crate) address: SocketAddr,
    pub(crate) reason: String,
    /// Whether the address refuses connections, as that of a process that has ended does.
    pub(crate) is_refused: bool,
}

struct IdleConnection {
    sender: Sender,
    idle_since: Duration,
    expires_at: Duration,
}

/// Connections to workers, by incarnation.
#[derive(Default)]
pub(crate) struct Upstream {
    /// Local address of new connections; `None` if the operating system chooses it.
    source: Option<IpAddr>,
    idle: Mutex<HashMap<String, VecDeque<IdleConnection>>>,
    single_use_until: Mutex<HashMap<String, Duration>>,
}

impl Upstream {
    /// Creates an empty pool whose connections have the local address `source`.
    pub(crate) fn new(source: Option<IpAddr>) -> Self {
        Self {
            source,
            ..Self::default()
        }
    }

    /// Removes and returns the usable connection that has been idle longest; `None` if there is none. Surplus bytes
    /// behind a previous answer have most likely arrived by now on a connection that was idle for long, and such a
    /// connection is discarded, since it is not ready.
    pub(crate) fn take_idle(&self, incarnation: &str, now: Duration) -> Option<Sender> {
        let mut idle = lock(&self.idle);
        let of_worker = idle.get_mut(incarnation)?;
        while let Some(connection) = of_worker.pop_front() {
            if connection.expires_at > now && connection.sender.is_ready() {
                return Some(connection.sender);
            }
        }
        None
    }

    /// Returns a connection to the pool after an answer was read to its end.
    pub(crate) fn return_idle(
        &self,
        incarnation: &str,
        sender: Sender,
        keep_alive: Option<Duration>,
        now: Duration,
    ) {
        if sender.is_closed() || self.is_single_use(incarnation, now) {
            return;
        }
        let idle_timeout = keep_alive.unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let idle_timeout = idle_timeout.saturating_sub(IDLE_TIMEOUT_MARGIN);
        let mut idle = lock(&self.idle);
        let of_worker = idle.entry(incarnation.to_owned()).or_default();
        of_worker
            .retain(|connection| connection.expires_at > now && !connection.sender.is_closed());
        if of_worker.len() < MAX_IDLE_PER_WORKER {
            of_worker.push_back(IdleConnection {
                sender,
                idle_since: now,
                expires_at: now + idle_timeout,
            });
        }
    }

    /// Closes the idle connections to a worker that answered another request than the one sent, and uses new ones
    /// only once for `SINGLE_USE_TIME`.
    pub(crate) fn require_single_use(&self, incarnation: &str, now: Duration) {
        lock(&self.idle).remove(incarnation);
        lock(&self.single_use_until).insert(incarnation.to_owned(), now + SINGLE_USE_TIME);
    }

    fn is_single_use(&self, incarnation: &str, now: Duration) -> bool {
        let until = lock(&self.single_use_until).get(incarnation).copied();
        until.is_some_and(|until| until > now)
    }

    /// Closes idle connections that have timed out, and those to workers for which `is_ready` is false.
    pub(crate) fn close_expired(&self, now: Duration, is_ready: impl Fn(&str) -> bool) {
        let mut idle = lock(&self.idle);
        idle.retain(|incarnation, of_worker| {
            of_worker.retain(|connection| {
                connection.idle_since <= now
                    && connection.expires_at > now
                    && !connection.sender.is_closed()
            });
            !of_worker.is_empty() && is_ready(incarnation)
        });
        lock(&self.single_use_until).retain(|_, until| *until > now);
    }

    /// Opens a connection.
    pub(crate) async fn connect(&self, address: SocketAddr) -> Result<Sender, ConnectError> {
        let failed = |reason: String| ConnectError {
            address,
            reason,
            is_refused: false,
        };
        let stream =
            tokio::time::timeout(CONNECT_TIMEOUT, connect_from(self.source, address)).await;
        let stream = match stream {
            Err(_) => return Err(failed("timed out".to_owned())),
            Ok(stream) => stream.map_err(|error| ConnectError {
                is_refused: error.kind() == ErrorKind::ConnectionRefused,
                ..failed(error.to_string())
            })?,
        };
        set_socket_options(&stream);
        let handshake = http1::Builder::new()
            .handshake::<_, PermittedBody>(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(|error| failed(error.to_string()))?;
        // The request that uses the connection gets its errors.
        tokio::spawn(async move { drop(connection.await) });
        Ok(sender)
    }
}

/// Opens a connection from the local address `source`, or from the one that the operating system chooses.
async fn connect_from(source: Option<IpAddr>, address: SocketAddr) -> std::io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let socket = match source {
        IpAddr::V4(_) => TcpSocket::new_v4()?,
        IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind((source, 0).into())?;
    socket.connect(address).await
}

/// Sets the options by which a broken link is detected. If the system lacks an option, the connection works without
/// it.
fn set_socket_options(stream: &TcpStream) {
    drop(stream.set_nodelay(true));
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    drop(socket.set_tcp_keepalive(&probes));
    drop(socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
}
