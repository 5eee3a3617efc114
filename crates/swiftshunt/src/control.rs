//! The `swiftshunt ctl` command, which runs operator statements from its arguments or from standard input.

use std::io::{BufRead, IsTerminal, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use serde_json::json;
use swiftshunt_http::{HttpClient, HttpError, HttpRequest, JSON};
use swiftshunt_query::{Table, parse};

use crate::{EXIT_REFUSED, EXIT_UNREACHABLE, EXIT_USAGE, fail, runtime};

/// send operator statements to a node
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "ctl",
    example = "{command_name} --node 127.0.0.1:8080 \"show nodes\"",
    example = "{command_name} --node 127.0.0.1:8080 --json \"show jobs where status = running order by deadline limit 5\"",
    example = "{command_name} --node 127.0.0.1:8080 \"cancel job batch_1f\"",
    note = "The token is read from SWIFTSHUNT_TOKEN unless --token is given.",
    error_code(1, "The node refused the statement."),
    error_code(2, "The statement or the arguments are wrong."),
    error_code(3, "The node cannot be reached.")
)]
pub(crate) struct ControlArguments {
    /// address of a node's caller interface
    #[argh(option)]
    node: SocketAddr,
    /// the operator's bearer token
    #[argh(option)]
    token: Option<String>,
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
    /// the statement; without one, statements are read from standard input
    #[argh(positional)]
    statement: Vec<String>,
}

/// Time limit of one statement, from sending it to the whole response.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Environment variable that holds the operator's bearer token.
pub(crate) const TOKEN_VARIABLE: &str = "SWIFTSHUNT_TOKEN";

/// Returns the operator's token from the flag or else from the environment; `None` if neither has one.
pub(crate) fn token(flag: Option<&String>) -> Option<String> {
    flag.cloned().or_else(|| std::env::var(TOKEN_VARIABLE).ok())
}

pub(crate) fn run(arguments: &ControlArguments) -> ExitCode {
    let Some(token) = token(arguments.token.as_ref()) else {
        return fail(
            EXIT_USAGE,
            format!("no token: give --token or set {TOKEN_VARIABLE}"),
        );
    };
    let runtime = match runtime() {
        Ok(runtime) => runtime,
        Err(error) => return fail(EXIT_USAGE, error),
    };
    let session = Session {
        client: HttpClient::new(None),
        node: arguments.node,
        token,
        json: arguments.json,
    };
    let statement = arguments.statement.join(" ");
    if statement.trim().is_empty() {
        return runtime.block_on(session.execute_input());
    }
    runtime.block_on(session.execute(&statement))
}

struct Session {
    client: HttpClient,
    node: SocketAddr,
    token: String,
    json: bool,
}

impl Session {
    /// Runs the statements of standard input, one per line. Returns the exit code of the last failed
    /// statement, or success if none failed.
    async fn execute_input(&self) -> ExitCode {
        let is_interactive = std::io::stdin().is_terminal();
        let mut code = ExitCode::SUCCESS;
        loop {
            if is_interactive {
                print!("swiftshunt> ");
                drop(std::io::stdout().flush());
            }
            let mut line = String::new();
            match std::io::stdin().lock().read_line(&mut line) {
                Ok(0) | Err(_) => return code,
                Ok(_) => {}
            }
            if line.trim().is_empty() {
                continue;
            }
            let outcome = self.execute(line.trim()).await;
            if outcome != ExitCode::SUCCESS {
                code = outcome;
            }
        }
    }

    async fn execute(&self, statement: &str) -> ExitCode {
        if let Err(error) = parse(statement) {
            eprintln!("{statement}");
            eprintln!("{:>1$}", "^", error.column);
            return fail(EXIT_USAGE, error);
        }
        match self.send(statement).await {
            Ok(table) => {
                self.print(&table);
                ExitCode::SUCCESS
            }
            Err(HttpError::Status { body, .. }) => fail(EXIT_REFUSED, message_of(&body)),
            Err(error) => fail(EXIT_UNREACHABLE, error),
        }
    }

    async fn send(&self, statement: &str) -> Result<Table, HttpError> {
        let body = json!({ "statement": statement }).to_string();
        let request = HttpRequest::post(self.node, "/v1/operator/statements", JSON, body)
            .with_header("authorization", format!("Bearer {}", self.token));
        let answer = self.client.expect_success(request, TIMEOUT).await?;
        serde_json::from_slice(&answer.body).map_err(|error| HttpError::Unreadable {
            address: self.node,
            reason: error.to_string(),
        })
    }

    fn print(&self, table: &Table) {
        if self.json {
            println!("{}", as_json(table));
        } else {
            print!("{}", as_text(table));
        }
    }
}

/// Returns the message in the JSON error of a response, or the whole body if it is not such an error.
pub(crate) fn message_of(body: &str) -> String {
    let parsed: Option<serde_json::Value> = serde_json::from_str(body).ok();
    let message = parsed.and_then(|value| Some(value["error"]["message"].as_str()?.to_owned()));
    message.unwrap_or_else(|| body.to_owned())
}

/// Returns an array with one object per row, keyed by column name.
fn as_json(table: &Table) -> serde_json::Value {
    let rows = table.rows.iter().map(|row| {
        let cells = table
            .columns
            .iter()
            .cloned()
            .zip(row.iter().map(|cell| json!(cell)));
        serde_json::Value::Object(cells.collect())
    });
    rows.collect()
}

/// Returns one line per row below a line of column names; each column is padded to its widest cell.
fn as_text(table: &Table) -> String {
    let mut lines = vec![table.columns.clone()];
    let rows = table.rows.iter();
    lines.extend(rows.map(|row| row.iter().map(ToString::to_string).collect()));
    let width = |column: usize| {
        let cells = lines.iter().map(|line| line[column].chars().count());
        cells.max().unwrap_or_default()
    };
    let widths: Vec<usize> = (0..table.columns.len()).map(width).collect();
    let mut text = String::new();
    for line in &lines {
        let cells = line.iter().zip(&widths);
        let padded: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        text.push_str(padded.join("  ").trim_end());
        text.push('\n');
    }
    text
}
