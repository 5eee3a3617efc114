//! The tokens that wait on a route: what the gateway that counts decides, and how the limit is divided.

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

fn holding(partition: u32, tokens: u64, end: u64, as_of: Duration) -> PartitionTokens {
    PartitionTokens {
        partition,
        tokens,
        end,
        as_of,
    }
}

/// Reports that nothing stands, as of a moment.
fn report_nothing(counter: &mut Counter, as_of: Duration) {
    for partition in 0..PARTITIONS {
        counter.apply_report(holding(partition, 0, 1, as_of));
    }
}

/// Makes the change that a counter wants, as the log would.
fn make_change(counter: &mut Counter, now: Duration) -> Change {
    let change = counter.next_change().expect("a change");
    counter.confirm_register(change.register().clone(), now, now);
    change
}

/// The first gateway that ever counted, which knows that nothing stands, and has the whole limit.
fn settled() -> Counter {
    let register = Register::first(OWN, LIMIT);
    let mut counter = Counter::new(register, LIMIT, NOW, NOW, PARTITIONS);
    report_nothing(&mut counter, NOW);
    make_change(&mut counter, NOW);
    // A job that needs all of it has the rest taken.
    assert_eq!(
        ask(&mut counter, "all", LIMIT, NOW),
        Decision::Settling(Duration::ZERO)
    );
    assert!(matches!(make_change(&mut counter, NOW), Change::Raise(_)));
    counter
}

#[test]
fn jobs_are_admitted_up_to_the_limit_and_counted_once() {
    let mut counter = settled();
    assert_eq!(ask(&mut counter, "one", 600, NOW), Decision::Admitted);
    assert_eq!(ask(&mut counter, "one", 600, NOW), Decision::Admitted);
    assert_eq!(ask(&mut counter, "two", 500, NOW), Decision::Full);
    assert_eq!(ask(&mut counter, "three", 400, NOW), Decision::Admitted);
    assert_eq!(counter.outstanding().max_tokens(), LIMIT);
}

#[test]
fn an_admitted_job_counts_until_a_report_shows_its_record() {
    let mut counter = settled();
    ask(&mut counter, "one", 600, NOW);
    let recorded_at = NOW + Duration::from_secs(4);
    counter.mark_recorded("one", recorded_at);
    counter.apply_report(holding(0, 0, 5, recorded_at - Duration::from_millis(1)));
    assert_eq!(counter.outstanding().max_tokens(), 600);
    counter.apply_report(holding(0, 600, 6, recorded_at));
    assert_eq!(counter.outstanding().max_tokens(), 600);
    counter.apply_report(holding(0, 200, 7, recorded_at + Duration::from_millis(1)));
    assert_eq!(counter.outstanding().max_tokens(), 200);
}

#[test]
fn a_job_without_word_of_its_record_counts_for_as_long_as_it_may_still_be_recorded() {
    let mut counter = settled();
    ask(&mut counter, "one", 600, NOW);
    let early = NOW + UNRESOLVED_GRANT_TTL - Duration::from_millis(1);
    counter.apply_report(holding(0, 0, 5, early));
    assert_eq!(counter.outstanding().max_tokens(), 600);
    counter.apply_report(holding(0, 0, 5, NOW + UNRESOLVED_GRANT_TTL));
    assert_eq!(counter.outstanding().max_tokens(), 0);
}

#[test]
fn a_job_that_two_gateways_record_counts_until_neither_does() {
    let mut counter = settled();
    ask(&mut counter, "one", 600, NOW);
    ask(&mut counter, "one", 600, NOW);
    counter.release("one");
    assert_eq!(counter.outstanding().max_tokens(), 600);
    counter.release("one");
    assert_eq!(counter.outstanding().max_tokens(), 0);
}

#[test]
fn a_silent_holder_and_one_that_has_read_less_make_no_room() {
    let mut counter = settled();
    counter.apply_report(holding(0, 500, 10, NOW));
    counter.apply_report(holding(1, 300, 10, NOW));
    let later = NOW + Duration::from_secs(60);
    // A holder that was dealt the partition and has read half of it, and one that woke up.
    counter.apply_report(holding(0, 0, 4, later));
    counter.apply_report(holding(1, 0, 10, NOW - Duration::from_secs(1)));
    assert_eq!(counter.outstanding().max_tokens(), 800);
}

/// A caller may name any number of tokens: a job of that many does not fit, and makes no room for others.
#[test]
fn numbers_that_no_job_has_do_not_turn_over() {
    let mut counter = settled();
    assert_eq!(ask(&mut counter, "huge", u64::MAX, NOW), Decision::Full);
    assert_eq!(ask(&mut counter, "one", 600, NOW), Decision::Admitted);
    assert_eq!(
        ask(&mut counter, "as huge", u64::MAX - 1, NOW),
        Decision::Full
    );
    assert_eq!(ask(&mut counter, "two", 400, NOW), Decision::Admitted);
}

