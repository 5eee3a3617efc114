//! Routes whose requests and jobs are restricted to one of two regions (`allowed_regions`).

mod gateway;

use std::time::{Duration, Instant};

use gateway::{
    ExclusiveFleet, assert_completed, listed_results, start, submit, unresponsive_log,
    wait_for_all_results,
};
use hyper::StatusCode;
use swiftshunt_lab::platform::fleet::{
    ASK, BATCH, PlatformOptions, STREAM, eventually, first_configuration,
};
use swiftshunt_lab::platform::zone_layout::ZoneLayout;
use swiftshunt_platform::documents::ConfigurationDocument;
use swiftshunt_platform::words::topics;

const DEADLINE: Duration = Duration::from_secs(6);
/// Time within which gateways must apply a change.
const APPLIED_WITHIN: Duration = Duration::from_secs(2);
/// Time in which leases move to other gateways after a change was applied.
const LEASE_MOVE_TIME: Duration = Duration::from_millis(2_500);
/// Maximum time until a refusal that must not wait for a worker.
const REFUSED_WITHIN: Duration = Duration::from_millis(200);
const ITEMS: usize = 4;
const SOUTH: &str = "south";

/// Starts gateways and workers in turn in the north (0, 2) and in the south (1, 3), with a configuration that
/// `restrict` has changed.
async fn two_regions(
    gateways: usize,
    restrict: impl Fn(&mut ConfigurationDocument),
) -> ExclusiveFleet {
    let mut fleet = start(PlatformOptions {
        gateways,
        zone_layout: ZoneLayout::new(&[("zone-n", "north"), ("zone-s", SOUTH)]),
        ..PlatformOptions::default()
    })
    .await;
    let mut configuration = first_configuration();
    restrict(&mut configuration);
    fleet.configure(configuration);
    tokio::time::sleep(APPLIED_WITHIN + LEASE_MOVE_TIME).await;
    fleet
}

fn restrict_to_south(configuration: &mut ConfigurationDocument) {
    for route in &mut configuration.routes {
        route.allowed_regions = vec![SOUTH.to_owned()];
    }
}

fn runs_in_the_north(fleet: &ExclusiveFleet) -> usize {
    fleet.whole_workers[0].runs().len() + fleet.engine_workers[0].runs().len()
}

#[tokio::test(flavor = "multi_thread")]
async fn restricted_requests_and_jobs_run_only_in_their_region() {
    let fleet = two_regions(2, restrict_to_south).await;
    let read_before = fleet.gateways[0].store_listener.read_calls(topics::JOBS);
    for (number, gateway) in fleet.gateways.iter().enumerate() {
        let gateway = gateway.callers;
        for request in 0..6 {
            for path in [ASK, STREAM] {
                let id = format!("r-{number}-{request}-{}", path.trim_matches('/'));
                let answer = fleet.caller.ask(gateway, path, &id, DEADLINE).await;
                assert_eq!(answer.expect("no response").status, StatusCode::OK, "{id}");
            }
        }
        for job in 0..4 {
            let job = format!("job-{number}-{job}");
            submit(&fleet, gateway, &job, ITEMS).await;
            wait_for_all_results(&fleet, gateway, &job, ITEMS).await;
            for reader in &fleet.gateways {
                assert_completed(
                    &listed_results(&fleet, reader.callers, &job).await,
                    &job,
                    ITEMS,
                );
            }
        }
    }
    assert_eq!(runs_in_the_north(&fleet), 0);
    let read = fleet.gateways[0].store_listener.read_calls(topics::JOBS);
    assert_eq!(read, read_before, "a gateway of the north read jobs");
}

/// Items of a killed gateway are taken over by another gateway of the allowed region. While that region has no
/// gateway, calls about the job are refused.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_stay_in_their_region_after_gateways_are_killed() {
    let mut fleet = two_regions(4, restrict_to_south).await;
    let north = fleet.gateways[0].callers;
    submit(&fleet, north, "job", ITEMS).await;
    fleet.gateways[1].process.kill();
    wait_for_all_results(&fleet, north, "job", ITEMS).await;
    fleet.gateways[3].process.kill();
    let read_before = fleet.gateways[0].store_listener.read_calls(topics::JOBS);
    let answer = fleet.caller.results(north, "job", 0, Duration::ZERO).await;
    assert!(answer.is_err() || answer.is_ok_and(|(status, _)| status != StatusCode::OK));
    assert_eq!(
        fleet.gateways[0].store_listener.read_calls(topics::JOBS),
        read_before
    );
    fleet.restart(3).expect("the gateway did not start");
    wait_for_all_results(&fleet, north, "job", ITEMS).await;
    assert_eq!(runs_in_the_north(&fleet), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_an_allowed_worker_is_refused_immediately() {
    let fleet = two_regions(2, restrict_to_south).await;
    fleet.unlist(&fleet.whole_workers[1]);
    tokio::time::sleep(APPLIED_WITHIN).await;
    for gateway in &fleet.gateways {
        let sent_at = Instant::now();
        let answer = fleet.caller.ask(gateway.callers, ASK, "r", DEADLINE).await;
        let answer = answer.expect("no response");
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.headers.contains_key("retry-after"));
        assert!(
            sent_at.elapsed() < REFUSED_WITHIN,
            "refused only after {:?}",
            sent_at.elapsed()
        );
        let reason = "swiftshunt_refusals_total{reason=\"OutsideResidency\"}";
        assert_eq!(
            fleet.caller.metric_value(gateway.metrics, reason).await,
            1.0
        );
    }
    assert_eq!(runs_in_the_north(&fleet), 0);
}

