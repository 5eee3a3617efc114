//! Access to the log, through another gateway while the log does not answer this one.
//!
//! The log may refuse, throttle or drop the connections of some gateways while it serves others. A gateway without
//! access would miss configurations and the departure of workers, and could accept no jobs. Therefore it has another
//! gateway make its calls. The calls are unchanged: what makes them safe (versions, nonces, leases under the member's
//! name) does not depend on the gateway that makes them.

mod availability;
pub(crate) mod message;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, StatusCode};
use rand::seq::SliceRandom;
use swiftshunt_journal::{AppendOutcome, Lease, Log, LogError, NewestPage, ReadOutcome, Topic};
use tokio::sync::watch;

use crate::answers::{CallerAnswer, plain};
use crate::body_buffers::BodyBuffers;
use crate::clock::Clock;
use crate::fleet_state::lock;
use crate::job_regions::JobRegions;
use crate::metrics::Metrics;
use crate::peer_http::{self, PeerClient, encode_answer, encode_message, read_call};
use crate::peers::Peers;
use availability::LogAvailability;
use message::{LogAnswer, LogCall};

/// Path at which gateways accept calls to the log from each other.
pub(crate) const PATH: &str = "/peer/log";
/// Idle connections kept open to one gateway: about the number of reads that wait concurrently.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Largest number of gateways tried for one call.
const MAX_RELAYS: usize = 2;
/// Interval between probes of an unavailable log.
const PROBE_INTERVAL: Duration = Duration::from_millis(700);
/// Additional time for a relayed call, beyond the time that the log may take.
const RELAY_MARGIN: Duration = Duration::from_millis(200);
/// Largest call or answer, in bytes.
const MESSAGE_BYTES: usize = 8 << 20;

/// Outcome of requesting a call from another gateway.
enum RelayOutcome {
    /// The gateway made the call.
    Answered(LogAnswer),
    /// The gateway did not make the call.
    Refused,
    /// The gateway may have made the call.
    Unknown,
}

/// The log, directly or through another gateway.
pub(crate) struct RelayedLog {
    direct: Arc<dyn Log>,
    peers: Arc<Peers>,
    job_regions: Arc<JobRegions>,
    metrics: Arc<Metrics>,
    clock: Clock,
    call_timeout: Duration,
    availability: Mutex<LogAvailability>,
    /// Whether the log is unavailable to this gateway. When it becomes so, direct reads that wait are cancelled.
    unavailable: watch::Sender<bool>,
    client: PeerClient<Full<Bytes>>,
}

impl RelayedLog {
    /// Creates a relayed log. `call_timeout` is the longest time that a call of `direct` takes, without the wait that
    /// the call itself requests.
    pub(crate) fn new(
        direct: Arc<dyn Log>,
        peers: Arc<Peers>,
        job_regions: Arc<JobRegions>,
        metrics: Arc<Metrics>,
        clock: Clock,
        call_timeout: Duration,
    ) -> Self {
        Self {
            direct,
            peers,
            job_regions,
            metrics,
            clock,
            call_timeout,
            availability: Mutex::default(),
            unavailable: watch::Sender::new(false),
            client: peer_http::new_client(MAX_IDLE_CONNECTIONS),
        }
    }

    /// Returns a receiver whose value tells whether the log is unavailable to this gateway.
    pub(crate) fn subscribe_unavailable(&self) -> watch::Receiver<bool> {
        self.unavailable.subscribe()
    }

    /// Probes the log while it is unavailable, until the process ends.
    pub(crate) async fn probe_log(self: Arc<Self>) {
        let mut unavailable = self.unavailable.subscribe();
        loop {
            // The sender lives as long as `self`, so waiting cannot fail.
            drop(unavailable.wait_for(|unavailable| *unavailable).await);
            tokio::time::sleep(PROBE_INTERVAL).await;
            if *unavailable.borrow() {
                let topic = Topic::Jobs;
                self.call_directly(LogCall::Owners { topic }).await;
            }
        }
    }

