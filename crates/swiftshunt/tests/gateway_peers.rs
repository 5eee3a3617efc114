//! Cooperation of gateways on batch jobs: forwarded calls and reassigned partitions.

mod gateway;

use std::time::Duration;

use gateway::{NO_WAIT, assert_completed, listed_results, start, submit, wait_for_all_results};
use hyper::StatusCode;
use swiftshunt_lab::platform::caller::item_id;
use swiftshunt_lab::platform::fleet::{PlatformOptions, eventually};
use swiftshunt_lab::platform::store::StoreFaults;

/// A gateway forwards calls about a job to the gateway that owns it. A gateway that cannot read the log must
/// therefore still answer them.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_without_the_log_still_answers_calls_about_jobs() {
    let fleet = start(PlatformOptions::default()).await;
    let [one, two] = [fleet.gateways[0].callers, fleet.gateways[1].callers];
    // Each gateway owns some of the eight jobs.
    let jobs: Vec<String> = (0..8).map(|number| format!("job-{number}")).collect();
    for job in &jobs {
        drop(fleet.caller.results(two, job, 0, NO_WAIT).await);
    }
    fleet.gateways[1]
        .store_listener
        .set_faults(gateway::unresponsive_log());
    for job in &jobs {
        submit(&fleet, one, job, 3).await;
    }
    let mut read_count = 0;
    for job in &jobs {
        wait_for_all_results(&fleet, one, job, 3).await;
        let answer = fleet.caller.results(two, job, 0, NO_WAIT).await;
        let (status, page) = answer.expect("no response");
        if status == StatusCode::OK {
            assert_completed(&page.results, job, 3);
            read_count += 1;
        } else {
            assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{job}");
        }
    }
    assert!(
        read_count > 0,
        "no job was read through the gateway without the log"
    );
}

/// If the owner of a job does not answer, another gateway reads the results from the log.
#[tokio::test(flavor = "multi_thread")]
async fn calls_about_a_job_are_answered_while_its_owner_is_paused() {
    let fleet = start(PlatformOptions {
        lease: Duration::from_secs(30),
        ..PlatformOptions::default()
    })
    .await;
    let [one, two] = [fleet.gateways[0].callers, fleet.gateways[1].callers];
    let jobs: Vec<String> = (0..8).map(|number| format!("job-{number}")).collect();
    for job in &jobs {
        submit(&fleet, one, job, 3).await;
    }
    for job in &jobs {
        wait_for_all_results(&fleet, two, job, 3).await;
    }
    fleet.gateways[0].process.pause();
    for job in &jobs {
        eventually("the job is readable while its owner is paused", || async {
            let results = listed_results(&fleet, two, job).await;
            results.len() == 3
        })
        .await;
        assert_completed(&listed_results(&fleet, two, job).await, job, 3);
    }
}

/// A gateway that owns a partition again must not run items by its earlier state of the partition: if its
/// reads of the log are lost, that state may be older than an acknowledged end of the job.
#[tokio::test(flavor = "multi_thread")]
async fn an_ended_job_does_not_run_at_a_new_owner_with_outdated_state() {
    const ITEMS: usize = 150;
    let fleet = start(PlatformOptions {
        event_interval: Duration::from_millis(60),
        ..PlatformOptions::default()
    })
    .await;
    let [one, two] = [fleet.gateways[0].callers, fleet.gateways[1].callers];
    submit(&fleet, one, "job-1", ITEMS).await;
    let runs = || -> usize {
        let items = (0..ITEMS).map(|item| item_id("job-1", item));
        items.map(|item| fleet.runs_of(&item).len()).sum()
    };
    // Each gateway owns the partition once, so that both know the job.
    for moves in 1..3 {
        let before = runs();
        eventually("more items of the job run", || async {
            runs() > before + 8
        })
        .await;
        println!("{} runs before move {moves}", runs());
        fleet.store.reassign_partitions();
        tokio::time::sleep(Duration::from_millis(800)).await;
    }
    for gateway in &fleet.gateways {
        gateway.store_listener.set_faults(StoreFaults {
            hang_reads: true,
            ..StoreFaults::default()
        });
    }
    let status = fleet.caller.end(two, "job-1").await;
    assert_eq!(status.expect("no response"), StatusCode::OK);
    fleet.store.reassign_partitions();
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let count_before = runs();
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(count_before, runs(), "items of an ended job run");
}
