//! The `swiftshunt explain` command, which merges the logs of several processes into one timeline of a
//! request, job, item or worker.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::process::ExitCode;

use argh::FromArgs;
use derive_more::{Display, Error};
use serde_json::{Map, Value};

use crate::{EXIT_REFUSED, EXIT_USAGE, fail};

/// print a timeline of a request, job, item or worker: each line of the given logs that names it,
/// ordered by time, and the cause of its end
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "{command_name} 7c41e09b52d6a3f8 --logs gateway-1.log --logs gateway-2.log"
)]
pub(crate) struct ExplainArguments {
    /// identifier of the request, job, item or worker
    #[argh(positional)]
    id: String,
    /// path of a saved log; may be given more than once
    #[argh(option, long = "logs")]
    logs: Vec<String>,
}

/// Log fields that hold the identifier of what a line is about.
const NAMING_FIELDS: [&str; 5] = ["request", "job", "item", "worker", "member"];
/// Log fields that `details` leaves out: the line's text begins with some of them, and omits the others.
const NOT_IN_DETAILS: [&str; 5] = ["time", "node", "level", "message", "target"];

/// A log file that could not be opened or read.
#[derive(Debug, Display, Error)]
#[display("{file}: {source}")]
struct UnreadableLog {
    file: String,
    source: std::io::Error,
}

/// The JSON object of one log line.
struct Line(Map<String, Value>);

impl Line {
    /// Parses a line and ignores any prefix before the JSON object, such as a log collector's timestamp.
    /// Returns `None` if the line holds no such object.
    fn parse(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        serde_json::from_str(object).ok().map(Self)
    }

    fn text(&self, field: &str) -> &str {
        self.0.get(field).and_then(Value::as_str).unwrap_or("")
    }

    fn names(&self, id: &str) -> bool {
        NAMING_FIELDS.iter().any(|field| self.text(field) == id)
    }

    /// Formats the fields that are not in `NOT_IN_DETAILS` as `name=value`, ordered by name.
    fn details(&self) -> String {
        let others = self
            .0
            .iter()
            .filter(|(field, _)| !NOT_IN_DETAILS.contains(&field.as_str()));
        let formatted = others.map(|(field, value)| match value {
            Value::String(text) => format!("{field}={text}"),
            value => format!("{field}={value}"),
        });
        formatted.collect::<Vec<_>>().join(" ")
    }

    fn to_text(&self) -> String {
        format!(
            "{} {} {} {}",
            self.text("time"),
            self.text("node"),
            self.text("message"),
            self.details()
        )
    }
}

pub(crate) fn run(arguments: &ExplainArguments) -> ExitCode {
    if arguments.logs.is_empty() {
        return fail(EXIT_USAGE, "--logs: name at least one saved log");
    }
    let mut lines = Vec::new();
    for file in &arguments.logs {
        match read(file) {
            Ok(read) => lines.extend(read),
            Err(error) => return fail(EXIT_USAGE, error),
        }
    }
    // All processes write times in the same fixed-width format, so they sort as strings. The sort is
    // stable: lines with equal times keep their order in the files.
    lines.sort_by(|one, other| one.text("time").cmp(other.text("time")));
    let report = explain(&arguments.id, &lines);
    if report.is_empty() {
        let reason = format!("no line names `{}`", arguments.id);
        return fail(EXIT_REFUSED, reason);
    }
    // A write fails when the reader of a pipe closes it early (`| head`), which is not an error here.
    drop(std::io::stdout().write_all(report.as_bytes()));
    ExitCode::SUCCESS
}

fn read(file: &str) -> Result<Vec<Line>, UnreadableLog> {
    let unreadable = |source| UnreadableLog {
        file: file.to_owned(),
        source,
    };
    let mut lines = Vec::new();
    for text in BufReader::new(File::open(file).map_err(unreadable)?).lines() {
        lines.extend(Line::parse(&text.map_err(unreadable)?));
    }
    Ok(lines)
}

/// Returns the timeline of `id` with a line on the cause of its end; empty if no line names `id`.
fn explain(id: &str, lines: &[Line]) -> String {
    let about: Vec<&Line> = lines.iter().filter(|line| line.names(id)).collect();
    let (Some(first), Some(last)) = (about.first(), about.last()) else {
        return String::new();
    };
    let mut report = String::new();
    for line in &about {
        report.push_str(&line.to_text());
        report.push('\n');
    }
    let workers = workers_of(&about);
    let related_lines = related_lines(id, lines, &workers, first, last);
    if !related_lines.is_empty() {
        report.push_str("meanwhile:\n");
    }
    for line in related_lines {
        report.push_str(&format!("  {}\n", line.to_text()));
    }
    report.push_str(&format!("cause: {}\n", cause(&about)));
    report
}

/// Returns the distinct workers that the lines name, sorted.
fn workers_of<'l>(about: &[&'l Line]) -> Vec<&'l str> {
    let mut workers: Vec<&str> = about.iter().map(|line| line.text("worker")).collect();
    workers.sort_unstable();
    workers.dedup();
    workers.retain(|worker| !worker.is_empty());
    workers
}

/// Returns related lines with times between `first` and `last`: messages that begin with "worker" and
/// mention one of `workers`, and messages about the log or the leases from the nodes that wrote `first`
/// and `last`.
fn related_lines<'l>(
    id: &str,
    lines: &'l [Line],
    workers: &[&str],
    first: &Line,
    last: &Line,
) -> Vec<&'l Line> {
    let nodes = [first.text("node"), last.text("node")];
    let between = lines.iter().filter(|line| {
        let time = line.text("time");
        time >= first.text("time") && time <= last.text("time") && !line.names(id)
    });
    let related = between.filter(|line| {
        let mentions_worker = workers.iter().any(|worker| line.to_text().contains(worker));
        let message = line.text("message");
        let is_worker_event = message.starts_with("worker") && mentions_worker;
        let is_log_event = message.starts_with("the log") && nodes.contains(&line.text("node"));
        is_worker_event
            || is_log_event
            || message == "leases changed" && nodes.contains(&line.text("node"))
    });
    related.collect()
}

/// Describes how the request, job or item ended, by the last line that reports an end, and lists the failed
/// sends.
fn cause(about: &[&Line]) -> String {
    let failures = about
        .iter()
        .filter(|line| line.text("message") == "a send failed")
        .map(|line| format!("{} at {}", line.text("failure"), line.text("worker")));
    let failures: Vec<String> = failures.collect();
    let sends = if failures.is_empty() {
        String::new()
    } else {
        format!(" after failed sends: {}", failures.join("; "))
    };
    let end = about.iter().rev().find_map(|line| {
        let end = match line.text("message") {
            "given up" => format!("it was given up, since {}", line.text("reason")),
            "answered" => format!("it was answered, {}", line.details()),
            "a stream paused for longer than its route allows" => {
                format!(
                    "its stream arrived complete but late because of a pause, {}",
                    line.details()
                )
            }
            "an item is given up" => format!("the item was given up: {}", line.text("reason")),
            "a job was ended" => "the job was ended by a caller".to_owned(),
            "the caller left before the answer" => {
                "the caller disconnected before the response".to_owned()
            }
            "a stream broke off" => "its stream broke off before its end".to_owned(),
            _ => return None,
        };
        Some(end)
    });
    let end = end.unwrap_or_else(|| {
        "no line reports an end: it completed or is still in progress".to_owned()
    });
    end + &sends
}
