//! The processes of a round, the links between them, and the injection of faults.

mod gateways;
mod operator;
mod workers;

use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftshunt_http::{HttpClient, HttpRequest};
use tokio::sync::broadcast;

use self::gateways::GatewayHandle;
use self::operator::Operator;
pub(super) use self::operator::marker;
pub(super) use self::workers::EVENTS;
use self::workers::WorkerHandle;
use super::disturbances::{Disturbance, Scope};
use super::history::{History, RunRecord};
use super::plan::{Disruption, Plan, ProxiedLink, ScheduledFault, Service, Trigger, ZONES};
use super::{SoakError, run_log};
use crate::harness::{Binaries, Process};
use crate::platform::process::unix_ms;
use crate::platform::store::{
    CONTROL_DROP_HISTORY_PATH, CONTROL_FAULTS_PATH, CONTROL_REASSIGN_PATH, StoreFaults,
};
use crate::platform::zone_layout::{ZoneAndRegion, ZoneLayout};
use crate::proxy::{Bandwidth, Fault, Link, LinkConditions};
use crate::stand_in::lock;

/// Number of partitions of the store's topics.
const PARTITIONS: u32 = 6;
/// Time-out of a control request to a stand-in.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Zones of a round in two regions, each with its region.
const TWO_REGIONS: [ZoneAndRegion; ZONES] = [("zone-a", "region-a"), ("zone-b", "region-b")];
/// Index of the zone in which the store runs.
const STORE_ZONE: usize = 0;
/// Number of triggers that the channel keeps for a slow receiver. A receiver that falls further behind gets an error
/// instead of the older ones.
const TRIGGER_CHANNEL_CAPACITY: usize = 256;

/// The processes of a round and the history recorded so far.
pub(super) struct Testbed {
    pub(super) plan: Plan,
    pub(super) scratch: PathBuf,
    binaries: Binaries,
    /// Start of the round as time of day in milliseconds.
    start_ms: u64,
    client: HttpClient,
    /// History without online requests, jobs, runs and unexpected exits, which are added at the end.
    history: Mutex<History>,
    failures: Mutex<Vec<String>>,
    triggers: broadcast::Sender<Trigger>,
    gateways: Vec<GatewayHandle>,
    whole_workers: Vec<WorkerHandle>,
    engine_workers: Vec<WorkerHandle>,
    operator: Operator,
    /// Bandwidth of the link between the regions, shared by all gateways; `None` in a round with a single zone.
    region_link_width: Option<Arc<Bandwidth>>,
    _store: Process,
}

impl Testbed {
    /// Starts the store, workers and gateways, publishes a configuration, and waits until the gateways are ready.
    pub(super) async fn start(
        plan: Plan,
        binaries: Binaries,
        scratch: PathBuf,
    ) -> Result<Self, SoakError> {
        std::fs::create_dir_all(&scratch)?;
        let store = start_store(&plan, &binaries, &scratch)?;
        let store_addresses = parse_addresses(store.announced("doors"))?;
        let Some((operator_address, store_addresses)) = store_addresses.split_last() else {
            return Err(SoakError::MissingAddress);
        };
        let mut testbed = Self {
            start_ms: unix_ms(),
            client: HttpClient::new(None),
            history: Mutex::default(),
            failures: Mutex::default(),
            triggers: broadcast::channel(TRIGGER_CHANNEL_CAPACITY).0,
            gateways: Vec::new(),
            whole_workers: Vec::new(),
            engine_workers: Vec::new(),
            operator: Operator::new(*operator_address),
            region_link_width: plan
                .regions
                .map(|regions| Arc::new(Bandwidth::new(regions.bytes_per_s))),
            _store: store,
            plan,
            scratch,
            binaries,
        };
        for index in 0..testbed.plan.workers {
            let whole = testbed.new_worker(Service::Whole, index).await?;
            testbed.whole_workers.push(whole);
            let engine = testbed.new_worker(Service::Engine, index).await?;
            testbed.engine_workers.push(engine);
        }
        testbed.configure().await;
        for (index, store_address) in store_addresses.iter().enumerate() {
            let gateway = testbed.new_gateway(index, *store_address).await?;
            testbed.gateways.push(gateway);
        }
        for index in 0..testbed.gateways.len() {
            testbed.wait_until_ready(index).await;
        }
        Ok(testbed)
    }

    /// Returns the zones of the round.
    fn zones(&self) -> ZoneLayout {
        match self.plan.regions {
            Some(_) => ZoneLayout::new(&TWO_REGIONS),
            None => ZoneLayout::default(),
        }
    }

