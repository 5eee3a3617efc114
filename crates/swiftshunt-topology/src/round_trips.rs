//! How long the answers of other processes take, and how long one is waited for: an estimate of the round trip
//! and of its deviation for each, as TCP keeps them (RFC 6298), and twice the time after each answer that did not
//! come, until one does.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

/// Weight of a new round trip in the mean.
const MEAN_GAIN: f64 = 1.0 / 8.0;
/// Weight of a new deviation in the mean deviation.
const DEVIATION_GAIN: f64 = 1.0 / 4.0;
/// Deviations beyond the mean for which an answer is waited for.
const DEVIATION_MULTIPLIER: f64 = 4.0;
/// Doublings at most after answers that did not come.
const MAX_DOUBLINGS: u32 = 6;

/// Within which bounds an answer is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// At least this long: timers are late, and a peer that is busy for a moment is there all the same.
    pub floor: Duration,
    /// At most this long: whoever waits has a use for the time left.
    pub ceiling: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: f64,
    deviation: f64,
    /// Answers in a row that did not come in time.
    misses: u32,
}

impl Estimate {
    fn first(seconds: f64) -> Self {
        Self {
            mean: seconds,
            deviation: seconds / 2.0,
            misses: 0,
        }
    }

    fn observe(&mut self, seconds: f64) {
        let error = (self.mean - seconds).abs();
        self.deviation += DEVIATION_GAIN * (error - self.deviation);
        self.mean += MEAN_GAIN * (seconds - self.mean);
        self.misses = 0;
    }
}

/// Round trips to other processes, by their names.
#[derive(Debug)]
pub struct RoundTrips<P> {
    estimates: HashMap<P, Estimate>,
}

impl<P> Default for RoundTrips<P> {
    fn default() -> Self {
        Self {
            estimates: HashMap::new(),
        }
    }
}

impl<P: Eq + Hash> RoundTrips<P> {
    /// Records that an answer of `peer` came after `took`.
    pub fn observe(&mut self, peer: P, took: Duration) {
        let seconds = took.as_secs_f64();
        self.estimates
            .entry(peer)
            .and_modify(|estimate| estimate.observe(seconds))
            .or_insert_with(|| Estimate::first(seconds));
    }

    /// Records that an answer of `peer` did not come in time.
    pub fn record_timeout(&mut self, peer: &P) {
        if let Some(estimate) = self.estimates.get_mut(peer) {
            estimate.misses = (estimate.misses + 1).min(MAX_DOUBLINGS);
        }
    }

    /// The round trip to `peer` in the mean, if any was observed.
    pub fn mean(&self, peer: &P) -> Option<Duration> {
        let estimate = self.estimates.get(peer)?;
        Some(Duration::from_secs_f64(estimate.mean))
    }

    /// How long an answer of `peer` is waited for; `unobserved` where there was none yet.
    pub fn response_timeout(&self, peer: &P, unobserved: Duration, bounds: Bounds) -> Duration {
        let expected = self.estimates.get(peer).map_or(unobserved, |estimate| {
            let expected = estimate.mean + DEVIATION_MULTIPLIER * estimate.deviation;
            Duration::from_secs_f64(expected) * 2_u32.pow(estimate.misses)
        });
        expected.clamp(bounds.floor, bounds.ceiling)
    }

    /// Forgets those that are no longer there.
    pub fn retain(&mut self, is_there: impl Fn(&P) -> bool) {
        self.estimates.retain(|peer, _| is_there(peer));
    }
}
