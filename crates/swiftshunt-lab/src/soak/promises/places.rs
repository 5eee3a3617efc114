//! Where requests are served, and how many a cold worker gets.

use std::collections::VecDeque;

use super::Verdict;
use super::runs::{ON_ITS_WAY_MS, arrivals};
use crate::soak::calm::Calm;
use crate::soak::history::{ColdSpell, Evacuation, History, RunRecord, WorkerPlace};

/// A second, in milliseconds.
const SECOND_MS: u64 = 1_000;
/// What a cold worker may get in a second: so many times what it bears, and so many requests more.
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
/// Time within which every gateway in touch obeys an evacuation, in milliseconds.
const EVACUATES_WITHIN_MS: u64 = 5_000;

/// A cold worker gets no more requests in a second than it bears and the bound adds, whatever gateways go through. Where
/// the way to it was struck, requests of several seconds may come together: there it is not held to this.
pub(super) fn cold(history: &History, verdict: &mut Verdict) {
    let calm = Calm(&history.disturbances);
    for spell in &history.cold {
        let bound = spell.per_second * COLD_OVER + COLD_SLACK;
        let mut second: VecDeque<u64> = VecDeque::new();
        for run in arrivals(history).filter(|run| is_in(spell, run)) {
            second.push_back(run.at);
            while second.front().is_some_and(|at| at + SECOND_MS <= run.at) {
                second.pop_front();
            }
            let first = second.front().copied().unwrap_or(run.at);
            if !calm.worker(&spell.incarnation, first, run.at) {
                continue;
            }
            let seen = (second.len() as f64 > bound)
                .then(|| format!("{} requests in a second, {bound} allowed", second.len()));
            verdict.check(run.at, &spell.incarnation, seen);
        }
    }
}

fn is_in(spell: &ColdSpell, run: &RunRecord) -> bool {
    run.incarnation == spell.incarnation && (spell.from..spell.to).contains(&run.at)
}

/// Workers of a zone whose evacuation was acknowledged get nothing from gateways that are left alone, until it is
/// withdrawn.
pub(super) fn evacuated(history: &History, verdict: &mut Verdict) {
    let calm = Calm(&history.disturbances);
    for evacuation in &history.evacuations {
        let there = history.places.iter();
        for place in there.filter(|place| place.zone == evacuation.zone) {
            let late: Vec<&RunRecord> = arrivals(history)
                .filter(|run| is_after(evacuation, place, run))
                .filter(|run| calm.all_gateways(evacuation.at, run.at))
                .collect();
            let seen = late.first().map(|run| {
                let after = run.at - evacuation.at;
                format!("{} came {after} ms after; {} in all", run.id, late.len())
            });
            let from = evacuation.at + EVACUATES_WITHIN_MS;
            verdict.check(from, &place.incarnation, seen);
        }
    }
}

/// Whether a request reached a worker when it had to be free of them.
fn is_after(evacuation: &Evacuation, place: &WorkerPlace, run: &RunRecord) -> bool {
    let from = evacuation.at + EVACUATES_WITHIN_MS + ON_ITS_WAY_MS;
    let until = evacuation.withdrawn.unwrap_or(u64::MAX);
    run.incarnation == place.incarnation && (from..until).contains(&run.at)
}

/// A request that is bound to regions reaches no worker in another one, whatever gateways go through.
pub(super) fn residency(history: &History, verdict: &mut Verdict) {
    for residence in &history.residences {
        let of_route = |run: &&RunRecord| run.path.starts_with(&residence.path_prefix);
        for run in arrivals(history).filter(of_route) {
            let mut places = history.places.iter();
            let Some(place) = places.find(|place| place.incarnation == run.incarnation) else {
                continue;
            };
            let is_home = residence.regions.contains(&place.region);
            let seen = (!is_home).then(|| format!("{} ran in {}", run.path, place.region));
            verdict.check(run.at, &run.id, seen);
        }
    }
}