/// A successor admits its share at once, and no more until its predecessor has surely stopped and all is reported.
#[test]
fn a_gateway_that_takes_over_admits_its_share_alone_until_all_is_known() {
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
    // Its predecessor may count again until the register says that it no longer does.
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
fn a_register_that_was_not_read_lately_admits_nothing() {
    let mut counter = settled();
    let late = NOW + REGISTER_TTL;
    assert_eq!(ask(&mut counter, "one", 1, late), Decision::Unverified);
    // Where it cannot be read at all, others need not wait for it.
    assert_eq!(
        ask(&mut counter, "one", 1, late + REGISTER_READ_TIMEOUT),
        Decision::Lost
    );
    let late = late + REGISTER_READ_TIMEOUT;
    counter.confirm_register(counter.register().clone(), late, late);
    assert_eq!(ask(&mut counter, "one", 1, late), Decision::Admitted);
}

/// The route may have had no limit meanwhile.
#[test]
fn after_a_time_without_jobs_what_stands_is_asked_for_anew() {
    let mut counter = settled();
    let later = NOW + IDLE_TIMEOUT;
    counter.confirm_register(counter.register().clone(), later, later);
    assert_eq!(
        ask(&mut counter, "one", 600, later),
        Decision::Settling(Duration::ZERO)
    );
    assert!(counter.needs_exact_reports(later));
    counter.apply_report(holding(0, 700, 9, later));
    counter.apply_report(holding(1, 0, 9, later));
    assert_eq!(ask(&mut counter, "one", 600, later), Decision::Full);
    assert_eq!(ask(&mut counter, "two", 300, later), Decision::Admitted);
}

/// What is given back may be in other hands as soon as the change is on its way.
#[test]
fn room_that_is_given_back_is_not_used_while_that_is_under_way() {
    let mut counter = settled();
    let given_back = counter.next_change().expect("a change");
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
fn gateways_that_take_over_in_a_row_never_have_more_than_the_limit_between_them() {
    let mut register = Register::first("life-0", LIMIT);
    for life in 1..50 {
        register = register.taken_over(&format!("life-{life}"), LIMIT);
        assert!(register.counted + register.shares() <= LIMIT, "{life}");
    }
    assert!(register.free(LIMIT) <= LIMIT / 100);
}

/// A limit that an operator lowers binds what was divided by the one before.
#[test]
fn a_lower_limit_binds_at_once() {
    let mut counter = settled();
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
fn a_counter_that_stops_says_so_only_once_what_it_admitted_is_recorded() {
    let mut counter = settled();
    ask(&mut counter, "told", 300, NOW);
    ask(&mut counter, "untold", 300, NOW);
    counter.stop();
    assert_eq!(ask(&mut counter, "late", 1, NOW), Decision::Unverified);
    assert_eq!(counter.stopped_register(NOW), None);
    counter.mark_recorded("told", NOW);
    let lifetime_over = NOW + GRANT_LIFETIME;
    assert_eq!(
        counter.stopped_register(lifetime_over - Duration::from_millis(1)),
        None
    );
    let stopped = counter.stopped_register(lifetime_over).expect("a register");
    assert!(stopped.is_stopped && stopped.version == counter.register().version + 1);
}

#[test]
fn a_counter_that_does_not_know_what_stands_cannot_say_that_it_stopped() {
    let register = settled().register().taken_over(OTHER, LIMIT);
    let mut counter = Counter::new(register, LIMIT, NOW, NOW, PARTITIONS);
    counter.stop();
    assert_eq!(counter.stopped_register(NOW + GRANT_LIFETIME), None);
}

#[test]
fn who_takes_over_from_one_that_stopped_waits_for_reports_alone() {
    let follower = settled().register().stopped().taken_over(OTHER, LIMIT);
    let mut counter = Counter::new(follower.clone(), LIMIT, NOW, NOW, PARTITIONS);
    assert_eq!(
        ask(&mut counter, "early", 100, NOW),
        Decision::Settling(Duration::ZERO)
    );
    report_nothing(&mut counter, NOW);
    assert!(matches!(make_change(&mut counter, NOW), Change::Settle(_)));
    assert_eq!(ask(&mut counter, "early", 100, NOW), Decision::Admitted);
    // The one after it knows of no stop.
    let next = follower.taken_over(OWN, LIMIT);
    assert!(!next.follows_stopped && !next.is_stopped);
}
