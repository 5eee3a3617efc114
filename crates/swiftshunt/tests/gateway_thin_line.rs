//! Gateways in two regions with a thin line between them, and the store in one of them.

mod gateway;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gateway::{ExclusiveFleet, NO_WAIT, start, whole_job};
use hyper::StatusCode;
use swiftshunt_lab::platform::fleet::{BATCH, PlatformOptions, eventually, first_configuration};
use swiftshunt_lab::platform::places::Places;
use swiftshunt_lab::proxy::Width;
use swiftshunt_platform::words::topics;
use tokio::task::JoinSet;

const JOBS: usize = 12;
const ITEMS: usize = 8;
const ITEM_BYTES: usize = 40_000;
/// Two in the store's region, four in the other one.
const GATEWAYS: usize = 6;
/// The journal crosses once in some three seconds.
const LINE_BYTES_PER_S: u64 = 2_000_000;
/// Time within which jobs are readable again everywhere.
const READABLE_WITHIN: Duration = Duration::from_secs(10);
/// Bytes that may cross, as a multiple of what is kept.
const MOST_CROSSING: f64 = 1.5;
/// Pause of a caller between two calls.
const CALL_PAUSE: Duration = Duration::from_millis(300);

fn job(number: usize) -> String {
    format!("job-{number}")
}

/// A fleet whose journal is long against the line, with all jobs run.
async fn start_with_jobs(line: &Arc<Width>) -> ExclusiveFleet {
    let places = [("near", "here"), ("far-a", "there"), ("far-b", "there")];
    let options = PlatformOptions {
        gateways: GATEWAYS,
        workers: 3,
        event_pause: Duration::from_millis(1),
        places: Places::new(&places),
        line: Some(Arc::clone(line)),
        ..PlatformOptions::default()
    };
    let mut fleet = start(options).await;
    let gateway = fleet.gateways[0].callers;
    let mut configuration = first_configuration();
    configuration.limits.max_body_bytes = 4 * ITEMS * ITEM_BYTES;
    fleet.configure(configuration);
    eventually("long jobs are taken", || async {
        let bodies = std::iter::once("x".repeat(2 * ITEM_BYTES));
        let taken = fleet
            .caller
            .submit_bodies(gateway, BATCH, "first", bodies)
            .await;
        taken.is_ok_and(|status| status == StatusCode::ACCEPTED)
    })
    .await;
    for number in 0..JOBS {
        let job = job(number);
        let bodies = (0..ITEMS).map(|item| format!("{job}/{item}").repeat(ITEM_BYTES / 8));
        let taken = fleet
            .caller
            .submit_bodies(gateway, BATCH, &job, bodies)
            .await;
        assert_eq!(taken.expect("an answer"), StatusCode::ACCEPTED);
    }
    for number in 0..JOBS {
        whole_job(&fleet, gateway, &job(number), ITEMS).await;
    }
    fleet
}

/// Has callers at each of these gateways ask for each job until it is listed; gives how long that took.
async fn all_jobs_are_read(fleet: &ExclusiveFleet, gateways: &[SocketAddr]) -> Duration {
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
                        _ => tokio::time::sleep(CALL_PAUSE).await,
                    }
                }
            });
        }
    }
    let whole = async {
        while let Some(ended) = callers.join_next().await {
            ended.expect("a job that is found");
        }
    };
    let in_time = tokio::time::timeout(READABLE_WITHIN, whole).await;
    assert!(
        in_time.is_ok(),
        "{} of the calls are not answered",
        callers.len()
    );
    began.elapsed()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_region_behind_a_thin_line_reads_all_jobs_after_a_total_loss() {
    let line = Arc::new(Width::default());
    let mut fleet = start_with_jobs(&line).await;
    let kept = fleet.store.bytes(topics::JOBS);
    line.limit(LINE_BYTES_PER_S);
    for gateway in &mut fleet.gateways {
        gateway.process.kill();
    }
    let before = line.passed();
    for index in 0..GATEWAYS {
        fleet.restart(index).expect("a gateway");
    }
    let gateways: Vec<SocketAddr> = fleet.gateways.iter().map(|it| it.callers).collect();
    let took = all_jobs_are_read(&fleet, &gateways).await;
    let crossed = line.passed() - before;
    println!("kept {kept}, crossed {crossed}, read after {took:?}");
    assert!(
        crossed as f64 <= MOST_CROSSING * kept as f64,
        "{crossed} bytes crossed for {kept} that are kept"
    );
}
