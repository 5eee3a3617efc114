//! Command line of the lab: stand-ins as processes, the quickstart, experiments and the soak test.

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
use swiftshunt_types::SoftwareVersion;

/// Run stand-ins, experiments and the soak test for swiftshunt.
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
    /// address to listen on
    #[argh(option, default = "any_loopback_port()")]
    listen: SocketAddr,
    /// largest number of requests in one step
    #[argh(option, default = "16")]
    slots: u32,
    /// fixed part of the duration of a step, in microseconds
    #[argh(option, default = "4000")]
    step_us: u64,
    /// age of the reported load, in milliseconds
    #[argh(option, default = "100")]
    report_lag_ms: u64,
    /// send every n-th event twice; 0 disables duplicates
    #[argh(option, default = "0")]
    duplicate_every: u32,
    /// address of the weight store from which ordered models are fetched; without it, they are served at once
    #[argh(option)]
    weights: Option<SocketAddr>,
    /// software version, which each token names; without it, tokens name none
    #[argh(option)]
    software: Option<String>,
    /// model that is loaded at the start (repeatable); without one, every model is served until an order loads one
    #[argh(option)]
    model: Vec<String>,
}

/// run a submission worker stand-in
#[derive(FromArgs)]
#[argh(subcommand, name = "submission-worker")]
struct WorkerArguments {
    /// address to listen on
    #[argh(option, default = "any_loopback_port()")]
    listen: SocketAddr,
    /// name of the worker in the journal
    #[argh(option)]
    name: String,
    /// address of the journal to which executions are written
    #[argh(option)]
    journal: SocketAddr,
    /// delay before each execution, in milliseconds
    #[argh(option, default = "0")]
    delay_ms: u64,
}

/// run a log service stand-in
#[derive(FromArgs)]
#[argh(subcommand, name = "log-service")]
struct LogArguments {
    /// address to listen on
    #[argh(option, default = "any_loopback_port()")]
    listen: SocketAddr,
}

/// run a machine list stand-in
#[derive(FromArgs)]
#[argh(subcommand, name = "machine-list")]
struct MachineListArguments {
    /// address to listen on
    #[argh(option, default = "any_loopback_port()")]
    listen: SocketAddr,
    /// lag with which an update of the list becomes visible, in milliseconds
    #[argh(option, default = "0")]
    lag_ms: u64,
}

/// run a weight store stand-in
#[derive(FromArgs)]
#[argh(subcommand, name = "weight-store")]
struct WeightStoreArguments {
    /// address to listen on
    #[argh(option, default = "any_loopback_port()")]
    listen: SocketAddr,
    /// size of each model, in bytes
    #[argh(option, default = "8000000000")]
    bytes: u64,
    /// rate that all transfers share, in bytes per second
    #[argh(option, default = "4000000000")]
    bytes_per_second: u64,
}

/// run the whole system in one process on loopback and print how to use it
#[derive(FromArgs)]
#[argh(subcommand, name = "quickstart")]
struct QuickstartArguments {
    /// instead, run gateways as processes, with stand-ins for the platform that their users run
    #[argh(switch)]
    platform: bool,
}

/// run a workload under several batch policies and write the results as JSON and a plot
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "experiment",
    example = "{command_name} examples/experiments/stolnica.toml"
)]
struct ExperimentArguments {
    /// file that describes the experiment (TOML)
    #[argh(positional)]
    file: String,
    /// directory in which the results are written
    #[argh(option, default = "PathBuf::from(\"target/experiments\")")]
    output: PathBuf,
}

fn any_loopback_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Exit status of a command that fails.
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

/// Announces the address of a stand-in and waits until its server stops.
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
            software: self.software.as_deref().map(SoftwareVersion::from),
            models: self.model.iter().map(|name| name.as_str().into()).collect(),
            ..EngineSettings::default()
        }
    }
}
