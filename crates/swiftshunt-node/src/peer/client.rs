//! Client of the peer interface.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use serde::Serialize;
use serde::de::DeserializeOwned;
use swiftshunt_config::ConfigurationHistory;
use swiftshunt_http::{CBOR, HttpClient, HttpError, HttpRequest, decode_cbor, encode_cbor};
use swiftshunt_scheduler::grants::Grant;
use swiftshunt_types::MachineList;
use tokio::sync::mpsc;

use super::{
    Gossip, LedgerAnswer, LedgerRefusal, LedgerRequest, ProbeAnswer, ProbeRequest, RaftBatch,
};
use crate::batch::GrantRequest;
use crate::decisions::Decision;
use crate::lock;

/// Capacity of the queue of message batches to one peer. Batches beyond it are dropped; the consensus
/// protocol sends their messages again.
const RAFT_QUEUE_CAPACITY: usize = 1024;
/// Limit of the batches in one exchange.
const MAX_BATCHES_PER_EXCHANGE: usize = 128;
/// Timeout of one exchange of consensus messages.
const RAFT_EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of calls that read state from a peer or drain it.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Counters of the calls that this node made to other nodes, and of the bytes of their bodies.
#[derive(Debug, Default)]
pub(crate) struct PeerTraffic {
    pub(crate) calls: Counter,
    pub(crate) sent_bytes: Counter,
    pub(crate) received_bytes: Counter,
}

/// Posts a CBOR body and decodes the CBOR answer; counts the call and the bytes of both bodies.
async fn post_counted<T: DeserializeOwned>(
    http: &HttpClient,
    traffic: &PeerTraffic,
    to: SocketAddr,
    path: &str,
    body: &impl Serialize,
    timeout: Duration,
) -> Result<T, HttpError> {
    let unreadable = |reason| HttpError::Unreadable {
        address: to,
        reason,
    };
    let body = encode_cbor(body).map_err(unreadable)?;
    traffic.calls.inc();
    traffic.sent_bytes.inc_by(body.len() as u64);
    let request = HttpRequest::post(to, path, CBOR, body);
    let answer = http.expect_success(request, timeout).await?;
    traffic.received_bytes.inc_by(answer.body.len() as u64);
    decode_cbor(&answer.body).map_err(unreadable)
}

/// Client of the peer interface of other nodes.
pub(crate) struct PeerClient {
    http: HttpClient,
    traffic: Arc<PeerTraffic>,
    raft_queues: Mutex<HashMap<SocketAddr, mpsc::Sender<RaftBatch>>>,
}

impl PeerClient {
    pub(crate) fn new(http: HttpClient) -> Self {
        Self {
            http,
            traffic: Arc::default(),
            raft_queues: Mutex::new(HashMap::new()),
        }
    }

    /// The counters of this client's calls.
    pub(crate) fn traffic(&self) -> &PeerTraffic {
        &self.traffic
    }

    async fn post<T: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, HttpError> {
        post_counted(&self.http, &self.traffic, to, path, body, timeout).await
    }

    pub(crate) async fn gossip(
        &self,
        to: SocketAddr,
        gossip: &Gossip,
        timeout: Duration,
    ) -> Result<Gossip, HttpError> {
        self.post(to, "/peer/gossip", gossip, timeout).await
    }

    /// Lets the node `through` probe the node `target`.
    pub(crate) async fn probe(
        &self,
        through: SocketAddr,
        target: SocketAddr,
        timeout: Duration,
    ) -> Result<ProbeAnswer, HttpError> {
        let request = ProbeRequest { target };
        self.post(through, "/peer/probe", &request, timeout).await
    }

    pub(crate) async fn configuration(
        &self,
        from: SocketAddr,
    ) -> Result<ConfigurationHistory, HttpError> {
        self.post(from, "/peer/configuration", &(), FETCH_TIMEOUT)
            .await
    }

    pub(crate) async fn machines(&self, from: SocketAddr) -> Result<MachineList, HttpError> {
        self.post(from, "/peer/machines", &(), FETCH_TIMEOUT).await
    }

    pub(crate) async fn grants(
        &self,
        granter: SocketAddr,
        request: &GrantRequest,
        timeout: Duration,
    ) -> Result<Vec<Grant>, HttpError> {
        self.post(granter, "/peer/grants", request, timeout).await
    }

    pub(crate) async fn decisions(
        &self,
        of: SocketAddr,
        subject: &String,
    ) -> Result<Vec<Decision>, HttpError> {
        self.post(of, "/peer/decisions", subject, FETCH_TIMEOUT)
            .await
    }

    pub(crate) async fn drain(&self, to: SocketAddr) -> Result<(), HttpError> {
        self.post(to, "/peer/drain", &(), FETCH_TIMEOUT).await
    }

    /// Sends an operation to the leader of a partition. The outer error is a failed call, the inner one
    /// the refusal of the replica.
    pub(crate) async fn ledger(
        &self,
        leader: SocketAddr,
        request: &LedgerRequest,
        timeout: Duration,
    ) -> Result<Result<LedgerAnswer, LedgerRefusal>, HttpError> {
        self.post(leader, "/peer/ledger", request, timeout).await
    }

    /// Queues consensus messages for a peer. Drops them if the queue is full.
    pub(crate) fn send_raft(&self, to: SocketAddr, batch: RaftBatch) {
        let mut queues = lock(&self.raft_queues);
        let queue = queues
            .entry(to)
            .or_insert_with(|| self.spawn_raft_sender(to));
        if let Err(mpsc::error::TrySendError::Closed(batch)) = queue.try_send(batch) {
            let new_queue = self.spawn_raft_sender(to);
            drop(new_queue.try_send(batch));
            queues.insert(to, new_queue);
        }
    }

    fn spawn_raft_sender(&self, to: SocketAddr) -> mpsc::Sender<RaftBatch> {
        let (sender, mut receiver) = mpsc::channel(RAFT_QUEUE_CAPACITY);
        let (http, traffic) = (self.http.clone(), Arc::clone(&self.traffic));
        tokio::spawn(async move {
            let mut batches = Vec::new();
            while receiver
                .recv_many(&mut batches, MAX_BATCHES_PER_EXCHANGE)
                .await
                > 0
            {
                let timeout = RAFT_EXCHANGE_TIMEOUT;
                let result = post_counted(&http, &traffic, to, "/peer/raft", &batches, timeout);
                let result: Result<(), HttpError> = result.await;
                if let Err(error) = result {
                    log::debug!("exchange with a peer failed, consensus messages dropped: {error}");
                }
                batches.clear();
            }
        });
        sender
    }
}
