//! Requests at workers that stay silent while their directory entries lapse and return.
//!
//! Guards against a silence that is no longer noticed once the worker has been listed anew.

mod gateway;

use std::time::Duration;

use gateway::{assert_completed, start, submit, wait_for_all_results};
use swiftshunt_lab::platform::fleet::{PlatformOptions, eventually};
use swiftshunt_lab::platform::worker::WorkerBehaviour;
use swiftshunt_platform::words::values;

/// Time within which a gateway applies a change of the directory that it reads itself.
const APPLIED_WITHIN: Duration = Duration::from_millis(500);

#[tokio::test(flavor = "multi_thread")]
async fn an_item_is_sent_again_if_its_silent_worker_was_listed_anew() {
    let fleet = start(PlatformOptions {
        gateways: 1,
        workers: 1,
        ..PlatformOptions::default()
    })
    .await;
    let worker = &fleet.engine_workers[0];
    worker.set_behaviour(WorkerBehaviour::Hang);
    let gateway = fleet.gateways[0].callers;
    submit(&fleet, gateway, "job", 1).await;
    eventually("the item is at the worker", || async {
        worker.running() == 1
    })
    .await;
    worker.set_behaviour(WorkerBehaviour::Normal);
    fleet.unlist(worker);
    tokio::time::sleep(APPLIED_WITHIN).await;
    fleet.list(worker, "engine", values::READY);
    wait_for_all_results(&fleet, gateway, "job", 1).await;
    assert_completed(
        &gateway::listed_results(&fleet, gateway, "job").await,
        "job",
        1,
    );
}
