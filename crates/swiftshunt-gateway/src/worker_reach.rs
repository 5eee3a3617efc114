//! How this gateway reaches the workers of each service, and whether others reach them better.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::seq::SliceRandom;
use swiftshunt_scheduler::lease_fitness::{PeerReach, ServiceReach};
use swiftshunt_scheduler::slots::WorkerKey;
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::datagrams::Datagrams;
use crate::fleet_state::{FleetState, lock};
use crate::members::Members;
use crate::messages::Notice;
use crate::messages::reach::ReachMessage as Message;

/// Number of gateways that are asked, so that some of them are sound if a rack or a zone is not.
const MAX_ASKED: usize = 8;
/// Time to wait for their answers: a few round trips between regions.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Tracks the answers and failures of all sends by service, and compares them with those of other gateways.
pub(crate) struct WorkerReach {
    members: Arc<Members>,
    datagrams: Arc<Datagrams>,
    fleet_state: Arc<FleetState>,
    clock: Clock,
    services: Mutex<HashMap<String, ServiceReach>>,
    pending: Mutex<HashMap<u64, mpsc::UnboundedSender<PeerReach>>>,
    last_ask: AtomicU64,
}

impl WorkerReach {
    pub(crate) fn new(
        members: Arc<Members>,
        datagrams: Arc<Datagrams>,
        fleet_state: Arc<FleetState>,
        clock: Clock,
    ) -> Self {
        Self {
            members,
            datagrams,
            fleet_state,
            clock,
            services: Mutex::default(),
            pending: Mutex::default(),
            last_ask: AtomicU64::new(0),
        }
    }

    /// Records that a worker of a service answered.
    pub(crate) fn record_answer(&self, service: &str) {
        let now = self.clock.now();
        let mut services = lock(&self.services);
        match services.get_mut(service) {
            Some(reach) => reach.record_answer(now),
            None => services
                .entry(service.to_owned())
                .or_default()
                .record_answer(now),
        }
    }

    /// Records that a send to a worker of a service got no answer.
    pub(crate) fn record_failure(&self, service: &str, incarnation: &str) {
        let now = self.clock.now();
        let mut services = lock(&self.services);
        let reach = services.entry(service.to_owned()).or_default();
        reach.record_failure(WorkerKey::of(incarnation), now);
    }

    /// Returns when a worker of a service last answered; `None` if none has.
    pub(crate) fn answered_at(&self, service: &str) -> Option<Duration> {
        lock(&self.services).get(service)?.answered_at()
    }

    /// Returns the services whose workers do not answer this gateway.
    pub(crate) fn unanswered_services(&self) -> Vec<String> {
        let now = self.clock.now();
        let selector = self.fleet_state.selector();
        let services = lock(&self.services);
        let unanswered = services.iter().filter(|(service, reach)| {
            let ready = selector.ready_count(service);
            reach.is_unanswered(ready, now)
        });
        unanswered.map(|(service, _)| service.clone()).collect()
    }

    /// Whether workers of a service do not answer this gateway although others reach them.
    pub(crate) async fn is_own_fault(&self, service: &str) -> bool {
        let peers = self.ask_peers(service).await;
        let now = self.clock.now();
        let is_own_fault = {
            let services = lock(&self.services);
            let reach = services.get(service);
            reach.is_some_and(|reach| reach.is_own_fault(&peers, now))
        };
        log::info!(service, is_own_fault, peers:? = peers;
            "no worker of a service answers; compared with other gateways");
        is_own_fault
    }

    /// Asks some other gateways how they reach the workers of a service. Returns the answers that arrive in time.
    async fn ask_peers(&self, service: &str) -> Vec<PeerReach> {
        let mut peers = self.members.others();
        peers.shuffle(&mut rand::rng());
        peers.truncate(MAX_ASKED);
        let asked = peers.len();
        let ask = self.last_ask.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, mut receiver) = mpsc::unbounded_channel();
        lock(&self.pending).insert(ask, sender);
        let service = service.to_owned();
        self.datagrams
            .send(&Notice::Reach(Message::Ask { ask, service }), peers);
        let mut answers = Vec::new();
        let all = async {
            while answers.len() < asked {
                answers.extend(receiver.recv().await);
            }
        };
        // Without all answers, those that arrived decide.
        drop(tokio::time::timeout(ANSWER_TIMEOUT, all).await);
        lock(&self.pending).remove(&ask);
        answers
    }

    /// Handles a message of another gateway.
    pub(crate) fn handle_message(&self, message: Message, from: SocketAddr) {
        match message {
            Message::Ask { ask, service } => self.answer(ask, &service, from),
            Message::Answer {
                ask,
                answered_ms,
                failed_ms,
            } => {
                let reach = PeerReach {
                    answered_age: answered_ms.map(Duration::from_millis),
                    failed_age: failed_ms.map(Duration::from_millis),
                };
                let sender = lock(&self.pending).get(&ask).cloned();
                if sender.is_none_or(|sender| sender.send(reach).is_err()) {
                    log::debug!(ask; "another gateway's answer about its workers arrived too late");
                }
            }
        }
    }

    fn answer(&self, ask: u64, service: &str, to: SocketAddr) {
        let now = self.clock.now();
        let own = {
            let services = lock(&self.services);
            let reach = services.get(service);
            reach.map_or_else(PeerReach::default, |reach| reach.for_peers(now))
        };
        let millis = |age: Duration| age.as_millis() as u64;
        let answer = Message::Answer {
            ask,
            answered_ms: own.answered_age.map(millis),
            failed_ms: own.failed_age.map(millis),
        };
        self.datagrams.send(&Notice::Reach(answer), [to]);
    }
}
