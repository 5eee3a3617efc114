//! Streams and batch items while workers of several software versions serve side by side. Each event names the
//! version that made it, so that the tests see every output that holds events of two versions.

mod gateway;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gateway::taken_up_streams::{
    Begun, EVENTS, begin_streams, take_up, take_up_all, wait_until_ready,
};
use gateway::{
    ExclusiveFleet, listed_results, start, submit, unresponsive_log, wait_for_all_results,
};
use hyper::StatusCode;
use swiftshunt_lab::platform::caller::item_id;
use swiftshunt_lab::platform::fleet::{PlatformOptions, STREAM, eventually, first_configuration};
use swiftshunt_lab::platform::worker::{
    Worker, WorkerBehaviour, versioned_event_data, versions_in,
};
use swiftshunt_platform::words::values;

/// Number of items of a large job.
const MANY_ITEMS: usize = 40;
/// Time in which a request that cannot be served is refused.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

fn options(software: &[&str]) -> PlatformOptions {
    PlatformOptions {
        gateways: 3,
        workers: 6,
        events: EVENTS,
        software: software
            .iter()
            .map(|version| (*version).to_owned())
            .collect(),
        ..PlatformOptions::default()
    }
}

async fn two_versions() -> ExclusiveFleet {
    start(options(&["v1", "v2"])).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_taken_up_at_another_gateway_stays_at_the_version_that_began_it() {
    let fleet = two_versions().await;
    let begun = begin_streams(&fleet, &[0, 1, 2], 30).await;
    let outcomes = take_up_all(&fleet, &[1, 2, 0], &begun).await;
    outcomes.assert_unmixed();
    outcomes.assert_continued();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_resumed_inside_one_answer_stays_at_the_version_that_began_it() {
    let fleet = two_versions().await;
    for worker in &fleet.engine_workers[..2] {
        worker.set_behaviour(WorkerBehaviour::TruncateStreamAfter(3));
    }
    let mut mixed = Vec::new();
    for number in 0..30 {
        let id = format!("s{number}");
        let gateway = fleet.gateways[number % 3].callers;
        let read = fleet
            .caller
            .read_stream(gateway, STREAM, &id, None, usize::MAX);
        let part = read.await.expect("no response");
        assert!(part.is_complete, "{id}: {part:?}");
        let text = part.text();
        if versions_in(&text).len() > 1 {
            mixed.push(text);
        }
    }
    assert!(mixed.is_empty(), "events of two versions: {mixed:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_stays_at_its_version_although_the_gateway_that_began_it_is_killed() {
    let mut fleet = two_versions().await;
    let begun = begin_streams(&fleet, &[0], 24).await;
    fleet.restart(0).expect("the gateway did not start");
    let outcomes = take_up_all(&fleet, &[1, 2], &begun).await;
    outcomes.assert_unmixed();
    outcomes.assert_continued();
}

#[tokio::test(flavor = "multi_thread")]
async fn no_stream_joins_two_versions_after_all_gateways_are_killed() {
    let mut fleet = two_versions().await;
    let begun = begin_streams(&fleet, &[0, 1, 2], 24).await;
    for gateway in 0..3 {
        fleet.restart(gateway).expect("the gateway did not start");
    }
    wait_until_ready(&fleet, &[0, 1, 2]).await;
    let outcomes = take_up_all(&fleet, &[0, 1, 2], &begun).await;
    outcomes.assert_unmixed();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_after_all_gateways_are_killed_if_one_version_alone_serves() {
    let mut fleet = start(options(&["v1"])).await;
    // The gateways learn that no other version has served.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let begun = begin_streams(&fleet, &[0, 1, 2], 24).await;
    for gateway in 0..3 {
        fleet.restart(gateway).expect("the gateway did not start");
    }
    wait_until_ready(&fleet, &[0, 1, 2]).await;
    let outcomes = take_up_all(&fleet, &[0, 1, 2], &begun).await;
    outcomes.assert_unmixed();
    outcomes.assert_continued();
}

/// Kills all gateways, and starts them again once the workers have changed.
async fn restart_around(fleet: &mut ExclusiveFleet, change: impl AsyncFnOnce(&mut ExclusiveFleet)) {
    for gateway in &mut fleet.gateways {
        gateway.process.kill();
    }
    change(fleet).await;
    for gateway in 0..fleet.gateways.len() {
        let restarted = fleet.restart(gateway);
        restarted.expect("the gateway did not start");
    }
    let all: Vec<usize> = (0..fleet.gateways.len()).collect();
    wait_until_ready(fleet, &all).await;
}

/// Starts workers of another version and ends those that were there.
async fn replace_all_engine_workers(fleet: &mut ExclusiveFleet, software: &str, name: &str) {
    let before = fleet.engine_workers.len();
    for worker in 0..before {
        let incarnation = format!("{name}-{worker}");
        let added = fleet.add_engine_worker(&incarnation, software);
        added.await.expect("the worker did not start");
    }
    for worker in &fleet.engine_workers[..before] {
        fleet.unlist(worker);
        worker.crash();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_stream_joins_two_versions_if_all_workers_were_replaced_while_no_gateway_ran() {
    let mut fleet = start(options(&["v1"])).await;
    let begun = begin_streams(&fleet, &[0, 1, 2], 24).await;
    let replace = async |fleet: &mut ExclusiveFleet| {
        replace_all_engine_workers(fleet, "v2", "replacement").await;
    };
    restart_around(&mut fleet, replace).await;
    let outcomes = take_up_all(&fleet, &[0, 1, 2], &begun).await;
    outcomes.assert_unmixed();
}

/// The version that was recorded first returns while streams of the second one are in progress.
#[tokio::test(flavor = "multi_thread")]
async fn no_stream_joins_two_versions_if_workers_are_replaced_and_put_back_while_no_gateway_ran() {
    let mut fleet = start(options(&["v1"])).await;
    for (round, software) in ["v2", "v1"].into_iter().enumerate() {
        // The gateways record the version that serves.
        tokio::time::sleep(Duration::from_secs(1)).await;
        let begun = begin_streams(&fleet, &[0, 1, 2], 12).await;
        let replace = async |fleet: &mut ExclusiveFleet| {
            replace_all_engine_workers(fleet, software, &format!("round-{round}")).await;
        };
        restart_around(&mut fleet, replace).await;
        let outcomes = take_up_all(&fleet, &[0, 1, 2], &begun).await;
        outcomes.assert_unmixed();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_stream_joins_two_versions_if_the_first_has_left_before_all_gateways_are_killed() {
    let mut fleet = start(options(&["v1"])).await;
    let begun = begin_streams(&fleet, &[0, 1, 2], 24).await;
    replace_all_engine_workers(&mut fleet, "v2", "replacement").await;
    // Longer than the time within which gateways learn of workers that are gone.
    tokio::time::sleep(Duration::from_secs(2)).await;
    restart_around(&mut fleet, async |_: &mut ExclusiveFleet| {}).await;
    let outcomes = take_up_all(&fleet, &[0, 1, 2], &begun).await;
    outcomes.assert_unmixed();
}

/// The second version is listed for a moment only before the gateways are killed.
#[tokio::test(flavor = "multi_thread")]
async fn no_stream_joins_two_versions_if_all_gateways_are_killed_at_once_with_the_change() {
    let mut fleet = start(options(&["v1"])).await;
    let begun = begin_streams(&fleet, &[0, 1, 2], 24).await;
    replace_all_engine_workers(&mut fleet, "v2", "replacement").await;
    restart_around(&mut fleet, async |_: &mut ExclusiveFleet| {}).await;
    let outcomes = take_up_all(&fleet, &[0, 1, 2], &begun).await;
    outcomes.assert_unmixed();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_version_is_gone_is_refused_at_once() {
    let fleet = two_versions().await;
    let begun = begin_streams(&fleet, &[0, 1, 2], 24).await;
    for worker in fleet.engine_workers.iter().step_by(2) {
        fleet.unlist(worker);
    }
    // Longer than the time within which gateways learn of workers that are gone.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let gone: Vec<&Begun> = begun
        .iter()
        .filter(|stream| stream.version() == "v1")
        .collect();
    assert!(!gone.is_empty());
    for (number, stream) in gone.into_iter().enumerate() {
        let gateway = fleet.gateways[(number + 1) % 3].callers;
        let asked_at = Instant::now();
        let rest = take_up(&fleet, gateway, stream, &format!("t{number}")).await;
        assert_eq!(rest.status, StatusCode::SERVICE_UNAVAILABLE, "{rest:?}");
        assert!(rest.headers.contains_key("retry-after"));
        assert!(asked_at.elapsed() < REFUSAL_TIME);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_at_another_gateway_while_the_log_is_away() {
    let mut configuration = first_configuration();
    for route in &mut configuration.routes {
        route.timeout_ms = 1_000.0;
    }
    let mut fleet = start(options(&["v1"])).await;
    fleet.configure(configuration);
    // The gateways learn that no other version has served for as long as a stream and a pause of its caller may last.
    tokio::time::sleep(Duration::from_secs(14)).await;
    for gateway in &fleet.gateways {
        gateway.store_listener.set_faults(unresponsive_log());
    }
    // Longer than gateways rely on their last read of the directory.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let begun = begin_streams(&fleet, &[0, 1, 2], 12).await;
    let outcomes = take_up_all(&fleet, &[1, 2, 0], &begun).await;
    outcomes.assert_unmixed();
    outcomes.assert_continued();
}

/// Asserts that each item of the job is completed with all of its events, made by one version.
async fn assert_items_of_one_version(
    fleet: &ExclusiveFleet,
    gateway: SocketAddr,
    job: &str,
    items: usize,
) {
    wait_for_all_results(fleet, gateway, job, items).await;
    let results = listed_results(fleet, gateway, job).await;
    for item in 0..items {
        let id = item_id(job, item);
        let result = results
            .iter()
            .find(|result| result.id == id)
            .expect("the item is not listed");
        assert_eq!(result.state, values::COMPLETED);
        let versions = versions_in(&result.text);
        assert_eq!(versions.len(), 1, "{}", result.text);
        let version = versions.first().copied();
        let expected: Vec<String> = (0..EVENTS)
            .map(|event| versioned_event_data(&id, event, version))
            .collect();
        assert_eq!(result.text, expected.join("\n"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_item_whose_run_breaks_off_holds_the_output_of_one_version() {
    let fleet = two_versions().await;
    for worker in &fleet.engine_workers[..4] {
        worker.set_behaviour(WorkerBehaviour::TruncateStreamAfter(5));
    }
    let gateway = fleet.gateways[0].callers;
    submit(&fleet, gateway, "job", 24).await;
    assert_items_of_one_version(&fleet, gateway, "job", 24).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_item_ends_although_every_worker_of_two_versions_breaks_streams_off() {
    let fleet = two_versions().await;
    for worker in &fleet.engine_workers {
        worker.set_behaviour(WorkerBehaviour::TruncateStreamAfter(5));
    }
    let gateway = fleet.gateways[0].callers;
    submit(&fleet, gateway, "job", 3).await;
    assert_items_of_one_version(&fleet, gateway, "job", 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_item_handed_to_another_gateway_holds_the_output_of_one_version() {
    let options = PlatformOptions {
        event_interval: Duration::from_millis(150),
        ..options(&["v1", "v2"])
    };
    let mut fleet = start(options).await;
    let jobs: Vec<String> = (0..8).map(|job| format!("job-{job}")).collect();
    let gateway = fleet.gateways[0].callers;
    for job in &jobs {
        submit(&fleet, gateway, job, 8).await;
    }
    eventually("most items run", || async {
        let running: usize = fleet.engine_workers.iter().map(Worker::running).sum();
        running > jobs.len() * 4
    })
    .await;
    // Long enough for items to have some events, and shorter than their runs.
    tokio::time::sleep(Duration::from_millis(600)).await;
    // The slots that are left are granted in another order than before.
    fleet.unlist(&fleet.engine_workers[0]);
    for stopped in [1, 2] {
        fleet.gateways[stopped].process.terminate();
    }
    for job in &jobs {
        assert_items_of_one_version(&fleet, gateway, job, 8).await;
    }
    fleet.gateways.truncate(1);
    let runs = fleet.engine_workers.iter().flat_map(Worker::runs);
    let continued = runs.filter(|run| run.last_event.is_some()).count();
    println!("continued runs: {continued}");
    assert!(
        continued > 0,
        "no item was handed over with a part of its output"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_item_whose_version_is_gone_begins_anew_at_another_one() {
    let options = PlatformOptions {
        event_interval: Duration::from_millis(100),
        ..options(&["v1", "v2"])
    };
    let fleet = start(options).await;
    let first_version = || fleet.engine_workers.iter().step_by(2);
    for worker in first_version() {
        worker.set_behaviour(WorkerBehaviour::TruncateStreamAfter(8));
    }
    let gateway = fleet.gateways[0].callers;
    submit(&fleet, gateway, "job", 24).await;
    eventually("items run at each version", || async {
        first_version().map(Worker::running).sum::<usize>() > 4
    })
    .await;
    for worker in first_version() {
        fleet.unlist(worker);
    }
    assert_items_of_one_version(&fleet, gateway, "job", 24).await;
    let mut begun_anew = 0.0;
    for gateway in &fleet.gateways {
        let name = "swiftshunt_items_begun_anew_total";
        begun_anew += fleet.caller.metric_value(gateway.metrics, name).await;
    }
    assert!(begun_anew > 0.0, "no item began anew");
}

/// Each of many items that is begun anew is broken off again, which keeps the workers of both versions avoided.
#[tokio::test(flavor = "multi_thread")]
async fn many_batch_items_end_although_every_worker_of_two_versions_breaks_streams_off() {
    let fleet = two_versions().await;
    for worker in &fleet.engine_workers {
        worker.set_behaviour(WorkerBehaviour::TruncateStreamAfter(5));
    }
    let gateway = fleet.gateways[0].callers;
    submit(&fleet, gateway, "job", MANY_ITEMS).await;
    assert_items_of_one_version(&fleet, gateway, "job", MANY_ITEMS).await;
}
