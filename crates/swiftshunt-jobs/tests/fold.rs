//! The fold of job records, with single records and with 3000 seeded schedules of records.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use swiftshunt_jobs::{
    Effect, FailedRun, ItemOutcome, ItemSpec, JobFold, JobRecord, JobSpec, Progress, Settled,
};

fn spec(id: &str, items: usize) -> JobSpec {
    let items = (0..items).map(|item| ItemSpec {
        id: format!("{id}-{item}"),
        path: "/batch/1".to_owned(),
        headers: Vec::new(),
        body: Bytes::from_static(b"body"),
        tokens: 10,
    });
    JobSpec {
        id: id.to_owned(),
        host: "h".to_owned(),
        path: "/batch/".to_owned(),
        items: items.collect(),
        taken_unix_ms: 0,
        tenant: None,
        route: None,
        configuration_version: None,
    }
}

fn settled(item: u32, text: &str) -> Settled {
    Settled {
        item,
        outcome: ItemOutcome::Completed,
        text: text.to_owned(),
    }
}

fn results(job: &str, results: Vec<Settled>) -> JobRecord {
    JobRecord::Settled {
        job: job.to_owned(),
        results,
    }
}

fn apply(fold: &mut JobFold, record: JobRecord) -> Effect {
    fold.apply(record, Vec::new(), Duration::ZERO)
}

#[test]
fn repeated_records_change_nothing() {
    let mut fold = JobFold::default();
    let accepted = JobRecord::Accepted(spec("j", 2));
    assert_eq!(
        apply(&mut fold, accepted.clone()),
        Effect::Accepted("j".into())
    );
    assert_eq!(apply(&mut fold, accepted), Effect::Nothing);
    apply(&mut fold, results("j", vec![settled(1, "first")]));
    let second = results("j", vec![settled(1, "second"), settled(0, "other")]);
    assert_eq!(apply(&mut fold, second), Effect::Progress("j".into()));
    let job = fold.job("j").expect("job j is unknown");
    let texts: Vec<&str> = job.results.iter().map(|result| &*result.text).collect();
    assert_eq!(texts, ["first", "other"]);
    assert!(job.is_closed());
}

#[test]
fn results_of_unknown_jobs_and_items_change_nothing() {
    let mut fold = JobFold::default();
    let early = results("j", vec![settled(0, "early")]);
    assert_eq!(apply(&mut fold, early), Effect::Nothing);
    apply(&mut fold, JobRecord::Accepted(spec("j", 1)));
    let beyond = results("j", vec![settled(9, "beyond")]);
    assert_eq!(apply(&mut fold, beyond), Effect::Nothing);
}

#[test]
fn an_ended_job_keeps_its_results_and_has_no_unsettled_items() {
    let mut fold = JobFold::default();
    apply(&mut fold, JobRecord::Accepted(spec("j", 2)));
    apply(&mut fold, results("j", vec![settled(0, "listed")]));
    let end = JobRecord::Ended { job: "j".into() };
    assert_eq!(apply(&mut fold, end.clone()), Effect::Ended("j".into()));
    assert_eq!(apply(&mut fold, end), Effect::Nothing);
    apply(&mut fold, results("j", vec![settled(1, "late")]));
    assert_eq!(fold.job("j").expect("job j is unknown").results.len(), 1);
    assert!(fold.unsettled_items().is_empty());
}

#[test]
fn pages_stay_within_their_limit_and_hold_at_least_one_result() {
    let mut fold = JobFold::default();
    apply(&mut fold, JobRecord::Accepted(spec("j", 3)));
    let long = "x".repeat(1_000);
    let all = (0..3).map(|item| settled(item, &long)).collect();
    apply(&mut fold, results("j", all));
    let job = fold.job("j").expect("job j is unknown");
    assert_eq!(job.page(0, 1).results.len(), 1);
    assert_eq!(job.page(0, 2_500).results.len(), 2);
    assert_eq!(job.page(2, 1 << 20).results.len(), 1);
    assert!(job.page(3, 1 << 20).results.is_empty());
    assert!(job.page(9, 1 << 20).results.is_empty());
}

