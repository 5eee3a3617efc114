//! Quarantine of requests by the ends of workers that ran them.

use std::time::Duration;

use proptest::prelude::*;
use swiftshunt_scheduler::quarantine::{
    Evidence, Fingerprint, LAPSE_SETTLE_DELAY, LapsedWorkers, NextLife, PROVED_END_TTL,
    QUARANTINE_THRESHOLD, Quarantine, QuarantineStatus, RenewalTracker, RequestIdentity,
    SUSPECTED_END_TTL, WorkerEnd,
};
use swiftshunt_scheduler::slots::WorkerKey;
use test_case::test_case;

const NOW: Duration = Duration::from_secs(1_000);
const UNIX_MS: u64 = 1_700_000_000_000;

fn request(body: &str) -> Fingerprint {
    Fingerprint::of(&identity_with_body(body))
}

fn identity_with_body(body: &str) -> RequestIdentity<'_> {
    RequestIdentity {
        caller: "tenant",
        host: "host",
        method: "POST",
        path: "/a/",
        body: body.as_bytes(),
    }
}

/// Returns the end of a worker `at` milliseconds after `UNIX_MS`, 50 ms after the request was sent
/// to it.
fn end(worker: u64, at: u64) -> WorkerEnd {
    WorkerEnd {
        worker: WorkerKey(worker),
        sent_unix_ms: UNIX_MS + at - 50,
        ended_unix_ms: UNIX_MS + at,
        evidence: Evidence::Proved,
        part: None,
    }
}

fn record_end(quarantine: &mut Quarantine, body: &str, ends: impl IntoIterator<Item = WorkerEnd>) {
    for end in ends {
        quarantine.record_end(request(body), end, end.ended_unix_ms, NOW);
    }
}

/// Records that the first `workers` workers ended at one moment, each while it ran a request of its
/// own.
fn end_together(quarantine: &mut Quarantine, workers: u64) {
    for worker in 0..workers {
        let body = format!("rare-{worker}");
        record_end(quarantine, &body, [end(worker, 100 + worker)]);
    }
}

fn is_quarantined(quarantine: &Quarantine, body: &str) -> bool {
    quarantine.status(&request(body), NOW) != QuarantineStatus::Allowed
}

#[test]
fn fingerprints_depend_on_caller_host_method_path_and_body() {
    let same = identity_with_body("body");
    assert_eq!(
        Fingerprint::of(&same),
        Fingerprint::of(&identity_with_body("body"))
    );
    let others = [
        RequestIdentity {
            caller: "other",
            ..same
        },
        RequestIdentity {
            host: "other",
            ..same
        },
        RequestIdentity {
            method: "GET",
            ..same
        },
        RequestIdentity {
            path: "/b/",
            ..same
        },
        RequestIdentity {
            body: b"other",
            ..same
        },
        // The boundary between two parts matters.
        RequestIdentity {
            caller: "tenanth",
            host: "ost",
            ..same
        },
    ];
    for other in others {
        assert_ne!(Fingerprint::of(&same), Fingerprint::of(&other), "{other:?}");
    }
    let fingerprint = Fingerprint::of(&same);
    assert_eq!(fingerprint.to_string().parse().ok(), Some(fingerprint));
    assert!("short".parse::<Fingerprint>().is_err());
}

#[test]
fn a_request_is_quarantined_at_its_third_ended_worker() {
    let mut quarantine = Quarantine::default();
    record_end(&mut quarantine, "harmful", [end(1, 100), end(2, 300)]);
    record_end(&mut quarantine, "harmful", [end(1, 100), end(2, 340)]);
    assert!(!is_quarantined(&quarantine, "harmful"));
    record_end(&mut quarantine, "harmful", [end(3, 600)]);
    assert!(is_quarantined(&quarantine, "harmful"));
    assert!(!is_quarantined(&quarantine, "another"));
}

/// A worker restarts under the same name and ends again, and another gateway also sees its first
/// end.
#[test]
fn each_life_of_a_worker_counts_once() {
    let mut quarantine = Quarantine::default();
    record_end(
        &mut quarantine,
        "harmful",
        [end(1, 100), end(1, 103), end(1, 110)],
    );
    record_end(&mut quarantine, "harmful", [end(1, 900), end(1, 940)]);
    assert!(!is_quarantined(&quarantine, "harmful"));
    record_end(&mut quarantine, "harmful", [end(1, 2_000)]);
    assert!(is_quarantined(&quarantine, "harmful"));
}

