//! Workers that start again under their identifier, and entries of the directory that others wrote.

mod gateway;

use std::time::Duration;

use gateway::{ExclusiveFleet, start};
use hyper::StatusCode;
use serde_json::{Value, json};
use swiftshunt_lab::platform::fleet::{ASK, PlatformFleet, PlatformOptions, eventually};
use swiftshunt_lab::platform::worker::Manner;
use swiftshunt_platform::words::{topics, values};
use test_case::test_case;

const DEADLINE: Duration = Duration::from_secs(6);
/// Time within which a change of the directory is obeyed.
const OBEYED: Duration = Duration::from_secs(2);

async fn fleet(workers: usize) -> ExclusiveFleet {
    start(PlatformOptions {
        workers,
        workers_tell_start: true,
        ..PlatformOptions::default()
    })
    .await
}

async fn ask(fleet: &ExclusiveFleet, id: &str) -> StatusCode {
    let gateway = fleet.gateways[0].callers;
    let answer = fleet.caller.ask(gateway, ASK, id, DEADLINE).await;
    answer.expect("an answer").status
}

/// The only worker was leaving, failed and ended; it starts again under its identifier. Nothing of its last
/// life keeps requests from it.
#[test_case(values::DRAINING, Manner::Sound; "that was leaving")]
#[test_case(values::READY, Manner::Fail; "that failed")]
#[test_case(values::READY, Manner::Dark; "that did not answer")]
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_that_starts_again_is_a_new_one(state: &str, manner: Manner) {
    let mut fleet = fleet(1).await;
    assert_eq!(ask(&fleet, "before").await, StatusCode::OK);
    fleet.whole[0].set(manner);
    fleet.list(&fleet.whole[0], "whole", state);
    for number in 0..6 {
        let gateway = fleet.gateways[0].callers;
        let id = format!("meanwhile-{number}");
        let patience = Duration::from_millis(200);
        fleet
            .caller
            .ask_and_leave(gateway, ASK, &id, patience)
            .await;
    }
    fleet.restart_worker(0).await.expect("a worker");
    let began = std::time::Instant::now();
    eventually("it serves", || async {
        ask(&fleet, "after").await == StatusCode::OK
    })
    .await;
    println!("served again after {:?}", began.elapsed());
    assert!(began.elapsed() < OBEYED, "{:?}", began.elapsed());
    for number in 0..10 {
        assert_eq!(
            ask(&fleet, &format!("later-{number}")).await,
            StatusCode::OK
        );
    }
}

/// What its last life said comes after what its new one did: it is not leaving.
#[tokio::test(flavor = "multi_thread")]
async fn what_a_last_life_said_changes_nothing() {
    let mut fleet = fleet(1).await;
    let mut late = PlatformFleet::entry_of(&fleet.whole[0], "whole", values::DRAINING);
    fleet.restart_worker(0).await.expect("a worker");
    eventually("it serves", || async {
        ask(&fleet, "after").await == StatusCode::OK
    })
    .await;
    for _ in 0..10 {
        late.call_seq += 1;
        let body = serde_json::to_vec(&late).expect("a document");
        let id = fleet.whole[0].incarnation();
        fleet.store.put(topics::WORKERS, id, body);
        tokio::time::sleep(OBEYED / 10).await;
        assert_eq!(ask(&fleet, "once more").await, StatusCode::OK);
    }
}

/// A sound entry of a worker that takes requests and answers none, changed in one place.
fn foreign(
    worker: &swiftshunt_lab::platform::worker::Worker,
    change: (&str, Option<Value>),
) -> Vec<u8> {
    let entry = PlatformFleet::entry_of(worker, "whole", values::READY);
    let mut entry = serde_json::to_value(entry).expect("an entry");
    let fields = entry.as_object_mut().expect("fields");
    match change {
        (field, Some(value)) => drop(fields.insert(field.to_owned(), value)),
        (field, None) => drop(fields.remove(field)),
    }
    entry.to_string().into_bytes()
}

/// Entries that another writer left name no worker to use, the others hold, and each is told of once.
#[tokio::test(flavor = "multi_thread")]
async fn entries_of_another_writer_name_no_worker() {
    let fleet = fleet(3).await;
    // Whatever reaches it by one of these entries is seen there.
    let bait = &fleet.whole[2];
    fleet.unlist(bait);
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
    let mut bodies: Vec<Vec<u8>> = changes.map(|change| foreign(bait, change)).into();
    bodies.extend([
        b"{".to_vec(),
        vec![0xff, 0xfe, 0x00],
        b"[]".to_vec(),
        b"null".to_vec(),
    ]);
    // One that says whole-0 in its key, and whole-0 itself, which writes again as it always does.
    tokio::time::sleep(OBEYED).await;
    let before = bait.runs().len();
    for _ in 0..20 {
        for (number, body) in bodies.iter().enumerate() {
            let key = format!("foreign-{number}");
            fleet.store.put(topics::WORKERS, &key, body.clone());
        }
        fleet.store.put(topics::WORKERS, "whole-0", vec![0xff]);
        fleet.list(&fleet.whole[0], "whole", values::READY);
        assert_eq!(ask(&fleet, "as ever").await, StatusCode::OK);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(bait.runs().len(), before, "a foreign entry was used");
    let logs = std::fs::read_to_string(fleet.logs().join("gateway-0.log")).expect("a log");
    let lines = logs
        .lines()
        .filter(|line| line.contains("a record cannot be read"));
    let lines = lines.count();
    println!("{lines} lines for {} entries", bodies.len() * 20);
    // One for each key.
    assert!(lines <= bodies.len() + 1, "{lines} lines");
    let unreadable = fleet.caller.figure(
        fleet.gateways[0].metrics,
        "swiftshunt_records_unreadable_total",
    );
    assert!(unreadable.await >= bodies.len() as f64 - 1.0);
}
