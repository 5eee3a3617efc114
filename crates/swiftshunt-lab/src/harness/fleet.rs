//! A fleet of processes: nodes, engines, submission workers and platform services, most of them behind a proxied
//! link.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use serde_json::{Value, json};
use swiftshunt_types::{Machine, MachineKind, MachineState, token_digest};

use super::options::{
    Binaries, EXTRA_MODEL, FleetOptions, MODEL, OPERATOR_TOKEN, POOL_ENGINES, POOL_SUBMISSIONS,
    SECOND_MODEL, SECOND_POOL, TENANT_TOKEN, ZONES,
};
use super::{HarnessError, Process, eventually};
use crate::caller::Caller;
use crate::engine::AcceptedRequest;
use crate::log_service::LogFaults;
use crate::proxy::{Fault, Link};
use crate::stand_in::RunningStandIn;
use crate::submission_worker::{Behaviour, Journal};

/// A node process and its link.
pub struct NodeProcess {
    /// The node process.
    pub process: Process,
    /// Zone of the node, as an index into [`ZONES`].
    pub zone: usize,
    /// Address from which the node connects, unique to the node.
    pub source: IpAddr,
    /// API address, which is not proxied.
    pub api: SocketAddr,
    /// Link through which other nodes connect to the node.
    pub peer: Link,
}

/// The process of an engine or submission worker, and its link.
pub struct WorkerProcess {
    /// The worker process.
    pub process: Process,
    /// Link through which nodes connect to the worker.
    pub link: Link,
    /// Address of the process itself, used for control calls past the link.
    pub direct_address: SocketAddr,
    /// Entry of the worker in the machine list, with the address of the link.
    pub machine: Machine,
}

/// A running fleet.
pub struct Fleet {
    /// Link to the log service.
    pub log: Link,
    /// Link to the machine list.
    pub list: Link,
    /// Engines of both pools.
    pub engines: Vec<WorkerProcess>,
    /// Submission workers of the fleet.
    pub workers: Vec<WorkerProcess>,
    /// All nodes that were started, in order. A node whose process has ended keeps its place.
    pub nodes: Vec<NodeProcess>,
    /// Journal of the actual executions of all submission workers.
    pub journal: Arc<Journal>,
    /// API client with the token of the tenant.
    pub tenant: Caller,
    /// API client with the token of the operator.
    pub operator: Caller,
    /// Address of the log service itself, used for control calls past the link.
    pub log_address: SocketAddr,
    list_address: SocketAddr,
    options: FleetOptions,
    binaries: Binaries,
    work_directory: PathBuf,
    started_nodes: u8,
    _log_process: Process,
    _list_process: Process,
    weights_process: Process,
    journal_server: RunningStandIn,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn parse_address(text: &str) -> SocketAddr {
    text.parse()
        .unwrap_or_else(|_| panic!("not a socket address: {text:?}"))
}

impl Fleet {
    /// Starts all processes and waits until every node is ready. Settings and logs are written to the subdirectory
    /// `options.name` of `work_directory`, whose earlier content is deleted.
    pub async fn start(
        binaries: Binaries,
        work_directory: &Path,
        options: FleetOptions,
    ) -> Result<Self, HarnessError> {
        let mut fleet = Self::start_platform(binaries, work_directory, options).await?;
        fleet.start_workers().await?;
        fleet.publish_machines().await;
        for zone in fleet.options.node_zones.clone() {
            fleet.start_node(zone).await?;
        }
        fleet.configure().await;
        fleet.wait_until_ready().await;
        Ok(fleet)
    }

    async fn start_platform(
        binaries: Binaries,
        work_directory: &Path,
        options: FleetOptions,
    ) -> Result<Self, HarnessError> {
        let work_directory = work_directory.join(options.name);
        drop(std::fs::remove_dir_all(&work_directory));
        std::fs::create_dir_all(&work_directory)?;
        let log_process = start_lab_process(&binaries, &work_directory, "log", &["log-service"])?;
        let lag = options.list_lag.as_millis().to_string();
        let list_arguments = ["machine-list", "--lag-ms", &lag];
        let list_process = start_lab_process(&binaries, &work_directory, "list", &list_arguments)?;
        // One fetch takes 0.5 s.
        let weight_arguments = [
            "weight-store",
            "--bytes",
            "100",
            "--bytes-per-second",
            "200",
        ];
        let weights_process =
            start_lab_process(&binaries, &work_directory, "weights", &weight_arguments)?;
        let log_address = parse_address(log_process.announced("address"));
        let list_address = parse_address(list_process.announced("address"));
        let journal = Journal::start(loopback()).await;
        let (server, journal) = journal.map_err(std::io::Error::other)?;
        Ok(Self {
            log: Link::open(loopback(), Some(log_address)).await?,
            list: Link::open(loopback(), Some(list_address)).await?,
            engines: Vec::new(),
            workers: Vec::new(),
            nodes: Vec::new(),
            journal,
            tenant: Caller::new(TENANT_TOKEN),
            operator: Caller::new(OPERATOR_TOKEN),
            log_address,
            list_address,
            options,
            binaries,
            work_directory,
            started_nodes: 0,
            _log_process: log_process,
            _list_process: list_process,
            weights_process,
            journal_server: server,
        })
    }

