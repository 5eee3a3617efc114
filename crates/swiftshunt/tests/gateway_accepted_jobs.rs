//! Large jobs that a few gateways are left with after the loss of the others.
//!
//! Guards against processes that go over the memory of their machines again and again, because they read all accepted jobs
//! into memory, and run no items.

mod gateway;

use std::time::Duration;

use gateway::{assert_completed, listed_results, peak_memory, start};
use hyper::StatusCode;
use swiftshunt_lab::platform::caller::{item_body, item_id};
use swiftshunt_lab::platform::fleet::{BATCH, PlatformOptions, eventually, first_configuration};

/// Memory of the smallest machines of our users, in MiB.
const MACHINE_MIB: u64 = 160;
/// Number of jobs, and of items in each. Together they have more bytes than a machine has memory.
const JOBS: usize = 50;
const ITEMS: usize = 4;
/// Size of an item's body. A job's body is below the limit of 4 MiB.
const ITEM_BYTES: usize = 760 << 10;
/// Largest legal body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

#[tokio::test(flavor = "multi_thread")]
async fn the_last_gateway_runs_more_accepted_jobs_than_its_memory_holds() {
    let mut fleet = start(PlatformOptions {
        gateways: 4,
        event_interval: Duration::from_millis(100),
        extra_settings: format!("[memory]\nlimit_mb = {MACHINE_MIB}"),
        ..PlatformOptions::default()
    })
    .await;
    let mut configuration = first_configuration();
    configuration.limits.max_body_bytes = MAX_BODY_BYTES;
    fleet.configure(configuration);
    let jobs: Vec<String> = (0..JOBS).map(|job| format!("large-{job}")).collect();
    for (number, job) in jobs.iter().enumerate() {
        let gateway = fleet.gateways[number % 3].callers;
        let bodies: Vec<String> = (0..ITEMS)
            .map(|item| format!("{}{}", item_body(job, item), "x".repeat(ITEM_BYTES)))
            .collect();
        eventually("the job is accepted", || async {
            let submitted = fleet
                .caller
                .submit_bodies(gateway, BATCH, job, bodies.iter().cloned());
            submitted
                .await
                .is_ok_and(|status| status == StatusCode::ACCEPTED)
        })
        .await;
    }
    for gateway in &mut fleet.gateways[..3] {
        gateway.process.kill();
    }
    let last = fleet.gateways[3].callers;
    for job in &jobs {
        eventually("every item has a result", || async {
            listed_results(&fleet, last, job).await.len() == ITEMS
        })
        .await;
        let results = listed_results(&fleet, last, job).await;
        assert_completed(&results, job, ITEMS);
    }
    // The body of an item that is listed is read back, too.
    let item = item_id(&jobs[0], 1);
    let answer = fleet.caller.item(last, &jobs[0], &item).await;
    let (status, body) = answer.expect("no answer");
    assert_eq!((status, body.len() > ITEM_BYTES), (StatusCode::OK, true));
    let process = &mut fleet.gateways[3].process;
    assert!(process.is_running(), "the gateway has ended");
    let memory = peak_memory(process.id());
    println!("{memory} KiB");
    assert!(memory <= MACHINE_MIB << 10, "{memory} KiB of memory");
}
