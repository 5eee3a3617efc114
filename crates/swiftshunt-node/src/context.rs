//! State and services shared by the modules of a node.

use std::sync::{Arc, Mutex};

use derive_more::Display;
use rand::RngCore;
use swiftshunt_backends::engine::{Engine, HttpEngine};
use swiftshunt_backends::log_service::{HttpLogService, LogService};
use swiftshunt_backends::machine_list::{HttpMachineList, MachineListService};
use swiftshunt_backends::submission::{HttpSubmissionWorker, SubmissionWorker};
use swiftshunt_backends::weights::WeightStore;
use swiftshunt_config::{ConfigurationHistory, Settings};
use swiftshunt_http::{HttpClient, ObserveFailure};
use swiftshunt_ledger::routes::{LeaderHint, RouteTable};
use swiftshunt_membership::{Dissemination, Member, Membership};
use swiftshunt_scheduler::retry::RetryBudget;
use swiftshunt_scheduler::workers::WorkerTable;
use swiftshunt_types::{Execution, Failure, MachineList, PartitionId};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::batch::{BatchState, Granter};
use crate::clock::Clock;
use crate::decisions::DecisionJournal;
use crate::fleet::{AnnouncedEvents, GossipStability, PlacementCache};
use crate::ledger::Ledger;
use crate::lifecycle::Lifecycle;
use crate::limiter::TenantLimiter;
use crate::metrics::Metrics;
use crate::peer::PeerClient;

/// State and services shared by the modules of a node.
pub(crate) struct Context {
    pub(crate) settings: Settings,
    /// This node as a member of the fleet.
    pub(crate) own: Member,
    pub(crate) clock: Clock,
    pub(crate) log: Arc<dyn LogService>,
    pub(crate) machine_service: Arc<dyn MachineListService>,
    pub(crate) engines: Arc<dyn Engine>,
    pub(crate) submission_workers: Arc<dyn SubmissionWorker>,
    pub(crate) peers: PeerClient,
    pub(crate) membership: Mutex<Membership>,
    pub(crate) routes: Mutex<Routes>,
    pub(crate) configuration: watch::Sender<ConfigurationHistory>,
    pub(crate) machine_list: Mutex<MachineList>,
    pub(crate) workers: Mutex<WorkerTable>,
    /// Budget for retries of online requests, shared by all requests of this node.
    pub(crate) retries: Mutex<RetryBudget>,
    pub(crate) limiter: TenantLimiter,
    pub(crate) ledger: Ledger,
    pub(crate) batch: BatchState,
    pub(crate) granter: Granter,
    pub(crate) placement: PlacementCache,
    pub(crate) announced_events: AnnouncedEvents,
    /// `None` if the settings name no weight store.
    pub(crate) weights: Option<WeightStore>,
    pub(crate) decisions: DecisionJournal,
    pub(crate) gossip_stability: GossipStability,
    pub(crate) lifecycle: Lifecycle,
    /// Cancelled when the node's tasks must end immediately.
    pub(crate) aborted: CancellationToken,
    pub(crate) metrics: Metrics,
}

/// Known leaders of the partitions, and the updates that are still being disseminated.
#[derive(Default)]
pub(crate) struct Routes {
    pub(crate) table: RouteTable,
    pub(crate) updates: Dissemination<PartitionId>,
    /// Incremented with each hint that changes the table.
    pub(crate) version: u64,
}

/// Where a node learnt of a leader hint.
#[derive(Clone, Copy, Debug, Display)]
pub(crate) enum HintSource {
    /// This node started or stopped leading the partition.
    #[display("own leadership")]
    OwnLeadership,
    /// A gossip message of another node.
    #[display("gossip")]
    Gossip,
    /// The leader's messages to this node's replica of the partition.
    #[display("consensus group")]
    ConsensusGroup,
}

impl Routes {
    /// Merges a hint, and disseminates it if it changes the table.
    pub(crate) fn merge(&mut self, hint: LeaderHint, source: HintSource, fleet_size: usize) {
        if !self.table.merge(hint) {
            return;
        }
        self.version += 1;
        self.updates.announce(hint.partition, fleet_size);
        let leader = hint.leader.map(|leader| leader.node.to_string());
        log::debug!(partition = hint.partition.0, generation = hint.generation, term = hint.term,
            sequence = hint.sequence, leader:? = leader, source:% = source;
            "a newer hint on the partition's leader");
    }
}

impl Context {
    pub(crate) fn new(settings: Settings, own: Member, clock: Clock) -> Self {
        let http = HttpClient::new(Some(settings.listen.peer.ip()));
        let platform = &settings.platform;
        let timeout = platform.call_timeout;
        let log = HttpLogService::new(http.clone(), platform.log, timeout);
        let machine_service = HttpMachineList::new(http.clone(), platform.machines, timeout);
        let membership = Membership::new(own.clone(), settings.membership.clone(), clock.now());
        let peers = PeerClient::new(http.clone());
        let mut metrics = Metrics::default();
        metrics.register_traffic(peers.traffic());
        let weights = platform.weights;
        let weights = weights.map(|address| WeightStore::new(http.clone(), address, timeout));
        let scheduler = &settings.scheduler;
        let retries = RetryBudget::new(scheduler.retry_ratio, scheduler.retry_burst);
        Self {
            own,
            clock,
            log: Arc::new(log),
            machine_service: Arc::new(machine_service),
            engines: Arc::new(HttpEngine::new(http.clone())),
            submission_workers: Arc::new(HttpSubmissionWorker::new(http)),
            peers,
            membership: Mutex::new(membership),
            routes: Mutex::new(Routes::default()),
            configuration: watch::Sender::new(ConfigurationHistory::default()),
            machine_list: Mutex::new(MachineList::default()),
            workers: Mutex::new(WorkerTable::default()),
            retries: Mutex::new(retries),
            limiter: TenantLimiter::default(),
            ledger: Ledger::default(),
            batch: BatchState::default(),
            granter: Granter::default(),
            placement: PlacementCache::default(),
            announced_events: AnnouncedEvents::default(),
            weights,
            decisions: DecisionJournal::default(),
            gossip_stability: GossipStability::default(),
            lifecycle: Lifecycle::default(),
            aborted: CancellationToken::new(),
            metrics,
            settings,
        }
    }
}

impl ObserveFailure for Context {
    fn observe_failure(&self, failure: &Failure) {
        if failure.execution == Execution::NotRun {
            self.metrics.refused_requests.inc();
        }
        log::debug!("request failed: {failure}");
    }
}

/// Returns a random number for identifiers and nonces.
pub(crate) fn random_u64() -> u64 {
    rand::rng().next_u64()
}
