//! Requests that share a part of their prompts, which ends each worker that begins to write an answer on it. No two of
//! them are the same request, and sound requests share all their other parts.

mod gateway;

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use gateway::{
    CrashedWorkerReplacer, EVENTS, ExclusiveFleet, assert_completed, crashed_engine_workers,
    listed_results, restart_all_gateways, start, unresponsive_log, wait_for_all_results,
};
use hyper::StatusCode;
use swiftshunt_lab::platform::fleet::{BATCH, PlatformOptions, STREAM, STREAM_ONCE};
use swiftshunt_lab::platform::worker::{WorkerBehaviour, event_data};
use test_case::test_case;

/// The part that ends workers.
const HARMFUL_PART: u64 = 0xbad;
/// The first part of all prompts, sound and harmful.
const FIRST_PART: u64 = 0xf1;
/// Number of sound parts that stand where the harmful one does.
const SOUND_PARTS: u64 = 40;
/// Ends from which on the bounds are counted.
const KNOWN_ENDS: usize = 5;
/// Time after the last of these ends within which all gateways know of them.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time for which the traffic goes on at most until [`KNOWN_ENDS`] workers have ended.
const MAX_UNKNOWN_TIME: Duration = Duration::from_secs(6);
/// Most requests with the harmful part that may reach workers later.
const MAX_LATER_RUNS: usize = 3;
/// Least share of the sound requests that must begin at their first attempt later.
const MIN_SOUND_SHARE: f64 = 0.5;
/// Time for which the traffic goes on after [`CONTACT_TIME`].
const LATER_TIME: Duration = Duration::from_secs(5);
/// Interval between two harmful requests, and between two groups of sound ones.
const INTERVAL: Duration = Duration::from_millis(100);
/// Number of sound requests for each harmful one.
const SOUND_REQUESTS: u64 = 4;
/// Time after which a worker that has ended is replaced.
const RESTART_DELAY: Duration = Duration::from_secs(2);
const GATEWAYS: usize = 3;
const WORKERS: usize = 14;

fn options() -> PlatformOptions {
    PlatformOptions {
        gateways: GATEWAYS,
        workers: WORKERS,
        crash_workers_on_prompt_part: Some(HARMFUL_PART),
        ..PlatformOptions::default()
    }
}

/// Callers that send sound and harmful requests to all gateways, and workers that are replaced after they have ended.
struct Traffic {
    fleet: ExclusiveFleet,
    path: &'static str,
    number: u64,
    replacer: CrashedWorkerReplacer,
    /// Whether each sound request had a whole answer.
    sound: Arc<Mutex<Vec<bool>>>,
}

impl Traffic {
    async fn start(options: PlatformOptions, path: &'static str) -> Self {
        let fleet = start(options).await;
        // The gateways need this long to discover each other.
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        Self {
            fleet,
            path,
            number: 0,
            replacer: CrashedWorkerReplacer::new(WORKERS, RESTART_DELAY),
            sound: Arc::default(),
        }
    }

    /// Sends requests of one interval, and waits until it is over.
    async fn play_interval(&mut self) {
        let harmful = [(FIRST_PART, 10), (HARMFUL_PART, 10)];
        self.send("harmful", &harmful);
        for _ in 0..SOUND_REQUESTS {
            let sound = [(FIRST_PART, 10), (0x1000 + self.number % SOUND_PARTS, 10)];
            self.send("sound", &sound);
        }
        self.replacer.replace_crashed(&mut self.fleet).await;
        tokio::time::sleep(INTERVAL).await;
    }

