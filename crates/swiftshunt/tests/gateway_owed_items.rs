//! Items of accepted batch jobs whose workers crash, and which other requests with the same content are held for.
//!
//! Guards against items that are taken for the cause of the crashes: they were held like requests that crash their workers,
//! and neither run again nor listed.

mod gateway;

use std::time::Duration;

use gateway::{
    CrashedWorkerReplacer, ExclusiveFleet, assert_completed, crashed_engine_workers,
    listed_results, restart_all_gateways, start, submit, wait_for_all_results,
};
use hyper::StatusCode;
use swiftshunt_lab::platform::caller::SubmittedItem;
use swiftshunt_lab::platform::fleet::{
    ASK, BATCH, PlatformOptions, STREAM, STREAM_ONCE, eventually,
};
use test_case::test_case;

/// The body of a request that crashes each worker that runs it, unless an item of a batch job has it.
const HARMFUL: &str = "a question that ends its worker";
/// Number of ended workers from which on a request is held.
const MAX_CRASHES: usize = 3;
/// Number of workers that crash while they run an item: more than hold a request or a part of prompts.
const CRASHES: usize = 6;
/// A part that the prompts of all items share.
const SHARED_PART: u64 = 0x5a;
/// Time after which a worker that has crashed is replaced.
const RESTART_DELAY: Duration = Duration::from_millis(300);
const GATEWAYS: usize = 3;
const WORKERS: usize = 12;

/// What happens to the gateways after the crashes.
#[derive(Clone, Copy, PartialEq)]
enum Then {
    Nothing,
    AllGatewaysRestart,
}

fn options() -> PlatformOptions {
    PlatformOptions {
        gateways: GATEWAYS,
        workers: WORKERS,
        event_interval: Duration::from_millis(400),
        crash_workers_on_body: Some(HARMFUL.to_owned()),
        ..PlatformOptions::default()
    }
}

/// Crashes the workers that run anything, one after the other, and replaces them.
async fn crash_running_workers(fleet: &mut ExclusiveFleet, replacer: &mut CrashedWorkerReplacer) {
    for crash in 1..=CRASHES {
        eventually("a worker runs an item", || async {
            fleet.engine_workers.iter().any(is_running)
        })
        .await;
        let running = fleet.engine_workers.iter().filter(|it| is_running(it));
        running.for_each(|worker| worker.crash());
        while fleet.engine_workers.iter().any(|it| it.has_crashed()) {
            tokio::time::sleep(Duration::from_millis(20)).await;
            replacer.replace_crashed(fleet).await;
        }
        println!("crash {crash}: {} workers", crashed_engine_workers(fleet));
    }
}

fn is_running(worker: &swiftshunt_lab::platform::worker::Worker) -> bool {
    worker.running() > 0 && !worker.has_crashed()
}

/// An accepted item is owed whatever happened to the workers that ran it.
#[test_case(Then::Nothing)]
#[test_case(Then::AllGatewaysRestart)]
#[tokio::test(flavor = "multi_thread")]
async fn an_item_is_completed_after_its_workers_crashed_one_after_the_other(then: Then) {
    let mut fleet = start(options()).await;
    let mut replacer = CrashedWorkerReplacer::new(WORKERS, RESTART_DELAY);
    submit(&fleet, fleet.gateways[0].callers, "job", 2).await;
    crash_running_workers(&mut fleet, &mut replacer).await;
    if then == Then::AllGatewaysRestart {
        restart_all_gateways(&mut fleet).await;
    }
    let gateway = fleet.gateways[1].callers;
    wait_for_all_results(&fleet, gateway, "job", 2).await;
    assert_completed(&listed_results(&fleet, gateway, "job").await, "job", 2);
}

