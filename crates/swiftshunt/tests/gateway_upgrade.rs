//! Two builds of the gateway side by side: the gateways of one are replaced by those of the other, one after the
//! other, while callers, streams and jobs go on.
//!
//! `SWIFTSHUNT_OLD_PROGRAM` names the program of an earlier build; without one the build replaces itself.

mod gateway;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use gateway::{
    EVENTS, ExclusiveFleet, assert_all_events, assert_completed, listed, start, submit, whole_job,
};
use hyper::StatusCode;
use swiftshunt_lab::platform::caller::{PlatformCaller, item_id};
use swiftshunt_lab::platform::fleet::{ASK, ONCE, PlatformOptions, STREAM, STREAM_ONCE};
use tokio::task::JoinSet;

/// Names the program of an earlier build.
const OLD_PROGRAM: &str = "SWIFTSHUNT_OLD_PROGRAM";
/// Gateways: half of each build at the beginning.
const GATEWAYS: usize = 4;
/// Callers of each route.
const CALLERS: usize = 4;
/// Time that a request has.
const DEADLINE: Duration = Duration::from_secs(6);
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(15);
/// Time for which a mixture of builds serves before the next gateway is replaced.
const SIDE_BY_SIDE: Duration = Duration::from_millis(700);
/// Time from which callers are sent to a gateway no more until it is told to stop.
const TAKEN_OUT: Duration = Duration::from_millis(50);
/// Pause between the events of a stream: so long that some are on their way whenever a gateway is told to stop.
const EVENT_PAUSE: Duration = Duration::from_millis(40);
/// Items of a job.
const ITEMS: usize = 12;

/// What callers use and see.
#[derive(Default)]
struct Load {
    /// Where callers are sent.
    gateways: Mutex<Vec<SocketAddr>>,
    is_over: AtomicBool,
    asked: AtomicUsize,
    /// Requests that may run once at most.
    once: Mutex<Vec<String>>,
    /// What was not served.
    failures: Mutex<Vec<String>>,
}

impl Load {
    fn gateway(&self, turn: usize) -> SocketAddr {
        let gateways = self.gateways.lock().expect("no panic");
        gateways[turn % gateways.len()]
    }

    fn failed(&self, what: String) {
        self.failures.lock().expect("no panic").push(what);
    }

    async fn ask_on(self: Arc<Self>, caller: PlatformCaller, path: &'static str, number: usize) {
        for turn in 0.. {
            if self.is_over.load(Ordering::Relaxed) {
                return;
            }
            let id = format!("{}-{number}-{turn}", path.trim_matches('/'));
            let gateway = self.gateway(number + turn);
            if path == ONCE || path == STREAM_ONCE {
                self.once.lock().expect("no panic").push(id.clone());
            }
            match caller.ask(gateway, path, &id, DEADLINE).await {
                Ok(answer) if answer.status == StatusCode::OK => {
                    if path == STREAM || path == STREAM_ONCE {
                        assert_all_events(&answer.body, &id, EVENTS);
                    }
                }
                Ok(answer) => self.failed(format!("{id} at {gateway}: {}", answer.status)),
                Err(error) => self.failed(format!("{id} at {gateway}: {error}")),
            }
            self.asked.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Replaces the gateways one by one by `program`; gives the jobs that were handed in meanwhile.
async fn replace_all(fleet: &mut ExclusiveFleet, load: &Load, program: &Path) -> Vec<String> {
    let mut jobs = Vec::new();
    // An earlier build does not know this record, nor the zone.
    fleet.evacuate("zone-z");
    for index in 0..GATEWAYS {
        let leaving = fleet.gateways[index].callers;
        let job = format!("job-{index}");
        submit(fleet, leaving, &job, ITEMS).await;
        jobs.push(job);
        load.gateways
            .lock()
            .expect("no panic")
            .retain(|gateway| *gateway != leaving);
        tokio::time::sleep(TAKEN_OUT).await;
        fleet.replace(index, program).await.expect("a gateway");
        let new = fleet.gateways[index].callers;
        load.gateways.lock().expect("no panic").push(new);
        let job = format!("job-{index}-new");
        submit(fleet, new, &job, ITEMS).await;
        jobs.push(job);
        tokio::time::sleep(SIDE_BY_SIDE).await;
    }
    jobs
}

async fn assert_jobs(fleet: &ExclusiveFleet, jobs: &[String]) {
    for job in jobs {
        for gateway in &fleet.gateways {
            whole_job(fleet, gateway.callers, job, ITEMS).await;
            assert_completed(&listed(fleet, gateway.callers, job).await, job, ITEMS);
        }
        let runs: usize = (0..ITEMS)
            .map(|item| fleet.runs_of(&item_id(job, item)).len())
            .sum();
        println!("{job}: {runs} runs of {ITEMS} items");
    }
}

/// Half of the gateways run `before`, half `after`; then all run `after`.
async fn replaced_under_load(before: PathBuf, after: PathBuf) {
    let options = PlatformOptions {
        gateways: GATEWAYS,
        programs: vec![before, after.clone()],
        event_pause: EVENT_PAUSE,
        ..PlatformOptions::default()
    };
    let mut fleet = start(options).await;
    let load = Arc::new(Load::default());
    let gateways = fleet.gateways.iter().map(|gateway| gateway.callers);
    load.gateways.lock().expect("no panic").extend(gateways);
    let mut callers = JoinSet::new();
    for path in [ASK, ONCE, STREAM, STREAM_ONCE] {
        for number in 0..CALLERS {
            let asking = Arc::clone(&load).ask_on(fleet.caller.clone(), path, number);
            callers.spawn(asking);
        }
    }
    tokio::time::sleep(SIDE_BY_SIDE).await;
    let jobs = replace_all(&mut fleet, &load, &after).await;
    load.is_over.store(true, Ordering::Relaxed);
    while let Some(ended) = callers.join_next().await {
        ended.expect("a caller whose answers are whole");
    }
    println!("{} requests", load.asked.load(Ordering::Relaxed));
    assert_eq!(
        *load.failures.lock().expect("no panic"),
        Vec::<String>::new()
    );
    for id in load.once.lock().expect("no panic").iter() {
        assert_eq!(fleet.runs_of(id).len(), 1, "{id}");
    }
    assert_jobs(&fleet, &jobs).await;
}

fn this_build() -> PathBuf {
    env!("CARGO_BIN_EXE_swiftshunt").into()
}

/// The program of an earlier build, if there is one.
fn earlier_build() -> Option<PathBuf> {
    let program = std::env::var_os(OLD_PROGRAM).map(PathBuf::from);
    if program.is_none() {
        println!("not run: {OLD_PROGRAM} names no earlier build");
    }
    program
}

#[tokio::test(flavor = "multi_thread")]
async fn gateways_are_replaced_by_their_own_build_under_load() {
    replaced_under_load(this_build(), this_build()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateways_of_an_earlier_build_are_replaced_under_load() {
    if let Some(earlier) = earlier_build() {
        replaced_under_load(earlier, this_build()).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn gateways_go_back_to_an_earlier_build_under_load() {
    if let Some(earlier) = earlier_build() {
        replaced_under_load(this_build(), earlier).await;
    }
}
