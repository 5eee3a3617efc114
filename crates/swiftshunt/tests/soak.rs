//! The fault soak with fixed seeds and with every plan that ever broke a promise; and that it notices
//! stand-ins that break promises themselves.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};

use swiftshunt_lab::harness::Binaries;
use swiftshunt_lab::platform::store::StoreFaults;
use swiftshunt_lab::platform::worker::Manner;
use swiftshunt_lab::soak::history::History;
use swiftshunt_lab::soak::plan::{ColdStarts, Disruption, Plan, Service, Step, WaitingLimit};
use swiftshunt_lab::soak::promises::{ALL, Promise, judge};
use test_case::test_case;
use tokio::sync::Mutex;

/// One round at a time: rounds count on the machine keeping up with their load.
static ONE_ROUND: Mutex<()> = Mutex::const_new(());

/// Rounds so far: each has a folder of its own.
static ROUNDS: AtomicUsize = AtomicUsize::new(0);
/// Length of a round of a fixed seed, in minutes.
const ROUND_MINUTES: f64 = 0.35;
/// Length of a round with one fault alone.
const SHORT_MINUTES: f64 = 0.15;

async fn play(plan: Plan) -> History {
    let _turn = ONE_ROUND.lock().await;
    let binaries = Binaries::beside(env!("CARGO_BIN_EXE_swiftshunt"));
    let number = ROUNDS.fetch_add(1, Ordering::Relaxed);
    let folder = format!("soak-{}-{}-{number}", plan.seed, std::process::id());
    let scratch = Path::new(env!("CARGO_TARGET_TMPDIR")).join(folder);
    println!("seed {}, logs: {}", plan.seed, scratch.display());
    let history = swiftshunt_lab::soak::play(plan, binaries, scratch).await;
    history.expect("a round")
}

fn assert_all_kept(history: &History) {
    for promise in ALL {
        let verdict = judge(promise, history);
        println!("{promise}: {} checked", verdict.checked);
        assert_eq!(verdict.breaks, [], "{promise}");
    }
}

#[test_case(11)]
#[test_case(12)]
#[test_case(13)]
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_the_faults_of_a_seed(seed: u64) {
    let history = play(Plan::draw(seed, ROUND_MINUTES)).await;
    assert!(history.online.len() > 100, "hardly any load");
    assert!(!history.jobs.is_empty());
    assert_all_kept(&history);
}

/// Plans that broke a promise once; `lab/seeds/README.md` tells why.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_where_they_once_broke() {
    let folder: PathBuf = [env!("CARGO_MANIFEST_DIR"), "../../lab/seeds"]
        .iter()
        .collect();
    for file in std::fs::read_dir(folder).expect("plans") {
        let file = file.expect("a file").path();
        if file
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            println!("{}", file.display());
            let text = std::fs::read_to_string(&file).expect("a plan");
            let plan = serde_json::from_str(&text).expect("a plan");
            assert_all_kept(&play(plan).await);
        }
    }
}

/// A plan with one thing going wrong from its first second on.
fn alone(disruption: Disruption) -> Plan {
    let mut plan = Plan::draw(1, SHORT_MINUTES);
    plan.job_burst_interval_ms = 1_000;
    plan.faults = vec![Step {
        at_ms: 1_000,
        after: None,
        for_ms: plan.load_ms,
        disruption,
    }];
    plan
}

fn served_badly(service: Service, manner: Manner) -> Disruption {
    Disruption::ServiceManner { service, manner }
}

fn forgetful() -> Disruption {
    let faults = StoreFaults {
        forgotten: 1.0,
        ..StoreFaults::default()
    };
    Disruption::Store {
        gateways: Vec::new(),
        faults,
    }
}

#[test_case(Promise::OwnAnswer, served_badly(Service::Whole, Manner::WrongBody); "wrong bodies")]
#[test_case(Promise::AtMostOnce, served_badly(Service::Whole, Manner::TellTwice); "double runs")]
#[test_case(Promise::NotRun, served_badly(Service::Whole, Manner::LyingRefusal); "false words that nothing ran")]
#[test_case(Promise::ExactlyOnce, forgetful(); "a store that forgets")]
#[tokio::test(flavor = "multi_thread")]
async fn stand_ins_that_break_a_promise_are_noticed(promise: Promise, disruption: Disruption) {
    let history = play(alone(disruption)).await;
    let verdict = judge(promise, &history);
    assert!(!verdict.breaks.is_empty(), "{} checked", verdict.checked);
}

/// A zone is evacuated in which workers stand that claim to be in the other one, as do those of the region that a
/// route is not bound to.
#[test_case(Promise::Evacuated)]
#[test_case(Promise::Residency)]
#[tokio::test(flavor = "multi_thread")]
async fn workers_that_hide_where_they_stand_are_noticed(promise: Promise) {
    let alone = alone(Disruption::Evacuate { zone: 1 });
    let mut plan = alone.clone().in_two_regions();
    plan.faults = alone.faults;
    plan.cold = None;
    if let Some(regions) = &mut plan.regions {
        regions.is_told = false;
    }
    let history = play(plan).await;
    let verdict = judge(promise, &history);
    assert!(!verdict.breaks.is_empty(), "{} checked", verdict.checked);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limit_that_nobody_tells_of_is_passed_and_noticed() {
    let mut plan = alone(Disruption::Configure);
    plan.waiting_limit = Some(WaitingLimit {
        tokens: 1,
        is_told: false,
    });
    let history = play(plan).await;
    let verdict = judge(Promise::WaitingLimit, &history);
    assert!(!verdict.breaks.is_empty(), "{} checked", verdict.checked);
}

#[tokio::test(flavor = "multi_thread")]
async fn workers_that_hide_that_they_are_cold_are_noticed() {
    let mut plan = alone(Disruption::CrashWorker {
        service: Service::Whole,
        index: 0,
        same_address: false,
    });
    plan.faults[0].for_ms = 500;
    plan.workers = 2;
    plan.requests_per_s = 100.0;
    plan.cold = Some(ColdStarts {
        per_second: 1.0,
        lasts_ms: plan.load_ms,
        is_told: false,
    });
    let history = play(plan).await;
    let verdict = judge(Promise::Cold, &history);
    assert!(!verdict.breaks.is_empty(), "{} checked", verdict.checked);
}
