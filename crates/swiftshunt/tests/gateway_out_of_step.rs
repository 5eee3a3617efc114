//! Gateways that are out of step while workers of a new software version join: cut off from the log and from other
//! gateways, or standing still.
//!
//! Guards against streams that begin at a worker of the new version and go on at one of the earlier version.

mod gateway;

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use gateway::taken_up_streams::{
    Begun, EVENTS, Outcomes, READ_EVENTS, begin, take_up_all, take_up_at_once,
};
use gateway::{ExclusiveFleet, start, unresponsive_log};
use swiftshunt_lab::platform::fleet::{PlatformOptions, STREAM, eventually, first_configuration};
use swiftshunt_lab::platform::store::StoreFaults;
use swiftshunt_lab::platform::worker::versions_in;
use swiftshunt_platform::documents::ConfigurationDocument;
use swiftshunt_platform::words::values;
use test_case::test_case;

/// Workers of the earlier version.
const EARLIER_WORKERS: usize = 6;
/// Workers of the new version that join.
const NEW_WORKERS: usize = 8;
/// Number of streams that are begun; those of the new version are taken up.
const STREAMS: usize = 40;
/// Least number of them that the new version begins.
const MIN_NEW_STREAMS: usize = 8;
/// Time-out of the routes.
const TIMEOUT_MS: f64 = 1_000.0;
/// Time after which a gateway knows which versions have served for as long as a stream may last.
const WATCH_TIME: Duration = Duration::from_secs(14);
/// Number of times that streams are taken up at a gateway that missed changes, while it reads the log again.
const MISSED_ROUNDS: usize = 6;
/// Pause between these.
const MISSED_ROUND_INTERVAL: Duration = Duration::from_millis(300);
/// Number of datagrams that fill the socket of a gateway that stands still, so that it receives no others.
const FILLING_DATAGRAMS: usize = 600;
/// Size of each of them, in bytes.
const FILLING_DATAGRAM_BYTES: usize = 1_000;

fn short_timeouts() -> ConfigurationDocument {
    let mut configuration = first_configuration();
    for route in &mut configuration.routes {
        route.timeout_ms = TIMEOUT_MS;
    }
    configuration
}

async fn start_with_one_version(gateways: usize) -> ExclusiveFleet {
    let options = PlatformOptions {
        gateways,
        workers: EARLIER_WORKERS,
        events: EVENTS,
        software: vec!["v1".to_owned()],
        ..PlatformOptions::default()
    };
    let mut fleet = start(options).await;
    fleet.configure(short_timeouts());
    tokio::time::sleep(WATCH_TIME).await;
    fleet
}

/// Fills the socket on which a gateway that stands still receives datagrams.
fn fill_socket(gateway: SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("no free port");
    for _ in 0..FILLING_DATAGRAMS {
        drop(socket.send_to(&[0xff; FILLING_DATAGRAM_BYTES], gateway));
    }
}

/// Makes gateways stand still; they receive nothing that is sent meanwhile. If `is_cut_off`, the log no longer answers
/// them either, also later.
fn stop_in_step(fleet: &ExclusiveFleet, gateways: &[usize], is_cut_off: bool) {
    for gateway in gateways {
        let gateway = &fleet.gateways[*gateway];
        if is_cut_off {
            gateway.store_listener.set_faults(unresponsive_log());
        }
        gateway.process.pause();
        fill_socket(gateway.peers);
    }
}

async fn add_new_version(fleet: &mut ExclusiveFleet) {
    for number in 0..NEW_WORKERS {
        let incarnation = format!("new-{number}");
        let added = fleet.add_engine_worker(&incarnation, "v2");
        added.await.expect("the worker did not start");
    }
}

/// Begins streams at gateways until workers of the new version have begun enough, and returns those streams.
async fn begin_new_streams(fleet: &ExclusiveFleet, gateways: &[usize]) -> Vec<Begun> {
    let begun = (0..STREAMS).map(|number| {
        let gateway = fleet.gateways[gateways[number % gateways.len()]].callers;
        async move { begin(fleet, gateway, &format!("s{number}")).await }
    });
    let mut begun = futures_util::future::join_all(begun).await;
    begun.retain(|stream| stream.version() == "v2");
    println!("streams of the new version: {}", begun.len());
    assert!(begun.len() >= MIN_NEW_STREAMS);
    begun
}