/// One try may end three workers within milliseconds, one after the other.
#[test]
fn ends_of_successive_runs_are_counted_separately() {
    let mut quarantine = Quarantine::default();
    let quick = |worker, sent, ended| WorkerEnd {
        worker: WorkerKey(worker),
        sent_unix_ms: UNIX_MS + sent,
        ended_unix_ms: UNIX_MS + ended,
        evidence: Evidence::Proved,
        part: None,
    };
    record_end(
        &mut quarantine,
        "harmful",
        [quick(1, 0, 5), quick(2, 6, 11), quick(3, 11, 17)],
    );
    assert!(is_quarantined(&quarantine, "harmful"));
}

/// A request that many callers send runs on half of the workers of a rack when the rack loses
/// power.
#[test]
fn simultaneous_ends_with_another_cause_count_as_one() {
    let mut quarantine = Quarantine::default();
    end_together(&mut quarantine, 12);
    record_end(
        &mut quarantine,
        "popular",
        (0..6).map(|worker| end(worker, 100 + worker)),
    );
    assert!(!is_quarantined(&quarantine, "popular"));
    record_end(
        &mut quarantine,
        "popular",
        [end(20, 5_000), end(21, 10_000)],
    );
    assert!(is_quarantined(&quarantine, "popular"));
}

/// Copies of one request arrive together, each at another worker.
#[test]
fn simultaneous_ends_that_all_ran_one_request_count_in_full() {
    let mut quarantine = Quarantine::default();
    end_together(&mut quarantine, 6);
    record_end(
        &mut quarantine,
        "harmful",
        (0..6).map(|worker| end(worker, 100 + worker)),
    );
    assert!(is_quarantined(&quarantine, "harmful"));
}

/// A request is moved twice, each time to a worker that the harmful request also reaches.
#[test]
fn ends_explained_by_another_request_do_not_count() {
    let mut quarantine = Quarantine::default();
    let ends = [end(1, 100), end(2, 300), end(3, 600)];
    record_end(&mut quarantine, "innocent", ends);
    record_end(&mut quarantine, "harmful", ends);
    assert!(is_quarantined(&quarantine, "harmful"));
    record_end(&mut quarantine, "harmful", [end(4, 900)]);
    assert!(is_quarantined(&quarantine, "harmful"));
    assert!(!is_quarantined(&quarantine, "innocent"));
}

#[test]
fn a_successful_run_clears_a_request() {
    let mut quarantine = Quarantine::default();
    record_end(&mut quarantine, "popular", [end(1, 100), end(2, 300)]);
    assert_eq!(quarantine.clear(&request("popular")).len(), 2);
    assert!(quarantine.is_empty());
    record_end(&mut quarantine, "popular", [end(3, 600), end(4, 900)]);
    assert!(!is_quarantined(&quarantine, "popular"));
}

/// Three ends hold a request in quarantine until the first of them expires, at the same time at
/// every gateway, however late it learns of them.
#[test]
fn recorded_ends_expire() {
    let mut quarantine = Quarantine::default();
    let harmful = request("harmful");
    for (worker, at) in [(1, 0), (2, 10_000), (3, 20_000)] {
        quarantine.record_end(harmful, end(worker, 50 + at), UNIX_MS + 20_050, NOW);
    }
    let QuarantineStatus::Quarantined { ends, time_left } = quarantine.status(&harmful, NOW) else {
        panic!("the request is not quarantined");
    };
    assert_eq!(
        (ends, time_left),
        (3, PROVED_END_TTL - Duration::from_secs(20))
    );
    assert_eq!(
        quarantine.status(&harmful, NOW + time_left),
        QuarantineStatus::Allowed
    );
    assert_eq!(
        quarantine.remove_expired(NOW + time_left),
        [(harmful, end(1, 50))]
    );
    assert_eq!(quarantine.remove_expired(NOW + PROVED_END_TTL).len(), 2);
    assert!(quarantine.is_empty());
    let old = end(9, 50);
    let late = UNIX_MS + 50 + PROVED_END_TTL.as_millis() as u64;
    assert!(!quarantine.record_end(harmful, old, late, NOW));
}

#[test]
fn the_number_of_recorded_requests_and_ends_is_bounded() {
    let mut quarantine = Quarantine::default();
    for number in 0..20_000_u64 {
        let body = number.to_string();
        quarantine.record_end(request(&body), end(number, 100), UNIX_MS + 100, NOW);
    }
    for worker in 0..1_000 {
        quarantine.record_end(
            request("harmful"),
            end(worker, 100 + worker * 200),
            UNIX_MS,
            NOW,
        );
    }
    assert!(quarantine.len() <= 8_192, "{}", quarantine.len());
    assert!(quarantine.ends(&request("harmful")).count() <= 16);
    assert!(is_quarantined(&quarantine, "harmful"));
}

