//! Prompt parts that end workers: a cause that requests share which are alike in nothing else.
//!
//! Each end of a worker accuses all parts of the requests that it ran, sound ones as well. A part is
//! found harmful if workers end more often while they run requests with it than can be chance, and if
//! no smaller explanation covers these ends:
//!
//! - The measure is the time at workers: the longer the runs with a part take, the more ends they meet
//!   by chance. While many other runs end as well, as in an outage of a service, it takes more ends to
//!   single out a part.
//! - Workers that end at one moment count once: a rack, or a crowd that meets one. While workers end
//!   faster than that, other runs meet as many ends. What remains is that the part is there at nearly
//!   each life that ends, of which a few at a moment are compared.
//! - A life that a part already held has ended counts for no other part, nor do those of the one held
//!   request that explains most. The part whose runs meet ends at the highest rate is taken first; among
//!   equals, the one further behind in the prompt, which fewer requests share.
//! - A part whose runs end well more often than they end workers is not held, and is acquitted if it
//!   was.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::table::Quarantine;
use super::{COMPARISON_WINDOW, Fingerprint, RunCounts, WorkerEnd};
use crate::slots::WorkerKey;

/// Number of moments at which workers ended from which a part can be found harmful. One more than for
/// a request, which explains its ends if it is sent again and again.
pub const PART_THRESHOLD: usize = 4;
/// Ends within this time of each other count as one moment for a part.
const MOMENT: Duration = Duration::from_millis(100);
/// Most lives of workers that are compared of those that ended at one moment.
const MAX_LIVES_AT_MOMENT: usize = 3;
/// Probability below which the ends of a part are no chance.
const MAX_CHANCE: f64 = 1e-4;
/// Time at workers that is assumed beside the known one, so that few known runs prove little.
const ASSUMED_EXPOSURE_SECONDS: f64 = 10.0;
/// Ended runs that are assumed beside the known ones.
const ASSUMED_ENDED_RUNS: f64 = 1.0;
/// Time for which an acquitted part is not held again. Records of its ends that are on their way to
/// the log arrive within it.
const ACQUITTAL_TTL: Duration = Duration::from_secs(60);

/// What is known of a part with ends.
#[derive(Debug)]
pub(super) struct AccusedPart {
    /// Position in the prompt, from 0.
    depth: u8,
    /// Its recent runs by the gateway that saw them.
    runs: HashMap<SocketAddr, RunCounts>,
    pub(super) is_harmful: bool,
}

/// All runs that a gateway has seen.
#[derive(Clone, Copy, Debug)]
struct Totals {
    ended: u32,
    exposure_ms: u64,
    at: Duration,
}

/// The parts with ends, and the runs with which they are compared.
#[derive(Debug, Default)]
pub(super) struct AccusedParts {
    parts: HashMap<Fingerprint, AccusedPart>,
    totals: HashMap<SocketAddr, Totals>,
    /// Until when parts that were acquitted are not held.
    acquitted: HashMap<Fingerprint, Duration>,
}

impl AccusedParts {
    pub(super) fn accuse(&mut self, part: Fingerprint, depth: u8) {
        self.parts.entry(part).or_insert_with(|| AccusedPart {
            depth,
            runs: HashMap::new(),
            is_harmful: false,
        });
    }

    pub(super) fn get(&self, part: &Fingerprint) -> Option<&AccusedPart> {
        self.parts.get(part)
    }

    pub(super) fn remove(&mut self, part: &Fingerprint) {
        self.parts.remove(part);
    }

    pub(super) fn remove_expired(&mut self, now: Duration) {
        self.acquitted.retain(|_, until| now < *until);
        self.totals
            .retain(|_, totals| now < totals.at + COMPARISON_WINDOW);
    }

    /// Returns the ended runs that gateways have told recently, and the seconds of all runs at workers.
    fn totals(&self, now: Duration) -> (f64, f64) {
        let recent = self
            .totals
            .values()
            .filter(|totals| now < totals.at + COMPARISON_WINDOW);
        recent.fold((0.0, 0.0), |(ended, seconds), totals| {
            let more_seconds = totals.exposure_ms as f64 / 1_000.0;
            (ended + f64::from(totals.ended), seconds + more_seconds)
        })
    }
}

