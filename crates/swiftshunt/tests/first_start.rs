//! The first start of a fleet, at which each partition's group is claimed in the archive.

mod common;

use common::start_fleet;
use swiftshunt_lab::harness::FleetOptions;

/// Guards against a node that is never ready. The nodes that claim a group elect its leader before another
/// node has read the claim; that node learns of the group from the leader's messages alone, and joins it
/// without its configuration. Elections are short here; on an overloaded machine reads of the archive are
/// long.
#[tokio::test(flavor = "multi_thread")]
async fn every_node_is_ready_although_leaders_are_elected_before_it_has_read_the_claims() {
    let elections = "[ledger]\nheartbeat_interval = \"12ms\"\nelection_timeout = \"40ms\"\n";
    let fleet = start_fleet(FleetOptions {
        settings: elections.to_owned(),
        ..FleetOptions::new("first_start")
    })
    .await;
    for node in 0..fleet.nodes.len() {
        fleet.wait_until_node_ready(node).await;
    }
}
