//! Prompt parts that end workers, among parts of sound requests.

use std::net::SocketAddr;
use std::time::Duration;

use swiftshunt_scheduler::quarantine::{
    COMPARISON_WINDOW, Evidence, Fingerprint, PART_THRESHOLD, Quarantine, QuarantineStatus,
    RecentRuns, RequestIdentity, RunCounts, SUSPECTED_END_TTL, WorkerEnd,
};
use swiftshunt_scheduler::slots::WorkerKey;

const NOW: Duration = Duration::from_secs(1_000);
const UNIX_MS: u64 = 1_700_000_000_000;
const FIRST_PART: u64 = 1;
const HARMFUL_PART: u64 = 2;
/// Interval between two ends of workers, in milliseconds.
const INTERVAL_MS: u64 = 300;

fn part(id: u64) -> Fingerprint {
    Fingerprint::of_prompt_part(id)
}

fn gateway(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 1))
}

fn end(worker: u64, at: u64, part: Option<u8>) -> WorkerEnd {
    WorkerEnd {
        worker: WorkerKey(worker),
        sent_unix_ms: UNIX_MS + at - 50,
        ended_unix_ms: UNIX_MS + at,
        evidence: Evidence::Proved,
        part,
    }
}

/// Records that a worker ended at a moment while it ran requests with these parts, each with its position.
fn end_worker(quarantine: &mut Quarantine, worker: u64, at: u64, parts: &[(u64, u8)]) {
    for (id, depth) in parts {
        let end = end(worker, at, Some(*depth));
        quarantine.record_end(part(*id), end, end.ended_unix_ms, NOW);
    }
}

/// Counts of a part whose runs take 200 ms each, among 300 s of all runs, of which 30 met an end.
fn counts(good: u32, ended: u32) -> RunCounts {
    RunCounts {
        good,
        ended,
        exposure_ms: u64::from(good + ended) * 200,
        all_ended: 30,
        all_exposure_ms: 300_000,
    }
}

fn record_runs(quarantine: &mut Quarantine, id: u64, counts: RunCounts) {
    quarantine.record_runs(&part(id), gateway(1), counts, NOW);
}

fn is_held(quarantine: &Quarantine, id: u64) -> bool {
    quarantine.status(&part(id), NOW) != QuarantineStatus::Allowed
}

/// Ends `workers` workers one after the other, each of which ran the harmful part, its first part, and rare ones.
fn end_by_harmful_part(quarantine: &mut Quarantine, workers: u64) {
    for worker in 1..=workers {
        let rare = [(100 + worker, 1), (200 + worker, 1)];
        let parts = [&[(FIRST_PART, 0), (HARMFUL_PART, 1)][..], &rare].concat();
        end_worker(quarantine, worker, 1_000 + worker * INTERVAL_MS, &parts);
    }
}

#[test]
fn the_part_that_explains_the_ends_is_held_and_no_other() {
    let mut quarantine = Quarantine::default();
    end_by_harmful_part(&mut quarantine, 6);
    record_runs(&mut quarantine, FIRST_PART, counts(20, 8));
    record_runs(&mut quarantine, HARMFUL_PART, counts(0, 7));
    assert_eq!(quarantine.find_harmful_parts(NOW), [part(HARMFUL_PART)]);
    assert!(is_held(&quarantine, HARMFUL_PART));
    assert!(!is_held(&quarantine, FIRST_PART));
    assert!((100..300).all(|rare| !is_held(&quarantine, rare)));
    assert!(quarantine.find_harmful_parts(NOW).is_empty());
}

#[test]
fn of_two_parts_with_the_same_ends_the_one_that_fewer_requests_share_is_held() {
    let mut quarantine = Quarantine::default();
    end_by_harmful_part(&mut quarantine, 8);
    assert_eq!(quarantine.find_harmful_parts(NOW), [part(HARMFUL_PART)]);
}

#[test]
fn a_good_run_does_not_protect_a_part_that_ends_most_workers() {
    let mut quarantine = Quarantine::default();
    end_by_harmful_part(&mut quarantine, 8);
    record_runs(&mut quarantine, FIRST_PART, counts(20, 8));
    record_runs(&mut quarantine, HARMFUL_PART, counts(2, 8));
    assert_eq!(quarantine.find_harmful_parts(NOW), [part(HARMFUL_PART)]);
}

