//! Malformed records in the platform's log and malformed messages at a gateway's peer address must not crash
//! a gateway, add workers, flood the log files or disturb requests.

mod gateway;

use std::time::Duration;

use bytes::Bytes;
use ciborium::Value;
use gateway::{ExclusiveFleet, start};
use hyper::StatusCode;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, RngCore, SeedableRng};
use swiftshunt_lab::platform::fleet::{ASK, PlatformFleet, PlatformOptions};
use swiftshunt_platform::words::topics;
use test_case::test_case;

const DEADLINE: Duration = Duration::from_secs(6);
/// Number of malformed records or messages per test.
const MALFORMED: usize = 10_000;
/// Number of malformed records or messages between two checks that requests are served.
const CHECK_EVERY: usize = 500;
/// Number of keys of malformed records; each key is overwritten many times.
const KEYS: usize = 60;
/// Maximum number of log lines of a gateway about unreadable records during a test: one per minute for each
/// of the keys that it remembers.
const MAX_LINES: usize = 256;

/// Returns a generator with the seed in the environment variable `SEED`, or else a random seed.
fn seeded_rng() -> StdRng {
    let seed = match std::env::var("SEED") {
        Ok(seed) => seed.parse().expect("SEED is not a number"),
        Err(_) => rand::random(),
    };
    println!("SEED={seed}");
    StdRng::seed_from_u64(seed)
}

async fn fleet() -> ExclusiveFleet {
    start(PlatformOptions::default()).await
}

/// Changes, removes or inserts bytes, or truncates the body.
fn damage(body: &[u8], random: &mut StdRng) -> Vec<u8> {
    let mut body = body.to_vec();
    for _ in 0..random.random_range(1..6) {
        if body.is_empty() {
            break;
        }
        let at = random.random_range(0..body.len());
        match random.random_range(0..4) {
            0 => body.truncate(at),
            1 => body.insert(at, random.random()),
            2 => drop(body.remove(at)),
            _ => body[at] = random.random(),
        }
    }
    body
}

/// Returns a random value, with names that occur in messages and arbitrary numbers.
fn random_value(random: &mut StdRng, depth: u32) -> Value {
    const NAMES: [&str; 24] = [
        "Reading",
        "Here",
        "Slots",
        "Waiting",
        "Rate",
        "Quarantine",
        "Ended",
        "Held",
        "Ask",
        "Answer",
        "Report",
        "Grant",
        "Ping",
        "fingerprint",
        "end",
        "ends",
        "worker",
        "from",
        "cell",
        "report",
        "request",
        "missing",
        "parts",
        "tenant",
    ];
    let is_leaf = depth == 0;
    match random.random_range(0..if is_leaf { 6 } else { 10 }) {
        0 => Value::Null,
        1 => Value::Integer(random.next_u64().into()),
        2 => Value::Integer(
            (-1_i64)
                .wrapping_sub(i64::from(random.random::<u32>()))
                .into(),
        ),
        3 => Value::Float(f64::from_bits(random.next_u64())),
        4 => Value::Text(
            NAMES
                .choose(random)
                .map_or(String::new(), |name| (*name).to_owned()),
        ),
        5 => Value::Bytes(
            (0..random.random_range(0..40))
                .map(|_| random.random())
                .collect(),
        ),
        6 | 7 => {
            let items = 0..random.random_range(0..5);
            Value::Array(items.map(|_| random_value(random, depth - 1)).collect())
        }
        _ => {
            let fields = 0..random.random_range(1..5);
            let field = |_| {
                let name = NAMES.choose(random).map_or("", |name| *name).to_owned();
                (Value::Text(name), random_value(random, depth - 1))
            };
            Value::Map(fields.map(field).collect())
        }
    }
}

fn encode(value: &Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("the value cannot be encoded");
    bytes
}

/// Returns a message about the end of a worker that ran a request, with a random value in one field.
fn malformed_message(random: &mut StdRng) -> Vec<u8> {
    let text = |text: &str| Value::Text(text.to_owned());
    let mut fields = vec![
        (text("worker"), Value::Integer(7.into())),
        (text("sent_unix_ms"), Value::Integer(1_u64.into())),
        (text("ended_unix_ms"), Value::Integer(u64::MAX.into())),
    ];
    let at = random.random_range(0..fields.len());
    fields[at].1 = random_value(random, 3);
    let fingerprint = Value::Array(vec![Value::Integer(9.into()); random.random_range(0..20)]);
    let body = vec![
        (text("fingerprint"), fingerprint),
        (text("end"), Value::Map(fields)),
    ];
    let ended = Value::Map(vec![(text("Ended"), Value::Map(body))]);
    encode(&Value::Map(vec![(text("Quarantine"), ended)]))
}

