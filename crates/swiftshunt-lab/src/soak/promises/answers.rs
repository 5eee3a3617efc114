//! Promises about the responses to online requests.

use super::Verdict;
use crate::soak::disturbances::DisturbanceLog;
use crate::soak::history::{History, OnlineCall, Outcome};

/// Tolerance beyond the deadline of a request within which the final response must arrive, in milliseconds.
const RESPONSE_SLACK_MS: u64 = 700;
/// Time-out of all online routes, in milliseconds.
const ROUTE_TIMEOUT_MS: u64 = 8_000;
/// Maximum age of a request that is considered open at the start of a planned stop, in milliseconds.
const MAX_OPEN_BEFORE_STOP_MS: u64 = 8_000;

/// Checks that a response with a success status has the complete body for its request.
pub(super) fn own_answer(history: &History, verdict: &mut Verdict) {
    for call in &history.online {
        if let Outcome::Answered { status, whole } = call.outcome
            && (200..300).contains(&status)
        {
            let seen = (!whole).then(|| format!("status {status} with a wrong or unsigned body"));
            verdict.check(call.ended, &call.id, seen);
        }
    }
}

/// Checks that a request gets its final response within its deadline or the time-out of its route, whichever is
/// shorter, plus [`RESPONSE_SLACK_MS`]. Requests during faults of their gateway or of the store are skipped, as are
/// those whose callers closed the connection early.
pub(super) fn final_answer(history: &History, verdict: &mut Verdict) {
    let disturbances = DisturbanceLog(&history.disturbances);
    for call in &history.online {
        let due = call.sent + call.deadline.min(ROUTE_TIMEOUT_MS) + RESPONSE_SLACK_MS;
        let is_undisturbed =
            disturbances.is_gateway_undisturbed(call.gateway, call.sent, call.ended.max(due));
        if call.outcome == Outcome::Left || !is_undisturbed {
            continue;
        }
        let is_late = call.ended > due || call.outcome == Outcome::Unanswered;
        let seen = is_late.then(|| {
            let took = call.ended - call.sent;
            let allowed = call.deadline;
            format!(
                "gateway {}: {:?} after {took} of {allowed} ms",
                call.gateway, call.outcome
            )
        });
        verdict.check(call.ended, &call.id, seen);
    }
}

/// Checks that a gateway answers all requests that are open at or sent during a planned stop, if there are no other
/// faults.
pub(super) fn planned_stop(history: &History, verdict: &mut Verdict) {
    let disturbances = DisturbanceLog(&history.disturbances);
    for stop in &history.stops {
        let is_open_during_stop = |call: &&OnlineCall| {
            call.gateway == stop.gateway
                && call.ended >= stop.at
                && call.sent < stop.ended
                && call.sent + MAX_OPEN_BEFORE_STOP_MS > stop.at
        };
        for call in history.online.iter().filter(is_open_during_stop) {
            if disturbances.has_only_planned_stops(call.sent, call.ended) {
                let is_interrupted = matches!(call.outcome, Outcome::Broken | Outcome::Unanswered);
                let seen = is_interrupted.then(|| {
                    let sent = call.sent as i64 - stop.at as i64;
                    format!("{:?}, sent {sent} ms after SIGTERM", call.outcome)
                });
                verdict.check(call.ended, &call.id, seen);
            }
        }
    }
}
