//! Odd entries of another writer among those of the workers.
//!
//! Guards against gateways that end, or stop following the directory, because of an entry that they cannot use.

mod gateway;

use std::time::Duration;

use gateway::{ExclusiveFleet, start};
use hyper::StatusCode;
use serde_json::{Value, json};
use swiftshunt_lab::platform::fleet::{ASK, PlatformFleet, PlatformOptions, eventually};
use swiftshunt_platform::words::{topics, values};

const DEADLINE: Duration = Duration::from_secs(6);
/// Time within which gateways apply a change of the directory.
const APPLIED_WITHIN: Duration = Duration::from_secs(2);
/// Depth of nested values.
const DEPTH: usize = 100_000;
/// Size of a large entry, in bytes.
const LARGE_BYTES: usize = 3 << 20;
/// Number of entries under odd keys: more than two pages of a listing.
const ODD_KEYS: usize = 1_200;
/// Index of the worker that is not listed, to which all odd entries point.
const UNLISTED: usize = 2;

/// Returns a valid entry of the worker that is not listed, in which the value of one field is replaced.
fn entry_with(fleet: &ExclusiveFleet, field: &str, value: &str) -> Vec<u8> {
    let worker = &fleet.whole_workers[UNLISTED];
    let entry = PlatformFleet::directory_entry(worker, "whole", values::READY);
    let mut entry = serde_json::to_value(entry).expect("the entry cannot be encoded");
    entry[field] = json!("@");
    // Some values cannot be written by the library.
    entry.to_string().replace("\"@\"", value).into_bytes()
}

fn nested(open: &str, close: &str) -> String {
    format!("{}0{}", open.repeat(DEPTH), close.repeat(DEPTH))
}

fn odd_entries(fleet: &ExclusiveFleet) -> Vec<Vec<u8>> {
    let arrays = nested("[", "]");
    let maps = nested("{\"a\":", "}");
    let large = format!("\"{}\"", "x".repeat(LARGE_BYTES));
    let fields: [(&str, &str); 24] = [
        ("unknown", &arrays),
        ("unknown", &maps),
        ("slots", &arrays),
        ("zone", &maps),
        ("address", &arrays),
        ("slots", "4294967295"),
        ("slots", "18446744073709551616"),
        ("slots", "1e400"),
        ("slots", "-1"),
        ("callSeq", "1e400"),
        ("callSeq", "99999999999999999999999"),
        ("born", "1e400"),
        ("coldLeftMs", "1e400"),
        ("coldLeftMs", "1e300"),
        ("coldLeftMs", "1.8446744073709549e22"),
        ("coldLeftMs", "1.8446744073709552e22"),
        ("address", "\"127.0.0.1:70000\""),
        ("address", "\"127.0.0.1:0\""),
        ("address", "\"127.0.0.1:-1\""),
        ("address", "\"127.0.0.1:11111111111111111111\""),
        ("address", "\"[fe80::1%99999999999]:80\""),
        ("state", &large),
        ("address", &large),
        ("version", "{}"),
    ];
    let mut entries: Vec<Vec<u8>> = fields
        .iter()
        .map(|(field, value)| entry_with(fleet, field, value))
        .collect();
    entries.extend([
        arrays.into_bytes(),
        maps.into_bytes(),
        b"1e400".to_vec(),
        vec![0xff; 64],
        b"\"".to_vec(),
        vec![0],
        vec![0; LARGE_BYTES],
    ]);
    entries
}

async fn start_fleet() -> ExclusiveFleet {
    let fleet = start(PlatformOptions {
        workers: 3,
        ..PlatformOptions::default()
    })
    .await;
    fleet.unlist(&fleet.whole_workers[UNLISTED]);
    tokio::time::sleep(APPLIED_WITHIN).await;
    fleet
}

async fn ask(fleet: &ExclusiveFleet, gateway: usize, id: &str) -> StatusCode {
    let gateway = fleet.gateways[gateway].callers;
    let answer = fleet.caller.ask(gateway, ASK, id, DEADLINE).await;
    answer.expect("no response").status
}

/// Asserts that no gateway has ended, and that each one follows the directory: it learns of a new worker and of the
/// departure of another one.
async fn assert_directory_followed(fleet: &mut ExclusiveFleet, round: usize) {
    for gateway in &mut fleet.gateways {
        assert!(gateway.process.is_running(), "a gateway has ended");
    }
    let incarnation = format!("newcomer-{round}");
    let added = fleet.add_whole_worker(&incarnation);
    added.await.expect("the worker did not start");
    for gateway in 0..fleet.gateways.len() {
        let newcomer = fleet.whole_workers.last().expect("there is no worker");
        let runs_before = newcomer.runs().len();
        eventually("the new worker gets requests", || async {
            let id = format!("{incarnation}-{gateway}-{}", rand::random::<u32>());
            assert_eq!(ask(fleet, gateway, &id).await, StatusCode::OK);
            newcomer.runs().len() > runs_before
        })
        .await;
    }
    let newcomer = fleet.whole_workers.last().expect("there is no worker");
    fleet.unlist(newcomer);
    tokio::time::sleep(APPLIED_WITHIN).await;
    let runs_before = newcomer.runs().len();
    for number in 0..20 {
        let id = format!("{incarnation}-gone-{number}");
        let gateway = number % fleet.gateways.len();
        assert_eq!(ask(fleet, gateway, &id).await, StatusCode::OK);
    }
    assert_eq!(
        newcomer.runs().len(),
        runs_before,
        "an unlisted worker got requests"
    );
    let unlisted = &fleet.whole_workers[UNLISTED];
    assert_eq!(unlisted.runs().len(), 0, "an odd entry was used");
}

async fn restart_gateways(fleet: &mut ExclusiveFleet) {
    for gateway in 0..fleet.gateways.len() {
        fleet.restart(gateway).expect("the gateway did not start");
        let ready = fleet.gateways[gateway].ready;
        eventually("the gateway is ready", || fleet.caller.is_ready(ready)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_end_no_gateway_and_hide_no_change_of_the_directory() {
    let mut fleet = start_fleet().await;
    for (number, entry) in odd_entries(&fleet).into_iter().enumerate() {
        let key = format!("odd-{number}");
        fleet.store.put(topics::WORKERS, &key, entry);
    }
    assert_directory_followed(&mut fleet, 0).await;
    restart_gateways(&mut fleet).await;
    assert_directory_followed(&mut fleet, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_in_place_of_a_workers_own_hide_no_change_of_the_directory() {
    let mut fleet = start_fleet().await;
    for entry in odd_entries(&fleet) {
        fleet.store.put(topics::WORKERS, "whole-0", entry);
        fleet.list(&fleet.whole_workers[0], "whole", values::READY);
    }
    assert_directory_followed(&mut fleet, 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_directory_with_many_odd_keys_is_listed_to_its_end() {
    let mut fleet = start_fleet().await;
    let entry = Value::Null.to_string();
    for number in 0..ODD_KEYS {
        let key = format!("odd key&part=1#%41+\u{e9}{number}");
        fleet.store.put(topics::WORKERS, &key, entry.clone());
    }
    assert_directory_followed(&mut fleet, 0).await;
    restart_gateways(&mut fleet).await;
    assert_directory_followed(&mut fleet, 1).await;
}
