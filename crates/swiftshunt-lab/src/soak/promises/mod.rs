//! The promises of the system, each checked from the history of a round alone.

mod answers;
mod batch;
mod configuration;
mod idle_items;
mod limits;
mod placement;
mod runs;
mod streams;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::history::History;

/// A promise that the system makes to callers or operators. The displayed name is also the value of `--only`.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// Each item of an accepted job gets exactly one complete result at one position, readable at every gateway.
    #[display("exactly-once")]
    ExactlyOnce,
    /// No item of a job starts after the cancellation of the job has taken effect.
    #[display("cancelled")]
    Cancelled,
    /// No stream waits for long for a slot while a batch item holds one.
    #[display("online-first")]
    OnlineFirst,
    /// A response with a success status has the complete, signed output of a worker for that request.
    #[display("own-answer")]
    OwnAnswer,
    /// A request with a refusal status has not run.
    #[display("not-run")]
    NotRun,
    /// A request that must not be retried runs at most once.
    #[display("at-most-once")]
    AtMostOnce,
    /// Every run belongs to a request or item that was sent, and has its path.
    #[display("asked-for")]
    AskedFor,
    /// A draining worker gets no new requests.
    #[display("leaving")]
    #[serde(rename = "leaving")]
    Draining,
    /// A planned stop of a gateway interrupts no request.
    #[display("planned-stop")]
    PlannedStop,
    /// A configuration is in force at every gateway in time and is never reverted.
    #[display("configuration")]
    Configuration,
    /// A request gets its final response before its deadline.
    #[display("final-answer")]
    FinalAnswer,
    /// A request is aborted at its worker if its caller has closed the connection.
    #[display("caller-left")]
    CallerLeft,
    /// No gateway process exits without a signal to do so.
    #[display("stays-up")]
    StaysUp,
    /// A cold worker gets no more requests per second than its limit allows.
    #[display("cold")]
    Cold,
    /// Workers in an evacuated zone get no new requests.
    #[display("evacuated")]
    Evacuated,
    /// Requests of a route with allowed regions run only in these regions.
    #[display("residency")]
    Residency,
    /// The unfinished items of accepted jobs hold no more tokens than the waiting limit of their batch route.
    #[display("waiting-limit")]
    WaitingLimit,
    /// An item of an accepted job does not stay idle while workers are free.
    #[display("idle-items")]
    IdleItems,
    /// Each event of a stream that is taken up comes once and in order.
    #[display("stream-order")]
    StreamOrder,
}

/// All promises.
pub const ALL: [Promise; 19] = [
    Promise::ExactlyOnce,
    Promise::Cancelled,
    Promise::OnlineFirst,
    Promise::OwnAnswer,
    Promise::NotRun,
    Promise::AtMostOnce,
    Promise::AskedFor,
    Promise::Draining,
    Promise::PlannedStop,
    Promise::Configuration,
    Promise::FinalAnswer,
    Promise::CallerLeft,
    Promise::StaysUp,
    Promise::Cold,
    Promise::Evacuated,
    Promise::Residency,
    Promise::WaitingLimit,
    Promise::IdleItems,
    Promise::StreamOrder,
];

/// The error for a name that is not the name of a promise.
#[derive(Clone, Debug, Display, Error)]
#[display("there is no promise with the name `{name}`")]
pub struct UnknownPromise {
    name: String,
}

impl std::str::FromStr for Promise {
    type Err = UnknownPromise;

    fn from_str(name: &str) -> Result<Self, UnknownPromise> {
        let found = ALL.into_iter().find(|promise| promise.to_string() == name);
        found.ok_or_else(|| UnknownPromise {
            name: name.to_owned(),
        })
    }
}

/// An observation that contradicts a promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// The broken promise.
    pub promise: Promise,
    /// Time in milliseconds since the start of the round.
    pub at: u64,
    /// Identifier of the request, job, item, worker or gateway, possibly followed by a space and details.
    pub subject: String,
    /// Description of the observation.
    pub seen: String,
}

/// The result of the check of a promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The checked promise.
    pub promise: Promise,
    /// Number of observations that were checked.
    pub checked: usize,
    /// Observations that contradict the promise.
    #[serde(rename = "breaks")]
    pub violations: Vec<Violation>,
}

impl Verdict {
    fn new(promise: Promise) -> Self {
        Self {
            promise,
            checked: 0,
            violations: Vec::new(),
        }
    }

    /// Counts an observation at the time `at`, in milliseconds since the start of the round; `seen` describes the
    /// violation, if there is one.
    fn check(&mut self, at: u64, subject: &str, seen: Option<String>) {
        self.checked += 1;
        if let Some(seen) = seen {
            self.violations.push(Violation {
                promise: self.promise,
                at,
                subject: subject.to_owned(),
                seen,
            });
        }
    }
}

/// Checks one promise against a history.
pub fn judge(promise: Promise, history: &History) -> Verdict {
    let mut verdict = Verdict::new(promise);
    match promise {
        Promise::ExactlyOnce => batch::exactly_once(history, &mut verdict),
        Promise::Cancelled => batch::cancelled(history, &mut verdict),
        Promise::OnlineFirst => runs::online_first(history, &mut verdict),
        Promise::OwnAnswer => answers::own_answer(history, &mut verdict),
        Promise::NotRun => runs::not_run(history, &mut verdict),
        Promise::AtMostOnce => runs::at_most_once(history, &mut verdict),
        Promise::AskedFor => runs::asked_for(history, &mut verdict),
        Promise::Draining => runs::draining(history, &mut verdict),
        Promise::PlannedStop => answers::planned_stop(history, &mut verdict),
        Promise::Configuration => configuration::configuration(history, &mut verdict),
        Promise::FinalAnswer => answers::final_answer(history, &mut verdict),
        Promise::CallerLeft => runs::caller_left(history, &mut verdict),
        Promise::StaysUp => configuration::stays_up(history, &mut verdict),
        Promise::Cold => placement::cold(history, &mut verdict),
        Promise::Evacuated => placement::evacuated(history, &mut verdict),
        Promise::Residency => placement::residency(history, &mut verdict),
        Promise::WaitingLimit => limits::waiting_limit(history, &mut verdict),
        Promise::IdleItems => idle_items::idle_items(history, &mut verdict),
        Promise::StreamOrder => streams::stream_order(history, &mut verdict),
    }
    verdict
}
