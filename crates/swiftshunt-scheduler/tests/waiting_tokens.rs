//! Admission decisions of the counter of a limit on waiting tokens, and the division of the limit.

use std::time::Duration;

use swiftshunt_scheduler::waiting_tokens::{
    AdmissionRequest, Change, Counter, Decision, GRANT_LIFETIME, IDLE_TIMEOUT, PartitionTokens,
    REGISTER_READ_TIMEOUT, REGISTER_TTL, Register, UNRESOLVED_GRANT_TTL,
};

const LIMIT: u64 = 1_000;
const NOW: Duration = Duration::from_secs(100);
const PARTITIONS: u32 = 2;
const OWN: &str = "own";
const OTHER: &str = "other";

fn ask(counter: &mut Counter, job: &str, tokens: u64, now: Duration) -> Decision {
    let request = AdmissionRequest {
        job,
        partition: 0,
        tokens,
        limit: LIMIT,
    };
    counter.decide(&request, now)
}

fn partition_tokens(partition: u32, tokens: u64, end: u64, as_of: Duration) -> PartitionTokens {
    PartitionTokens {
        partition,
        tokens,
        end,
        as_of,
    }
}

/// Reports that no tokens are outstanding as of a moment.
fn report_nothing(counter: &mut Counter, as_of: Duration) {
    for partition in 0..PARTITIONS {
        counter.apply_report(partition_tokens(partition, 0, 1, as_of));
    }
}

/// Applies the register change that the counter requests, as the log would.
fn make_change(counter: &mut Counter, now: Duration) -> Change {
    let change = counter
        .next_change()
        .expect("a register change should be due");
    counter.confirm_register(change.register().clone(), now, now);
    change
}

/// Returns the first counter of a limit, which knows that no tokens are outstanding and has the
/// whole limit.
fn settled_counter() -> Counter {
    let register = Register::first(OWN, LIMIT);
    let mut counter = Counter::new(register, LIMIT, NOW, NOW, PARTITIONS);
    report_nothing(&mut counter, NOW);
    make_change(&mut counter, NOW);
    // A job that needs the whole limit makes the counter take the free tokens, too.
    assert_eq!(
        ask(&mut counter, "all", LIMIT, NOW),
        Decision::Settling(Duration::ZERO)
    );
    assert!(matches!(make_change(&mut counter, NOW), Change::Raise(_)));
    counter
}

#[test]
fn jobs_are_admitted_up_to_the_limit_and_counted_once() {
    let mut counter = settled_counter();
    assert_eq!(ask(&mut counter, "one", 600, NOW), Decision::Admitted);
    assert_eq!(ask(&mut counter, "one", 600, NOW), Decision::Admitted);
    assert_eq!(ask(&mut counter, "two", 500, NOW), Decision::Full);
    assert_eq!(ask(&mut counter, "three", 400, NOW), Decision::Admitted);
    assert_eq!(counter.outstanding().max_tokens(), LIMIT);
}

#[test]
fn an_admitted_job_counts_until_a_report_includes_its_record() {
    let mut counter = settled_counter();
    ask(&mut counter, "one", 600, NOW);
    let recorded_at = NOW + Duration::from_secs(4);
    counter.mark_recorded("one", recorded_at);
    counter.apply_report(partition_tokens(
        0,
        0,
        5,
        recorded_at - Duration::from_millis(1),
    ));
    assert_eq!(counter.outstanding().max_tokens(), 600);
    counter.apply_report(partition_tokens(0, 600, 6, recorded_at));
    assert_eq!(counter.outstanding().max_tokens(), 600);
    counter.apply_report(partition_tokens(
        0,
        200,
        7,
        recorded_at + Duration::from_millis(1),
    ));
    assert_eq!(counter.outstanding().max_tokens(), 200);
}

#[test]
fn an_unconfirmed_job_counts_as_long_as_it_may_still_be_recorded() {
    let mut counter = settled_counter();
    ask(&mut counter, "one", 600, NOW);
    let early = NOW + UNRESOLVED_GRANT_TTL - Duration::from_millis(1);
    counter.apply_report(partition_tokens(0, 0, 5, early));
    assert_eq!(counter.outstanding().max_tokens(), 600);
    counter.apply_report(partition_tokens(0, 0, 5, NOW + UNRESOLVED_GRANT_TTL));
    assert_eq!(counter.outstanding().max_tokens(), 0);
}

