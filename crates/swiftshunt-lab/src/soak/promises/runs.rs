//! Promises about the runs at workers.

use std::collections::{HashMap, HashSet};

use super::Verdict;
use crate::platform::fleet::{BATCH, STREAM, STREAM_ONCE};
use crate::platform::worker::RunEvent;
use crate::soak::disturbances::DisturbanceLog;
use crate::soak::history::{History, OnlineCall, OnlineKind, Outcome, RunRecord};

/// HTTP statuses of responses that guarantee that the request has not run.
const REFUSAL_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Time within which the drain of a worker must take effect at every gateway, in milliseconds.
const DRAIN_EFFECTIVE_WITHIN_MS: u64 = 2_000;
/// Additional time for requests that a gateway sent before a change took effect to arrive, in milliseconds.
pub(super) const IN_FLIGHT_MS: u64 = 400;
/// Time within which a request must be aborted at its worker after its caller has closed the connection, in
/// milliseconds.
const ABORT_WITHIN_MS: u64 = 500;
/// Time for which a stream may wait for a slot behind a batch item, in milliseconds.
const MAX_STREAM_WAIT_MS: u64 = 1_500;

/// Returns the arrivals of requests and items at workers, also of those that never got a slot.
pub(super) fn arrivals(history: &History) -> impl Iterator<Item = &RunRecord> {
    let runs = history.runs.iter();
    runs.filter(|run| run.event == RunEvent::Arrived)
}

/// Returns the number of arrivals at workers for each request and item.
fn arrival_counts(history: &History) -> HashMap<&str, usize> {
    let mut arrival_counts = HashMap::new();
    for run in arrivals(history) {
        *arrival_counts.entry(run.id.as_str()).or_default() += 1;
    }
    arrival_counts
}

/// Checks that requests with a refusal status have not run, nor any item of a job that was refused at every attempt.
pub(super) fn not_run(history: &History, verdict: &mut Verdict) {
    let arrival_counts = arrival_counts(history);
    let run_count = |id: &str| arrival_counts.get(id).copied().unwrap_or(0);
    for call in &history.online {
        if let Some(status) = call
            .outcome
            .status()
            .filter(|it| REFUSAL_STATUSES.contains(it))
        {
            let times = run_count(&call.id);
            let seen = (times > 0).then(|| format!("status {status}, but {times} runs"));
            verdict.check(call.ended, &call.id, seen);
        }
    }
    for job in &history.jobs {
        let is_refusal =
            |status: Option<u16>| status.is_some_and(|it| REFUSAL_STATUSES.contains(&it));
        let submissions = &job.submissions;
        if submissions.is_empty() || !submissions.iter().all(|it| is_refusal(it.status)) {
            continue;
        }
        let times: usize = job.items.iter().map(|item| run_count(item)).sum();
        let seen =
            (times > 0).then(|| format!("refused at every attempt, but {times} runs of items"));
        let at = submissions.iter().map(|it| it.ended).max().unwrap_or(0);
        verdict.check(at, &job.id, seen);
    }
}

/// Checks that requests that must not be retried ran at most once.
pub(super) fn at_most_once(history: &History, verdict: &mut Verdict) {
    let arrival_counts = arrival_counts(history);
    let is_non_repeatable =
        |kind: OnlineKind| matches!(kind, OnlineKind::Once | OnlineKind::StreamOnce);
    for call in history
        .online
        .iter()
        .filter(|call| is_non_repeatable(call.kind))
    {
        let times = arrival_counts.get(call.id.as_str()).copied().unwrap_or(0);
        let seen = (times > 1).then(|| format!("{times} runs on {}", call.path));
        verdict.check(call.ended, &call.id, seen);
    }
}

/// Checks that every run belongs to a request or item that was sent, and has its path.
pub(super) fn asked_for(history: &History, verdict: &mut Verdict) {
    let online = history.online.iter();
    let mut expected_runs: HashSet<(&str, String)> = online
        .map(|call| (call.id.as_str(), call.path.clone()))
        .collect();
    for job in &history.jobs {
        let paths = job.items.iter().enumerate();
        expected_runs.extend(paths.map(|(index, id)| (id.as_str(), format!("{BATCH}{index}"))));
    }
    for run in arrivals(history) {
        let is_expected = expected_runs.contains(&(run.id.as_str(), run.path.clone()));
        let seen = (!is_expected).then(|| format!("{} ran {}", run.incarnation, run.path));
        verdict.check(run.at, &run.id, seen);
    }
}

