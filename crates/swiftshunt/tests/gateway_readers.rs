//! Reader gateways, which read the directory and the configuration from the log for other gateways.

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

/// Time within which gateways must apply a worker's departure and a new configuration.
const APPLIED_WITHIN: Duration = Duration::from_secs(2);
const DEADLINE: Duration = Duration::from_secs(5);
/// Interval at which workers renew their entries, as on a real platform.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
const GATEWAYS: usize = 5;
/// With this setting, two of up to five gateways read for the others.
const READER_SETTING: &str = "gateways_per_reader = 2";

/// Starts five gateways and waits until only two of them read from the log.
async fn start_with_two_readers() -> ExclusiveFleet {
    let options = PlatformOptions {
        gateways: GATEWAYS,
        extra_directory_settings: READER_SETTING.to_owned(),
        ..PlatformOptions::default()
    };
    let fleet = start(options).await;
    // The readers are selected once the gateways know each other.
    eventually("two gateways read from the log", || async {
        readers(&fleet).await.len() == 2
    })
    .await;
    fleet
}

/// Renews the entries of all workers for `time`.
async fn renew_entries(fleet: &ExclusiveFleet, time: Duration) {
    let began = Instant::now();
    while began.elapsed() < time {
        fleet.list_all(values::READY);
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Returns the indexes of the gateways that read the directory from the log while entries are renewed.
async fn readers(fleet: &ExclusiveFleet) -> Vec<usize> {
    let reads = || -> Vec<u64> {
        let listeners = fleet.gateways.iter().map(|gateway| &gateway.store_listener);
        listeners
            .map(|listener| listener.read_calls(topics::WORKERS))
            .collect()
    };
    let before = reads();
    renew_entries(fleet, APPLIED_WITHIN).await;
    let after = reads();
    let read = before.iter().zip(&after).enumerate();
    let read = read.filter(|(_, (before, after))| *after > &(*before + 1));
    read.map(|(index, _)| index).collect()
}

/// Removes a worker and adds a route. Asserts that, after `APPLIED_WITHIN`, these gateways send nothing to the
/// worker and serve the route.
async fn assert_changes_apply(fleet: &mut ExclusiveFleet, gateways: &[usize]) {
    fleet.unlist(&fleet.whole_workers[0]);
    let mut configuration = first_configuration();
    configuration
        .routes
        .push(route("/added/", values::IDEMPOTENT, "whole"));
    fleet.configure(configuration);
    tokio::time::sleep(APPLIED_WITHIN).await;
    let before = fleet.whole_workers[0].runs().len();
    for number in 0..12 {
        let gateway = &fleet.gateways[gateways[number % gateways.len()]];
        for path in [ASK, "/added/"] {
            let id = format!("r{number}{path}");
            let answer = fleet.caller.ask(gateway.callers, path, &id, DEADLINE).await;
            let status = answer.expect("no response").status;
            assert_eq!(status, StatusCode::OK, "{path} at {}", gateway.callers);
        }
    }
    assert_eq!(
        fleet.whole_workers[0].runs().len(),
        before,
        "a request ran at the removed worker"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_read_by_two_gateways_apply_at_five() {
    let mut fleet = start_with_two_readers().await;
    let all: Vec<usize> = (0..GATEWAYS).collect();
    assert_changes_apply(&mut fleet, &all).await;
}

#[derive(Clone, Copy, Debug)]
enum Loss {
    /// The readers are paused: their connections stay open and send nothing.
    Paused,
    /// The readers are killed.
    Killed,
    /// The log does not answer the readers.
    LogSilent,
    /// The log answers all calls of the readers but reads.
    ReadsLost,
    /// The log answers the readers that it is busy.
    LogBusy,
}

#[test_case(Loss::Paused; "paused")]
#[test_case(Loss::Killed; "killed")]
#[test_case(Loss::LogSilent; "log silent")]
#[test_case(Loss::ReadsLost; "reads lost")]
#[test_case(Loss::LogBusy; "log busy")]
#[tokio::test(flavor = "multi_thread")]
async fn changes_apply_in_time_after_the_loss_of_readers(loss: Loss) {
    let mut fleet = start_with_two_readers().await;
    let readers = readers(&fleet).await;
    for reader in &readers {
        let gateway = &mut fleet.gateways[*reader];
        match loss {
            Loss::Paused => gateway.process.pause(),
            Loss::Killed => gateway.process.kill(),
            Loss::LogSilent => gateway
                .store_listener
                .set_faults(gateway::unresponsive_log()),
            Loss::ReadsLost => gateway.store_listener.set_faults(StoreFaults {
                hang_reads: true,
                ..StoreFaults::default()
            }),
            Loss::LogBusy => gateway.store_listener.set_faults(StoreFaults {
                outage: Some(swiftshunt_lab::platform::store::StoreOutage::Busy),
                ..StoreFaults::default()
            }),
        }
    }
    let others: Vec<usize> = (0..GATEWAYS).filter(|it| !readers.contains(it)).collect();
    assert_changes_apply(&mut fleet, &others).await;
}

/// A gateway that cannot reach the log still receives changes from its reader.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_without_the_log_receives_changes_from_its_reader() {
    let mut fleet = start_with_two_readers().await;
    let readers = readers(&fleet).await;
    let others: Vec<usize> = (0..GATEWAYS).filter(|it| !readers.contains(it)).collect();
    for other in &others {
        fleet.gateways[*other]
            .store_listener
            .set_faults(gateway::unresponsive_log());
    }
    assert_changes_apply(&mut fleet, &others).await;
}

/// The body of a gateway's call for new records from an offset beyond the end of the directory.
#[derive(Serialize)]
struct TailCall {
    topic: &'static str,
    from: u64,
    wait: Duration,
}

/// A gateway that has ceased to be a reader must not answer that there are no new records, since others may still
/// treat it as a reader.
#[tokio::test(flavor = "multi_thread")]
async fn only_readers_answer_calls_for_new_records() {
    let mut fleet = start(PlatformOptions {
        extra_directory_settings: READER_SETTING.to_owned(),
        ..PlatformOptions::default()
    })
    .await;
    eventually("both gateways read from the log", || async {
        readers(&fleet).await.len() == 2
    })
    .await;
    // In nine of ten cases, the readers among five gateways are not the same two.
    for _ in 2..GATEWAYS {
        fleet
            .add_gateway("")
            .await
            .expect("the gateway did not start");
    }
    for gateway in &fleet.gateways {
        let caller = fleet.caller.clone();
        eventually("the gateway is ready", || caller.is_ready(gateway.ready)).await;
    }
    eventually("two gateways read from the log", || async {
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
    let body = encode_cbor(&call).expect("the call cannot be encoded");
    for (index, gateway) in fleet.gateways.iter().enumerate() {
        fleet.list_all(values::READY);
        let request = HttpRequest::post(gateway.peers, "/peer/tail", CBOR, body.clone());
        let answer = client
            .exchange(request, DEADLINE)
            .await
            .expect("no response");
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
