//! A fleet of real gateway processes with stand-ins for the platform's store and workers.

mod configuration;
mod start;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use swiftshunt_platform::documents::{ConfigurationDocument, WorkerDocument};
use swiftshunt_platform::words::{topics, values};

use super::caller::PlatformCaller;
use super::process::unix_ms;
use super::server::any_port;
use super::store::{Store, StoreListener};
use super::worker::{Worker, WorkerSettings};
use super::zone_layout::ZoneLayout;
use crate::harness::{HarnessError, Process};
use crate::proxy::{Bandwidth, Link, LinkConditions};
use configuration::PublishedConfiguration;
pub use configuration::{
    ASK, BATCH, ONCE, PublishedTenant, STREAM, STREAM_ONCE, first_configuration, route,
    weighted_split,
};
pub(crate) use start::{
    GatewayAddresses, GatewaySettingsText, settings_text, start_gateway,
    start_gateway_on_free_addresses,
};

/// Maximum number of attempts to find a free port, or to bind one that another worker is releasing.
const PORT_ATTEMPTS: usize = 100;
/// Number of partitions of each of the store's topics.
const PARTITIONS: u32 = 4;
/// Time limit of all waits for a condition.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A gateway process and its listener at the store.
pub struct RunningGateway {
    /// The running process.
    pub process: Process,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness endpoint.
    pub ready: SocketAddr,
    /// Address for other gateways.
    pub peers: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics: SocketAddr,
    /// The store's listener that this gateway alone uses; its faults affect no other gateway.
    pub store_listener: StoreListener,
    /// Proxy in front of the listener, if the gateway reaches the store over a bandwidth-limited line.
    store_link: Option<Link>,
    settings: PathBuf,
    program: PathBuf,
}

impl RunningGateway {
    fn new(
        process: Process,
        program: PathBuf,
        settings: PathBuf,
        metrics: SocketAddr,
        store_listener: StoreListener,
    ) -> Result<Self, HarnessError> {
        let address = |field: &str| {
            let text = process.announced(field);
            text.parse().map_err(|_| HarnessError::NotAnnounced {
                line: text.to_owned(),
            })
        };
        Ok(Self {
            callers: address("callers")?,
            ready: address("ready")?,
            peers: address("peers")?,
            metrics,
            process,
            store_listener,
            store_link: None,
            settings,
            program,
        })
    }
}

/// Gateway processes, and the stand-ins that they use. Dropping it stops all of them.
pub struct PlatformFleet {
    /// The store stand-in of all gateways.
    pub store: Store,
    /// Workers of the service `whole`, whose responses are not streamed.
    pub whole_workers: Vec<Worker>,
    /// Workers of the service `engine`, whose responses are streamed.
    pub engine_workers: Vec<Worker>,
    /// Workers that others have replaced.
    pub replaced_workers: Vec<Worker>,
    /// The gateways by index; the index is part of their names.
    pub gateways: Vec<RunningGateway>,
    /// A caller without an API key.
    pub caller: PlatformCaller,
    /// Programs of the gateways, assigned in turn by index; at least one.
    programs: Vec<PathBuf>,
    scratch: PathBuf,
    version: u64,
    lease: Duration,
    extra_directory_settings: String,
    zone_layout: ZoneLayout,
    store_line: Option<Arc<Bandwidth>>,
}

