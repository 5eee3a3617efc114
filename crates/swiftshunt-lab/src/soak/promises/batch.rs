//! What becomes of batch jobs.

use std::collections::{HashMap, HashSet};

use super::Verdict;
use crate::platform::worker::{RunEvent, event_data};
use crate::soak::disturbances::DisturbanceLog;
use crate::soak::history::{History, JobHistory, ListedResult, Reading};
use crate::soak::testbed::EVENTS;

/// Time after a 202 from which every gateway in touch must know a job, in milliseconds.
const JOB_VISIBLE_WITHIN_MS: u64 = 1_000;
/// Time within which every gateway obeys the end of a job, in milliseconds.
const CANCEL_EFFECTIVE_WITHIN_MS: u64 = 3_000;

/// Time after a job was handed in from which its items may be given up, in milliseconds: the route's.
const JOB_TIMEOUT_MS: u64 = 60_000;

/// The whole output of an item.
fn expected_text(item: &str) -> String {
    let pieces: Vec<String> = (0..EVENTS).map(|event| event_data(item, event)).collect();
    pieces.join("\n")
}

/// Each item of an accepted job has one result, whole, at one position, readable everywhere.
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

/// A position never holds another result, an item stands at one position, and each result is whole.
fn check_positions(job: &JobHistory, verdict: &mut Verdict) {
    let mut results_by_position: HashMap<usize, &ListedResult> = HashMap::new();
    let mut positions_by_item: HashMap<&str, usize> = HashMap::new();
    for reading in job.readings.iter().chain(&job.final_readings) {
        if reading.status == Some(200) && reading.total != job.items.len() {
            let seen = format!("{} items of {}", reading.total, job.items.len());
            verdict.check(reading.ended, &job.id, Some(seen));
        }
        for (position, listed) in (reading.from..).zip(&reading.results) {
            let earlier = *results_by_position.entry(position).or_insert(listed);
            let first_position = *positions_by_item.entry(&listed.item).or_insert(position);
            let seen = if earlier != listed {
                Some(format!("position {position} held {} before", earlier.item))
            } else if first_position != position {
                Some(format!(
                    "stands at positions {first_position} and {position}"
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
        return Some(format!("is no item of {}", job.id));
    }
    if listed.completed {
        let is_whole = listed.text == expected_text(&listed.item);
        return (!is_whole).then(|| "completed with another text".to_owned());
    }
    // Engines fail no item, so only the end of its job and its time are reasons to give one up.
    let sent = job.submissions.iter().map(|it| it.sent).min();
    let is_timed_out = sent.is_some_and(|sent| seen_at >= sent + JOB_TIMEOUT_MS);
    (!job.cancel_requested && !is_timed_out).then(|| "given up before its time".to_owned())
}

/// Gateways in touch know an accepted job, and never list less than was read before.
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
        let seen = is_unknown.then(|| format!("gateway {} does not know it", reading.gateway));
        verdict.check(reading.ended, &job.id, seen);
    }
}

/// When all is over, every gateway lists the same, and every item unless the job was ended.
fn check_final_reads(job: &JobHistory, verdict: &mut Verdict) {
    for reading in &job.final_readings {
        let seen = final_read_error(job, reading);
        let subject = format!("{} at gateway {}", job.id, reading.gateway);
        verdict.check(reading.ended, &subject, seen);
    }
}

fn final_read_error(job: &JobHistory, reading: &Reading) -> Option<String> {
    if reading.status != Some(200) {
        return Some(format!("cannot be read: {:?}", reading.status));
    }
    let listed: HashSet<&str> = reading.results.iter().map(|it| it.item.as_str()).collect();
    let earlier = job.readings.iter().flat_map(|it| &it.results);
    if let Some(lost) = earlier
        .into_iter()
        .find(|it| !listed.contains(it.item.as_str()))
    {
        return Some(format!("{} was listed before and is not now", lost.item));
    }
    let missing = job
        .items
        .iter()
        .find(|item| !listed.contains(item.as_str()));
    let missing = missing.filter(|_| !job.cancel_requested);
    missing.map(|item| format!("{item} has no result"))
}

/// Items of a job whose end was acknowledged no longer start.
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
        let seen = started.map(|run| format!("{} ran {} ms later", run.id, run.at - cancelled_at));
        verdict.check(cancelled_at, &job.id, seen);
    }
}
