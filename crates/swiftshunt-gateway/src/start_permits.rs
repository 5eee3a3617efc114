//! Start permits for cold workers. Before each send, a gateway requests one from the worker's issuers; where this
//! gateway is an issuer, it issues permits to the others. A gateway that reaches no issuer sends nothing to a
//! cold worker.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftshunt_scheduler::cold::permit_issuer::{PermitIssuer, prefers_second_issuer};
use swiftshunt_scheduler::cold::{ColdBound, START_PERMIT_TTL};
use swiftshunt_scheduler::selection::ChosenWorker;
use swiftshunt_scheduler::slots::WorkerKey;
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::datagrams::Datagrams;
use crate::fleet_state::{FleetState, lock};
use crate::members::Members;
use crate::messages::Notice;
use crate::messages::slots::SlotMessage;
use crate::messages::starts::StartMessage as Message;
use crate::metrics::Metrics;

/// Time-out for the answer of an issuer in the same region: a few times the round trip within a region.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(14);
/// Upper bound of the time-out for any issuer: a permit that arrives this late is still valid for some time.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis(120);
/// Time for which a worker gets no sends if none of its issuers answered, or those that answered cannot issue
/// permits for it.
const NO_ISSUER_BACKOFF: Duration = Duration::from_millis(200);
/// Lower bound of the time for which a worker gets no sends after its issuers refused a permit.
const MIN_REFUSAL_BACKOFF: Duration = Duration::from_millis(20);

/// A granted permit, or the time until one may be available.
type Verdict = Result<(), Duration>;

/// The right to send one request to a cold worker before the permit expires.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartPermit {
    /// Time of the expiry; `None` if the worker is warm and needs no permit.
    expires_at: Option<Duration>,
}

/// Requests start permits for this gateway's sends, and issues permits to others.
pub(crate) struct StartPermits {
    members: Arc<Members>,
    datagrams: Arc<Datagrams>,
    fleet_state: Arc<FleetState>,
    metrics: Arc<Metrics>,
    clock: Clock,
    issuer: Mutex<PermitIssuer>,
    pending_requests: Mutex<HashMap<u64, oneshot::Sender<Verdict>>>,
    /// Number of the last request that was sent to an issuer.
    last_request: AtomicU64,
}

/// An open request for a permit. Dropping this removes the request, also when the task that sent it was cancelled.
struct PendingRequest<'s> {
    permits: &'s StartPermits,
    /// Number of the request, as in [`Message::Ask`].
    ask: u64,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        lock(&self.permits.pending_requests).remove(&self.ask);
    }
}

impl StartPermits {
    pub(crate) fn new(
        members: Arc<Members>,
        datagrams: Arc<Datagrams>,
        fleet_state: Arc<FleetState>,
        metrics: Arc<Metrics>,
        clock: Clock,
    ) -> Self {
        Self {
            members,
            datagrams,
            fleet_state,
            metrics,
            clock,
            issuer: Mutex::new(PermitIssuer::new(clock.now())),
            pending_requests: Mutex::default(),
            last_request: AtomicU64::new(0),
        }
    }

    /// Returns a permit for a send now: `held` if it has not expired, one without expiry for a warm worker, or a
    /// new one. Returns `None` if the worker is cold and no permit is available.
    pub(crate) async fn ensure_permit(
        &self,
        chosen: &ChosenWorker,
        held: Option<StartPermit>,
    ) -> Option<StartPermit> {
        let now = self.clock.now();
        let expires_at = held.and_then(|held| held.expires_at);
        if expires_at.is_some_and(|expires_at| now < expires_at) {
            return held;
        }
        let bound = self.fleet_state.selector().required_cold_bound(chosen, now);
        let Some(bound) = bound else {
            return Some(StartPermit { expires_at: None });
        };
        let expires_at = now + START_PERMIT_TTL;
        let verdict = self.request_from_issuers(chosen, &bound).await;
        let now = self.clock.now();
        match verdict {
            Ok(()) if now < expires_at => Some(StartPermit {
                expires_at: Some(expires_at),
            }),
            Ok(()) => None,
            Err(retry_after) => {
                let backoff = retry_after.max(MIN_REFUSAL_BACKOFF);
                let mut selector = self.fleet_state.selector();
                selector.record_no_permits_until(&chosen.incarnation, now.saturating_add(backoff));
                drop(selector);
                self.metrics.starts_missing.inc();
                self.notify_slot_owner(chosen, backoff);
                None
            }
        }
    }

