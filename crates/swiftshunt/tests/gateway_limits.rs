//! The limit of what waits on a batch route holds for all gateways together.

mod gateway;

use std::time::Duration;

use futures_util::future::join_all;
use gateway::{ExclusiveFleet, start, submit};
use hyper::StatusCode;
use swiftshunt_lab::platform::caller::item_id;
use swiftshunt_lab::platform::fleet::{BATCH, PlatformOptions, eventually, first_configuration};
use swiftshunt_lab::platform::store::StoreFaults;
use test_case::test_case;
use tokio::time::Instant;

/// Tokens of an item of the caller's jobs.
const ITEM_TOKENS: f64 = 100.0;
/// Items of each job.
const ITEMS: usize = 10;
/// Jobs that fit.
const JOBS: usize = 4;
/// Time in which gateways learn of each other and of the configuration, and in which what waits is
/// reported.
const SETTLED: Duration = Duration::from_millis(2_500);

/// Three gateways, engines at which an item takes 20 s, and a limit of four jobs.
async fn limited_fleet() -> ExclusiveFleet {
    let mut fleet = start(PlatformOptions {
        gateways: 3,
        events: 400,
        event_pause: Duration::from_millis(50),
        ..PlatformOptions::default()
    })
    .await;
    let mut limited = first_configuration();
    let batch = limited.routes.iter_mut();
    let batch = batch.filter(|route| route.path_prefix == BATCH);
    for route in batch {
        route.max_queued_tokens = Some(ITEM_TOKENS * (ITEMS * JOBS) as f64);
    }
    fleet.configure(limited);
    tokio::time::sleep(SETTLED).await;
    fleet
}

async fn status_of(fleet: &ExclusiveFleet, gateway: usize, job: &str) -> StatusCode {
    let address = fleet.gateways[gateway].callers;
    let answer = fleet.caller.submit(address, BATCH, job, ITEMS).await;
    answer.expect("an answer")
}

fn has_run(fleet: &ExclusiveFleet, job: &str) -> bool {
    (0..ITEMS).any(|item| !fleet.runs_of(&item_id(job, item)).is_empty())
}

/// Hands in as many jobs as fit, in turn at each gateway.
async fn fill(fleet: &ExclusiveFleet) {
    for job in 0..JOBS {
        let gateway = fleet.gateways[job % 3].callers;
        submit(fleet, gateway, &format!("job-{job}"), ITEMS).await;
    }
}

/// A job beyond the limit is refused wherever it comes, at once and once what waits was reported, and
/// does not run; one that was taken before is taken again; one that ends makes room.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_beyond_the_limit_is_refused_by_every_gateway() {
    let fleet = limited_fleet().await;
    fill(&fleet).await;
    for pause in [Duration::ZERO, SETTLED] {
        tokio::time::sleep(pause).await;
        for gateway in 0..3 {
            let refused = status_of(&fleet, gateway, "late").await;
            assert_eq!(
                refused,
                StatusCode::TOO_MANY_REQUESTS,
                "{pause:?}, {gateway}"
            );
            let again = status_of(&fleet, gateway, "job-1").await;
            assert_eq!(again, StatusCode::ACCEPTED, "{pause:?}, {gateway}");
        }
    }
    assert!(!has_run(&fleet, "late"));
    let ended = fleet.caller.end(fleet.gateways[2].callers, "job-0").await;
    assert_eq!(ended.expect("an answer"), StatusCode::OK);
    eventually("there is room", || async {
        status_of(&fleet, 1, "late").await == StatusCode::ACCEPTED
    })
    .await;
    eventually("it runs", || async { has_run(&fleet, "late") }).await;
}

/// The limit holds while any one of the gateways is paused, also the one that counts.
#[tokio::test(flavor = "multi_thread")]
async fn the_limit_holds_while_a_gateway_is_paused() {
    let fleet = limited_fleet().await;
    fill(&fleet).await;
    tokio::time::sleep(SETTLED).await;
    for paused in 0..3 {
        // Each gateway has heard the total.
        for gateway in 0..3 {
            status_of(&fleet, gateway, "late").await;
        }
        fleet.gateways[paused].process.pause();
        for gateway in (0..3).filter(|gateway| *gateway != paused) {
            let status = status_of(&fleet, gateway, "late").await;
            assert_ne!(status, StatusCode::ACCEPTED, "{paused} is paused");
        }
        fleet.gateways[paused].process.resume();
        tokio::time::sleep(SETTLED).await;
    }
    assert!(!has_run(&fleet, "late"));
}

/// Pause between two jobs that are handed in at a full route.
const NEXT_TRY: Duration = Duration::from_millis(50);

/// Hands in jobs beyond the limit, at each gateway in turn, for a while: none may be taken.
async fn assert_nothing_is_taken(fleet: &ExclusiveFleet, time: Duration) {
    let until = Instant::now() + time;
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let gateway = fleet.gateways[number % 3].callers;
        let job = format!("beyond-{number}");
        let status = fleet.caller.submit(gateway, BATCH, &job, ITEMS).await;
        let taken = status.is_ok_and(|status| status == StatusCode::ACCEPTED);
        assert!(!taken, "{job} is taken though the route is full");
        tokio::time::sleep(NEXT_TRY).await;
    }
}

