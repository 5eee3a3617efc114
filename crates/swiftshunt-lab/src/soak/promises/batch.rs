//! Promises about batch jobs.

use std::collections::{HashMap, HashSet};

use super::Verdict;
use crate::platform::worker::{RunEvent, event_data};
use crate::soak::disturbances::DisturbanceLog;
use crate::soak::history::{History, JobHistory, ListedResult, Reading};
use crate::soak::testbed::EVENTS;

/// Time after a response 202 within which every gateway without a fault must know the job, in milliseconds.
const JOB_VISIBLE_WITHIN_MS: u64 = 1_000;
/// Time within which a cancellation must take effect at every gateway, in milliseconds.
const CANCEL_EFFECTIVE_WITHIN_MS: u64 = 3_000;

/// Time-out of the batch route: time after the first submission of a job from which its items may be given up, in
/// milliseconds.
const JOB_TIMEOUT_MS: u64 = 60_000;

/// Returns the complete output of an item.
fn expected_text(item: &str) -> String {
    let pieces: Vec<String> = (0..EVENTS).map(|event| event_data(item, event)).collect();
    pieces.join("\n")
}

/// Checks that each item of an accepted job gets exactly one complete result at one position, readable at every
/// gateway.
pub(super) fn exactly_once(history: &History, verdict: &mut Verdict) {
    let disturbances = DisturbanceLog(&history.disturbances);
    for job in &history.jobs {
        let Some(accepted) = job.accepted() else {
            continue;
        };
        check_positions(job, verdict);
        check_visibility(job, accepted, &disturbances, verdict);
        check_final_reads(job, verdict);
    }
}

/// Checks that the result at a position never changes, that an item has a single position, and that each result is
/// complete.
fn check_positions(job: &JobHistory, verdict: &mut Verdict) {
    let mut results_by_position: HashMap<usize, &ListedResult> = HashMap::new();
    let mut positions_by_item: HashMap<&str, usize> = HashMap::new();
    for reading in job.readings.iter().chain(&job.final_readings) {
        if reading.status == Some(200) && reading.total != job.items.len() {
            let seen = format!(
                "the response counts {} items, the job has {}",
                reading.total,
                job.items.len()
            );
            verdict.check(reading.ended, &job.id, Some(seen));
        }
        for (position, listed) in (reading.from..).zip(&reading.results) {
            let earlier = *results_by_position.entry(position).or_insert(listed);
            let first_position = *positions_by_item.entry(&listed.item).or_insert(position);
            let seen = if earlier != listed {
                Some(format!(
                    "position {position} held the result of {} before",
                    earlier.item
                ))
            } else if first_position != position {
                Some(format!(
                    "listed at positions {first_position} and {position}"
                ))
            } else {
                result_error(job, listed, reading.ended)
            };
            verdict.check(reading.ended, &listed.item, seen);
        }
    }
}

fn result_error(job: &JobHistory, listed: &ListedResult, seen_at: u64) -> Option<String> {
    if !job.items.contains(&listed.item) {
        return Some(format!("not an item of {}", job.id));
    }
    if listed.completed {
        let is_whole = listed.text == expected_text(&listed.item);
        return (!is_whole).then(|| "completed with a wrong output".to_owned());
    }
    // Engine workers never fail an item, so only a cancellation and the time-out are reasons to give one up.
    let sent = job.submissions.iter().map(|it| it.sent).min();
    let is_timed_out = sent.is_some_and(|sent| seen_at >= sent + JOB_TIMEOUT_MS);
    (!job.cancel_requested && !is_timed_out).then(|| "given up before its time-out".to_owned())
}

/// Checks that gateways without a fault know an accepted job.
fn check_visibility(
    job: &JobHistory,
    accepted: u64,
    disturbances: &DisturbanceLog,
    verdict: &mut Verdict,
) {
    let visible_from = accepted + JOB_VISIBLE_WITHIN_MS;
    for reading in job.readings.iter().filter(|it| it.sent >= visible_from) {
        if !disturbances.is_gateway_undisturbed(reading.gateway, reading.sent, reading.ended) {
            continue;
        }
        let is_unknown = matches!(reading.status, Some(404 | 410));
        let seen = is_unknown.then(|| format!("gateway {} does not know the job", reading.gateway));
        verdict.check(reading.ended, &job.id, seen);
    }
}

/// Checks that after the end of load and faults every gateway lists all results that were read before, and a result
/// for every item unless a cancellation was requested.
fn check_final_reads(job: &JobHistory, verdict: &mut Verdict) {
    for reading in &job.final_readings {
        let seen = final_read_error(job, reading);
        let subject = format!("{} at gateway {}", job.id, reading.gateway);
        verdict.check(reading.ended, &subject, seen);
    }
}

fn final_read_error(job: &JobHistory, reading: &Reading) -> Option<String> {
    if reading.status != Some(200) {
        return Some(format!("cannot be read, status {:?}", reading.status));
    }
    let listed: HashSet<&str> = reading.results.iter().map(|it| it.item.as_str()).collect();
    let earlier = job.readings.iter().flat_map(|it| &it.results);
    if let Some(lost) = earlier
        .into_iter()
        .find(|it| !listed.contains(it.item.as_str()))
    {
        return Some(format!("{} was listed before and is missing", lost.item));
    }
    let missing = job
        .items
        .iter()
        .find(|item| !listed.contains(item.as_str()));
    let missing = missing.filter(|_| !job.cancel_requested);
    missing.map(|item| format!("{item} has no result"))
}

/// Checks that no item of a job starts once the acknowledged cancellation of the job has taken effect, if neither
/// the gateways nor the store have a fault.
pub(super) fn cancelled(history: &History, verdict: &mut Verdict) {
    let disturbances = DisturbanceLog(&history.disturbances);
    for job in &history.jobs {
        let Some(cancelled_at) = job.cancelled_at else {
            continue;
        };
        let items: HashSet<&str> = job.items.iter().map(String::as_str).collect();
        let started = history.runs.iter().find(|run| {
            run.event == RunEvent::Arrived
                && items.contains(run.id.as_str())
                && run.at > cancelled_at + CANCEL_EFFECTIVE_WITHIN_MS
                && disturbances.are_gateways_undisturbed(cancelled_at, run.at)
        });
        let seen = started.map(|run| {
            format!(
                "{} started {} ms after the cancellation",
                run.id,
                run.at - cancelled_at
            )
        });
        verdict.check(cancelled_at, &job.id, seen);
    }
}
