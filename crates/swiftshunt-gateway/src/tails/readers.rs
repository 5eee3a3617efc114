//! Selects the gateways that read tails for others, and requests tails from them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, StatusCode};
use swiftshunt_journal::TailPart;
use swiftshunt_scheduler::readers::{select_readers, stable_hash};

use super::message::TailCall;
use crate::clock::Clock;
use crate::fleet_state::lock;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::peer_http::{self, PeerClient, encode_message};
use crate::traffic::Content;

/// Idle connections kept open to one reader: one per topic.
const MAX_IDLE_CONNECTIONS: usize = 3;
/// How long a reader is skipped after it refused or did not answer. The time doubles with each consecutive failure, up
/// to [`MAX_SUSPICION`].
const MIN_SUSPICION: Duration = Duration::from_secs(1);
const MAX_SUSPICION: Duration = Duration::from_secs(30);
const MAX_DOUBLINGS: u32 = 5;
/// Largest answer, in bytes.
const ANSWER_BYTES: usize = 8 << 20;

/// Failures of a reader that refused or did not answer.
#[derive(Clone, Copy, Default)]
struct Suspicion {
    consecutive_failures: u32,
    until: Duration,
}

/// The readers of this gateway's region.
pub(super) struct TailReaders {
    members: Arc<Members>,
    gateways_per_reader: usize,
    metrics: Arc<Metrics>,
    clock: Clock,
    client: PeerClient<Full<Bytes>>,
    suspicions: Mutex<HashMap<SocketAddr, Suspicion>>,
}

impl TailReaders {
    pub(super) fn new(
        members: Arc<Members>,
        gateways_per_reader: usize,
        metrics: Arc<Metrics>,
        clock: Clock,
    ) -> Self {
        Self {
            members,
            gateways_per_reader,
            metrics,
            clock,
            client: peer_http::new_client(MAX_IDLE_CONNECTIONS),
            suspicions: Mutex::default(),
        }
    }

    /// Whether this gateway reads for other gateways.
    pub(super) fn is_reader(&self) -> bool {
        self.region_readers().contains(&self.members.own_address())
    }

    /// Returns the gateways of the region that read for others; empty if there are few gateways. Each region has its
    /// own readers, so that the records cross into it only once per reader.
    fn region_readers(&self) -> Vec<SocketAddr> {
        select_readers(
            self.members.gateways_in_own_region(),
            self.gateways_per_reader,
        )
    }

    /// Returns the reader that this gateway uses; `None` if it is to read the log itself.
    pub(super) fn assigned_reader(&self) -> Option<SocketAddr> {
        let own = self.members.own_address();
        let readers = self.region_readers();
        if readers.contains(&own) {
            return None;
        }
        let now = self.clock.now();
        let suspicions = lock(&self.suspicions);
        let trusted = readers.into_iter().filter(|reader| {
            let suspicion = suspicions.get(reader);
            suspicion.is_none_or(|suspicion| suspicion.until <= now)
        });
        trusted.max_by_key(|reader| stable_hash((own, *reader)))
    }

    /// Requests records from a reader. Returns `None` if it refuses or does not answer within `limit`.
    pub(super) async fn fetch(
        &self,
        reader: SocketAddr,
        call: &TailCall,
        limit: Duration,
    ) -> Option<TailPart> {
        let reply = tokio::time::timeout(limit, self.exchange(reader, call)).await;
        match reply {
            Ok(Ok(part)) => {
                lock(&self.suspicions).remove(&reader);
                self.metrics.tails_read_through.inc();
                Some(part)
            }
            Ok(Err(reason)) => self.mark_suspected(reader, call, &reason),
            Err(_) => self.mark_suspected(reader, call, "no answer in time"),
        }
    }

    async fn exchange(&self, reader: SocketAddr, call: &TailCall) -> Result<TailPart, String> {
        let uri = peer_http::peer_uri(reader, PathAndQuery::from_static(super::PATH));
        let (Some(uri), Some(body)) = (uri, encode_message(call)) else {
            return Err("the call cannot be encoded".to_owned());
        };
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = uri;
        let answer = self.client.request(request).await;
        let answer = answer.map_err(|error| error.to_string())?;
        if answer.status() != StatusCode::OK {
            return Err(format!(
                "the reader answered with status {}",
                answer.status()
            ));
        }
        let body = Limited::new(answer.into_body(), ANSWER_BYTES).collect();
        let body = body.await.map_err(|error| error.to_string())?.to_bytes();
        let distance = self.members.distance_to(reader);
        let traffic = &self.metrics.traffic;
        traffic.count_bytes(Content::Tails, distance, body.len());
        ciborium::from_reader(body.as_ref()).map_err(|error| error.to_string())
    }

    /// Marks a reader as suspected, so that it is skipped for a time. Always returns `None`.
    fn mark_suspected(
        &self,
        reader: SocketAddr,
        call: &TailCall,
        reason: &str,
    ) -> Option<TailPart> {
        let now = self.clock.now();
        let mut suspicions = lock(&self.suspicions);
        let suspicion = suspicions.entry(reader).or_default();
        let time = (MIN_SUSPICION * 2_u32.pow(suspicion.consecutive_failures.min(MAX_DOUBLINGS)))
            .min(MAX_SUSPICION);
        suspicion.consecutive_failures += 1;
        suspicion.until = now + time;
        log::info!(reader = reader.to_string().as_str(), topic:? = call.topic, reason,
            for_ms = time.as_millis() as u64; "a reader of a tail did not answer or refused; skipping it for a time");
        None
    }
}
