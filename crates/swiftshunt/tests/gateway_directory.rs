//! The worker directory: workers that restart under their identifiers, and malformed entries.

mod gateway;

use std::time::Duration;

use gateway::{ExclusiveFleet, start};
use hyper::StatusCode;
use serde_json::{Value, json};
use swiftshunt_lab::platform::fleet::{ASK, PlatformFleet, PlatformOptions, eventually};
use swiftshunt_lab::platform::worker::WorkerBehaviour;
use swiftshunt_platform::words::{topics, values};
use test_case::test_case;

const DEADLINE: Duration = Duration::from_secs(6);
/// Time within which gateways must apply a change of the directory.
const APPLIED_WITHIN: Duration = Duration::from_secs(2);

async fn fleet(workers: usize) -> ExclusiveFleet {
    start(PlatformOptions {
        workers,
        report_start_times: true,
        ..PlatformOptions::default()
    })
    .await
}

async fn ask(fleet: &ExclusiveFleet, id: &str) -> StatusCode {
    let gateway = fleet.gateways[0].callers;
    let answer = fleet.caller.ask(gateway, ASK, id, DEADLINE).await;
    answer.expect("no response").status
}

/// The only worker was draining, failing or silent before it restarted under its identifier. Nothing known of
/// its previous incarnation may keep requests from the new one.
#[test_case(values::DRAINING, WorkerBehaviour::Normal; "worker was draining")]
#[test_case(values::READY, WorkerBehaviour::Fail; "worker was failing")]
#[test_case(values::READY, WorkerBehaviour::Hang; "worker did not answer")]
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_worker_is_used_whatever_it_did_before(
    state: &str,
    behaviour: WorkerBehaviour,
) {
    let mut fleet = fleet(1).await;
    assert_eq!(ask(&fleet, "before").await, StatusCode::OK);
    fleet.whole_workers[0].set_behaviour(behaviour);
    fleet.list(&fleet.whole_workers[0], "whole", state);
    for number in 0..6 {
        let gateway = fleet.gateways[0].callers;
        let id = format!("meanwhile-{number}");
        let disconnect_after = Duration::from_millis(200);
        fleet
            .caller
            .ask_and_disconnect(gateway, ASK, &id, disconnect_after)
            .await;
    }
    fleet
        .restart_worker(0)
        .await
        .expect("the worker did not restart");
    let restarted_at = std::time::Instant::now();
    eventually("the worker serves", || async {
        ask(&fleet, "after").await == StatusCode::OK
    })
    .await;
    println!("served again after {:?}", restarted_at.elapsed());
    assert!(
        restarted_at.elapsed() < APPLIED_WITHIN,
        "the worker served only after {:?}",
        restarted_at.elapsed()
    );
    for number in 0..10 {
        assert_eq!(
            ask(&fleet, &format!("later-{number}")).await,
            StatusCode::OK
        );
    }
}

/// Entries of the previous incarnation with the state `draining` arrive after those of the new one. The
/// gateway must go on sending requests to the worker.
#[tokio::test(flavor = "multi_thread")]
async fn late_entries_of_a_previous_incarnation_change_nothing() {
    let mut fleet = fleet(1).await;
    let mut late_entry =
        PlatformFleet::directory_entry(&fleet.whole_workers[0], "whole", values::DRAINING);
    fleet
        .restart_worker(0)
        .await
        .expect("the worker did not restart");
    eventually("the worker serves", || async {
        ask(&fleet, "after").await == StatusCode::OK
    })
    .await;
    for _ in 0..10 {
        late_entry.call_seq += 1;
        let body = serde_json::to_vec(&late_entry).expect("the document cannot be encoded");
        let id = fleet.whole_workers[0].incarnation();
        fleet.store.put(topics::WORKERS, id, body);
        tokio::time::sleep(APPLIED_WITHIN / 10).await;
        assert_eq!(ask(&fleet, "once more").await, StatusCode::OK);
    }
}

/// Returns a valid entry of a ready worker with one field replaced, or removed if there is no value.
fn changed_entry(
    worker: &swiftshunt_lab::platform::worker::Worker,
    change: (&str, Option<Value>),
) -> Vec<u8> {
    let entry = PlatformFleet::directory_entry(worker, "whole", values::READY);
    let mut entry = serde_json::to_value(entry).expect("the entry cannot be encoded");
    let fields = entry.as_object_mut().expect("the entry is not an object");
    match change {
        (field, Some(value)) => drop(fields.insert(field.to_owned(), value)),
        (field, None) => drop(fields.remove(field)),
    }
    entry.to_string().into_bytes()
}

/// Malformed entries of another writer add no worker and leave the valid entries in effect. Each is logged
/// once.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_entries_add_no_worker() {
    let fleet = fleet(3).await;
    // All malformed entries have the address of this worker, so a gateway that uses one of them is detected.
    let unlisted = &fleet.whole_workers[2];
    fleet.unlist(unlisted);
    let changes = [
        ("service", None),
        ("address", None),
        ("zone", None),
        ("version", None),
        ("slots", None),
        ("state", None),
        ("coldLeftMs", None),
        ("callSeq", None),
        ("service", Some(json!(7))),
        ("address", Some(json!("nowhere"))),
        ("slots", Some(json!("many"))),
        ("slots", Some(json!(-1))),
        ("state", Some(json!("asleep"))),
        ("state", Some(json!(null))),
        ("coldLeftMs", Some(json!({}))),
        ("born", Some(json!("yesterday"))),
        ("born", Some(json!(1.5))),
        ("service", Some(json!("a service of nobody"))),
    ];
    let mut bodies: Vec<Vec<u8>> = changes.map(|change| changed_entry(unlisted, change)).into();
    bodies.extend([
        b"{".to_vec(),
        vec![0xff, 0xfe, 0x00],
        b"[]".to_vec(),
        b"null".to_vec(),
    ]);
    // One malformed entry has the key of the worker whole-0, which then writes its valid entry again.
    tokio::time::sleep(APPLIED_WITHIN).await;
    let before = unlisted.runs().len();
    for _ in 0..20 {
        for (number, body) in bodies.iter().enumerate() {
            let key = format!("foreign-{number}");
            fleet.store.put(topics::WORKERS, &key, body.clone());
        }
        fleet.store.put(topics::WORKERS, "whole-0", vec![0xff]);
        fleet.list(&fleet.whole_workers[0], "whole", values::READY);
        assert_eq!(ask(&fleet, "as ever").await, StatusCode::OK);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(unlisted.runs().len(), before, "a malformed entry was used");
    let logs = std::fs::read_to_string(fleet.log_directory().join("gateway-0.log"))
        .expect("the log file is unreadable");
    let lines = logs
        .lines()
        .filter(|line| line.contains("a record cannot be read"));
    let lines = lines.count();
    println!("{lines} lines for {} entries", bodies.len() * 20);
    // At most one line for each key.
    assert!(
        lines <= bodies.len() + 1,
        "{lines} log lines about unreadable entries"
    );
    let unreadable = fleet.caller.metric_value(
        fleet.gateways[0].metrics,
        "swiftshunt_records_unreadable_total",
    );
    assert!(unreadable.await >= bodies.len() as f64 - 1.0);
}
