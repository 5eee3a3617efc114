//! Where the events of a stream end, and what ends its body.

use hyper::HeaderMap;
use hyper::header::HeaderValue;
use swiftshunt_http::{EventNumbers, EventPosition, Framing, NumberBreak, NumberRule, StreamPoint};
use test_case::test_case;

/// Two events and a comment, with every legal line end.
const STREAMS: [&[u8]; 6] = [
    b"id: 1\ndata: a\n\n: comment\nid: 2\ndata: b\n\n",
    b"id: 1\r\ndata: a\r\n\r\n: comment\r\nid: 2\r\ndata: b\r\n\r\n",
    b"id: 1\rdata: a\r\r: comment\rid: 2\rdata: b\r\r",
    b"id: 1\ndata: a\r\n\n: comment\rid: 2\r\ndata: b\n\r\n",
    b"\xef\xbb\xbfid: 1\ndata: a\n\n: comment\nid: 2\ndata: b\n\n",
    b"\n\nid: 1\ndata: a\n\n\n: comment\n\nid: 2\ndata: b\n\n\n",
];

#[test]
fn a_whole_stream_ends_between_events_however_its_bytes_are_split() {
    for stream in STREAMS {
        for split in 0..=stream.len() {
            let (first, second) = stream.split_at(split);
            let mut position = EventPosition::default();
            position.advance(first);
            position.advance(second);
            assert!(position.is_between_events(), "{stream:?} at {split}");
            assert_eq!(position.events(), 2, "{stream:?} at {split}");
        }
    }
}

#[test_case(b"id: 1\ndata: a\n\nid"; "inside a field name")]
#[test_case(b"id: 1\ndata: a\n\nid: 2\nda"; "inside the second line")]
#[test_case(b"id: 1\ndata: a\n\nid: 2\ndata: b\n"; "before the empty line")]
#[test_case(b"id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n"; "before the empty line with carriage returns")]
#[test_case(b"id: 1\ndata: a\n\n: comm"; "inside a comment")]
#[test_case(b"id: 1\ndata: a\n\ndata: b\n: comment\n"; "behind a comment inside an event")]
fn a_cut_stream_ends_inside_an_event(stream: &[u8]) {
    let mut position = EventPosition::default();
    position.advance(stream);
    assert!(!position.is_between_events());
    assert_eq!(position.events(), 1);
}

#[test]
fn the_last_place_between_two_events_is_found_in_each_part() {
    let mut position = EventPosition::default();
    assert_eq!(position.advance(b"id: 1\n"), None);
    assert_eq!(position.advance(b"\nid: 2\ndata"), Some(1));
    assert_eq!(position.advance(b": b\r\n\r"), Some(5 + 1));
    assert_eq!(position.advance(b"\nid: 3\n"), Some(1));
    assert_eq!(position.events(), 2);
}

/// Returns the break that a run shows, read at once and byte by byte.
fn number_break(rule: NumberRule, last: Option<u64>, stream: &[u8]) -> Option<NumberBreak> {
    let mut whole = EventPosition::new(EventNumbers::new(rule, last));
    whole.advance(stream);
    let mut split = EventPosition::new(EventNumbers::new(rule, last));
    for byte in stream {
        split.advance(std::slice::from_ref(byte));
    }
    assert_eq!(whole.number_break(), split.number_break());
    whole.number_break()
}

#[test_case(NumberRule::Consecutive, None, b"id: 0\ndata: a\n\nid:1\ndata: b\n\n"; "from the beginning")]
#[test_case(NumberRule::Consecutive, None, b"id: 7\ndata: a\n\nid: 8\ndata: b\n\n"; "from any first number")]
#[test_case(NumberRule::Consecutive, Some(4), b"weights: 3\r\nid: 5\r\ndata: id: 1\r\n\r\n: id: 1\r\n"; "behind another run")]
#[test_case(NumberRule::Consecutive, None, b"data: a\n\ndata: b\n\n"; "without numbers")]
#[test_case(NumberRule::Consecutive, None, b"id: 0\ndata: a\n\ndata: done\n\n"; "with an unnumbered end")]
#[test_case(NumberRule::Ascending, None, b"id: 0\ndata: a\n\nid: 5\ndata: b\n\n"; "ascending")]
fn events_that_continue_their_stream_show_no_break(
    rule: NumberRule,
    last: Option<u64>,
    stream: &[u8],
) {
    assert_eq!(number_break(rule, last, stream), None);
}