proptest! {
    /// Gateways that learn of ends in different orders, and of some twice, must decide alike.
    #[test]
    fn the_status_does_not_depend_on_the_order_of_reports(
        ends in prop::collection::vec((0_usize..4, 0_u64..6, 0_u64..2_000), 0..24),
        order in any::<prop::sample::Index>(),
    ) {
        // Each worker ends once.
        let reports: Vec<_> = ends
            .iter()
            .map(|(body, worker, _)| (body.to_string(), end(*worker, 100 + worker * 130)))
            .collect();
        let mut one = Quarantine::default();
        let mut other = Quarantine::default();
        for (body, end) in &reports {
            one.record_end(request(body), *end, UNIX_MS, NOW);
        }
        let first = order.index(reports.len().max(1));
        let rotated = reports.iter().skip(first).chain(reports.iter().take(first));
        for (body, end) in rotated.chain(reports.iter().rev()) {
            other.record_end(request(body), *end, UNIX_MS, NOW);
        }
        for body in 0..4 {
            let request = request(&body.to_string());
            prop_assert_eq!(one.status(&request, NOW), other.status(&request, NOW));
        }
    }

    /// A request that ran on every ended worker, at separate moments, must be quarantined, whatever
    /// other requests ran there.
    #[test]
    fn a_request_that_ran_at_every_end_is_quarantined(
        others in prop::collection::vec((0_usize..12, 0_u64..5), 0..40),
    ) {
        let mut quarantine = Quarantine::default();
        for (body, worker) in others {
            record_end(&mut quarantine, &body.to_string(), [end(worker, 100 + worker * 200)]);
        }
        record_end(&mut quarantine, "harmful", (0..5).map(|worker| end(worker, 100 + worker * 200)));
        prop_assert!(is_quarantined(&quarantine, "harmful"));
        prop_assert!(quarantine.ends(&request("harmful")).count() >= QUARANTINE_THRESHOLD);
    }
}

fn suspected(worker: u64, at: u64) -> WorkerEnd {
    WorkerEnd {
        evidence: Evidence::Suspected,
        ..end(worker, at)
    }
}

fn suspect_three_workers(quarantine: &mut Quarantine) {
    let ends = [suspected(1, 100), suspected(2, 300), suspected(3, 600)];
    record_end(quarantine, "request", ends);
}

/// A refused connection counts as the end of a process, but only for a short time.
#[test]
fn suspected_ends_quarantine_a_request_for_seconds() {
    let mut quarantine = Quarantine::default();
    suspect_three_workers(&mut quarantine);
    assert!(is_quarantined(&quarantine, "request"));
    let later = NOW + SUSPECTED_END_TTL;
    assert_eq!(
        quarantine.status(&request("request"), later),
        QuarantineStatus::Allowed
    );
    assert_eq!(quarantine.remove_expired(later).len(), QUARANTINE_THRESHOLD);
    assert!(quarantine.is_empty());
}

#[test]
fn proved_ends_quarantine_a_request_for_minutes() {
    let mut quarantine = Quarantine::default();
    suspect_three_workers(&mut quarantine);
    for worker in 1..=3 {
        let proved = quarantine.mark_proved(WorkerKey(worker), UNIX_MS + 600, NOW);
        assert_eq!(proved.len(), 1);
        assert_eq!(proved[0].1.evidence, Evidence::Proved);
        assert!(
            quarantine
                .mark_proved(WorkerKey(worker), UNIX_MS, NOW)
                .is_empty()
        );
    }
    let later = NOW + PROVED_END_TTL - Duration::from_secs(1);
    assert!(
        quarantine
            .remove_expired(NOW + SUSPECTED_END_TTL)
            .is_empty()
    );
    assert_ne!(
        quarantine.status(&request("request"), later),
        QuarantineStatus::Allowed
    );
    // A late report of the suspicion changes nothing.
    suspect_three_workers(&mut quarantine);
    assert_ne!(
        quarantine.status(&request("request"), later),
        QuarantineStatus::Allowed
    );
}

