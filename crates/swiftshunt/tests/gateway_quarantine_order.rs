//! Order of events when a request has crashed its third worker: once its caller knows of the failure, no gateway may
//! send the request again.
//!
//! Guards against a fourth crashed worker in attempts that follow each other at different gateways. Each test holds
//! back the report of a crash where luck would have it be late: by gateways that start while the log is slow.

mod gateway;

use std::net::SocketAddr;
use std::time::Duration;

use gateway::{ExclusiveFleet, start, unresponsive_log};
use hyper::StatusCode;
use swiftshunt_http::{HttpAnswer, HttpError};
use swiftshunt_lab::platform::fleet::{
    ONCE, PlatformOptions, eventually,
};
use swiftshunt_lab::platform::store::StoreFaults;
use swiftshunt_platform::words::topics;

/// The body of a request that crashes each worker that runs it.
const HARMFUL: &str = "a question that ends its worker";
/// Number of crashed workers after which a request is quarantined.
const MAX_CRASHES: usize = 3;
/// Time that the log takes for an append.
const APPEND_DELAY: Duration = Duration::from_millis(200);

async fn start_fleet(gateways: usize, workers: usize) -> ExclusiveFleet {
    start(PlatformOptions {
        gateways,
        workers,
        crash_workers_on_body: Some(HARMFUL.to_owned()),
        ..PlatformOptions::default()
    })
    .await
}

/// Returns the number of workers that have crashed.
fn crashed_workers(fleet: &ExclusiveFleet) -> usize {
    let workers = fleet.whole_workers.iter().chain(&fleet.engine_workers);
    workers.filter(|worker| worker.has_crashed()).count()
}

/// Sends the harmful request once in a task of its own.
fn send(
    fleet: &ExclusiveFleet,
    gateway: SocketAddr,
    path: &str,
    id: &str,
) -> tokio::task::JoinHandle<Result<HttpAnswer, HttpError>> {
    let caller = fleet.caller.clone();
    let (path, id) = (path.to_owned(), id.to_owned());
    tokio::spawn(async move { caller.ask_with_body(gateway, &path, &id, HARMFUL).await })
}

/// Sends the harmful request once and returns the status of the answer.
async fn status_of_attempt(
    fleet: &ExclusiveFleet,
    gateway: SocketAddr,
    path: &str,
    id: &str,
) -> StatusCode {
    let answer = send(fleet, gateway, path, id).await;
    let answer = answer.expect("the task panicked").expect("no response");
    answer.status
}

/// Two gateways start while the log takes long for appends, so that each may read the list of gateways before the other
/// one is in it. Neither would then tell the other one of a crash.
#[tokio::test(flavor = "multi_thread")]
async fn gateways_that_start_together_refuse_a_request_that_ended_three_workers() {
    let mut fleet = start_fleet(2, 8).await;
    for gateway in &fleet.gateways {
        gateway.process.signal_kill();
        let address = gateway.peers.to_string();
        fleet.store.put(topics::GATEWAYS, &address, Vec::new());
        gateway.store_listener.set_faults(StoreFaults {
            lost_answer_probability: 1.0,
            lost_append_delay: APPEND_DELAY,
            ..StoreFaults::default()
        });
    }
    for index in 0..fleet.gateways.len() {
        fleet.restart(index).expect("the gateway did not start");
    }
    for gateway in &fleet.gateways {
        let is_ready = || fleet.caller.is_ready(gateway.ready);
        eventually("the gateway is ready", is_ready).await;
    }
    for gateway in &fleet.gateways {
        gateway.store_listener.set_faults(unresponsive_log());
    }
    let mut statuses = Vec::new();
    for number in 0..6 {
        let gateway = fleet.gateways[number % 2].callers;
        let id = format!("harmful-{number}");
        statuses.push(status_of_attempt(&fleet, gateway, ONCE, &id).await);
    }
    println!("{statuses:?}");
    assert_eq!(crashed_workers(&fleet), MAX_CRASHES);
    let refused = &statuses[MAX_CRASHES..];
    assert_eq!(refused, [StatusCode::SERVICE_UNAVAILABLE; 3]);
}
