//! Prompt parts that end workers: a cause that requests share which are alike in nothing else.
//!
//! Each end of a worker accuses all parts of the requests that it ran, sound ones as well. A part is
//! found harmful if its runs end with their workers far more often than other runs do, and if no
//! smaller explanation covers these ends:
//!
//! - A life that a part already held has ended counts for no other part, nor do those of the one
//!   held request that explains most. The part whose runs end most often is taken first; among
//!   equals, the one with more ends, then the one further behind in the prompt, which fewer requests
//!   share.
//! - The rest of the runs is the measure. While many of them end as well, as in an outage of a whole
//!   service, it takes many more ends to single out a part.
//! - Good runs count against it, before and after the first end. A part whose runs end well more
//!   often than not is acquitted.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::table::Quarantine;
use super::{COMPARISON_WINDOW, Fingerprint, RunCounts};
use crate::slots::WorkerKey;

/// Number of workers' lives from which a part can be found harmful. One more than for a request,
/// which explains its ends if it is sent again and again.
pub const PART_THRESHOLD: usize = 4;
/// Least share of a harmful part's runs that end their workers.
const MIN_HARMFUL_SHARE: f64 = 0.5;
/// Probability with which the runs of a sound part may end as often by chance.
const CHANCE: f64 = 1e-3;
/// Good runs that are assumed beside those that are known, so that few known runs prove little.
const ASSUMED_GOOD_RUNS: f64 = 10.0;
/// Ended runs that are assumed beside those that are known.
const ASSUMED_ENDED_RUNS: f64 = 1.0;

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
    good: u32,
    ended: u32,
    at: Duration,
}

/// The parts with ends, and the runs with which they are compared.
#[derive(Debug, Default)]
pub(super) struct AccusedParts {
    parts: HashMap<Fingerprint, AccusedPart>,
    totals: HashMap<SocketAddr, Totals>,
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

    /// Returns the good and the ended runs that gateways have told recently.
    fn totals(&self, now: Duration) -> (f64, f64) {
        let recent = self
            .totals
            .values()
            .filter(|totals| now < totals.at + COMPARISON_WINDOW);
        recent.fold((0.0, 0.0), |(good, ended), totals| {
            (
                good + f64::from(totals.good),
                ended + f64::from(totals.ended),
            )
        })
    }
}

impl AccusedPart {
    fn good_runs(&self) -> f64 {
        sum(self.runs.values().map(|counts| counts.good))
    }

    fn ended_runs(&self) -> f64 {
        sum(self.runs.values().map(|counts| counts.ended))
    }
}

fn sum(counts: impl Iterator<Item = u32>) -> f64 {
    counts.map(f64::from).sum()
}

/// A part that may be found harmful.
struct Candidate {
    part: Fingerprint,
    depth: u8,
    /// The lives that ended while they ran it.
    lives: HashSet<WorkerKey>,
    share: f64,
    /// The share of other runs whose workers ended.
    other_share: f64,
}

impl Candidate {
    fn is_before(&self, other: &Self) -> bool {
        let own = (self.share, self.lives.len(), self.depth);
        own > (other.share, other.lives.len(), other.depth)
    }

    /// Whether `ends` of its runs are too many for a sound part.
    fn is_harmful(&self, ends: usize) -> bool {
        ends >= PART_THRESHOLD
            && self.share >= MIN_HARMFUL_SHARE
            && chance(ends as f64, self.share, self.other_share) <= CHANCE
    }
}

