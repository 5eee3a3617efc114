//! An accepted configuration applies at all nodes within seconds and never reverts to an older version.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::start_fleet;
use swiftshunt_lab::harness::{
    Fleet, FleetOptions, TENANT_TOKEN, eventually_within, fleet_configuration,
};
use swiftshunt_lab::log_service::LogFaults;
use swiftshunt_lab::proxy::Fault;
use swiftshunt_types::token_digest;

/// Time within which an accepted configuration must apply at all nodes.
const APPLIED_WITHIN: Duration = Duration::from_secs(13);

/// Returns the initial configuration with one more pool.
fn configuration(pool: &str) -> String {
    format!(
        "{}[[pools]]\nname = \"{pool}\"\nkind = \"submission\"\n",
        fleet_configuration()
    )
}

async fn version(fleet: &Fleet, node: usize) -> Option<u64> {
    let answer = fleet
        .operator
        .get(fleet.nodes[node].api, "/v1/operator/configuration")
        .await;
    answer.ok()?.json()["version"].as_u64()
}

/// Waits until each of the nodes reports version `wanted` or a later one.
async fn wait_for_version(fleet: &Fleet, wanted: u64, nodes: &[usize]) {
    for node in nodes {
        eventually_within(
            APPLIED_WITHIN,
            "the version applies at the node",
            || async { (version(fleet, *node).await? >= wanted).then_some(()) },
        )
        .await;
    }
}

