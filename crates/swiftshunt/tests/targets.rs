//! Serving targets are met in time, also if the leader changes, and declared events can be listed and dropped.

mod common;

use common::start_fleet;
use serde_json::Value;
use swiftshunt_lab::harness::{EXTRA_MODEL, Fleet, FleetOptions, MODEL, POOL_ENGINES, eventually};
use swiftshunt_types::partition_of;

const PARTITIONS: u16 = 8;

fn options(name: &'static str) -> FleetOptions {
    FleetOptions {
        engines: 6,
        engine_flags: vec!["--model".to_owned(), MODEL.to_owned()],
        ..FleetOptions::new(name)
    }
}

async fn rows(fleet: &Fleet, node: usize, statement: &str) -> Option<Vec<Value>> {
    let api = fleet.nodes[node].api;
    let answer = fleet.operator.statement(api, statement).await.ok()?;
    (answer.status == 200).then(|| answer.json()["rows"].as_array().cloned())?
}

/// Returns the zone of each engine that serves the ordered model, sorted.
async fn loaded_zones(fleet: &Fleet) -> Vec<usize> {
    let mut zones = Vec::new();
    for (index, engine) in fleet.engines.iter().enumerate() {
        let answer = fleet.operator.get(engine.direct_address, "/v1/load").await;
        let load = answer.expect("the engine did not answer").json();
        let models = load["models"].as_array().cloned().unwrap_or_default();
        if models.iter().any(|model| model == EXTRA_MODEL) {
            zones.push(index % 3);
        }
    }
    zones.sort_unstable();
    zones
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_is_met_although_its_leader_is_killed() {
    let mut fleet = start_fleet(options("targets")).await;
    let refused = fleet
        .tenant
        .chat(fleet.nodes[0].api, EXTRA_MODEL, "x", 4)
        .await;
    assert_eq!(
        refused.expect("no response").execution().as_deref(),
        Some("not_run")
    );
    let statement = format!(
        "create target monday pool {POOL_ENGINES} model {EXTRA_MODEL} replicas 1 ready by +4s"
    );
    let answer = fleet
        .operator
        .statement(fleet.nodes[0].api, &statement)
        .await;
    assert_eq!(answer.expect("no response").status, 200);
    let pool = partition_of(&format!("pool:{POOL_ENGINES}"), PARTITIONS);
    let leader = eventually("the pool's partition has a leader", || {
        fleet.leader_of(0, pool.0)
    })
    .await;
    eventually("an order is given", || async {
        rows(&fleet, leader, "show orders")
            .await
            .filter(|rows| !rows.is_empty())
    })
    .await;
    fleet.nodes[leader].process.kill();
    let other = (leader + 1) % 3;
    eventually("one engine of each zone serves the model", || async {
        (loaded_zones(&fleet).await == [0, 1, 2]).then_some(())
    })
    .await;
    let api = fleet.nodes[other].api;
    eventually("the model is served to callers", || async {
        let answer = fleet.tenant.chat(api, EXTRA_MODEL, "x", 4).await.ok()?;
        (answer.status == 200).then_some(())
    })
    .await;
    assert_eq!(
        loaded_zones(&fleet).await,
        [0, 1, 2],
        "more engines were ordered than needed"
    );
    let explained = rows(&fleet, other, "explain target monday").await;
    let orders = rows(&fleet, other, "show orders")
        .await
        .expect("the orders are not readable");
    assert!(
        explained.is_some() || orders.len() >= 3,
        "neither an explanation nor the orders are shown"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn events_are_listed_by_every_node_and_dropped_once() {
    let fleet = start_fleet(options("declarations")).await;
    let api = fleet.nodes[0].api;
    let statement = format!(
        "create event billing pool {POOL_ENGINES} start +60s lasting 10m requests_per_second 80"
    );
    let answer = fleet
        .operator
        .statement(api, &statement)
        .await
        .expect("no response");
    assert_eq!(answer.status, 200, "{answer:?}");
    for node in 0..3 {
        let shown = rows(&fleet, node, "show events where name = billing").await;
        assert_eq!(shown.map(|rows| rows.len()), Some(1));
    }
    let dropped = fleet
        .operator
        .statement(fleet.nodes[1].api, "drop event billing")
        .await;
    assert_eq!(dropped.expect("no response").status, 200);
    let again = fleet
        .operator
        .statement(fleet.nodes[2].api, "drop event billing")
        .await;
    assert_eq!(again.expect("no response").status, 404);
    let wrong = "create event x pool nowhere start soon lasting 1m requests_per_second 1";
    let wrong = fleet
        .operator
        .statement(api, wrong)
        .await
        .expect("no response");
    assert_eq!(wrong.execution().as_deref(), Some("not_run"));
}