#[test]
fn a_part_that_ends_a_hundred_workers_a_second_is_held() {
    let mut quarantine = Quarantine::default();
    for worker in 0..90 {
        let parts = [(FIRST_PART, 0), (HARMFUL_PART, 1), (100 + worker, 1)];
        end_worker(&mut quarantine, worker, 1_000 + worker * 10, &parts);
    }
    record_runs(&mut quarantine, FIRST_PART, counts(40, 150));
    record_runs(&mut quarantine, HARMFUL_PART, counts(0, 100));
    assert_eq!(quarantine.find_harmful_parts(NOW), [part(HARMFUL_PART)]);
}

/// Nearly all runs of the service meet an end, all of them beside the part.
#[test]
fn a_part_that_ends_a_whole_service_is_held() {
    let mut quarantine = Quarantine::default();
    end_by_harmful_part(&mut quarantine, 25);
    let devastated = |good, ended| RunCounts {
        good,
        ended,
        exposure_ms: u64::from(good + ended) * 40,
        all_ended: 160,
        all_exposure_ms: 8_000,
    };
    record_runs(&mut quarantine, FIRST_PART, devastated(20, 160));
    record_runs(&mut quarantine, HARMFUL_PART, devastated(0, 14));
    assert_eq!(quarantine.find_harmful_parts(NOW), [part(HARMFUL_PART)]);
}

/// All workers end within half a second, are back and end again. With each moment several workers end, so that a part
/// of many requests is there at most moments as well.
#[test]
fn a_part_that_ends_all_workers_within_moments_is_held() {
    let mut quarantine = Quarantine::default();
    for worker in 0..28 {
        let at = 1_000 + worker * 36 + worker / 14 * 2_000;
        let rare = 100 + worker % 20;
        let parts = [(FIRST_PART, 0), (HARMFUL_PART, 1), (rare, 1)];
        end_worker(&mut quarantine, worker, at, &parts);
    }
    let dense = |good, ended, exposure_ms| RunCounts {
        good,
        ended,
        exposure_ms,
        all_ended: 72,
        all_exposure_ms: 5_500,
    };
    record_runs(&mut quarantine, FIRST_PART, dense(36, 72, 5_500));
    record_runs(&mut quarantine, HARMFUL_PART, dense(0, 28, 1_100));
    assert_eq!(quarantine.find_harmful_parts(NOW), [part(HARMFUL_PART)]);
}

#[test]
fn three_harmful_parts_at_once_are_all_held() {
    let mut quarantine = Quarantine::default();
    for worker in 0..24 {
        let harmful = HARMFUL_PART + worker % 3;
        let parts = [(FIRST_PART, 0), (harmful, 1), (100 + worker, 1)];
        end_worker(&mut quarantine, worker, 1_000 + worker * 100, &parts);
    }
    record_runs(&mut quarantine, FIRST_PART, counts(20, 24));
    let mut found = quarantine.find_harmful_parts(NOW);
    found.sort();
    let mut expected: Vec<Fingerprint> = (0..3).map(|it| part(HARMFUL_PART + it)).collect();
    expected.sort();
    assert_eq!(found, expected);
}

#[test]
fn a_popular_part_is_not_held_for_workers_that_end_one_after_the_other() {
    let mut quarantine = Quarantine::default();
    for worker in 0..12 {
        let parts = [(FIRST_PART, 0), (100 + worker, 1), (FIRST_PART + 10, 0)];
        end_worker(
            &mut quarantine,
            worker,
            1_000 + worker * INTERVAL_MS,
            &parts,
        );
    }
    record_runs(&mut quarantine, FIRST_PART, counts(24, 12));
    record_runs(&mut quarantine, FIRST_PART + 10, counts(30, 12));
    assert!(quarantine.find_harmful_parts(NOW).is_empty());
}

/// Runs that take long meet more ends than others, and end well more rarely.
#[test]
fn a_part_of_long_runs_is_not_held_for_workers_that_end_one_after_the_other() {
    let mut quarantine = Quarantine::default();
    for worker in 0..8 {
        let at = 1_000 + worker * 2_000;
        end_worker(&mut quarantine, worker, at, &[(FIRST_PART, 0)]);
    }
    let long_runs = RunCounts {
        good: 2,
        ended: 12,
        exposure_ms: 80_000,
        all_ended: 40,
        all_exposure_ms: 300_000,
    };
    record_runs(&mut quarantine, FIRST_PART, long_runs);
    assert!(quarantine.find_harmful_parts(NOW).is_empty());
}

