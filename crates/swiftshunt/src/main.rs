//! The `swiftshunt` command line: argument parsing and dispatch to the commands.

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

/// Exit code when settings, arguments or a statement are invalid, or the process cannot start.
const EXIT_USAGE: u8 = 2;
/// Exit code when a node or the log refused the request, or no log line names the identifier.
const EXIT_REFUSED: u8 = 1;
/// Exit code when a node or the log could not be reached or gave no valid response.
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

/// Builds a single-threaded runtime, for the gateway and the short-lived commands.
fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}

/// Prints an error to standard error and returns `code` as the exit code.
fn fail(code: u8, message: impl std::fmt::Display) -> ExitCode {
    eprintln!("swiftshunt: {message}");
    ExitCode::from(code)
}