#[test]
fn a_refuted_end_is_removed_from_all_its_requests() {
    let mut quarantine = Quarantine::default();
    suspect_three_workers(&mut quarantine);
    record_end(&mut quarantine, "other", [end(2, 310)]);
    assert!(
        quarantine
            .ended_workers()
            .any(|worker| worker == WorkerKey(2))
    );
    assert_eq!(
        quarantine.refute(WorkerKey(2), Evidence::Suspected).len(),
        1
    );
    assert_eq!(quarantine.refute(WorkerKey(2), Evidence::Proved).len(), 1);
    assert!(
        quarantine
            .ended_workers()
            .all(|worker| worker != WorkerKey(2))
    );
    assert!(!is_quarantined(&quarantine, "request"));
    assert_eq!(quarantine.ends(&request("other")).count(), 0);
    assert!(quarantine.refute(WorkerKey(2), Evidence::Proved).is_empty());
}

/// Workers of a zone with ten of them lapse shortly after each other.
#[test_case(1, 9, 1; "one worker has ended")]
#[test_case(3, 7, 3; "a rack has ended")]
#[test_case(6, 4, 0; "most of an isolated zone lapsed")]
#[test_case(1, 0, 1; "the only worker has ended")]
fn workers_that_lapse_while_others_renew_have_ended(lapsed: u64, listed: usize, ended: usize) {
    let mut lapsed_workers = LapsedWorkers::default();
    for worker in 0..lapsed {
        let at = NOW + Duration::from_millis(worker * 200);
        lapsed_workers.record_lapse(WorkerKey(worker), "zone", at);
    }
    lapsed_workers.record_lapse(WorkerKey(99), "another zone", NOW);
    let listed = |zone: &str| if zone == "zone" { listed } else { 5 };
    assert!(
        lapsed_workers
            .take_ended(listed, NOW + Duration::from_secs(1))
            .is_empty()
    );
    let later = NOW + LAPSE_SETTLE_DELAY + Duration::from_secs(2);
    let found = lapsed_workers.take_ended(listed, later);
    assert_eq!(found.iter().filter(|worker| worker.0 < 99).count(), ended);
    assert!(found.contains(&WorkerKey(99)));
    assert!(
        lapsed_workers.take_ended(listed, later).is_empty(),
        "a worker was returned twice"
    );
    assert!(lapsed_workers.remove_returned(WorkerKey(0)));
    assert!(!lapsed_workers.remove_returned(WorkerKey(0)));
}

#[test]
fn a_renewal_written_before_the_end_does_not_refute_it() {
    let mut tracker = RenewalTracker::default();
    let worker = WorkerKey(1);
    let ended_worker = || [worker].into_iter();
    assert!(
        tracker
            .record_reading(std::iter::empty(), &[worker])
            .is_empty(),
        "no worker is recorded as ended"
    );
    assert!(
        tracker.record_reading(ended_worker(), &[worker]).is_empty(),
        "reading answered before the end was recorded"
    );
    assert!(
        tracker.record_reading(ended_worker(), &[worker]).is_empty(),
        "reading that may return older entries"
    );
    assert!(
        tracker.record_reading(ended_worker(), &[]).is_empty(),
        "worker did not renew its entry"
    );
    assert_eq!(tracker.record_reading(ended_worker(), &[worker]), [worker]);
    assert!(
        tracker
            .record_reading(std::iter::empty(), &[worker])
            .is_empty()
    );
    assert!(
        tracker.record_reading(ended_worker(), &[worker]).is_empty(),
        "end recorded again: first reading"
    );
    assert!(
        tracker.record_reading(std::iter::empty(), &[]).is_empty(),
        "no worker is recorded as ended in this reading"
    );
    assert!(
        tracker.record_reading(ended_worker(), &[worker]).is_empty(),
        "end recorded once more: first reading"
    );
    assert!(tracker.record_reading(ended_worker(), &[worker]).is_empty());
}

/// A proxy that accepts connections for a worker that has ended makes each send break off there.
#[test]
fn sends_to_a_life_that_has_ended_already_are_one_end_once_it_is_proved() {
    let mut quarantine = Quarantine::default();
    let ends = [suspected(1, 100), suspected(1, 600), suspected(1, 1_100)];
    record_end(&mut quarantine, "request", ends);
    quarantine.mark_proved(WorkerKey(1), UNIX_MS + 3_000, NOW);
    assert!(!is_quarantined(&quarantine, "request"));
}

/// The connections of a send may break off only after the directory has proved the end.
#[test]
fn a_send_noticed_after_the_proof_is_no_further_end() {
    let mut quarantine = Quarantine::default();
    record_end(&mut quarantine, "request", [suspected(1, 100)]);
    quarantine.mark_proved(WorkerKey(1), UNIX_MS + 500, NOW);
    let late = [suspected(1, 600), end(1, 1_100), suspected(1, 1_600)];
    record_end(&mut quarantine, "request", late);
    assert!(!is_quarantined(&quarantine, "request"));
}