    /// Returns the delay and bandwidth of the link from a gateway to the store. Only links to the other region are
    /// restricted.
    fn store_link_way(&self, gateway: usize) -> LinkConditions {
        let Some(regions) = self.plan.regions else {
            return LinkConditions::default();
        };
        if self.zones().region(gateway) == self.zones().region(STORE_ZONE) {
            return LinkConditions::default();
        }
        LinkConditions {
            delay: Duration::from_millis(regions.delay_ms),
            bandwidth: self.region_link_width.clone(),
        }
    }

    /// Returns the milliseconds since the start of the round.
    pub(super) fn now(&self) -> u64 {
        unix_ms().saturating_sub(self.start_ms)
    }

    /// Notifies the faults that wait for a trigger.
    pub(super) fn notify_trigger(&self, trigger: Trigger) {
        // Sending fails if no fault is waiting for a trigger, which is not an error.
        drop(self.triggers.send(trigger));
    }

    pub(super) fn subscribe_triggers(&self) -> broadcast::Receiver<Trigger> {
        self.triggers.subscribe()
    }

    /// Records a failure of the test setup. The history of the round is then discarded, since the plan was not carried
    /// out.
    fn record_failure(&self, failure: String) {
        lock(&self.failures).push(failure);
    }

    /// Returns the failures of the test setup.
    pub(super) fn failures(&self) -> Vec<String> {
        lock(&self.failures).clone()
    }

    /// Records a fault from `from`, in milliseconds since the start of the round, to the present.
    fn record_disturbance(&self, scope: Scope, from: u64) {
        let to = self.now();
        lock(&self.history)
            .disturbances
            .push(Disturbance { scope, from, to });
    }

    /// Returns the history so far, with the runs that workers reported and the unexpected exits of gateways.
    pub(super) fn history(&self) -> Result<History, SoakError> {
        let mut history = lock(&self.history).clone();
        history.unexpected_exits = self.unexpected_exits();
        history.runs = self.runs()?;
        history.engine_slots = self.plan.workers * self.plan.slots;
        Ok(history)
    }

    /// Reads the run events from the output of all workers and sorts them by time.
    fn runs(&self) -> Result<Vec<RunRecord>, SoakError> {
        let mut runs = Vec::new();
        for file in std::fs::read_dir(&self.scratch)? {
            let file = file?.path();
            let name = file
                .file_name()
                .unwrap_or_default()
                .to_string_lossy()
                .into_owned();
            if name.starts_with("worker-") {
                runs.extend(run_log::read(&file, self.start_ms)?);
            }
        }
        runs.sort_by_key(|run: &RunRecord| run.at);
        Ok(runs)
    }

    fn worker(&self, service: Service, index: usize) -> Option<&WorkerHandle> {
        match service {
            Service::Whole => self.whole_workers.get(index),
            Service::Engine => self.engine_workers.get(index),
        }
    }

    /// Injects a fault and withdraws it after its duration. A fault of a gateway or worker that does not exist has no
    /// effect.
    pub(super) async fn apply(&self, fault: &ScheduledFault) {
        let duration = Duration::from_millis(fault.duration_ms);
        match &fault.disruption {
            Disruption::KillGateway(gateway) => self.kill_gateway(*gateway, duration).await,
            Disruption::KillAllGateways => {
                let all =
                    (0..self.gateways.len()).map(|gateway| self.kill_gateway(gateway, duration));
                futures_util::future::join_all(all).await;
            }
            Disruption::PauseGateway(gateway) => self.pause_gateway(*gateway, duration).await,
            Disruption::StopGateway(gateway) => self.stop_gateway(*gateway).await,
            Disruption::HangUp { gateway, readable } => {
                self.hang_up(*gateway, *readable, duration).await;
            }
            Disruption::CrashWorker {
                service,
                index,
                same_address,
            } => {
                self.crash_worker(*service, *index, *same_address, duration)
                    .await
            }
            Disruption::PauseWorker { service, index } => {
                self.pause_worker(*service, *index, duration).await;
            }
            Disruption::DrainWorker { service, index } => {
                self.drain_worker(*service, *index, duration).await;
            }
            Disruption::WorkerManner {
                service,
                index,
                manner,
            } => {
                self.set_worker_manner(*service, *index, *manner, duration)
                    .await
            }
            Disruption::ServiceManner { service, manner } => {
                let all = (0..self.plan.workers)
                    .map(|index| self.set_worker_manner(*service, index, *manner, duration));
                futures_util::future::join_all(all).await;
            }
            Disruption::Store { gateways, faults } => {
                self.inject_store_faults(gateways, faults, duration).await;
            }
            Disruption::DropHistory => {
                let from = self.now();
                self.send_store_command(CONTROL_DROP_HISTORY_PATH).await;
                self.record_disturbance(Scope::Store, from);
            }
            Disruption::Rebalance => {
                self.send_store_command(CONTROL_REASSIGN_PATH).await;
                self.notify_trigger(Trigger::Rebalanced);
            }
            Disruption::Link { link, fault } => {
                self.inject_link_fault(*link, *fault, duration).await
            }
            Disruption::SilenceConnections(link) => self.silence_connections(*link).await,
            Disruption::LapseEntry { service, index } => {
                self.lapse_entry(*service, *index, duration).await;
            }
            Disruption::Configure => self.configure().await,
            Disruption::Evacuate { zone } => self.evacuate(*zone, duration).await,
        }
    }

