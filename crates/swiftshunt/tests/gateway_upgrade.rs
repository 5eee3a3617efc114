//! Rolling upgrade: gateways of one build are replaced by those of another one after the other, while
//! requests, streams and jobs continue.
//!
//! `SWIFTSHUNT_OLD_PROGRAM` names the program of an earlier build; without one the build replaces itself.

mod gateway;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use gateway::{
    EVENTS, ExclusiveFleet, assert_all_events, assert_completed, listed_results, start, submit,
    wait_for_all_results,
};
use hyper::StatusCode;
use swiftshunt_lab::platform::caller::{PlatformCaller, item_id};
use swiftshunt_lab::platform::fleet::{ASK, ONCE, PlatformOptions, STREAM, STREAM_ONCE};
use tokio::task::JoinSet;

/// Environment variable with the path of an earlier build's program.
const OLD_PROGRAM: &str = "SWIFTSHUNT_OLD_PROGRAM";
/// Number of gateways; at first half of them run each build.
const GATEWAYS: usize = 4;
/// Number of callers of each route.
const CALLERS: usize = 4;
/// Time limit of a request.
const DEADLINE: Duration = Duration::from_secs(6);
/// Pause of a caller between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);
/// Time for which a mixture of builds serves before the next gateway is replaced.
const MIXED_BUILDS_TIME: Duration = Duration::from_millis(700);
/// Time between the moment when callers stop using a gateway and its SIGTERM.
const DRAIN_TIME: Duration = Duration::from_millis(50);
/// Pause between the events of a stream, so long that some streams are in progress whenever a gateway stops.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Number of items of a job.
const ITEMS: usize = 12;

/// State that the callers share.
#[derive(Default)]
struct Load {
    /// Addresses of the gateways that callers use.
    gateways: Mutex<Vec<SocketAddr>>,
    is_over: AtomicBool,
    /// Number of requests that were answered or failed.
    finished: AtomicUsize,
    /// Identifiers of the requests that may run at most once.
    once: Mutex<Vec<String>>,
    /// Descriptions of the requests that were not served.
    failures: Mutex<Vec<String>>,
}

impl Load {
    fn gateway(&self, turn: usize) -> SocketAddr {
        let gateways = self.gateways.lock().expect("a caller panicked");
        gateways[turn % gateways.len()]
    }

    fn record_failure(&self, description: String) {
        self.failures
            .lock()
            .expect("a caller panicked")
            .push(description);
    }

