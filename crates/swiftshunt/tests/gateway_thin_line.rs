//! Gateways in two regions with a slow link between them, and the platform's log in one of the regions.

mod gateway;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gateway::{ExclusiveFleet, NO_WAIT, start, wait_for_all_results};
use hyper::StatusCode;
use swiftshunt_lab::platform::fleet::{BATCH, PlatformOptions, eventually, first_configuration};
use swiftshunt_lab::platform::zone_layout::ZoneLayout;
use swiftshunt_lab::proxy::Bandwidth;
use swiftshunt_platform::words::topics;
use tokio::task::JoinSet;

const JOBS: usize = 12;
const ITEMS: usize = 8;
const ITEM_BYTES: usize = 40_000;
/// Number of gateways: two in the region of the log, four in the other one.
const GATEWAYS: usize = 6;
/// Bandwidth of the link: it transfers the whole journal once in about three seconds.
const LINK_BYTES_PER_S: u64 = 2_000_000;
/// Time within which all jobs must be readable again at all gateways.
const READABLE_WITHIN: Duration = Duration::from_secs(10);
/// Maximum number of bytes over the link, as a multiple of the stored bytes.
const MAX_TRANSFER_RATIO: f64 = 1.5;
/// Pause of a caller between attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

fn job(number: usize) -> String {
    format!("job-{number}")
}

/// Starts a fleet and completes all jobs, so that the journal takes seconds to transfer over the limited link.
async fn start_with_jobs(link: &Arc<Bandwidth>) -> ExclusiveFleet {
    let zones = [("near", "here"), ("far-a", "there"), ("far-b", "there")];
    let options = PlatformOptions {
        gateways: GATEWAYS,
        workers: 3,
        event_interval: Duration::from_millis(1),
        zone_layout: ZoneLayout::new(&zones),
        store_line: Some(Arc::clone(link)),
        ..PlatformOptions::default()
    };
    let mut fleet = start(options).await;
    let gateway = fleet.gateways[0].callers;
    let mut configuration = first_configuration();
    configuration.limits.max_body_bytes = 4 * ITEMS * ITEM_BYTES;
    fleet.configure(configuration);
    eventually("the larger body limit applies", || async {
        let bodies = std::iter::once("x".repeat(2 * ITEM_BYTES));
        let submitted = fleet
            .caller
            .submit_bodies(gateway, BATCH, "first", bodies)
            .await;
        submitted.is_ok_and(|status| status == StatusCode::ACCEPTED)
    })
    .await;
    for number in 0..JOBS {
        let job = job(number);
        let bodies = (0..ITEMS).map(|item| format!("{job}/{item}").repeat(ITEM_BYTES / 8));
        let submitted = fleet
            .caller
            .submit_bodies(gateway, BATCH, &job, bodies)
            .await;
        assert_eq!(submitted.expect("no response"), StatusCode::ACCEPTED);
    }
    for number in 0..JOBS {
        wait_for_all_results(&fleet, gateway, &job(number), ITEMS).await;
    }
    fleet
}

/// Queries each job at each of the gateways until all its results are listed, and returns how long that took.
async fn read_all_jobs(fleet: &ExclusiveFleet, gateways: &[SocketAddr]) -> Duration {
    let began = Instant::now();
    let mut callers = JoinSet::new();
    for gateway in gateways {
        for number in 0..JOBS {
            let caller = fleet.caller.clone();
            let gateway = *gateway;
            callers.spawn(async move {
                loop {
                    let answer = caller.results(gateway, &job(number), 0, NO_WAIT).await;
                    match answer {
                        Ok((StatusCode::OK, page)) if page.results.len() == ITEMS => return,
                        Ok((StatusCode::NOT_FOUND, _)) => panic!("{} is not found", job(number)),
                        _ => tokio::time::sleep(RETRY_INTERVAL).await,
                    }
                }
            });
        }
    }
    let all_callers = async {
        while let Some(ended) = callers.join_next().await {
            ended.expect("a job is not found");
        }
    };
    let in_time = tokio::time::timeout(READABLE_WITHIN, all_callers).await;
    assert!(
        in_time.is_ok(),
        "{} queries did not list all results of their job in time",
        callers.len()
    );
    began.elapsed()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_region_behind_a_slow_link_reads_all_jobs_after_all_gateways_were_killed() {
    let link = Arc::new(Bandwidth::default());
    let mut fleet = start_with_jobs(&link).await;
    let stored = fleet.store.byte_count(topics::JOBS);
    link.set_limit(LINK_BYTES_PER_S);
    for gateway in &mut fleet.gateways {
        gateway.process.kill();
    }
    let before = link.transferred_bytes();
    for index in 0..GATEWAYS {
        fleet.restart(index).expect("the gateway did not start");
    }
    let gateways: Vec<SocketAddr> = fleet.gateways.iter().map(|it| it.callers).collect();
    let took = read_all_jobs(&fleet, &gateways).await;
    let transferred = link.transferred_bytes() - before;
    println!("{stored} bytes stored, {transferred} transferred, all jobs readable after {took:?}");
    assert!(
        transferred as f64 <= MAX_TRANSFER_RATIO * stored as f64,
        "{transferred} bytes transferred for {stored} stored"
    );
}