    async fn send_store_command(&self, path: &str) {
        let request = HttpRequest::post(self.operator.store_address, path, "application/json", "");
        if let Err(error) = self.client.expect_success(request, CONTROL_TIMEOUT).await {
            self.record_failure(format!(
                "the store stand-in did not carry out {path}: {error}"
            ));
        }
    }

    async fn set_store_faults(&self, gateway: usize, faults: &StoreFaults) {
        let Some(handle) = self.gateways.get(gateway) else {
            return;
        };
        let body = serde_json::to_vec(faults).unwrap_or_default();
        let request = HttpRequest::post(
            handle.store_address,
            CONTROL_FAULTS_PATH,
            "application/json",
            body,
        );
        if let Err(error) = self.client.expect_success(request, CONTROL_TIMEOUT).await {
            self.record_failure(format!("the store stand-in did not accept faults: {error}"));
        }
    }

    /// Injects faults into the store for some gateways, or for all gateways and as a fault of the whole store if
    /// `gateways` is empty.
    async fn inject_store_faults(
        &self,
        gateways: &[usize],
        faults: &StoreFaults,
        duration: Duration,
    ) {
        let from = self.now();
        let all: Vec<usize> = (0..self.gateways.len()).collect();
        let affected = if gateways.is_empty() { &all } else { gateways };
        for gateway in affected {
            self.set_store_faults(*gateway, faults).await;
        }
        tokio::time::sleep(duration).await;
        for gateway in affected {
            self.set_store_faults(*gateway, &StoreFaults::default())
                .await;
        }
        // An append whose response was lost is carried out `done_late` later, which may be after the end of the fault.
        tokio::time::sleep(faults.lost_append_delay).await;
        if gateways.is_empty() {
            return self.record_disturbance(Scope::Store, from);
        }
        for gateway in gateways {
            self.record_disturbance(Scope::Gateway(*gateway), from);
        }
    }

    async fn inject_link_fault(&self, proxied_link: ProxiedLink, fault: Fault, duration: Duration) {
        let from = self.now();
        let Some((link, scope)) = self.link(proxied_link).await else {
            return;
        };
        link.set_fault(fault);
        tokio::time::sleep(duration).await;
        link.set_fault(Fault::None);
        self.record_disturbance(scope, from);
    }

    async fn silence_connections(&self, proxied_link: ProxiedLink) {
        let from = self.now();
        let Some((link, scope)) = self.link(proxied_link).await else {
            return;
        };
        link.silence_open_connections();
        self.record_disturbance(scope, from);
    }

    /// Returns a link and the component that its faults affect; `None` if there is no such gateway or worker.
    async fn link(&self, proxied_link: ProxiedLink) -> Option<(Arc<Link>, Scope)> {
        match proxied_link {
            ProxiedLink::Store(gateway) => {
                let handle = self.gateways.get(gateway)?;
                Some((Arc::clone(&handle.store_link), Scope::Gateway(gateway)))
            }
            ProxiedLink::Callers(gateway) => {
                let handle = self.gateways.get(gateway)?;
                Some((Arc::clone(&handle.caller_link), Scope::Gateway(gateway)))
            }
            ProxiedLink::Whole(index) => self.worker_link(Service::Whole, index).await,
            ProxiedLink::Engine(index) => self.worker_link(Service::Engine, index).await,
        }
    }

    async fn worker_link(&self, service: Service, index: usize) -> Option<(Arc<Link>, Scope)> {
        let worker = self.worker(service, index)?.state.lock().await;
        let scope = Scope::Worker(worker.incarnation.clone());
        Some((Arc::clone(&worker.link), scope))
    }
}

fn start_store(
    plan: &Plan,
    binaries: &Binaries,
    scratch: &std::path::Path,
) -> Result<Process, SoakError> {
    let arguments = [
        "platform-store".to_owned(),
        "--doors".to_owned(),
        (plan.gateways + 1).to_string(),
        "--partitions".to_owned(),
        PARTITIONS.to_string(),
        "--seed".to_owned(),
        plan.seed.to_string(),
    ];
    let log = scratch.join("store.log");
    Ok(Process::start(&binaries.lab, &arguments, &log)?)
}

fn parse_addresses(text: &str) -> Result<Vec<std::net::SocketAddr>, SoakError> {
    let parsed = text
        .split(',')
        .map(|one| one.parse().map_err(|_| SoakError::MissingAddress));
    parsed.collect()
}
