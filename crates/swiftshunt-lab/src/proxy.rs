//! Fault-injecting proxy: TCP links whose faults and conditions can be changed while they run.
//!
//! A fault applies to all connections of a link or to those from one source address. Each node connects from an
//! address of its own, so a node, or all nodes of a zone, can be cut off in one direction only.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::stand_in::lock;

/// Largest chunk of bytes that is forwarded at once.
const BUFFER_BYTES: usize = 64 * 1024;

/// Fault that a link applies to its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Forward all bytes.
    #[default]
    None,
    /// Delay each chunk of bytes by this time. The next chunk in the same direction is read only afterwards.
    Delay(Duration),
    /// Close open connections and reset new ones.
    Cut,
    /// Hold back all bytes in both directions, and forward them when the fault ends.
    Freeze,
    /// Forward requests and discard responses.
    DropAnswers,
    /// Forward responses and discard requests.
    DropRequests,
    /// Forward half of the next chunk of response bytes and end the responses. The client's socket is reset once the
    /// requests have ended too.
    Truncate,
}

/// Bandwidth shared by all connections of all links that hold it; unlimited by default.
#[derive(Debug)]
pub struct Bandwidth(Mutex<BandwidthState>);

#[derive(Debug)]
struct BandwidthState {
    /// `None` without a limit.
    bytes_per_second: Option<f64>,
    /// Time at which the bytes accepted so far have been transferred.
    busy_until: Instant,
    /// Bytes accepted for transfer so far, also without a limit.
    transferred_bytes: u64,
}

impl Default for Bandwidth {
    /// Creates a bandwidth without a limit.
    fn default() -> Self {
        Self(Mutex::new(BandwidthState {
            bytes_per_second: None,
            busy_until: Instant::now(),
            transferred_bytes: 0,
        }))
    }
}

impl Bandwidth {
    /// Creates a bandwidth limited to `bytes_per_second`.
    pub fn new(bytes_per_second: u64) -> Self {
        let bandwidth = Self::default();
        bandwidth.set_limit(bytes_per_second);
        bandwidth
    }

    /// Limits transfers that begin after this call to `bytes_per_second`.
    pub fn set_limit(&self, bytes_per_second: u64) {
        lock(&self.0).bytes_per_second = Some(bytes_per_second as f64);
    }

    /// Returns the number of bytes accepted for transfer so far.
    pub fn transferred_bytes(&self) -> u64 {
        lock(&self.0).transferred_bytes
    }

    /// Waits for the transfer of `bytes`, queued behind all earlier transfers. Returns at once without a limit.
    async fn transmit(&self, bytes: usize) {
        let busy_until = {
            let mut state = lock(&self.0);
            state.transferred_bytes += bytes as u64;
            let Some(bytes_per_second) = state.bytes_per_second else {
                return;
            };
            let time = Duration::from_secs_f64(bytes as f64 / bytes_per_second);
            state.busy_until = Instant::now().max(state.busy_until) + time;
            state.busy_until
        };
        tokio::time::sleep_until(busy_until).await;
    }
}

/// Conditions of a link that apply in addition to its fault.
#[derive(Clone, Debug, Default)]
pub struct LinkConditions {
    /// Latency added to each chunk of bytes, in each direction. The next chunk in the same direction is read only
    /// afterwards.
    pub delay: Duration,
    /// Bandwidth of the link, possibly shared with other links; `None` without a limit.
    pub bandwidth: Option<Arc<Bandwidth>>,
}

impl LinkConditions {
    async fn apply(&self, bytes: usize) {
        if let Some(bandwidth) = &self.bandwidth {
            bandwidth.transmit(bytes).await;
        }
        if !self.delay.is_zero() {
            tokio::time::sleep(self.delay).await;
        }
    }
}

/// Conditions and faults of one link.
#[derive(Default)]
struct Rules {
    /// Number of connections accepted so far.
    accepted: u64,
    /// The connections among them that were open at the last [`Link::silence_open_connections`], by number: all below.
    silenced_below: u64,
    /// Whether the address refuses connections.
    is_refusing: bool,
    conditions: LinkConditions,
    default_fault: Fault,
    fault_by_source: HashMap<IpAddr, Fault>,
}

impl Rules {
    fn fault_for(&self, source: IpAddr) -> Fault {
        let source_fault = self
            .fault_by_source
            .get(&source)
            .copied()
            .unwrap_or_default();
        if source_fault == Fault::None {
            self.default_fault
        } else {
            source_fault
        }
    }
}

/// A proxied TCP address. Dropping the link stops the listener and closes its open connections.
pub struct Link {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    rules: Arc<Mutex<Rules>>,
    changed: watch::Sender<()>,
    task: JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    /// Opens a link. Until a target is set, accepted connections are closed.
    ///
    /// The target can be set later because the port of a process may be unknown before the process has started.
    pub async fn open(listen: SocketAddr, target: Option<SocketAddr>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let target = Arc::new(Mutex::new(target));
        let rules = Arc::new(Mutex::new(Rules::default()));
        let changed = watch::Sender::new(());
        let task = tokio::spawn(accept_connections(
            listener,
            Arc::clone(&target),
            Arc::clone(&rules),
            changed.clone(),
        ));
        Ok(Self {
            address,
            target,
            rules,
            changed,
            task,
        })
    }

    /// Sets the address to which new connections are forwarded.
    pub fn set_target(&self, target: SocketAddr) {
        *lock(&self.target) = Some(target);
        lock(&self.rules).is_refusing = false;
        self.changed.send_replace(());
    }

