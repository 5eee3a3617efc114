//! The promise that accepted items are being run while workers are free.

use std::collections::{BTreeSet, HashMap};

use super::Verdict;
use crate::platform::worker::RunEvent;
use crate::soak::disturbances::{DisturbanceLog, Scope};
use crate::soak::history::{History, JobHistory, Reading, RunRecord};

/// Longest time without faults for which an accepted item may be neither run nor listed while workers are free, in
/// milliseconds: a lease, a hand-over, and the silence after which an attempt is aborted.
const MAX_IDLE_MS: u64 = 6_000;
/// Interval at which the load of the workers is sampled, in milliseconds.
const SAMPLE_INTERVAL_MS: u64 = 250;
/// Interval between the starts of two windows that are checked, in milliseconds.
const WINDOW_INTERVAL_MS: u64 = 500;
/// Time after the withdrawal of an evacuation until its zone gets requests again, in milliseconds.
const EVACUATION_RECOVERY_MS: u64 = 2_000;
/// Prefix of the incarnations of engine workers, which run the items.
const ENGINE_PREFIX: &str = "engine-";

/// The time for which a request held a slot.
#[derive(Clone, Copy)]
struct Run {
    began: u64,
    ended: u64,
}

impl Run {
    fn includes(self, at: u64) -> bool {
        self.began <= at && at < self.ended
    }
}

/// Returns the runs at engine workers by request or item. A run whose worker was killed ends with the fault.
fn engine_runs(history: &History) -> HashMap<&str, Vec<Run>> {
    let mut open: HashMap<(&str, &str), u64> = HashMap::new();
    let mut runs: HashMap<&str, Vec<Run>> = HashMap::new();
    let of_engines = history.runs.iter();
    for record in of_engines.filter(|it| it.incarnation.starts_with(ENGINE_PREFIX)) {
        let key = (record.incarnation.as_str(), record.id.as_str());
        match record.event {
            RunEvent::Arrived => {}
            RunEvent::Began => drop(open.insert(key, record.at)),
            RunEvent::Ended => {
                let ended = record.at;
                let began = open.remove(&key);
                let run = began.map(|began| Run { began, ended });
                runs.entry(&record.id).or_default().extend(run);
            }
        }
    }
    for ((incarnation, id), began) in open {
        let ended = first_fault_of(history, incarnation, began).unwrap_or(u64::MAX);
        runs.entry(id).or_default().push(Run { began, ended });
    }
    runs
}

/// Returns the start of the first fault of a worker after a time.
fn first_fault_of(history: &History, incarnation: &str, after: u64) -> Option<u64> {
    let faults = history
        .disturbances
        .iter()
        .filter(|it| matches!(&it.scope, Scope::Worker(affected) if affected == incarnation));
    let starts = faults.map(|it| it.from);
    starts.filter(|from| *from >= after).min()
}

/// Checks that no accepted item is left idle while workers are free.
pub(super) fn idle_items(history: &History, verdict: &mut Verdict) {
    let runs = engine_runs(history);
    let end = history_end(history);
    for job in history.jobs.iter().filter(|job| !job.cancel_requested) {
        let Some(accepted) = job.accepted() else {
            continue;
        };
        for item in &job.items {
            let of_item = runs.get(item.as_str()).map_or(&[][..], Vec::as_slice);
            let listed = first_listed(job, item).unwrap_or(end);
            let idle = idle_periods(of_item, accepted, listed);
            let seen = idle.into_iter().find_map(|(from, to)| {
                let since = first_idle_window(history, &runs, from, to)?;
                let worker_runs = of_item.len();
                Some(format!(
                    "idle from {from} to {to} ms, without faults and with free workers from {since} ms on, after {worker_runs} runs"
                ))
            });
            verdict.check(accepted, item, seen);
        }
    }
}

/// Returns the time of the last observation.
fn history_end(history: &History) -> u64 {
    let readings = history.jobs.iter().flat_map(all_readings);
    let read = readings.map(|reading| reading.ended).max();
    let ran = history.runs.iter().map(|run: &RunRecord| run.at).max();
    read.max(ran).unwrap_or(0)
}

fn all_readings(job: &JobHistory) -> impl Iterator<Item = &Reading> {
    job.readings.iter().chain(&job.final_readings)
}

fn first_listed(job: &JobHistory, item: &str) -> Option<u64> {
    let lists_item = |reading: &&Reading| reading.results.iter().any(|it| it.item == item);
    let listing = all_readings(job).filter(lists_item);
    listing.map(|reading| reading.ended).min()
}

/// Returns the periods from `from` to `to` in which no run is in progress.
fn idle_periods(runs: &[Run], from: u64, to: u64) -> Vec<(u64, u64)> {
    let mut runs = runs.to_vec();
    runs.sort_by_key(|run| run.began);
    let mut periods = Vec::new();
    let mut idle_since = from;
    for run in runs {
        periods.push((idle_since, run.began.min(to)));
        idle_since = idle_since.max(run.ended);
    }
    periods.push((idle_since, to));
    periods.retain(|(from, to)| from < to);
    periods
}

/// Returns the start of the first window of [`MAX_IDLE_MS`] in a period in which there was no fault and less than half of the
/// workers' slots were taken, without those in evacuated zones.
fn first_idle_window(
    history: &History,
    runs: &HashMap<&str, Vec<Run>>,
    from: u64,
    to: u64,
) -> Option<u64> {
    let disturbances = DisturbanceLog(&history.disturbances);
    let last = to.checked_sub(MAX_IDLE_MS)?;
    let mut windows = (from..=last).step_by(WINDOW_INTERVAL_MS as usize);
    windows.find(|at| {
        disturbances.is_undisturbed(*at, at + MAX_IDLE_MS)
            && has_free_workers(history, runs, *at, at + MAX_IDLE_MS)
    })
}

fn has_free_workers(history: &History, runs: &HashMap<&str, Vec<Run>>, from: u64, to: u64) -> bool {
    let mut samples = (from..to).step_by(SAMPLE_INTERVAL_MS as usize);
    samples.all(|at| {
        let taken = runs.values().flatten().filter(|run| run.includes(at));
        taken.count() * 2 < open_slots(history, at)
    })
}

/// Returns the number of slots of engine workers outside of evacuated zones, and of zones whose workers may have gone cold
/// meanwhile, which limits their starts. The workers are spread evenly over the zones.
fn open_slots(history: &History, at: u64) -> usize {
    let places = history.worker_locations.iter();
    let zones: BTreeSet<&str> = places.map(|place| place.zone.as_str()).collect();
    if zones.is_empty() {
        return history.engine_slots;
    }
    let is_evacuated = |zone: &&&str| {
        let evacuations = history.evacuations.iter().filter(|it| it.zone == **zone);
        evacuations.filter(|it| it.at <= at).any(|it| {
            it.withdrawn
                .is_none_or(|withdrawn| at < withdrawn + EVACUATION_RECOVERY_MS + it.cold_ms)
        })
    };
    let evacuated = zones.iter().filter(is_evacuated).count();
    history.engine_slots * (zones.len() - evacuated) / zones.len()
}
