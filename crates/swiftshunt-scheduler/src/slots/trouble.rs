//! Workers at which sends have failed of late, by what all gateways of a cell saw.
//!
//! At hundreds of gateways each sends to a given worker once in minutes. If each found out for itself
//! that a worker resets its connections or takes none, each would lose a request to it.

use std::collections::HashMap;
use std::time::Duration;

use super::WorkerKey;

/// Time for which nothing is sent to a worker after a first failure: some tens of requests of a cell
/// end in it. Doubled with each failure that follows.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Time after a first failure in which only what may run again is sent to the worker: a worker that
/// comes and goes loses what may not. Doubled likewise.
const FIRST_DOUBT: Duration = Duration::from_millis(1_200);
/// Doublings at most: 3.2 s without requests, after which the directory has dropped a dead worker.
const MOST_DOUBLINGS: u32 = 3;
/// Time without a failure after which earlier ones are forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(10);

/// What may be sent to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Anything.
    Sound,
    /// What may run again, batch items among it.
    Doubtful,
    /// Nothing.
    Failing,
}

impl Standing {
    /// Whether a request is kept away from the worker as long as there is another one.
    pub fn keeps_away(self, may_repeat: bool) -> bool {
        match self {
            Self::Sound => false,
            Self::Doubtful => !may_repeat,
            Self::Failing => true,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Trouble {
    /// Failures so far, not counting those that came while nothing was sent.
    failures: u32,
    at: Duration,
}

impl Trouble {
    fn lasts(self, first: Duration) -> Duration {
        self.at + first * 2_u32.pow((self.failures - 1).min(MOST_DOUBLINGS))
    }
}

/// The workers of a cell that fail.
#[derive(Debug, Default)]
pub(super) struct Troubles {
    workers: HashMap<WorkerKey, Trouble>,
}

impl Troubles {
    /// Records a failure; tells whether it is news, and not one more request that was there already.
    pub(super) fn failed(&mut self, worker: WorkerKey, now: Duration) -> bool {
        if self.standing(worker, now) == Standing::Failing {
            return false;
        }
        self.expire(now);
        let before = self.workers.get(&worker).map_or(0, |it| it.failures);
        let trouble = Trouble {
            failures: before + 1,
            at: now,
        };
        self.workers.insert(worker, trouble);
        true
    }

    /// What may be sent to a worker.
    pub(super) fn standing(&self, worker: WorkerKey, now: Duration) -> Standing {
        match self.workers.get(&worker) {
            Some(trouble) if now < trouble.lasts(FIRST_PAUSE) => Standing::Failing,
            Some(trouble) if now < trouble.lasts(FIRST_DOUBT) => Standing::Doubtful,
            _ => Standing::Sound,
        }
    }

    /// Forgets what is long ago.
    pub(super) fn expire(&mut self, now: Duration) {
        self.workers
            .retain(|_, trouble| now < trouble.at + FORGOTTEN_AFTER);
    }
}
