//! Gateways that renew the leases of their partitions and cannot run the items in them.

mod gateway;

use std::net::SocketAddr;
use std::time::Duration;

use gateway::raw_worker::list_worker;
use gateway::{
    ExclusiveFleet, assert_completed, listed_results, start, submit, wait_for_all_results,
};
use swiftshunt_lab::platform::caller::PlatformCaller;
use swiftshunt_lab::platform::fleet::{PlatformOptions, STREAM, eventually, first_configuration};
use swiftshunt_lab::platform::store::StoreFaults;
use swiftshunt_lab::proxy::{Fault, Link};
use swiftshunt_platform::words::topics;
use test_case::test_case;

/// Number of jobs, so that every gateway holds some of them.
const JOBS: usize = 12;
/// Time in which gateways discover each other.
const SETTLED: Duration = Duration::from_millis(2_500);

fn job(number: usize) -> String {
    format!("job-{number}")
}

async fn submit_jobs(fleet: &ExclusiveFleet, gateway: usize) {
    for number in 0..JOBS {
        submit(fleet, fleet.gateways[gateway].callers, &job(number), 2).await;
    }
}

async fn assert_jobs_completed(fleet: &ExclusiveFleet, gateway: usize) {
    let gateway = fleet.gateways[gateway].callers;
    for number in 0..JOBS {
        wait_for_all_results(fleet, gateway, &job(number), 2).await;
        let results = listed_results(fleet, gateway, &job(number)).await;
        assert_completed(&results, &job(number), 2);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn items_are_run_although_the_holder_of_their_partition_cannot_read_it() {
    let fleet = start(PlatformOptions {
        gateways: 3,
        ..PlatformOptions::default()
    })
    .await;
    tokio::time::sleep(SETTLED).await;
    let listener = fleet.gateways[0].store_listener.clone();
    listener.set_faults(unreadable(topics::JOBS));
    submit_jobs(&fleet, 1).await;
    assert_jobs_completed(&fleet, 1).await;
    listener.set_faults(StoreFaults::default());
    wait_for_leases(&fleet, 0, |leased| leased > 0.0).await;
}

/// Returns the faults of a log of which a gateway cannot read one topic.
fn unreadable(topic: &str) -> StoreFaults {
    StoreFaults {
        hang_reads_of: Some(topic.to_owned()),
        ..StoreFaults::default()
    }
}

/// Waits until a gateway leases as many partitions as `is_expected` accepts.
async fn wait_for_leases(
    fleet: &ExclusiveFleet,
    gateway: usize,
    is_expected: impl Fn(f64) -> bool,
) {
    let metrics = fleet.gateways[gateway].metrics;
    eventually("the leases are as expected", || async {
        let name = "swiftshunt_leased_partitions";
        is_expected(fleet.caller.metric_value(metrics, name).await)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn items_are_run_although_their_holder_does_not_learn_of_the_configuration_that_accepted_them()
 {
    let mut fleet = start(PlatformOptions {
        gateways: 3,
        ..PlatformOptions::default()
    })
    .await;
    tokio::time::sleep(SETTLED).await;
    let stale = fleet.gateways[0].store_listener.clone();
    stale.set_faults(unreadable(topics::OPERATOR));
    fleet.configure(first_configuration());
    tokio::time::sleep(SETTLED).await;
    submit_jobs(&fleet, 1).await;
    assert_jobs_completed(&fleet, 1).await;
    stale.set_faults(StoreFaults::default());
    wait_for_leases(&fleet, 0, |leased| leased > 0.0).await;
}

/// Gateways and workers of the test of a gateway that reaches no worker.
const GATEWAYS: usize = 3;
const WORKERS: usize = 4;
/// Local address of the connections of the gateway that reaches no worker, where only these are cut.
const CUT_SOURCE: &str = "127.0.0.77";
/// An address of no machine: a connection from it cannot be opened.
const MISSING_SOURCE: &str = "192.0.2.1";

/// Starts a fleet whose first gateway connects to workers from the given address, and whose engine workers are reached
/// through links.
async fn fleet_with_source(source: &str) -> (ExclusiveFleet, Vec<Link>) {
    let mut fleet = start(PlatformOptions {
        gateways: 0,
        workers: WORKERS,
        ..PlatformOptions::default()
    })
    .await;
    let mut links = Vec::new();
    for worker in &fleet.engine_workers {
        let link = Link::open(([127, 0, 0, 1], 0).into(), Some(worker.address)).await;
        let link = link.expect("the link did not open");
        list_worker(&fleet, link.address, "engine", worker.incarnation());
        links.push(link);
    }
    for gateway in 0..GATEWAYS {
        let settings = match gateway {
            0 => format!("[workers]\nsource = \"{source}\"\n"),
            _ => String::new(),
        };
        let added = fleet.add_gateway(&settings).await;
        added.expect("the gateway did not start");
    }
    for gateway in &fleet.gateways {
        eventually("the gateway is ready", || {
            fleet.caller.is_ready(gateway.ready)
        })
        .await;
    }
    tokio::time::sleep(SETTLED).await;
    (fleet, links)
}

/// How the sends of a gateway end that reaches no worker.
#[derive(Clone, Copy)]
enum Reach {
    /// Connections cannot be opened.
    NoConnection,
    /// Connections are reset.
    Reset,
    /// Connections are opened, and no byte arrives.
    Silence,
}

#[test_case(Reach::NoConnection; "connections cannot be opened")]
#[test_case(Reach::Reset; "connections are reset")]
#[test_case(Reach::Silence; "workers seem silent")]
#[tokio::test(flavor = "multi_thread")]
async fn items_are_run_although_the_holder_of_their_partition_reaches_no_worker(reach: Reach) {
    let source = match reach {
        Reach::NoConnection => MISSING_SOURCE,
        Reach::Reset | Reach::Silence => CUT_SOURCE,
    };
    let (fleet, links) = fleet_with_source(source).await;
    let fault = match reach {
        Reach::NoConnection => Fault::None,
        Reach::Reset => Fault::Cut,
        Reach::Silence => Fault::Freeze,
    };
    for link in &links {
        link.set_fault_from(CUT_SOURCE.parse().expect("an IP address"), fault);
    }
    let online = tokio::spawn(send_streams(
        fleet.caller.clone(),
        fleet.gateways[1].callers,
    ));
    submit_jobs(&fleet, 1).await;
    assert_jobs_completed(&fleet, 1).await;
    online.abort();
}

/// Sends a stream to a gateway a few times a second.
async fn send_streams(caller: PlatformCaller, gateway: SocketAddr) {
    for number in 0.. {
        let id = format!("stream-{number}");
        drop(
            caller
                .ask(gateway, STREAM, &id, Duration::from_secs(1))
                .await,
        );
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}