/// Size and settings of a fleet.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of workers of each of the two services.
    pub workers: usize,
    /// Number of events in a stream.
    pub events: u64,
    /// Delay of the workers before each event of a stream.
    pub event_interval: Duration,
    /// Delay of the workers before a response that is not streamed.
    pub answer_delay: Duration,
    /// Duration of the lease on a partition of batch jobs.
    pub lease: Duration,
    /// Seed of the store's random faults.
    pub seed: u64,
    /// Lines to append to the gateways' settings files.
    pub extra_settings: String,
    /// Lines to append to the `[directory]` table of the gateways' settings files.
    pub extra_directory_settings: String,
    /// A request body that crashes each worker that begins to run it.
    pub crash_workers_on_body: Option<String>,
    /// A part of prompts that crashes each worker that streams the answer to a request with it.
    pub crash_workers_on_prompt_part: Option<u64>,
    /// Whether workers report their start times in the directory, which tells a restarted worker from its
    /// predecessor under the same identifier.
    pub report_start_times: bool,
    /// Zones of the gateways and workers.
    pub zone_layout: ZoneLayout,
    /// Programs of the gateways, assigned in turn by index. If empty, all gateways run the program passed to
    /// [`PlatformFleet::start`].
    pub programs: Vec<PathBuf>,
    /// Bandwidth-limited line that gateways outside the first region share to reach the store; `None` for
    /// no limit.
    pub store_line: Option<Arc<Bandwidth>>,
    /// Software versions of the workers, assigned in turn by index. If empty, all have the same version and their
    /// events name none.
    pub software: Vec<String>,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            gateways: 2,
            workers: 2,
            events: 8,
            event_interval: Duration::from_millis(10),
            answer_delay: Duration::from_millis(5),
            lease: Duration::from_secs(1),
            seed: 1,
            extra_settings: String::new(),
            extra_directory_settings: String::new(),
            crash_workers_on_body: None,
            crash_workers_on_prompt_part: None,
            report_start_times: false,
            zone_layout: ZoneLayout::default(),
            programs: Vec::new(),
            store_line: None,
            software: Vec::new(),
        }
    }
}

impl PlatformFleet {
    /// Starts a fleet and waits until every gateway is ready. Settings and log files are written to a new
    /// directory in `scratch`. Panics if a gateway is not ready within 20 s.
    pub async fn start(
        binary: &Path,
        scratch: &Path,
        mut options: PlatformOptions,
    ) -> Result<Self, HarnessError> {
        let scratch = scratch.join(format!("fleet-{:016x}", rand::random::<u64>()));
        std::fs::create_dir_all(&scratch)?;
        let store = Store::new(PARTITIONS, options.seed);
        let mut whole_workers = Vec::new();
        let mut engine_workers = Vec::new();
        for index in 0..options.workers {
            let settings = |name: &str, events, answer_delay| WorkerSettings {
                incarnation: format!("{name}-{index}"),
                slots: 16,
                events,
                answer_delay,
                item_event_delay: None,
                crash_on_body: options.crash_workers_on_body.clone(),
                crash_on_prompt_part: options.crash_workers_on_prompt_part,
                started_unix_ms: options.report_start_times.then(unix_ms),
                zone: options.zone_layout.zone(index).to_owned(),
                software: software_at(&options.software, index),
            };
            let whole_settings = settings("whole", None, options.answer_delay);
            whole_workers.push(Worker::start(whole_settings).await?);
            let engine_settings = settings("engine", Some(options.events), options.event_interval);
            engine_workers.push(Worker::start(engine_settings).await?);
        }
        if options.programs.is_empty() {
            options.programs.push(binary.to_owned());
        }
        let mut fleet = Self {
            store,
            whole_workers,
            engine_workers,
            replaced_workers: Vec::new(),
            gateways: Vec::new(),
            caller: PlatformCaller::default(),
            programs: options.programs,
            scratch,
            version: 0,
            lease: options.lease,
            extra_directory_settings: options.extra_directory_settings,
            zone_layout: options.zone_layout,
            store_line: options.store_line,
        };
        fleet.configure(first_configuration());
        fleet.list_all(values::READY);
        for _ in 0..options.gateways {
            fleet.add_gateway(&options.extra_settings).await?;
        }
        for gateway in &fleet.gateways {
            let ready = gateway.ready;
            let caller = fleet.caller.clone();
            eventually("the gateway is ready", || caller.is_ready(ready)).await;
        }
        Ok(fleet)
    }

