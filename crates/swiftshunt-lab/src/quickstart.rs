//! Runs the whole system in one process on loopback and prints an example command for each interface.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use derive_more::{Display, Error, From};
use swiftshunt_config::{ConfigError, Settings, parse_settings};
use swiftshunt_http::{BindError, HttpError};
use swiftshunt_node::{RunningNode, StartError, start};
use swiftshunt_types::{Machine, MachineKind, MachineState, token_digest};

use crate::caller::Caller;
use crate::engine::{self, EngineSettings};
use crate::stand_in::RunningStandIn;
use crate::submission_worker::{self, Behaviour, Journal};
use crate::{log_service, machine_list};

/// Tenant token of the quickstart. It is public and gives access only to a process on loopback.
pub const TENANT_TOKEN: &str = "quickstart-tenant";
/// Operator token of the quickstart, which is public like the tenant token.
pub const OPERATOR_TOKEN: &str = "quickstart-operator";

const ZONES: [&str; 3] = ["zg-a", "zg-b", "zg-c"];
const ENGINES: usize = 3;
const WORKERS: usize = 2;
/// API ports of the nodes, fixed so that the printed commands are the same in each run. A node that cannot start with
/// its port, for example because the port is taken, is started with any free port.
const API_PORTS: [u16; 3] = [8421, 8422, 8423];
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why the quickstart could not start.
#[derive(Debug, Display, Error, From)]
pub enum QuickstartError {
    /// A stand-in cannot listen on its address.
    #[display("{_0}")]
    Bind(BindError),
    /// A node cannot start.
    #[display("{_0}")]
    Start(StartError),
    /// The generated settings are invalid.
    #[display("{_0}")]
    Config(ConfigError),
    /// A call to a node failed.
    #[display("{_0}")]
    Http(HttpError),
    /// A node refused the fleet configuration.
    #[display("node refused the fleet configuration: {reason}")]
    #[from(ignore)]
    Refused {
        /// Body of the response.
        #[error(not(source))]
        reason: String,
    },
    /// A node did not become ready within 30 s.
    #[display("a node did not become ready within {READY_TIMEOUT:?}")]
    NotReady,
}

/// Nodes and stand-ins, which must be kept while the quickstart runs.
struct Fleet {
    nodes: Vec<RunningNode>,
    _stand_ins: Vec<RunningStandIn>,
}

/// Starts the fleet, prints how to use it, and runs until Ctrl-C.
pub async fn run() -> Result<(), QuickstartError> {
    let began = Instant::now();
    let fleet = start_fleet().await?;
    let apis: Vec<SocketAddr> = fleet.nodes.iter().map(RunningNode::api_address).collect();
    print_usage(&apis, began.elapsed());
    // An error means that no handler could be installed. Ctrl-C would end the process anyway, so the error is treated
    // like Ctrl-C.
    drop(tokio::signal::ctrl_c().await);
    for node in fleet.nodes {
        node.abort();
    }
    Ok(())
}

async fn start_fleet() -> Result<Fleet, QuickstartError> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (log, _) = log_service::start(any).await?;
    let (list, machines) = machine_list::start(any, Duration::ZERO).await?;
    let (journal, _) = Journal::start(any).await?;
    let mut stand_ins = Vec::new();
    let mut listed_machines = Vec::new();
    for index in 0..ENGINES {
        let (engine, _) = engine::start(any, EngineSettings::default()).await?;
        listed_machines.push(machine(
            "engine",
            index,
            MachineKind::Engine,
            "stol-llm",
            engine.address,
        ));
        stand_ins.push(engine);
    }
    for index in 0..WORKERS {
        let name = format!("book-{index}");
        let started = submission_worker::start(any, name, journal.address, Behaviour::default());
        let (worker, _) = started.await?;
        let kind = MachineKind::Submission;
        listed_machines.push(machine("book", index, kind, "stol-book", worker.address));
        stand_ins.push(worker);
    }
    machines.update(listed_machines);
    let nodes = start_nodes(log.address, list.address).await?;
    stand_ins.extend([log, list, journal]);
    configure(&nodes).await?;
    wait_until_ready(&nodes).await?;
    Ok(Fleet {
        nodes,
        _stand_ins: stand_ins,
    })
}

fn machine(
    name: &str,
    index: usize,
    kind: MachineKind,
    pool: &str,
    address: SocketAddr,
) -> Machine {
    Machine {
        id: format!("{name}-{index}").as_str().into(),
        kind,
        address,
        zone: ZONES[index % ZONES.len()].into(),
        pool: pool.into(),
        state: MachineState::Live,
    }
}