/// Returns an upper bound of the probability that `ends` or more of a part's runs end by chance, by
/// Chernoff's inequality: `ends` are the share `share` of the runs, and each ends with the
/// probability `other_share`.
fn chance(ends: f64, share: f64, other_share: f64) -> f64 {
    if share <= other_share {
        return 1.0;
    }
    let runs = ends / share;
    let term = |observed: f64, expected: f64| {
        if observed > 0.0 {
            observed * (observed / expected).ln()
        } else {
            0.0
        }
    };
    let divergence = term(share, other_share) + term(1.0 - share, 1.0 - other_share);
    (-runs * divergence).exp()
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

    /// Records the runs that a gateway has counted for a part with ends. Counts that are told again replace the earlier
    /// ones.
    pub fn record_runs(
        &mut self,
        part: &Fingerprint,
        gateway: SocketAddr,
        counts: RunCounts,
        now: Duration,
    ) {
        let totals = Totals {
            good: counts.all_good,
            ended: counts.all_ended,
            at: now,
        };
        self.parts.totals.insert(gateway, totals);
        if let Some(part) = self.parts.parts.get_mut(part) {
            part.runs.insert(gateway, counts);
        }
    }

    /// Marks a part as harmful that another gateway has found to be. Returns whether it was not known to be.
    pub fn mark_harmful(&mut self, part: &Fingerprint) -> bool {
        let Some(part) = self.parts.parts.get_mut(part) else {
            return false;
        };
        !std::mem::replace(&mut part.is_harmful, true)
    }

    /// Finds the parts that explain ends of workers which nothing explains yet. Marks them as harmful and returns them.
    pub fn find_harmful_parts(&mut self, now: Duration) -> Vec<Fingerprint> {
        let mut candidates = self.candidates(now);
        if candidates.is_empty() {
            return Vec::new();
        }
        let (held_parts, held_requests): (Vec<_>, Vec<_>) = self
            .held(now)
            .into_iter()
            .partition(|held| self.is_accused_part(held));
        let mut explained: HashSet<WorkerKey> = held_parts
            .iter()
            .flat_map(|part| self.lives(part))
            .collect();
        let mut found = Vec::new();
        while let Some(candidate) = take_first(&mut candidates) {
            let unexplained: HashSet<WorkerKey> =
                candidate.lives.difference(&explained).copied().collect();
            let of_one_request = held_requests.iter().map(|request| {
                let lives = self.lives(request);
                lives.filter(|life| unexplained.contains(life)).count()
            });
            let of_one_request = of_one_request.max().unwrap_or(0);
            if !candidate.is_harmful(unexplained.len() - of_one_request) {
                continue;
            }
            self.mark_harmful(&candidate.part);
            explained.extend(&candidate.lives);
            found.push(candidate.part);
        }
        found
    }

    /// Returns whether a harmful part is harmful no longer, since more of its runs ended well than ended workers.
    pub fn is_acquitted(&self, part: &Fingerprint, now: Duration) -> bool {
        let Some(accused) = self.parts.get(part) else {
            return false;
        };
        let lives = self.recent_lives(part, now).len() as f64;
        accused.is_harmful && accused.good_runs() > lives / MIN_HARMFUL_SHARE - lives
    }

    fn candidates(&self, now: Duration) -> Vec<Candidate> {
        let (good, ended) = self.parts.totals(now);
        let accused = self.parts.parts.iter();
        let candidates = accused.filter_map(|(part, accused)| {
            if accused.is_harmful || self.ends(part).count() < PART_THRESHOLD {
                return None;
            }
            let lives = self.recent_lives(part, now);
            let own_good = accused.good_runs();
            let own_ended = accused.ended_runs();
            let other_good = (good - own_good).max(0.0) + ASSUMED_GOOD_RUNS;
            let other_ended = (ended - own_ended).max(0.0) + ASSUMED_ENDED_RUNS;
            let own_lives = lives.len() as f64;
            Some(Candidate {
                part: *part,
                depth: accused.depth,
                share: own_lives / (own_lives + own_good),
                other_share: other_ended / (other_ended + other_good),
                lives,
            })
        });
        candidates.collect()
    }

    /// Returns the lives that ended while they ran a request or one with a part, each once.
    fn lives(&self, request: &Fingerprint) -> impl Iterator<Item = WorkerKey> {
        let lives: HashSet<WorkerKey> = self.ends(request).map(|end| end.worker).collect();
        lives.into_iter()
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
