//! Two regions: each serves its own callers, and also those of the other region if they would otherwise be
//! late.

mod gateway;

use std::time::Duration;

use gateway::{ExclusiveFleet, start, submit, wait_for_all_results};
use swiftshunt_lab::platform::fleet::{PlatformOptions, STREAM, eventually};
use swiftshunt_lab::platform::zone_layout::ZoneLayout;
use swiftshunt_platform::words::{topics, values};

/// Zones and their regions. Gateways and workers are placed in turn: those with even indexes in the north.
const ZONES: [(&str, &str); 2] = [("north-a", "north"), ("south-a", "south")];
/// Number of slots of the only engine in a region.
const SLOTS: usize = 16;
/// Time in which gateways discover each other, and slot owners learn of free slots in the other region.
const SETTLED: Duration = Duration::from_millis(3_500);
/// Time within which a stream runs if a slot is free.
const RUNS_WITHIN: Duration = Duration::from_millis(700);
/// Time in which gateways notice that a slot owner is gone.
const OWNER_FAILOVER_TIME: Duration = Duration::from_millis(2_500);
/// Name of the metric of requests that were sent to another region.
const CROSSED_METRIC: &str = "swiftshunt_requests_crossed_total";

/// Starts two gateways and an engine in each of the two regions; a stream takes 20 s.
async fn two_regions() -> ExclusiveFleet {
    let fleet = start(PlatformOptions {
        gateways: 4,
        events: 400,
        event_interval: Duration::from_millis(50),
        zone_layout: ZoneLayout::new(&ZONES),
        ..PlatformOptions::default()
    })
    .await;
    tokio::time::sleep(SETTLED).await;
    fleet
}

/// Opens streams at the gateways in turn without waiting for their responses.
fn open_streams(fleet: &ExclusiveFleet, gateways: &[usize], ids: &[String]) {
    for (number, id) in ids.iter().enumerate() {
        let caller = fleet.caller.clone();
        let address = fleet.gateways[gateways[number % gateways.len()]].callers;
        let id = id.clone();
        tokio::spawn(async move {
            let deadline = Duration::from_secs(30);
            caller.ask(address, STREAM, &id, deadline).await
        });
    }
}

fn ids(name: &str, count: usize) -> Vec<String> {
    (0..count)
        .map(|number| format!("{name}-{number}"))
        .collect()
}

/// Waits until the engines run exactly these numbers of streams; panics after `RUNS_WITHIN`.
async fn wait_until_running(fleet: &ExclusiveFleet, north: usize, south: usize) {
    let running = || {
        (
            fleet.engine_workers[0].running(),
            fleet.engine_workers[1].running(),
        )
    };
    let condition = format!("{north} run in the north and {south} in the south");
    let is_reached = || async { running() == (north, south) };
    let waited = tokio::time::timeout(RUNS_WITHIN, eventually(&condition, is_reached)).await;
    assert!(waited.is_ok(), "{condition}: {:?}", running());
}

/// Returns the number of requests that the gateways have sent to another region.
async fn crossed_requests(fleet: &ExclusiveFleet, gateways: &[usize]) -> f64 {
    let mut sum = 0.0;
    for gateway in gateways {
        let metrics = fleet.gateways[*gateway].metrics;
        sum += fleet.caller.metric_value(metrics, CROSSED_METRIC).await;
    }
    sum
}

#[tokio::test(flavor = "multi_thread")]
async fn a_region_that_is_full_uses_the_free_slots_of_the_other() {
    const EXCESS_STREAMS: usize = 5;
    let fleet = two_regions().await;
    open_streams(&fleet, &[0, 2], &ids("own", SLOTS));
    wait_until_running(&fleet, SLOTS, 0).await;
    open_streams(&fleet, &[0, 2], &ids("more", EXCESS_STREAMS));
    wait_until_running(&fleet, SLOTS, EXCESS_STREAMS).await;
    assert_eq!(
        crossed_requests(&fleet, &[0, 2]).await,
        EXCESS_STREAMS as f64
    );
}

/// While a region has free slots, no request is sent to the other one, even if a gateway that may be the slot
/// owner is killed.
#[tokio::test(flavor = "multi_thread")]
async fn a_region_whose_slot_owner_is_killed_keeps_its_requests() {
    const STREAMS_PER_STEP: usize = 4;
    for killed in [0, 2] {
        let mut fleet = two_regions().await;
        let remaining = 2 - killed;
        open_streams(&fleet, &[remaining], &ids("before", STREAMS_PER_STEP));
        wait_until_running(&fleet, STREAMS_PER_STEP, 0).await;
        fleet.gateways[killed].process.kill();
        open_streams(&fleet, &[remaining], &ids("at-once", STREAMS_PER_STEP));
        wait_until_running(&fleet, 2 * STREAMS_PER_STEP, 0).await;
        tokio::time::sleep(OWNER_FAILOVER_TIME).await;
        open_streams(&fleet, &[remaining], &ids("later", STREAMS_PER_STEP));
        wait_until_running(&fleet, 3 * STREAMS_PER_STEP, 0).await;
    }
}

