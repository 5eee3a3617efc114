//! Workers whose entries lapsed. One that lapses while others of its zone renew theirs has ended; where most of
//! a zone lapse together, the zone is cut off from the log.

use std::collections::VecDeque;
use std::time::Duration;

use crate::slots::WorkerKey;

/// Time after a lapse in which those that lapse for the same cause have lapsed, too: workers write every second
/// or so, and changes of the directory are gathered for part of one.
pub const LAPSE_SETTLE_DELAY: Duration = Duration::from_secs(2);
/// How long a lapse is remembered: a zone that is cut off is back within it.
const LAPSE_TTL: Duration = Duration::from_secs(120);
/// Lapses that are remembered at most.
const MAX_LAPSES: usize = 4_096;
/// Workers of a zone that may lapse together with as few left before the zone is taken for the cause.
const FEWEST_TOGETHER: usize = 2;

#[derive(Debug)]
struct Lapse {
    worker: WorkerKey,
    zone: String,
    at: Duration,
    is_judged: bool,
}

/// Workers that lapsed of late.
#[derive(Debug, Default)]
pub struct LapsedWorkers {
    recent: VecDeque<Lapse>,
}

impl LapsedWorkers {
    /// The entry of a worker lapsed.
    pub fn record_lapse(&mut self, worker: WorkerKey, zone: &str, now: Duration) {
        self.recent.retain(|lapse| now < lapse.at + LAPSE_TTL);
        if self.recent.len() >= MAX_LAPSES {
            self.recent.pop_front();
        }
        self.recent.push_back(Lapse {
            worker,
            zone: zone.to_owned(),
            at: now,
            is_judged: false,
        });
    }

    /// Workers of which it is certain by now that they have ended, each once. `listed` gives how many workers of
    /// a zone are listed.
    pub fn take_ended(&mut self, listed: impl Fn(&str) -> usize, now: Duration) -> Vec<WorkerKey> {
        let due: Vec<usize> = (0..self.recent.len())
            .filter(|index| {
                let lapse = &self.recent[*index];
                !lapse.is_judged && now >= lapse.at + LAPSE_SETTLE_DELAY
            })
            .collect();
        let mut ended = Vec::new();
        for index in due {
            if !self.is_of_a_zone(&self.recent[index], &listed) {
                ended.push(self.recent[index].worker);
            }
            self.recent[index].is_judged = true;
        }
        ended
    }

    /// Whether most workers of a zone lapsed at about the moment at which one did.
    fn is_of_a_zone(&self, lapse: &Lapse, listed: &impl Fn(&str) -> usize) -> bool {
        let together = self.recent.iter().filter(|other| {
            other.zone == lapse.zone && other.at.abs_diff(lapse.at) <= LAPSE_SETTLE_DELAY
        });
        let together = together.count();
        together >= FEWEST_TOGETHER && together >= listed(&lapse.zone)
    }

    /// A worker lists itself; gives whether it is back in the life in which it lapsed.
    pub fn remove_returned(&mut self, worker: WorkerKey) -> bool {
        let before = self.recent.len();
        self.recent.retain(|lapse| lapse.worker != worker);
        self.recent.len() < before
    }
}
