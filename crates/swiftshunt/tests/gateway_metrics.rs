//! Figures that a gateway tells of what it decides.

mod gateway;

use std::time::Duration;

use gateway::start;
use hyper::StatusCode;
use swiftshunt_lab::platform::fleet::{ASK, BATCH, PlatformOptions};
use swiftshunt_lab::platform::store::{Down, StoreFaults};

const OBEY_WITHIN: Duration = Duration::from_secs(2);
const DEADLINE: Duration = Duration::from_secs(5);
const REFUSALS: &str = "swiftshunt_refusals_total";

#[tokio::test(flavor = "multi_thread")]
async fn refusals_are_counted_by_reason() {
    let fleet = start(PlatformOptions {
        gateways: 1,
        ..PlatformOptions::default()
    })
    .await;
    let gateway = &fleet.gateways[0];
    let refused = |reason: &str| {
        let name = format!("{REFUSALS}{{reason=\"{reason}\"}}");
        let caller = fleet.caller.clone();
        async move { caller.figure(gateway.metrics, &name).await }
    };
    for worker in &fleet.whole {
        fleet.unlist(worker);
    }
    tokio::time::sleep(OBEY_WITHIN).await;
    let answer = fleet.caller.ask(gateway.callers, ASK, "r1", DEADLINE).await;
    let status = answer.expect("an answer").status;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused("NoWorker").await, 1.0);
    assert_eq!(refused("LogAway").await, 0.0);

    gateway.door.set(StoreFaults {
        down: Some(Down::Busy),
        ..StoreFaults::default()
    });
    let answer = fleet
        .caller
        .submit(gateway.callers, BATCH, "job-1", 3)
        .await;
    let status = answer.expect("an answer");
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused("LogAway").await, 1.0);
    assert_eq!(refused("NoWorker").await, 1.0);
}