impl AccusedPart {
    fn good_runs(&self) -> usize {
        let runs = self.runs.values().map(|counts| counts.good as usize);
        runs.sum()
    }

    fn ended_runs(&self) -> f64 {
        self.runs
            .values()
            .map(|counts| f64::from(counts.ended))
            .sum()
    }

    fn exposure_seconds(&self) -> f64 {
        let milliseconds = self.runs.values().map(|counts| counts.exposure_ms as f64);
        milliseconds.sum::<f64>() / 1_000.0
    }
}

/// A part that may be found harmful.
struct Candidate {
    part: Fingerprint,
    depth: u8,
    /// The ends of workers that ran it, in order of time, one for each life.
    ends: Vec<WorkerEnd>,
    good_runs: usize,
    /// Time of its runs at workers.
    seconds: f64,
    /// Number of its runs that meet an end by chance, as often as other runs do.
    expected_ends: f64,
    /// Whether it is there where workers end, by moments.
    at_moments: Presence,
    /// The same by lives of workers, of which a few are compared at each moment.
    at_lives: Presence,
}

/// How often a part is there where workers end, and how often it would be by chance.
#[derive(Clone, Copy, Debug)]
struct Presence {
    present: usize,
    all: usize,
    /// Probability that one of its runs is among those that end together, by its share of the time at workers.
    probability: f64,
}

impl Presence {
    /// Returns the presence of a part that has the share `share` of the time at workers, where `ended_runs` ended in
    /// `ends` groups.
    fn new(present: usize, all: usize, ended_runs: f64, ends: usize, share: f64) -> Self {
        let runs = ended_runs / ends.max(1) as f64;
        Self {
            present,
            all,
            probability: 1.0 - (-runs * share).exp(),
        }
    }

    /// Returns an upper bound of the probability that the part is there as often by chance.
    fn chance(self) -> f64 {
        chance_of_presence(self.present, self.all, self.probability)
    }
}

impl Candidate {
    /// Returns how often workers end while they run it.
    fn ends_per_second(&self) -> f64 {
        count_moments(&self.ends) as f64 / self.seconds
    }

    /// Whether it explains the ends better: a part that sound requests share as well has a lower rate.
    fn is_before(&self, other: &Self) -> bool {
        let (own, others) = (self.ends_per_second(), other.ends_per_second());
        own > others || own >= others && self.depth > other.depth
    }

    /// Whether ends of workers at `moments` are too many for a sound part.
    fn is_harmful(&self, moments: usize) -> bool {
        moments >= PART_THRESHOLD && moments >= self.good_runs && self.chance(moments) <= MAX_CHANCE
    }

    /// Returns the probability that ends at `moments` are chance: that so many are met at all, or, where
    /// most runs meet an end, that it is there at so many of them.
    fn chance(&self, moments: usize) -> f64 {
        let at_moments = Presence {
            present: moments,
            all: self.at_moments.all.max(moments),
            ..self.at_moments
        };
        let is_met = chance(moments, self.expected_ends);
        is_met.min(at_moments.chance()).min(self.at_lives.chance())
    }
}

/// Returns an upper bound of the probability that `ends` or more occur where `expected` do on average,
/// by Chernoff's inequality for a Poisson distribution.
fn chance(ends: usize, expected: f64) -> f64 {
    let ends = ends as f64;
    if ends <= expected {
        return 1.0;
    }
    (ends - expected - ends * (ends / expected).ln()).exp()
}

/// Returns an upper bound of the probability that something is there at `present` or more of `all`
/// moments, where it is there with the probability `probability`, by Chernoff's inequality.
fn chance_of_presence(present: usize, all: usize, probability: f64) -> f64 {
    let share = present as f64 / all as f64;
    if share <= probability {
        return 1.0;
    }
    let term = |observed: f64, expected: f64| {
        if observed > 0.0 {
            observed * (observed / expected).ln()
        } else {
            0.0
        }
    };
    let divergence = term(share, probability) + term(1.0 - share, 1.0 - probability);
    (-(all as f64) * divergence).exp()
}

