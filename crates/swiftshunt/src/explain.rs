//! `swiftshunt explain`: one timeline of a request, a job or an item from the logs of many processes.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::process::ExitCode;

use argh::FromArgs;
use derive_more::{Display, Error};
use serde_json::{Map, Value};

use crate::{EXIT_REFUSED, EXIT_USAGE, fail};

/// tell what became of a request, a job, an item or a worker: every line that names it, of all the
/// processes whose logs are given, in the order of time, and what decided its end
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
    /// a saved log; may be given more than once
    #[argh(option, long = "logs")]
    logs: Vec<String>,
}

/// Fields that name what a line is about.
const NAMING_FIELDS: [&str; 5] = ["request", "job", "item", "worker", "member"];
/// Fields that are shown before the others or not at all.
const SHOWN_APART: [&str; 5] = ["time", "node", "level", "message", "target"];

/// Why a log was not read.
#[derive(Debug, Display, Error)]
#[display("{file}: {source}")]
struct UnreadableLog {
    file: String,
    source: std::io::Error,
}

/// A line of a log.
struct Line(Map<String, Value>);

impl Line {
    /// Reads a line; whatever stands before the object (a collector's time, say) is passed over.
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

    /// The other fields, in the order of their names.
    fn details(&self) -> String {
        let others = self
            .0
            .iter()
            .filter(|(field, _)| !SHOWN_APART.contains(&field.as_str()));
        let shown = others.map(|(field, value)| match value {
            Value::String(text) => format!("{field}={text}"),
            value => format!("{field}={value}"),
        });
        shown.collect::<Vec<_>>().join(" ")
    }

    fn shown(&self) -> String {
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
    // Times of one form sort as texts do; lines of one time stay as they were written.
    lines.sort_by(|one, other| one.text("time").cmp(other.text("time")));
    let told = explain(&arguments.id, &lines);
    if told.is_empty() {
        let reason = format!("no line names `{}`", arguments.id);
        return fail(EXIT_REFUSED, reason);
    }
    // A reader that goes away early has seen what it wanted.
    drop(std::io::stdout().write_all(told.as_bytes()));
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

/// The timeline and a sentence on the cause; empty if nothing names `id`.
fn explain(id: &str, lines: &[Line]) -> String {
    let about: Vec<&Line> = lines.iter().filter(|line| line.names(id)).collect();
    let (Some(first), Some(last)) = (about.first(), about.last()) else {
        return String::new();
    };
    let mut told = String::new();
    for line in &about {
        told.push_str(&line.shown());
        told.push('\n');
    }
    let workers = workers_of(&about);
    let nearby = nearby(id, lines, &workers, first, last);
    if !nearby.is_empty() {
        told.push_str("meanwhile:\n");
    }
    for line in nearby {
        told.push_str(&format!("  {}\n", line.shown()));
    }
    told.push_str(&format!("cause: {}\n", cause(&about)));
    told
}

/// The workers that the lines name.
fn workers_of<'l>(about: &[&'l Line]) -> Vec<&'l str> {
    let mut workers: Vec<&str> = about.iter().map(|line| line.text("worker")).collect();
    workers.sort_unstable();
    workers.dedup();
    workers.retain(|worker| !worker.is_empty());
    workers
}

/// What became known of the same workers, and of the log, between the first line and the last.
fn nearby<'l>(
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
    let matters = between.filter(|line| {
        let of_worker = workers.iter().any(|worker| line.shown().contains(worker));
        let message = line.text("message");
        let of_belief = message.starts_with("worker") && of_worker;
        let of_log = message.starts_with("the log") && nodes.contains(&line.text("node"));
        of_belief || of_log || message == "leases changed" && nodes.contains(&line.text("node"))
    });
    matters.collect()
}

/// What decided the end, by the last line that tells an end.
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
                format!("its stream came whole, late by a pause, {}", line.details())
            }
            "an item is given up" => format!("the item was given up: {}", line.text("reason")),
            "a job was ended" => "the job was ended by a caller".to_owned(),
            "the caller left before the answer" => "the caller left first".to_owned(),
            "a stream broke off" => "its stream broke off midway".to_owned(),
            _ => return None,
        };
        Some(end)
    });
    let end = end.unwrap_or_else(|| "no line tells an end: it went well or goes on".to_owned());
    end + &sends
}
