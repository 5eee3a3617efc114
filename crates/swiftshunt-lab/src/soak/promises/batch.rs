//! What becomes of batch jobs.

use std::collections::{HashMap, HashSet};

use super::Verdict;
use crate::platform::worker::{RunEvent, event_data};
use crate::soak::calm::Calm;
use crate::soak::history::{History, JobHistory, Listed, Reading};
use crate::soak::testbed::EVENTS;

/// Time after a 202 from which every gateway in touch must know a job, in milliseconds.
const KNOWN_AFTER_MS: u64 = 1_000;
/// Time within which every gateway obeys the end of a job, in milliseconds.
const ENDS_WITHIN_MS: u64 = 3_000;

/// Time after a job was handed in from which its items may be given up, in milliseconds: the route's.
const GIVEN_UP_AFTER_MS: u64 = 60_000;

/// The whole output of an item.
fn whole_text(item: &str) -> String {
    let pieces: Vec<String> = (0..EVENTS).map(|event| event_data(item, event)).collect();
    pieces.join("\n")
}

/// Each item of an accepted job has one result, whole, at one position, readable everywhere.
pub(super) fn exactly_once(history: &History, verdict: &mut Verdict) {
    let calm = Calm(&history.disturbances);
    for job in &history.jobs {
        let Some(accepted) = job.accepted() else {
            continue;
        };
        check_positions(job, verdict);
        check_known(job, accepted, &calm, verdict);
        check_end(job, verdict);
    }
}

/// A position never holds another result, an item stands at one position, and each result is whole.
fn check_positions(job: &JobHistory, verdict: &mut Verdict) {
    let mut at: HashMap<usize, &Listed> = HashMap::new();
    let mut of: HashMap<&str, usize> = HashMap::new();
    for reading in job.readings.iter().chain(&job.final_readings) {
        if reading.status == Some(200) && reading.total != job.items.len() {
            let seen = format!("{} items of {}", reading.total, job.items.len());
            verdict.check(reading.ended, &job.id, Some(seen));
        }
        for (position, listed) in (reading.from..).zip(&reading.results) {
            let before = *at.entry(position).or_insert(listed);
            let first = *of.entry(&listed.item).or_insert(position);
            let seen = if before != listed {
                Some(format!("position {position} held {} before", before.item))
            } else if first != position {
                Some(format!("stands at positions {first} and {position}"))
            } else {
                wrong_result(job, listed, reading.ended)
            };
            verdict.check(reading.ended, &listed.item, seen);
        }
    }
}

fn wrong_result(job: &JobHistory, listed: &Listed, seen_at: u64) -> Option<String> {
    if !job.items.contains(&listed.item) {
        return Some(format!("is no item of {}", job.id));
    }
    if listed.completed {
        let is_whole = listed.text == whole_text(&listed.item);
        return (!is_whole).then(|| "completed with another text".to_owned());
    }
    // Engines fail no item, so only the end of its job and its time are reasons to give one up.
    let sent = job.submissions.iter().map(|it| it.sent).min();
    let is_too_late = sent.is_some_and(|sent| seen_at >= sent + GIVEN_UP_AFTER_MS);
    (!job.end_asked && !is_too_late).then(|| "given up before its time".to_owned())
}

/// Gateways in touch know an accepted job, and never list less than was read before.
fn check_known(job: &JobHistory, accepted: u64, calm: &Calm, verdict: &mut Verdict) {
    let known_from = accepted + KNOWN_AFTER_MS;
    for reading in job.readings.iter().filter(|it| it.sent >= known_from) {
        if !calm.gateway(reading.gateway, reading.sent, reading.ended) {
            continue;
        }
        let is_unknown = matches!(reading.status, Some(404 | 410));
        let seen = is_unknown.then(|| format!("gateway {} does not know it", reading.gateway));
        verdict.check(reading.ended, &job.id, seen);
    }
}

/// When all is over, every gateway lists the same, and every item unless the job was ended.
fn check_end(job: &JobHistory, verdict: &mut Verdict) {
    for reading in &job.final_readings {
        let seen = wrong_end(job, reading);
        let subject = format!("{} at gateway {}", job.id, reading.gateway);
        verdict.check(reading.ended, &subject, seen);
    }
}

fn wrong_end(job: &JobHistory, reading: &Reading) -> Option<String> {
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
    let missing = missing.filter(|_| !job.end_asked);
    missing.map(|item| format!("{item} has no result"))
}

/// Items of a job whose end was acknowledged no longer start.
pub(super) fn cancelled(history: &History, verdict: &mut Verdict) {
    let calm = Calm(&history.disturbances);
    for job in &history.jobs {
        let Some(ended) = job.ended else {
            continue;
        };
        let items: HashSet<&str> = job.items.iter().map(String::as_str).collect();
        let started = history.runs.iter().find(|run| {
            run.event == RunEvent::Arrived
                && items.contains(run.id.as_str())
                && run.at > ended + ENDS_WITHIN_MS
                && calm.all_gateways(ended, run.at)
        });
        let seen = started.map(|run| format!("{} ran {} ms later", run.id, run.at - ended));
        verdict.check(ended, &job.id, seen);
    }
}
