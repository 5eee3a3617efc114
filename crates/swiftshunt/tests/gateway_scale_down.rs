//! Gateways that leave as planned.
//!
//! Guards against gateways that are listed though they do not exist any more.

mod gateway;

use std::net::SocketAddr;

use gateway::{ExclusiveFleet, start};
use swiftshunt_lab::platform::fleet::{PlatformOptions, eventually};
use swiftshunt_platform::words::topics;

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
