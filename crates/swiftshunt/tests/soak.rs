//! The fault soak with fixed seeds and with recorded plans that once broke a promise. Other tests prove that
//! the soak detects simulated processes that break a promise.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

use swiftshunt_lab::harness::Binaries;
use swiftshunt_lab::platform::store::StoreFaults;
use swiftshunt_lab::platform::worker::WorkerBehaviour;
use swiftshunt_lab::soak::history::History;
use swiftshunt_lab::soak::plan::{
    ColdStarts, Disruption, Plan, ScheduledFault, Service, WaitingLimit,
};
use swiftshunt_lab::soak::promises::{ALL, Promise, judge};
use test_case::test_case;
use tokio::sync::Mutex;

/// Runs one round at a time: the promises have time limits that fail on an overloaded machine.
static ONE_ROUND: Mutex<()> = Mutex::const_new(());

/// Number of rounds so far; each round writes to a folder of its own.
static ROUNDS: AtomicUsize = AtomicUsize::new(0);
/// Length of a round of a fixed seed, in minutes.
const ROUND_MINUTES: f64 = 0.35;
/// Length of a round with series of faults, in minutes.
const SERIES_MINUTES: f64 = 0.75;
/// Length of a round with a single fault, in minutes.
const SHORT_MINUTES: f64 = 0.15;

async fn play(plan: Plan) -> History {
    let _guard = ONE_ROUND.lock().await;
    let binaries = Binaries::beside_node_program(env!("CARGO_BIN_EXE_swiftshunt"));
    let number = ROUNDS.fetch_add(1, Ordering::Relaxed);
    let folder = format!("soak-{}-{}-{number}", plan.seed, std::process::id());
    let scratch = Path::new(env!("CARGO_TARGET_TMPDIR")).join(folder);
    println!("seed {}, logs: {}", plan.seed, scratch.display());
    let history = swiftshunt_lab::soak::play(plan, binaries, scratch).await;
    history.expect("the round failed")
}

fn assert_all_kept(history: &History) {
    for promise in ALL {
        let verdict = judge(promise, history);
        println!("{promise}: {} checked", verdict.checked);
        assert_eq!(verdict.violations, [], "{promise}");
    }
}

#[test_case(11)]
#[test_case(12)]
#[test_case(13)]
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_the_faults_of_a_seed(seed: u64) {
    let history = play(Plan::draw(seed, ROUND_MINUTES)).await;
    assert!(history.online.len() > 100, "at most 100 online requests");
    assert!(!history.jobs.is_empty());
    assert_all_kept(&history);
}

/// Items that run for seconds meet several ends of workers, lost connections and lapses of directory entries.
#[test_case(81_002)]
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_series_of_faults_that_overlap(seed: u64) {
    let history = play(Plan::draw(seed, SERIES_MINUTES).with_series()).await;
    assert!(!history.jobs.is_empty());
    assert_all_kept(&history);
}

/// Callers take streams up at other gateways while workers number events wrongly and break streams off.
#[test_case(98_201)]
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_while_workers_number_events_wrongly(seed: u64) {
    let history = play(Plan::draw(seed, SERIES_MINUTES).with_stream_faults()).await;
    let taken_up = history.taken_up.len();
    assert!(taken_up > 100, "{taken_up} streams were taken up");
    assert_all_kept(&history);
}

/// Replays the plans that once broke a promise; `lab/seeds/README.md` lists the reasons.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_where_they_once_broke() {
    let folder: PathBuf = [env!("CARGO_MANIFEST_DIR"), "../../lab/seeds"]
        .iter()
        .collect();
    for file in std::fs::read_dir(folder).expect("the folder of plans is unreadable") {
        let file = file.expect("the folder of plans is unreadable").path();
        if file
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            println!("{}", file.display());
            let text = std::fs::read_to_string(&file).expect("the plan is unreadable");
            let plan = serde_json::from_str(&text).expect("the plan cannot be decoded");
            assert_all_kept(&play(plan).await);
        }
    }
}

/// Returns a plan with a single disruption, from its first second on.
fn plan_with(disruption: Disruption) -> Plan {
    let mut plan = Plan::draw(1, SHORT_MINUTES);
    plan.job_burst_interval_ms = 1_000;
    plan.faults = vec![ScheduledFault {
        at_ms: 1_000,
        after: None,
        duration_ms: plan.load_ms,
        disruption,
    }];
    plan
}

fn worker_manner(service: Service, manner: WorkerBehaviour) -> Disruption {
    Disruption::ServiceManner { service, manner }
}

fn store_that_loses_records() -> Disruption {
    let faults = StoreFaults {
        false_acknowledgement_probability: 1.0,
        ..StoreFaults::default()
    };
    Disruption::Store {
        gateways: Vec::new(),
        faults,
    }
}

#[test_case(Promise::OwnAnswer, worker_manner(Service::Whole, WorkerBehaviour::WrongBody); "wrong response bodies")]
#[test_case(Promise::AtMostOnce, worker_manner(Service::Whole, WorkerBehaviour::ReportRunTwice); "double runs")]
#[test_case(Promise::NotRun, worker_manner(Service::Whole, WorkerBehaviour::ReportRunAndDecline); "false statements that a request did not run")]
#[test_case(Promise::ExactlyOnce, store_that_loses_records(); "a log that loses records")]
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_promise_is_detected(promise: Promise, disruption: Disruption) {
    let history = play(plan_with(disruption)).await;
    let verdict = judge(promise, &history);
    assert!(
        !verdict.violations.is_empty(),
        "no break was detected, {} checked",
        verdict.checked
    );
}

/// Workers in an evacuated zone, and those in a region that a route excludes, claim to be in the other zone.
/// The soak must detect the requests that run there.
#[test_case(Promise::Evacuated)]
#[test_case(Promise::Residency)]
#[tokio::test(flavor = "multi_thread")]
async fn workers_that_report_a_wrong_zone_are_detected(promise: Promise) {
    let single = plan_with(Disruption::Evacuate { zone: 1 });
    let mut plan = single.clone().in_two_regions();
    plan.faults = single.faults;
    plan.cold = None;
    if let Some(regions) = &mut plan.regions {
        regions.is_announced = false;
    }
    let history = play(plan).await;
    let verdict = judge(promise, &history);
    assert!(
        !verdict.violations.is_empty(),
        "no break was detected, {} checked",
        verdict.checked
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_waiting_limit_missing_from_the_configuration_is_detected() {
    let mut plan = plan_with(Disruption::Configure);
    plan.waiting_limit = Some(WaitingLimit {
        tokens: 1,
        is_announced: false,
    });
    let history = play(plan).await;
    let verdict = judge(Promise::WaitingLimit, &history);
    assert!(
        !verdict.violations.is_empty(),
        "no break was detected, {} checked",
        verdict.checked
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn workers_that_do_not_report_that_they_are_cold_are_detected() {
    let mut plan = plan_with(Disruption::CrashWorker {
        service: Service::Whole,
        index: 0,
        same_address: false,
    });
    plan.faults[0].duration_ms = 500;
    plan.workers = 2;
    plan.requests_per_s = 100.0;
    plan.cold = Some(ColdStarts {
        per_second: 1.0,
        duration_ms: plan.load_ms,
        is_announced: false,
    });
    let history = play(plan).await;
    let verdict = judge(Promise::Cold, &history);
    assert!(
        !verdict.violations.is_empty(),
        "no break was detected, {} checked",
        verdict.checked
    );
}
