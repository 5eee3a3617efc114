//! What a reader passes on of a tail.

use std::time::Duration;

use bytes::Bytes;
use swiftshunt_journal::{KeyedRecord, TailPart, TailWindow, relevant_records};

const NOW: Duration = Duration::from_secs(9);
const SURE_UNTIL: Duration = Duration::from_secs(11);

fn record(offset: u64, key: &str, value: &'static str) -> KeyedRecord {
    KeyedRecord {
        offset,
        key: key.as_bytes().to_vec(),
        value: Bytes::from_static(value.as_bytes()),
    }
}

fn offsets(part: Option<TailPart>) -> Option<(Vec<u64>, u64)> {
    let part = part?;
    let records = part.records.iter().map(|record| record.offset);
    Some((records.collect(), part.next))
}

/// A window that has read from 10 up to 20, with news at 12 and 15.
fn window() -> TailWindow {
    let mut window = TailWindow::default();
    let records = vec![record(12, "a", "x"), record(15, "b", "x")];
    assert!(window.record_read(10, records, 20, SURE_UNTIL, None));
    window
}

#[test]
fn each_gets_what_stands_from_its_own_offset_on() {
    let window = window();
    assert_eq!(offsets(window.part(10, NOW)), Some((vec![12, 15], 20)));
    assert_eq!(offsets(window.part(13, NOW)), Some((vec![15], 20)));
    assert_eq!(offsets(window.part(16, NOW)), Some((vec![], 20)));
}

#[test]
fn one_that_has_read_further_never_goes_back() {
    assert_eq!(offsets(window().part(25, NOW)), Some((vec![], 25)));
}

#[test]
fn what_lies_before_the_window_is_not_known() {
    let window = window();
    assert!(window.can_answer(9, NOW));
    assert_eq!(window.part(9, NOW), None);
}

#[test]
fn a_question_waits_until_there_is_news() {
    let mut window = window();
    assert!(window.can_answer(12, NOW));
    assert!(!window.can_answer(16, NOW));
    assert!(!window.record_read(20, Vec::new(), 30, SURE_UNTIL, None));
    assert!(!window.can_answer(16, NOW));
    assert!(window.record_read(30, vec![record(31, "a", "")], 40, SURE_UNTIL, None));
    assert!(window.can_answer(16, NOW));
    assert_eq!(offsets(window.part(16, NOW)), Some((vec![31], 40)));
}

#[test]
fn a_reader_that_missed_a_part_begins_anew() {
    let mut window = window();
    window.record_read(50, vec![record(51, "a", "y")], 60, SURE_UNTIL, None);
    assert_eq!(window.part(20, NOW), None);
    assert_eq!(offsets(window.part(50, NOW)), Some((vec![51], 60)));
}

#[test]
fn nobody_relies_on_a_reader_that_the_log_does_not_answer() {
    let mut window = window();
    assert!(window.invalidate());
    assert!(!window.invalidate());
    assert!(window.can_answer(16, NOW));
    assert_eq!(window.part(16, NOW), None);
    window.record_read(20, Vec::new(), 21, SURE_UNTIL, Some(Duration::from_secs(8)));
    let part = window.part(16, NOW).expect("a part");
    assert_eq!(part.returned_ago, Some(Duration::from_secs(1)));
}

/// A gateway that stood still, or reads no more, must not go on saying that nothing is new.
#[test]
fn a_reader_that_has_read_nothing_for_long_is_not_relied_on() {
    let window = window();
    let before = SURE_UNTIL - Duration::from_millis(1);
    assert!(!window.can_answer(16, before));
    assert!(window.part(16, before).is_some());
    assert!(window.can_answer(16, SURE_UNTIL));
    assert_eq!(window.part(16, SURE_UNTIL), None);
}

#[test]
fn a_window_keeps_the_newest_records() {
    let mut window = TailWindow::default();
    let records = (0..5_000).map(|offset| record(offset, &format!("key-{offset}"), "x"));
    let records = records.collect();
    window.record_read(0, records, 5_000, SURE_UNTIL, None);
    assert_eq!(window.part(0, NOW), None);
    let part = window.part(4_000, NOW).expect("a part");
    assert_eq!(part.records.len(), 1_000);
}

#[test]
fn news_are_ends_of_keys_and_what_differs_from_what_was_known() {
    let records = [
        record(1, "same", "x"),
        record(2, "other", "y"),
        record(3, "gone", ""),
        record(4, "same", "x"),
    ];
    let kept = relevant_records(&records, |record| record.value != "x");
    let kept: Vec<u64> = kept.iter().map(|record| record.offset).collect();
    assert_eq!(kept, [2, 3]);
}

/// News is judged by what was known before all records: one that goes back to it must not be left out.
#[test]
fn what_follows_news_under_its_key_is_news() {
    let records = [
        record(1, "a", "draining"),
        record(2, "a", "ready"),
        record(3, "b", ""),
        record(4, "b", "ready"),
    ];
    let kept = relevant_records(&records, |record| record.value != "ready");
    let kept: Vec<u64> = kept.iter().map(|record| record.offset).collect();
    assert_eq!(kept, [1, 2, 3, 4]);
}

/// In a storm of configurations each of 30 gateways got every version, and was a second
/// behind the reader.
#[test]
fn of_each_key_the_newest_record_alone_is_passed_on() {
    let mut window = TailWindow::default();
    let records = vec![
        record(0, "a", "x"),
        record(1, "b", "x"),
        record(2, "a", "y"),
    ];
    window.record_read(0, records, 3, SURE_UNTIL, None);
    assert_eq!(offsets(window.part(0, NOW)), Some((vec![1, 2], 3)));
    window.record_read(3, vec![record(3, "a", "")], 4, SURE_UNTIL, None);
    assert_eq!(offsets(window.part(0, NOW)), Some((vec![1, 3], 4)));
    assert_eq!(offsets(window.part(3, NOW)), Some((vec![3], 4)));
    assert!(!window.can_answer(4, NOW));
}
