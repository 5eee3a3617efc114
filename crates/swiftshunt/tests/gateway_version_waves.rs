//! Streams that callers take up again and again while software versions, workers and gateways change under them.

mod gateway;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use gateway::{ExclusiveFleet, start};
use hyper::StatusCode;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use swiftshunt_lab::platform::caller::{PlatformCaller, TakeUp};
use swiftshunt_lab::platform::fleet::{PlatformOptions, STREAM, eventually, first_configuration};
use swiftshunt_lab::platform::worker::versions_in;
use swiftshunt_platform::words::values;
use test_case::test_case;

/// Number of events in a stream.
const EVENTS: u64 = 16;
/// Number of callers, each of which has one stream at a time.
const CALLERS: u64 = 8;
/// Number of attempts that take up one stream.
const MAX_TAKE_UPS: usize = 4;
/// Pause of a caller after an attempt without an answer or with a refusal.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Longest time that a caller waits for an attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);
/// Least share of the streams taken up that must go on, relative to the share of new streams that begin.
const MIN_CONTINUED_SHARE: f64 = 0.5;

fn options(gateways: usize, workers: usize) -> PlatformOptions {
    PlatformOptions {
        gateways,
        workers,
        events: EVENTS,
        event_interval: Duration::from_millis(20),
        software: vec!["v1".to_owned()],
        report_start_times: true,
        ..PlatformOptions::default()
    }
}

/// What became of the streams of the callers.
#[derive(Debug, Default)]
struct Counts {
    asked: usize,
    begun: usize,
    taken_up: usize,
    continued: usize,
    /// Streams that hold events of two versions.
    mixed: Vec<String>,
    /// Versions that made events.
    versions: BTreeSet<String>,
}

impl Counts {
    fn assert_kept(&self) {
        println!("{self:?}");
        assert!(self.mixed.is_empty(), "events of two versions: {self:?}");
        let begin = self.begun as f64 / self.asked.max(1) as f64;
        let go_on = self.continued as f64 / self.taken_up.max(1) as f64;
        assert!(
            self.taken_up >= 12,
            "too few streams were taken up: {self:?}"
        );
        assert!(
            go_on >= begin * MIN_CONTINUED_SHARE,
            "too few streams went on: {self:?}"
        );
    }
}

/// The addresses at which gateways serve callers now.
type Addresses = Arc<Mutex<Vec<SocketAddr>>>;

fn addresses(fleet: &ExclusiveFleet) -> Vec<SocketAddr> {
    fleet
        .gateways
        .iter()
        .map(|gateway| gateway.callers)
        .collect()
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().expect("a caller panicked")
}

