//! Where the events of a stream end.

use swiftshunt_http::EventPosition;
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
