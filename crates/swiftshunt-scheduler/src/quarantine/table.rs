//! Which workers ended while they ran which requests.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::{
    Evidence, Fingerprint, QUARANTINE_THRESHOLD, QuarantineStatus, SIMULTANEITY_WINDOW, WorkerEnd,
};
use crate::slots::WorkerKey;

/// Requests that are remembered at most: those of a rack of 40 workers, 30 times over. Some 300 bytes each.
const MAX_REQUESTS: usize = 8_192;
/// Workers that end at one moment by chance. More have a cause in common: a rack, or copies of one request that
/// came together.
const MAX_COINCIDENT_ENDS: u32 = 3;
/// Share of the workers that ended at one moment which must have run a request that is the cause. The rest is
/// for those that ended by chance, or ran a second such request.
const MIN_CAUSE_SHARE: f64 = 0.75;
/// Ends of workers that are remembered for one request.
const MAX_ENDS_PER_REQUEST: usize = 16;

/// An end as it is remembered here.
#[derive(Clone, Copy, Debug)]
struct KnownEnd {
    end: WorkerEnd,
    /// When it is forgotten.
    lapses_at: Duration,
}

/// A worker that has ended.
#[derive(Debug)]
struct EndedWorker {
    /// When, in milliseconds of Unix time, by the first who saw it.
    ended_unix_ms: u64,
    /// The requests that it ran.
    requests: BTreeSet<Fingerprint>,
}

/// The ends of workers, by request.
#[derive(Debug, Default)]
pub struct Quarantine {
    requests: HashMap<Fingerprint, Vec<KnownEnd>>,
    workers: HashMap<WorkerKey, EndedWorker>,
}

impl Quarantine {
    /// A worker ended while it ran a request; gives whether that is new. `unix_ms` is the time of day: an end
    /// that is learnt late, from the log, lapses as early as elsewhere.
    pub fn record_end(
        &mut self,
        request: Fingerprint,
        end: WorkerEnd,
        unix_ms: u64,
        now: Duration,
    ) -> bool {
        let age = Duration::from_millis(unix_ms.saturating_sub(end.ended_unix_ms));
        let left = end.evidence.ttl().saturating_sub(age);
        let mut ends = self.requests.entry(request).or_default().iter_mut();
        if let Some(known) = ends.find(|known| known.end.is_same(&end)) {
            let is_stronger = end.evidence > known.end.evidence;
            if is_stronger {
                known.end.evidence = end.evidence;
                known.lapses_at = now + left;
            }
            return is_stronger;
        }
        if left.is_zero() || self.ends(&request).count() >= MAX_ENDS_PER_REQUEST {
            self.forget_if_empty(&request);
            return false;
        }
        if self.requests.len() > MAX_REQUESTS {
            self.forget_next_to_lapse(&request);
        }
        let lapses_at = now + left;
        let known = KnownEnd { end, lapses_at };
        self.requests.entry(request).or_default().push(known);
        let ended_worker = self.workers.entry(end.worker).or_insert(EndedWorker {
            ended_unix_ms: end.ended_unix_ms,
            requests: BTreeSet::new(),
        });
        ended_worker.ended_unix_ms = ended_worker.ended_unix_ms.min(end.ended_unix_ms);
        ended_worker.requests.insert(request);
        true
    }

    /// What follows for a request.
    pub fn status(&self, request: &Fingerprint, now: Duration) -> QuarantineStatus {
        let Some(known) = self.requests.get(request) else {
            return QuarantineStatus::Allowed;
        };
        let known = lives(known);
        let ends = known.len();
        let own = known.into_iter().filter(|one| {
            one.lapses_at > now && !self.is_explained(request, &one.end.worker, ends)
        });
        let mut lapses = self.moments(request, own);
        lapses.sort_unstable();
        // Held until all but the two that lapse last have lapsed.
        let held_by = lapses.len().checked_sub(QUARANTINE_THRESHOLD);
        match held_by.and_then(|index| lapses.get(index)) {
            Some(until) => QuarantineStatus::Quarantined {
                ends,
                time_left: until.saturating_sub(now),
            },
            None => QuarantineStatus::Allowed,
        }
    }

    /// Whether any end is known.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// How many requests are known to have run on workers that ended.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// The ends that are known for a request.
    pub fn ends(&self, request: &Fingerprint) -> impl Iterator<Item = WorkerEnd> {
        let known = self.requests.get(request).into_iter().flatten();
        known.map(|known| known.end)
    }

    /// Forgets that a worker ended at a time while it ran a request.
    pub fn forget(&mut self, request: &Fingerprint, worker: WorkerKey, ended_unix_ms: u64) {
        if let Some(known) = self.requests.get_mut(request) {
            known.retain(|known| {
                known.end.worker != worker || known.end.ended_unix_ms != ended_unix_ms
            });
        }
        self.forget_if_empty(request);
        if self.ends(request).any(|end| end.worker == worker) {
            return;
        }
        if let Some(ended_worker) = self.workers.get_mut(&worker) {
            ended_worker.requests.remove(request);
            if ended_worker.requests.is_empty() {
                self.workers.remove(&worker);
            }
        }
    }

    fn forget_if_empty(&mut self, request: &Fingerprint) {
        if self.requests.get(request).is_some_and(Vec::is_empty) {
            self.requests.remove(request);
        }
    }

    /// The workers that are known to have ended.
    pub fn ended_workers(&self) -> impl Iterator<Item = WorkerKey> {
        self.workers.keys().copied()
    }

