//! Gateways that leave as planned or are lost, until one is left.
//!
//! Guards against items of accepted jobs that wait for slots of gateways that do not exist any more.

mod gateway;

use std::net::SocketAddr;

use gateway::{
    ExclusiveFleet, assert_completed, listed_results, start, submit, wait_for_all_results,
};
use swiftshunt_lab::platform::fleet::{PlatformOptions, eventually};
use swiftshunt_platform::words::topics;
use swiftshunt_scheduler::slots::cell::{Cell, owner};

/// Number of gateways. The search for the owner of a cell passes through most of them.
const GATEWAYS: usize = 9;
/// Number of items of a job.
const ITEMS: usize = 24;
/// Stop of the gateways, so that a planned stop is short.
const STOP_SETTINGS: &str = "[stop]\ngrace = \"3s\"\nunlisted_after = \"1s\"";

async fn start_fleet(gateways: usize) -> ExclusiveFleet {
    start(PlatformOptions {
        gateways,
        extra_settings: STOP_SETTINGS.to_owned(),
        ..PlatformOptions::default()
    })
    .await
}

fn is_listed(fleet: &ExclusiveFleet, gateway: SocketAddr) -> bool {
    fleet.store.has_key(topics::GATEWAYS, &gateway.to_string())
}

/// Returns the index of the gateway that owns the only cell of the service of batch jobs after all others are gone.
fn last_owner(fleet: &ExclusiveFleet) -> usize {
    let cell = Cell {
        service: "engine".to_owned(),
        region: None,
        count: 1,
        index: 0,
    };
    let mut left: Vec<SocketAddr> = fleet.gateways.iter().map(|it| it.peers).collect();
    while left.len() > 1 {
        let first = owner(&cell, left.iter().copied());
        left.retain(|gateway| Some(*gateway) != first);
    }
    let position = fleet.gateways.iter().position(|it| it.peers == left[0]);
    position.expect("an unknown gateway")
}

/// Guards against stopped gateways that others go on listing, because the removal is written only at some log levels.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_that_stops_as_planned_leaves_the_list() {
    let fleet = start_fleet(3).await;
    let stopping = &fleet.gateways[0];
    eventually("the gateways are listed", || async {
        fleet.gateways.iter().all(|it| is_listed(&fleet, it.peers))
    })
    .await;
    stopping.process.terminate();
    eventually("the gateway has left the list", || async {
        !is_listed(&fleet, stopping.peers)
    })
    .await;
    let others = &fleet.gateways[1..];
    assert!(others.iter().all(|it| is_listed(&fleet, it.peers)));
}

/// Guards against items that wait for slots for good, because gateways that are lost, and listed for some time yet, own the
/// slots of a cell in turn.
#[tokio::test(flavor = "multi_thread")]
async fn items_run_at_the_last_gateway_after_all_others_were_lost() {
    let mut fleet = start_fleet(GATEWAYS).await;
    let last = last_owner(&fleet);
    for (index, gateway) in fleet.gateways.iter_mut().enumerate() {
        if index != last {
            gateway.process.kill();
        }
    }
    let callers = fleet.gateways[last].callers;
    submit(&fleet, callers, "job", ITEMS).await;
    wait_for_all_results(&fleet, callers, "job", ITEMS).await;
    let results = listed_results(&fleet, callers, "job").await;
    assert_completed(&results, "job", ITEMS);
}
