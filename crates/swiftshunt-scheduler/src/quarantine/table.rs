//! Table of the workers that ended while they ran a request or one with a part.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::parts::AccusedParts;
use super::proved_lives::{NextLife, ProvedLives};
use super::{
    COMPARISON_WINDOW, Evidence, Fingerprint, PART_THRESHOLD, QUARANTINE_THRESHOLD,
    QuarantineStatus, SIMULTANEITY_WINDOW, WorkerEnd,
};
use crate::slots::WorkerKey;

/// Most requests that are remembered: enough for those that a rack of 40 workers runs, 30 times
/// over. Each needs some 300 bytes.
const MAX_REQUESTS: usize = 8_192;
/// Most workers that end at one moment by chance. More have a common cause: a rack, or copies of
/// one request that arrived together.
const MAX_COINCIDENT_ENDS: u32 = 3;
/// Share of the workers that ended at one moment which must have run a request for it to be the
/// cause. The others may have ended by chance or run a second such request.
const MIN_CAUSE_SHARE: f64 = 0.75;
/// Most worker ends that are remembered for one request. All of them fit into a datagram.
const MAX_ENDS_PER_REQUEST: usize = 16;
/// Most worker ends that are remembered for one part: many requests with it may end many workers
/// within a moment, and the ends have to span several moments.
const MAX_ENDS_PER_PART: usize = 64;
/// Most ends of one worker that are remembered for one request. Many sends to a worker that has
/// ended must leave room for the ends of other workers.
const MAX_ENDS_PER_WORKER: usize = 6;
/// Most ends of one worker that are remembered for one part: many requests with it may run there.
const MAX_ENDS_PER_WORKER_OF_PART: usize = 1;

/// A recorded end and its expiry.
#[derive(Clone, Copy, Debug)]
struct KnownEnd {
    end: WorkerEnd,
    /// When the end is forgotten.
    expires_at: Duration,
    /// When the end no longer counts for a part that was not found harmful.
    compared_until: Duration,
}

/// A worker that has ended.
#[derive(Debug)]
struct EndedWorker {
    /// The earliest time at which its end was noticed, in milliseconds of Unix time.
    ended_unix_ms: u64,
    /// The requests that the worker ran when it ended.
    requests: BTreeSet<Fingerprint>,
}

/// Ends of workers by request and by prompt part.
#[derive(Debug, Default)]
pub struct Quarantine {
    requests: HashMap<Fingerprint, Vec<KnownEnd>>,
    workers: HashMap<WorkerKey, EndedWorker>,
    proved_lives: ProvedLives,
    pub(super) parts: AccusedParts,
}

impl Quarantine {
    /// Records the end of a worker while it ran a request. Returns whether the end is new or its
    /// evidence is stronger than before. `unix_ms` is the current Unix time: an end that is learnt
    /// late, from the log, expires at the same time as elsewhere. The end is recorded for the life
    /// that the request reached ([`Self::attribute`]).
    pub fn record_end(
        &mut self,
        request: Fingerprint,
        end: WorkerEnd,
        unix_ms: u64,
        now: Duration,
    ) -> bool {
        let end = self.attribute(end);
        let age = Duration::from_millis(unix_ms.saturating_sub(end.ended_unix_ms));
        let left = end.ttl().saturating_sub(age);
        let mut ends = self.requests.entry(request).or_default().iter_mut();
        if let Some(known) = ends.find(|known| known.end.is_same(&end)) {
            let is_stronger = end.evidence > known.end.evidence;
            if is_stronger {
                known.end.evidence = end.evidence;
                known.expires_at = now + left;
            }
            return is_stronger;
        }
        if left.is_zero() || !self.has_room_for(&request, &end) {
            self.forget_if_empty(&request);
            return false;
        }
        if self.requests.len() > MAX_REQUESTS {
            self.evict_next_to_expire(&request);
        }
        let known = KnownEnd {
            end,
            expires_at: now + left,
            compared_until: now + COMPARISON_WINDOW.saturating_sub(age),
        };
        self.requests.entry(request).or_default().push(known);
        if let Some(depth) = end.part {
            self.parts.accuse(request, depth);
        }
        let ended_worker = self.workers.entry(end.worker).or_insert(EndedWorker {
            ended_unix_ms: end.ended_unix_ms,
            requests: BTreeSet::new(),
        });
        ended_worker.ended_unix_ms = ended_worker.ended_unix_ms.min(end.ended_unix_ms);
        ended_worker.requests.insert(request);
        true
    }