async fn start_nodes(
    log: SocketAddr,
    machines: SocketAddr,
) -> Result<Vec<RunningNode>, QuickstartError> {
    let mut nodes: Vec<RunningNode> = Vec::new();
    for (zone, port) in ZONES.iter().zip(API_PORTS) {
        let seeds: Vec<SocketAddr> = nodes.iter().map(RunningNode::peer_address).collect();
        let mut settings = settings(zone, log, machines, &seeds)?;
        settings.listen.api.set_port(port);
        let node = match start(settings.clone()).await {
            Ok(node) => node,
            Err(_) => {
                settings.listen.api.set_port(0);
                start(settings).await?
            }
        };
        nodes.push(node);
    }
    Ok(nodes)
}

fn settings(
    zone: &str,
    log: SocketAddr,
    machines: SocketAddr,
    seeds: &[SocketAddr],
) -> Result<Settings, ConfigError> {
    let digest = token_digest(OPERATOR_TOKEN);
    let text = format!(
        r#"
zone = "{zone}"
zones = ["{}", "{}", "{}"]
seeds = {:?}

[listen]
api = "127.0.0.1:0"
peer = "127.0.0.1:0"

[platform]
log = "{log}"
machines = "{machines}"

[[operators]]
name = "quickstart"
token_digest = "{digest}"
"#,
        ZONES[0],
        ZONES[1],
        ZONES[2],
        seeds.iter().map(ToString::to_string).collect::<Vec<_>>(),
    );
    parse_settings("quickstart", &text)
}

async fn configure(nodes: &[RunningNode]) -> Result<(), QuickstartError> {
    let fleet = format!(
        r#"
[[tenants]]
name = "stolnica"
token_digests = ["{}"]

[[pools]]
name = "stol-llm"
kind = "engine"
models = ["stol-llm"]

[[pools]]
name = "stol-book"
kind = "submission"
"#,
        token_digest(TENANT_TOKEN)
    );
    let operator = Caller::new(OPERATOR_TOKEN);
    let answer = operator.publish(nodes[0].api_address(), 0, &fleet).await?;
    if answer.status == 200 {
        return Ok(());
    }
    Err(QuickstartError::Refused {
        reason: answer.body,
    })
}

async fn wait_until_ready(nodes: &[RunningNode]) -> Result<(), QuickstartError> {
    let caller = Caller::new(OPERATOR_TOKEN);
    let deadline = Instant::now() + READY_TIMEOUT;
    for node in nodes {
        while caller.get(node.api_address(), "/readyz").await?.status != 200 {
            if Instant::now() > deadline {
                return Err(QuickstartError::NotReady);
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }
    Ok(())
}

fn print_usage(apis: &[SocketAddr], elapsed: Duration) {
    let (first, second, third) = (apis[0], apis[1], apis[2]);
    println!(
        r#"swiftshunt runs on loopback: three nodes, {ENGINES} engines, {WORKERS} submission workers (started in {elapsed:.1?}).

A streamed chat completion:
  curl -N http://{first}/v1/chat/completions -H 'Authorization: Bearer {TENANT_TOKEN}' -H 'Content-Type: application/json' -d '{{"model":"stol-llm","stream":true,"max_tokens":24,"messages":[{{"role":"user","content":"Plan the Rijeka floor"}}]}}'

A submission, and the same submission through another node:
  curl http://{first}/v1/submissions -H 'Authorization: Bearer {TENANT_TOKEN}' -H 'Idempotency-Key: desk-17' -H 'Content-Type: application/json' -d '{{"pool":"stol-book","input":{{"desk":17}}}}'
  curl http://{second}/v1/submissions -H 'Authorization: Bearer {TENANT_TOKEN}' -H 'Idempotency-Key: desk-17' -H 'Content-Type: application/json' -d '{{"pool":"stol-book","input":{{"desk":17}}}}'

A batch job: upload the items, create the job with the returned file id, read its state and then its output file:
  printf '%s\n' '{{"custom_id":"a","url":"/v1/chat/completions","body":{{"model":"stol-llm","max_tokens":24,"messages":[{{"role":"user","content":"Suggest a seat"}}]}}}}' | curl http://{first}/v1/files -H 'Authorization: Bearer {TENANT_TOKEN}' -F purpose=batch -F file=@-
  curl http://{first}/v1/batches -H 'Authorization: Bearer {TENANT_TOKEN}' -H 'Content-Type: application/json' -d '{{"input_file_id":"FILE_ID","endpoint":"/v1/chat/completions","completion_window":"24h"}}'
  curl http://{third}/v1/batches -H 'Authorization: Bearer {TENANT_TOKEN}'
  curl http://{third}/v1/files/OUTPUT_FILE_ID/content -H 'Authorization: Bearer {TENANT_TOKEN}'

An operator statement:
  SWIFTSHUNT_TOKEN={OPERATOR_TOKEN} cargo run -q --bin swiftshunt -- ctl --node {first} "show partitions"

Press Ctrl-C to stop."#
    );
}