    /// Starts one more gateway. Does not wait until it is ready.
    pub async fn add_gateway(&mut self, extra_settings: &str) -> Result<(), HarnessError> {
        let store_listener = self.store.open_listener().await?;
        let index = self.gateways.len();
        let link = self.open_store_link(store_listener.address, index).await?;
        let store = link
            .as_ref()
            .map_or(store_listener.address, |link| link.address);
        let settings = self.scratch.join(format!("gateway-{index}.toml"));
        let program = self.programs[index % self.programs.len()].clone();
        let started = start_gateway_on_free_addresses(&program, &settings, |addresses| {
            settings_text(&GatewaySettingsText {
                index,
                zone_layout: &self.zone_layout,
                peers: addresses.peers,
                metrics: addresses.metrics,
                store,
                partitions: PARTITIONS,
                lease: self.lease,
                extra_directory_lines: &self.extra_directory_settings,
                extra_lines: extra_settings,
            })
        });
        let (process, addresses) = started?;
        let metrics = addresses.metrics;
        let mut gateway = RunningGateway::new(process, program, settings, metrics, store_listener)?;
        gateway.store_link = link;
        self.gateways.push(gateway);
        Ok(())
    }

    /// Starts the proxy through which the gateway reaches the store, if it is subject to the bandwidth limit.
    async fn open_store_link(
        &self,
        store_listener: SocketAddr,
        index: usize,
    ) -> std::io::Result<Option<Link>> {
        let line = self
            .store_line
            .as_ref()
            .filter(|_| self.zone_layout.is_outside_first_region(index));
        let Some(line) = line else {
            return Ok(None);
        };
        let link = Link::open(any_port(), Some(store_listener)).await?;
        link.set_conditions(LinkConditions {
            delay: Duration::ZERO,
            bandwidth: Some(Arc::clone(line)),
        });
        Ok(Some(link))
    }

    /// Kills a gateway and starts it again with the same program. Does not wait until it is ready.
    pub fn restart(&mut self, index: usize) -> Result<(), HarnessError> {
        self.gateways[index].process.kill();
        let program = self.gateways[index].program.clone();
        self.start_process(index, program)
    }

    fn start_process(&mut self, index: usize, program: PathBuf) -> Result<(), HarnessError> {
        let gateway = &self.gateways[index];
        let settings = gateway.settings.clone();
        let process = start_gateway(&program, &settings)?;
        let (metrics, store_listener) = (gateway.metrics, gateway.store_listener.clone());
        let link = self.gateways[index].store_link.take();
        self.gateways[index] =
            RunningGateway::new(process, program, settings, metrics, store_listener)?;
        self.gateways[index].store_link = link;
        Ok(())
    }

