//! Workers at which sends have failed of late, by what all gateways of a cell saw.
//!
//! At hundreds of gateways each sends to a given worker once in minutes. If each found out for itself
//! that a worker resets its connections or takes none, each would lose a request to it.

use std::collections::HashMap;
use std::time::Duration;

use super::WorkerKey;

/// Time for which nothing is sent to a worker after a first failure: some tens of requests of a cell
/// end in it. Doubled with each failure that follows.
const FIRST_FAILING_PERIOD: Duration = Duration::from_millis(400);
/// Time after a first failure in which only what may run again is sent to the worker: a worker that
/// comes and goes loses what may not. Doubled likewise.
const FIRST_DEGRADED_PERIOD: Duration = Duration::from_millis(1_200);
/// Doublings at most: 3.2 s without requests, after which the directory has dropped a dead worker.
const MAX_DOUBLINGS: u32 = 3;
/// Share of a worker's requests that fail from which it is left: one that loses a request in twenty
/// still serves the others, and a service of a dozen workers cannot do without half of them (days of
/// lost answers).
const FAILING_SHARE: f64 = 0.3;
/// Time in which what was sent, and what of it failed, counts half.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Time without a failure after which earlier ones are forgotten.
const FAILURE_TTL: Duration = Duration::from_secs(10);

/// What may be sent to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WorkerHealth {
    /// Anything.
    Healthy,
    /// What may run again, batch items among it.
    Degraded,
    /// Nothing.
    Failing,
}

impl WorkerHealth {
    /// Whether a request is kept away from the worker as long as there is another one.
    pub fn should_avoid(self, may_repeat: bool) -> bool {
        match self {
            Self::Healthy => false,
            Self::Degraded => !may_repeat,
            Self::Failing => true,
        }
    }
}

/// Times at which a worker was left, in a row.
#[derive(Clone, Copy, Debug)]
struct FailureStreak {
    times: u32,
    at: Duration,
}

impl FailureStreak {
    fn ends_at(self, first: Duration) -> Duration {
        self.at + first * 2_u32.pow((self.times - 1).min(MAX_DOUBLINGS))
    }
}

/// What of late was sent to a worker and failed, each request counting less as it ages.
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

/// The workers of a cell that fail.
#[derive(Debug, Default)]
pub(super) struct FailureTracker {
    workers: HashMap<WorkerKey, FailureStreak>,
    tallies: HashMap<WorkerKey, Tally>,
}

impl FailureTracker {
    /// Records that a request or an item was sent to a worker.
    pub(super) fn record_send(&mut self, worker: WorkerKey, now: Duration) {
        let tally = self.tallies.entry(worker).or_default();
        *tally = tally.aged(now);
        tally.sent += 1.0;
    }

    /// Records a failure; tells whether the worker is left for it from now on.
    pub(super) fn record_failure(&mut self, worker: WorkerKey, now: Duration) -> bool {
        self.expire(now);
        let tally = self.tallies.entry(worker).or_default();
        *tally = tally.aged(now);
        tally.failed += 1.0;
        let fails_much = tally.failing_share() >= FAILING_SHARE;
        // While nothing is sent, requests fail that were there already.
        if !fails_much || self.health(worker, now) == WorkerHealth::Failing {
            return false;
        }
        let before = self.workers.get(&worker).map_or(0, |it| it.times);
        let streak = FailureStreak {
            times: before + 1,
            at: now,
        };
        self.workers.insert(worker, streak);
        true
    }

    /// What may be sent to a worker.
    pub(super) fn health(&self, worker: WorkerKey, now: Duration) -> WorkerHealth {
        match self.workers.get(&worker) {
            Some(streak) if now < streak.ends_at(FIRST_FAILING_PERIOD) => WorkerHealth::Failing,
            Some(streak) if now < streak.ends_at(FIRST_DEGRADED_PERIOD) => WorkerHealth::Degraded,
            _ => WorkerHealth::Healthy,
        }
    }

    /// Forgets what is long ago.
    pub(super) fn expire(&mut self, now: Duration) {
        self.workers
            .retain(|_, streak| now < streak.at + FAILURE_TTL);
        self.tallies.retain(|_, tally| now < tally.at + FAILURE_TTL);
    }
}