#[test]
fn a_job_admitted_twice_counts_until_both_admissions_are_released() {
    let mut counter = settled_counter();
    ask(&mut counter, "one", 600, NOW);
    ask(&mut counter, "one", 600, NOW);
    counter.release("one");
    assert_eq!(counter.outstanding().max_tokens(), 600);
    counter.release("one");
    assert_eq!(counter.outstanding().max_tokens(), 0);
}

#[test]
fn outdated_reports_free_no_tokens() {
    let mut counter = settled_counter();
    counter.apply_report(partition_tokens(0, 500, 10, NOW));
    counter.apply_report(partition_tokens(1, 300, 10, NOW));
    let later = NOW + Duration::from_secs(60);
    // Partition 0 is reported by a new holder that has read only half of it, partition 1 by one
    // that was paused.
    counter.apply_report(partition_tokens(0, 0, 4, later));
    counter.apply_report(partition_tokens(1, 0, 10, NOW - Duration::from_secs(1)));
    assert_eq!(counter.outstanding().max_tokens(), 800);
}

/// Callers may name any number of tokens. A job with a huge number must not fit, nor make room for
/// others by an overflow.
#[test]
fn huge_token_counts_do_not_overflow() {
    let mut counter = settled_counter();
    assert_eq!(ask(&mut counter, "huge", u64::MAX, NOW), Decision::Full);
    assert_eq!(ask(&mut counter, "one", 600, NOW), Decision::Admitted);
    assert_eq!(
        ask(&mut counter, "as huge", u64::MAX - 1, NOW),
        Decision::Full
    );
    assert_eq!(ask(&mut counter, "two", 400, NOW), Decision::Admitted);
}

/// A successor may admit its share at once, and no more until its predecessor has surely stopped
/// and all partitions are reported.
#[test]
fn a_new_counter_admits_only_its_share_until_all_partitions_are_reported() {
    let before = Register::first(OTHER, LIMIT).settled(0, LIMIT);
    let register = before.taken_over(OWN, LIMIT);
    let share = register.share;
    assert!(share > 0 && register.counted + register.shares() <= LIMIT);
    let mut counter = Counter::new(register.clone(), LIMIT, NOW, NOW, PARTITIONS);
    assert_eq!(ask(&mut counter, "one", share, NOW), Decision::Admitted);
    let settles_in = REGISTER_TTL + GRANT_LIFETIME;
    assert_eq!(
        ask(&mut counter, "two", 1, NOW),
        Decision::Settling(settles_in)
    );
    report_nothing(&mut counter, NOW + settles_in - Duration::from_millis(1));
    assert!(!counter.is_settled());
    assert_eq!(counter.next_change(), None);
    report_nothing(&mut counter, NOW + settles_in);
    // The predecessor may count again until the register says that it no longer does.
    assert!(!counter.is_settled());
    let settled = make_change(&mut counter, NOW + settles_in);
    assert!(counter.is_settled());
    assert_eq!(settled.register().shares(), 0);
    assert_eq!(settled.register().known_to.as_deref(), Some(OWN));
    assert_eq!(
        ask(&mut counter, "two", 1, NOW + settles_in),
        Decision::Admitted
    );
}

#[test]
fn no_job_is_admitted_by_an_outdated_register() {
    let mut counter = settled_counter();
    let late = NOW + REGISTER_TTL;
    assert_eq!(ask(&mut counter, "one", 1, late), Decision::Unverified);
    // If the register cannot be read at all, others need not wait for this counter.
    assert_eq!(
        ask(&mut counter, "one", 1, late + REGISTER_READ_TIMEOUT),
        Decision::Lost
    );
    let late = late + REGISTER_READ_TIMEOUT;
    counter.confirm_register(counter.register().clone(), late, late);
    assert_eq!(ask(&mut counter, "one", 1, late), Decision::Admitted);
}