/// Gateways that have just started know nothing of what waits.
#[tokio::test(flavor = "multi_thread")]
async fn no_job_beyond_the_limit_is_taken_after_all_gateways_were_killed() {
    let mut fleet = limited_fleet().await;
    fill(&fleet).await;
    tokio::time::sleep(SETTLED).await;
    for gateway in 0..3 {
        fleet.gateways[gateway].process.kill();
    }
    for gateway in 0..3 {
        fleet.restart(gateway).expect("a gateway starts");
    }
    assert_nothing_is_taken(&fleet, Duration::from_secs(8)).await;
    let shared = &fleet;
    eventually("a job is ended", || async move {
        let ended = shared.caller.end(shared.gateways[0].callers, "job-0").await;
        ended.is_ok_and(|status| status == StatusCode::OK)
    })
    .await;
    eventually("there is room again", || async move {
        status_of(shared, 1, "late").await == StatusCode::ACCEPTED
    })
    .await;
}

/// The paused gateway may be the one that counts: the others have heard of the same room.
#[test_case(0)]
#[test_case(1)]
#[test_case(2)]
#[tokio::test(flavor = "multi_thread")]
async fn the_last_room_is_given_once_while_a_gateway_is_paused(paused: usize) {
    let fleet = limited_fleet().await;
    for job in 0..JOBS - 1 {
        let gateway = fleet.gateways[job % 3].callers;
        submit(&fleet, gateway, &format!("job-{job}"), ITEMS).await;
    }
    tokio::time::sleep(SETTLED).await;
    for gateway in 0..3 {
        assert_eq!(
            status_of(&fleet, gateway, "job-0").await,
            StatusCode::ACCEPTED
        );
    }
    tokio::time::sleep(SETTLED).await;
    fleet.gateways[paused].process.pause();
    let others: Vec<usize> = (0..3).filter(|gateway| *gateway != paused).collect();
    let tries = others.iter().map(|gateway| {
        let job = format!("last-{gateway}");
        let fleet = &fleet;
        async move { status_of(fleet, *gateway, &job).await }
    });
    let statuses = join_all(tries).await;
    let taken = statuses.iter().filter(|it| **it == StatusCode::ACCEPTED);
    assert!(taken.count() <= 1, "{statuses:?}");
    fleet.gateways[paused].process.resume();
}

/// A caller chooses the identifier, and no message between gateways may grow with it.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_with_a_long_identifier_counts_as_any_other() {
    let fleet = limited_fleet().await;
    let job = |number: usize| format!("{number}-{}", "long".repeat(500));
    for number in 0..JOBS {
        let gateway = fleet.gateways[number % 3].callers;
        submit(&fleet, gateway, &job(number), ITEMS).await;
    }
    for gateway in 0..3 {
        let status = status_of(&fleet, gateway, &job(JOBS + gateway)).await;
        assert_eq!(status, StatusCode::TOO_MANY_REQUESTS, "{gateway}");
    }
}

/// An append that takes long shows late in what holders report.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_counts_for_as_long_as_its_append_takes() {
    let fleet = limited_fleet().await;
    // The gateways know who counts.
    assert_eq!(status_of(&fleet, 0, "job-0").await, StatusCode::ACCEPTED);
    tokio::time::sleep(SETTLED).await;
    for gateway in &fleet.gateways {
        gateway.door.set(StoreFaults {
            delay: Duration::from_millis(1_400),
            ..StoreFaults::default()
        });
    }
    let shared = &fleet;
    let jobs = (0..12).map(|number| async move {
        tokio::time::sleep(Duration::from_millis(200) * number).await;
        let gateway = shared.gateways[number as usize % 3].callers;
        let job = format!("slow-{number}");
        let status = shared.caller.submit(gateway, BATCH, &job, ITEMS).await;
        status.is_ok_and(|status| status == StatusCode::ACCEPTED)
    });
    let taken = join_all(jobs).await;
    let taken = taken.iter().filter(|taken| **taken).count();
    assert!(taken < JOBS, "{taken} more jobs than one are taken");
}

/// Far less than a gateway waits that takes over from one that may still be counting.
const HANDED_OVER_WITHIN: Duration = Duration::from_secs(2);

/// Three of four jobs wait: no gateway has room before it knows that.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_the_gateway_that_counts_keeps_nobody_waiting_for_room() {
    let mut fleet = limited_fleet().await;
    for job in 0..JOBS - 1 {
        let counting = fleet.gateways[0].callers;
        submit(&fleet, counting, &format!("job-{job}"), ITEMS).await;
    }
    tokio::time::sleep(SETTLED).await;
    fleet.gateways[0].process.terminate();
    while fleet.gateways[0].process.is_running() {
        tokio::time::sleep(NEXT_TRY).await;
    }
    let stopped_at = Instant::now();
    let shared = &fleet;
    eventually("the last job is taken", || async move {
        status_of(shared, 1, "last").await == StatusCode::ACCEPTED
    })
    .await;
    let took = stopped_at.elapsed();
    println!("room was given {took:?} after the stop");
    assert!(took < HANDED_OVER_WITHIN, "{took:?}");
    for gateway in 1..3 {
        let status = status_of(&fleet, gateway, "beyond").await;
        assert_ne!(status, StatusCode::ACCEPTED, "{gateway}");
    }
}