/// Polls the version of each node until the returned flag is set; a task panics if its node's version falls.
/// Each task returns the number of versions that it has read.
fn watch_versions(fleet: &Fleet) -> (Arc<AtomicBool>, Vec<tokio::task::JoinHandle<usize>>) {
    let stop = Arc::new(AtomicBool::new(false));
    let watchers = fleet.nodes.iter().map(|node| {
        let (api, operator, stop) = (node.api, fleet.operator.clone(), Arc::clone(&stop));
        tokio::spawn(async move {
            let (mut highest, mut seen) = (0, 0);
            while !stop.load(Ordering::Relaxed) {
                let answer = operator.get(api, "/v1/operator/configuration").await;
                let version = answer
                    .ok()
                    .and_then(|answer| answer.json()["version"].as_u64());
                if let Some(version) = version {
                    assert!(
                        version >= highest,
                        "version fell from {highest} to {version}"
                    );
                    highest = version;
                    seen += 1;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            seen
        })
    });
    let watchers = watchers.collect();
    (stop, watchers)
}

async fn stop_watching(stop: Arc<AtomicBool>, watchers: Vec<tokio::task::JoinHandle<usize>>) {
    stop.store(true, Ordering::Relaxed);
    for watcher in watchers {
        assert!(watcher.await.expect("a version fell") > 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_simultaneous_publications_one_wins_and_one_gets_409() {
    let fleet = start_fleet(FleetOptions::new("config_race")).await;
    let (stop, watchers) = watch_versions(&fleet);
    for round in 0..10 {
        let base = version(&fleet, 0).await.expect("no version");
        wait_for_version(&fleet, base, &[0, 1, 2]).await;
        let (one, other) = (
            configuration(&format!("one-{round}")),
            configuration(&format!("other-{round}")),
        );
        let (one, other) = tokio::join!(
            fleet.operator.publish(fleet.nodes[0].api, base, &one),
            fleet.operator.publish(fleet.nodes[1].api, base, &other),
        );
        let answers = [one.expect("no response"), other.expect("no response")];
        let winners: Vec<_> = answers
            .iter()
            .filter(|answer| answer.status == 200)
            .collect();
        let losers: Vec<_> = answers
            .iter()
            .filter(|answer| answer.status == 409)
            .collect();
        assert_eq!((winners.len(), losers.len()), (1, 1), "{answers:?}");
        let won = winners[0].json()["version"].as_u64().expect("no version");
        assert!(
            losers[0].body.contains(&format!("version {won}")),
            "{:?}",
            losers[0]
        );
        assert_eq!(losers[0].execution().as_deref(), Some("not_run"));
        wait_for_version(&fleet, won, &[0, 1, 2]).await;
    }
    stop_watching(stop, watchers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_without_the_log_gets_configurations_from_its_peers() {
    let fleet = start_fleet(FleetOptions::new("config_peers")).await;
    let (stop, watchers) = watch_versions(&fleet);
    fleet.log.set_fault_from(fleet.nodes[2].source, Fault::Cut);
    let base = version(&fleet, 0).await.expect("no version");
    let published = fleet
        .operator
        .publish(fleet.nodes[0].api, base, &configuration("new"))
        .await;
    let won = published.expect("no response").json()["version"]
        .as_u64()
        .expect("no version");
    wait_for_version(&fleet, won, &[0, 1, 2]).await;
    stop_watching(stop, watchers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_zone_catches_up_and_never_reverts() {
    let fleet = start_fleet(FleetOptions::new("config_cut")).await;
    let (stop, watchers) = watch_versions(&fleet);
    fleet.set_isolated(2, Fault::Cut);
    fleet.log.set_fault_from(fleet.nodes[2].source, Fault::Cut);
    let base = version(&fleet, 0).await.expect("no version");
    let published = fleet
        .operator
        .publish(fleet.nodes[0].api, base, &configuration("new"))
        .await;
    let won = published.expect("no response").json()["version"]
        .as_u64()
        .expect("no version");
    wait_for_version(&fleet, won, &[0, 1]).await;
    let stale = fleet
        .operator
        .publish(fleet.nodes[2].api, base, &configuration("late"))
        .await;
    assert_ne!(
        stale.expect("no response").status,
        200,
        "the isolated zone accepted a configuration"
    );
    fleet.set_isolated(2, Fault::None);
    wait_for_version(&fleet, won, &[2]).await;
    stop_watching(stop, watchers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_started_while_the_log_is_down_serves_only_the_newest_version() {
    let mut fleet = start_fleet(FleetOptions::new("config_restart")).await;
    let base = version(&fleet, 0).await.expect("no version");
    let published = fleet
        .operator
        .publish(fleet.nodes[0].api, base, &configuration("new"))
        .await;
    let won = published.expect("no response").json()["version"]
        .as_u64()
        .expect("no version");
    wait_for_version(&fleet, won, &[0, 1, 2]).await;
    let down = LogFaults {
        down: true,
        ..LogFaults::default()
    };
    fleet.set_log_faults(&down).await;
    fleet.nodes[2].process.kill();
    let restarted = fleet.start_node(2).await.expect("the node did not start");
    let api = fleet.nodes[restarted].api;
    // A node serves only once it has the version of its peers.
    eventually_within(APPLIED_WITHIN, "the new node serves", || async {
        let answer = fleet.tenant.get(api, "/v1/models").await.ok()?;
        (answer.status == 200).then_some(())
    })
    .await;
    assert_eq!(version(&fleet, restarted).await, Some(won));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_log_that_answers_from_an_old_offset_reverts_no_version() {
    let fleet = start_fleet(FleetOptions::new("config_old_offset")).await;
    let (stop, watchers) = watch_versions(&fleet);
    let mut base = version(&fleet, 0).await.expect("no version");
    for round in 0..4 {
        let toml = configuration(&format!("pool-{round}"));
        let published = fleet
            .operator
            .publish(fleet.nodes[0].api, base, &toml)
            .await;
        base = published.expect("no response").json()["version"]
            .as_u64()
            .expect("no version");
    }
    wait_for_version(&fleet, base, &[0, 1, 2]).await;
    let old = LogFaults {
        read_back: 3,
        ..LogFaults::default()
    };
    fleet.set_log_faults(&old).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    for node in 0..3 {
        assert_eq!(version(&fleet, node).await, Some(base));
    }
    fleet.set_log_faults(&LogFaults::default()).await;
    stop_watching(stop, watchers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_revoked_token_is_refused_everywhere() {
    let fleet = start_fleet(FleetOptions::new("config_revoke")).await;
    let base = version(&fleet, 0).await.expect("no version");
    let digest = token_digest(TENANT_TOKEN).to_string();
    let revoked = fleet_configuration().replace(&digest, token_digest("another").as_str());
    let published = fleet
        .operator
        .publish(fleet.nodes[0].api, base, &revoked)
        .await;
    let won = published.expect("no response").json()["version"]
        .as_u64()
        .expect("no version");
    wait_for_version(&fleet, won, &[0, 1, 2]).await;
    for node in &fleet.nodes {
        let answer = fleet
            .tenant
            .get(node.api, "/v1/models")
            .await
            .expect("no response");
        assert_eq!(answer.status, 401);
    }
}
