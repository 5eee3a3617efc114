//! Which runs the end of a worker accuses that had ended for their sender before.

use std::time::Duration;

use swiftshunt_scheduler::quarantine::{InconclusiveRun, InconclusiveRuns, LINGER_TIME};
use swiftshunt_scheduler::slots::WorkerKey;
use test_case::test_case;

const WORKER: WorkerKey = WorkerKey(1);
const OTHER_WORKER: WorkerKey = WorkerKey(2);
const SENT: Duration = Duration::from_secs(10);
const ENDED: Duration = Duration::from_millis(10_030);
const MILLISECOND: Duration = Duration::from_millis(1);

fn run(name: &'static str) -> InconclusiveRun<&'static str> {
    InconclusiveRun {
        worker: WORKER,
        sent_at: SENT,
        ended_at: ENDED,
        content_bytes: 100,
        content: name,
    }
}

/// Returns the names of the runs that the end of a worker at `at` accuses.
fn accused(
    runs: &mut InconclusiveRuns<&'static str>,
    worker: WorkerKey,
    at: Duration,
) -> Vec<&'static str> {
    let accused = runs.record_worker_end(worker, at);
    accused.runs.into_iter().map(|run| run.content).collect()
}

#[test_case(SENT - MILLISECOND => false; "before it was sent")]
#[test_case(SENT + MILLISECOND => true; "while the sender waited")]
#[test_case(ENDED + LINGER_TIME => true; "shortly after the sender gave up")]
#[test_case(ENDED + LINGER_TIME + MILLISECOND => false; "long after the sender gave up")]
fn a_run_is_accused_if_its_worker_ended(at: Duration) -> bool {
    let mut runs = InconclusiveRuns::default();
    assert_eq!(runs.record_run(run("one")), None);
    accused(&mut runs, WORKER, at) == ["one"]
}

#[test]
fn the_end_of_a_worker_accuses_no_runs_of_others_and_each_run_once() {
    let mut runs = InconclusiveRuns::default();
    runs.record_run(run("one"));
    assert!(accused(&mut runs, OTHER_WORKER, ENDED).is_empty());
    assert_eq!(accused(&mut runs, WORKER, ENDED), ["one"]);
    assert!(accused(&mut runs, WORKER, ENDED).is_empty());
}

#[test]
fn a_run_that_ends_for_its_sender_after_its_worker_is_accused_at_once() {
    let mut runs = InconclusiveRuns::default();
    runs.record_worker_end(WORKER, SENT + MILLISECOND);
    assert!(runs.record_run(run("one")).is_some());
    runs.forget_worker_end(WORKER);
    assert_eq!(runs.record_run(run("two")), None);
}

#[test]
fn an_end_that_several_gateways_tell_is_new_once_and_that_of_the_next_life_again() {
    let mut runs = InconclusiveRuns::<&str>::default();
    assert!(runs.record_worker_end(WORKER, ENDED).is_new);
    assert!(
        !runs
            .record_worker_end(WORKER, ENDED + 100 * MILLISECOND)
            .is_new
    );
    assert!(
        runs.record_worker_end(WORKER, ENDED + 3_000 * MILLISECOND)
            .is_new
    );
}

#[test]
fn the_oldest_runs_give_way_if_their_content_is_large() {
    let mut runs = InconclusiveRuns::default();
    for name in ["one", "two", "three"] {
        let content_bytes = 2 << 20;
        runs.record_run(InconclusiveRun {
            content_bytes,
            ..run(name)
        });
    }
    assert_eq!(accused(&mut runs, WORKER, ENDED), ["two", "three"]);
}
