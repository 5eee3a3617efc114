//! Whether a gateway is fit to hold leases of partitions. A renewal shows only that the gateway lives and reaches the
//! log, not that it can run the items of its partitions. Callers pass in the time.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::slots::WorkerKey;

/// Time without an answer, from the first of the sends that got none.
const UNANSWERED_TIME: Duration = Duration::from_secs(3);
/// Sends in a row without an answer. Where every second worker fails, one sequence of sends in 64 is as long.
const MIN_UNANSWERED_SENDS: u32 = 6;
/// Workers at which these sends failed, for services that have as many.
const MIN_UNANSWERED_WORKERS: usize = 4;
/// Age of the last failure from which a sequence of failures says nothing about the present. Workers at which sends failed
/// get no more for seconds, so that failures come in bursts.
const FAILURE_TTL: Duration = Duration::from_secs(10);
/// Time without an answer from which a gateway lets others try if none of those asked has sent anything to the service.
const UNCOMPARED_TIME: Duration = Duration::from_secs(15);
/// Time for which a gateway holds no leases after the first sequence of failures, and upper bound of that time, which
/// doubles with each further one.
const MIN_ABSENCE: Duration = Duration::from_secs(5);
const MAX_ABSENCE: Duration = Duration::from_secs(40);

/// The sends to the workers of a service since the last answer.
#[derive(Debug, Default)]
struct UnansweredSends {
    first_at: Duration,
    last_at: Duration,
    count: u32,
    workers: BTreeSet<WorkerKey>,
}

/// How well a gateway reaches the workers of a service.
#[derive(Debug, Default)]
pub struct ServiceReach {
    answered_at: Option<Duration>,
    unanswered: UnansweredSends,
}

impl ServiceReach {
    /// Records that a worker answered, also if it declined the request.
    pub fn record_answer(&mut self, now: Duration) {
        self.answered_at = Some(now);
        self.unanswered = UnansweredSends::default();
    }

    /// Records a send that a worker did not answer.
    pub fn record_failure(&mut self, worker: WorkerKey, now: Duration) {
        if now >= self.unanswered.last_at + FAILURE_TTL {
            self.unanswered = UnansweredSends::default();
        }
        let unanswered = &mut self.unanswered;
        if unanswered.count == 0 {
            unanswered.first_at = now;
        }
        unanswered.last_at = now;
        unanswered.count += 1;
        if unanswered.workers.len() < MIN_UNANSWERED_WORKERS {
            unanswered.workers.insert(worker);
        }
    }

    /// Whether no send has been answered for some time, at more than a few of the service's `ready` workers. Whether the
    /// cause is the gateway or the workers, only other gateways can tell.
    pub fn is_unanswered(&self, ready: usize, now: Duration) -> bool {
        let unanswered = &self.unanswered;
        unanswered.count >= MIN_UNANSWERED_SENDS
            && unanswered.workers.len() >= MIN_UNANSWERED_WORKERS.min(ready)
            && now >= unanswered.first_at + UNANSWERED_TIME
            && now < unanswered.last_at + FAILURE_TTL
    }

    /// Returns when a worker last answered; `None` before the first time.
    pub fn answered_at(&self) -> Option<Duration> {
        self.answered_at
    }

    /// Returns what other gateways are told.
    pub fn for_peers(&self, now: Duration) -> PeerReach {
        let has_failed = self.unanswered.count > 0;
        let answered_age = self.answered_at.map(|at| now.saturating_sub(at));
        let failed_age = has_failed.then(|| now.saturating_sub(self.unanswered.last_at));
        PeerReach {
            answered_age,
            failed_age,
        }
    }

    /// Whether the cause of the failures is this gateway, by what others observe at the same service: some of them got an
    /// answer lately, or none of them has tried and the failures go on.
    pub fn is_own_fault(&self, peers: &[PeerReach], now: Duration) -> bool {
        if peers.is_empty() || self.unanswered.count == 0 {
            return false;
        }
        let failing_for = now.saturating_sub(self.unanswered.first_at);
        let is_answered =
            |peer: &PeerReach| peer.answered_age.is_some_and(|age| age <= failing_for / 2);
        if peers.iter().any(is_answered) {
            return true;
        }
        let has_tried = |peer: &PeerReach| peer.failed_age.is_some();
        !peers.iter().any(has_tried) && failing_for >= UNCOMPARED_TIME
    }
}

/// How another gateway reaches the workers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerReach {
    /// Time since a worker last answered; `None` if none has.
    pub answered_age: Option<Duration>,
    /// Time since a send last got no answer; `None` if there was none since the last answer.
    pub failed_age: Option<Duration>,
}

/// Returns the time for which a gateway that reached no worker holds no leases; `earlier` counts the times since it last got
/// an answer while it held some.
pub fn absence_after(earlier: u32) -> Duration {
    let factor = 2_u32.saturating_pow(earlier);
    MIN_ABSENCE.saturating_mul(factor).min(MAX_ABSENCE)
}