    /// Sends requests to a route, one after the other, until the load is over.
    async fn ask_repeatedly(
        self: Arc<Self>,
        caller: PlatformCaller,
        path: &'static str,
        number: usize,
    ) {
        for turn in 0.. {
            if self.is_over.load(Ordering::Relaxed) {
                return;
            }
            let id = format!("{}-{number}-{turn}", path.trim_matches('/'));
            let gateway = self.gateway(number + turn);
            if path == ONCE || path == STREAM_ONCE {
                self.once
                    .lock()
                    .expect("a caller panicked")
                    .push(id.clone());
            }
            match caller.ask(gateway, path, &id, DEADLINE).await {
                Ok(answer) if answer.status == StatusCode::OK => {
                    if path == STREAM || path == STREAM_ONCE {
                        assert_all_events(&answer.body, &id, EVENTS);
                    }
                }
                Ok(answer) => self.record_failure(format!("{id} at {gateway}: {}", answer.status)),
                Err(error) => self.record_failure(format!("{id} at {gateway}: {error}")),
            }
            self.finished.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    }
}

/// Replaces the gateways one by one by those of `program`. Returns the jobs that were submitted meanwhile.
async fn replace_all(fleet: &mut ExclusiveFleet, load: &Load, program: &Path) -> Vec<String> {
    let mut jobs = Vec::new();
    // Earlier builds do not know this kind of record or this zone.
    fleet.evacuate("zone-z");
    for index in 0..GATEWAYS {
        let leaving = fleet.gateways[index].callers;
        let job = format!("job-{index}");
        submit(fleet, leaving, &job, ITEMS).await;
        jobs.push(job);
        load.gateways
            .lock()
            .expect("a caller panicked")
            .retain(|gateway| *gateway != leaving);
        tokio::time::sleep(DRAIN_TIME).await;
        fleet
            .replace(index, program)
            .await
            .expect("the gateway did not start");
        let new = fleet.gateways[index].callers;
        load.gateways.lock().expect("a caller panicked").push(new);
        let job = format!("job-{index}-new");
        submit(fleet, new, &job, ITEMS).await;
        jobs.push(job);
        tokio::time::sleep(MIXED_BUILDS_TIME).await;
    }
    jobs
}

/// Asserts that all gateways list the complete results of the jobs.
async fn assert_jobs(fleet: &ExclusiveFleet, jobs: &[String]) {
    for job in jobs {
        for gateway in &fleet.gateways {
            wait_for_all_results(fleet, gateway.callers, job, ITEMS).await;
            assert_completed(
                &listed_results(fleet, gateway.callers, job).await,
                job,
                ITEMS,
            );
        }
        let runs: usize = (0..ITEMS)
            .map(|item| fleet.runs_of(&item_id(job, item)).len())
            .sum();
        println!("{job}: {runs} runs of {ITEMS} items");
    }
}

/// Starts half of the gateways from `before` and half from `after`, replaces all of them by `after` under load,
/// and asserts that all requests and jobs are served.
async fn replace_under_load(before: PathBuf, after: PathBuf) {
    let options = PlatformOptions {
        gateways: GATEWAYS,
        programs: vec![before, after.clone()],
        event_interval: EVENT_INTERVAL,
        ..PlatformOptions::default()
    };
    let mut fleet = start(options).await;
    let load = Arc::new(Load::default());
    let gateways = fleet.gateways.iter().map(|gateway| gateway.callers);
    load.gateways
        .lock()
        .expect("a caller panicked")
        .extend(gateways);
    let mut callers = JoinSet::new();
    for path in [ASK, ONCE, STREAM, STREAM_ONCE] {
        for number in 0..CALLERS {
            let asking = Arc::clone(&load).ask_repeatedly(fleet.caller.clone(), path, number);
            callers.spawn(asking);
        }
    }
    tokio::time::sleep(MIXED_BUILDS_TIME).await;
    let jobs = replace_all(&mut fleet, &load, &after).await;
    load.is_over.store(true, Ordering::Relaxed);
    while let Some(ended) = callers.join_next().await {
        ended.expect("a caller panicked");
    }
    println!("{} requests", load.finished.load(Ordering::Relaxed));
    assert_eq!(
        *load.failures.lock().expect("a caller panicked"),
        Vec::<String>::new()
    );
    for id in load.once.lock().expect("a caller panicked").iter() {
        assert_eq!(fleet.runs_of(id).len(), 1, "{id} did not run exactly once");
    }
    assert_jobs(&fleet, &jobs).await;
}

fn this_build() -> PathBuf {
    env!("CARGO_BIN_EXE_swiftshunt").into()
}

/// Returns the program of an earlier build, or `None` if the environment variable is not set.
fn earlier_build() -> Option<PathBuf> {
    let program = std::env::var_os(OLD_PROGRAM).map(PathBuf::from);
    if program.is_none() {
        println!("not run: {OLD_PROGRAM} names no earlier build");
    }
    program
}

#[tokio::test(flavor = "multi_thread")]
async fn gateways_are_replaced_by_their_own_build_under_load() {
    replace_under_load(this_build(), this_build()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateways_of_an_earlier_build_are_replaced_under_load() {
    if let Some(earlier) = earlier_build() {
        replace_under_load(earlier, this_build()).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn gateways_are_downgraded_to_an_earlier_build_under_load() {
    if let Some(earlier) = earlier_build() {
        replace_under_load(this_build(), earlier).await;
    }
}
