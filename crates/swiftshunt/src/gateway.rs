//! The `swiftshunt gateway` command, which runs a gateway process.

use std::process::ExitCode;
use std::sync::Arc;

use argh::FromArgs;
use serde_json::json;
use swiftshunt_config::LogLevel;
use swiftshunt_gateway::{Gateway, GatewaySettings};
use swiftshunt_platform::{PlatformLog, PlatformProtocol};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{EXIT_USAGE, fail, logging, runtime};

/// run a gateway for the workers of a platform that stores the configuration, the worker directory
/// and the job journal in its log
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "gateway",
    example = "{command_name} --config examples/gateway.toml"
)]
pub(crate) struct GatewayArguments {
    /// path of the gateway's settings file
    #[argh(option)]
    config: String,
    /// minimum level of log lines: error, warn, info, debug or trace
    #[argh(option, default = "LogLevel::Info")]
    log_level: LogLevel,
}

pub(crate) fn run(arguments: &GatewayArguments) -> ExitCode {
    let settings = match GatewaySettings::load(&arguments.config) {
        Ok(settings) => settings,
        Err(error) => return fail(EXIT_USAGE, error),
    };
    if let Err(error) = logging::start_buffered(arguments.log_level) {
        return fail(EXIT_USAGE, error);
    }
    logging::set_node(settings.name.clone());
    match runtime() {
        Ok(runtime) => runtime.block_on(serve(arguments, settings)),
        Err(error) => fail(EXIT_USAGE, error),
    }
}

/// The signals that a gateway handles: SIGINT and SIGTERM stop it, SIGHUP validates its settings file.
struct Signals {
    interrupt: Signal,
    terminate: Signal,
    hang_up: Signal,
}

impl Signals {
    fn listen() -> std::io::Result<Self> {
        Ok(Self {
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }
}

async fn serve(arguments: &GatewayArguments, settings: GatewaySettings) -> ExitCode {
    let mut signals = match Signals::listen() {
        Ok(signals) => signals,
        Err(error) => return fail(EXIT_USAGE, error),
    };
    let log = PlatformLog::new(settings.log.address, settings.log.call_timeout);
    let started = Gateway::start(settings, Arc::new(PlatformProtocol), Arc::new(log)).await;
    let gateway = match started {
        Ok(gateway) => gateway,
        Err(error) => return fail(EXIT_USAGE, error),
    };
    let line = json!({
        "event": "listening",
        "callers": gateway.callers_address(),
        "ready": gateway.ready_address(),
        "peers": gateway.peers_address(),
    });
    println!("{line}");
    loop {
        tokio::select! {
            _ = signals.interrupt.recv() => break,
            _ = signals.terminate.recv() => break,
            _ = signals.hang_up.recv() => validate_changed_settings(arguments),
        }
    }
    gateway.stop().await;
    logging::flush();
    ExitCode::SUCCESS
}

/// Validates the settings file without applying it: addresses and zone of a running process are fixed,
/// but an error in the file is then logged before the next start fails on it.
fn validate_changed_settings(arguments: &GatewayArguments) {
    match GatewaySettings::load(&arguments.config) {
        Ok(_) => log::info!("settings file is valid; changes take effect at the next start"),
        Err(error) => log::error!("settings file is invalid; the next start would fail: {error}"),
    }
}