    /// Makes a call for another gateway.
    pub(crate) async fn answer_peer(
        &self,
        request: Request<Incoming>,
        calls: &BodyBuffers,
    ) -> CallerAnswer {
        if *self.unavailable.borrow() {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "the log is away here, too");
        }
        let call: LogCall = match read_call(request, MESSAGE_BYTES, calls).await {
            Ok(call) => call,
            Err(refusal) => return refusal,
        };
        if call.carries_jobs() && self.job_regions.excludes_this_gateway() {
            let reason = "jobs may not be handled here";
            return plain(StatusCode::SERVICE_UNAVAILABLE, reason);
        }
        let answer = self.call_directly(call).await;
        encode_answer(&answer)
    }

    async fn call(&self, call: LogCall) -> LogAnswer {
        if !*self.unavailable.borrow() {
            let answer = match &call {
                LogCall::Read { .. } => self.call_unless_unavailable(call.clone()).await,
                _ => Some(self.call_directly(call.clone()).await),
            };
            let is_final = |answer: &LogAnswer| {
                !answer.is_failure() || answer.forbids_retry() || !*self.unavailable.borrow()
            };
            if let Some(answer) = answer.filter(is_final) {
                return answer;
            }
        }
        match self.call_through_peer(&call).await {
            Some(answer) => answer,
            None => self.call_directly(call).await,
        }
    }

    /// Makes a call directly; returns `None` if the log becomes unavailable to this gateway meanwhile.
    async fn call_unless_unavailable(&self, call: LogCall) -> Option<LogAnswer> {
        let mut unavailable = self.unavailable.subscribe();
        tokio::select! {
            answer = self.call_directly(call) => Some(answer),
            _ = unavailable.wait_for(|unavailable| *unavailable) => None,
        }
    }

    async fn call_directly(&self, call: LogCall) -> LogAnswer {
        let answer = call.execute(self.direct.as_ref()).await;
        self.record_call(answer.is_failure());
        answer
    }

    fn record_call(&self, failed: bool) {
        let now = self.clock.now();
        let mut availability = lock(&self.availability);
        if availability.record_call(failed, now) {
            let is_unavailable = availability.is_unavailable();
            if is_unavailable {
                log::warn!(
                    "the log does not answer this gateway; relaying its calls through other gateways"
                );
            } else {
                log::info!("the log answers this gateway again; calling it directly");
            }
            self.metrics.log_away.set(i64::from(is_unavailable));
            self.unavailable.send_replace(is_unavailable);
        }
    }

    /// Whether another gateway can read a partition from an offset on.
    pub(crate) async fn is_read_by_peer(&self, topic: Topic, partition: u32, from: u64) -> bool {
        let call = LogCall::Read {
            topic,
            partition,
            from,
            wait: Duration::ZERO,
        };
        let answer = self.call_through_peer(&call).await;
        answer.is_some_and(|answer| !answer.is_failure())
    }

    /// Has another gateway make the call. Returns `None` if none made it and it may be made here.
    async fn call_through_peer(&self, call: &LogCall) -> Option<LogAnswer> {
        let body = encode_message(call)?;
        for _ in 0..MAX_RELAYS {
            let mut others = self.peers.reachable();
            if call.carries_jobs() {
                others = self.job_regions.filter_gateways(others);
            }
            others.shuffle(&mut rand::rng());
            let now = self.clock.now();
            let other = lock(&self.availability).choose_relay(&others, now)?;
            let limit = call.wait() + self.call_timeout + RELAY_MARGIN;
            let relayed =
                tokio::time::timeout(limit, self.request_relay(other, body.clone())).await;
            match relayed.unwrap_or(RelayOutcome::Unknown) {
                RelayOutcome::Answered(answer) if !answer.is_failure() => {
                    lock(&self.availability).record_relayed(other);
                    self.metrics.log_calls_relayed.inc();
                    return Some(answer);
                }
                RelayOutcome::Answered(answer) => {
                    self.mark_suspected(other);
                    return Some(answer);
                }
                RelayOutcome::Refused => self.mark_suspected(other),
                RelayOutcome::Unknown => {
                    self.mark_suspected(other);
                    if let LogCall::Append { .. } = call {
                        return Some(LogAnswer::Appended(AppendOutcome::Unknown));
                    }
                }
            }
        }
        None
    }

    fn mark_suspected(&self, other: SocketAddr) {
        let now = self.clock.now();
        lock(&self.availability).record_relay_failure(other, now);
        log::debug!(other = other.to_string().as_str();
            "a call to the log through another gateway failed; skipping that gateway for now");
    }

    async fn request_relay(&self, other: SocketAddr, body: Bytes) -> RelayOutcome {
        let Some(uri) = peer_http::peer_uri(other, PathAndQuery::from_static(PATH)) else {
            return RelayOutcome::Refused;
        };
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = uri;
        let answer = match self.client.request(request).await {
            Ok(answer) => answer,
            Err(error) if error.is_connect() => return RelayOutcome::Refused,
            Err(_) => return RelayOutcome::Unknown,
        };
        if answer.status() == StatusCode::SERVICE_UNAVAILABLE {
            return RelayOutcome::Refused;
        }
        let body = Limited::new(answer.into_body(), MESSAGE_BYTES).collect();
        let Ok(body) = body.await else {
            return RelayOutcome::Unknown;
        };
        match ciborium::from_reader(body.to_bytes().as_ref()) {
            Ok(answer) => RelayOutcome::Answered(answer),
            Err(_) => RelayOutcome::Unknown,
        }
    }
}