/// Waits until a gateway has sent requests to workers of the new version, so that it knows them.
async fn wait_until_new_version_serves(fleet: &ExclusiveFleet, gateways: &[usize]) {
    for gateway in gateways {
        let address = fleet.gateways[*gateway].callers;
        eventually("the new version serves", || async {
            let id = format!("probe-{}", rand::random::<u32>());
            let read = fleet
                .caller
                .read_stream(address, STREAM, &id, None, READ_EVENTS);
            // A gateway that knows the route and no worker of its service yet refuses the probe.
            read.await.is_ok_and(|part| {
                let text = part.text();
                versions_in(&text).into_iter().eq(["v2"])
            })
        })
        .await;
    }
}

/// Gateways are cut off while the fleet changes so that new streams begin at workers of a new version, then the other ones
/// stand still, and streams of the new version are taken up at those that were cut off.
async fn take_up_where_cut_off(
    gateways: usize,
    cut_off: &[usize],
    cut_for: Duration,
    change: impl AsyncFnOnce(&mut ExclusiveFleet),
) -> Outcomes {
    let mut fleet = start_with_one_version(gateways).await;
    let others: Vec<usize> = (0..gateways).filter(|it| !cut_off.contains(it)).collect();
    stop_in_step(&fleet, cut_off, true);
    let cut_at = tokio::time::Instant::now();
    change(&mut fleet).await;
    wait_until_new_version_serves(&fleet, &others).await;
    tokio::time::sleep_until(cut_at + cut_for).await;
    let begun = begin_new_streams(&fleet, &others).await;
    for other in &others {
        fleet.gateways[*other].process.pause();
    }
    for gateway in cut_off {
        fleet.gateways[*gateway].process.resume();
    }
    println!("cut off for {:?}", cut_at.elapsed());
    take_up_at_once(&fleet, cut_off, &begun).await
}

#[test_case(3, &[2], 0.0; "one of three for a moment")]
#[test_case(3, &[2], 1.0; "one of three for a second")]
#[test_case(5, &[3, 4], 4.1; "two of five for longer than their last reads of the directory count")]
#[tokio::test(flavor = "multi_thread")]
async fn no_stream_joins_two_versions_at_gateways_that_are_cut_off(
    gateways: usize,
    cut_off: &[usize],
    cut_for_seconds: f64,
) {
    let cut_for = Duration::from_secs_f64(cut_for_seconds);
    let outcomes = take_up_where_cut_off(gateways, cut_off, cut_for, add_new_version).await;
    outcomes.assert_unmixed();
}

/// Returns the configuration in which another service than the first one serves the route of streams.
fn moved_route() -> ConfigurationDocument {
    let mut configuration = short_timeouts();
    for route in &mut configuration.routes {
        if route.path_prefix == STREAM {
            route.service = Some("other".to_owned());
        }
    }
    configuration
}

/// Moves the route of streams to another service, with workers of a new version.
async fn move_route(fleet: &mut ExclusiveFleet) {
    add_new_version(fleet).await;
    for worker in &fleet.engine_workers[EARLIER_WORKERS..] {
        fleet.list(worker, "other", values::READY);
    }
    fleet.configure(moved_route());
}

/// The route of streams moves to another service while the gateway is cut off.
#[tokio::test(flavor = "multi_thread")]
async fn no_stream_joins_two_services_at_a_gateway_that_is_cut_off() {
    let outcomes = take_up_where_cut_off(3, &[2], Duration::ZERO, move_route).await;
    outcomes.assert_unmixed();
}

