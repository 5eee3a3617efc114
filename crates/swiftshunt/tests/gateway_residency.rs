//! Requests and jobs that may be handled in one region alone, at gateways of two.

mod gateway;

use std::time::{Duration, Instant};

use gateway::{ExclusiveFleet, assert_completed, down, listed, start, submit, whole_job};
use hyper::StatusCode;
use swiftshunt_lab::platform::fleet::{
    ASK, BATCH, PlatformOptions, STREAM, eventually, first_configuration,
};
use swiftshunt_lab::platform::places::Places;
use swiftshunt_platform::documents::ConfigurationDocument;
use swiftshunt_platform::words::topics;

const DEADLINE: Duration = Duration::from_secs(6);
/// Time within which a change of the configuration must be obeyed.
const OBEY_WITHIN: Duration = Duration::from_secs(2);
/// Time in which leases move after that.
const LEASES_MOVE: Duration = Duration::from_millis(2_500);
/// Time within which a refusal counts as one at once.
const AT_ONCE: Duration = Duration::from_millis(200);
const ITEMS: usize = 4;
const SOUTH: &str = "south";

/// Gateways and workers by turns in the north (0, 2) and in the south (1, 3), all of whose routes are as `bind` says.
async fn two_regions(gateways: usize, bind: impl Fn(&mut ConfigurationDocument)) -> ExclusiveFleet {
    let mut fleet = start(PlatformOptions {
        gateways,
        places: Places::new(&[("zone-n", "north"), ("zone-s", SOUTH)]),
        ..PlatformOptions::default()
    })
    .await;
    let mut configuration = first_configuration();
    bind(&mut configuration);
    fleet.configure(configuration);
    tokio::time::sleep(OBEY_WITHIN + LEASES_MOVE).await;
    fleet
}

fn all_in_the_south(configuration: &mut ConfigurationDocument) {
    for route in &mut configuration.routes {
        route.allowed_regions = vec![SOUTH.to_owned()];
    }
}

fn runs_in_the_north(fleet: &ExclusiveFleet) -> usize {
    fleet.whole[0].runs().len() + fleet.engines[0].runs().len()
}

#[tokio::test(flavor = "multi_thread")]
async fn what_may_be_handled_in_one_region_runs_there_alone() {
    let fleet = two_regions(2, all_in_the_south).await;
    let read_before = fleet.gateways[0].door.reads(topics::JOBS);
    for (number, gateway) in fleet.gateways.iter().enumerate() {
        let gateway = gateway.callers;
        for request in 0..6 {
            for path in [ASK, STREAM] {
                let id = format!("r-{number}-{request}-{}", path.trim_matches('/'));
                let answer = fleet.caller.ask(gateway, path, &id, DEADLINE).await;
                assert_eq!(answer.expect("an answer").status, StatusCode::OK, "{id}");
            }
        }
        for job in 0..4 {
            let job = format!("job-{number}-{job}");
            submit(&fleet, gateway, &job, ITEMS).await;
            whole_job(&fleet, gateway, &job, ITEMS).await;
            for reader in &fleet.gateways {
                assert_completed(&listed(&fleet, reader.callers, &job).await, &job, ITEMS);
            }
        }
    }
    assert_eq!(runs_in_the_north(&fleet), 0);
    let read = fleet.gateways[0].door.reads(topics::JOBS);
    assert_eq!(read, read_before, "a gateway of the north read jobs");
}

