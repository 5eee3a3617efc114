//! The stand-ins for the store and for a worker as separate processes.

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

/// run a stand-in for the platform's log store
#[derive(FromArgs)]
#[argh(subcommand, name = "platform-store")]
pub struct StoreArguments {
    /// number of addresses to listen on; faults are set for each of them separately
    #[argh(option, long = "doors", default = "1")]
    listeners: usize,
    /// number of partitions of each topic
    #[argh(option, default = "4")]
    partitions: u32,
    /// seed of the random faults of appends
    #[argh(option, default = "1")]
    seed: u64,
}

/// run a stand-in for a worker that speaks the platform's protocol; it prints a line for each event of a run
#[derive(FromArgs)]
#[argh(subcommand, name = "platform-worker")]
pub struct WorkerArguments {
    /// address to listen on
    #[argh(option, default = "any_port()")]
    listen: SocketAddr,
    /// the worker's incarnation
    #[argh(option)]
    incarnation: String,
    /// number of requests that run at the same time
    #[argh(option, default = "16")]
    slots: usize,
    /// number of events in a stream; without it, responses are not streamed
    #[argh(option)]
    events: Option<u64>,
    /// delay before a response that is not streamed, and before each event of a stream, in milliseconds
    #[argh(option, default = "10")]
    pause_ms: u64,
    /// delay before each event of a batch item, in milliseconds; by default that of streams
    #[argh(option)]
    item_pause_ms: Option<u64>,
}

/// A line on a worker's standard output about an event of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunLine {
    /// The event.
    pub run: RunEvent,
    /// Incarnation of the worker.
    pub incarnation: String,
    /// Identifier of the request.
    pub id: String,
    /// Path of the request.
    pub path: String,
    /// Time of the event, in milliseconds since the Unix epoch.
    pub at: u64,
}

/// Returns Unix time in milliseconds, so that times from several processes on one machine can be compared.
/// Returns 0 if the system clock is set before the epoch.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Runs the store stand-in until the process is ended. Prints its addresses first.
pub async fn run_store(arguments: &StoreArguments) -> std::io::Result<()> {
    let store = Store::new(arguments.partitions, arguments.seed);
    let mut listeners = Vec::new();
    for _ in 0..arguments.listeners {
        listeners.push(store.open_listener().await?.address.to_string());
    }
    announce(&json!({ "event": "listening", "doors": listeners.join(",") }));
    std::future::pending().await
}

/// Runs a worker stand-in until the process is ended. Prints its address first, then its runs.
pub async fn run_worker(arguments: WorkerArguments) -> std::io::Result<()> {
    let incarnation = arguments.incarnation.clone();
    let settings = WorkerSettings {
        incarnation: arguments.incarnation,
        slots: arguments.slots,
        events: arguments.events,
        answer_delay: Duration::from_millis(arguments.pause_ms),
        item_event_delay: arguments.item_pause_ms.map(Duration::from_millis),
        crash_on_body: None,
        crash_on_prompt_part: None,
        started_unix_ms: None,
        zone: "zone-a".to_owned(),
        software: None,
    };
    let report_run = move |event: RunEvent, run: &Run| {
        let line = RunLine {
            run: event,
            incarnation: incarnation.clone(),
            id: run.id.clone(),
            path: run.path.clone(),
            at: unix_ms(),
        };
        announce(&json!(line));
    };
    let worker = Worker::start_watched(arguments.listen, settings, Arc::new(report_run)).await?;
    announce(&json!({ "event": "listening", "address": worker.address.to_string() }));
    std::future::pending().await
}

/// Prints a line. Ignores errors, since the reader may exit before this process does.
fn announce(line: &serde_json::Value) {
    let mut output = std::io::stdout().lock();
    drop(writeln!(output, "{line}").and_then(|()| output.flush()));
}