/// Requests streams one after the other until `until`, closes each connection after a few events, and takes the stream
/// up at any gateway until it is complete.
async fn call(
    caller: PlatformCaller,
    gateways: Addresses,
    counts: Arc<Mutex<Counts>>,
    seed: u64,
    until: Instant,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let first_attempt = format!("c{seed}-s{number}");
        let mut text = Vec::new();
        let mut last_event = None;
        for attempt in 0..=MAX_TAKE_UPS {
            let gateway = lock(&gateways).choose(&mut random).copied();
            let gateway = gateway.expect("there is no gateway");
            let id = match attempt {
                0 => first_attempt.clone(),
                _ => format!("{first_attempt}-{attempt}"),
            };
            let take_up = last_event.map(|last_event| TakeUp {
                first_attempt: first_attempt.clone(),
                last_event,
            });
            let limit = match attempt {
                0 | 1 => random.random_range(2..6),
                _ => usize::MAX,
            };
            let read = caller.read_stream(gateway, STREAM, &id, take_up.as_ref(), limit);
            let part = tokio::time::timeout(ATTEMPT_TIMEOUT, read).await;
            let part = part.ok().and_then(Result::ok);
            let part = part.filter(|part| part.status == StatusCode::OK);
            let events = part.iter().flat_map(|part| &part.events);
            for (event, data) in events {
                assert_eq!(*event, last_event.map_or(0, |last| last + 1), "{id}");
                last_event = Some(*event);
                text.push(data.clone());
            }
            let is_complete = part.as_ref().is_some_and(|part| part.is_complete);
            if attempt == 0 {
                let mut counts = lock(&counts);
                counts.asked += 1;
                counts.begun += usize::from(last_event.is_some());
            }
            if last_event.is_none() || is_complete {
                break;
            }
            if part.is_none_or(|part| part.events.is_empty()) {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
        let text = text.join("\n");
        let mut counts = lock(&counts);
        if last_event.is_some() {
            counts.taken_up += 1;
            counts.continued += usize::from(last_event == Some(EVENTS - 1));
        }
        let versions: Vec<String> = versions_in(&text).into_iter().map(str::to_owned).collect();
        if versions.len() > 1 {
            counts.mixed.push(text);
        }
        counts.versions.extend(versions);
    }
}

/// Starts the callers, and returns their counts and the task that ends with them.
fn start_callers(
    fleet: &ExclusiveFleet,
    seed: u64,
    duration: Duration,
) -> (Addresses, Arc<Mutex<Counts>>, tokio::task::JoinHandle<()>) {
    println!("seed {seed}");
    let gateways = Arc::new(Mutex::new(addresses(fleet)));
    let counts = Arc::new(Mutex::new(Counts::default()));
    let until = Instant::now() + duration;
    let callers = (0..CALLERS).map(|index| {
        let seed = seed * CALLERS + index;
        let (gateways, counts) = (Arc::clone(&gateways), Arc::clone(&counts));
        call(fleet.caller.clone(), gateways, counts, seed, until)
    });
    let callers: Vec<_> = callers.map(tokio::spawn).collect();
    let task = tokio::spawn(async move {
        for caller in callers {
            caller.await.expect("a caller panicked");
        }
    });
    (gateways, counts, task)
}

async fn finish(counts: Arc<Mutex<Counts>>, callers: tokio::task::JoinHandle<()>) -> Counts {
    callers.await.expect("a caller panicked");
    std::mem::take(&mut lock(&counts))
}

/// Replaces a worker by one of another version, as a release does: the new one starts, the old one drains.
async fn release(fleet: &mut ExclusiveFleet, index: usize, software: &str) {
    let name = format!("engine-{index}-{software}");
    fleet
        .add_engine_worker(&name, software)
        .await
        .expect("the worker did not start");
    let old = &fleet.engine_workers[index];
    fleet.list(old, "engine", values::DRAINING);
}

#[derive(Clone, Copy)]
enum Trouble {
    KillOne,
    KillMost,
    Freeze,
}

#[test_case(Trouble::KillOne, 71; "one gateway at a time is killed")]
#[test_case(Trouble::KillMost, 72; "three of four gateways are killed")]
#[test_case(Trouble::Freeze, 73; "gateways are frozen")]
#[tokio::test(flavor = "multi_thread")]
async fn streams_stay_at_their_version_through_releases_and_lost_gateways(
    trouble: Trouble,
    seed: u64,
) {
    let mut fleet = start(options(4, 6)).await;
    let (gateways, counts, callers) = start_callers(&fleet, seed, Duration::from_secs(14));
    for (wave, software) in ["v2", "v3"].into_iter().enumerate() {
        for index in 0..4 {
            release(&mut fleet, wave * 4 + index, software).await;
            tokio::time::sleep(Duration::from_millis(600)).await;
            match trouble {
                Trouble::KillOne if index % 2 == 0 => {
                    fleet.restart(index).expect("the gateway did not start");
                }
                Trouble::KillMost if index == 2 => {
                    for gateway in 0..3 {
                        fleet.restart(gateway).expect("the gateway did not start");
                    }
                }
                Trouble::Freeze => {
                    fleet.gateways[index].process.pause();
                    tokio::time::sleep(Duration::from_millis(700)).await;
                    fleet.gateways[index].process.resume();
                }
                _ => {}
            }
            *lock(&gateways) = addresses(&fleet);
        }
    }
    let counts = finish(counts, callers).await;
    assert!(counts.versions.len() > 2, "{:?}", counts.versions);
    counts.assert_kept();
}

#[tokio::test(flavor = "multi_thread")]
async fn no_stream_joins_two_versions_while_all_gateways_are_lost_during_a_release() {
    let mut fleet = start(options(3, 4)).await;
    let (gateways, counts, callers) = start_callers(&fleet, 81, Duration::from_secs(12));
    for index in 0..3 {
        release(&mut fleet, index, "v2").await;
        tokio::time::sleep(Duration::from_millis(900)).await;
        for gateway in 0..3 {
            fleet.restart(gateway).expect("the gateway did not start");
        }
        *lock(&gateways) = addresses(&fleet);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
    let counts = finish(counts, callers).await;
    println!("{counts:?}");
    assert!(
        counts.mixed.is_empty(),
        "events of two versions: {counts:?}"
    );
    assert!(counts.versions.len() > 1, "{:?}", counts.versions);
}

/// The directory names the earlier life of a worker for a while after the worker has restarted with other software.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_a_restarted_worker_began_under_its_earlier_life_joins_no_other_version() {
    assert_unmixed_after_late_news(Duration::ZERO).await;
}

/// The same where the directory lists the later life only after seconds.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_begun_seconds_before_the_news_of_a_restart_joins_no_other_version() {
    assert_unmixed_after_late_news(Duration::from_secs(3)).await;
}

