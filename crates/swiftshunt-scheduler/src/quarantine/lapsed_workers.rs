//! Workers whose directory entries lapsed. A worker that lapses while others of its zone renew
//! their entries has ended; if most workers of a zone lapse together, the zone is cut off from the
//! log.

use std::collections::VecDeque;
use std::time::Duration;

use crate::slots::WorkerKey;

/// Time after a lapse within which all workers that lapse for the same cause have lapsed: workers
/// renew about once a second, and the directory collects changes for part of a second.
pub const LAPSE_SETTLE_DELAY: Duration = Duration::from_secs(2);
/// Time for which a lapse is remembered; a zone that was cut off is connected again within it.
const LAPSE_TTL: Duration = Duration::from_secs(120);
/// Most lapses that are remembered.
const MAX_LAPSES: usize = 4_096;
/// Fewest simultaneous lapses in a zone for which the zone counts as cut off. There must also be at
/// least as many of them as workers of the zone that are still listed.
const MIN_ZONE_LAPSES: usize = 2;

#[derive(Debug)]
struct Lapse {
    worker: WorkerKey,
    zone: String,
    at: Duration,
    is_evaluated: bool,
}

/// Workers that lapsed recently.
#[derive(Debug, Default)]
pub struct LapsedWorkers {
    recent: VecDeque<Lapse>,
}

impl LapsedWorkers {
    /// Records that the entry of a worker lapsed.
    pub fn record_lapse(&mut self, worker: WorkerKey, zone: &str, now: Duration) {
        self.recent.retain(|lapse| now < lapse.at + LAPSE_TTL);
        if self.recent.len() >= MAX_LAPSES {
            self.recent.pop_front();
        }
        self.recent.push_back(Lapse {
            worker,
            zone: zone.to_owned(),
            at: now,
            is_evaluated: false,
        });
    }

    /// Returns the workers that are certain to have ended, each once. `listed` returns the number
    /// of listed workers of a zone.
    pub fn take_ended(&mut self, listed: impl Fn(&str) -> usize, now: Duration) -> Vec<WorkerKey> {
        let due: Vec<usize> = (0..self.recent.len())
            .filter(|index| {
                let lapse = &self.recent[*index];
                !lapse.is_evaluated && now >= lapse.at + LAPSE_SETTLE_DELAY
            })
            .collect();
        let mut ended = Vec::new();
        for index in due {
            if !self.is_zone_outage(&self.recent[index], &listed) {
                ended.push(self.recent[index].worker);
            }
            self.recent[index].is_evaluated = true;
        }
        ended
    }

    /// Returns whether at least as many workers of the zone lapsed at about the same time as are
    /// still listed.
    fn is_zone_outage(&self, lapse: &Lapse, listed: &impl Fn(&str) -> usize) -> bool {
        let simultaneous = self.recent.iter().filter(|other| {
            other.zone == lapse.zone && other.at.abs_diff(lapse.at) <= LAPSE_SETTLE_DELAY
        });
        let simultaneous = simultaneous.count();
        simultaneous >= MIN_ZONE_LAPSES && simultaneous >= listed(&lapse.zone)
    }

    /// Removes the lapse of a worker that lists itself again. Returns whether there was one, so
    /// that the worker is back in the same life.
    pub fn remove_returned(&mut self, worker: WorkerKey) -> bool {
        let before = self.recent.len();
        self.recent.retain(|lapse| lapse.worker != worker);
        self.recent.len() < before
    }
}
