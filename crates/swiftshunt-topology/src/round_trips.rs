//! Response timeouts from measured round trips. For each peer, the mean round trip and its deviation are estimated
//! as TCP does (RFC 6298). Each timeout doubles the next one until a response arrives.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

/// Weight of a new round trip in the moving average.
const MEAN_GAIN: f64 = 1.0 / 8.0;
/// Weight of a new deviation in the moving average of deviations.
const DEVIATION_GAIN: f64 = 1.0 / 4.0;
/// Number of deviations that the timeout adds to the mean round trip.
const DEVIATION_MULTIPLIER: f64 = 4.0;
/// Maximum number of doublings after consecutive timeouts.
const MAX_DOUBLINGS: u32 = 6;

/// Lower and upper bound of a response timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Shortest timeout. Timers fire late, and a peer that is busy for a moment has not failed.
    pub floor: Duration,
    /// Longest timeout. The waiting request needs the rest of its time for other attempts.
    pub ceiling: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    /// Mean round trip, in seconds.
    mean: f64,
    /// Mean deviation from `mean`, in seconds.
    deviation: f64,
    /// Consecutive timeouts, at most [`MAX_DOUBLINGS`].
    timeouts: u32,
}

impl Estimate {
    fn first(seconds: f64) -> Self {
        Self {
            mean: seconds,
            deviation: seconds / 2.0,
            timeouts: 0,
        }
    }

    fn observe(&mut self, seconds: f64) {
        let error = (self.mean - seconds).abs();
        self.deviation += DEVIATION_GAIN * (error - self.deviation);
        self.mean += MEAN_GAIN * (seconds - self.mean);
        self.timeouts = 0;
    }
}

/// Round-trip estimates of the peers, which are identified by `P`.
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
    /// Records a response of `peer` after `round_trip`, and ends the doubling of its timeout.
    pub fn observe(&mut self, peer: P, round_trip: Duration) {
        let seconds = round_trip.as_secs_f64();
        self.estimates
            .entry(peer)
            .and_modify(|estimate| estimate.observe(seconds))
            .or_insert_with(|| Estimate::first(seconds));
    }

    /// Records that `peer` did not respond in time. Has no effect before the first response of `peer`.
    pub fn record_timeout(&mut self, peer: &P) {
        if let Some(estimate) = self.estimates.get_mut(peer) {
            estimate.timeouts = (estimate.timeouts + 1).min(MAX_DOUBLINGS);
        }
    }

    /// The mean round trip to `peer`; `None` before its first response.
    pub fn mean(&self, peer: &P) -> Option<Duration> {
        let estimate = self.estimates.get(peer)?;
        Some(Duration::from_secs_f64(estimate.mean))
    }

    /// Returns how long to wait for a response of `peer`, within `bounds`. The expected time is `unobserved` before
    /// the first response of `peer`.
    pub fn response_timeout(&self, peer: &P, unobserved: Duration, bounds: Bounds) -> Duration {
        let expected = self.estimates.get(peer).map_or(unobserved, |estimate| {
            let expected = estimate.mean + DEVIATION_MULTIPLIER * estimate.deviation;
            Duration::from_secs_f64(expected) * 2_u32.pow(estimate.timeouts)
        });
        expected.clamp(bounds.floor, bounds.ceiling)
    }

    /// Removes the estimates of all peers for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&P) -> bool) {
        self.estimates.retain(|peer, _| keep(peer));
    }
}