    async fn start_workers(&mut self) -> Result<(), HarnessError> {
        for index in 0..self.options.engines {
            let engine = self.start_engine(index).await?;
            self.engines.push(engine);
        }
        for index in 0..self.options.workers {
            let worker = self.start_submission_worker(index).await?;
            self.workers.push(worker);
        }
        Ok(())
    }

    async fn start_engine(&self, index: usize) -> Result<WorkerProcess, HarnessError> {
        let name = format!("engine-{index}");
        let weights = self.weights_process.announced("address");
        let mut arguments = vec!["engine", "--weights", weights];
        arguments.extend(self.options.engine_flags.iter().map(String::as_str));
        let versions = &self.options.engine_software;
        if let Some(position) = index.checked_rem(versions.len()) {
            arguments.extend(["--software", versions[position]]);
        }
        let process = start_lab_process(&self.binaries, &self.work_directory, &name, &arguments)?;
        let in_first_pool = index < self.options.engines - self.options.engines_in_second_pool;
        let pool = if in_first_pool {
            POOL_ENGINES
        } else {
            SECOND_POOL
        };
        worker_process(process, name, index, MachineKind::Engine, pool).await
    }

    async fn start_submission_worker(&self, index: usize) -> Result<WorkerProcess, HarnessError> {
        let name = format!("book-{index}");
        let journal = self.journal_server.address.to_string();
        let arguments = ["submission-worker", "--name", &name, "--journal", &journal];
        let process = start_lab_process(&self.binaries, &self.work_directory, &name, &arguments)?;
        worker_process(
            process,
            name,
            index,
            MachineKind::Submission,
            POOL_SUBMISSIONS,
        )
        .await
    }

    /// Kills a submission worker, starts a new process under the same name, and publishes its address.
    pub async fn restart_worker(&mut self, index: usize) -> Result<(), HarnessError> {
        self.workers[index].process.kill();
        self.workers[index] = self.start_submission_worker(index).await?;
        self.publish_machines().await;
        Ok(())
    }

    /// Starts a node in a zone and returns its index in [`Fleet::nodes`].
    pub async fn start_node(&mut self, zone: usize) -> Result<usize, HarnessError> {
        self.started_nodes += 1;
        let number = self.started_nodes;
        let source = Ipv4Addr::new(127, 0, zone as u8 + 1, number);
        let peer = Link::open(loopback(), None).await?;
        let settings = self.work_directory.join(format!("node-{number}.toml"));
        std::fs::write(&settings, self.node_settings(zone, source))?;
        let arguments = [
            "node".to_owned(),
            "--config".to_owned(),
            settings.display().to_string(),
            "--advertise-peer".to_owned(),
            peer.address.to_string(),
        ];
        let log = self.work_directory.join(format!("node-{number}.log"));
        let process = Process::start(&self.binaries.node, &arguments, &log)?;
        let api = parse_address(process.announced("api"));
        peer.set_target(parse_address(process.announced("peer")));
        self.nodes.push(NodeProcess {
            process,
            zone,
            source: IpAddr::V4(source),
            api,
            peer,
        });
        Ok(self.nodes.len() - 1)
    }

    fn node_settings(&self, zone: usize, source: Ipv4Addr) -> String {
        let seeds: Vec<String> = self
            .nodes
            .iter()
            .map(|node| node.peer.address.to_string())
            .collect();
        format!(
            "zone = \"{}\"\nzones = {ZONES:?}\nseeds = {seeds:?}\n\
             [listen]\napi = \"{source}:0\"\npeer = \"{source}:0\"\n\
             [platform]\nlog = \"{}\"\nmachines = \"{}\"\nweights = \"{}\"\nmachines_interval = \"100ms\"\n\
             [log]\nlevel = \"{}\"\n\
             [[operators]]\nname = \"test\"\ntoken_digest = \"{}\"\n{}",
            ZONES[zone],
            self.log.address,
            self.list.address,
            self.weights_process.announced("address"),
            self.options.log_level,
            token_digest(OPERATOR_TOKEN),
            self.options.settings,
        )
    }

    async fn configure(&self) {
        let toml = fleet_configuration();
        let api = self.nodes[0].api;
        eventually("the first configuration is published", || async {
            let answer = self.operator.publish(api, 0, &toml).await.ok()?;
            (answer.status == 200).then_some(())
        })
        .await;
    }

    /// Returns the indices of the nodes whose process runs.
    pub fn running_nodes(&mut self) -> Vec<usize> {
        let nodes = self.nodes.iter_mut().enumerate();
        let running = nodes.filter_map(|(index, node)| node.process.is_running().then_some(index));
        running.collect()
    }

    /// Waits until every running node is ready.
    pub async fn wait_until_ready(&mut self) {
        for index in self.running_nodes() {
            self.wait_until_node_ready(index).await;
        }
    }

