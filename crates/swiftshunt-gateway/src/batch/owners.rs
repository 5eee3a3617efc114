//! Forwards calls about jobs that run elsewhere to the gateway that holds the job's partition.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::header::{AUTHORIZATION, HeaderValue};
use hyper::http::request;
use hyper::{HeaderMap, Request, Response, StatusCode};
use swiftshunt_journal::{Log, Topic};
use swiftshunt_types::TenantName;

use super::member::Member;
use crate::answers::{CallerAnswer, end_to_end_headers, full_body};
use crate::clock::Clock;
use crate::fleet_state::lock;
use crate::peer_http::{self, PeerClient};

/// Age at which the known owners are read again.
const OWNERS_TTL: Duration = Duration::from_secs(5);
/// Shortest interval between the starts of two reads of the owners, also after a failed read.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Time-out of one read of the owners.
const READ_TIMEOUT: Duration = Duration::from_millis(600);
/// Time within which a gateway answers a forwarded call, in addition to the call's own wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a gateway that did not answer is skipped.
const SUSPICION_DURATION: Duration = Duration::from_secs(3);
/// Idle connections kept open to one gateway.
const MAX_IDLE_CONNECTIONS: usize = 2;
/// Header that makes a gateway answer from its own read of the partition, even if it does not hold it.
const READS_HEADER: &str = "swiftshunt-peer-reads";
/// Header that names the caller's tenant in a forwarded call. It is evaluated only at the address for peers, which
/// only other gateways reach.
const TENANT_HEADER: &str = "swiftshunt-peer-tenant";

/// The known owners of partitions.
#[derive(Default)]
struct KnownOwners {
    by_partition: BTreeMap<u32, SocketAddr>,
    read_at: Option<Duration>,
    requested_at: Option<Duration>,
    /// Partitions without an owner as of the last read.
    unowned: BTreeSet<u32>,
    /// Whether the last read failed.
    is_unavailable: bool,
    suspected_until: HashMap<SocketAddr, Duration>,
}

/// Finds the gateways that hold partitions and forwards calls to them.
pub(crate) struct PartitionOwners {
    log: Arc<dyn Log>,
    own: SocketAddr,
    partitions: u32,
    clock: Clock,
    known: Mutex<KnownOwners>,
    read_lock: tokio::sync::Mutex<()>,
    client: PeerClient<Empty<Bytes>>,
}

impl PartitionOwners {
    /// Creates the owners of `partitions` partitions, for the gateway that its peers reach at `own`.
    pub(crate) fn new(log: Arc<dyn Log>, own: SocketAddr, partitions: u32, clock: Clock) -> Self {
        Self {
            log,
            own,
            partitions,
            clock,
            known: Mutex::default(),
            read_lock: tokio::sync::Mutex::default(),
            client: peer_http::new_client(MAX_IDLE_CONNECTIONS),
        }
    }

    /// Forwards a call to the gateway that holds the partition. Returns `None` if no other gateway is known to hold it
    /// or the call was not answered by its owner.
    pub(crate) async fn forward(
        &self,
        partition: u32,
        head: &request::Parts,
        tenant: Option<&TenantName>,
        wait: Duration,
    ) -> Option<CallerAnswer> {
        let owner = self.owner(partition).await?;
        let request = request_to(owner, head, tenant)?;
        let answer = self.exchange(request, wait).await;
        match answer {
            None => self.mark_suspected(partition, owner),
            Some(ref answer) if answer.status() == StatusCode::MISDIRECTED_REQUEST => {
                self.forget_owner(partition);
            }
            answer => return answer,
        }
        None
    }

    /// Has a gateway answer a call from its own read of the partition. Returns `None` if it does not
    /// answer in time or answers 421.
    pub(super) async fn forward_to_reader(
        &self,
        reader: SocketAddr,
        head: &request::Parts,
        tenant: Option<&TenantName>,
        wait: Duration,
    ) -> Option<CallerAnswer> {
        let mut request = request_to(reader, head, tenant)?;
        let flag = HeaderValue::from_static("1");
        request.headers_mut().insert(READS_HEADER, flag);
        let answer = self.exchange(request, wait).await;
        answer.filter(|answer| answer.status() != StatusCode::MISDIRECTED_REQUEST)
    }

    /// Returns the answer of another gateway, or `None` if it does not answer in time.
    async fn exchange(
        &self,
        request: Request<Empty<Bytes>>,
        wait: Duration,
    ) -> Option<CallerAnswer> {
        let exchange = async {
            let answer = self.client.request(request).await.ok()?;
            let (head, body) = answer.into_parts();
            let body = body.collect().await.ok()?.to_bytes();
            Some((head, body))
        };
        let exchanged = tokio::time::timeout(wait + ANSWER_TIMEOUT, exchange).await;
        let (head, body) = exchanged.ok().flatten()?;
        let mut answer = Response::new(full_body(body));
        *answer.status_mut() = head.status;
        *answer.headers_mut() = end_to_end_headers(&head.headers);
        Some(answer)
    }

    /// Returns the addresses of all known owners of partitions, this gateway's own included.
    pub(super) async fn owner_addresses(&self, partitions: u32) -> BTreeSet<SocketAddr> {
        self.read_if_due(|| (0..partitions).any(|partition| self.is_due(partition)))
            .await;
        let known = lock(&self.known);
        known.by_partition.values().copied().collect()
    }

