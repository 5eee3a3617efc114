//! Batch jobs on gateways with simulated workers, also while gateways and the platform's log fail.

mod gateway;

use std::time::Duration;

use gateway::{
    ExclusiveFleet, NO_WAIT, assert_completed, listed_results, start, submit, wait_for_all_results,
};
use hyper::StatusCode;
use swiftshunt_lab::platform::caller::{item_body, item_id};
use swiftshunt_lab::platform::fleet::{BATCH, PlatformOptions, eventually, first_configuration};
use swiftshunt_lab::platform::store::{StoreFaults, StoreOutage};
use swiftshunt_lab::platform::worker::{Run, WorkerBehaviour};
use swiftshunt_platform::words::values;
use test_case::test_case;

#[tokio::test(flavor = "multi_thread")]
async fn each_item_runs_once_and_all_gateways_list_the_same_results() {
    let fleet = start(PlatformOptions::default()).await;
    let [one, two] = [fleet.gateways[0].callers, fleet.gateways[1].callers];
    submit(&fleet, one, "job-1", 10).await;
    submit(&fleet, two, "job-1", 10).await;
    wait_for_all_results(&fleet, one, "job-1", 10).await;
    wait_for_all_results(&fleet, two, "job-1", 10).await;
    let results = listed_results(&fleet, one, "job-1").await;
    assert_completed(&results, "job-1", 10);
    assert_eq!(results, listed_results(&fleet, two, "job-1").await);
    for item in 0..10 {
        assert_eq!(fleet.runs_of(&item_id("job-1", item)).len(), 1);
    }
    let body = fleet.caller.item(two, "job-1", &item_id("job-1", 3)).await;
    let (status, body) = body.expect("no response");
    assert_eq!(status, StatusCode::OK);
    assert_eq!(body, item_body("job-1", 3));
}

