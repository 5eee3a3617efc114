//! Tests of what a stream that a caller takes up is bound to.

use std::time::Duration;

use swiftshunt_scheduler::directory::{Availability, WorkerEntry, WorkerLife};
use swiftshunt_scheduler::origins::key::AttemptKey;
use swiftshunt_scheduler::origins::resolution::{
    Evidence, Finding, OriginKnowledge, UnknownOrigin, resolve, unanimous_origin,
};
use swiftshunt_scheduler::origins::table::{OriginTable, Recorded, StreamOrigin};
use swiftshunt_scheduler::selection::Selector;
use swiftshunt_types::{OutputOrigin, SoftwareVersion};
use test_case::test_case;

const START: Duration = Duration::from_secs(10);
const TTL: Duration = Duration::from_secs(18);
const LATER: Duration = Duration::from_secs(20);
/// Time in which a node learns of a worker's restart.
const NOTICE_TIME: Duration = Duration::from_secs(2);

fn output(software: &str) -> OutputOrigin {
    OutputOrigin {
        service: "s".to_owned(),
        software: software.into(),
    }
}

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin {
        output: output(software),
        worker: "worker".to_owned(),
    }
}

fn key(attempt: &str) -> AttemptKey {
    AttemptKey::of("caller", "host", attempt)
}

fn recorded(software: &str) -> OriginKnowledge {
    OriginKnowledge::Recorded(output(software))
}

fn sole(software: &str) -> OriginKnowledge {
    OriginKnowledge::Unrecorded(Evidence::Sole(output(software)))
}

fn sole_before(software: &str) -> OriginKnowledge {
    OriginKnowledge::Unrecorded(Evidence::SoleBefore(output(software)))
}

const SEVERAL: OriginKnowledge = OriginKnowledge::Unrecorded(Evidence::Several);
const UNSURE: OriginKnowledge = OriginKnowledge::Unrecorded(Evidence::Unsure);

fn bound(software: &str) -> Result<Finding, UnknownOrigin> {
    Ok(Finding::Recorded(output(software)))
}

fn known_alone(software: &str) -> Result<Finding, UnknownOrigin> {
    Ok(Finding::Sole(output(software)))
}

#[test_case(&[SEVERAL, recorded("v1"), UNSURE], bound("v1"); "a record decides")]
#[test_case(&[sole("v2"), recorded("v1")], bound("v1"); "a record outweighs evidence")]
#[test_case(&[recorded("v1"), recorded("v2")], Err(UnknownOrigin::Conflicting); "two records")]
#[test_case(&[recorded("v1"), OriginKnowledge::Conflicting], Err(UnknownOrigin::Conflicting); "a conflict")]
#[test_case(&[UNSURE, sole("v1"), sole("v1")], known_alone("v1"); "a version that alone has served")]
#[test_case(&[sole("v1"), SEVERAL], Err(UnknownOrigin::Several); "a gateway that knows of another version")]
#[test_case(&[sole("v1"), sole("v2")], Err(UnknownOrigin::Several); "gateways that know of different versions")]
#[test_case(&[sole_before("v1"), sole_before("v1"), UNSURE], known_alone("v1"); "gateways that do not read the directory")]
#[test_case(&[sole_before("v1"), UNSURE], known_alone("v1"); "a single gateway that does not read the directory")]
#[test_case(&[sole_before("v1"), sole("v2")], Err(UnknownOrigin::Several); "a gateway that has learned of another version")]
#[test_case(&[sole_before("v1"), sole("v1")], known_alone("v1"); "a gateway that reads the directory agrees")]
#[test_case(&[UNSURE, UNSURE], Err(UnknownOrigin::Unsure); "nobody has watched for long enough")]
#[test_case(&[], Err(UnknownOrigin::Unsure); "nobody answered")]
fn a_stream_is_bound_only_by_a_record(
    knowledge: &[OriginKnowledge],
    expected: Result<Finding, UnknownOrigin>,
) {
    assert_eq!(resolve(knowledge), expected);
    let reversed: Vec<OriginKnowledge> = knowledge.iter().rev().cloned().collect();
    assert_eq!(resolve(&reversed), expected);
}

#[test_case(&[Evidence::SoleBefore(output("v1")), Evidence::SoleBefore(output("v1"))], Some("v1"); "all agree")]
#[test_case(&[Evidence::Sole(output("v1")), Evidence::SoleBefore(output("v1"))], Some("v1"); "one has read the directory recently")]
#[test_case(&[Evidence::SoleBefore(output("v1")), Evidence::Unsure], None; "one has not watched for long enough")]
#[test_case(&[Evidence::Sole(output("v1")), Evidence::Several], None; "one knows of several versions")]
#[test_case(&[Evidence::Sole(output("v1")), Evidence::Sole(output("v2"))], None; "one knows of another version")]
#[test_case(&[], None; "nobody answered")]
fn gateways_vouch_for_a_version_only_if_all_of_them_agree(
    evidence: &[Evidence],
    expected: Option<&str>,
) {
    let expected = expected.map(output);
    assert_eq!(unanimous_origin(evidence), expected.as_ref());
    let reversed: Vec<Evidence> = evidence.iter().rev().cloned().collect();
    assert_eq!(unanimous_origin(&reversed), expected.as_ref());
}

