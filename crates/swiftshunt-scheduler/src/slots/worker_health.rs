//! Tracks workers to which sends failed recently, by the failures that all gateways of a cell
//! report.
//!
//! With hundreds of gateways, each of them sends to a given worker only once in minutes. If each
//! had to find out for itself that a worker resets or refuses connections, each would lose a
//! request to it.

use std::collections::HashMap;
use std::time::Duration;

use super::WorkerKey;

/// Time for which nothing is sent to a worker after its first failure: some tens of a cell's
/// requests end within it. It doubles with each further failure.
const FIRST_FAILING_PERIOD: Duration = Duration::from_millis(400);
/// Time after the first failure during which only requests that may be repeated are sent to the
/// worker: a worker that fails on and off loses those that may not. It doubles likewise.
const FIRST_DEGRADED_PERIOD: Duration = Duration::from_millis(1_200);
/// Most doublings. They give 3.2 s without requests, after which the directory has removed a dead
/// worker.
const MAX_DOUBLINGS: u32 = 3;
/// Share of failed requests from which a worker is avoided. A worker that loses one request in
/// twenty still serves the others, and a service of a dozen workers cannot do without half of them
/// when answers get lost.
const FAILING_SHARE: f64 = 0.3;
/// Time in which the weight of a send or a failure halves.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Time without a failure after which earlier failures are forgotten.
const FAILURE_TTL: Duration = Duration::from_secs(10);

/// Health of a worker, which decides what may be sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WorkerHealth {
    /// Any request may be sent.
    Healthy,
    /// Only requests that may be repeated are sent, batch items among them.
    Degraded,
    /// No request is sent.
    Failing,
}

impl WorkerHealth {
    /// Returns whether a request avoids the worker as long as there is another one.
    pub fn should_avoid(self, may_repeat: bool) -> bool {
        match self {
            Self::Healthy => false,
            Self::Degraded => !may_repeat,
            Self::Failing => true,
        }
    }
}

/// Number of times in a row that a worker was marked as failing, and the time of the last one.
#[derive(Clone, Copy, Debug)]
struct FailureStreak {
    times: u32,
    at: Duration,
}

impl FailureStreak {
    fn ends_at(self, first_period: Duration) -> Duration {
        self.at + first_period * 2_u32.pow((self.times - 1).min(MAX_DOUBLINGS))
    }
}

/// Recent sends to a worker and failures there; the weight of each decays with its age.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sent: f64,
    failed: f64,
    at: Duration,
}

impl Tally {
    fn aged(self, now: Duration) -> Self {
        let age = now.saturating_sub(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let weight = 0.5_f64.powf(age);
        Self {
            sent: self.sent * weight,
            failed: self.failed * weight,
            at: now,
        }
    }

    fn failing_share(self) -> f64 {
        if self.failed > 0.0 {
            self.failed / self.sent.max(self.failed)
        } else {
            0.0
        }
    }
}

/// Failures and recent sends of a cell's workers.
#[derive(Debug, Default)]
pub(super) struct FailureTracker {
    streaks: HashMap<WorkerKey, FailureStreak>,
    tallies: HashMap<WorkerKey, Tally>,
}

impl FailureTracker {
    /// Records that a request or an item was sent to a worker.
    pub(super) fn record_send(&mut self, worker: WorkerKey, now: Duration) {
        let tally = self.tallies.entry(worker).or_default();
        *tally = tally.aged(now);
        tally.sent += 1.0;
    }

    /// Records a failure. Returns whether it marks the worker as failing.
    pub(super) fn record_failure(&mut self, worker: WorkerKey, now: Duration) -> bool {
        self.expire(now);
        let tally = self.tallies.entry(worker).or_default();
        *tally = tally.aged(now);
        tally.failed += 1.0;
        let is_above_share = tally.failing_share() >= FAILING_SHARE;
        // While nothing is sent to the worker, the failures are of requests that were there before.
        if !is_above_share || self.health(worker, now) == WorkerHealth::Failing {
            return false;
        }
        let before = self.streaks.get(&worker).map_or(0, |it| it.times);
        let streak = FailureStreak {
            times: before + 1,
            at: now,
        };
        self.streaks.insert(worker, streak);
        true
    }

    /// Returns the health of a worker.
    pub(super) fn health(&self, worker: WorkerKey, now: Duration) -> WorkerHealth {
        match self.streaks.get(&worker) {
            Some(streak) if now < streak.ends_at(FIRST_FAILING_PERIOD) => WorkerHealth::Failing,
            Some(streak) if now < streak.ends_at(FIRST_DEGRADED_PERIOD) => WorkerHealth::Degraded,
            _ => WorkerHealth::Healthy,
        }
    }

    /// Removes failures and sends older than `FAILURE_TTL`.
    pub(super) fn expire(&mut self, now: Duration) {
        self.streaks
            .retain(|_, streak| now < streak.at + FAILURE_TTL);
        self.tallies.retain(|_, tally| now < tally.at + FAILURE_TTL);
    }
}
