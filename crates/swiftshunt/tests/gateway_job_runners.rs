//! Items of batch jobs that are run by one gateway after the other, or by one that knows less than the gateway that accepted
//! the job.

mod gateway;

use std::time::Duration;

use gateway::{assert_completed, listed_results, start, submit, wait_for_all_results};
use hyper::StatusCode;
use swiftshunt_lab::platform::caller::item_id;
use swiftshunt_lab::platform::fleet::{PlatformOptions, eventually, first_configuration, route};
use swiftshunt_lab::platform::store::StoreFaults;
use swiftshunt_lab::platform::worker::WorkerBehaviour;
use swiftshunt_platform::words::{topics, values};
use test_case::test_case;

/// Path of a route for batch jobs that is added later.
const LATE: &str = "/late/";

/// What takes the partitions away from their holders again and again.
#[derive(Clone, Copy)]
enum Loss {
    Reassigned,
    GatewaysKilled,
}

/// The count of failed runs must outlive the gateway that has seen them.
#[test_case(Loss::Reassigned; "partitions are reassigned")]
#[test_case(Loss::GatewaysKilled; "gateways are killed in turn")]
#[tokio::test(flavor = "multi_thread")]
async fn failed_runs_are_counted_across_the_runners_of_an_item(loss: Loss) {
    const MAX_ATTEMPTS: usize = 3;
    let mut fleet = start(PlatformOptions::default()).await;
    for engine in &fleet.engine_workers {
        engine.set_behaviour(WorkerBehaviour::Fail);
    }
    let jobs: Vec<String> = (0..4).map(|number| format!("job-{number}")).collect();
    for job in &jobs {
        submit(&fleet, fleet.gateways[0].callers, job, 2).await;
    }
    for round in 0..24 {
        match loss {
            Loss::Reassigned => fleet.store.reassign_partitions(),
            Loss::GatewaysKilled => {
                let restarted = fleet.restart(round % 2);
                restarted.expect("the gateway did not start");
            }
        }
        let pause = match loss {
            Loss::Reassigned => Duration::from_millis(400),
            Loss::GatewaysKilled => Duration::from_millis(1_200),
        };
        tokio::time::sleep(pause).await;
    }
    let gateway = fleet.gateways[0].callers;
    for job in &jobs {
        wait_for_all_results(&fleet, gateway, job, 2).await;
        for item in 0..2 {
            let runs = fleet.runs_of(&item_id(job, item)).len();
            assert!(runs <= 3 * MAX_ATTEMPTS, "{job}, item {item}: {runs} runs");
        }
    }
}

/// A gateway that has not read the latest configuration runs items of a job that another one has accepted by it: it must
/// not take the route for a removed one.
#[tokio::test(flavor = "multi_thread")]
async fn items_are_not_given_up_by_a_gateway_with_an_older_configuration() {
    let mut fleet = start(PlatformOptions::default()).await;
    let gateway = fleet.gateways[0].callers;
    // Both gateways hold partitions by then.
    submit(&fleet, gateway, "before", 4).await;
    wait_for_all_results(&fleet, gateway, "before", 4).await;
    let stale = fleet.gateways[1].store_listener.clone();
    stale.set_faults(StoreFaults {
        hang_reads_of: Some(topics::OPERATOR.to_owned()),
        ..StoreFaults::default()
    });
    let mut configuration = first_configuration();
    let mut late = route(LATE, values::BATCH, "engine");
    late.completion_target_ms = Some(20_000.0);
    late.max_wait_s = Some(60.0);
    configuration.routes.push(late);
    fleet.configure(configuration);
    let jobs: Vec<String> = (0..8).map(|number| format!("job-{number}")).collect();
    for job in &jobs {
        eventually("the job is accepted", || async {
            let status = fleet.caller.submit(gateway, LATE, job, 5).await;
            status.is_ok_and(|status| status == StatusCode::ACCEPTED)
        })
        .await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    stale.set_faults(StoreFaults::default());
    for job in &jobs {
        wait_for_all_results(&fleet, gateway, job, 5).await;
        assert_completed(&listed_results(&fleet, gateway, job).await, job, 5);
    }
}