/// Returns the error for an answer whose variant does not match its call.
fn mismatched_answer<T>() -> Result<T, LogError> {
    Err(LogError::Unanswered {
        reason: "the answer is not one to this call".to_owned(),
    })
}

impl Log for RelayedLog {
    fn append(
        &self,
        topic: Topic,
        partition: u32,
        records: Vec<(Vec<u8>, Bytes)>,
    ) -> BoxFuture<'_, AppendOutcome> {
        let call = LogCall::Append {
            topic,
            partition,
            records,
        };
        async move {
            match self.call(call).await {
                LogAnswer::Appended(outcome) => outcome,
                _ => AppendOutcome::Unknown,
            }
        }
        .boxed()
    }

    fn read(
        &self,
        topic: Topic,
        partition: u32,
        from: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<ReadOutcome, LogError>> {
        let call = LogCall::Read {
            topic,
            partition,
            from,
            wait,
        };
        async move {
            match self.call(call).await {
                LogAnswer::Read(outcome) => outcome,
                _ => mismatched_answer(),
            }
        }
        .boxed()
    }

    fn newest(
        &self,
        topic: Topic,
        partition: u32,
        after: Option<Vec<u8>>,
    ) -> BoxFuture<'_, Result<NewestPage, LogError>> {
        let call = LogCall::Newest {
            topic,
            partition,
            after,
        };
        async move {
            match self.call(call).await {
                LogAnswer::Newest(outcome) => outcome,
                _ => mismatched_answer(),
            }
        }
        .boxed()
    }

    fn renew<'a>(
        &'a self,
        topic: Topic,
        member: &'a str,
        ttl: Duration,
        generation: u64,
    ) -> BoxFuture<'a, Result<Lease, LogError>> {
        let call = LogCall::Renew {
            topic,
            member: member.to_owned(),
            ttl,
            generation,
        };
        async move {
            match self.call(call).await {
                LogAnswer::Renewed(outcome) => outcome,
                _ => mismatched_answer(),
            }
        }
        .boxed()
    }

    fn owners(&self, topic: Topic) -> BoxFuture<'_, Result<BTreeMap<u32, String>, LogError>> {
        async move {
            match self.call(LogCall::Owners { topic }).await {
                LogAnswer::Owners(outcome) => outcome,
                _ => mismatched_answer(),
            }
        }
        .boxed()
    }

    fn leave<'a>(&'a self, topic: Topic, member: &'a str) -> BoxFuture<'a, Result<(), LogError>> {
        let call = LogCall::Leave {
            topic,
            member: member.to_owned(),
        };
        async move {
            match self.call(call).await {
                LogAnswer::Left(outcome) => outcome,
                _ => mismatched_answer(),
            }
        }
        .boxed()
    }
}
