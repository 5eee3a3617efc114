//! Connections to workers: made, kept while they rest, and given up at the first doubt.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use derive_more::{Display, Error};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use swiftshunt_http::PermittedBody;
use tokio::net::TcpStream;

use crate::fleet_state::lock;

/// A connection that is ready for a request.
pub(crate) type Sender = SendRequest<PermittedBody>;

/// Time within which a connection is made or given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which unacknowledged bytes break a connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Rest after which a silent peer is probed, and the pause between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer that break a connection.
const PROBES: u32 = 2;
/// How long a connection rests at most where the worker does not say.
const DEFAULT_REST: Duration = Duration::from_secs(3);
/// Time before a told end of rest from which a connection is no longer used.
const REST_MARGIN: Duration = Duration::from_millis(800);
/// How long connections to a worker that sent a surplus answer are used once only.
const SINGLE_USE_TIME: Duration = Duration::from_secs(20);
/// Resting connections kept for one worker.
const MOST_RESTING: usize = 8;

/// Why a connection was not made.
#[derive(Clone, Debug, Display, Error)]
#[display("no connection to {address}: {reason}")]
pub(crate) struct ConnectError {
    pub(crate) address: SocketAddr,
    pub(crate) reason: String,
}

struct Resting {
    sender: Sender,
    since: Duration,
    until: Duration,
}

/// Connections to workers, by incarnation.
#[derive(Default)]
pub(crate) struct Upstream {
    resting: Mutex<HashMap<String, VecDeque<Resting>>>,
    single_use_until: Mutex<HashMap<String, Duration>>,
}

impl Upstream {
    /// A resting connection, the one that has rested longest first: what a worker sent too much
    /// has then most likely shown itself.
    pub(crate) fn take_idle(&self, incarnation: &str, now: Duration) -> Option<Sender> {
        let mut resting = lock(&self.resting);
        let of_worker = resting.get_mut(incarnation)?;
        while let Some(connection) = of_worker.pop_front() {
            if connection.until > now && connection.sender.is_ready() {
                return Some(connection.sender);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read to its end.
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
        let rest = keep_alive.unwrap_or(DEFAULT_REST);
        let rest = rest.saturating_sub(REST_MARGIN);
        let mut resting = lock(&self.resting);
        let of_worker = resting.entry(incarnation.to_owned()).or_default();
        of_worker.retain(|connection| connection.until > now && !connection.sender.is_closed());
        if of_worker.len() < MOST_RESTING {
            of_worker.push_back(Resting {
                sender,
                since: now,
                until: now + rest,
            });
        }
    }

    /// A worker sent an answer that nobody waited for.
    pub(crate) fn require_single_use(&self, incarnation: &str, now: Duration) {
        lock(&self.resting).remove(incarnation);
        lock(&self.single_use_until).insert(incarnation.to_owned(), now + SINGLE_USE_TIME);
    }

    fn is_single_use(&self, incarnation: &str, now: Duration) -> bool {
        let until = lock(&self.single_use_until).get(incarnation).copied();
        until.is_some_and(|until| until > now)
    }

    /// Closes resting connections that are over their time, and those of workers that are gone.
    pub(crate) fn close_expired(&self, now: Duration, is_known: impl Fn(&str) -> bool) {
        let mut resting = lock(&self.resting);
        resting.retain(|incarnation, of_worker| {
            of_worker.retain(|connection| {
                connection.since <= now && connection.until > now && !connection.sender.is_closed()
            });
            !of_worker.is_empty() && is_known(incarnation)
        });
        lock(&self.single_use_until).retain(|_, until| *until > now);
    }

    /// Makes a connection.
    pub(crate) async fn connect(&self, address: SocketAddr) -> Result<Sender, ConnectError> {
        let failed = |reason: String| ConnectError { address, reason };
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = match stream {
            Err(_) => return Err(failed("timed out".to_owned())),
            Ok(stream) => stream.map_err(|error| failed(error.to_string()))?,
        };
        guard(&stream);
        let handshake = http1::Builder::new()
            .handshake::<_, PermittedBody>(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(|error| failed(error.to_string()))?;
        // Errors of the connection show at the request that uses it.
        tokio::spawn(async move { drop(connection.await) });
        Ok(sender)
    }
}

/// Lets a dead link show itself. Where the system lacks an option the connection works without it.
fn guard(stream: &TcpStream) {
    drop(stream.set_nodelay(true));
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    drop(socket.set_tcp_keepalive(&probes));
    drop(socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
}
