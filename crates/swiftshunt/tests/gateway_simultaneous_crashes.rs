//! A request that crashes its worker while many other workers crash, so that the gateway cannot tell by itself whether
//! its own links are the cause.

mod gateway;

use std::time::Duration;

use gateway::{ExclusiveFleet, start};
use swiftshunt_lab::platform::fleet::{ONCE, PlatformOptions, eventually};

/// The body of a request that crashes each worker that runs it.
const HARMFUL: &str = "a question that ends its worker";
/// Number of crashed workers after which a request is quarantined.
const MAX_CRASHES: usize = 3;
/// Number of consecutive attempts of the harmful request.
const ATTEMPTS: usize = 7;
/// Number of harmless requests beside each attempt.
const REQUESTS_BESIDE: usize = 10;
/// Number of other workers that crash beside each attempt: more than the quarter of the workers from which on a gateway
/// suspects its own links.
const CRASHES_BESIDE: usize = 5;
/// Time after which the harmful request crashes its worker, and others are answered.
const ANSWER_DELAY: Duration = Duration::from_millis(250);
/// Time after which failed sends of a gateway no longer suggest a fault of that gateway, and workers are back.
const PAUSE: Duration = Duration::from_millis(1_500);
const GATEWAYS: usize = 3;
const WORKERS: usize = 12;

/// Returns the indexes of the workers that run anything and have not crashed.
fn running_workers(fleet: &ExclusiveFleet) -> Vec<usize> {
    let workers = fleet.whole_workers.iter().enumerate();
    workers
        .filter(|(_, worker)| worker.running() > 0 && !worker.has_crashed())
        .map(|(index, _)| index)
        .collect()
}

/// Sends the harmful request to a gateway and crashes other workers meanwhile. Returns whether it crashed its worker.
async fn attempt(fleet: &mut ExclusiveFleet, number: usize) -> bool {
    let gateway = fleet.gateways[number % GATEWAYS].callers;
    for beside in 0..REQUESTS_BESIDE {
        let caller = fleet.caller.clone();
        let id = format!("beside-{number}-{beside}");
        tokio::spawn(async move { caller.ask_with_body(gateway, ONCE, &id, &id).await });
    }
    eventually("the other requests run", || async {
        running_workers(fleet).len() > CRASHES_BESIDE
    })
    .await;
    let caller = fleet.caller.clone();
    let id = format!("harmful-{number}");
    let harmful = {
        let id = id.clone();
        tokio::spawn(async move { caller.ask_with_body(gateway, ONCE, &id, HARMFUL).await })
    };
    let is_decided = || !fleet.runs_of(&id).is_empty() || harmful.is_finished();
    eventually("the harmful request is decided", || async { is_decided() }).await;
    let runs = !fleet.runs_of(&id).is_empty();
    let runs_harmful = |index: &usize| {
        let runs = fleet.whole_workers[*index].runs();
        runs.iter().any(|run| run.id == id)
    };
    let mut others = running_workers(fleet);
    others.retain(|index| !runs_harmful(index));
    for index in others.into_iter().take(CRASHES_BESIDE) {
        fleet.whole_workers[index].crash();
    }
    drop(harmful.await);
    for index in 0..WORKERS {
        if fleet.whole_workers[index].has_crashed() {
            let restarted = fleet.restart_worker(index).await;
            restarted.expect("the worker did not restart");
        }
    }
    tokio::time::sleep(PAUSE).await;
    runs
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_ends_its_worker_beside_many_others_is_held() {
    let mut fleet = start(PlatformOptions {
        gateways: GATEWAYS,
        workers: WORKERS,
        answer_delay: ANSWER_DELAY,
        crash_workers_on_body: Some(HARMFUL.to_owned()),
        report_start_times: true,
        ..PlatformOptions::default()
    })
    .await;
    // The gateways need this long to discover each other.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let mut crashes = 0;
    for number in 0..ATTEMPTS {
        crashes += usize::from(attempt(&mut fleet, number).await);
    }
    assert!(crashes <= MAX_CRASHES, "{crashes} workers crashed");
}
