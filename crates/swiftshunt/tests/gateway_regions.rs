//! Two regions: each serves its own callers, and takes the other's where those would be late at home.

mod gateway;

use std::time::Duration;

use gateway::{ExclusiveFleet, start};
use swiftshunt_lab::platform::fleet::{PlatformOptions, STREAM, eventually};
use swiftshunt_lab::platform::places::Places;
use swiftshunt_platform::words::{topics, values};

/// Gateways and workers stand in them by turns: those with even numbers in the north.
const PLACES: [(&str, &str); 2] = [("north-a", "north"), ("south-a", "south")];
/// Slots of the one engine of a region.
const SLOTS: usize = 16;
/// Time in which gateways hear of each other, and owners of what is free elsewhere.
const SETTLED: Duration = Duration::from_millis(3_500);
/// Time within which a stream that finds a slot runs.
const AT_ONCE: Duration = Duration::from_millis(700);
/// Time in which gateways notice that an owner is gone.
const OWNER_GONE: Duration = Duration::from_millis(2_500);
/// Figure of requests that went to another region.
const CROSSED: &str = "swiftshunt_requests_crossed_total";

/// Four gateways, two in each region, and an engine in each at which a stream takes 20 s.
async fn two_regions() -> ExclusiveFleet {
    let fleet = start(PlatformOptions {
        gateways: 4,
        events: 400,
        event_pause: Duration::from_millis(50),
        places: Places::new(&PLACES),
        ..PlatformOptions::default()
    })
    .await;
    tokio::time::sleep(SETTLED).await;
    fleet
}

fn open_streams(fleet: &ExclusiveFleet, gateways: &[usize], ids: &[String]) {
    for (number, id) in ids.iter().enumerate() {
        let caller = fleet.caller.clone();
        let address = fleet.gateways[gateways[number % gateways.len()]].callers;
        let id = id.clone();
        tokio::spawn(async move {
            let patience = Duration::from_secs(30);
            caller.ask(address, STREAM, &id, patience).await
        });
    }
}

fn ids(name: &str, count: usize) -> Vec<String> {
    (0..count)
        .map(|number| format!("{name}-{number}"))
        .collect()
}

/// Waits until the engines of north and south run so many streams.
async fn until_running(fleet: &ExclusiveFleet, north: usize, south: usize) {
    let running = || (fleet.engines[0].running(), fleet.engines[1].running());
    let what = format!("{north} run in the north and {south} in the south");
    let is_so = || async { running() == (north, south) };
    let waited = tokio::time::timeout(AT_ONCE, eventually(&what, is_so)).await;
    assert!(waited.is_ok(), "{what}: {:?}", running());
}

async fn crossed(fleet: &ExclusiveFleet, gateways: &[usize]) -> f64 {
    let mut sum = 0.0;
    for gateway in gateways {
        let metrics = fleet.gateways[*gateway].metrics;
        sum += fleet.caller.figure(metrics, CROSSED).await;
    }
    sum
}

#[tokio::test(flavor = "multi_thread")]
async fn a_region_that_is_full_uses_the_free_slots_of_the_other() {
    const MORE: usize = 5;
    let fleet = two_regions().await;
    open_streams(&fleet, &[0, 2], &ids("own", SLOTS));
    until_running(&fleet, SLOTS, 0).await;
    open_streams(&fleet, &[0, 2], &ids("more", MORE));
    until_running(&fleet, SLOTS, MORE).await;
    assert_eq!(crossed(&fleet, &[0, 2]).await, MORE as f64);
}

/// While its region has room nothing crosses, also where one gateway that decides its slots dies.
#[tokio::test(flavor = "multi_thread")]
async fn a_region_whose_owner_dies_keeps_its_requests() {
    const EACH: usize = 4;
    for dies in [0, 2] {
        let mut fleet = two_regions().await;
        let stays = 2 - dies;
        open_streams(&fleet, &[stays], &ids("before", EACH));
        until_running(&fleet, EACH, 0).await;
        fleet.gateways[dies].process.kill();
        open_streams(&fleet, &[stays], &ids("at-once", EACH));
        until_running(&fleet, 2 * EACH, 0).await;
        tokio::time::sleep(OWNER_GONE).await;
        open_streams(&fleet, &[stays], &ids("later", EACH));
        until_running(&fleet, 3 * EACH, 0).await;
    }
}

/// The other region is silent: its part of what gateways decide must cost nobody here any time.
#[tokio::test(flavor = "multi_thread")]
async fn a_region_serves_its_callers_without_the_other() {
    const FEW: usize = 6;
    let fleet = two_regions().await;
    for south in [1, 3] {
        fleet.gateways[south].process.pause();
    }
    open_streams(&fleet, &[0, 2], &ids("cut", FEW));
    until_running(&fleet, FEW, 0).await;
    for south in [1, 3] {
        fleet.gateways[south].process.resume();
    }
}

/// What all gateways need of the log crosses to a region for its readers alone.
#[tokio::test(flavor = "multi_thread")]
async fn each_region_has_readers_of_its_own() {
    const GATEWAYS: usize = 8;
    let fleet = start(PlatformOptions {
        gateways: GATEWAYS,
        directory: "gateways_per_reader = 2".to_owned(),
        places: Places::new(&PLACES),
        ..PlatformOptions::default()
    })
    .await;
    let reads = || -> Vec<u64> {
        let doors = fleet.gateways.iter().map(|gateway| &gateway.door);
        doors.map(|door| door.reads(topics::WORKERS)).collect()
    };
    eventually("two of each region read", || async {
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