    /// Returns the address of the gateway that holds a partition; `None` if it is unknown, suspected or this gateway.
    async fn owner(&self, partition: u32) -> Option<SocketAddr> {
        self.read_if_due(|| self.is_due(partition)).await;
        let now = self.clock.now();
        let known = lock(&self.known);
        let owner = known.by_partition.get(&partition).copied();
        owner.filter(|owner| {
            let suspected = known.suspected_until.get(owner);
            *owner != self.own && suspected.is_none_or(|until| now >= *until)
        })
    }

    /// Reads the owners if a read is due and no concurrent caller has made it meanwhile.
    async fn read_if_due(&self, is_due: impl Fn() -> bool) {
        if !is_due() {
            return;
        }
        let _guard = self.read_lock.lock().await;
        if is_due() {
            self.read().await;
        }
    }

    /// Whether the owners are to be read again to find the owner of `partition`.
    fn is_due(&self, partition: u32) -> bool {
        let now = self.clock.now();
        let known = lock(&self.known);
        let is_recently_requested = known
            .requested_at
            .is_some_and(|at| now < at + READ_INTERVAL);
        let is_fresh = known.read_at.is_some_and(|at| now < at + OWNERS_TTL);
        let is_known = known.by_partition.contains_key(&partition);
        let is_enough = is_fresh && is_known;
        !is_recently_requested && !is_enough
    }

    async fn read(&self) {
        lock(&self.known).requested_at = Some(self.clock.now());
        let read = tokio::time::timeout(READ_TIMEOUT, self.log.owners(Topic::Jobs)).await;
        match read {
            Ok(Ok(owners)) => self.apply_owners(&owners),
            Ok(Err(error)) => self.record_read_failure(&error.to_string()),
            Err(_) => self.record_read_failure("no answer in time"),
        }
    }

    /// Records that the owners could not be read. Logs only the first failure in a row.
    fn record_read_failure(&self, reason: &str) {
        let mut known = lock(&self.known);
        if !known.is_unavailable {
            log::info!(reason; "the owners of partitions could not be read; using the last known ones");
        }
        known.is_unavailable = true;
    }

    fn apply_owners(&self, owners: &BTreeMap<u32, String>) {
        let mut by_partition = BTreeMap::new();
        for (partition, name) in owners {
            match name.parse::<Member>() {
                Ok(member) => {
                    by_partition.insert(*partition, member.address);
                }
                Err(error) => log::warn!(partition; "an owner of a partition is ignored: {error}"),
            }
        }
        let all = 0..self.partitions;
        let unowned: BTreeSet<u32> = all
            .filter(|partition| !by_partition.contains_key(partition))
            .collect();
        let now = self.clock.now();
        let mut known = lock(&self.known);
        if unowned != known.unowned {
            log::info!(partitions:? = unowned; "the partitions whose items no gateway runs changed");
        }
        known.unowned = unowned;
        known.by_partition = by_partition;
        known.read_at = Some(now);
        known.is_unavailable = false;
        known.suspected_until.retain(|_, until| now < *until);
    }

    /// Marks an owner as suspected after it did not answer, so that it is skipped for [`SUSPICION_DURATION`].
    fn mark_suspected(&self, partition: u32, owner: SocketAddr) {
        log::info!(partition, owner = owner.to_string().as_str();
            "the gateway that holds a partition does not answer; skipping it");
        let until = self.clock.now() + SUSPICION_DURATION;
        lock(&self.known).suspected_until.insert(owner, until);
        self.forget_owner(partition);
    }

    fn forget_owner(&self, partition: u32) {
        lock(&self.known).by_partition.remove(&partition);
    }
}

/// Returns the tenant of a forwarded call. The forwarding gateway has authenticated the caller.
pub(super) fn forwarded_tenant(headers: &HeaderMap) -> Option<TenantName> {
    let name = std::str::from_utf8(headers.get(TENANT_HEADER)?.as_bytes());
    name.ok().map(TenantName::from)
}

/// Whether the call is to be answered from this gateway's own read of the partition.
pub(super) fn requests_reader_answer(headers: &HeaderMap) -> bool {
    headers.contains_key(READS_HEADER)
}

/// Builds the call to another gateway, with the caller's tenant in place of its key.
fn request_to(
    owner: SocketAddr,
    head: &request::Parts,
    tenant: Option<&TenantName>,
) -> Option<Request<Empty<Bytes>>> {
    let path = head.uri.path_and_query()?;
    let uri = peer_http::peer_uri(owner, path.clone())?;
    let mut request = Request::new(Empty::new());
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = uri;
    let mut headers = end_to_end_headers(&head.headers);
    headers.remove("content-length");
    headers.remove("host");
    headers.remove(AUTHORIZATION);
    headers.remove(TENANT_HEADER);
    headers.remove(READS_HEADER);
    if let Some(tenant) = tenant {
        let name = HeaderValue::from_bytes(tenant.as_str().as_bytes()).ok()?;
        headers.insert(TENANT_HEADER, name);
    }
    *request.headers_mut() = headers;
    Some(request)
}
