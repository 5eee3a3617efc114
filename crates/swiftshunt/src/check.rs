//! The `swiftshunt check-config` command, which validates a settings file or a fleet configuration.

use std::process::ExitCode;

use argh::FromArgs;
use swiftshunt_config::{load_settings, parse_fleet_configuration};
use swiftshunt_gateway::GatewaySettings;

use crate::{EXIT_USAGE, fail};

/// validate a node's settings file, a gateway's settings file (--gateway) or a fleet
/// configuration (--fleet), and report the first error
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "check-config",
    example = "{command_name} examples/stolnica-node.toml",
    example = "{command_name} --fleet examples/stolnica-fleet.toml",
    example = "{command_name} --gateway examples/gateway.toml"
)]
pub(crate) struct CheckArguments {
    /// the file to check
    #[argh(positional)]
    file: String,
    /// the file is a fleet configuration, not a settings file
    #[argh(switch)]
    fleet: bool,
    /// the file is a gateway's settings file
    #[argh(switch)]
    gateway: bool,
}

pub(crate) fn run(arguments: &CheckArguments) -> ExitCode {
    let file = arguments.file.as_str();
    if arguments.gateway {
        return match GatewaySettings::load(file) {
            Ok(_) => report_valid(file),
            Err(error) => fail(EXIT_USAGE, error),
        };
    }
    let checked = if arguments.fleet {
        match std::fs::read_to_string(file) {
            Ok(text) => parse_fleet_configuration(file, &text).map(|_| ()),
            Err(error) => return fail(EXIT_USAGE, format!("{file}: cannot be read: {error}")),
        }
    } else {
        load_settings(file).map(|_| ())
    };
    match checked {
        Ok(()) => report_valid(file),
        Err(error) => fail(EXIT_USAGE, error),
    }
}

fn report_valid(file: &str) -> ExitCode {
    println!("{file}: ok");
    ExitCode::SUCCESS
}
