//! The swiftshunt command line.

mod check;
mod control;
mod evacuation;
mod explain;
mod gateway;
mod logging;
mod publish;
mod serve;

use std::process::ExitCode;

use argh::FromArgs;

/// Serving system for online and batch inference on one shared fleet.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Node(serve::NodeArguments),
    Gateway(gateway::GatewayArguments),
    CheckConfig(check::CheckArguments),
    Ctl(control::ControlArguments),
    Publish(publish::PublishArguments),
    Explain(explain::ExplainArguments),
}

/// Exit code when settings or arguments are wrong.
const EXIT_USAGE: u8 = 2;
/// Exit code when a node refused what was asked.
const EXIT_REFUSED: u8 = 1;
/// Exit code when no node could be reached.
const EXIT_UNREACHABLE: u8 = 3;

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Node(arguments) => serve::run(&arguments),
        Command::Gateway(arguments) => gateway::run(&arguments),
        Command::CheckConfig(arguments) => check::run(&arguments),
        Command::Ctl(arguments) => control::run(&arguments),
        Command::Publish(arguments) => publish::run(&arguments),
        Command::Explain(arguments) => explain::run(&arguments),
    }
}

/// A runtime for a short-lived command.
fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}

/// Reports an error and gives its exit code.
fn fail(code: u8, message: impl std::fmt::Display) -> ExitCode {
    eprintln!("swiftshunt: {message}");
    ExitCode::from(code)
}
