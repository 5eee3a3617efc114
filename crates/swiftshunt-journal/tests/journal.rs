//! The view of a keyed partition and the assembly of records.

use bytes::Bytes;
use swiftshunt_journal::{Assembly, Change, KeyedRecord, KeyedView, NewestPage, frames};
use test_case::test_case;

fn record(offset: u64, key: &str, value: &str) -> KeyedRecord {
    KeyedRecord {
        offset,
        key: key.as_bytes().to_vec(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    }
}

fn page(records: Vec<KeyedRecord>, more: bool, end: u64) -> NewestPage {
    NewestPage { records, more, end }
}

fn keys(changes: &[Change]) -> Vec<String> {
    let named = changes.iter().map(|change| match change {
        Change::Set(record) => format!("+{}", String::from_utf8_lossy(&record.key)),
        Change::Dropped(key) => format!("-{}", String::from_utf8_lossy(key)),
    });
    named.collect()
}

#[test]
fn a_listing_is_applied_in_the_order_of_offsets() {
    let mut view = KeyedView::default();
    let first = view.apply_page(page(vec![record(5, "a", "1")], true, 6));
    assert!(first.is_empty());
    let second = view.apply_page(page(vec![record(2, "b", "1")], false, 6));
    assert_eq!(keys(&second), ["+b", "+a"]);
    assert_eq!(view.next_offset(), 6);
}

#[test]
fn what_is_appended_while_a_listing_is_read_is_left_to_the_tail() {
    let mut view = KeyedView::default();
    view.apply_page(page(vec![record(1, "a", "1")], true, 2));
    let changes = view.apply_page(page(vec![record(3, "z", "1")], false, 4));
    assert_eq!(keys(&changes), ["+a"]);
    assert_eq!(view.next_offset(), 2);
    let tail = view.apply_tail(vec![record(2, "y", "1"), record(3, "z", "1")]);
    assert_eq!(keys(&tail), ["+y", "+z"]);
}

#[test]
fn a_stale_listing_changes_nothing() {
    let mut view = KeyedView::default();
    view.apply_tail(vec![record(0, "a", "1"), record(1, "b", "1")]);
    let changes = view.apply_page(page(vec![record(0, "a", "1")], false, 1));
    assert!(changes.is_empty());
    assert_eq!(view.next_offset(), 2);
}

#[test]
fn keys_that_a_newer_listing_lacks_are_gone() {
    let mut view = KeyedView::default();
    view.apply_tail(vec![record(0, "a", "1"), record(1, "b", "1")]);
    let changes = view.apply_page(page(vec![record(1, "b", "1")], false, 9));
    assert_eq!(keys(&changes), ["-a"]);
    assert_eq!(view.next_offset(), 9);
}

#[test]
fn a_record_without_a_value_drops_its_key_once() {
    let mut view = KeyedView::default();
    view.apply_tail(vec![record(0, "a", "1")]);
    assert_eq!(keys(&view.apply_tail(vec![record(1, "a", "")])), ["-a"]);
    assert!(view.apply_tail(vec![record(2, "a", "")]).is_empty());
}

#[test]
fn records_that_come_twice_change_nothing() {
    let mut view = KeyedView::default();
    let both = vec![record(0, "a", "1"), record(1, "b", "1")];
    assert_eq!(view.apply_tail(both.clone()).len(), 2);
    assert!(view.apply_tail(both).is_empty());
}

#[test_case(10, 600, 1; "one frame")]
#[test_case(5_000, 1_024, 10; "many frames")]
fn records_of_any_size_come_back(size: usize, limit: usize, least: usize) {
    let text = "x".repeat(size);
    let framed = frames("job", 7, &text, limit).expect("frames");
    assert!(framed.len() >= least);
    assert!(framed.iter().all(|(_, value)| value.len() <= limit));
    let mut assembly = Assembly::default();
    let mut whole = Vec::new();
    // Out of order, and each twice.
    for (key, value) in framed.iter().rev().chain(&framed) {
        whole.extend(
            assembly
                .add_frame::<String>(key.clone(), value)
                .expect("a frame"),
        );
    }
    assert_eq!(whole.len(), 1);
    assert_eq!(whole[0].record, text);
    assert_eq!(whole[0].keys.len(), framed.len());
}

#[test]
fn a_record_whose_last_frame_is_missing_has_no_effect() {
    let framed = frames("job", 7, &"x".repeat(3_000), 1_024).expect("frames");
    let mut assembly = Assembly::default();
    for (key, value) in &framed[..framed.len() - 1] {
        let taken = assembly.add_frame::<String>(key.clone(), value);
        assert!(taken.expect("a frame").is_none());
    }
}

#[test]
fn spoiled_frames_are_named() {
    let mut assembly = Assembly::default();
    let error = assembly.add_frame::<String>(b"job:0:0".to_vec(), b"spoiled");
    assert!(
        error
            .expect_err("no frame")
            .to_string()
            .contains("not readable")
    );
}

/// Callers choose the names of jobs.
#[test_case("job-1.a~b:c", true; "a plain one stands in the key")]
#[test_case("a&b", false; "one that has a meaning in addresses")]
#[test_case("a b#c%", false; "one that addresses cannot hold")]
#[test_case("\u{e9}", false; "one beyond ascii")]
#[test_case(&"long".repeat(500), false; "a long one")]
fn keys_fit_into_the_log_whatever_a_record_is_about(name: &str, stands: bool) {
    let framed = frames(name, 7, &"text", 1_024).expect("frames");
    let (key, value) = framed.into_iter().next().expect("a frame");
    assert!(key.len() <= 255);
    assert!(
        key.iter()
            .all(|byte| byte.is_ascii_graphic() && !b"&#%+".contains(byte))
    );
    let text = String::from_utf8(key.clone()).expect("a text");
    assert_eq!(text.starts_with(&format!("{name}:")), stands);
    let mut assembly = Assembly::default();
    let taken = assembly.add_frame::<String>(key, &value).expect("readable");
    assert_eq!(taken.expect("whole").record, "text");
}
