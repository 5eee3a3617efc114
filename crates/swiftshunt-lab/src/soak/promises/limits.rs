//! Promise about the limit of waiting tokens on the batch route.

use std::collections::HashMap;

use super::Verdict;
use crate::platform::caller::ITEM_TOKENS;
use crate::platform::worker::RunEvent;
use crate::soak::history::{History, JobHistory};

/// Checks at each response 202 that the unfinished items of accepted jobs have no more tokens than the limit. Only
/// items that are certainly unfinished count: no run of the item has ended and nobody has requested a cancellation of
/// the job.
pub(super) fn waiting_limit(history: &History, verdict: &mut Verdict) {
    let Some(limit) = history.waiting_limit else {
        return;
    };
    let first_ends = first_ends(history);
    let jobs = history.jobs.iter().filter(|job| !job.cancel_requested);
    let accepted = jobs.filter_map(|job| Some((job, job.accepted()?)));
    let accepted: Vec<(&JobHistory, u64)> = accepted.collect();
    for (job, at) in &accepted {
        let before = accepted.iter().filter(|(_, accepted)| accepted <= at);
        let items = before.flat_map(|(job, _)| &job.items);
        let is_waiting = |item: &&String| first_ends.get(item.as_str()).is_none_or(|end| end > at);
        let tokens = items.filter(is_waiting).count() as u64 * ITEM_TOKENS;
        let seen =
            (tokens > limit).then(|| format!("{tokens} tokens are waiting, the limit is {limit}"));
        verdict.check(*at, &job.id, seen);
    }
}

/// Returns for each item the time at which one of its runs ended first.
fn first_ends(history: &History) -> HashMap<&str, u64> {
    let mut first = HashMap::new();
    let ended = history
        .runs
        .iter()
        .filter(|run| run.event == RunEvent::Ended);
    for run in ended {
        let at = first.entry(run.id.as_str()).or_insert(run.at);
        *at = run.at.min(*at);
    }
    first
}