    /// Closes new connections until a target is set. Another process may get the port of a target that has ended.
    pub fn clear_target(&self) {
        *lock(&self.target) = None;
    }

    /// Refuses new connections until a target is set, as the address of a process that has ended does.
    pub fn refuse_connections(&self) {
        lock(&self.rules).is_refusing = true;
        self.changed.send_replace(());
    }

    /// Replaces the conditions, also for open connections.
    pub fn set_conditions(&self, conditions: LinkConditions) {
        lock(&self.rules).conditions = conditions;
    }

    /// Sets the fault of all connections whose source has no fault of its own.
    pub fn set_fault(&self, fault: Fault) {
        lock(&self.rules).default_fault = fault;
        self.changed.send_replace(());
    }

    /// Sets the fault of connections from `source`. [`Fault::None`] leaves them to the fault of the link.
    pub fn set_fault_from(&self, source: IpAddr, fault: Fault) {
        lock(&self.rules).fault_by_source.insert(source, fault);
        self.changed.send_replace(());
    }

    /// Discards from now on all bytes of the connections that are open, in both directions, and hides their ends: each side
    /// takes the other one for silent. New connections are not affected.
    pub fn silence_open_connections(&self) {
        let mut rules = lock(&self.rules);
        rules.silenced_below = rules.accepted;
    }
}

async fn accept_connections(
    mut listener: TcpListener,
    target: Arc<Mutex<Option<SocketAddr>>>,
    rules: Arc<Mutex<Rules>>,
    changed: watch::Sender<()>,
) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let mut changes = changed.subscribe();
    loop {
        let is_refusing = || lock(&rules).is_refusing;
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_until(&mut changes, is_refusing) => {
                drop(listener);
                wait_until(&mut changes, || !is_refusing()).await;
                let Ok(reopened) = TcpListener::bind(address).await else {
                    return;
                };
                listener = reopened;
                continue;
            }
        };
        let Ok((client, source)) = accepted else {
            return;
        };
        let Some(target) = *lock(&target) else {
            continue;
        };
        let number = {
            let mut rules = lock(&rules);
            rules.accepted += 1;
            rules.accepted - 1
        };
        let connection = ConnectionRules {
            number,
            source: source.ip(),
            rules: Arc::clone(&rules),
            changed: changed.subscribe(),
        };
        tokio::spawn(forward_connection(client, target, connection));
    }
}

/// Waits until a condition on the rules of a link holds.
async fn wait_until(changes: &mut watch::Receiver<()>, holds: impl Fn() -> bool) {
    while !holds() {
        // The caller holds the sender, so waiting cannot fail.
        drop(changes.changed().await);
    }
}

/// The rules of a link as they apply to one connection.
#[derive(Clone)]
struct ConnectionRules {
    /// Number of connections of the link accepted before.
    number: u64,
    source: IpAddr,
    rules: Arc<Mutex<Rules>>,
    changed: watch::Receiver<()>,
}

impl ConnectionRules {
    fn current_fault(&self) -> Fault {
        lock(&self.rules).fault_for(self.source)
    }

    fn conditions(&self) -> LinkConditions {
        lock(&self.rules).conditions.clone()
    }

    fn is_silenced(&self) -> bool {
        self.number < lock(&self.rules).silenced_below
    }

    /// Returns once the link has been dropped.
    async fn wait_until_dropped(&mut self) {
        while self.changed.changed().await.is_ok() {}
    }

    /// Returns once the fault is [`Fault::Cut`], or the link has been dropped.
    async fn wait_until_cut(&mut self) {
        while self.current_fault() != Fault::Cut {
            if self.changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns once the fault is not [`Fault::Freeze`], or the link has been dropped.
    async fn wait_while_frozen(&mut self) {
        while self.current_fault() == Fault::Freeze {
            if self.changed.changed().await.is_err() {
                return;
            }
        }
    }
}

async fn forward_connection(
    client: TcpStream,
    target: SocketAddr,
    mut connection: ConnectionRules,
) {
    if connection.current_fault() == Fault::Cut {
        reset_on_close(&client);
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        reset_on_close(&client);
        return;
    };
    drop(client.set_nodelay(true));
    drop(server.set_nodelay(true));
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let requests = forward_direction(from_client, to_server, connection.clone(), false);
    let answers = forward_direction(from_server, to_client, connection.clone(), true);
    tokio::select! {
        _ = async { tokio::join!(requests, answers) } => {}
        () = connection.wait_until_cut() => {}
    }
}

/// Makes closing the stream send a reset, as a broken connection would.
fn reset_on_close(stream: &TcpStream) {
    drop(stream.set_zero_linger());
}

async fn forward_direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut connection: ConnectionRules,
    carries_answers: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 {
            break;
        }
        if connection.is_silenced() {
            continue;
        }
        match connection.current_fault() {
            Fault::DropAnswers if carries_answers => continue,
            Fault::DropRequests if !carries_answers => continue,
            Fault::Truncate if carries_answers => {
                drop(to.write_all(&buffer[..length / 2]).await);
                drop(to.as_ref().set_zero_linger());
                return;
            }
            Fault::Delay(delay) => tokio::time::sleep(delay).await,
            Fault::Freeze => connection.wait_while_frozen().await,
            Fault::Cut => return,
            _ => {}
        }
        connection.conditions().apply(length).await;
        if to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    if connection.is_silenced() {
        return connection.wait_until_dropped().await;
    }
    drop(to.shutdown().await);
}