    /// Tells the owner of a worker's slots that there is no permit for it, so that the owner assigns other workers.
    fn notify_slot_owner(&self, chosen: &ChosenWorker, backoff: Duration) {
        if !self.fleet_state.has_batch(&chosen.service) {
            return;
        }
        let cell = self.fleet_state.selector().cell_of(chosen);
        let owner = self.members.owner(&cell);
        if owner != self.members.own_address() {
            let message = SlotMessage::StartRefused {
                worker: WorkerKey::of(&chosen.incarnation),
                retry_after_ms: backoff.as_millis() as u64,
            };
            self.datagrams.send(&Notice::Slots(message), [owner]);
        }
    }

    /// Requests a permit from the issuers of a worker, one after the other, until one grants it.
    async fn request_from_issuers(&self, chosen: &ChosenWorker, bound: &ColdBound) -> Verdict {
        let mut issuers = self.members.permit_issuers(&chosen.id, &chosen.zone);
        if prefers_second_issuer(bound, rand::random()) {
            issuers.reverse();
        }
        let mut retry_after = NO_ISSUER_BACKOFF;
        for issuer in issuers.into_iter().flatten() {
            let verdict = self.request_permit(issuer, chosen).await;
            match verdict {
                Some(Ok(())) => return Ok(()),
                Some(Err(wait)) => retry_after = retry_after.min(wait),
                None => {}
            }
        }
        Err(retry_after)
    }

    /// Requests a permit from one issuer. Returns `None` if the issuer is suspected to be down or does not answer
    /// in time.
    async fn request_permit(&self, issuer: SocketAddr, chosen: &ChosenWorker) -> Option<Verdict> {
        if issuer == self.members.own_address() {
            return Some(self.issue_permit(&chosen.service, &chosen.id, &chosen.zone));
        }
        if self.members.is_suspected(issuer) {
            return None;
        }
        let ask = self.last_request.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, receiver) = oneshot::channel();
        lock(&self.pending_requests).insert(ask, sender);
        let _pending = PendingRequest { permits: self, ask };
        let message = Message::Ask {
            ask,
            service: chosen.service.clone(),
            worker: chosen.id.clone(),
            zone: chosen.zone.clone(),
        };
        self.datagrams.send(&Notice::Start(message), [issuer]);
        let timeout = self
            .members
            .answer_timeout(issuer, ANSWER_TIMEOUT)
            .min(MAX_ANSWER_TIMEOUT);
        match tokio::time::timeout(timeout, receiver).await {
            Ok(Ok(verdict)) => Some(verdict),
            Ok(Err(_)) | Err(_) => {
                self.members.record_timeout(issuer);
                None
            }
        }
    }

    /// Issues a permit if this gateway is an issuer of the worker and the issuer's rate allows one.
    fn issue_permit(&self, service: &str, worker: &str, zone: &str) -> Verdict {
        let own = Some(self.members.own_address());
        let issuers = self.members.permit_issuers(worker, zone);
        let rank = issuers.iter().position(|issuer| *issuer == own);
        let bound = self.fleet_state.selector().cold_bound(service).copied();
        let (Some(rank), Some(bound)) = (rank, bound) else {
            return Err(NO_ISSUER_BACKOFF);
        };
        let Some(known_since) = self.members.list_loaded_at() else {
            return Err(NO_ISSUER_BACKOFF);
        };
        let now = self.clock.now();
        let verdict = {
            let mut issuer = lock(&self.issuer);
            issuer.settle_from(known_since);
            issuer.issue_permit(worker, &bound, rank, now)
        };
        if verdict.is_ok() {
            self.metrics.starts_handed_out.inc();
        }
        verdict
    }

    /// Handles a message of another gateway.
    pub(crate) fn handle_message(&self, message: Message, from: SocketAddr) {
        match message {
            Message::Ask {
                ask,
                service,
                worker,
                zone,
            } => {
                let verdict = self.issue_permit(&service, &worker, &zone);
                let answer = Message::Answer { ask, verdict };
                self.datagrams.send(&Notice::Start(answer), [from]);
            }
            Message::Answer { ask, verdict } => {
                let pending = lock(&self.pending_requests).remove(&ask);
                if pending.is_some_and(|pending| pending.send(verdict).is_err()) {
                    log::debug!(ask; "start permit arrived after its request had ended");
                }
            }
        }
    }
}
