//! A request that crashes each worker that begins to run it, while its runs end for the gateway before the worker does:
//! the caller disconnects, or the time is over. Such a run shows nothing by itself.

mod gateway;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use gateway::{
    CrashedWorkerReplacer, ExclusiveFleet, crashed_engine_workers, restart_all_gateways, start,
    unresponsive_log,
};
use swiftshunt_lab::platform::fleet::{PlatformOptions, STREAM, STREAM_ONCE};
use test_case::test_case;

/// The body of the request that crashes its workers.
const HARMFUL: &str = "a question that ends its worker";
/// The body of a harmless request that many callers send, most of whom disconnect.
const POPULAR: &str = "a question of many callers";
/// Number of workers that the request may crash before the bounds are counted.
const KNOWN_CRASHES: usize = 3;
/// Time after the last of these crashes within which all gateways know of them.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time for which the traffic goes on at most until [`KNOWN_CRASHES`] workers have crashed.
const MAX_UNKNOWN_TIME: Duration = Duration::from_secs(6);
/// Time for which the traffic goes on after [`CONTACT_TIME`].
const LATER_TIME: Duration = Duration::from_secs(4);
/// Most runs of the harmful request that may begin then.
const MAX_LATER_RUNS: usize = 3;
/// Least share of the harmless requests that must be served then.
const MIN_SERVED_SHARE: f64 = 0.5;
/// Time after which the caller of the harmful request has left, or its time is over.
const CALLER_TIME: Duration = Duration::from_millis(30);
/// Time from the begin of the harmful request to the crash of its worker.
const CRASH_DELAY: Duration = Duration::from_millis(60);
/// Time after which callers wait no longer.
const PATIENCE: Duration = Duration::from_secs(10);
/// Interval between two harmful requests.
const INTERVAL: Duration = Duration::from_millis(120);
/// The same for callers that ask again late.
const LONG_INTERVAL: Duration = Duration::from_millis(700);
/// Number of other requests for each harmful one.
const REQUESTS_BESIDE: usize = 3;
/// Number of popular requests of which one caller stays.
const POPULAR_CALLERS: usize = 4;
/// Time after which a worker that has crashed is replaced.
const RESTART_DELAY: Duration = Duration::from_secs(2);
const GATEWAYS: usize = 3;
const WORKERS: usize = 14;

/// Why the run of the harmful request ends before its worker does.
#[derive(Clone, Copy, PartialEq)]
enum RunEnd {
    CallerDisconnects,
    TimeIsOver,
}

/// The gateways that get the requests beside the harmful one.
#[derive(Clone, Copy, PartialEq)]
enum Beside {
    AllGateways,
    /// Only the first one, which gets no harmful request.
    AnotherGateway,
    /// None: nothing else runs.
    Nobody,
    /// None, and the harmful request comes rarely.
    NobodyForLong,
}

impl Beside {
    fn is_nobody(self) -> bool {
        matches!(self, Self::Nobody | Self::NobodyForLong)
    }

    fn interval(self) -> Duration {
        match self {
            Self::NobodyForLong => LONG_INTERVAL,
            Self::AllGateways | Self::AnotherGateway | Self::Nobody => INTERVAL,
        }
    }
}

/// The harmful request, which comes again and again, and harmless ones beside it.
struct Traffic {
    fleet: ExclusiveFleet,
    replacer: CrashedWorkerReplacer,
    path: &'static str,
    run_end: RunEnd,
    beside: Beside,
    number: usize,
    /// Whether each harmless request whose caller stayed was served.
    served: Arc<Mutex<Vec<bool>>>,
}

impl Traffic {
    async fn start(path: &'static str, run_end: RunEnd, beside: Beside) -> Self {
        let fleet = start(PlatformOptions {
            gateways: GATEWAYS,
            workers: WORKERS,
            event_interval: CRASH_DELAY,
            events: 3,
            crash_workers_on_body: Some(HARMFUL.to_owned()),
            ..PlatformOptions::default()
        })
        .await;
        // The gateways need this long to discover each other.
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        Self {
            fleet,
            replacer: CrashedWorkerReplacer::new(WORKERS, RESTART_DELAY),
            path,
            run_end,
            beside,
            number: 0,
            served: Arc::default(),
        }
    }

    /// Returns the gateway for the request with this number.
    fn gateway(&self, number: usize, is_harmful: bool) -> SocketAddr {
        let index = match (self.beside, is_harmful) {
            (Beside::AnotherGateway, false) => 0,
            (Beside::AnotherGateway, true) => 1 + number % (GATEWAYS - 1),
            _ => number % GATEWAYS,
        };
        self.fleet.gateways[index].callers
    }

