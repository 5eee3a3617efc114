//! What callers of online requests get.

use super::Verdict;
use crate::soak::disturbances::DisturbanceLog;
use crate::soak::history::{Ending, History, OnlineCall};

/// Time beyond a request's own within which the final answer must be there, in milliseconds.
const RESPONSE_SLACK_MS: u64 = 700;
/// The time of every route, in milliseconds.
const ROUTE_TIMEOUT_MS: u64 = 8_000;
/// Time before a planned stop from which requests may be open when it begins, in milliseconds.
const MAX_OPEN_BEFORE_STOP_MS: u64 = 8_000;

/// A success is whole and the request's own.
pub(super) fn own_answer(history: &History, verdict: &mut Verdict) {
    for call in &history.online {
        if let Ending::Answered { status, whole } = call.ending
            && (200..300).contains(&status)
        {
            let seen = (!whole).then(|| format!("status {status} with another body"));
            verdict.check(call.ended, &call.id, seen);
        }
    }
}

/// At gateways that are left alone, a request gets its answer within the time that it has.
pub(super) fn final_answer(history: &History, verdict: &mut Verdict) {
    let disturbances = DisturbanceLog(&history.disturbances);
    for call in &history.online {
        let due = call.sent + call.deadline.min(ROUTE_TIMEOUT_MS) + RESPONSE_SLACK_MS;
        let is_undisturbed =
            disturbances.is_gateway_undisturbed(call.gateway, call.sent, call.ended.max(due));
        if call.ending == Ending::Left || !is_undisturbed {
            continue;
        }
        let is_late = call.ended > due || call.ending == Ending::Unanswered;
        let seen = is_late.then(|| {
            let took = call.ended - call.sent;
            let allowed = call.deadline;
            format!(
                "gateway {}: {:?} after {took} of {allowed} ms",
                call.gateway, call.ending
            )
        });
        verdict.check(call.ended, &call.id, seen);
    }
}

/// A gateway that stops as planned, with nothing else going on, answers whatever reached it.
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
                let is_cut = matches!(call.ending, Ending::Broken | Ending::Unanswered);
                let seen = is_cut.then(|| {
                    let sent = call.sent as i64 - stop.at as i64;
                    format!("{:?}, sent {sent} ms after SIGTERM", call.ending)
                });
                verdict.check(call.ended, &call.id, seen);
            }
        }
    }
}
