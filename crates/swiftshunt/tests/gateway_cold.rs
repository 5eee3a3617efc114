//! Cold workers: all gateways together keep within what one bears, whatever is sent and whoever is gone.

mod gateway;

use std::time::{Duration, Instant};

use gateway::{ExclusiveFleet, start, submit};
use serde_json::json;
use swiftshunt_lab::platform::fleet::{
    ASK, PlatformFleet, PlatformOptions, STREAM, first_configuration,
};
use swiftshunt_lab::platform::worker::Worker;
use swiftshunt_platform::words::{topics, values};

/// What a cold worker bears a second, by the configuration.
const BEARS: f64 = 4.0;
/// What the settings allow in any one second: `BEARS` times 1.5, and 4 more.
const ALLOWED: usize = 10;
/// How long a worker is cold.
const COLD: Duration = Duration::from_secs(4);
/// Time in which gateways hear of each other, and after which keepers hand out starts.
const SETTLED: Duration = Duration::from_millis(4_500);
/// Time of an answer: with it the other worker alone has no slot for all requests.
const BUSY: Duration = Duration::from_millis(480);
/// Pause between requests.
const PAUSE: Duration = Duration::from_millis(15);
/// Pause between looks at the worker.
const LOOK: Duration = Duration::from_millis(10);

async fn fleet() -> ExclusiveFleet {
    let mut fleet = start(PlatformOptions {
        gateways: 4,
        event_pause: BUSY / 8,
        whole_pause: BUSY,
        settings: "[cold]\nshare = 1.5\nrequests = 4.0\n".to_owned(),
        ..PlatformOptions::default()
    })
    .await;
    let mut configuration = first_configuration();
    for service in &mut configuration.services {
        service.cold_s = COLD.as_secs_f64();
        service.cold_per_s = BEARS;
    }
    fleet.configure(configuration);
    tokio::time::sleep(SETTLED).await;
    fleet
}

/// Lists a worker as one that is cold.
fn turns_cold(fleet: &ExclusiveFleet, worker: &Worker, service: &str) {
    let mut entry = json!(PlatformFleet::entry_of(worker, service, values::READY));
    entry["coldLeftMs"] = json!(COLD.as_millis() as u64);
    let body = serde_json::to_vec(&entry).expect("an entry");
    fleet.store.put(topics::WORKERS, worker.incarnation(), body);
}

/// Sends requests to all gateways by turns for a while; gives most that came to the worker in one second, and how
/// many did in all.
async fn most_in_a_second(
    fleet: &ExclusiveFleet,
    worker: &Worker,
    path: &'static str,
    gateways: &[usize],
) -> (usize, usize) {
    let until = Instant::now() + COLD.mul_f64(0.8);
    let before = worker.runs().len();
    let mut seen: Vec<(Instant, usize)> = vec![(Instant::now(), before)];
    let mut sent = 0;
    let mut next = Instant::now();
    while Instant::now() < until {
        if Instant::now() >= next {
            next += PAUSE;
            let gateway = fleet.gateways[gateways[sent % gateways.len()]].callers;
            let caller = fleet.caller.clone();
            let id = format!("request-{sent}");
            sent += 1;
            tokio::spawn(async move {
                let patience = Duration::from_secs(5);
                caller.ask(gateway, path, &id, patience).await
            });
        }
        seen.push((Instant::now(), worker.runs().len()));
        tokio::time::sleep(LOOK.min(PAUSE)).await;
    }
    let windows = seen.iter().map(|(from, count)| {
        let within = seen
            .iter()
            .filter(|(at, _)| *at <= *from + Duration::from_secs(1));
        let last = within.map(|(_, count)| *count).max().unwrap_or_default();
        last - count
    });
    let most = windows.max().unwrap_or_default();
    (most, worker.runs().len() - before)
}

/// Callers' streams and batch items together.
#[tokio::test(flavor = "multi_thread")]
async fn streams_and_items_keep_a_cold_worker_within_its_bound() {
    let fleet = fleet().await;
    let engine = &fleet.engines[0];
    turns_cold(&fleet, engine, "engine");
    tokio::time::sleep(Duration::from_millis(700)).await;
    for job in 0..4 {
        submit(
            &fleet,
            fleet.gateways[job].callers,
            &format!("job-{job}"),
            10,
        )
        .await;
    }
    let (most, all) = most_in_a_second(&fleet, engine, STREAM, &[0, 1, 2, 3]).await;
    println!("{most} in a second, {all} in all");
    assert!(most <= ALLOWED, "{most} in a second, {ALLOWED} allowed");
    assert!(all > 0, "a cold worker is to carry what it bears");
}

/// A service without batch items, whose workers each gateway chooses alone; one gateway is killed meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_service_without_items_keeps_the_bound_also_while_a_gateway_is_gone() {
    let mut fleet = fleet().await;
    fleet.gateways[3].process.kill();
    let worker = &fleet.whole[0];
    turns_cold(&fleet, worker, "whole");
    tokio::time::sleep(Duration::from_millis(700)).await;
    let (most, all) = most_in_a_second(&fleet, worker, ASK, &[0, 1, 2]).await;
    println!("{most} in a second, {all} in all");
    assert!(most <= ALLOWED, "{most} in a second, {ALLOWED} allowed");
    assert!(all > 0, "a cold worker is to carry what it bears");
}

/// Gateways that have just started know nothing of what others handed out a moment ago.
#[tokio::test(flavor = "multi_thread")]
async fn gateways_that_start_anew_keep_a_cold_worker_within_its_bound() {
    let mut fleet = fleet().await;
    for gateway in 0..4 {
        fleet.restart(gateway).expect("a gateway");
    }
    for gateway in &fleet.gateways {
        let (caller, ready) = (fleet.caller.clone(), gateway.ready);
        swiftshunt_lab::platform::fleet::eventually("the gateway is ready", || {
            caller.is_ready(ready)
        })
        .await;
    }
    let worker = &fleet.whole[0];
    turns_cold(&fleet, worker, "whole");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let (most, _) = most_in_a_second(&fleet, worker, ASK, &[0, 1, 2, 3]).await;
    assert!(most <= ALLOWED, "{most} in a second, {ALLOWED} allowed");
}