    /// Stops a gateway gracefully, starts `program` with the same settings once it has exited, and waits until the
    /// new process is ready. Panics if the exit or the start takes more than 20 s.
    pub async fn replace(&mut self, index: usize, program: &Path) -> Result<(), HarnessError> {
        let gateway = &mut self.gateways[index];
        gateway.process.terminate();
        let ends = async {
            while gateway.process.is_running() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let ended = tokio::time::timeout(CONDITION_TIMEOUT, ends).await;
        assert!(
            ended.is_ok(),
            "gateway {index} did not exit within {CONDITION_TIMEOUT:?} after SIGTERM"
        );
        self.start_process(index, program.to_owned())?;
        let ready = self.gateways[index].ready;
        let caller = &self.caller;
        eventually("the gateway is ready", || caller.is_ready(ready)).await;
        Ok(())
    }

    /// Appends lines to a gateway's settings file; they take effect when it restarts.
    pub fn add_settings(&self, index: usize, lines: &str) -> Result<(), HarnessError> {
        let file = &self.gateways[index].settings;
        let text = std::fs::read_to_string(file)?;
        std::fs::write(file, format!("{text}\n{lines}\n"))?;
        Ok(())
    }

    /// Publishes a configuration with the next version number, which replaces the version in `document`.
    pub fn configure(&mut self, document: ConfigurationDocument) {
        self.configure_with_tenants(document, None);
    }

    /// Publishes a configuration with tenants and the next version number.
    pub fn configure_with_tenants(
        &mut self,
        mut document: ConfigurationDocument,
        tenants: Option<&[PublishedTenant]>,
    ) {
        self.version += 1;
        document.version = self.version;
        let published = PublishedConfiguration { document, tenants };
        let body = serde_json::to_vec(&published).unwrap_or_default();
        let key = String::from_utf8_lossy(topics::CONFIGURATION_KEY);
        self.store.put(topics::OPERATOR, &key, body);
    }

    /// Publishes the evacuation of a zone, as an operator does.
    pub fn evacuate(&self, zone: &str) {
        let key = format!("{}{zone}", topics::EVACUATION_KEY);
        self.store.put(topics::OPERATOR, &key, "{}");
    }

    /// Withdraws the evacuation of a zone, as an operator does.
    pub fn withdraw_evacuation(&self, zone: &str) {
        let key = format!("{}{zone}", topics::EVACUATION_KEY);
        self.store.put(topics::OPERATOR, &key, bytes::Bytes::new());
    }

    /// Lists every worker in the directory with the given state.
    pub fn list_all(&self, state: &str) {
        for worker in &self.whole_workers {
            self.list(worker, "whole", state);
        }
        for worker in &self.engine_workers {
            self.list(worker, "engine", state);
        }
    }

    /// Lists a worker in the directory as one of `service`, with the given state.
    pub fn list(&self, worker: &Worker, service: &str, state: &str) {
        let document = Self::directory_entry(worker, service, state);
        let body = serde_json::to_vec(&document).unwrap_or_default();
        self.store.put(topics::WORKERS, worker.incarnation(), body);
    }

    /// Returns the directory entry of a worker. It states 16 slots, whatever the worker's settings.
    pub fn directory_entry(worker: &Worker, service: &str, state: &str) -> WorkerDocument {
        WorkerDocument {
            service: service.to_owned(),
            address: worker.address.to_string(),
            zone: worker.settings().zone.clone(),
            version: (worker.settings().software.clone()).unwrap_or_else(|| "v1".to_owned()),
            slots: 16,
            state: state.to_owned(),
            cold_left_ms: 0.0,
            call_seq: 1,
            born: worker.started_unix_ms(),
        }
    }

    /// Crashes a worker of the service `whole` and restarts it with the same address and identifier. Lists it
    /// as ready with the new start time.
    pub async fn restart_worker(&mut self, index: usize) -> std::io::Result<()> {
        let old = &self.whole_workers[index];
        old.crash();
        let address = old.address;
        let settings = WorkerSettings {
            started_unix_ms: Some(unix_ms()),
            ..old.settings().clone()
        };
        let worker = start_worker_at(address, settings).await?;
        self.list(&worker, "whole", values::READY);
        self.whole_workers[index] = worker;
        Ok(())
    }

    /// Starts one more worker of the service `whole` and lists it as ready.
    pub async fn add_whole_worker(&mut self, incarnation: &str) -> std::io::Result<()> {
        let settings = WorkerSettings {
            incarnation: incarnation.to_owned(),
            slots: 16,
            events: None,
            answer_delay: PlatformOptions::default().answer_delay,
            item_event_delay: None,
            crash_on_body: None,
            crash_on_prompt_part: None,
            started_unix_ms: None,
            zone: self.zone_layout.zone(0).to_owned(),
            software: None,
        };
        let worker = Worker::start(settings).await?;
        self.list(&worker, "whole", values::READY);
        self.whole_workers.push(worker);
        Ok(())
    }

    /// Starts one more worker of the service `engine`, with the settings of the first one except for its identifier
    /// and software version, and lists it as ready.
    pub async fn add_engine_worker(
        &mut self,
        incarnation: &str,
        software: &str,
    ) -> std::io::Result<()> {
        let settings = WorkerSettings {
            incarnation: incarnation.to_owned(),
            software: Some(software.to_owned()),
            ..self.engine_workers[0].settings().clone()
        };
        let worker = Worker::start(settings).await?;
        self.list(&worker, "engine", values::READY);
        self.engine_workers.push(worker);
        Ok(())
    }

    /// Crashes a worker of the service `engine` and restarts it with the same address and identifier, but with other
    /// software. Its entry in the directory stays as it is.
    pub async fn replace_engine_software(
        &mut self,
        index: usize,
        software: &str,
    ) -> std::io::Result<()> {
        let old = &self.engine_workers[index];
        old.crash();
        let address = old.address;
        let settings = WorkerSettings {
            started_unix_ms: Some(unix_ms()),
            software: Some(software.to_owned()),
            ..old.settings().clone()
        };
        self.engine_workers[index] = start_worker_at(address, settings).await?;
        Ok(())
    }

    /// Starts a worker of the service `engine` in place of one that has crashed, at its address and with its behaviour, and
    /// lists it instead. The runs of the crashed one are kept.
    pub async fn replace_engine_worker(
        &mut self,
        index: usize,
        incarnation: &str,
    ) -> std::io::Result<()> {
        let old = &self.engine_workers[index];
        let settings = WorkerSettings {
            incarnation: incarnation.to_owned(),
            ..old.settings().clone()
        };
        let worker = start_worker_at(old.address, settings).await?;
        worker.set_behaviour(old.behaviour());
        self.unlist(old);
        self.list(&worker, "engine", values::READY);
        let old = std::mem::replace(&mut self.engine_workers[index], worker);
        self.replaced_workers.push(old);
        Ok(())
    }

    /// Removes a worker from the directory.
    pub fn unlist(&self, worker: &Worker) {
        let nothing = bytes::Bytes::new();
        self.store
            .put(topics::WORKERS, worker.incarnation(), nothing);
    }

    /// Returns the runs of a request at all workers.
    pub fn runs_of(&self, id: &str) -> Vec<super::worker::Run> {
        let mut runs = self.runs();
        runs.retain(|run| run.id == id);
        runs
    }

    /// Returns the runs at all workers.
    pub fn runs(&self) -> Vec<super::worker::Run> {
        let workers = self.whole_workers.iter().chain(&self.engine_workers);
        let workers = workers.chain(&self.replaced_workers);
        workers.flat_map(Worker::runs).collect()
    }

    /// Directory of the gateways' settings and log files.
    pub fn log_directory(&self) -> &Path {
        &self.scratch
    }
}

/// Returns the software version of the worker with this index.
fn software_at(versions: &[String], index: usize) -> Option<String> {
    let index = index.checked_rem(versions.len())?;
    versions.get(index).cloned()
}

/// Starts a worker at an address. Retries while the previous worker has not released it yet, and fails with
/// `AddrInUse` after [`PORT_ATTEMPTS`] attempts.
async fn start_worker_at(address: SocketAddr, settings: WorkerSettings) -> std::io::Result<Worker> {
    for _ in 0..PORT_ATTEMPTS {
        match Worker::start_watched(address, settings.clone(), Arc::new(|_, _| {})).await {
            Ok(worker) => return Ok(worker),
            Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
    Err(std::io::Error::from(std::io::ErrorKind::AddrInUse))
}

/// Waits until `condition` holds. Panics with `what` if it does not within 20 s.
pub async fn eventually<F, Holds>(what: &str, condition: F)
where
    F: Fn() -> Holds,
    Holds: Future<Output = bool>,
{
    let waited = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let held = tokio::time::timeout(CONDITION_TIMEOUT, waited).await;
    assert!(
        held.is_ok(),
        "condition not met within {CONDITION_TIMEOUT:?}: {what}"
    );
}