    /// The end of a worker is proved: gives its ends that were only suspected, as they are known from now on.
    pub fn mark_proved(
        &mut self,
        worker: WorkerKey,
        unix_ms: u64,
        now: Duration,
    ) -> Vec<(Fingerprint, WorkerEnd)> {
        let mut proved = self.ends_of(worker);
        proved.retain(|(_, end)| end.evidence < Evidence::Proved);
        for (request, end) in &mut proved {
            end.evidence = Evidence::Proved;
            self.record_end(*request, *end, unix_ms, now);
        }
        proved
    }

    /// What says that a worker has ended is no evidence any more, up to `evidence`: gives those of its ends, which
    /// are forgotten by that.
    pub fn refute(
        &mut self,
        worker: WorkerKey,
        evidence: Evidence,
    ) -> Vec<(Fingerprint, WorkerEnd)> {
        let mut refuted = self.ends_of(worker);
        refuted.retain(|(_, end)| end.evidence <= evidence);
        for (request, end) in &refuted {
            self.forget(request, worker, end.ended_unix_ms);
        }
        refuted
    }

    fn ends_of(&self, worker: WorkerKey) -> Vec<(Fingerprint, WorkerEnd)> {
        let Some(ended_worker) = self.workers.get(&worker) else {
            return Vec::new();
        };
        let requests = ended_worker.requests.iter();
        let ends = requests.flat_map(|request| {
            let ends = self.ends(request).filter(|end| end.worker == worker);
            ends.map(|end| (*request, end))
        });
        ends.collect()
    }

    /// A run of a request ended well: gives the ends that are forgotten by that.
    pub fn clear(&mut self, request: &Fingerprint) -> Vec<WorkerEnd> {
        let ends: Vec<WorkerEnd> = self.ends(request).collect();
        for end in &ends {
            self.forget(request, end.worker, end.ended_unix_ms);
        }
        ends
    }

    /// Forgets what has lapsed, and gives it.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<(Fingerprint, WorkerEnd)> {
        let all = self.requests.iter().flat_map(|(request, known)| {
            let lapsed = known.iter().filter(|known| known.lapses_at <= now);
            lapsed.map(|known| (*request, known.end))
        });
        let lapsed: Vec<_> = all.collect();
        for (request, end) in &lapsed {
            self.forget(request, end.worker, end.ended_unix_ms);
        }
        lapsed
    }

    /// Whether another request that ran on a worker as it ended has ended more workers than this one.
    fn is_explained(&self, request: &Fingerprint, worker: &WorkerKey, own_ends: usize) -> bool {
        let Some(ended_worker) = self.workers.get(worker) else {
            return false;
        };
        ended_worker.requests.iter().any(|other| {
            let ends = self
                .requests
                .get(other)
                .map_or(0, |known| lives(known).len());
            other != request && ends >= QUARANTINE_THRESHOLD && ends > own_ends
        })
    }

    /// When those ends of a request, in their order, lapse that count: of many that have another cause the
    /// first alone.
    fn moments(
        &self,
        request: &Fingerprint,
        ends: impl Iterator<Item = KnownEnd>,
    ) -> Vec<Duration> {
        let mut counting: Vec<KnownEnd> = Vec::new();
        for known in ends {
            let last = counting.last();
            let is_apart = last.is_none_or(|last| is_apart(&last.end, &known.end));
            if is_apart || !self.is_one_of_many(request, &known.end) {
                counting.push(known);
            }
        }
        counting.into_iter().map(|known| known.lapses_at).collect()
    }

    /// Whether many workers ended at the moment at which one did, of which enough did not run the request.
    fn is_one_of_many(&self, request: &Fingerprint, end: &WorkerEnd) -> bool {
        let ended_worker = self.workers.get(&end.worker);
        let own = ended_worker.map_or(end.ended_unix_ms, |ended_worker| ended_worker.ended_unix_ms);
        let moment = SIMULTANEITY_WINDOW.as_millis() as u64;
        let mut together = 0_u32;
        let mut ran_it = 0_u32;
        for other in self.workers.values() {
            if other.ended_unix_ms.abs_diff(own) < moment {
                together += 1;
                ran_it += u32::from(other.requests.contains(request));
            }
        }
        let share = f64::from(ran_it) / f64::from(together.max(1));
        together > MAX_COINCIDENT_ENDS && share < MIN_CAUSE_SHARE
    }

    fn forget_next_to_lapse(&mut self, kept: &Fingerprint) {
        let last_lapse = |known: &Vec<KnownEnd>| known.iter().map(|known| known.lapses_at).max();
        let next = self
            .requests
            .iter()
            .filter(|(request, _)| *request != kept)
            .min_by_key(|(_, known)| last_lapse(known));
        if let Some(request) = next.map(|(request, _)| *request) {
            self.clear(&request);
        }
    }
}

/// The ends in their order, one for each life: of one worker the later ones count whose request was sent after the one before
/// had ended, since what has ended runs nothing. A worker may start again under the name that it had.
fn lives(known: &[KnownEnd]) -> Vec<KnownEnd> {
    let mut sorted = known.to_vec();
    sorted.sort_by_key(|known| (known.end.ended_unix_ms, known.end.worker));
    let mut lives: Vec<KnownEnd> = Vec::with_capacity(sorted.len());
    for known in sorted {
        let mut before = lives.iter().rev();
        let last = before.find(|last| last.end.worker == known.end.worker);
        if last.is_none_or(|last| known.end.sent_unix_ms >= last.end.ended_unix_ms) {
            lives.push(known);
        }
    }
    lives
}

fn is_apart(earlier: &WorkerEnd, later: &WorkerEnd) -> bool {
    let began_after = later.sent_unix_ms >= earlier.ended_unix_ms;
    let between = Duration::from_millis(later.ended_unix_ms.saturating_sub(earlier.ended_unix_ms));
    began_after || between >= SIMULTANEITY_WINDOW
}
