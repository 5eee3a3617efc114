//! Gateways that read the directory and the configuration for others.

mod gateway;

use std::time::{Duration, Instant};

use gateway::{ExclusiveFleet, start};
use hyper::StatusCode;
use serde::Serialize;
use swiftshunt_http::{CBOR, HttpClient, HttpRequest, encode_cbor};
use swiftshunt_lab::platform::fleet::{
    ASK, PlatformOptions, eventually, first_configuration, route,
};
use swiftshunt_lab::platform::store::StoreFaults;
use swiftshunt_platform::words::{topics, values};
use test_case::test_case;

/// Time within which a leaving worker and a new configuration are obeyed.
const OBEY_WITHIN: Duration = Duration::from_secs(2);
const DEADLINE: Duration = Duration::from_secs(5);
/// Time in which workers renew their entries, as those of the users' platform do.
const HEARTBEAT: Duration = Duration::from_millis(250);
const GATEWAYS: usize = 5;
/// Two of up to five gateways read for the others.
const SHARING: &str = "gateways_per_reader = 2";

/// Five gateways, of which two read for the others.
async fn start_sharing() -> ExclusiveFleet {
    let options = PlatformOptions {
        gateways: GATEWAYS,
        directory: SHARING.to_owned(),
        ..PlatformOptions::default()
    };
    let fleet = start(options).await;
    // Readers are known once the gateways know each other.
    eventually("some gateways read no more", || async {
        readers(&fleet).await.len() == 2
    })
    .await;
    fleet
}

/// Renews the entries of all workers for a while.
async fn renew_entries(fleet: &ExclusiveFleet, time: Duration) {
    let began = Instant::now();
    while began.elapsed() < time {
        fleet.list_all(values::READY);
        tokio::time::sleep(HEARTBEAT).await;
    }
}

/// Gateways that read the directory themselves while entries are renewed.
async fn readers(fleet: &ExclusiveFleet) -> Vec<usize> {
    let reads = || -> Vec<u64> {
        let doors = fleet.gateways.iter().map(|gateway| &gateway.door);
        doors.map(|door| door.reads(topics::WORKERS)).collect()
    };
    let before = reads();
    renew_entries(fleet, OBEY_WITHIN).await;
    let after = reads();
    let read = before.iter().zip(&after).enumerate();
    let read = read.filter(|(_, (before, after))| *after > &(*before + 1));
    read.map(|(index, _)| index).collect()
}

/// Asserts that a worker that leaves gets nothing from these gateways once it must be obeyed, and that a
/// configuration that comes at the same time is in force there.
async fn obey(fleet: &mut ExclusiveFleet, gateways: &[usize]) {
    fleet.unlist(&fleet.whole[0]);
    let mut configuration = first_configuration();
    configuration
        .routes
        .push(route("/added/", values::IDEMPOTENT, "whole"));
    fleet.configure(configuration);
    tokio::time::sleep(OBEY_WITHIN).await;
    let before = fleet.whole[0].runs().len();
    for number in 0..12 {
        let gateway = &fleet.gateways[gateways[number % gateways.len()]];
        for path in [ASK, "/added/"] {
            let id = format!("r{number}{path}");
            let answer = fleet.caller.ask(gateway.callers, path, &id, DEADLINE).await;
            let status = answer.expect("an answer").status;
            assert_eq!(status, StatusCode::OK, "{path} at {}", gateway.callers);
        }
    }
    assert_eq!(
        fleet.whole[0].runs().len(),
        before,
        "runs at the gone worker"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn what_two_gateways_read_is_obeyed_by_five() {
    let mut fleet = start_sharing().await;
    let all: Vec<usize> = (0..GATEWAYS).collect();
    obey(&mut fleet, &all).await;
}

#[derive(Clone, Copy, Debug)]
enum Loss {
    /// The readers stand still: their connections stay open and nothing comes.
    Frozen,
    /// The readers are killed.
    Killed,
    /// The log does not answer the readers.
    LogSilent,
    /// The log answers everything but the reads of the readers.
    ReadsLost,
    /// The log turns the readers away.
    LogBusy,
}

#[test_case(Loss::Frozen; "frozen")]
#[test_case(Loss::Killed; "killed")]
#[test_case(Loss::LogSilent; "log silent")]
#[test_case(Loss::ReadsLost; "reads lost")]
#[test_case(Loss::LogBusy; "log busy")]
#[tokio::test(flavor = "multi_thread")]
async fn changes_are_obeyed_in_time_without_readers(loss: Loss) {
    let mut fleet = start_sharing().await;
    let readers = readers(&fleet).await;
    for reader in &readers {
        let gateway = &mut fleet.gateways[*reader];
        match loss {
            Loss::Frozen => gateway.process.pause(),
            Loss::Killed => gateway.process.kill(),
            Loss::LogSilent => gateway.door.set(gateway::down()),
            Loss::ReadsLost => gateway.door.set(StoreFaults {
                lost_reads: true,
                ..StoreFaults::default()
            }),
            Loss::LogBusy => gateway.door.set(StoreFaults {
                down: Some(swiftshunt_lab::platform::store::Down::Busy),
                ..StoreFaults::default()
            }),
        }
    }
    let others: Vec<usize> = (0..GATEWAYS).filter(|it| !readers.contains(it)).collect();
    obey(&mut fleet, &others).await;
}

/// A gateway that the log turns away goes on learning of changes by its reader.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_that_is_turned_away_learns_by_its_reader() {
    let mut fleet = start_sharing().await;
    let readers = readers(&fleet).await;
    let others: Vec<usize> = (0..GATEWAYS).filter(|it| !readers.contains(it)).collect();
    for other in &others {
        fleet.gateways[*other].door.set(gateway::down());
    }
    obey(&mut fleet, &others).await;
}

/// A call as gateways make it, for what is new behind the end of the directory.
#[derive(Serialize)]
struct TailCall {
    topic: &'static str,
    from: u64,
    wait: Duration,
}

/// A gateway that has read for others and reads no more must not go on saying that nothing is new:
/// others may still take it for a reader.
#[tokio::test(flavor = "multi_thread")]
async fn only_readers_answer_for_the_log() {
    let mut fleet = start(PlatformOptions {
        directory: SHARING.to_owned(),
        ..PlatformOptions::default()
    })
    .await;
    eventually("both read", || async { readers(&fleet).await.len() == 2 }).await;
    // Of five the two that read are others, nine times of ten.
    for _ in 2..GATEWAYS {
        fleet.add_gateway("").await.expect("a gateway");
    }
    for gateway in &fleet.gateways {
        let caller = fleet.caller.clone();
        eventually("it is ready", || caller.is_ready(gateway.ready)).await;
    }
    eventually("others read no more", || async {
        readers(&fleet).await.len() == 2
    })
    .await;
    let readers = readers(&fleet).await;
    let client = HttpClient::new(None);
    let call = TailCall {
        topic: "Workers",
        from: 1_000_000,
        wait: Duration::ZERO,
    };
    let body = encode_cbor(&call).expect("a form");
    for (index, gateway) in fleet.gateways.iter().enumerate() {
        fleet.list_all(values::READY);
        let request = HttpRequest::post(gateway.peers, "/peer/tail", CBOR, body.clone());
        let answer = client.exchange(request, DEADLINE).await.expect("an answer");
        let expected = if readers.contains(&index) {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        assert_eq!(
            answer.status, expected,
            "gateway {index}, readers {readers:?}"
        );
    }
}