/// Items of a gateway that died are taken over within the region; while nobody is there, calls are refused.
#[tokio::test(flavor = "multi_thread")]
async fn after_a_death_jobs_stay_in_their_region() {
    let mut fleet = two_regions(4, all_in_the_south).await;
    let north = fleet.gateways[0].callers;
    submit(&fleet, north, "job", ITEMS).await;
    fleet.gateways[1].process.kill();
    whole_job(&fleet, north, "job", ITEMS).await;
    fleet.gateways[3].process.kill();
    let read_before = fleet.gateways[0].door.reads(topics::JOBS);
    let answer = fleet.caller.results(north, "job", 0, Duration::ZERO).await;
    assert!(answer.is_err() || answer.is_ok_and(|(status, _)| status != StatusCode::OK));
    assert_eq!(fleet.gateways[0].door.reads(topics::JOBS), read_before);
    fleet.restart(3).expect("a gateway");
    whole_job(&fleet, north, "job", ITEMS).await;
    assert_eq!(runs_in_the_north(&fleet), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn with_no_allowed_worker_a_request_is_refused_at_once() {
    let fleet = two_regions(2, all_in_the_south).await;
    fleet.unlist(&fleet.whole[1]);
    tokio::time::sleep(OBEY_WITHIN).await;
    for gateway in &fleet.gateways {
        let asked = Instant::now();
        let answer = fleet.caller.ask(gateway.callers, ASK, "r", DEADLINE).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.headers.contains_key("retry-after"));
        assert!(asked.elapsed() < AT_ONCE, "{:?}", asked.elapsed());
        let reason = "swiftshunt_refusals_total{reason=\"OutsideResidency\"}";
        assert_eq!(fleet.caller.figure(gateway.metrics, reason).await, 1.0);
    }
    assert_eq!(runs_in_the_north(&fleet), 0);
}

/// A change of the configuration that narrows it binds what is handed in after it, and what was before.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_that_narrows_it_binds() {
    let mut fleet = two_regions(2, |_| {}).await;
    let north = fleet.gateways[0].callers;
    submit(&fleet, north, "before", ITEMS).await;
    whole_job(&fleet, north, "before", ITEMS).await;
    let mut configuration = first_configuration();
    all_in_the_south(&mut configuration);
    fleet.configure(configuration);
    tokio::time::sleep(OBEY_WITHIN).await;
    let before = runs_in_the_north(&fleet);
    for number in 0..6 {
        let id = format!("r-{number}");
        let answer = fleet.caller.ask(north, ASK, &id, DEADLINE).await;
        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    }
    submit(&fleet, north, "after", ITEMS).await;
    whole_job(&fleet, north, "after", ITEMS).await;
    assert_completed(&listed(&fleet, north, "before").await, "before", ITEMS);
    assert_eq!(runs_in_the_north(&fleet), before);
}

/// Where the log turns a gateway away, jobs go to it through others of their regions alone.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_are_appended_through_gateways_of_their_regions_alone() {
    let fleet = two_regions(2, all_in_the_south).await;
    let [north, south] = [&fleet.gateways[0], &fleet.gateways[1]];
    south.door.set(down());
    tokio::time::sleep(LEASES_MOVE).await;
    let status = fleet
        .caller
        .submit(south.callers, BATCH, "refused", ITEMS)
        .await;
    assert_ne!(status.expect("an answer"), StatusCode::ACCEPTED);
    assert_eq!(
        fleet
            .caller
            .figure(south.metrics, "swiftshunt_log_away")
            .await,
        1.0
    );
    south.door.set(Default::default());
    tokio::time::sleep(LEASES_MOVE).await;
    north.door.set(down());
    tokio::time::sleep(LEASES_MOVE).await;
    eventually("the south appends for the north", || async {
        let status = fleet
            .caller
            .submit(north.callers, BATCH, "taken", ITEMS)
            .await;
        status.is_ok_and(|status| status == StatusCode::ACCEPTED)
    })
    .await;
    whole_job(&fleet, south.callers, "taken", ITEMS).await;
    assert_eq!(runs_in_the_north(&fleet), 0);
}

/// Routes that share no region: jobs of the first are run, those of the other are refused and never come to a
/// machine that may not see them.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_no_gateway_may_run_is_refused_at_once() {
    let fleet = two_regions(2, |configuration| {
        all_in_the_south(configuration);
        let mut other = configuration.routes.last().cloned().expect("a batch route");
        "/batch-north/".clone_into(&mut other.path_prefix);
        "batch-north".clone_into(&mut other.name);
        other.allowed_regions = vec!["north".to_owned()];
        configuration.routes.push(other);
    })
    .await;
    for gateway in &fleet.gateways {
        let asked = Instant::now();
        let gateway = gateway.callers;
        let status = fleet
            .caller
            .submit(gateway, "/batch-north/", "n", ITEMS)
            .await;
        assert_eq!(status.expect("an answer"), StatusCode::SERVICE_UNAVAILABLE);
        assert!(asked.elapsed() < AT_ONCE, "{:?}", asked.elapsed());
        let job = format!("south-{}", gateway.port());
        submit(&fleet, gateway, &job, ITEMS).await;
        whole_job(&fleet, gateway, &job, ITEMS).await;
    }
    assert_eq!(runs_in_the_north(&fleet), 0);
}