/// A configuration that restricts the regions of routes applies to new requests and jobs, while results of
/// earlier jobs stay readable.
#[tokio::test(flavor = "multi_thread")]
async fn a_restriction_applies_to_running_gateways() {
    let mut fleet = two_regions(2, |_| {}).await;
    let north = fleet.gateways[0].callers;
    submit(&fleet, north, "before", ITEMS).await;
    wait_for_all_results(&fleet, north, "before", ITEMS).await;
    let mut configuration = first_configuration();
    restrict_to_south(&mut configuration);
    fleet.configure(configuration);
    tokio::time::sleep(APPLIED_WITHIN).await;
    let before = runs_in_the_north(&fleet);
    for number in 0..6 {
        let id = format!("r-{number}");
        let answer = fleet.caller.ask(north, ASK, &id, DEADLINE).await;
        assert_eq!(answer.expect("no response").status, StatusCode::OK);
    }
    submit(&fleet, north, "after", ITEMS).await;
    wait_for_all_results(&fleet, north, "after", ITEMS).await;
    assert_completed(
        &listed_results(&fleet, north, "before").await,
        "before",
        ITEMS,
    );
    assert_eq!(runs_in_the_north(&fleet), before);
}

/// If a gateway cannot reach the log, jobs are appended only through gateways of their allowed regions.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_are_appended_only_through_gateways_of_their_regions() {
    let fleet = two_regions(2, restrict_to_south).await;
    let [north, south] = [&fleet.gateways[0], &fleet.gateways[1]];
    south.store_listener.set_faults(unresponsive_log());
    tokio::time::sleep(LEASE_MOVE_TIME).await;
    let status = fleet
        .caller
        .submit(south.callers, BATCH, "refused", ITEMS)
        .await;
    assert_ne!(status.expect("no response"), StatusCode::ACCEPTED);
    assert_eq!(
        fleet
            .caller
            .metric_value(south.metrics, "swiftshunt_log_away")
            .await,
        1.0
    );
    south.store_listener.set_faults(Default::default());
    tokio::time::sleep(LEASE_MOVE_TIME).await;
    north.store_listener.set_faults(unresponsive_log());
    tokio::time::sleep(LEASE_MOVE_TIME).await;
    eventually("the south appends for the north", || async {
        let status = fleet
            .caller
            .submit(north.callers, BATCH, "taken", ITEMS)
            .await;
        status.is_ok_and(|status| status == StatusCode::ACCEPTED)
    })
    .await;
    wait_for_all_results(&fleet, south.callers, "taken", ITEMS).await;
    assert_eq!(runs_in_the_north(&fleet), 0);
}

/// If two batch routes have no allowed region in common, jobs of the first are run. Jobs of the other are
/// refused immediately and never sent to machines outside of their region.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_no_gateway_may_run_is_refused_immediately() {
    let fleet = two_regions(2, |configuration| {
        restrict_to_south(configuration);
        let mut other = configuration
            .routes
            .last()
            .cloned()
            .expect("the configuration has no route");
        "/batch-north/".clone_into(&mut other.path_prefix);
        "batch-north".clone_into(&mut other.name);
        other.allowed_regions = vec!["north".to_owned()];
        configuration.routes.push(other);
    })
    .await;
    for gateway in &fleet.gateways {
        let sent_at = Instant::now();
        let gateway = gateway.callers;
        let status = fleet
            .caller
            .submit(gateway, "/batch-north/", "n", ITEMS)
            .await;
        assert_eq!(
            status.expect("no response"),
            StatusCode::SERVICE_UNAVAILABLE
        );
        assert!(
            sent_at.elapsed() < REFUSED_WITHIN,
            "refused only after {:?}",
            sent_at.elapsed()
        );
        let job = format!("south-{}", gateway.port());
        submit(&fleet, gateway, &job, ITEMS).await;
        wait_for_all_results(&fleet, gateway, &job, ITEMS).await;
    }
    assert_eq!(runs_in_the_north(&fleet), 0);
}