/// The runs have only begun, so that they have hardly been at their workers.
#[test]
fn a_crowd_with_one_part_that_meets_a_rack_accuses_nothing() {
    let mut quarantine = Quarantine::default();
    for worker in 0..10 {
        end_worker(
            &mut quarantine,
            worker,
            1_000 + worker * 5,
            &[(FIRST_PART, 0)],
        );
    }
    record_runs(&mut quarantine, FIRST_PART, counts(0, 20));
    assert!(quarantine.find_harmful_parts(NOW).is_empty());
}

#[test]
fn records_of_ends_do_not_hold_a_part_again_after_its_acquittal() {
    let mut quarantine = Quarantine::default();
    end_by_harmful_part(&mut quarantine, 6);
    record_runs(&mut quarantine, HARMFUL_PART, counts(0, 7));
    quarantine.find_harmful_parts(NOW);
    assert_eq!(quarantine.acquit(&part(HARMFUL_PART), NOW).len(), 6);
    end_by_harmful_part(&mut quarantine, 6);
    assert!(!quarantine.mark_harmful(&part(HARMFUL_PART), NOW));
    assert!(!is_held(&quarantine, HARMFUL_PART));
    let later = NOW + Duration::from_secs(61);
    assert!(quarantine.mark_harmful(&part(HARMFUL_PART), later));
}

#[test]
fn workers_of_a_rack_accuse_no_part() {
    let mut quarantine = Quarantine::default();
    for worker in 0..40 {
        let first = worker % 20;
        let parts = [(first, 0), (1_000 + worker, 1), (2_000, 1)];
        let parts = if worker % 2 == 0 { &parts } else { &parts[..2] };
        end_worker(&mut quarantine, worker, 1_000 + worker / 8, parts);
    }
    assert!(quarantine.find_harmful_parts(NOW).is_empty());
}

/// While a whole service fails, all its parts look alike.
#[test]
fn no_part_is_held_while_nearly_all_runs_end_their_workers() {
    let mut quarantine = Quarantine::default();
    for worker in 0..20 {
        let parts = [(worker % 3, 0), (100 + worker % 4, 1)];
        end_worker(
            &mut quarantine,
            worker,
            1_000 + worker * INTERVAL_MS,
            &parts,
        );
    }
    let all_ended = RunCounts {
        good: 0,
        ended: 6,
        exposure_ms: 1_200,
        all_ended: 200,
        all_exposure_ms: 40_000,
    };
    for id in (0..3).chain(100..104) {
        record_runs(&mut quarantine, id, all_ended);
    }
    assert!(quarantine.find_harmful_parts(NOW).is_empty());
}

#[test]
fn a_request_that_a_part_explains_is_free_again() {
    let mut quarantine = Quarantine::default();
    end_by_harmful_part(&mut quarantine, 9);
    let neighbour = Fingerprint::of(&RequestIdentity {
        caller: "tenant",
        host: "host",
        method: "POST",
        path: "/a/",
        body: b"sound",
    });
    for worker in 1..=3 {
        let end = end(worker, 1_000 + worker * INTERVAL_MS, None);
        quarantine.record_end(neighbour, end, end.ended_unix_ms, NOW);
    }
    let status = |quarantine: &Quarantine| quarantine.status(&neighbour, NOW);
    assert_ne!(status(&quarantine), QuarantineStatus::Allowed);
    record_runs(&mut quarantine, FIRST_PART, counts(20, 8));
    record_runs(&mut quarantine, HARMFUL_PART, counts(0, 7));
    quarantine.find_harmful_parts(NOW);
    assert_eq!(status(&quarantine), QuarantineStatus::Allowed);
}

/// Each request that is sent again and again is held by itself.
#[test]
fn requests_that_are_held_do_not_hide_the_part_that_they_share() {
    let mut quarantine = Quarantine::default();
    end_by_harmful_part(&mut quarantine, 12);
    for number in 0..4_u8 {
        let body = [number];
        let request = Fingerprint::of(&RequestIdentity {
            caller: "tenant",
            host: "host",
            method: "POST",
            path: "/a/",
            body: &body,
        });
        for worker in 1..=3 {
            let worker = u64::from(number) * 3 + worker;
            let end = end(worker, 1_000 + worker * INTERVAL_MS, None);
            quarantine.record_end(request, end, end.ended_unix_ms, NOW);
        }
        assert_ne!(quarantine.status(&request, NOW), QuarantineStatus::Allowed);
    }
    record_runs(&mut quarantine, FIRST_PART, counts(20, 12));
    record_runs(&mut quarantine, HARMFUL_PART, counts(0, 12));
    assert_eq!(quarantine.find_harmful_parts(NOW), [part(HARMFUL_PART)]);
}