/// Checks that a draining worker gets no new requests, if neither the gateways nor the store have a fault.
pub(super) fn draining(history: &History, verdict: &mut Verdict) {
    let disturbances = DisturbanceLog(&history.disturbances);
    for drain in &history.drains {
        let from = drain.at + DRAIN_EFFECTIVE_WITHIN_MS + IN_FLIGHT_MS;
        let late: Vec<&RunRecord> = arrivals(history)
            .filter(|run| run.incarnation == drain.incarnation && run.at >= from)
            .filter(|run| disturbances.are_gateways_undisturbed(drain.at, run.at))
            .collect();
        let seen = late.first().map(|run| {
            let after = run.at - drain.at;
            format!(
                "{} arrived {after} ms after the start of the drain; {} requests in total",
                run.id,
                late.len()
            )
        });
        verdict.check(from, &drain.incarnation, seen);
    }
}

/// Checks that without faults, a stream or a request that may be retried is aborted at its worker soon after its caller
/// has closed the connection, and does not arrive at a worker after that.
pub(super) fn caller_left(history: &History, verdict: &mut Verdict) {
    let disturbances = DisturbanceLog(&history.disturbances);
    let has_left =
        |call: &&OnlineCall| call.outcome == Outcome::Left && call.kind != OnlineKind::Once;
    for call in history.online.iter().filter(has_left) {
        let abort_deadline = call.ended + ABORT_WITHIN_MS;
        if !disturbances.is_undisturbed(call.sent, abort_deadline) {
            continue;
        }
        let of_call = || history.runs.iter().filter(|run| run.id == call.id);
        let late_arrival =
            of_call().find(|run| run.event == RunEvent::Arrived && run.at > abort_deadline);
        let late_end =
            of_call().find(|run| run.event == RunEvent::Ended && run.at > abort_deadline);
        let seen = late_arrival.or(late_end).map(|run| {
            let after = run.at - call.ended;
            format!(
                "{:?} at {} {after} ms after the caller closed the connection",
                run.event, run.incarnation
            )
        });
        verdict.check(call.ended, &call.id, seen);
    }
}

/// The current use of the slots of one worker.
struct SlotUsage<'h> {
    /// Requests that hold a slot, with the path and the time from which they hold it.
    held: HashMap<&'h str, (&'h str, u64)>,
    /// Requests that wait for a slot, with their time of arrival.
    waiting: HashMap<&'h str, u64>,
}

/// Checks that without faults, no stream waits for long at an engine worker while a batch item holds a slot for the
/// whole wait.
pub(super) fn online_first(history: &History, verdict: &mut Verdict) {
    let disturbances = DisturbanceLog(&history.disturbances);
    let mut workers: HashMap<&str, SlotUsage> = HashMap::new();
    for run in &history.runs {
        let slots = workers
            .entry(&run.incarnation)
            .or_insert_with(|| SlotUsage {
                held: HashMap::new(),
                waiting: HashMap::new(),
            });
        match run.event {
            RunEvent::Arrived => drop(slots.waiting.insert(&run.id, run.at)),
            RunEvent::Ended => drop(slots.held.remove(run.id.as_str())),
            RunEvent::Began => {
                let arrived = slots.waiting.remove(run.id.as_str()).unwrap_or(run.at);
                let is_stream = run.path == STREAM || run.path == STREAM_ONCE;
                if is_stream && disturbances.is_undisturbed(arrived, run.at) {
                    let item = slots
                        .held
                        .values()
                        .find(|(path, since)| path.starts_with(BATCH) && *since <= arrived);
                    let waited = run.at - arrived;
                    let seen = item
                        .filter(|_| waited > MAX_STREAM_WAIT_MS)
                        .map(|(path, _)| {
                            format!("waited {waited} ms at {} behind {path}", run.incarnation)
                        });
                    verdict.check(run.at, &run.id, seen);
                }
                slots.held.insert(&run.id, (&run.path, run.at));
            }
        }
    }
}