#[test]
fn an_earlier_progress_does_not_replace_a_later_one() {
    let mut fold = JobFold::default();
    apply(&mut fold, JobRecord::Accepted(spec("j", 1)));
    for last_event in [4, 9, 6] {
        let progress = Progress {
            item: 0,
            last_event,
            text: format!("up to {last_event}"),
            failures: 0,
            origin: None,
        };
        let record = JobRecord::HandedOver {
            job: "j".into(),
            progress: vec![progress],
            failed_runs: Vec::new(),
        };
        apply(&mut fold, record);
    }
    let job = fold.job("j").expect("job j is unknown");
    assert_eq!(job.progress(0).map(|progress| progress.last_event), Some(9));
    apply(&mut fold, results("j", vec![settled(0, "whole")]));
    assert!(
        fold.job("j")
            .expect("job j is unknown")
            .progress(0)
            .is_none()
    );
}

/// Two runners may each have failed an item before they read the other's record.
#[test]
fn failed_runs_of_all_runners_count_once_each() {
    let mut fold = JobFold::default();
    apply(&mut fold, JobRecord::Accepted(spec("j", 2)));
    let failed = |item, run| FailedRun { item, run };
    let records = [
        vec![failed(0, 7), failed(1, 7)],
        vec![failed(0, 9)],
        vec![failed(0, 7)],
    ];
    for failed_runs in records {
        let record = JobRecord::HandedOver {
            job: "j".into(),
            progress: Vec::new(),
            failed_runs,
        };
        apply(&mut fold, record);
    }
    let count = |fold: &JobFold, item| {
        let job = fold.job("j").expect("job j is unknown");
        job.failed_runs(item).count()
    };
    assert_eq!((count(&fold, 0), count(&fold, 1)), (2, 1));
    apply(&mut fold, results("j", vec![settled(0, "whole")]));
    assert_eq!((count(&fold, 0), count(&fold, 1)), (0, 1));
}

#[test]
fn only_closed_jobs_expire_and_return_the_keys_of_their_records() {
    let mut fold = JobFold::default();
    let key = |name: &str| vec![name.as_bytes().to_vec()];
    let second = Duration::from_secs(1);
    fold.apply(
        JobRecord::Accepted(spec("open", 1)),
        key("a"),
        Duration::ZERO,
    );
    fold.apply(
        JobRecord::Accepted(spec("done", 1)),
        key("b"),
        Duration::ZERO,
    );
    fold.apply(results("done", vec![settled(0, "")]), key("c"), second);
    assert_eq!(fold.expired(second), ["done"]);
    assert_eq!(fold.forget("done"), [b"b".to_vec(), b"c".to_vec()]);
    assert!(fold.job("done").is_none());
}

/// Records as several runners and callers write them, shuffled, with some acceptances and results repeated.
fn schedule(random: &mut StdRng) -> Vec<JobRecord> {
    let mut records = Vec::new();
    for job in 0..random.random_range(1..4) {
        let id = format!("job-{job}");
        let items = random.random_range(1..6);
        for _ in 0..random.random_range(1..3) {
            records.push(JobRecord::Accepted(spec(&id, items)));
        }
        for runner in 0..random.random_range(1..4) {
            for item in 0..items as u32 {
                if random.random_bool(0.8) {
                    let result = settled(item, &format!("by runner {runner}"));
                    records.push(results(&id, vec![result]));
                }
            }
        }
        if random.random_bool(0.2) {
            records.push(JobRecord::Ended { job: id });
        }
    }
    records.shuffle(random);
    records
}

/// A result that was listed at a position must stay there, and a node that restarts and reads all records again
/// must list the same results at the same positions.
#[test]
fn positions_of_results_never_change_under_any_schedule() {
    for seed in 0..3_000 {
        let mut random = StdRng::seed_from_u64(seed);
        let records = schedule(&mut random);
        let mut original = JobFold::default();
        let mut listed: BTreeMap<String, Vec<Settled>> = BTreeMap::new();
        for record in records.clone() {
            apply(&mut original, record);
            for job in original.jobs() {
                let before = listed.entry(job.spec.id.clone()).or_default();
                assert_eq!(&job.results[..before.len()], &before[..], "seed {seed}");
                before.clone_from(&job.results);
            }
        }
        // A node that restarted and reads all records from the beginning.
        let mut restarted = JobFold::default();
        for record in records {
            apply(&mut restarted, record);
        }
        for job in original.jobs() {
            let other = restarted
                .job(&job.spec.id)
                .expect("the restarted fold lacks a job");
            assert_eq!(job.results, other.results, "seed {seed}");
            let mut items: Vec<u32> = job.results.iter().map(|result| result.item).collect();
            items.sort_unstable();
            items.dedup();
            assert_eq!(
                items.len(),
                job.results.len(),
                "seed {seed}: an item has two results"
            );
        }
    }
}
