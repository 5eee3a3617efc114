//! Starts at cold workers: asked for at the worker's keepers before each send, handed out by this gateway where
//! it is a keeper. A gateway that reaches no keeper sends nothing to a cold worker.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftshunt_scheduler::cold::permit_issuer::{PermitIssuer, prefers_second_issuer};
use swiftshunt_scheduler::cold::{ColdBound, START_PERMIT_TTL};
use swiftshunt_scheduler::selection::ChosenWorker;
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::datagrams::Datagrams;
use crate::fleet_state::{FleetState, lock};
use crate::members::Members;
use crate::messages::Notice;
use crate::messages::starts::StartMessage as Message;
use crate::metrics::Metrics;

/// How long a keeper's answer is waited for: a few times the way to and fro within a region.
const ASK_PATIENCE: Duration = Duration::from_millis(14);
/// Longest such time: a start that comes as late as this has still a part of its life.
const MOST_PATIENCE: Duration = Duration::from_millis(120);
/// Time for which a worker is passed over whose keepers did not answer.
const SILENT_FOR: Duration = Duration::from_millis(200);
/// Shortest time for which a worker without a start is passed over.
const NONE_FOR: Duration = Duration::from_millis(20);

/// A start, or the time until there may be one.
type Verdict = Result<(), Duration>;

/// The right to send one request to a cold worker, until it lapses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartPermit {
    /// None where the worker is warm and none is needed.
    lapses_at: Option<Duration>,
}

/// The starts that this gateway asks for and hands out.
pub(crate) struct StartPermits {
    members: Arc<Members>,
    datagrams: Arc<Datagrams>,
    fleet_state: Arc<FleetState>,
    metrics: Arc<Metrics>,
    clock: Clock,
    issuer: Mutex<PermitIssuer>,
    asks: Mutex<HashMap<u64, oneshot::Sender<Verdict>>>,
    last_ask: AtomicU64,
}

/// A question that is open until this is dropped, also where whoever asked is gone.
struct Asked<'s> {
    permits: &'s StartPermits,
    ask: u64,
}

impl Drop for Asked<'_> {
    fn drop(&mut self) {
        lock(&self.permits.asks).remove(&self.ask);
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
            asks: Mutex::default(),
            last_ask: AtomicU64::new(0),
        }
    }

    /// The start for a send now: `held` if it has not lapsed, none needed at a warm worker, or a new one; none
    /// if there is none to be had.
    pub(crate) async fn ensure_permit(
        &self,
        chosen: &ChosenWorker,
        held: Option<StartPermit>,
    ) -> Option<StartPermit> {
        let now = self.clock.now();
        let lapses_at = held.and_then(|held| held.lapses_at);
        if lapses_at.is_some_and(|lapses_at| now < lapses_at) {
            return held;
        }
        let bound = self.fleet_state.selector().required_cold_bound(chosen, now);
        let Some(bound) = bound else {
            return Some(StartPermit { lapses_at: None });
        };
        let lapses_at = now + START_PERMIT_TTL;
        let verdict = self.ask_keepers(chosen, &bound).await;
        let now = self.clock.now();
        match verdict {
            Ok(()) if now < lapses_at => Some(StartPermit {
                lapses_at: Some(lapses_at),
            }),
            Ok(()) => None,
            Err(again_in) => {
                let until = now + again_in.max(NONE_FOR);
                let mut selector = self.fleet_state.selector();
                selector.record_no_permits_until(&chosen.incarnation, until);
                self.metrics.starts_missing.inc();
                None
            }
        }
    }

    /// Asks the keepers of a worker one after the other.
    async fn ask_keepers(&self, chosen: &ChosenWorker, bound: &ColdBound) -> Verdict {
        let mut keepers = self.members.permit_issuers(&chosen.id, &chosen.zone);
        if prefers_second_issuer(bound, rand::random()) {
            keepers.reverse();
        }
        let mut again_in = SILENT_FOR;
        for keeper in keepers.into_iter().flatten() {
            let verdict = self.ask(keeper, chosen).await;
            match verdict {
                Some(Ok(())) => return Ok(()),
                Some(Err(its)) => again_in = again_in.min(its),
                None => {}
            }
        }
        Err(again_in)
    }

    /// Asks one keeper; no verdict if it does not answer in time.
    async fn ask(&self, keeper: SocketAddr, chosen: &ChosenWorker) -> Option<Verdict> {
        if keeper == self.members.own_address() {
            return Some(self.hand_out(&chosen.service, &chosen.id, &chosen.zone));
        }
        if self.members.is_suspected(keeper) {
            return None;
        }
        let ask = self.last_ask.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, receiver) = oneshot::channel();
        lock(&self.asks).insert(ask, sender);
        let _asked = Asked { permits: self, ask };
        let message = Message::Ask {
            ask,
            service: chosen.service.clone(),
            worker: chosen.id.clone(),
            zone: chosen.zone.clone(),
        };
        self.datagrams.send(&Notice::Start(message), [keeper]);
        let patience = self
            .members
            .answer_timeout(keeper, ASK_PATIENCE)
            .min(MOST_PATIENCE);
        match tokio::time::timeout(patience, receiver).await {
            Ok(Ok(verdict)) => Some(verdict),
            Ok(Err(_)) | Err(_) => {
                self.members.record_timeout(keeper);
                None
            }
        }
    }

    /// Hands out a start if this gateway is a keeper of the worker.
    fn hand_out(&self, service: &str, worker: &str, zone: &str) -> Verdict {
        let own = Some(self.members.own_address());
        let keepers = self.members.permit_issuers(worker, zone);
        let rank = keepers.iter().position(|keeper| *keeper == own);
        let bound = self.fleet_state.selector().cold_bound(service).copied();
        let (Some(rank), Some(bound)) = (rank, bound) else {
            return Err(SILENT_FOR);
        };
        let Some(known_since) = self.members.list_loaded_at() else {
            return Err(SILENT_FOR);
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

    /// Takes a message of another gateway.
    pub(crate) fn handle_message(&self, message: Message, from: SocketAddr) {
        match message {
            Message::Ask {
                ask,
                service,
                worker,
                zone,
            } => {
                let verdict = self.hand_out(&service, &worker, &zone);
                let answer = Message::Answer { ask, verdict };
                self.datagrams.send(&Notice::Start(answer), [from]);
            }
            Message::Answer { ask, verdict } => {
                let asked = lock(&self.asks).remove(&ask);
                if asked.is_some_and(|asked| asked.send(verdict).is_err()) {
                    log::debug!(ask; "a start came for a request that is gone");
                }
            }
        }
    }
}
