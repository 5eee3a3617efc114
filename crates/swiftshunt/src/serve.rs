//! The `swiftshunt node` command, which runs a node process.

use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;
use serde_json::json;
use swiftshunt_config::{ConfigError, LogLevel, Settings, load_settings};
use swiftshunt_node::{RunningNode, start};
use tokio::signal::unix::{SignalKind, signal};

use crate::{EXIT_USAGE, fail, logging};

/// run a node; flags override the values of the settings file
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "node",
    example = "{command_name} --config examples/stolnica-node.toml",
    example = "{command_name} --config node.toml --zone zg-b --api 10.0.0.7:8080"
)]
pub(crate) struct NodeArguments {
    /// path of the node's settings file
    #[argh(option)]
    config: String,
    /// the zone of this machine
    #[argh(option)]
    zone: Option<String>,
    /// listening address for callers and operators
    #[argh(option)]
    api: Option<SocketAddr>,
    /// listening address for other nodes
    #[argh(option)]
    peer: Option<SocketAddr>,
    /// caller address that other nodes are given
    #[argh(option)]
    advertise_api: Option<SocketAddr>,
    /// peer address that other nodes are given
    #[argh(option)]
    advertise_peer: Option<SocketAddr>,
    /// peer address of a node to join the fleet through, added to the seeds of the settings file; may be
    /// given more than once
    #[argh(option)]
    seed: Vec<SocketAddr>,
    /// minimum level of log lines: error, warn, info, debug or trace
    #[argh(option)]
    log_level: Option<LogLevel>,
}

impl NodeArguments {
    fn apply(&self, settings: &mut Settings) {
        if let Some(zone) = &self.zone {
            settings.zone = zone.as_str().into();
        }
        let listen = &mut settings.listen;
        listen.api = self.api.unwrap_or(listen.api);
        listen.peer = self.peer.unwrap_or(listen.peer);
        listen.advertise_api = self.advertise_api.or(listen.advertise_api);
        listen.advertise_peer = self.advertise_peer.or(listen.advertise_peer);
        settings.seeds.extend(&self.seed);
        settings.log.level = self.log_level.unwrap_or(settings.log.level);
    }

    fn settings(&self) -> Result<Settings, ConfigError> {
        let mut settings = load_settings(&self.config)?;
        self.apply(&mut settings);
        settings.validate(&format!("{} with flags", self.config))?;
        Ok(settings)
    }
}

pub(crate) fn run(arguments: &NodeArguments) -> ExitCode {
    let settings = match arguments.settings() {
        Ok(settings) => settings,
        Err(error) => return fail(EXIT_USAGE, error),
    };
    if let Err(error) = logging::start(settings.log.level) {
        return fail(EXIT_USAGE, error);
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => return fail(EXIT_USAGE, error),
    };
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> ExitCode {
    let node = match start(settings).await {
        Ok(node) => node,
        Err(error) => return fail(EXIT_USAGE, error),
    };
    logging::set_node(node.id().to_string());
    print_addresses(&node);
    let (interrupt, terminate) = match (
        signal(SignalKind::interrupt()),
        signal(SignalKind::terminate()),
    ) {
        (Ok(interrupt), Ok(terminate)) => (interrupt, terminate),
        (Err(error), _) | (_, Err(error)) => return fail(EXIT_USAGE, error),
    };
    wait_for_stop(&node, interrupt, terminate).await;
    node.stop().await;
    ExitCode::SUCCESS
}

/// Prints one line with the bound addresses to standard output, for callers that configured port 0.
fn print_addresses(node: &RunningNode) {
    let line = json!({
        "event": "listening",
        "node": node.id().to_string(),
        "api": node.api_address(),
        "peer": node.peer_address(),
    });
    println!("{line}");
}

async fn wait_for_stop(
    node: &RunningNode,
    mut interrupt: tokio::signal::unix::Signal,
    mut terminate: tokio::signal::unix::Signal,
) {
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
        () = node.wait_until_draining() => {}
    }
}