    /// Waits until one node is ready.
    pub async fn wait_until_node_ready(&self, index: usize) {
        let api = self.nodes[index].api;
        eventually("a node is ready", || async {
            let answer = self.operator.get(api, "/readyz").await.ok()?;
            (answer.status == 200).then_some(())
        })
        .await;
    }

    /// Publishes a machine list with the current entries of all engines and submission workers.
    pub async fn publish_machines(&self) {
        let machines: Vec<&Machine> = self
            .engines
            .iter()
            .chain(&self.workers)
            .map(|worker| &worker.machine)
            .collect();
        self.control(
            self.list_address,
            "machines",
            &json!({ "machines": machines }),
        )
        .await;
    }

    /// Replaces the faults of the log service.
    pub async fn set_log_faults(&self, faults: &LogFaults) {
        self.control(self.log_address, "faults", &json!(faults))
            .await;
    }

    /// Returns the requests that an engine accepted so far, in order of arrival.
    pub async fn engine_journal(&self, engine: usize) -> Vec<AcceptedRequest> {
        let address = self.engines[engine].direct_address;
        let answer = self.operator.get(address, "/control/journal").await;
        let body = answer.expect("the engine answers").body;
        serde_json::from_str(&body).expect("the body is a list of accepted requests")
    }

    /// Returns the requests that the running engines accepted so far, one engine after the other.
    pub async fn engine_journals(&mut self) -> Vec<AcceptedRequest> {
        let mut all = Vec::new();
        for index in 0..self.engines.len() {
            if self.engines[index].process.is_running() {
                all.extend(self.engine_journal(index).await);
            }
        }
        all
    }

    /// Replaces the behaviour of a submission worker.
    pub async fn set_behaviour(&self, worker: usize, behaviour: &Behaviour) {
        let address = self.workers[worker].direct_address;
        self.control(address, "behaviour", &json!(behaviour)).await;
    }

    /// Posts `body` to `/control/{operation}` of a stand-in, past its link. Panics unless the status is 200.
    pub async fn control(&self, address: SocketAddr, operation: &str, body: &Value) {
        let answer = self
            .operator
            .post(address, &format!("/control/{operation}"), body)
            .await;
        let status = answer.map(|answer| answer.status);
        assert_eq!(
            status.ok(),
            Some(200),
            "control call {operation} of {address} succeeds"
        );
    }

    /// Sets `fault` on all peer connections of a node, in both directions. [`Fault::None`] ends the isolation.
    pub fn set_isolated(&self, isolated: usize, fault: Fault) {
        let source = self.nodes[isolated].source;
        for (index, node) in self.nodes.iter().enumerate() {
            if index == isolated {
                node.peer.set_fault(fault);
            } else {
                node.peer.set_fault_from(source, fault);
            }
        }
    }

    /// Returns the index of the node that leads a ledger partition, as node `asked` reports it; `None` without a
    /// known leader or response.
    pub async fn leader_of(&self, asked: usize, partition: u16) -> Option<usize> {
        let statement = format!("show partitions where partition = {partition}");
        let api = self.nodes[asked].api;
        let answer = self.operator.statement(api, &statement).await.ok()?;
        let table = answer.json();
        let leader = table["rows"][0][3].as_str()?.to_owned();
        let nodes = self.nodes.iter();
        let mut found = nodes
            .enumerate()
            .filter(|(_, node)| node.process.announced("node") == leader);
        found.next().map(|(index, _)| index)
    }
}

fn start_lab_process(
    binaries: &Binaries,
    work_directory: &Path,
    name: &str,
    arguments: &[&str],
) -> Result<Process, HarnessError> {
    let arguments: Vec<String> = arguments.iter().map(|text| (*text).to_owned()).collect();
    Process::start(
        &binaries.lab,
        &arguments,
        &work_directory.join(format!("{name}.log")),
    )
}

async fn worker_process(
    process: Process,
    name: String,
    index: usize,
    kind: MachineKind,
    pool: &str,
) -> Result<WorkerProcess, HarnessError> {
    let direct_address = parse_address(process.announced("address"));
    let link = Link::open(loopback(), Some(direct_address)).await?;
    let machine = Machine {
        id: name.as_str().into(),
        kind,
        address: link.address,
        zone: ZONES[index % ZONES.len()].into(),
        pool: pool.into(),
        state: MachineState::Live,
    };
    Ok(WorkerProcess {
        process,
        link,
        direct_address,
        machine,
    })
}

/// Returns the fleet configuration of a test fleet as TOML.
pub fn fleet_configuration() -> String {
    format!(
        "[[tenants]]\nname = \"stolnica\"\ntoken_digests = [\"{}\"]\n\
         [tenants.limits]\nrequests_per_second = 100000.0\nburst = 100000.0\n\
         [[pools]]\nname = \"{POOL_ENGINES}\"\nkind = \"engine\"\nmodels = [\"{MODEL}\", \"{EXTRA_MODEL}\"]\n\
         [[pools]]\nname = \"{SECOND_POOL}\"\nkind = \"engine\"\nmodels = [\"{SECOND_MODEL}\"]\n\
         [[pools]]\nname = \"{POOL_SUBMISSIONS}\"\nkind = \"submission\"\n",
        token_digest(TENANT_TOKEN)
    )
}
