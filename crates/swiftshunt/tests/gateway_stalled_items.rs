//! Accepted items that make no progress are logged and counted with the gateway that runs them, since when and why.

mod gateway;

use gateway::{ExclusiveFleet, start, submit};
use serde_json::Value;
use swiftshunt_lab::platform::caller::item_id;
use swiftshunt_lab::platform::fleet::{PlatformOptions, eventually};
use swiftshunt_lab::platform::store::StoreFaults;
use swiftshunt_lab::platform::worker::WorkerBehaviour;
use swiftshunt_platform::words::topics;

const STALLED: &str = "an accepted item makes no progress";

const UNREADABLE: &str = "a leased partition cannot be read, and its items make no progress";

/// Returns the log lines of all gateways.
fn log_lines(fleet: &ExclusiveFleet) -> Vec<Value> {
    let files = std::fs::read_dir(fleet.log_directory()).expect("the log directory is unreadable");
    let paths = files.map(|file| file.expect("the log directory is unreadable").path());
    let logs = paths.filter(|path| path.extension().is_some_and(|it| it == "log"));
    let texts = logs.map(|log| std::fs::read_to_string(log).expect("a log is unreadable"));
    let lines = texts.flat_map(|text| {
        let lines = text
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        lines.collect::<Vec<Value>>()
    });
    lines.collect()
}

/// Returns the log lines about stalls of an item, of all gateways.
fn stall_lines(fleet: &ExclusiveFleet, item: &str) -> Vec<Value> {
    let mut lines = log_lines(fleet);
    lines.retain(|line| line["message"] == STALLED && line["item"] == item);
    lines
}

async fn wait_for_stall(fleet: &ExclusiveFleet, item: &str, waits_for: &str) -> Value {
    let is_logged = || async { !stall_lines(fleet, item).is_empty() };
    eventually("the stall is logged", is_logged).await;
    let line = stall_lines(fleet, item).remove(0);
    assert_eq!(line["waits_for"], waits_for, "{line}");
    assert!(line["stalled_ms"].as_u64().is_some_and(|ms| ms >= 5_000));
    let name = format!("swiftshunt_stalled_items{{waits_for=\"{waits_for}\"}}");
    eventually("the stall is counted", || async {
        let mut counted = 0.0;
        for gateway in &fleet.gateways {
            counted += fleet.caller.metric_value(gateway.metrics, &name).await;
        }
        counted >= 1.0
    })
    .await;
    line
}

#[tokio::test(flavor = "multi_thread")]
async fn an_item_without_a_worker_is_logged_as_waiting_for_a_slot() {
    let fleet = start(PlatformOptions::default()).await;
    for worker in &fleet.engine_workers {
        fleet.unlist(worker);
    }
    submit(&fleet, fleet.gateways[0].callers, "job", 1).await;
    wait_for_stall(&fleet, &item_id("job", 0), "Slot").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_item_that_no_worker_answers_is_logged_once_for_each_doubling() {
    let fleet = start(PlatformOptions::default()).await;
    for worker in &fleet.engine_workers {
        worker.set_behaviour(WorkerBehaviour::Hang);
    }
    submit(&fleet, fleet.gateways[0].callers, "job", 1).await;
    let item = item_id("job", 0);
    let is_logged_twice = || async { stall_lines(&fleet, &item).len() == 2 };
    eventually("the stall is logged twice", is_logged_twice).await;
    let lines = stall_lines(&fleet, &item);
    let stalls: Vec<u64> = lines
        .iter()
        .filter_map(|line| line["stalled_ms"].as_u64())
        .collect();
    assert!(stalls[0] < 10_000 && stalls[1] >= 10_000, "{stalls:?}");
    assert!(
        lines
            .iter()
            .all(|line| line["failed_attempts"].as_u64() > Some(0))
    );
}

/// The holder does not know the items of a partition that it cannot read.
#[tokio::test(flavor = "multi_thread")]
async fn a_leased_partition_that_cannot_be_read_is_logged_and_counted() {
    let fleet = start(PlatformOptions {
        gateways: 1,
        ..PlatformOptions::default()
    })
    .await;
    submit(&fleet, fleet.gateways[0].callers, "job", 1).await;
    fleet.gateways[0].store_listener.set_faults(StoreFaults {
        hang_reads_of: Some(topics::JOBS.to_owned()),
        ..StoreFaults::default()
    });
    let is_logged = || async {
        let lines = log_lines(&fleet);
        lines.iter().any(|line| line["message"] == UNREADABLE)
    };
    eventually("the partition is logged", is_logged).await;
    let metrics = fleet.gateways[0].metrics;
    eventually("the partition is counted", || async {
        let name = "swiftshunt_unreadable_partitions";
        fleet.caller.metric_value(metrics, name).await >= 1.0
    })
    .await;
}