/// Returns the time for which the workers that ended had the runs, in seconds.
fn run_seconds(ends: &[WorkerEnd]) -> f64 {
    let milliseconds = ends
        .iter()
        .map(|end| end.ended_unix_ms.saturating_sub(end.sent_unix_ms).max(1) as f64);
    milliseconds.sum::<f64>() / 1_000.0
}

/// Returns the number of moments at which workers ended, by their ends in order of time.
fn count_moments<'e>(ends: impl IntoIterator<Item = &'e WorkerEnd>) -> usize {
    let ends: Vec<WorkerEnd> = ends.into_iter().copied().collect();
    moments(&ends).len()
}

/// Returns how many lives of workers a part is compared by that ended at `ends`, and by how many of `all_ends`, in order
/// of time: at most [`MAX_LIVES_AT_MOMENT`] of each moment, among which the part has its share of the moment's lives.
fn compared_lives(ends: &[WorkerEnd], all_ends: &[WorkerEnd]) -> (usize, usize) {
    let with_part: HashSet<WorkerKey> = ends.iter().map(|end| end.worker).collect();
    let mut compared = (0, 0);
    for moment in moments(all_ends) {
        let lives = moment.len().min(MAX_LIVES_AT_MOMENT);
        let present = moment.iter().filter(|end| with_part.contains(&end.worker));
        compared.0 += lives * present.count() / moment.len();
        compared.1 += lives;
    }
    compared
}

/// Splits ends in order of time into those of each moment.
fn moments(ends: &[WorkerEnd]) -> Vec<&[WorkerEnd]> {
    let mut moments = Vec::new();
    let mut rest = ends;
    while let Some(first) = rest.first() {
        let until = first.ended_unix_ms + MOMENT.as_millis() as u64;
        let (moment, later) = rest.split_at(rest.partition_point(|end| end.ended_unix_ms < until));
        moments.push(moment);
        rest = later;
    }
    moments
}

impl Quarantine {
    /// Returns whether ends are known that accuse the part.
    pub fn is_accused_part(&self, part: &Fingerprint) -> bool {
        self.parts.get(part).is_some()
    }

    /// Returns whether the part was found harmful.
    pub fn is_harmful_part(&self, part: &Fingerprint) -> bool {
        self.parts.get(part).is_some_and(|part| part.is_harmful)
    }

    /// Returns the parts with enough ends to be found harmful.
    pub fn suspected_parts(&self) -> Vec<Fingerprint> {
        let accused = self.parts.parts.keys().copied();
        accused
            .filter(|part| self.ends(part).count() >= PART_THRESHOLD)
            .collect()
    }

    /// Records the runs that a gateway has counted for a part with ends. Counts that are told again
    /// replace the earlier ones.
    pub fn record_runs(
        &mut self,
        part: &Fingerprint,
        gateway: SocketAddr,
        counts: RunCounts,
        now: Duration,
    ) {
        let totals = Totals {
            ended: counts.all_ended,
            exposure_ms: counts.all_exposure_ms,
            at: now,
        };
        self.parts.totals.insert(gateway, totals);
        if let Some(part) = self.parts.parts.get_mut(part) {
            part.runs.insert(gateway, counts);
        }
    }

    /// Marks a part as harmful that another gateway has found to be, unless it was acquitted since.
    /// Returns whether it was not known to be.
    pub fn mark_harmful(&mut self, part: &Fingerprint, now: Duration) -> bool {
        if self.was_acquitted(part, now) {
            return false;
        }
        let Some(part) = self.parts.parts.get_mut(part) else {
            return false;
        };
        !std::mem::replace(&mut part.is_harmful, true)
    }