/// Keys in the log have a limited length. A job stored under a truncated key would be lost although it
/// was acknowledged with 202.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_with_a_long_identifier_is_not_lost() {
    let fleet = start(PlatformOptions::default()).await;
    let [one, two] = [fleet.gateways[0].callers, fleet.gateways[1].callers];
    let job = "long".repeat(100);
    submit(&fleet, one, &job, 2).await;
    wait_for_all_results(&fleet, two, &job, 2).await;
    assert_completed(&listed_results(&fleet, one, &job).await, &job, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_stays_readable_after_its_route_is_removed() {
    let mut fleet = start(PlatformOptions::default()).await;
    let gateway = fleet.gateways[0].callers;
    submit(&fleet, gateway, "job-1", 2).await;
    wait_for_all_results(&fleet, gateway, "job-1", 2).await;
    let mut without_routes = first_configuration();
    without_routes.routes.clear();
    fleet.configure(without_routes);
    let shared = &fleet;
    eventually("the routes are gone", || async move {
        let request = shared
            .caller
            .ask(gateway, BATCH, "r1", Duration::from_secs(2));
        let answer = request.await;
        answer.is_ok_and(|answer| answer.status == StatusCode::NOT_FOUND)
    })
    .await;
    assert_eq!(listed_results(&fleet, gateway, "job-1").await.len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn result_pages_start_at_the_requested_position() {
    let fleet = start(PlatformOptions::default()).await;
    let gateway = fleet.gateways[0].callers;
    submit(&fleet, gateway, "job-1", 5).await;
    wait_for_all_results(&fleet, gateway, "job-1", 5).await;
    let all_results = listed_results(&fleet, gateway, "job-1").await;
    for from in 0..=5 {
        let answer = fleet.caller.results(gateway, "job-1", from, NO_WAIT).await;
        let (status, page) = answer.expect("no response");
        assert_eq!(status, StatusCode::OK);
        assert_eq!(page.total, 5);
        assert_eq!(page.next_token, 5);
        assert_eq!(page.results, all_results[from..]);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_job_is_404_and_503_while_the_log_is_unreachable() {
    let fleet = start(PlatformOptions::default()).await;
    let gateway = &fleet.gateways[0];
    let answer = fleet
        .caller
        .results(gateway.callers, "none", 0, NO_WAIT)
        .await;
    assert_eq!(answer.expect("no response").0, StatusCode::NOT_FOUND);
    // Both gateways are cut off: the other one may own the job's partition, and would still answer 404 if
    // it reached the log.
    for gateway in &fleet.gateways {
        gateway
            .store_listener
            .set_faults(gateway::unresponsive_log());
    }
    let answer = fleet
        .caller
        .results(gateway.callers, "none", 0, NO_WAIT)
        .await;
    let status = answer.expect("no response").0;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
}

/// Guards against an empty page for a position at which another gateway already lists results: a gateway
/// whose replay of the log lags must not report the position as empty.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_whose_replay_lags_does_not_report_an_empty_page() {
    let fleet = start(PlatformOptions::default()).await;
    let [one, two] = [fleet.gateways[0].callers, fleet.gateways[1].callers];
    submit(&fleet, one, "job-1", 3).await;
    eventually("the second gateway knows the job", || async {
        let answer = fleet.caller.results(two, "job-1", 0, NO_WAIT).await;
        answer.is_ok_and(|(status, _)| status == StatusCode::OK)
    })
    .await;
    fleet.gateways[1]
        .store_listener
        .set_faults(gateway::unresponsive_log());
    wait_for_all_results(&fleet, one, "job-1", 3).await;
    let answer = fleet.caller.results(two, "job-1", 0, NO_WAIT).await;
    let (status, page) = answer.expect("no response");
    let is_empty = page.results.is_empty();
    assert!(
        status == StatusCode::SERVICE_UNAVAILABLE || !is_empty,
        "{status} {page:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_survives_a_restart_of_all_gateways() {
    let mut fleet = start(PlatformOptions {
        event_interval: Duration::from_millis(60),
        ..PlatformOptions::default()
    })
    .await;
    submit(&fleet, fleet.gateways[0].callers, "job-1", 12).await;
    for index in 0..fleet.gateways.len() {
        fleet.restart(index).expect("the gateway did not start");
    }
    let gateway = fleet.gateways[1].callers;
    wait_for_all_results(&fleet, gateway, "job-1", 12).await;
    let results = listed_results(&fleet, gateway, "job-1").await;
    assert_completed(&results, "job-1", 12);
}

#[tokio::test(flavor = "multi_thread")]
async fn results_survive_compaction_of_the_log() {
    let mut fleet = start(PlatformOptions::default()).await;
    let gateway = fleet.gateways[0].callers;
    submit(&fleet, gateway, "job-1", 6).await;
    wait_for_all_results(&fleet, gateway, "job-1", 6).await;
    let before = listed_results(&fleet, gateway, "job-1").await;
    fleet.store.drop_history();
    fleet.restart(1).expect("the gateway did not start");
    let restarted = fleet.gateways[1].callers;
    wait_for_all_results(&fleet, restarted, "job-1", 6).await;
    assert_eq!(before, listed_results(&fleet, restarted, "job-1").await);
    submit(&fleet, gateway, "job-2", 6).await;
    wait_for_all_results(&fleet, restarted, "job-2", 6).await;
}

#[test_case(Duration::ZERO; "append is executed immediately")]
#[test_case(Duration::from_millis(1500); "append is executed late")]
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_log_duplicate_no_results(lost_append_delay: Duration) {
    let fleet = start(PlatformOptions {
        seed: 7,
        ..PlatformOptions::default()
    })
    .await;
    for gateway in &fleet.gateways {
        gateway.store_listener.set_faults(StoreFaults {
            lost_answer_probability: 0.5,
            lost_append_delay,
            ..StoreFaults::default()
        });
    }
    let [one, two] = [fleet.gateways[0].callers, fleet.gateways[1].callers];
    for number in 0..6 {
        let job = format!("job-{number}");
        eventually("the job is accepted", || async {
            let status = fleet.caller.submit(one, BATCH, &job, 4).await;
            let status = status.expect("no response");
            // 503 would state that the job is not stored, but an append is executed even if its answer is lost.
            assert_ne!(status, StatusCode::SERVICE_UNAVAILABLE);
            status == StatusCode::ACCEPTED
        })
        .await;
        wait_for_all_results(&fleet, one, &job, 4).await;
        wait_for_all_results(&fleet, two, &job, 4).await;
        let results = listed_results(&fleet, one, &job).await;
        assert_completed(&results, &job, 4);
        assert_eq!(results, listed_results(&fleet, two, &job).await);
    }
}

/// The log loses answers without closing the connection. The gateway still accepts jobs in time, because it
/// appends a job again while the answer of the first append is overdue.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_are_accepted_in_time_while_the_log_silently_loses_answers() {
    const JOBS: usize = 24;
    /// Time within which a job must be accepted: less than the time limit of one call to the log.
    const ACCEPTANCE_TIMEOUT: Duration = Duration::from_millis(1_000);
    /// Maximum number of late jobs: with four open appends per job and 40 % of the answers lost, about one
    /// job in forty loses all four.
    const MAX_LATE_JOBS: usize = 5;
    let fleet = start(PlatformOptions::default()).await;
    let gateway = fleet.gateways[0].callers;
    submit(&fleet, gateway, "job-0", 1).await;
    fleet.gateways[0].store_listener.set_faults(StoreFaults {
        lost_answer_probability: 0.4,
        hold_open_on_lost_answer: true,
        ..StoreFaults::default()
    });
    let is_accepted_in_time = |number: usize| {
        let fleet = &fleet;
        async move {
            let job = format!("job-{number}");
            let began = std::time::Instant::now();
            let status = fleet.caller.submit(gateway, BATCH, &job, 1).await;
            status.is_ok_and(|status| status == StatusCode::ACCEPTED)
                && began.elapsed() < ACCEPTANCE_TIMEOUT
        }
    };
    let submissions = futures_util::future::join_all((1..=JOBS).map(is_accepted_in_time));
    let late = submissions.await.into_iter().filter(|in_time| !in_time);
    let late = late.count();
    println!("{late} of {JOBS} jobs were late");
    assert!(late <= MAX_LATE_JOBS, "{late} jobs were late");
}

#[test_case(StoreOutage::Busy; "log answers busy")]
#[test_case(StoreOutage::Reset; "log resets connections")]
#[tokio::test(flavor = "multi_thread")]
async fn no_job_is_accepted_while_the_log_is_down_and_a_rejected_job_never_runs(
    outage: StoreOutage,
) {
    let fleet = start(PlatformOptions::default()).await;
    // Both gateways are cut off, since a gateway without the log submits jobs through another one.
    for gateway in &fleet.gateways {
        let faults = StoreFaults {
            outage: Some(outage),
            ..StoreFaults::default()
        };
        gateway.store_listener.set_faults(faults);
    }
    let gateway = fleet.gateways[0].callers;
    let status = fleet.caller.submit(gateway, BATCH, "job-1", 3).await;
    let status = status.expect("no response");
    for gateway in &fleet.gateways {
        gateway.store_listener.set_faults(StoreFaults::default());
    }
    assert_ne!(status, StatusCode::ACCEPTED);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        tokio::time::sleep(Duration::from_secs(3)).await;
        for item in 0..3 {
            assert!(fleet.runs_of(&item_id("job-1", item)).is_empty());
        }
    }
}

/// Guards against runs that are cut off because leases expire while the log is down and no gateway can
/// renew them (339 runs in one outage).
#[tokio::test(flavor = "multi_thread")]
async fn items_keep_running_while_the_log_is_down_for_all_gateways() {
    let fleet = start(PlatformOptions {
        event_interval: Duration::from_millis(400),
        ..PlatformOptions::default()
    })
    .await;
    let gateway = fleet.gateways[0].callers;
    submit(&fleet, gateway, "job-1", 6).await;
    let items: Vec<String> = (0..6).map(|item| item_id("job-1", item)).collect();
    eventually("every item runs", || async {
        items.iter().all(|item| !fleet.runs_of(item).is_empty())
    })
    .await;
    for gateway in &fleet.gateways {
        gateway
            .store_listener
            .set_faults(gateway::unresponsive_log());
    }
    // The runs take longer than a lease, but less than the time for which the log retains leases.
    eventually("every item has a finished run", || async {
        let has_completed_run = |item: &String| fleet.runs_of(item).iter().any(|run| run.completed);
        items.iter().all(has_completed_run)
    })
    .await;
    for gateway in &fleet.gateways {
        gateway.store_listener.set_faults(StoreFaults::default());
    }
    wait_for_all_results(&fleet, gateway, "job-1", 6).await;
    for item in &items {
        assert_eq!(fleet.runs_of(item).len(), 1, "{item} was run again");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_gateway_hands_over_the_progress_of_its_items() {
    let fleet = start(PlatformOptions {
        event_interval: Duration::from_millis(250),
        ..PlatformOptions::default()
    })
    .await;
    let [one, two] = [fleet.gateways[0].callers, fleet.gateways[1].callers];
    for number in 0..6 {
        submit(&fleet, one, &format!("job-{number}"), 1).await;
    }
    let items: Vec<String> = (0..6)
        .map(|job| item_id(&format!("job-{job}"), 0))
        .collect();
    eventually("every item runs", || async {
        items.iter().all(|item| !fleet.runs_of(item).is_empty())
    })
    .await;
    tokio::time::sleep(Duration::from_millis(800)).await;
    let before = all_runs(&fleet, &items);
    fleet.gateways[0].process.terminate();
    for number in 0..6 {
        let job = format!("job-{number}");
        wait_for_all_results(&fleet, two, &job, 1).await;
        assert_completed(&listed_results(&fleet, two, &job).await, &job, 1);
    }
    let after = all_runs(&fleet, &items);
    assert!(
        after.len() > before.len(),
        "no item ran again after its gateway had stopped"
    );
    let from_start = |runs: &[Run]| runs.iter().filter(|run| run.last_event.is_none()).count();
    assert_eq!(
        from_start(&before),
        from_start(&after),
        "an item was run again from its start: {after:?}"
    );
}

fn all_runs(fleet: &ExclusiveFleet, items: &[String]) -> Vec<Run> {
    let runs = items.iter().flat_map(|item| fleet.runs_of(item));
    runs.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn items_of_an_ended_job_stop_running() {
    let fleet = start(PlatformOptions {
        events: 200,
        event_interval: Duration::from_millis(50),
        ..PlatformOptions::default()
    })
    .await;
    let [one, two] = [fleet.gateways[0].callers, fleet.gateways[1].callers];
    submit(&fleet, one, "job-1", 6).await;
    eventually("an item runs", || async {
        !fleet.runs_of(&item_id("job-1", 0)).is_empty()
    })
    .await;
    for gateway in [two, one, two] {
        let status = fleet.caller.end(gateway, "job-1").await;
        assert_eq!(status.expect("no response"), StatusCode::OK);
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let count = || -> usize {
        (0..6)
            .map(|item| fleet.runs_of(&item_id("job-1", item)).len())
            .sum()
    };
    let count_before = count();
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(count_before, count());
}

#[test_case(WorkerBehaviour::Fail, 3; "failed runs")]
#[test_case(WorkerBehaviour::RejectPermanently, 1; "items that workers reject as impossible")]
#[tokio::test(flavor = "multi_thread")]
async fn a_failing_item_is_given_up_after_the_allowed_number_of_runs(
    behaviour: WorkerBehaviour,
    runs: usize,
) {
    let fleet = start(PlatformOptions::default()).await;
    for engine in &fleet.engine_workers {
        engine.set_behaviour(behaviour);
    }
    let gateway = fleet.gateways[0].callers;
    submit(&fleet, gateway, "job-1", 2).await;
    wait_for_all_results(&fleet, gateway, "job-1", 2).await;
    for result in listed_results(&fleet, gateway, "job-1").await {
        assert_eq!(result.state, values::GIVEN_UP);
    }
    for item in 0..2 {
        assert_eq!(fleet.runs_of(&item_id("job-1", item)).len(), runs);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_item_whose_stream_breaks_resumes_after_its_last_event() {
    let fleet = start(PlatformOptions::default()).await;
    for engine in &fleet.engine_workers {
        engine.set_behaviour(WorkerBehaviour::TruncateStreamAfter(3));
    }
    let gateway = fleet.gateways[0].callers;
    submit(&fleet, gateway, "job-1", 3).await;
    wait_for_all_results(&fleet, gateway, "job-1", 3).await;
    assert_completed(&listed_results(&fleet, gateway, "job-1").await, "job-1", 3);
    let runs = fleet.runs_of(&item_id("job-1", 0));
    let from_start = runs.iter().filter(|run| run.last_event.is_none());
    assert_eq!(from_start.count(), 1, "{runs:?}");
    assert!(
        runs.len() > 1,
        "the item ran once only: its stream did not break off"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn reassigned_partitions_duplicate_no_results() {
    let fleet = start(PlatformOptions {
        event_interval: Duration::from_millis(100),
        ..PlatformOptions::default()
    })
    .await;
    let [one, two] = [fleet.gateways[0].callers, fleet.gateways[1].callers];
    for number in 0..4 {
        submit(&fleet, one, &format!("job-{number}"), 4).await;
    }
    for _ in 0..5 {
        fleet.store.reassign_partitions();
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    for number in 0..4 {
        let job = format!("job-{number}");
        wait_for_all_results(&fleet, one, &job, 4).await;
        wait_for_all_results(&fleet, two, &job, 4).await;
        let results = listed_results(&fleet, one, &job).await;
        assert_completed(&results, &job, 4);
        assert_eq!(results, listed_results(&fleet, two, &job).await);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn items_of_a_paused_gateway_run_elsewhere_and_its_late_results_change_nothing() {
    let fleet = start(PlatformOptions {
        event_interval: Duration::from_millis(150),
        ..PlatformOptions::default()
    })
    .await;
    let [one, two] = [fleet.gateways[0].callers, fleet.gateways[1].callers];
    for number in 0..4 {
        submit(&fleet, two, &format!("job-{number}"), 3).await;
    }
    fleet.gateways[0].process.pause();
    for number in 0..4 {
        wait_for_all_results(&fleet, two, &format!("job-{number}"), 3).await;
    }
    let before = listed_results(&fleet, two, "job-0").await;
    fleet.gateways[0].process.resume();
    for number in 0..4 {
        let job = format!("job-{number}");
        wait_for_all_results(&fleet, one, &job, 3).await;
        assert_completed(&listed_results(&fleet, one, &job).await, &job, 3);
    }
    assert_eq!(before, listed_results(&fleet, one, "job-0").await);
}