/// Asserts that each gateway serves a request; `after` is the number of malformed inputs so far.
async fn assert_requests_are_served(fleet: &mut ExclusiveFleet, after: usize) {
    for index in 0..fleet.gateways.len() {
        let gateway = fleet.gateways[index].callers;
        let answer = fleet.caller.ask(gateway, ASK, "as ever", DEADLINE).await;
        let status = answer.as_ref().map(|answer| answer.status);
        assert_eq!(
            status.ok(),
            Some(StatusCode::OK),
            "after {after} malformed inputs: {answer:?}"
        );
    }
}

/// Asserts that no log has a panic or more than `MAX_LINES` lines about unreadable records.
fn assert_logs_are_short(fleet: &ExclusiveFleet) {
    for index in 0..fleet.gateways.len() {
        let log = fleet.log_directory().join(format!("gateway-{index}.log"));
        let log = std::fs::read_to_string(log).expect("the log file is unreadable");
        let panics: Vec<&str> = log
            .lines()
            .filter(|line| line.contains("panicked"))
            .collect();
        assert!(panics.is_empty(), "{panics:?}");
        let unreadable = log
            .lines()
            .filter(|line| line.contains("cannot be read"))
            .count();
        println!("{unreadable} lines of gateway-{index}");
        assert!(
            unreadable <= MAX_LINES,
            "{unreadable} log lines about unreadable records"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_peer_messages_do_not_disturb_gateways() {
    let mut random = seeded_rng();
    let mut fleet = fleet().await;
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0")
        .await
        .expect("the socket did not open");
    for number in 0..MALFORMED {
        let mut message = match random.random_range(0..3) {
            0 => encode(&random_value(&mut random, 5)),
            1 => malformed_message(&mut random),
            _ => {
                let message = malformed_message(&mut random);
                damage(&message, &mut random)
            }
        };
        message.truncate(1_400);
        let to = fleet.gateways[number % fleet.gateways.len()].peers;
        socket
            .send_to(&message, to)
            .await
            .expect("the message was not sent");
        if number % CHECK_EVERY == 0 {
            assert_requests_are_served(&mut fleet, number).await;
        }
    }
    assert_requests_are_served(&mut fleet, MALFORMED).await;
    assert_logs_are_short(&fleet);
}

/// Malformed records are written to a topic beside its valid records.
#[test_case(topics::WORKERS; "directory of workers")]
#[test_case(topics::OPERATOR; "configurations")]
#[test_case(topics::GATEWAYS; "gateways")]
#[test_case(topics::JOBS; "batch jobs")]
#[test_case(topics::QUARANTINE; "requests that end workers")]
#[tokio::test(flavor = "multi_thread")]
async fn malformed_records_do_not_disturb_gateways(topic: &str) {
    let mut random = seeded_rng();
    let mut fleet = fleet().await;
    // No worker has this state, so a gateway that uses the damaged entry is detected.
    let entry = PlatformFleet::directory_entry(&fleet.engine_workers[0], "whole", "asleep");
    let entry = serde_json::to_vec(&entry).expect("the entry cannot be encoded");
    for number in 0..MALFORMED {
        let body = match random.random_range(0..4) {
            0 => encode(&random_value(&mut random, 4)),
            1 => malformed_message(&mut random),
            2 => damage(&entry, &mut random),
            _ => damage(&[0; 40], &mut random),
        };
        let key = random.random_range(0..KEYS);
        let key = match topic {
            topics::QUARANTINE if key % 2 == 0 => format!("{key:032x}-{key:016x}"),
            topics::GATEWAYS if key % 2 == 0 => format!("127.0.0.1:{}", 1 + key),
            _ => format!("foreign-{key}"),
        };
        // An empty value would only delete the key.
        if !body.is_empty() {
            fleet.store.put(topic, &key, Bytes::from(body));
        }
        if number % CHECK_EVERY == 0 {
            tokio::time::sleep(Duration::from_millis(60)).await;
            assert_requests_are_served(&mut fleet, number).await;
        }
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_requests_are_served(&mut fleet, MALFORMED).await;
    let used = fleet.engine_workers[0].runs();
    assert!(used.is_empty(), "a malformed entry was used: {used:?}");
    assert_logs_are_short(&fleet);
}