/// Jobs may have been accepted while the route had no limit, so the reports must be renewed.
#[test]
fn after_an_idle_time_new_reports_are_required() {
    let mut counter = settled_counter();
    let later = NOW + IDLE_TIMEOUT;
    counter.confirm_register(counter.register().clone(), later, later);
    assert_eq!(
        ask(&mut counter, "one", 600, later),
        Decision::Settling(Duration::ZERO)
    );
    assert!(counter.needs_exact_reports(later));
    counter.apply_report(partition_tokens(0, 700, 9, later));
    counter.apply_report(partition_tokens(1, 0, 9, later));
    assert_eq!(ask(&mut counter, "one", 600, later), Decision::Full);
    assert_eq!(ask(&mut counter, "two", 300, later), Decision::Admitted);
}

/// Tokens that are given back may be used by another gateway as soon as the change is proposed.
#[test]
fn tokens_being_given_back_are_not_used() {
    let mut counter = settled_counter();
    let given_back = counter
        .next_change()
        .expect("a register change should be due");
    assert!(matches!(given_back, Change::GiveBack(_)));
    let left = given_back.register().counted;
    assert!(left < LIMIT);
    assert_eq!(ask(&mut counter, "one", left, NOW), Decision::Admitted);
    assert_eq!(
        ask(&mut counter, "two", 1, NOW),
        Decision::Settling(Duration::ZERO)
    );
}

#[test]
fn successive_takeovers_never_divide_more_than_the_limit() {
    let mut register = Register::first("life-0", LIMIT);
    for life in 1..50 {
        register = register.taken_over(&format!("life-{life}"), LIMIT);
        assert!(register.counted + register.shares() <= LIMIT, "{life}");
    }
    assert!(register.free(LIMIT) <= LIMIT / 100);
}

/// A limit that an operator lowers must apply at once, although the register was divided by the
/// previous one.
#[test]
fn a_lower_limit_applies_at_once() {
    let mut counter = settled_counter();
    assert_eq!(ask(&mut counter, "one", 600, NOW), Decision::Admitted);
    let request = AdmissionRequest {
        job: "two",
        partition: 0,
        tokens: 100,
        limit: 500,
    };
    assert_eq!(counter.decide(&request, NOW), Decision::Full);
}

#[test]
fn a_counter_is_marked_stopped_only_once_its_admitted_jobs_are_resolved() {
    let mut counter = settled_counter();
    ask(&mut counter, "confirmed", 300, NOW);
    ask(&mut counter, "unconfirmed", 300, NOW);
    counter.stop();
    assert_eq!(ask(&mut counter, "late", 1, NOW), Decision::Unverified);
    assert_eq!(counter.stopped_register(NOW), None);
    counter.mark_recorded("confirmed", NOW);
    let lifetime_over = NOW + GRANT_LIFETIME;
    assert_eq!(
        counter.stopped_register(lifetime_over - Duration::from_millis(1)),
        None
    );
    let stopped = counter
        .stopped_register(lifetime_over)
        .expect("the counter should be marked as stopped");
    assert!(stopped.is_stopped && stopped.version == counter.register().version + 1);
}

#[test]
fn a_counter_without_full_reports_is_not_marked_stopped() {
    let register = settled_counter().register().taken_over(OTHER, LIMIT);
    let mut counter = Counter::new(register, LIMIT, NOW, NOW, PARTITIONS);
    counter.stop();
    assert_eq!(counter.stopped_register(NOW + GRANT_LIFETIME), None);
}

#[test]
fn a_successor_of_a_stopped_counter_waits_only_for_reports() {
    let register = settled_counter()
        .register()
        .stopped()
        .taken_over(OTHER, LIMIT);
    let mut counter = Counter::new(register.clone(), LIMIT, NOW, NOW, PARTITIONS);
    assert_eq!(
        ask(&mut counter, "early", 100, NOW),
        Decision::Settling(Duration::ZERO)
    );
    report_nothing(&mut counter, NOW);
    assert!(matches!(make_change(&mut counter, NOW), Change::Settle(_)));
    assert_eq!(ask(&mut counter, "early", 100, NOW), Decision::Admitted);
    // The gateway that takes over next does not follow a stopped counter.
    let next = register.taken_over(OWN, LIMIT);
    assert!(!next.follows_stopped && !next.is_stopped);
}