/// Workers that crash while they run items accuse no part of the items' prompts, which online requests share.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_of_prompts_is_not_held_because_workers_of_items_crashed() {
    let mut fleet = start(PlatformOptions {
        answer_delay: Duration::from_millis(300),
        ..options()
    })
    .await;
    // The gateways need this long to discover each other.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let mut replacer = CrashedWorkerReplacer::new(WORKERS, RESTART_DELAY);
    let gateway = fleet.gateways[0].callers;
    let beside = (0..400_u64).map(|number| {
        let (caller, gateway) = (
            fleet.caller.clone(),
            fleet.gateways[number as usize % GATEWAYS].callers,
        );
        async move {
            tokio::time::sleep(Duration::from_millis(15 * number)).await;
            let parts = [(0x1000 + number, 10), (0x10_0000 + number, 10)];
            let id = format!("beside-{number}");
            caller.ask_with_parts(gateway, ASK, &id, &parts).await
        }
    });
    let beside = tokio::spawn(futures_util::future::join_all(beside.collect::<Vec<_>>()));
    let items = (0..4_u64).map(|item| SubmittedItem {
        path: format!("{BATCH}{item}"),
        body: format!("item {item}"),
        parts: vec![(SHARED_PART, 10), (0x20_0000 + item, 10)],
    });
    let submitted = fleet.caller.submit_items(gateway, BATCH, "job", items);
    assert_eq!(submitted.await.expect("no response"), StatusCode::ACCEPTED);
    crash_running_workers(&mut fleet, &mut replacer).await;
    for number in 0..12_u64 {
        let gateway = fleet.gateways[number as usize % GATEWAYS].callers;
        let parts = [(SHARED_PART, 10), (0x30_0000 + number, 10)];
        let id = format!("online-{number}");
        let answer = fleet.caller.ask_with_parts(gateway, STREAM, &id, &parts);
        assert_eq!(answer.await.expect("no response").status, StatusCode::OK);
    }
    wait_for_all_results(&fleet, gateway, "job", 4).await;
    assert_completed(&listed_results(&fleet, gateway, "job").await, "job", 4);
    drop(beside.await);
}

/// An online request and an item may have the same content. The ends of workers that ran the one must not hold the
/// other, and good runs of the item must not free the request.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_with_the_content_of_a_held_request_is_run_and_does_not_free_it() {
    let mut fleet = start(PlatformOptions {
        event_interval: Duration::from_millis(50),
        ..options()
    })
    .await;
    // The gateways need this long to discover each other.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let path = format!("{STREAM_ONCE}same");
    let mut replacer = CrashedWorkerReplacer::new(WORKERS, RESTART_DELAY);
    for round in 0..4 {
        let job = format!("job-{round}");
        send_to_all_gateways(&fleet, &path, &job, MAX_CRASHES).await;
        let items = (0..2).map(|_| SubmittedItem {
            path: path.clone(),
            body: HARMFUL.to_owned(),
            parts: Vec::new(),
        });
        let gateway = fleet.gateways[round % GATEWAYS].callers;
        let submitted = fleet.caller.submit_items(gateway, BATCH, &job, items);
        assert_eq!(submitted.await.expect("no response"), StatusCode::ACCEPTED);
        wait_for_all_results(&fleet, gateway, &job, 2).await;
        assert_completed(&listed_results(&fleet, gateway, &job).await, &job, 2);
        let statuses = send_to_all_gateways(&fleet, &path, &format!("{job}-later"), GATEWAYS).await;
        assert_eq!(statuses, [StatusCode::SERVICE_UNAVAILABLE; GATEWAYS]);
        replacer.replace_crashed(&mut fleet).await;
    }
    let crashes = crashed_engine_workers(&fleet);
    assert!(crashes <= MAX_CRASHES, "{crashes} workers crashed");
}

/// Sends the harmful request to each gateway in turn. Returns the statuses; a stream that breaks off counts as 502.
async fn send_to_all_gateways(
    fleet: &ExclusiveFleet,
    path: &str,
    name: &str,
    times: usize,
) -> Vec<StatusCode> {
    let mut statuses = Vec::new();
    for number in 0..times {
        let gateway = fleet.gateways[number % GATEWAYS].callers;
        let id = format!("harmful-{name}-{number}");
        let answer = fleet.caller.ask_with_body(gateway, path, &id, HARMFUL);
        let answer = answer.await.map(|answer| answer.status);
        println!("{id}: {answer:?}");
        statuses.push(answer.unwrap_or(StatusCode::BAD_GATEWAY));
    }
    statuses
}