    fn has_room_for(&self, request: &Fingerprint, end: &WorkerEnd) -> bool {
        let of_worker = self.ends(request).filter(|it| it.worker == end.worker);
        let (max_of_worker, max_ends) = match end.part {
            Some(_) => (MAX_ENDS_PER_WORKER_OF_PART, MAX_ENDS_PER_PART),
            None => (MAX_ENDS_PER_WORKER, MAX_ENDS_PER_REQUEST),
        };
        self.ends(request).count() < max_ends && of_worker.count() < max_of_worker
    }

    /// Returns the end as that of the life that the request reached, by the proofs that are known.
    pub fn attribute(&self, end: WorkerEnd) -> WorkerEnd {
        self.proved_lives.attribute(end)
    }

    /// Returns whether a request, or one with a part, may be sent.
    pub fn status(&self, request: &Fingerprint, now: Duration) -> QuarantineStatus {
        let Some(known) = self.requests.get(request) else {
            return QuarantineStatus::Allowed;
        };
        let part = self.parts.get(request);
        if part.is_some_and(|part| !part.is_harmful) {
            return QuarantineStatus::Allowed;
        }
        let known = self.one_end_per_life(known);
        let ends = known.len();
        let unexplained = known.into_iter().filter(|one| {
            let is_explained =
                || part.is_none() && self.is_explained(request, &one.end.worker, ends);
            one.expires_at > now && !is_explained()
        });
        let threshold = part.map_or(QUARANTINE_THRESHOLD, |_| PART_THRESHOLD);
        let counted = self.counted_ends(request, unexplained);
        let mut expiries: Vec<Duration> = counted.iter().map(|known| known.expires_at).collect();
        expiries.sort_unstable();
        // Quarantined until fewer ends than the threshold remain.
        let deciding_index = expiries.len().checked_sub(threshold);
        match deciding_index.and_then(|index| expiries.get(index)) {
            Some(until) => QuarantineStatus::Quarantined {
                ends,
                time_left: until.saturating_sub(now),
            },
            None => QuarantineStatus::Allowed,
        }
    }

    /// Returns the requests and parts that may not be sent now.
    pub(super) fn held(&self, now: Duration) -> Vec<Fingerprint> {
        let with_ends = self.requests.iter();
        let candidates = with_ends.filter(|(_, known)| known.len() >= QUARANTINE_THRESHOLD);
        candidates
            .map(|(request, _)| *request)
            .filter(|request| self.status(request, now) != QuarantineStatus::Allowed)
            .collect()
    }

    /// Returns the recent ends of workers that ran a part, in order of time, one for each life, and
    /// without those that ended together with many for another cause.
    pub(super) fn recent_ends(&self, part: &Fingerprint, now: Duration) -> Vec<WorkerEnd> {
        let known = self.requests.get(part).map_or(&[][..], Vec::as_slice);
        let known = self.one_end_per_life(known);
        let is_recent = |known: &KnownEnd| known.expires_at > now && known.compared_until > now;
        let counted = self.counted_ends(part, known.into_iter().filter(is_recent));
        counted.into_iter().map(|known| known.end).collect()
    }

    /// Returns whether no end is known.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns whether an end is known for a request.
    pub fn has_ends(&self, request: &Fingerprint) -> bool {
        self.requests.contains_key(request)
    }

