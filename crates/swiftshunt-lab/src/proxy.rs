//! The fault-injecting proxy: TCP links whose behaviour is changed while they run.
//!
//! A rule applies to a link and, if it names one, to connections from one source address: nodes of
//! a zone connect from addresses of their own, so a zone can be cut from one side only.

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

const BUFFER: usize = 64 * 1024;

/// What a link does to its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Passes everything on.
    #[default]
    None,
    /// Passes everything on after a while.
    Delay(Duration),
    /// Breaks open connections off and accepts none that lives.
    Cut,
    /// Holds everything back, both ways, and passes it on when the fault ends.
    Freeze,
    /// Passes requests on and discards answers.
    DropAnswers,
    /// Passes answers on and discards requests.
    DropRequests,
    /// Passes half of the next answer's bytes on and resets the connection.
    Truncate,
}

/// How wide a link is, for all that shares it together.
#[derive(Debug)]
pub struct Width(Mutex<Occupied>);

#[derive(Debug)]
struct Occupied {
    /// None where it is wide enough for anything.
    bytes_per_s: Option<f64>,
    /// Until when what was sent so far keeps it busy.
    until: Instant,
    /// Bytes that have passed.
    passed: u64,
}

impl Default for Width {
    /// Wide enough for anything.
    fn default() -> Self {
        Self(Mutex::new(Occupied {
            bytes_per_s: None,
            until: Instant::now(),
            passed: 0,
        }))
    }
}

impl Width {
    /// A width in bytes a second.
    pub fn new(bytes_per_s: u64) -> Self {
        let width = Self::default();
        width.limit(bytes_per_s);
        width
    }

    /// Limits it from now on, to bytes a second.
    pub fn limit(&self, bytes_per_s: u64) {
        lock(&self.0).bytes_per_s = Some(bytes_per_s as f64);
    }

    /// Bytes that have passed.
    pub fn passed(&self) -> u64 {
        lock(&self.0).passed
    }

    /// Waits until these bytes are through, behind all that came before them.
    async fn pass(&self, bytes: usize) {
        let until = {
            let mut occupied = lock(&self.0);
            occupied.passed += bytes as u64;
            let Some(bytes_per_s) = occupied.bytes_per_s else {
                return;
            };
            let time = Duration::from_secs_f64(bytes as f64 / bytes_per_s);
            occupied.until = Instant::now().max(occupied.until) + time;
            occupied.until
        };
        tokio::time::sleep_until(until).await;
    }
}

/// What a link is like without any fault.
#[derive(Clone, Debug, Default)]
pub struct Way {
    /// Time from one end to the other.
    pub delay: Duration,
    /// Its width; none where it is wide enough for anything.
    pub width: Option<Arc<Width>>,
}

impl Way {
    async fn pass(&self, bytes: usize) {
        if let Some(width) = &self.width {
            width.pass(bytes).await;
        }
        if !self.delay.is_zero() {
            tokio::time::sleep(self.delay).await;
        }
    }
}

/// Rules of one link.
#[derive(Default)]
struct Rules {
    way: Way,
    everyone: Fault,
    by_source: HashMap<IpAddr, Fault>,
}

impl Rules {
    fn fault_for(&self, source: IpAddr) -> Fault {
        let own = self.by_source.get(&source).copied().unwrap_or_default();
        if own == Fault::None {
            self.everyone
        } else {
            own
        }
    }
}

/// One link through the proxy.
pub struct Link {
    /// Where the proxy listens.
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
    /// Opens a link; the target may be told later, when its port is known.
    pub async fn open(listen: SocketAddr, target: Option<SocketAddr>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let target = Arc::new(Mutex::new(target));
        let rules = Arc::new(Mutex::new(Rules::default()));
        let changed = watch::Sender::new(());
        let task = tokio::spawn(accept(
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

    /// Where connections go from now on.
    pub fn set_target(&self, target: SocketAddr) {
        *lock(&self.target) = Some(target);
    }

    /// What the link is like from now on.
    pub fn set_way(&self, way: Way) {
        lock(&self.rules).way = way;
    }

    /// What happens to every connection without a rule of its own.
    pub fn set_fault(&self, fault: Fault) {
        lock(&self.rules).everyone = fault;
        self.changed.send_replace(());
    }

    /// What happens to connections from `source`.
    pub fn set_fault_from(&self, source: IpAddr, fault: Fault) {
        lock(&self.rules).by_source.insert(source, fault);
        self.changed.send_replace(());
    }
}

async fn accept(
    listener: TcpListener,
    target: Arc<Mutex<Option<SocketAddr>>>,
    rules: Arc<Mutex<Rules>>,
    changed: watch::Sender<()>,
) {
    while let Ok((client, source)) = listener.accept().await {
        let Some(target) = *lock(&target) else {
            continue;
        };
        let view = FaultView {
            source: source.ip(),
            rules: Arc::clone(&rules),
            changed: changed.subscribe(),
        };
        tokio::spawn(carry(client, target, view));
    }
}

/// One connection's view of the rules.
#[derive(Clone)]
struct FaultView {
    source: IpAddr,
    rules: Arc<Mutex<Rules>>,
    changed: watch::Receiver<()>,
}

impl FaultView {
    fn current(&self) -> Fault {
        lock(&self.rules).fault_for(self.source)
    }

    fn way(&self) -> Way {
        lock(&self.rules).way.clone()
    }

    /// Returns once the fault is `Cut`.
    async fn cut(&mut self) {
        while self.current() != Fault::Cut {
            if self.changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns once the fault is not `Freeze`.
    async fn thawed(&mut self) {
        while self.current() == Fault::Freeze {
            if self.changed.changed().await.is_err() {
                return;
            }
        }
    }
}

async fn carry(client: TcpStream, target: SocketAddr, mut view: FaultView) {
    if view.current() == Fault::Cut {
        reset(&client);
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        reset(&client);
        return;
    };
    drop(client.set_nodelay(true));
    drop(server.set_nodelay(true));
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let requests = pump(from_client, to_server, view.clone(), false);
    let answers = pump(from_server, to_client, view.clone(), true);
    tokio::select! {
        _ = async { tokio::join!(requests, answers) } => {}
        () = view.cut() => {}
    }
}

/// Lets the close be a reset, as a broken network's would be.
fn reset(stream: &TcpStream) {
    drop(stream.set_zero_linger());
}

async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut view: FaultView, answers: bool) {
    let mut buffer = vec![0; BUFFER];
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 {
            break;
        }
        match view.current() {
            Fault::DropAnswers if answers => continue,
            Fault::DropRequests if !answers => continue,
            Fault::Truncate if answers => {
                drop(to.write_all(&buffer[..length / 2]).await);
                drop(to.as_ref().set_zero_linger());
                return;
            }
            Fault::Delay(delay) => tokio::time::sleep(delay).await,
            Fault::Freeze => view.thawed().await,
            Fault::Cut => return,
            _ => {}
        }
        view.way().pass(length).await;
        if to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    drop(to.shutdown().await);
}
