//! The limit of queued tokens of a batch route (`max_queued_tokens`), which holds for all gateways together.

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

/// Number of tokens of each item.
const ITEM_TOKENS: f64 = 100.0;
/// Number of items of each job.
const ITEMS: usize = 10;
/// Number of jobs within the limit.
const JOBS: usize = 4;
/// Time in which gateways discover each other, apply the configuration and report their queued tokens.
const SETTLED: Duration = Duration::from_millis(2_500);

/// Starts three gateways with a limit of four jobs, and engines at which an item takes 20 s.
async fn limited_fleet() -> ExclusiveFleet {
    let mut fleet = start(PlatformOptions {
        gateways: 3,
        events: 400,
        event_interval: Duration::from_millis(50),
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

/// Submits a job and returns the status of the response.
async fn submit_status(fleet: &ExclusiveFleet, gateway: usize, job: &str) -> StatusCode {
    let address = fleet.gateways[gateway].callers;
    let answer = fleet.caller.submit(address, BATCH, job, ITEMS).await;
    answer.expect("no response")
}

fn has_run(fleet: &ExclusiveFleet, job: &str) -> bool {
    (0..ITEMS).any(|item| !fleet.runs_of(&item_id(job, item)).is_empty())
}

/// Submits as many jobs as the limit allows, at each gateway in turn.
async fn submit_jobs_up_to_limit(fleet: &ExclusiveFleet) {
    for job in 0..JOBS {
        let gateway = fleet.gateways[job % 3].callers;
        submit(fleet, gateway, &format!("job-{job}"), ITEMS).await;
    }
}

/// A job beyond the limit is refused by every gateway, both immediately and after queued tokens were
/// reported, and does not run. A job that was accepted before is accepted again when it is resubmitted, and
/// a job that ends frees its share of the limit.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_beyond_the_limit_is_refused_by_every_gateway() {
    let fleet = limited_fleet().await;
    submit_jobs_up_to_limit(&fleet).await;
    for pause in [Duration::ZERO, SETTLED] {
        tokio::time::sleep(pause).await;
        for gateway in 0..3 {
            let refused = submit_status(&fleet, gateway, "late").await;
            assert_eq!(
                refused,
                StatusCode::TOO_MANY_REQUESTS,
                "gateway {gateway} after {pause:?}"
            );
            let again = submit_status(&fleet, gateway, "job-1").await;
            assert_eq!(
                again,
                StatusCode::ACCEPTED,
                "gateway {gateway} after {pause:?}"
            );
        }
    }
    assert!(!has_run(&fleet, "late"));
    let ended = fleet.caller.end(fleet.gateways[2].callers, "job-0").await;
    assert_eq!(ended.expect("no response"), StatusCode::OK);
    eventually("a job is accepted after another one has ended", || async {
        submit_status(&fleet, 1, "late").await == StatusCode::ACCEPTED
    })
    .await;
    eventually("the job runs", || async { has_run(&fleet, "late") }).await;
}

/// The limit holds while any single gateway is paused, including the one that counts the queued tokens.
#[tokio::test(flavor = "multi_thread")]
async fn the_limit_holds_while_a_gateway_is_paused() {
    let fleet = limited_fleet().await;
    submit_jobs_up_to_limit(&fleet).await;
    tokio::time::sleep(SETTLED).await;
    for paused in 0..3 {
        // After this submission each gateway knows the current total.
        for gateway in 0..3 {
            submit_status(&fleet, gateway, "late").await;
        }
        fleet.gateways[paused].process.pause();
        for gateway in (0..3).filter(|gateway| *gateway != paused) {
            let status = submit_status(&fleet, gateway, "late").await;
            assert_ne!(status, StatusCode::ACCEPTED, "gateway {paused} is paused");
        }
        fleet.gateways[paused].process.resume();
        tokio::time::sleep(SETTLED).await;
    }
    assert!(!has_run(&fleet, "late"));
}

/// Pause between two submissions to a full route.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(50);

/// Submits jobs beyond the limit to each gateway in turn for `time` and asserts that none is accepted.
async fn assert_no_job_is_accepted(fleet: &ExclusiveFleet, time: Duration) {
    let until = Instant::now() + time;
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let gateway = fleet.gateways[number % 3].callers;
        let job = format!("beyond-{number}");
        let status = fleet.caller.submit(gateway, BATCH, &job, ITEMS).await;
        let accepted = status.is_ok_and(|status| status == StatusCode::ACCEPTED);
        assert!(!accepted, "{job} is accepted although the route is full");
        tokio::time::sleep(SUBMIT_INTERVAL).await;
    }
}

/// Gateways that have just started do not know the queued tokens yet, and must not accept a job before they
/// do.
#[tokio::test(flavor = "multi_thread")]
async fn no_job_beyond_the_limit_is_accepted_after_all_gateways_were_killed() {
    let mut fleet = limited_fleet().await;
    submit_jobs_up_to_limit(&fleet).await;
    tokio::time::sleep(SETTLED).await;
    for gateway in 0..3 {
        fleet.gateways[gateway].process.kill();
    }
    for gateway in 0..3 {
        fleet.restart(gateway).expect("the gateway did not start");
    }
    assert_no_job_is_accepted(&fleet, Duration::from_secs(8)).await;
    let shared = &fleet;
    eventually("a job is ended", || async move {
        let ended = shared.caller.end(shared.gateways[0].callers, "job-0").await;
        ended.is_ok_and(|status| status == StatusCode::OK)
    })
    .await;
    eventually(
        "a job is accepted after another one has ended",
        || async move { submit_status(shared, 1, "late").await == StatusCode::ACCEPTED },
    )
    .await;
}

/// The paused gateway may be the one that counts the queued tokens. The other two know the same total, and
/// must not both accept a job that fits only once.
#[test_case(0)]
#[test_case(1)]
#[test_case(2)]
#[tokio::test(flavor = "multi_thread")]
async fn the_last_share_of_the_limit_is_used_once_while_a_gateway_is_paused(paused: usize) {
    let fleet = limited_fleet().await;
    for job in 0..JOBS - 1 {
        let gateway = fleet.gateways[job % 3].callers;
        submit(&fleet, gateway, &format!("job-{job}"), ITEMS).await;
    }
    tokio::time::sleep(SETTLED).await;
    for gateway in 0..3 {
        assert_eq!(
            submit_status(&fleet, gateway, "job-0").await,
            StatusCode::ACCEPTED
        );
    }
    tokio::time::sleep(SETTLED).await;
    fleet.gateways[paused].process.pause();
    let others: Vec<usize> = (0..3).filter(|gateway| *gateway != paused).collect();
    let submissions = others.iter().map(|gateway| {
        let job = format!("last-{gateway}");
        let fleet = &fleet;
        async move { submit_status(fleet, *gateway, &job).await }
    });
    let statuses = join_all(submissions).await;
    let accepted = statuses.iter().filter(|it| **it == StatusCode::ACCEPTED);
    assert!(
        accepted.count() <= 1,
        "more than one job was accepted: {statuses:?}"
    );
    fleet.gateways[paused].process.resume();
}

/// Callers choose the identifiers of jobs, so the messages between gateways must not grow with them.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_with_a_long_identifier_counts_like_any_other() {
    let fleet = limited_fleet().await;
    let job = |number: usize| format!("{number}-{}", "long".repeat(500));
    for number in 0..JOBS {
        let gateway = fleet.gateways[number % 3].callers;
        submit(&fleet, gateway, &job(number), ITEMS).await;
    }
    for gateway in 0..3 {
        let status = submit_status(&fleet, gateway, &job(JOBS + gateway)).await;
        assert_eq!(status, StatusCode::TOO_MANY_REQUESTS, "gateway {gateway}");
    }
}