/// A gateway is cut off while the fleet changes and changes back, and the log drops the records of that. Then it is alone
/// with the log.
async fn take_up_where_changes_were_missed(
    change: impl AsyncFnOnce(&mut ExclusiveFleet),
    change_back: impl FnOnce(&mut ExclusiveFleet),
) {
    let mut fleet = start_with_one_version(3).await;
    stop_in_step(&fleet, &[2], true);
    change(&mut fleet).await;
    wait_until_new_version_serves(&fleet, &[0, 1]).await;
    let begun = begin_new_streams(&fleet, &[0, 1]).await;
    change_back(&mut fleet);
    fleet.store.drop_history();
    for other in 0..2 {
        fleet.gateways[other].process.pause();
    }
    let gateway = &fleet.gateways[2];
    gateway.store_listener.set_faults(StoreFaults::default());
    gateway.process.resume();
    for round in 0..MISSED_ROUNDS {
        println!("round {round}");
        take_up_at_once(&fleet, &[2], &begun).await.assert_unmixed();
        tokio::time::sleep(MISSED_ROUND_INTERVAL).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_stream_joins_two_versions_at_a_gateway_that_missed_a_version() {
    take_up_where_changes_were_missed(add_new_version, |fleet| {
        for worker in &fleet.engine_workers[EARLIER_WORKERS..] {
            fleet.unlist(worker);
        }
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_stream_joins_two_services_at_a_gateway_that_missed_a_configuration() {
    take_up_where_changes_were_missed(move_route, |fleet| {
        fleet.configure(short_timeouts());
    })
    .await;
}

#[test_case(0.0; "for a moment")]
#[test_case(6.0; "for six seconds")]
#[tokio::test(flavor = "multi_thread")]
async fn no_stream_joins_two_versions_at_a_gateway_that_stood_still(stood_for_seconds: f64) {
    let mut fleet = start_with_one_version(3).await;
    stop_in_step(&fleet, &[2], false);
    let stood_at = tokio::time::Instant::now();
    add_new_version(&mut fleet).await;
    wait_until_new_version_serves(&fleet, &[0, 1]).await;
    tokio::time::sleep_until(stood_at + Duration::from_secs_f64(stood_for_seconds)).await;
    let begun = begin_new_streams(&fleet, &[0, 1]).await;
    fleet.gateways[2].process.resume();
    take_up_at_once(&fleet, &[2], &begun).await.assert_unmixed();
}

/// The other gateways stand still by then, and the log answers.
#[tokio::test(flavor = "multi_thread")]
async fn no_stream_joins_two_versions_at_a_gateway_that_alone_goes_on() {
    let mut fleet = start_with_one_version(3).await;
    stop_in_step(&fleet, &[2], false);
    add_new_version(&mut fleet).await;
    wait_until_new_version_serves(&fleet, &[0, 1]).await;
    let begun = begin_new_streams(&fleet, &[0, 1]).await;
    for other in 0..2 {
        fleet.gateways[other].process.pause();
    }
    fleet.gateways[2].process.resume();
    take_up_at_once(&fleet, &[2], &begun).await.assert_unmixed();
}

/// Begins streams of the only version at the first two gateways.
async fn begin_streams_of_one_version(fleet: &ExclusiveFleet) -> Vec<Begun> {
    let mut begun = Vec::new();
    for number in 0..STREAMS {
        let gateway = fleet.gateways[number % 2].callers;
        begun.push(begin(fleet, gateway, &format!("s{number}")).await);
    }
    begun
}

/// The streams begin while the log still answers, so that no gateway but the one that began a stream knows of it.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_one_version_go_on_while_the_log_is_away_for_all() {
    let fleet = start_with_one_version(5).await;
    let begun = begin_streams_of_one_version(&fleet).await;
    for gateway in &fleet.gateways {
        gateway.store_listener.set_faults(unresponsive_log());
    }
    let outcomes = take_up_all(&fleet, &[2, 3, 4], &begun).await;
    outcomes.assert_unmixed();
    outcomes.assert_continued();
}

/// The log answers the other gateways, which read it for this one.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_one_version_go_on_at_a_gateway_that_the_log_does_not_answer() {
    let fleet = start_with_one_version(3).await;
    let begun = begin_streams_of_one_version(&fleet).await;
    let silent = &fleet.gateways[2].store_listener;
    silent.set_faults(unresponsive_log());
    // Long enough for the gateway to notice.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let outcomes = take_up_all(&fleet, &[2], &begun).await;
    silent.set_faults(StoreFaults::default());
    outcomes.assert_unmixed();
    outcomes.assert_continued();
}

/// A gateway that has stood still learns of the new version and goes on with its streams.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_the_new_version_go_on_at_a_gateway_that_is_in_step_again() {
    let mut fleet = start_with_one_version(3).await;
    stop_in_step(&fleet, &[2], true);
    add_new_version(&mut fleet).await;
    wait_until_new_version_serves(&fleet, &[0, 1]).await;
    let gateway = &fleet.gateways[2];
    gateway.process.resume();
    gateway.store_listener.set_faults(StoreFaults::default());
    wait_until_new_version_serves(&fleet, &[2]).await;
    let begun = begin_new_streams(&fleet, &[0, 1]).await;
    let outcomes = take_up_all(&fleet, &[2], &begun).await;
    outcomes.assert_unmixed();
    outcomes.assert_continued();
}
