//! Counts of the runs of the recent past, in all and for each prompt part.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Fingerprint;

/// Time within which ends of workers and good runs are compared.
pub const COMPARISON_WINDOW: Duration = Duration::from_secs(60);
/// Time after which a generation of counts is replaced. Two of them cover the window.
const GENERATION_TIME: Duration = Duration::from_secs(30);
/// Most parts that are counted in one generation; later ones count only for all runs. Each needs
/// some 40 bytes.
const MAX_PARTS: usize = 2_048;

/// Runs within [`COMPARISON_WINDOW`], as one gateway has seen them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCounts {
    /// Runs with the part that ended well.
    pub good: u32,
    /// Runs with the part whose worker ended.
    pub ended: u32,
    /// Total time of the runs with the part at their workers, in milliseconds.
    pub exposure_ms: u64,
    /// All runs whose worker ended.
    pub all_ended: u32,
    /// Total time of all runs at their workers, in milliseconds.
    pub all_exposure_ms: u64,
}

#[derive(Debug, Default)]
struct Generation {
    parts: HashMap<Fingerprint, PartRuns>,
    all: PartRuns,
}

#[derive(Clone, Copy, Debug, Default)]
struct PartRuns {
    good: u32,
    ended: u32,
    exposure: Duration,
}

impl PartRuns {
    fn plus(self, other: Self) -> Self {
        Self {
            good: self.good + other.good,
            ended: self.ended + other.ended,
            exposure: self.exposure + other.exposure,
        }
    }
}

impl Generation {
    /// Counts a run for all and for each of these parts.
    fn record(&mut self, parts: &[Fingerprint], count: impl Fn(&mut PartRuns)) {
        count(&mut self.all);
        for part in parts {
            if self.parts.len() < MAX_PARTS || self.parts.contains_key(part) {
                count(self.parts.entry(*part).or_default());
            }
        }
    }

    fn runs_of(&self, part: &Fingerprint) -> PartRuns {
        self.parts.get(part).copied().unwrap_or_default()
    }
}

/// Counts of recent runs.
#[derive(Debug, Default)]
pub struct RecentRuns {
    current: Generation,
    previous: Generation,
    /// When the current generation began.
    since: Duration,
}

impl RecentRuns {
    /// Counts the time that a run was at its worker, however it ended. `parts` are the shared parts of its prompt.
    pub fn record_exposure(&mut self, parts: &[Fingerprint], exposure: Duration, now: Duration) {
        self.rotate(now);
        self.current.record(parts, |runs| runs.exposure += exposure);
    }

    /// Counts a run that ended well.
    pub fn record_good(&mut self, parts: &[Fingerprint], now: Duration) {
        self.rotate(now);
        self.current.record(parts, |runs| runs.good += 1);
    }

    /// Counts a run whose worker ended.
    pub fn record_ended(&mut self, parts: &[Fingerprint], now: Duration) {
        self.rotate(now);
        self.current.record(parts, |runs| runs.ended += 1);
    }

    /// Returns the counts for a part.
    pub fn counts(&mut self, part: &Fingerprint, now: Duration) -> RunCounts {
        self.rotate(now);
        let (current, previous) = (&self.current, &self.previous);
        let of_part = current.runs_of(part).plus(previous.runs_of(part));
        let all = current.all.plus(previous.all);
        RunCounts {
            good: of_part.good,
            ended: of_part.ended,
            exposure_ms: of_part.exposure.as_millis() as u64,
            all_ended: all.ended,
            all_exposure_ms: all.exposure.as_millis() as u64,
        }
    }

    fn rotate(&mut self, now: Duration) {
        let age = now.saturating_sub(self.since);
        if age < GENERATION_TIME {
            return;
        }
        let last = std::mem::take(&mut self.current);
        self.previous = if age < COMPARISON_WINDOW {
            last
        } else {
            Generation::default()
        };
        self.since = now;
    }
}