    /// Finds the parts that explain ends of workers which nothing explains yet. Marks them as harmful
    /// and returns them.
    pub fn find_harmful_parts(&mut self, now: Duration) -> Vec<Fingerprint> {
        let mut candidates = self.candidates(now);
        if candidates.is_empty() {
            return Vec::new();
        }
        let (held_parts, held_requests): (Vec<_>, Vec<_>) = self
            .held(now)
            .into_iter()
            .partition(|held| self.is_accused_part(held));
        let held_requests: Vec<HashSet<WorkerKey>> = held_requests
            .iter()
            .map(|request| self.lives(request))
            .collect();
        let mut explained: HashSet<WorkerKey> = held_parts
            .iter()
            .flat_map(|part| self.lives(part))
            .collect();
        let mut found = Vec::new();
        while let Some(candidate) = take_first(&mut candidates) {
            let unexplained = candidate.ends.iter();
            let unexplained: Vec<WorkerEnd> = unexplained
                .filter(|end| !explained.contains(&end.worker))
                .copied()
                .collect();
            let beside_any_request = held_requests.iter().map(|lives| {
                let ends = unexplained.iter();
                count_moments(ends.filter(|end| !lives.contains(&end.worker)))
            });
            let moments = beside_any_request
                .min()
                .unwrap_or_else(|| count_moments(&unexplained));
            if candidate.is_harmful(moments) && self.mark_harmful(&candidate.part, now) {
                explained.extend(candidate.ends.iter().map(|end| end.worker));
                found.push(candidate.part);
            }
        }
        found
    }

    /// Returns whether a part is held although more of its runs ended well than ended workers.
    pub fn is_innocent(&self, part: &Fingerprint, now: Duration) -> bool {
        let Some(accused) = self.parts.get(part) else {
            return false;
        };
        accused.is_harmful && accused.good_runs() > count_moments(&self.recent_ends(part, now))
    }

    /// Frees a part, and removes and returns its ends. It is not held again for some time.
    pub fn acquit(&mut self, part: &Fingerprint, now: Duration) -> Vec<WorkerEnd> {
        self.parts.acquitted.insert(*part, now + ACQUITTAL_TTL);
        self.clear(part)
    }

    /// Returns whether the part was acquitted recently.
    pub fn was_acquitted(&self, part: &Fingerprint, now: Duration) -> bool {
        let until = self.parts.acquitted.get(part);
        until.is_some_and(|until| now < *until)
    }

    fn candidates(&self, now: Duration) -> Vec<Candidate> {
        let (ended, seconds) = self.parts.totals(now);
        let all_ends = self.ends_of_parts();
        let all_moments = count_moments(&all_ends);
        let accused = self.parts.parts.iter();
        let candidates = accused.filter_map(|(part, accused)| {
            if accused.is_harmful || self.ends(part).count() < PART_THRESHOLD {
                return None;
            }
            let ends = self.recent_ends(part, now);
            let own_seconds = accused.exposure_seconds().max(run_seconds(&ends));
            let other_ended = (ended - accused.ended_runs()).max(0.0) + ASSUMED_ENDED_RUNS;
            let other_seconds = (seconds - own_seconds).max(0.0) + ASSUMED_EXPOSURE_SECONDS;
            let share = own_seconds / seconds.max(own_seconds);
            let moments = count_moments(&ends);
            let (lives, all_lives) = compared_lives(&ends, &all_ends);
            Some(Candidate {
                part: *part,
                depth: accused.depth,
                ends,
                good_runs: accused.good_runs(),
                seconds: own_seconds,
                expected_ends: other_ended / other_seconds * own_seconds,
                at_moments: Presence::new(moments, all_moments, ended, all_moments, share),
                at_lives: Presence::new(lives, all_lives, ended, all_ends.len(), share),
            })
        });
        candidates.collect()
    }

    /// Returns the ends of workers that ran requests with any part, one for each life, in order of time.
    fn ends_of_parts(&self) -> Vec<WorkerEnd> {
        let parts = self.parts.parts.keys();
        let mut ends: Vec<WorkerEnd> = parts.flat_map(|part| self.ends(part)).collect();
        ends.sort_unstable_by_key(|end| end.ended_unix_ms);
        let mut lives = HashSet::new();
        ends.retain(|end| lives.insert(end.worker));
        ends
    }

    /// Returns the lives that ended while they ran a request or one with a part.
    fn lives(&self, request: &Fingerprint) -> HashSet<WorkerKey> {
        self.ends(request).map(|end| end.worker).collect()
    }
}

fn take_first(candidates: &mut Vec<Candidate>) -> Option<Candidate> {
    let mut first = 0;
    for index in 1..candidates.len() {
        if candidates[index].is_before(&candidates[first]) {
            first = index;
        }
    }
    (!candidates.is_empty()).then(|| candidates.swap_remove(first))
}
