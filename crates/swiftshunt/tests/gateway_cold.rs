//! Cold workers: all gateways together send a cold worker no more requests per second than its bound, also
//! after gateways were killed or restarted.

mod gateway;

use std::time::{Duration, Instant};

use gateway::{ExclusiveFleet, start, submit};
use serde_json::json;
use swiftshunt_lab::platform::fleet::{
    ASK, PlatformFleet, PlatformOptions, STREAM, first_configuration,
};
use swiftshunt_lab::platform::worker::Worker;
use swiftshunt_platform::words::{topics, values};

/// Requests per second that the configuration allows for a cold worker.
const COLD_PER_S: f64 = 4.0;
/// Maximum number of requests in any one second by the settings: `COLD_PER_S` times 1.5, plus 4.
const MAX_RUNS_PER_SECOND: usize = 10;
/// Duration for which a worker is cold.
const COLD_DURATION: Duration = Duration::from_secs(4);
/// Time in which gateways discover each other, and after which permit issuers grant starts at cold workers.
const SETTLED: Duration = Duration::from_millis(4_500);
/// Duration of a run: with it, the other worker alone has too few slots for all requests.
const RUN_TIME: Duration = Duration::from_millis(480);
/// Interval between requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);
/// Interval between readings of the worker's number of runs.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

async fn fleet() -> ExclusiveFleet {
    let mut fleet = start(PlatformOptions {
        gateways: 4,
        event_interval: RUN_TIME / 8,
        answer_delay: RUN_TIME,
        extra_settings: "[cold]\nshare = 1.5\nrequests = 4.0\n".to_owned(),
        ..PlatformOptions::default()
    })
    .await;
    let mut configuration = first_configuration();
    for service in &mut configuration.services {
        service.cold_s = COLD_DURATION.as_secs_f64();
        service.cold_per_s = COLD_PER_S;
    }
    fleet.configure(configuration);
    tokio::time::sleep(SETTLED).await;
    fleet
}

/// Writes a directory entry that marks the worker as cold.
fn mark_cold(fleet: &ExclusiveFleet, worker: &Worker, service: &str) {
    let mut entry = json!(PlatformFleet::directory_entry(
        worker,
        service,
        values::READY
    ));
    entry["coldLeftMs"] = json!(COLD_DURATION.as_millis() as u64);
    let body = serde_json::to_vec(&entry).expect("the entry cannot be encoded");
    fleet.store.put(topics::WORKERS, worker.incarnation(), body);
}

/// Sends requests to the gateways in turn while the worker is cold. Returns the maximum number of runs that
/// the worker started in one second, and the total.
async fn max_runs_per_second(
    fleet: &ExclusiveFleet,
    worker: &Worker,
    path: &'static str,
    gateways: &[usize],
) -> (usize, usize) {
    let until = Instant::now() + COLD_DURATION.mul_f64(0.8);
    let before = worker.runs().len();
    let mut run_counts: Vec<(Instant, usize)> = vec![(Instant::now(), before)];
    let mut sent = 0;
    let mut next = Instant::now();
    while Instant::now() < until {
        if Instant::now() >= next {
            next += REQUEST_INTERVAL;
            let gateway = fleet.gateways[gateways[sent % gateways.len()]].callers;
            let caller = fleet.caller.clone();
            let id = format!("request-{sent}");
            sent += 1;
            tokio::spawn(async move {
                let deadline = Duration::from_secs(5);
                caller.ask(gateway, path, &id, deadline).await
            });
        }
        run_counts.push((Instant::now(), worker.runs().len()));
        tokio::time::sleep(POLL_INTERVAL.min(REQUEST_INTERVAL)).await;
    }
    let windows = run_counts.iter().map(|(from, count)| {
        let within = run_counts
            .iter()
            .filter(|(at, _)| *at <= *from + Duration::from_secs(1));
        let last = within.map(|(_, count)| *count).max().unwrap_or_default();
        last - count
    });
    let most = windows.max().unwrap_or_default();
    (most, worker.runs().len() - before)
}

/// Online streams and batch items share the bound of a cold engine.
#[tokio::test(flavor = "multi_thread")]
async fn streams_and_items_together_do_not_exceed_the_bound_of_a_cold_worker() {
    let fleet = fleet().await;
    let engine = &fleet.engine_workers[0];
    mark_cold(&fleet, engine, "engine");
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
    let (most, total) = max_runs_per_second(&fleet, engine, STREAM, &[0, 1, 2, 3]).await;
    println!("{most} in a second, {total} in total");
    assert!(
        most <= MAX_RUNS_PER_SECOND,
        "{most} runs in one second, {MAX_RUNS_PER_SECOND} allowed"
    );
    assert!(total > 0, "the cold worker received no request");
}

/// For a service without batch items, each gateway selects workers by itself. One gateway is killed before
/// the worker becomes cold.
#[tokio::test(flavor = "multi_thread")]
async fn online_requests_do_not_exceed_the_bound_of_a_cold_worker_after_a_gateway_is_killed() {
    let mut fleet = fleet().await;
    fleet.gateways[3].process.kill();
    let worker = &fleet.whole_workers[0];
    mark_cold(&fleet, worker, "whole");
    tokio::time::sleep(Duration::from_millis(700)).await;
    let (most, total) = max_runs_per_second(&fleet, worker, ASK, &[0, 1, 2]).await;
    println!("{most} in a second, {total} in total");
    assert!(
        most <= MAX_RUNS_PER_SECOND,
        "{most} runs in one second, {MAX_RUNS_PER_SECOND} allowed"
    );
    assert!(total > 0, "the cold worker received no request");
}

/// Restarted gateways do not know how many requests were granted just before the restart.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_gateways_do_not_exceed_the_bound_of_a_cold_worker() {
    let mut fleet = fleet().await;
    for gateway in 0..4 {
        fleet.restart(gateway).expect("the gateway did not start");
    }
    for gateway in &fleet.gateways {
        let (caller, ready) = (fleet.caller.clone(), gateway.ready);
        swiftshunt_lab::platform::fleet::eventually("the gateway is ready", || {
            caller.is_ready(ready)
        })
        .await;
    }
    let worker = &fleet.whole_workers[0];
    mark_cold(&fleet, worker, "whole");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let (most, _) = max_runs_per_second(&fleet, worker, ASK, &[0, 1, 2, 3]).await;
    assert!(
        most <= MAX_RUNS_PER_SECOND,
        "{most} runs in one second, {MAX_RUNS_PER_SECOND} allowed"
    );
}
