//! The store's and a worker's stand-in as processes of their own.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use argh::FromArgs;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::server::any_port;
use super::store::Store;
use super::worker::{Run, RunEvent, Worker, WorkerSettings};

/// run a stand-in of the platform's store
#[derive(FromArgs)]
#[argh(subcommand, name = "platform-store")]
pub struct StoreArguments {
    /// addresses to listen on, each with faults of its own
    #[argh(option, long = "doors", default = "1")]
    listeners: usize,
    /// partitions of each topic
    #[argh(option, default = "4")]
    partitions: u32,
    /// decides which answers are lost
    #[argh(option, default = "1")]
    seed: u64,
}

/// run a stand-in of a worker in the platform's protocol; each run is a line on standard output
#[derive(FromArgs)]
#[argh(subcommand, name = "platform-worker")]
pub struct WorkerArguments {
    /// where to listen
    #[argh(option, default = "any_port()")]
    listen: SocketAddr,
    /// its incarnation
    #[argh(option)]
    incarnation: String,
    /// requests at once
    #[argh(option, default = "16")]
    slots: usize,
    /// events of a stream; whole answers if left out
    #[argh(option)]
    events: Option<u64>,
    /// time before a whole answer and between events, in milliseconds
    #[argh(option, default = "10")]
    pause_ms: u64,
}

/// A line about a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunLine {
    /// What happened.
    pub run: RunEvent,
    /// The worker.
    pub incarnation: String,
    /// The request.
    pub id: String,
    /// Its path.
    pub path: String,
    /// When, in milliseconds of the time of day.
    pub at: u64,
}

/// Milliseconds of the time of day: the clock that processes of one machine share.
pub fn time_of_day_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Runs the store until the process is ended.
pub async fn run_store(arguments: &StoreArguments) -> std::io::Result<()> {
    let store = Store::new(arguments.partitions, arguments.seed);
    let mut listeners = Vec::new();
    for _ in 0..arguments.listeners {
        listeners.push(store.open_listener().await?.address.to_string());
    }
    announce(&json!({ "event": "listening", "doors": listeners.join(",") }));
    std::future::pending().await
}

/// Runs a worker until the process is ended.
pub async fn run_worker(arguments: WorkerArguments) -> std::io::Result<()> {
    let incarnation = arguments.incarnation.clone();
    let settings = WorkerSettings {
        incarnation: arguments.incarnation,
        slots: arguments.slots,
        events: arguments.events,
        answer_delay: Duration::from_millis(arguments.pause_ms),
        crash_on_body: None,
        started_unix_ms: None,
        zone: "zone-a".to_owned(),
    };
    let report_run = move |event: RunEvent, run: &Run| {
        let line = RunLine {
            run: event,
            incarnation: incarnation.clone(),
            id: run.id.clone(),
            path: run.path.clone(),
            at: time_of_day_ms(),
        };
        announce(&json!(line));
    };
    let worker = Worker::start_watched(arguments.listen, settings, Arc::new(report_run)).await?;
    announce(&json!({ "event": "listening", "address": worker.address.to_string() }));
    std::future::pending().await
}

/// Writes a line. Whoever reads it may be gone before this process is.
fn announce(line: &serde_json::Value) {
    let mut output = std::io::stdout().lock();
    drop(writeln!(output, "{line}").and_then(|()| output.flush()));
}
