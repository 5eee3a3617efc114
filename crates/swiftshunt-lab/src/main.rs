//! The lab's command line: each stand-in as a process, and `quickstart`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use swiftshunt_backends::weights::WeightInfo;
use swiftshunt_http::BindError;
use swiftshunt_lab::engine::{self, EngineSettings};
use swiftshunt_lab::harness::Binaries;
use swiftshunt_lab::platform::process;
use swiftshunt_lab::stand_in::RunningStandIn;
use swiftshunt_lab::submission_worker::{self, Behaviour};
use swiftshunt_lab::{
    experiment, log_service, machine_list, platform, quickstart, soak, weight_store,
};

/// Stand-ins, load and experiments for swiftshunt.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Engine(EngineArguments),
    SubmissionWorker(WorkerArguments),
    LogService(LogArguments),
    MachineList(MachineListArguments),
    WeightStore(WeightStoreArguments),
    Quickstart(QuickstartArguments),
    Experiment(ExperimentArguments),
    PlatformStore(process::StoreArguments),
    PlatformWorker(process::WorkerArguments),
    Soak(soak::command::SoakArguments),
}

/// run an engine stand-in
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArguments {
    /// where to listen
    #[argh(option, default = "any_loopback_port()")]
    listen: SocketAddr,
    /// requests in one step
    #[argh(option, default = "16")]
    slots: u32,
    /// duration of a step, in microseconds
    #[argh(option, default = "4000")]
    step_us: u64,
    /// age of the reported load, in milliseconds
    #[argh(option, default = "100")]
    report_lag_ms: u64,
    /// each so-manieth event is sent twice; 0 for none
    #[argh(option, default = "0")]
    duplicate_every: u32,
    /// where weights of ordered models are fetched
    #[argh(option)]
    weights: Option<SocketAddr>,
    /// a loaded model; without one, every model is served
    #[argh(option)]
    model: Vec<String>,
}

/// run a submission worker stand-in
#[derive(FromArgs)]
#[argh(subcommand, name = "submission-worker")]
struct WorkerArguments {
    /// where to listen
    #[argh(option, default = "any_loopback_port()")]
    listen: SocketAddr,
    /// the worker's name in the journal
    #[argh(option)]
    name: String,
    /// where executions are written
    #[argh(option)]
    journal: SocketAddr,
    /// time before it acts, in milliseconds
    #[argh(option, default = "0")]
    delay_ms: u64,
}

/// run a log service stand-in
#[derive(FromArgs)]
#[argh(subcommand, name = "log-service")]
struct LogArguments {
    /// where to listen
    #[argh(option, default = "any_loopback_port()")]
    listen: SocketAddr,
}

/// run a machine list stand-in
#[derive(FromArgs)]
#[argh(subcommand, name = "machine-list")]
struct MachineListArguments {
    /// where to listen
    #[argh(option, default = "any_loopback_port()")]
    listen: SocketAddr,
    /// how far the list lags, in milliseconds
    #[argh(option, default = "0")]
    lag_ms: u64,
}

/// run a weight store stand-in
#[derive(FromArgs)]
#[argh(subcommand, name = "weight-store")]
struct WeightStoreArguments {
    /// where to listen
    #[argh(option, default = "any_loopback_port()")]
    listen: SocketAddr,
    /// size of each model, in bytes
    #[argh(option, default = "8000000000")]
    bytes: u64,
    /// rate of all deliveries together, in bytes a second
    #[argh(option, default = "4000000000")]
    bytes_per_second: u64,
}

/// run the whole system in one process on loopback and print how to use it
#[derive(FromArgs)]
#[argh(subcommand, name = "quickstart")]
struct QuickstartArguments {
    /// real gateways before stand-ins of the users' platform instead
    #[argh(switch)]
    platform: bool,
}

/// run a declared workload several ways and write results as JSON and a plot
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "experiment",
    example = "{command_name} examples/experiments/stolnica.toml"
)]
struct ExperimentArguments {
    /// the declaration
    #[argh(positional)]
    file: String,
    /// where results are written
    #[argh(option, default = "PathBuf::from(\"target/experiments\")")]
    output: PathBuf,
}

fn any_loopback_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Exit status when a stand-in cannot start.
const EXIT_FAILURE: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match run(arguments.command).await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("swiftshunt-lab: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

async fn run(command: Command) -> Result<ExitCode, Box<dyn std::error::Error>> {
    match command {
        Command::Engine(arguments) => {
            let started = engine::start(arguments.listen, arguments.settings()).await;
            serve_until_ended(started, "engine").await?;
        }
        Command::SubmissionWorker(arguments) => {
            let behaviour = Behaviour {
                delay_ms: arguments.delay_ms,
                ..Behaviour::default()
            };
            let WorkerArguments {
                listen,
                name,
                journal,
                ..
            } = arguments;
            let started = submission_worker::start(listen, name, journal, behaviour).await;
            serve_until_ended(started, "submission-worker").await?;
        }
        Command::LogService(arguments) => {
            serve_until_ended(log_service::start(arguments.listen).await, "log-service").await?;
        }
        Command::MachineList(arguments) => {
            let lag = Duration::from_millis(arguments.lag_ms);
            serve_until_ended(
                machine_list::start(arguments.listen, lag).await,
                "machine-list",
            )
            .await?;
        }
        Command::WeightStore(arguments) => {
            let info = WeightInfo {
                bytes: arguments.bytes,
                bytes_per_second: arguments.bytes_per_second,
            };
            serve_until_ended(
                weight_store::start(arguments.listen, info).await,
                "weight-store",
            )
            .await?;
        }
        Command::Quickstart(arguments) if arguments.platform => {
            platform::quickstart::run(&Binaries::beside_current_program()?).await?;
        }
        Command::Quickstart(_) => quickstart::run().await?,
        Command::Experiment(arguments) => {
            let plan = experiment::load_plan(&arguments.file)?;
            let report =
                experiment::run(plan, Binaries::beside_current_program()?, &arguments.output)
                    .await?;
            print!("{}", report.text());
        }
        Command::PlatformStore(arguments) => process::run_store(&arguments).await?,
        Command::PlatformWorker(arguments) => process::run_worker(arguments).await?,
        Command::Soak(arguments) => return Ok(soak::command::run(arguments).await?),
    }
    Ok(ExitCode::SUCCESS)
}

/// Announces a stand-in and stays until it ends.
async fn serve_until_ended<S>(
    started: Result<(RunningStandIn, S), BindError>,
    service: &str,
) -> Result<(), BindError> {
    let (mut running, _state) = started?;
    running.announce(service);
    running.ended().await;
    Ok(())
}

impl EngineArguments {
    fn settings(&self) -> EngineSettings {
        EngineSettings {
            slots: self.slots,
            step_base: Duration::from_micros(self.step_us),
            report_lag: Duration::from_millis(self.report_lag_ms),
            duplicate_event_interval: self.duplicate_every,
            weight_store: self.weights,
            models: self.model.iter().map(|name| name.as_str().into()).collect(),
            ..EngineSettings::default()
        }
    }
}