    async fn play(&mut self, duration: Duration) {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            self.play_interval().await;
        }
    }

    /// Plays until as many workers have ended that the bounds are counted, and all gateways know of them.
    async fn play_until_known(&mut self) {
        let until = Instant::now() + MAX_UNKNOWN_TIME;
        while self.ended_workers() < KNOWN_ENDS && Instant::now() < until {
            self.play_interval().await;
        }
        self.play(CONTACT_TIME).await;
    }

    fn send(&mut self, kind: &'static str, shared_parts: &[(u64, u32)]) {
        self.number += 1;
        let id = format!("{kind}-{}", self.number);
        let mut parts = shared_parts.to_vec();
        parts.push((0x10_0000 + self.number, 10));
        let caller = self.fleet.caller.clone();
        let gateway = self.fleet.gateways[self.number as usize % GATEWAYS].callers;
        let (path, sound) = (self.path, Arc::clone(&self.sound));
        tokio::spawn(async move {
            let body = format!("body of {id}");
            let answer = caller.ask_with_prompt_and_body(gateway, path, &id, &parts, &body);
            let answer = answer.await;
            if kind == "sound" {
                let is_whole = answer.is_ok_and(|answer| {
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    answer.status.is_success() && body.contains(&event_data(&id, EVENTS - 1))
                });
                lock(&sound).push(is_whole);
            }
        });
    }

    fn ended_workers(&self) -> usize {
        crashed_engine_workers(&self.fleet)
    }

    fn harmful_runs(&self) -> usize {
        let runs = self.fleet.runs();
        runs.iter()
            .filter(|run| run.id.starts_with("harmful"))
            .count()
    }

    /// Plays on, and asserts that hardly any harmful request reaches a worker and most sound ones are served.
    async fn assert_bounds(&mut self) {
        let (runs, ends) = (self.harmful_runs(), self.ended_workers());
        lock(&self.sound).clear();
        self.play(LATER_TIME).await;
        let later = self.harmful_runs() - runs;
        let sound = std::mem::take(&mut *lock(&self.sound));
        let served = sound.iter().filter(|is_whole| **is_whole).count();
        println!(
            "{} workers ended; later {later} harmful requests reached workers, {} ended, {served} of {} sound requests were served",
            ends,
            self.ended_workers() - ends,
            sound.len()
        );
        assert!(ends > 0, "no worker has ended");
        assert!(later <= MAX_LATER_RUNS, "{later} harmful requests");
        let share = served as f64 / sound.len() as f64;
        assert!(share >= MIN_SOUND_SHARE, "{share} of the sound requests");
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[test_case(STREAM, WorkerBehaviour::Normal; "resumable in chunks")]
#[test_case(STREAM_ONCE, WorkerBehaviour::Normal; "not resumable in chunks")]
#[test_case(STREAM_ONCE, WorkerBehaviour::UnframedStreams; "not resumable without framing")]
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_a_part_that_ends_workers_are_not_sent_for_long(
    path: &'static str,
    behaviour: WorkerBehaviour,
) {
    let mut traffic = Traffic::start(options(), path).await;
    for worker in &traffic.fleet.engine_workers {
        worker.set_behaviour(behaviour);
    }
    traffic.play_until_known().await;
    traffic.assert_bounds().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_ends_workers_is_held_while_the_log_is_unreachable() {
    let mut traffic = Traffic::start(options(), STREAM_ONCE).await;
    for gateway in &traffic.fleet.gateways {
        gateway.store_listener.set_faults(unresponsive_log());
    }
    traffic.play_until_known().await;
    traffic.assert_bounds().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_ends_workers_is_still_held_after_all_gateways_were_killed() {
    let mut traffic = Traffic::start(options(), STREAM_ONCE).await;
    traffic.play_until_known().await;
    // The directory proves the ends meanwhile.
    traffic.play(CONTACT_TIME).await;
    let runs = traffic.harmful_runs();
    restart_all_gateways(&mut traffic.fleet).await;
    traffic.assert_bounds().await;
    let later = traffic.harmful_runs() - runs;
    assert!(later <= MAX_LATER_RUNS, "{later} harmful requests");
}

/// Items never end workers by themselves, so those with a part that is held for online requests are owed all the same, and
/// their good runs do not free the part.
#[tokio::test(flavor = "multi_thread")]
async fn items_with_a_held_part_are_completed_and_do_not_free_it() {
    let mut traffic = Traffic::start(options(), STREAM_ONCE).await;
    traffic.play_until_known().await;
    let items = (0..9_u64).map(|item| {
        let shared = if item < 6 {
            HARMFUL_PART
        } else {
            0x1000 + item
        };
        let parts = vec![(FIRST_PART, 10), (shared, 10), (0x20_0000 + item, 10)];
        (format!("item {item}"), parts)
    });
    let gateway = traffic.fleet.gateways[0].callers;
    let submitted = traffic
        .fleet
        .caller
        .submit_prompts(gateway, BATCH, "job", items);
    assert_eq!(submitted.await.expect("no response"), StatusCode::ACCEPTED);
    wait_for_all_results(&traffic.fleet, gateway, "job", 9).await;
    assert_completed(
        &listed_results(&traffic.fleet, gateway, "job").await,
        "job",
        9,
    );
    traffic.assert_bounds().await;
}
