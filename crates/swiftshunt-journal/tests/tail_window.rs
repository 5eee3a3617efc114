//! The part of a tail that a reader passes on to its followers.

use std::time::Duration;

use bytes::Bytes;
use swiftshunt_journal::{KeyedRecord, TailPart, TailWindow, relevant_records};

const NOW: Duration = Duration::from_secs(9);
const VALID_UNTIL: Duration = Duration::from_secs(11);

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

/// Returns a window from offset 10 up to 20, with relevant records at 12 and 15.
fn window() -> TailWindow {
    let mut window = TailWindow::default();
    let records = vec![record(12, "a", "x"), record(15, "b", "x")];
    assert!(window.record_read(10, records, 20, VALID_UNTIL, None));
    window
}

#[test]
fn each_follower_gets_the_records_from_its_own_offset_on() {
    let window = window();
    assert_eq!(offsets(window.part(10, NOW)), Some((vec![12, 15], 20)));
    assert_eq!(offsets(window.part(13, NOW)), Some((vec![15], 20)));
    assert_eq!(offsets(window.part(16, NOW)), Some((vec![], 20)));
}

#[test]
fn a_follower_ahead_of_the_reader_keeps_its_offset() {
    assert_eq!(offsets(window().part(25, NOW)), Some((vec![], 25)));
}

#[test]
fn a_request_before_the_window_gets_no_part() {
    let window = window();
    assert!(window.can_answer(9, NOW));
    assert_eq!(window.part(9, NOW), None);
}

#[test]
fn a_request_waits_until_there_is_a_relevant_record() {
    let mut window = window();
    assert!(window.can_answer(12, NOW));
    assert!(!window.can_answer(16, NOW));
    assert!(!window.record_read(20, Vec::new(), 30, VALID_UNTIL, None));
    assert!(!window.can_answer(16, NOW));
    assert!(window.record_read(30, vec![record(31, "a", "")], 40, VALID_UNTIL, None));
    assert!(window.can_answer(16, NOW));
    assert_eq!(offsets(window.part(16, NOW)), Some((vec![31], 40)));
}

#[test]
fn a_gap_in_the_reads_starts_the_window_anew() {
    let mut window = window();
    window.record_read(50, vec![record(51, "a", "y")], 60, VALID_UNTIL, None);
    assert_eq!(window.part(20, NOW), None);
    assert_eq!(offsets(window.part(50, NOW)), Some((vec![51], 60)));
}

#[test]
fn an_invalidated_window_gives_no_part_until_the_next_read() {
    let mut window = window();
    assert!(window.invalidate());
    assert!(!window.invalidate());
    assert!(window.can_answer(16, NOW));
    assert_eq!(window.part(16, NOW), None);
    window.record_read(
        20,
        Vec::new(),
        21,
        VALID_UNTIL,
        Some(Duration::from_secs(8)),
    );
    let part = window.part(16, NOW).expect("the window gives no part");
    assert_eq!(part.returned_ago, Some(Duration::from_secs(1)));
}

/// A gateway that was suspended or stopped reading must not go on reporting that there are no new records.
#[test]
fn a_window_without_a_recent_read_becomes_invalid() {
    let window = window();
    let before = VALID_UNTIL - Duration::from_millis(1);
    assert!(!window.can_answer(16, before));
    assert!(window.part(16, before).is_some());
    assert!(window.can_answer(16, VALID_UNTIL));
    assert_eq!(window.part(16, VALID_UNTIL), None);
}

#[test]
fn a_full_window_keeps_the_newest_records() {
    let mut window = TailWindow::default();
    let records = (0..5_000).map(|offset| record(offset, &format!("key-{offset}"), "x"));
    let records = records.collect();
    window.record_read(0, records, 5_000, VALID_UNTIL, None);
    assert_eq!(window.part(0, NOW), None);
    let part = window.part(4_000, NOW).expect("the window gives no part");
    assert_eq!(part.records.len(), 1_000);
}

#[test]
fn dropped_keys_and_selected_records_are_relevant() {
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

/// Each record is compared with what was known before all of them. A record that returns to that known state must not
/// be left out, or followers would keep the state in between.
#[test]
fn records_after_a_relevant_one_of_the_same_key_are_relevant() {
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

/// If the configuration changes often and each of 30 gateways gets every version, the gateways fall a second behind the
/// reader.
#[test]
fn only_the_newest_record_of_each_key_is_passed_on() {
    let mut window = TailWindow::default();
    let records = vec![
        record(0, "a", "x"),
        record(1, "b", "x"),
        record(2, "a", "y"),
    ];
    window.record_read(0, records, 3, VALID_UNTIL, None);
    assert_eq!(offsets(window.part(0, NOW)), Some((vec![1, 2], 3)));
    window.record_read(3, vec![record(3, "a", "")], 4, VALID_UNTIL, None);
    assert_eq!(offsets(window.part(0, NOW)), Some((vec![1, 3], 4)));
    assert_eq!(offsets(window.part(3, NOW)), Some((vec![3], 4)));
    assert!(!window.can_answer(4, NOW));
}