#[test_case(NumberRule::Consecutive, None, b"id: 0\ndata: a\n\nid: 0\nda", 0, 0; "an event that comes twice")]
#[test_case(NumberRule::Consecutive, None, b"id: 3\ndata: a\n\nid: 2\nda", 3, 2; "a number that goes back")]
#[test_case(NumberRule::Consecutive, None, b"id: 0\ndata: a\n\nid: 2\nda", 0, 2; "a missing event")]
#[test_case(NumberRule::Consecutive, Some(4), b"id: 4\nda", 4, 4; "a continuation that repeats an event")]
#[test_case(NumberRule::Consecutive, Some(4), b"id: 0\nda", 4, 0; "a continuation from the beginning")]
#[test_case(NumberRule::Consecutive, Some(4), b"id: 6\nda", 4, 6; "a continuation without an event")]
#[test_case(NumberRule::Ascending, None, b"id: 3\ndata: a\n\nid: 3\nda", 3, 3; "an ascending event that comes twice")]
#[test_case(NumberRule::Ascending, None, b"id: 3\ndata: a\n\nid: 2\nda", 3, 2; "an ascending number that goes back")]
fn events_out_of_order_show_a_break(
    rule: NumberRule,
    last: Option<u64>,
    stream: &[u8],
    before: u64,
    found: u64,
) {
    let expected = NumberBreak::OutOfOrder { before, found };
    assert_eq!(number_break(rule, last, stream), Some(expected));
}

#[test]
fn a_continuation_without_numbers_shows_a_break() {
    let found = number_break(NumberRule::Consecutive, Some(4), b"data: a\n\n");
    assert_eq!(found, Some(NumberBreak::Unnumbered { before: 4 }));
}

#[test_case(b"", StreamPoint::Beginning; "nothing")]
#[test_case(b": comment\n", StreamPoint::Beginning; "a comment")]
#[test_case(b"id: 0\ndata: a\n\nid: 1\nda", StreamPoint::Behind(0); "inside an event")]
#[test_case(b"id: 0\ndata: a\n\ndata: b\n\n", StreamPoint::Unnumbered; "behind an unnumbered event")]
#[test_case(b"id: 99999999999999999999999\ndata: a\n\n", StreamPoint::Unnumbered; "behind a number out of range")]
fn only_whole_numbered_events_are_a_point_to_continue_from(stream: &[u8], expected: StreamPoint) {
    let numbers = EventNumbers::new(NumberRule::Consecutive, None);
    let mut position = EventPosition::new(numbers);
    position.advance(stream);
    assert_eq!(position.point(), expected);
}

/// A transfer coding that is cut off, or unknown, leaves the body to end with its connection.
#[test_case(&[("transfer-encoding", "chunked")], Framing::Chunked; "chunked")]
#[test_case(&[("transfer-encoding", "Chunked")], Framing::Chunked; "in capitals")]
#[test_case(&[("transfer-encoding", "gzip, chunked")], Framing::Chunked; "the last of two")]
#[test_case(&[("transfer-encoding", "gzip"), ("transfer-encoding", "chunked")], Framing::Chunked; "in the last of two fields")]
#[test_case(&[("transfer-encoding", "chunke")], Framing::ConnectionClose; "cut off")]
#[test_case(&[("transfer-encoding", "")], Framing::ConnectionClose; "empty")]
#[test_case(&[("transfer-encoding", "chunked, gzip")], Framing::ConnectionClose; "not the last")]
#[test_case(&[("content-length", "5")], Framing::Length; "a length")]
#[test_case(&[], Framing::ConnectionClose; "no framing")]
fn a_body_is_chunked_only_if_that_is_its_last_transfer_coding(
    fields: &[(&'static str, &'static str)],
    expected: Framing,
) {
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        headers.append(*name, HeaderValue::from_static(value));
    }
    assert_eq!(Framing::of(&headers), expected);
}