/// Each gateway sees one send to the ended worker, proves the end from the directory by itself, and
/// reads the ends that the others publish as proved.
#[test]
fn sends_of_several_gateways_to_one_ended_life_are_one_end() {
    let mut gateways: Vec<Quarantine> = (0..3).map(|_| Quarantine::default()).collect();
    let mut published = Vec::new();
    for (number, quarantine) in gateways.iter_mut().enumerate() {
        let seen = suspected(1, 100 + 500 * number as u64);
        record_end(quarantine, "request", [seen]);
        published.extend(quarantine.mark_proved(WorkerKey(1), UNIX_MS + 3_000, NOW));
    }
    assert_eq!(published.len(), 3);
    for quarantine in &mut gateways {
        for (request, end) in &published {
            quarantine.record_end(*request, *end, UNIX_MS + 3_000, NOW);
        }
        assert!(!is_quarantined(quarantine, "request"));
    }
}

/// Three workers end one after the other, and the request is sent to each of them several times.
#[test]
fn proved_ends_of_three_workers_quarantine_a_request() {
    let mut quarantine = Quarantine::default();
    for worker in 1..=3 {
        let first = worker * 10_000;
        // More sends to one worker than ends are remembered for a request.
        let sends = (0..20).map(|send| suspected(worker, first + send * 100));
        record_end(&mut quarantine, "request", sends);
        quarantine.mark_proved(WorkerKey(worker), UNIX_MS + first + 5_000, NOW);
        let is_third = worker == 3;
        assert_eq!(
            is_quarantined(&quarantine, "request"),
            is_third,
            "worker {worker}"
        );
    }
}

const NEXT: NextLife = NextLife {
    worker: WorkerKey(2),
    started_unix_ms: UNIX_MS + 500,
};

/// Until a gateway has read the entry of a restarted worker, it sends to the new life under the name
/// of the last one. Whether it notices the end of the new life before it reads the entry or after,
/// the end is one of the new life.
#[test_case(true; "noticed before the entry is read")]
#[test_case(false; "noticed after the entry is read")]
fn an_end_of_the_next_life_counts_for_the_next_life(noticed_before: bool) {
    let mut quarantine = Quarantine::default();
    let to_first_life = [suspected(1, 100), suspected(1, 300)];
    let to_next_life = [suspected(1, 700), suspected(1, 900)];
    record_end(&mut quarantine, "request", to_first_life);
    if noticed_before {
        record_end(&mut quarantine, "request", to_next_life);
    }
    let moved = quarantine.record_next_life(WorkerKey(1), NEXT, NOW);
    assert_eq!(moved.len(), if noticed_before { 2 } else { 0 });
    quarantine.mark_proved(WorkerKey(1), UNIX_MS + 1_000, NOW);
    record_end(&mut quarantine, "request", to_next_life);
    let fingerprint = request("request");
    let ends_of_next_life = quarantine
        .ends(&fingerprint)
        .filter(|end| end.worker == NEXT.worker);
    assert!(
        ends_of_next_life
            .map(|end| end.evidence)
            .eq([Evidence::Suspected; 2])
    );
    quarantine.mark_proved(NEXT.worker, UNIX_MS + 2_000, NOW);
    record_end(&mut quarantine, "request", [end(3, 2_500)]);
    // The first life, the next one and worker 3.
    assert!(is_quarantined(&quarantine, "request"));
    assert_eq!(quarantine.refute(NEXT.worker, Evidence::Proved).len(), 2);
    assert!(!is_quarantined(&quarantine, "request"));
}

/// A worker that renews its entry has not ended: its later sends are judged without the proof.
#[test]
fn a_refuted_proof_is_forgotten() {
    let mut quarantine = Quarantine::default();
    quarantine.mark_proved(WorkerKey(1), UNIX_MS, NOW);
    assert!(
        quarantine
            .ended_workers()
            .any(|worker| worker == WorkerKey(1))
    );
    quarantine.refute(WorkerKey(1), Evidence::Proved);
    assert_eq!(quarantine.ended_workers().count(), 0);
    record_end(&mut quarantine, "request", [suspected(1, 100)]);
    let fingerprint = request("request");
    let evidence = quarantine.ends(&fingerprint).map(|end| end.evidence);
    assert!(evidence.eq([Evidence::Suspected]));
}
