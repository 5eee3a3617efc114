//! Helpers shared by the process tests of the gateway.
#![allow(dead_code)] // Each test program uses only some of these helpers.

pub mod raw_worker;
pub mod taken_up_streams;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::path::Path;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use swiftshunt_lab::platform::caller::item_id;
use swiftshunt_lab::platform::fleet::{BATCH, PlatformFleet, PlatformOptions, eventually};
use swiftshunt_lab::platform::store::{StoreFaults, StoreOutage};
use swiftshunt_lab::platform::worker::event_data;
use swiftshunt_platform::documents::ResultDocument;
use swiftshunt_platform::words::values;
use tokio::sync::{Mutex, MutexGuard};

/// Runs one fleet at a time: the tests have time limits that fail on an overloaded machine.
static ONE_FLEET: Mutex<()> = Mutex::const_new(());

/// A fleet that holds the lock until it is dropped, so that no other test of this program runs a fleet.
pub struct ExclusiveFleet {
    fleet: PlatformFleet,
    _guard: MutexGuard<'static, ()>,
}

impl Deref for ExclusiveFleet {
    type Target = PlatformFleet;

    fn deref(&self) -> &PlatformFleet {
        &self.fleet
    }
}

impl DerefMut for ExclusiveFleet {
    fn deref_mut(&mut self) -> &mut PlatformFleet {
        &mut self.fleet
    }
}

/// Waits for its turn and starts gateway processes with simulated workers and a simulated platform log.
pub async fn start(options: PlatformOptions) -> ExclusiveFleet {
    let guard = ONE_FLEET.lock().await;
    let binary = Path::new(env!("CARGO_BIN_EXE_swiftshunt"));
    let scratch = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let fleet = PlatformFleet::start(binary, scratch, options).await;
    let fleet = fleet.expect("the fleet did not start");
    println!("logs: {}", fleet.log_directory().display());
    ExclusiveFleet {
        fleet,
        _guard: guard,
    }
}

/// Returns the faults of a platform log that accepts connections and never answers.
pub fn unresponsive_log() -> StoreFaults {
    StoreFaults {
        outage: Some(StoreOutage::Unresponsive),
        ..StoreFaults::default()
    }
}

/// Asserts that a stream contains each of its events once and in order.
pub fn assert_all_events(body: &[u8], id: &str, events: u64) {
    let text = String::from_utf8_lossy(body);
    let expected: String = (0..events)
        .map(|event| format!("id: {event}\ndata: {}\n\n", event_data(id, event)))
        .collect();
    assert_eq!(text, expected);
}

/// Returns the expected output of a completed item.
pub fn expected_output(item: &str, events: u64) -> String {
    let pieces: Vec<String> = (0..events).map(|event| event_data(item, event)).collect();
    pieces.join("\n")
}

/// Number of events of an item or stream by default.
pub const EVENTS: u64 = 8;
/// Wait time of a query for results that is answered immediately.
pub const NO_WAIT: Duration = Duration::ZERO;

/// Returns the results that a gateway lists for a job; empty if the query fails.
pub async fn listed_results(
    fleet: &ExclusiveFleet,
    gateway: SocketAddr,
    job: &str,
) -> Vec<ResultDocument> {
    let answer = fleet.caller.results(gateway, job, 0, NO_WAIT).await;
    let Ok((StatusCode::OK, document)) = answer else {
        return Vec::new();
    };
    document.results
}

/// Waits until a gateway lists a result for each item of a job.
pub async fn wait_for_all_results(
    fleet: &ExclusiveFleet,
    gateway: SocketAddr,
    job: &str,
    items: usize,
) {
    eventually("every item has a result", || async {
        listed_results(fleet, gateway, job).await.len() == items
    })
    .await;
}

/// Asserts that the results contain each item of the job, completed with its whole output.
pub fn assert_completed(results: &[ResultDocument], job: &str, items: usize) {
    let by_item: BTreeMap<&str, &ResultDocument> = results
        .iter()
        .map(|result| (result.id.as_str(), result))
        .collect();
    assert_eq!(by_item.len(), items, "wrong number of listed items");
    for item in 0..items {
        let id = item_id(job, item);
        let result = by_item[id.as_str()];
        assert_eq!(result.state, values::COMPLETED);
        assert_eq!(result.text, expected_output(&id, EVENTS));
    }
}

/// Submits a job and asserts that it is accepted.
pub async fn submit(fleet: &ExclusiveFleet, gateway: SocketAddr, job: &str, items: usize) {
    let status = fleet.caller.submit(gateway, BATCH, job, items).await;
    assert_eq!(status.expect("no response"), StatusCode::ACCEPTED);
}

/// Kills all gateways, starts them again and waits until they are ready.
pub async fn restart_all_gateways(fleet: &mut ExclusiveFleet) {
    for gateway in &mut fleet.gateways {
        gateway.process.kill();
    }
    for index in 0..fleet.gateways.len() {
        let restarted = fleet.restart(index);
        restarted.expect("the gateway did not start");
    }
    for gateway in &fleet.gateways {
        let is_ready = || fleet.caller.is_ready(gateway.ready);
        eventually("the gateway is ready", is_ready).await;
    }
}

/// Returns the largest memory that a process has had, in KiB.
pub fn peak_memory(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.expect("the gateway has ended");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.and_then(|line| line.trim().strip_suffix(" kB"));
    let peak = number.and_then(|number| number.trim().parse().ok());
    peak.expect("no peak of the memory")
}

/// Replaces the workers of the service `engine` some time after they have crashed.
pub struct CrashedWorkerReplacer {
    delay: Duration,
    /// When each worker that is not replaced yet was found to have crashed.
    crashed_at: Vec<Option<Instant>>,
    replaced: usize,
}

impl CrashedWorkerReplacer {
    pub fn new(workers: usize, delay: Duration) -> Self {
        Self {
            delay,
            crashed_at: vec![None; workers],
            replaced: 0,
        }
    }

    /// Replaces the workers whose delay is over. To be called often.
    pub async fn replace_crashed(&mut self, fleet: &mut ExclusiveFleet) {
        for index in 0..self.crashed_at.len() {
            if !fleet.engine_workers[index].has_crashed() {
                continue;
            }
            let crashed_at = *self.crashed_at[index].get_or_insert_with(Instant::now);
            if crashed_at.elapsed() >= self.delay {
                self.replaced += 1;
                let incarnation = format!("engine-{index}-{}", self.replaced);
                let replaced = fleet.replace_engine_worker(index, &incarnation);
                replaced.await.expect("the worker did not start");
                self.crashed_at[index] = None;
            }
        }
    }
}

/// Returns the number of workers of the service `engine` that have crashed, replaced or not.
pub fn crashed_engine_workers(fleet: &ExclusiveFleet) -> usize {
    let running = fleet.engine_workers.iter();
    running.filter(|worker| worker.has_crashed()).count() + fleet.replaced_workers.len()
}
