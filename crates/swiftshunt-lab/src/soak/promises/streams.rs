//! The promise about streams that callers take up.

use super::Verdict;
use crate::platform::worker::event_data;
use crate::soak::history::{History, TakenUpStream};
use crate::soak::testbed::EVENTS;

/// Checks that each event of a stream comes once and in order over all attempts, and that a stream that ended as complete
/// has all of them.
pub(super) fn stream_order(history: &History, verdict: &mut Verdict) {
    for stream in &history.taken_up {
        verdict.check(stream.ended, &stream.id, order_error(stream));
    }
}

fn order_error(stream: &TakenUpStream) -> Option<String> {
    for (expected, event) in (0..).zip(&stream.events) {
        if event.number != expected {
            let found = event.number;
            return Some(format!("event {found} in the place of {expected}"));
        }
        if event.data != event_data(&event.attempt, expected) {
            return Some(format!("event {expected} has the data of another"));
        }
    }
    let received = stream.events.len() as u64;
    let is_short = stream.is_complete && received != EVENTS;
    is_short.then(|| format!("ended as complete with {received} of {EVENTS} events"))
}
