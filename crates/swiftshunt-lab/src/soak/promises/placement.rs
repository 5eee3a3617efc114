//! Promises about the zones and regions that serve requests, and about the rate of requests to cold workers.

use std::collections::VecDeque;

use super::Verdict;
use super::runs::{IN_FLIGHT_MS, arrivals};
use crate::soak::disturbances::DisturbanceLog;
use crate::soak::history::{ColdPeriod, Evacuation, History, RunRecord, WorkerLocation};

const SECOND_MS: u64 = 1_000;
/// Tolerated rate of requests to a cold worker, as a multiple of its limit; see also [`COLD_RATE_SLACK`].
const COLD_RATE_FACTOR: f64 = 1.5;
/// Number of requests in a second that is tolerated in addition to this rate.
const COLD_RATE_SLACK: f64 = 5.0;
/// Time within which an evacuation must take effect at every gateway without a fault, in milliseconds.
const EVACUATION_EFFECTIVE_WITHIN_MS: u64 = 5_000;

/// Checks that a cold worker never gets more requests in a second than its limit and the tolerances allow, also during
/// faults of gateways and of the store. Periods with a fault of the worker or of the link to it are skipped, since
/// requests of several seconds may then arrive at once.
pub(super) fn cold(history: &History, verdict: &mut Verdict) {
    let disturbances = DisturbanceLog(&history.disturbances);
    for period in &history.cold_periods {
        let bound = period.per_second * COLD_RATE_FACTOR + COLD_RATE_SLACK;
        let mut last_second: VecDeque<u64> = VecDeque::new();
        for run in arrivals(history).filter(|run| is_in_period(period, run)) {
            last_second.push_back(run.at);
            while last_second
                .front()
                .is_some_and(|at| at + SECOND_MS <= run.at)
            {
                last_second.pop_front();
            }
            let first = last_second.front().copied().unwrap_or(run.at);
            if !disturbances.is_worker_undisturbed(&period.incarnation, first, run.at) {
                continue;
            }
            let seen = (last_second.len() as f64 > bound).then(|| {
                format!(
                    "{} requests in a second, at most {bound} are tolerated",
                    last_second.len()
                )
            });
            verdict.check(run.at, &period.incarnation, seen);
        }
    }
}

fn is_in_period(period: &ColdPeriod, run: &RunRecord) -> bool {
    run.incarnation == period.incarnation && (period.from..period.to).contains(&run.at)
}

/// Checks that workers in an evacuated zone get no requests until the withdrawal of the evacuation, if neither the
/// gateways nor the store have a fault.
pub(super) fn evacuated(history: &History, verdict: &mut Verdict) {
    let disturbances = DisturbanceLog(&history.disturbances);
    for evacuation in &history.evacuations {
        let locations = history.worker_locations.iter();
        for location in locations.filter(|location| location.zone == evacuation.zone) {
            let late: Vec<&RunRecord> = arrivals(history)
                .filter(|run| is_late_arrival(evacuation, location, run))
                .filter(|run| disturbances.are_gateways_undisturbed(evacuation.at, run.at))
                .collect();
            let seen = late.first().map(|run| {
                let after = run.at - evacuation.at;
                format!(
                    "{} arrived {after} ms after the evacuation; {} requests in total",
                    run.id,
                    late.len()
                )
            });
            let from = evacuation.at + EVACUATION_EFFECTIVE_WITHIN_MS;
            verdict.check(from, &location.incarnation, seen);
        }
    }
}

/// Whether a request reached a worker while the evacuation of the worker's zone was in effect.
fn is_late_arrival(evacuation: &Evacuation, location: &WorkerLocation, run: &RunRecord) -> bool {
    let from = evacuation.at + EVACUATION_EFFECTIVE_WITHIN_MS + IN_FLIGHT_MS;
    let until = evacuation.withdrawn.unwrap_or(u64::MAX);
    run.incarnation == location.incarnation && (from..until).contains(&run.at)
}

/// Checks that a request of a route with allowed regions reaches no worker in another region, also during faults.
pub(super) fn residency(history: &History, verdict: &mut Verdict) {
    for rule in &history.residency_rules {
        let of_route = |run: &&RunRecord| run.path.starts_with(&rule.path_prefix);
        for run in arrivals(history).filter(of_route) {
            let mut locations = history.worker_locations.iter();
            let Some(location) = locations.find(|location| location.incarnation == run.incarnation)
            else {
                continue;
            };
            let is_allowed = rule.regions.contains(&location.region);
            let seen = (!is_allowed).then(|| format!("{} ran in {}", run.path, location.region));
            verdict.check(run.at, &run.id, seen);
        }
    }
}
