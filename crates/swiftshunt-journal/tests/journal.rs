//! The view of a keyed partition and the reassembly of records from frames.

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
fn records_appended_during_a_listing_are_applied_from_the_tail() {
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
fn keys_missing_from_a_newer_listing_are_dropped() {
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
fn repeated_records_change_nothing() {
    let mut view = KeyedView::default();
    let both = vec![record(0, "a", "1"), record(1, "b", "1")];
    assert_eq!(view.apply_tail(both.clone()).len(), 2);
    assert!(view.apply_tail(both).is_empty());
}

#[test_case(10, 600, 1; "one frame")]
#[test_case(5_000, 1_024, 10; "many frames")]
fn records_of_any_size_are_reassembled_once(size: usize, limit: usize, min_frames: usize) {
    let text = "x".repeat(size);
    let framed = frames("job", 7, &text, limit).expect("the record cannot be framed");
    assert!(framed.len() >= min_frames);
    assert!(framed.iter().all(|(_, value)| value.len() <= limit));
    let mut assembly = Assembly::default();
    let mut reassembled = Vec::new();
    // The frames arrive out of order, and each arrives twice.
    for (key, value) in framed.iter().rev().chain(&framed) {
        reassembled.extend(
            assembly
                .add_frame::<String>(key.clone(), value)
                .expect("the frame is unreadable"),
        );
    }
    assert_eq!(reassembled.len(), 1);
    assert_eq!(reassembled[0].record, text);
    assert_eq!(reassembled[0].keys.len(), framed.len());
}

#[test]
fn a_record_whose_last_frame_is_missing_has_no_effect() {
    let framed = frames("job", 7, &"x".repeat(3_000), 1_024).expect("the record cannot be framed");
    let mut assembly = Assembly::default();
    for (key, value) in &framed[..framed.len() - 1] {
        let logical = assembly.add_frame::<String>(key.clone(), value);
        assert!(logical.expect("the frame is unreadable").is_none());
    }
}

#[test]
fn an_unreadable_frame_is_reported() {
    let mut assembly = Assembly::default();
    let error = assembly.add_frame::<String>(b"job:0:0".to_vec(), b"spoiled");
    assert!(
        error
            .expect_err("an unreadable frame was accepted")
            .to_string()
            .contains("not readable")
    );
}

/// Callers choose the names of jobs, so a name may be too long for a key or contain characters that URLs reserve.
#[test_case("job-1.a~b:c", true; "a plain name is kept")]
#[test_case("a&b", false; "a character that URLs reserve")]
#[test_case("a b#c%", false; "characters that URLs cannot contain")]
#[test_case("\u{e9}", false; "a character beyond ascii")]
#[test_case(&"long".repeat(500), false; "a long name")]
fn keys_are_short_and_safe_in_urls_for_any_name(name: &str, is_kept: bool) {
    let framed = frames(name, 7, &"text", 1_024).expect("the record cannot be framed");
    let (key, value) = framed.into_iter().next().expect("the record has no frame");
    assert!(key.len() <= 255);
    assert!(
        key.iter()
            .all(|byte| byte.is_ascii_graphic() && !b"&#%+".contains(byte))
    );
    let text = String::from_utf8(key.clone()).expect("the key is not UTF-8");
    assert_eq!(text.starts_with(&format!("{name}:")), is_kept);
    let mut assembly = Assembly::default();
    let logical = assembly
        .add_frame::<String>(key, &value)
        .expect("the frame is unreadable");
    assert_eq!(logical.expect("the record is incomplete").record, "text");
}