/// The other region does not answer. Decisions that involve its gateways must not delay requests in this one.
#[tokio::test(flavor = "multi_thread")]
async fn a_region_serves_its_callers_while_the_other_does_not_answer() {
    const STREAMS: usize = 6;
    let fleet = two_regions().await;
    for south in [1, 3] {
        fleet.gateways[south].process.pause();
    }
    open_streams(&fleet, &[0, 2], &ids("cut", STREAMS));
    wait_until_running(&fleet, STREAMS, 0).await;
    for south in [1, 3] {
        fleet.gateways[south].process.resume();
    }
}

/// Records of the log are sent into a region only for its reader gateways.
#[tokio::test(flavor = "multi_thread")]
async fn each_region_has_its_own_readers() {
    const GATEWAYS: usize = 8;
    let fleet = start(PlatformOptions {
        gateways: GATEWAYS,
        extra_directory_settings: "gateways_per_reader = 2".to_owned(),
        zone_layout: ZoneLayout::new(&ZONES),
        ..PlatformOptions::default()
    })
    .await;
    let reads = || -> Vec<u64> {
        let listeners = fleet.gateways.iter().map(|gateway| &gateway.store_listener);
        listeners
            .map(|listener| listener.read_calls(topics::WORKERS))
            .collect()
    };
    eventually("two gateways of each region read from the log", || async {
        let before = reads();
        for _ in 0..8 {
            fleet.list_all(values::READY);
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
        let after = reads();
        let read = before.iter().zip(&after);
        let read = read.enumerate();
        let read = read.filter(|(_, (before, after))| **after > **before + 1);
        let read: Vec<usize> = read.map(|(gateway, _)| gateway).collect();
        println!("readers: {read:?}");
        let north = read.iter().filter(|gateway| *gateway % 2 == 0).count();
        (north, read.len() - north) == (2, 2)
    })
    .await;
}

/// Items of a backlog that keeps the workers of one region busy for several times the wait for other regions.
const BACKLOG_ITEMS: usize = 150;
/// Delay before each event of such an item, which runs for a second.
const BACKLOG_EVENT_INTERVAL: Duration = Duration::from_millis(125);

#[tokio::test(flavor = "multi_thread")]
async fn a_backlog_of_one_region_uses_the_free_slots_of_the_other() {
    let fleet = start(PlatformOptions {
        gateways: 4,
        event_interval: BACKLOG_EVENT_INTERVAL,
        zone_layout: ZoneLayout::new(&ZONES),
        ..PlatformOptions::default()
    })
    .await;
    tokio::time::sleep(SETTLED).await;
    let gateway = fleet.gateways[0].callers;
    submit(&fleet, gateway, "backlog", BACKLOG_ITEMS).await;
    wait_for_all_results(&fleet, gateway, "backlog", BACKLOG_ITEMS).await;
    let runs: Vec<usize> = fleet
        .engine_workers
        .iter()
        .map(|worker| worker.runs().len())
        .collect();
    let fewer = runs.iter().min().copied().unwrap_or_default();
    assert!(fewer >= BACKLOG_ITEMS / 4, "runs by worker: {runs:?}");
}

/// Number of jobs, so that gateways of both regions run some.
const JOBS: usize = 8;

/// The workers of a region are listed and do not answer, while those of the other region are idle.
#[tokio::test(flavor = "multi_thread")]
async fn items_run_in_the_other_region_while_the_workers_of_their_own_cannot_be_reached() {
    let fleet = start(PlatformOptions {
        gateways: 4,
        zone_layout: ZoneLayout::new(&ZONES),
        ..PlatformOptions::default()
    })
    .await;
    tokio::time::sleep(SETTLED).await;
    fleet.engine_workers[0].crash();
    let gateway = fleet.gateways[1].callers;
    for job in 0..JOBS {
        submit(&fleet, gateway, &format!("job-{job}"), 1).await;
    }
    for job in 0..JOBS {
        wait_for_all_results(&fleet, gateway, &format!("job-{job}"), 1).await;
    }
}