/// The part need not be held as well.
#[test]
fn a_request_that_alone_explains_the_ends_of_its_part_is_held_alone() {
    let mut quarantine = Quarantine::default();
    end_by_harmful_part(&mut quarantine, 6);
    let request = Fingerprint::of(&RequestIdentity {
        caller: "tenant",
        host: "host",
        method: "POST",
        path: "/a/",
        body: b"harmful",
    });
    for worker in 1..=6 {
        let end = end(worker, 1_000 + worker * INTERVAL_MS, None);
        quarantine.record_end(request, end, end.ended_unix_ms, NOW);
    }
    record_runs(&mut quarantine, HARMFUL_PART, counts(0, 6));
    assert!(quarantine.find_harmful_parts(NOW).is_empty());
}

#[test]
fn a_part_whose_runs_end_well_after_it_was_held_is_acquitted() {
    let mut quarantine = Quarantine::default();
    end_by_harmful_part(&mut quarantine, 6);
    record_runs(&mut quarantine, FIRST_PART, counts(20, 8));
    record_runs(&mut quarantine, HARMFUL_PART, counts(0, 7));
    quarantine.find_harmful_parts(NOW);
    record_runs(&mut quarantine, HARMFUL_PART, counts(2, 7));
    assert!(!quarantine.is_innocent(&part(HARMFUL_PART), NOW));
    record_runs(&mut quarantine, HARMFUL_PART, counts(7, 7));
    assert!(quarantine.is_innocent(&part(HARMFUL_PART), NOW));
}

#[test]
fn ends_that_accuse_a_part_are_forgotten_once_nothing_is_compared_with_them() {
    let mut quarantine = Quarantine::default();
    end_by_harmful_part(&mut quarantine, PART_THRESHOLD as u64 - 1);
    let later = NOW + COMPARISON_WINDOW + Duration::from_secs(1);
    assert!(quarantine.remove_expired(later).is_empty());
    assert!(quarantine.is_empty());
}

#[test]
fn ends_of_a_part_that_is_held_are_remembered_as_those_of_a_request() {
    let mut quarantine = Quarantine::default();
    end_by_harmful_part(&mut quarantine, 6);
    record_runs(&mut quarantine, FIRST_PART, counts(20, 8));
    record_runs(&mut quarantine, HARMFUL_PART, counts(0, 7));
    quarantine.find_harmful_parts(NOW);
    let later = NOW + COMPARISON_WINDOW + Duration::from_secs(1);
    quarantine.remove_expired(later);
    assert_ne!(
        quarantine.status(&part(HARMFUL_PART), later),
        QuarantineStatus::Allowed
    );
}

/// While the log is away, nothing proves the ends.
#[test]
fn a_part_is_held_for_longer_than_the_suspicion_of_a_single_end_lasts() {
    let mut quarantine = Quarantine::default();
    for worker in 1..=6 {
        let proved = end(worker, 1_000 + worker * INTERVAL_MS, Some(1));
        let suspected = WorkerEnd {
            evidence: Evidence::Suspected,
            ..proved
        };
        quarantine.record_end(part(HARMFUL_PART), suspected, proved.ended_unix_ms, NOW);
    }
    record_runs(&mut quarantine, HARMFUL_PART, counts(0, 7));
    quarantine.find_harmful_parts(NOW);
    let later = NOW + SUSPECTED_END_TTL * 2;
    quarantine.remove_expired(later);
    assert_ne!(
        quarantine.status(&part(HARMFUL_PART), later),
        QuarantineStatus::Allowed
    );
}

#[test]
fn recent_runs_are_counted_by_part_and_forgotten() {
    let mut runs = RecentRuns::default();
    runs.record_good(&[part(1), part(2)], NOW);
    runs.record_good(&[part(1)], NOW + Duration::from_secs(31));
    runs.record_ended(&[part(2)], NOW + Duration::from_secs(31));
    runs.record_exposure(&[part(1)], Duration::from_millis(30), NOW);
    runs.record_exposure(&[part(2)], Duration::from_millis(12), NOW);
    let counts = runs.counts(&part(1), NOW + Duration::from_secs(32));
    assert_eq!((counts.good, counts.ended), (2, 0));
    assert_eq!((counts.exposure_ms, counts.all_exposure_ms), (30, 42));
    assert_eq!(counts.all_ended, 1);
    let counts = runs.counts(&part(2), NOW + Duration::from_secs(32));
    assert_eq!((counts.good, counts.ended), (1, 1));
    let counts = runs.counts(&part(1), NOW + Duration::from_secs(200));
    assert_eq!(counts, RunCounts::default());
}