#[test]
fn a_table_returns_the_first_origin_until_it_expires() {
    let mut table = OriginTable::new(10);
    table.record(key("a"), origin("v1"), TTL, START);
    assert_eq!(
        table.find(&key("a"), START),
        Some(Recorded::Origin(&origin("v1"), START))
    );
    assert_eq!(table.find(&key("b"), START), None);
    assert_eq!(table.find(&key("a"), START + TTL), None);
}

#[test]
fn a_repeated_record_extends_the_lifetime_and_keeps_the_entry() {
    let mut table = OriginTable::new(10);
    table.record(key("a"), origin("v1"), TTL, START);
    table.record(key("a"), origin("v1"), TTL, LATER);
    let found = table.find(&key("a"), START + TTL);
    assert_eq!(found, Some(Recorded::Origin(&origin("v1"), START)));
    // Records of other streams remove expired entries.
    table.record(key("b"), origin("v1"), TTL, START + TTL);
    let found = table.find(&key("a"), START + TTL);
    assert_eq!(found, Some(Recorded::Origin(&origin("v1"), START)));
    table.record(key("b"), origin("v1"), TTL, LATER + TTL);
    assert_eq!(table.len(), 1);
}

#[test]
fn an_attempt_that_two_versions_began_binds_nothing() {
    let mut table = OriginTable::new(10);
    table.record(key("a"), origin("v1"), TTL, START);
    table.record(key("a"), origin("v2"), TTL, START);
    assert_eq!(table.find(&key("a"), START), Some(Recorded::Conflicting));
    table.record(key("a"), origin("v1"), TTL, START);
    assert_eq!(table.find(&key("a"), START), Some(Recorded::Conflicting));
}

#[test]
fn a_full_table_drops_its_oldest_entry() {
    let mut table = OriginTable::new(2);
    for attempt in ["a", "b", "c"] {
        table.record(key(attempt), origin("v1"), TTL, START);
    }
    assert_eq!(table.len(), 2);
    assert_eq!(table.find(&key("a"), START), None);
    assert!(table.find(&key("c"), START).is_some());
}

#[test]
fn another_caller_has_another_key_for_the_same_attempt() {
    assert_ne!(
        AttemptKey::of("a", "host", "1"),
        AttemptKey::of("b", "host", "1")
    );
    assert_ne!(
        AttemptKey::of("a", "host", "1"),
        AttemptKey::of("ah", "ost", "1")
    );
}

fn entry(id: &str, software: &str, started_unix_ms: Option<u64>) -> WorkerEntry {
    let life = WorkerLife {
        id: id.to_owned(),
        started_unix_ms,
    };
    WorkerEntry {
        incarnation: life.incarnation(),
        life,
        service: "s".to_owned(),
        address: "127.0.0.1:1".parse().expect("parse the worker's address"),
        zone: "z".to_owned(),
        software: software.into(),
        slots: 4,
        availability: Availability::Ready,
        cold_left: Duration::ZERO,
    }
}

#[test]
fn a_version_is_remembered_after_its_last_worker_is_gone() {
    let mut selector = Selector::new("z");
    selector.record_software(START);
    selector.apply_entry(entry("one", "v1", None), START);
    selector.apply_entry(entry("two", "v2", None), START);
    selector.record_software(LATER);
    selector.remove_unlisted(&["one".to_owned()].into(), None);
    let versions = |since| {
        let versions = selector.software_versions("s", since).into_iter();
        versions.collect::<Vec<SoftwareVersion>>()
    };
    assert_eq!(versions(LATER), ["v1".into(), "v2".into()]);
    assert_eq!(versions(LATER + TTL), ["v2".into()]);
    assert_eq!(selector.directory_watched_since(), Some(START));
}

#[test]
fn a_version_that_was_listed_between_two_reads_is_remembered() {
    let mut selector = Selector::new("z");
    selector.record_software(START);
    selector.apply_entry(entry("one", "v1", None), START);
    selector.apply_entry(entry("two", "v2", None), LATER);
    selector.remove_unlisted(&["two".to_owned()].into(), None);
    let versions: Vec<SoftwareVersion> =
        selector.software_versions("s", LATER).into_iter().collect();
    assert_eq!(versions, ["v1".into(), "v2".into()]);
}

#[test]
fn missed_changes_of_the_directory_begin_the_watch_anew() {
    let mut selector = Selector::new("z");
    selector.record_software(START);
    selector.restart_software_watch(LATER);
    selector.record_software(LATER + TTL);
    assert_eq!(selector.directory_watched_since(), Some(LATER));
}

/// A request that is sent between the restart and the news of it reaches the later life.
#[test]
fn a_stream_sent_shortly_before_the_news_of_other_software_is_not_certain() {
    let mut selector = Selector::new("z");
    let before = entry("one", "v1", Some(1));
    selector.apply_entry(before.clone(), START);
    selector.apply_entry(entry("one", "v2", Some(2)), LATER);
    let is_doubtful =
        |began_at| selector.may_have_been_replaced(&before.incarnation, began_at, NOTICE_TIME);
    assert!(is_doubtful(LATER - NOTICE_TIME / 2));
    assert!(!is_doubtful(LATER - NOTICE_TIME));
    selector.apply_entry(entry("one", "v2", Some(3)), LATER + TTL);
    let same_software = entry("one", "v2", Some(2)).incarnation;
    assert!(!selector.may_have_been_replaced(&same_software, LATER + TTL, NOTICE_TIME));
}