/// Begins streams at a worker that has restarted with other software, lists its new life after `news_delay`, and takes
/// the streams up.
async fn assert_unmixed_after_late_news(news_delay: Duration) {
    let mut fleet = start(options(3, 2)).await;
    let replaced = fleet.replace_engine_software(0, "v2").await;
    replaced.expect("the worker did not start");
    let streams = (0..30).map(|number| {
        let gateway = fleet.gateways[number % 3].callers;
        let id = format!("s{number}");
        let caller = fleet.caller.clone();
        async move {
            let read = caller.read_stream(gateway, STREAM, &id, None, 3).await;
            (id, read.expect("no response"))
        }
    });
    let streams = join_all(streams).await.into_iter();
    let begun = streams.filter(|(_, part)| versions_in(&part.text()).contains("v2"));
    let begun: Vec<_> = begun.collect();
    assert!(
        begun.len() > 5,
        "too few streams began at the restarted worker"
    );
    tokio::time::sleep(news_delay).await;
    fleet.list(&fleet.engine_workers[0], "engine", values::READY);
    // Gateways learn of the restart.
    tokio::time::sleep(Duration::from_millis(900)).await;
    for (number, (id, part)) in begun.iter().enumerate() {
        let gateway = fleet.gateways[(number + 1) % 3].callers;
        let taken_up = format!("t{number}");
        let take_up = part.take_up(id);
        let read =
            fleet
                .caller
                .read_stream(gateway, STREAM, &taken_up, take_up.as_ref(), usize::MAX);
        let rest = read.await.expect("no response");
        let text = format!("{}\n{}", part.text(), rest.text());
        assert_eq!(versions_in(&text).len(), 1, "{text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_route_moved_to_another_service_is_refused() {
    let mut fleet = start(options(2, 4)).await;
    let gateway = fleet.gateways[0].callers;
    let begun = fleet.caller.read_stream(gateway, STREAM, "s1", None, 3);
    let begun = begun.await.expect("no response");
    for worker in &fleet.engine_workers[2..] {
        fleet.list(worker, "moved", values::READY);
    }
    let mut configuration = first_configuration();
    for route in &mut configuration.routes {
        if route.path_prefix == STREAM {
            route.service = Some("moved".to_owned());
        }
    }
    let mut moved = configuration.services[1].clone();
    moved.name = "moved".to_owned();
    configuration.services.push(moved);
    fleet.configure(configuration);
    let caller = &fleet.caller;
    for gateway in &fleet.gateways {
        eventually("the route has moved", || async {
            let read = caller.read_stream(gateway.callers, STREAM, "n", None, 1);
            let runs = fleet.engine_workers[2..]
                .iter()
                .flat_map(|worker| worker.runs());
            let runs = runs.filter(|run| run.id == "n").count();
            read.await.is_ok() && runs > 0
        })
        .await;
    }
    for gateway in &fleet.gateways {
        let take_up = begun.take_up("s1");
        let rest = caller.read_stream(gateway.callers, STREAM, "t1", take_up.as_ref(), usize::MAX);
        let rest = rest.await.expect("no response");
        assert_eq!(rest.status, StatusCode::SERVICE_UNAVAILABLE, "{rest:?}");
    }
}