    /// Sends a request. Whether it is served is noted if its caller stays.
    fn send(&self, id: String, body: String, deadline: Duration, leave_after: Duration) {
        let caller = self.fleet.caller.clone();
        let is_harmful = body == HARMFUL;
        let gateway = self.gateway(self.number, is_harmful);
        let (path, served) = (self.path, Arc::clone(&self.served));
        tokio::spawn(async move {
            let asked = caller.ask_with_body_and_disconnect(
                gateway,
                path,
                &id,
                &body,
                deadline,
                leave_after,
            );
            let answer = asked.await;
            if !is_harmful && leave_after == PATIENCE {
                let is_served = matches!(answer, Some(Ok(answer)) if answer.status.is_success());
                lock(&served).push(is_served);
            }
        });
    }

    /// Sends the harmful request and those beside it, and waits for one interval.
    async fn play_interval(&mut self) {
        self.number += 1;
        let number = self.number;
        let (deadline, leave_after) = match self.run_end {
            RunEnd::CallerDisconnects => (PATIENCE, CALLER_TIME),
            RunEnd::TimeIsOver => (CALLER_TIME, PATIENCE),
        };
        let harmful = format!("harmful-{number}");
        self.send(harmful, HARMFUL.to_owned(), deadline, leave_after);
        if !self.beside.is_nobody() {
            self.send_beside();
        }
        self.replacer.replace_crashed(&mut self.fleet).await;
        tokio::time::sleep(self.beside.interval()).await;
    }

    fn send_beside(&self) {
        let number = self.number;
        for beside in 0..REQUESTS_BESIDE {
            let id = format!("beside-{number}-{beside}");
            self.send(id.clone(), id, PATIENCE, PATIENCE);
        }
        let leave_after = if number.is_multiple_of(POPULAR_CALLERS) {
            PATIENCE
        } else {
            CALLER_TIME
        };
        let popular = format!("popular-{number}");
        self.send(popular, POPULAR.to_owned(), PATIENCE, leave_after);
    }

    async fn play(&mut self, duration: Duration) {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            self.play_interval().await;
        }
    }

    fn harmful_runs(&self) -> usize {
        let runs = self.fleet.runs();
        let harmful = runs.iter().filter(|run| run.id.starts_with("harmful"));
        harmful.count()
    }

    /// Plays until the crashes are known everywhere, and asserts that hardly any run of the harmful request begins then
    /// and most others are served.
    async fn assert_bounds(&mut self) {
        let until = Instant::now() + MAX_UNKNOWN_TIME;
        while crashed_engine_workers(&self.fleet) < KNOWN_CRASHES && Instant::now() < until {
            self.play_interval().await;
        }
        self.play(CONTACT_TIME).await;
        let (runs, crashes) = (self.harmful_runs(), crashed_engine_workers(&self.fleet));
        lock(&self.served).clear();
        self.play(LATER_TIME).await;
        let later = self.harmful_runs() - runs;
        let served = std::mem::take(&mut *lock(&self.served));
        let share = served.iter().filter(|is_served| **is_served).count() as f64;
        let share = share / served.len().max(1) as f64;
        println!(
            "{crashes} workers crashed; {later} harmful runs began later, {} crashed, {share:.2} of {} others were served",
            crashed_engine_workers(&self.fleet) - crashes,
            served.len()
        );
        assert!(crashes > 0, "no worker has crashed");
        assert!(later <= MAX_LATER_RUNS, "{later} harmful runs");
        assert!(
            self.beside.is_nobody() || share >= MIN_SERVED_SHARE,
            "{share} of the others"
        );
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[test_case(STREAM, RunEnd::CallerDisconnects, Beside::AllGateways; "disconnecting callers")]
#[test_case(STREAM_ONCE, RunEnd::CallerDisconnects, Beside::AnotherGateway; "disconnecting callers and requests beside them at another gateway")]
#[test_case(STREAM_ONCE, RunEnd::CallerDisconnects, Beside::Nobody; "disconnecting callers and nothing beside them")]
#[test_case(STREAM_ONCE, RunEnd::CallerDisconnects, Beside::NobodyForLong; "disconnecting callers that ask again late and nothing beside them")]
#[test_case(STREAM_ONCE, RunEnd::TimeIsOver, Beside::AllGateways; "deadlines")]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_runs_end_before_their_workers_do_is_held(
    path: &'static str,
    run_end: RunEnd,
    beside: Beside,
) {
    let mut traffic = Traffic::start(path, run_end, beside).await;
    traffic.assert_bounds().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_callers_disconnect_is_held_while_the_log_is_unreachable() {
    let mut traffic =
        Traffic::start(STREAM_ONCE, RunEnd::CallerDisconnects, Beside::AllGateways).await;
    for gateway in &traffic.fleet.gateways {
        gateway.store_listener.set_faults(unresponsive_log());
    }
    traffic.assert_bounds().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_callers_disconnect_is_still_held_after_all_gateways_were_killed() {
    let mut traffic =
        Traffic::start(STREAM_ONCE, RunEnd::CallerDisconnects, Beside::AllGateways).await;
    traffic.assert_bounds().await;
    let runs = traffic.harmful_runs();
    restart_all_gateways(&mut traffic.fleet).await;
    traffic.play(LATER_TIME).await;
    let later = traffic.harmful_runs() - runs;
    assert!(later <= MAX_LATER_RUNS, "{later} harmful runs");
}