    /// Returns the number of requests for which an end is known.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns the ends that are known for a request.
    pub fn ends(&self, request: &Fingerprint) -> impl Iterator<Item = WorkerEnd> {
        let known = self.requests.get(request).into_iter().flatten();
        known.map(|known| known.end)
    }

    /// Removes the end of a worker at `ended_unix_ms` from a request.
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
            self.parts.remove(request);
        }
    }

    /// Returns the workers that are known to have ended; a worker may come twice.
    pub fn ended_workers(&self) -> impl Iterator<Item = WorkerKey> {
        let proved = self.proved_lives.workers();
        self.workers.keys().copied().chain(proved)
    }

    /// Records that a worker's life has ended and that another one followed it. Removes and returns
    /// the ends of requests that were sent to a later life; they are to be recorded again.
    pub fn record_next_life(
        &mut self,
        worker: WorkerKey,
        next: NextLife,
        now: Duration,
    ) -> Vec<(Fingerprint, WorkerEnd)> {
        self.proved_lives.record(worker, Some(next), now);
        let mut ends = self.ends_of(worker);
        ends.retain(|(_, end)| self.attribute(*end).worker != worker);
        for (request, end) in &ends {
            self.forget(request, worker, end.ended_unix_ms);
        }
        ends
    }

    /// Records that a worker's life has ended, and marks all its ends as proved. Returns those that
    /// were only suspected, with their new evidence. From now on, all ends of a request that are
    /// recorded for this life count as one.
    pub fn mark_proved(
        &mut self,
        worker: WorkerKey,
        unix_ms: u64,
        now: Duration,
    ) -> Vec<(Fingerprint, WorkerEnd)> {
        self.proved_lives.record(worker, None, now);
        let mut proved = self.ends_of(worker);
        proved.retain(|(_, end)| end.evidence < Evidence::Proved);
        for (request, end) in &mut proved {
            end.evidence = Evidence::Proved;
            self.record_end(*request, *end, unix_ms, now);
        }
        proved
    }

    /// Removes the ends of a worker whose evidence is at most `evidence`, since it is refuted.
    /// Returns the removed ends.
    pub fn refute(
        &mut self,
        worker: WorkerKey,
        evidence: Evidence,
    ) -> Vec<(Fingerprint, WorkerEnd)> {
        if evidence == Evidence::Proved {
            self.proved_lives.forget(worker);
        }
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

    /// Removes all ends of a request after a run of it ended well. Returns the removed ends.
    pub fn clear(&mut self, request: &Fingerprint) -> Vec<WorkerEnd> {
        let ends: Vec<WorkerEnd> = self.ends(request).collect();
        for end in &ends {
            self.forget(request, end.worker, end.ended_unix_ms);
        }
        ends
    }

    /// Removes the expired ends. Returns those that the log may hold: of requests, and of parts that were found harmful.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<(Fingerprint, WorkerEnd)> {
        self.proved_lives.remove_expired(now);
        self.parts.remove_expired(now);
        let all = self.requests.iter().flat_map(|(request, known)| {
            let is_suspect = self.is_accused_part(request) && !self.is_harmful_part(request);
            let expired = known.iter().filter(move |known| {
                known.expires_at <= now || is_suspect && known.compared_until <= now
            });
            expired.map(move |known| (*request, known.end, is_suspect))
        });
        let expired: Vec<_> = all.collect();
        for (request, end, _) in &expired {
            self.forget(request, end.worker, end.ended_unix_ms);
        }
        let logged = expired.into_iter().filter(|(_, _, is_suspect)| !is_suspect);
        logged.map(|(request, end, _)| (request, end)).collect()
    }

    /// Returns whether another request that ran on the worker, or a harmful part, has ended enough
    /// workers to be quarantined, and more than this one.
    fn is_explained(
        &self,
        request: &Fingerprint,
        worker: &WorkerKey,
        ends_of_request: usize,
    ) -> bool {
        let Some(ended_worker) = self.workers.get(worker) else {
            return false;
        };
        ended_worker.requests.iter().any(|other| {
            let ends = self
                .requests
                .get(other)
                .map_or(0, |known| self.one_end_per_life(known).len());
            let may_explain = !self.is_accused_part(other) || self.is_harmful_part(other);
            other != request
                && may_explain
                && ends >= QUARANTINE_THRESHOLD
                && ends > ends_of_request
        })
    }

    /// Returns the ends in order of time, one for each life of a worker. All ends of a life that is
    /// proved to have ended are one. Without proof, a later end of a worker counts if the request
    /// was sent after the previous end, since a worker that has ended runs nothing: it has started
    /// again, and its next life is not known yet.
    fn one_end_per_life(&self, known: &[KnownEnd]) -> Vec<KnownEnd> {
        let mut sorted = known.to_vec();
        sorted.sort_by_key(|known| (known.end.ended_unix_ms, known.end.worker));
        let mut lives: Vec<KnownEnd> = Vec::with_capacity(sorted.len());
        for known in sorted {
            let end = &known.end;
            let mut before = lives.iter().rev();
            let last = before.find(|last| last.end.worker == end.worker);
            let is_another_life = last.is_none_or(|last| {
                !self.proved_lives.contains(end.worker)
                    && end.sent_unix_ms >= last.end.ended_unix_ms
            });
            if is_another_life {
                lives.push(known);
            }
        }
        lives
    }

    /// Returns the ends that count for a request. Of simultaneous ends with another cause, only the
    /// first counts.
    fn counted_ends(
        &self,
        request: &Fingerprint,
        ends: impl Iterator<Item = KnownEnd>,
    ) -> Vec<KnownEnd> {
        let mut counting: Vec<KnownEnd> = Vec::new();
        for known in ends {
            let last = counting.last();
            let is_separate = last.is_none_or(|last| is_separate(&last.end, &known.end));
            if is_separate || !self.has_other_cause(request, &known.end) {
                counting.push(known);
            }
        }
        counting
    }

    /// Returns whether many workers ended at the same moment as this one, of which too few ran the
    /// request for it to be the cause.
    fn has_other_cause(&self, request: &Fingerprint, end: &WorkerEnd) -> bool {
        let ended_worker = self.workers.get(&end.worker);
        let ended_unix_ms =
            ended_worker.map_or(end.ended_unix_ms, |ended_worker| ended_worker.ended_unix_ms);
        let window = SIMULTANEITY_WINDOW.as_millis() as u64;
        let mut simultaneous = 0_u32;
        let mut ran_request = 0_u32;
        for other in self.workers.values() {
            if other.ended_unix_ms.abs_diff(ended_unix_ms) < window {
                simultaneous += 1;
                ran_request += u32::from(other.requests.contains(request));
            }
        }
        let share = f64::from(ran_request) / f64::from(simultaneous.max(1));
        simultaneous > MAX_COINCIDENT_ENDS && share < MIN_CAUSE_SHARE
    }

    fn evict_next_to_expire(&mut self, kept: &Fingerprint) {
        let last_expiry = |known: &Vec<KnownEnd>| known.iter().map(|known| known.expires_at).max();
        let next = self
            .requests
            .iter()
            .filter(|(request, _)| *request != kept)
            .min_by_key(|(_, known)| last_expiry(known));
        if let Some(request) = next.map(|(request, _)| *request) {
            self.clear(&request);
        }
    }
}

fn is_separate(earlier: &WorkerEnd, later: &WorkerEnd) -> bool {
    let began_after = later.sent_unix_ms >= earlier.ended_unix_ms;
    let gap = Duration::from_millis(later.ended_unix_ms.saturating_sub(earlier.ended_unix_ms));
    began_after || gap >= SIMULTANEITY_WINDOW
}