/// Reports of queued tokens contain a job only after its append to the log, which may take long. Until then
/// the job must count, too.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_counts_while_its_append_is_in_progress() {
    let fleet = limited_fleet().await;
    // After this the gateways know which of them counts the queued tokens.
    assert_eq!(
        submit_status(&fleet, 0, "job-0").await,
        StatusCode::ACCEPTED
    );
    tokio::time::sleep(SETTLED).await;
    for gateway in &fleet.gateways {
        gateway.store_listener.set_faults(StoreFaults {
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
    let accepted = join_all(jobs).await;
    let accepted = accepted.iter().filter(|accepted| **accepted).count();
    assert!(
        accepted < JOBS,
        "{accepted} jobs were accepted besides the first one"
    );
}

/// Time within which the last job must be accepted after the stop: far less than the time that a gateway waits
/// before it takes over from one that may still be counting.
const HANDED_OVER_WITHIN: Duration = Duration::from_secs(2);

/// Three of four jobs are queued. The gateway that takes over the count must learn of them from the stopping
/// gateway before it accepts the last job, without waiting for a time-out.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_the_counting_gateway_does_not_delay_accepted_jobs() {
    let mut fleet = limited_fleet().await;
    for job in 0..JOBS - 1 {
        let gateway = fleet.gateways[0].callers;
        submit(&fleet, gateway, &format!("job-{job}"), ITEMS).await;
    }
    tokio::time::sleep(SETTLED).await;
    fleet.gateways[0].process.terminate();
    while fleet.gateways[0].process.is_running() {
        tokio::time::sleep(SUBMIT_INTERVAL).await;
    }
    let stopped_at = Instant::now();
    let shared = &fleet;
    eventually("the last job is accepted", || async move {
        submit_status(shared, 1, "last").await == StatusCode::ACCEPTED
    })
    .await;
    let took = stopped_at.elapsed();
    println!("the last job was accepted {took:?} after the stop");
    assert!(
        took < HANDED_OVER_WITHIN,
        "the last job was accepted only after {took:?}"
    );
    for gateway in 1..3 {
        let status = submit_status(&fleet, gateway, "beyond").await;
        assert_ne!(status, StatusCode::ACCEPTED, "gateway {gateway}");
    }
}
