//! What must hold, each judged from a history alone.

mod answers;
mod batch;
mod configuration;
mod limits;
mod placement;
mod runs;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::history::History;

/// A promise.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// Each item of an accepted job has one result, whole, at one position, readable everywhere.
    #[display("exactly-once")]
    ExactlyOnce,
    /// A job that was ended starts nothing more.
    #[display("cancelled")]
    Cancelled,
    /// No stream waits for a slot while a batch item holds one.
    #[display("online-first")]
    OnlineFirst,
    /// A success is the worker's whole answer to that request.
    #[display("own-answer")]
    OwnAnswer,
    /// What was refused has not run.
    #[display("not-run")]
    NotRun,
    /// What may not be repeated ran once at most.
    #[display("at-most-once")]
    AtMostOnce,
    /// Every run is one that a caller asked for, on its path.
    #[display("asked-for")]
    AskedFor,
    /// A leaving worker gets nothing new.
    #[display("leaving")]
    #[serde(rename = "leaving")]
    Draining,
    /// A planned stop cuts nothing.
    #[display("planned-stop")]
    PlannedStop,
    /// A configuration is in force everywhere in time, and stays.
    #[display("configuration")]
    Configuration,
    /// A request gets its final answer in the time that it has.
    #[display("final-answer")]
    FinalAnswer,
    /// A request whose caller has left no longer runs.
    #[display("caller-left")]
    CallerLeft,
    /// No process ends without being told to.
    #[display("stays-up")]
    StaysUp,
    /// A cold worker gets no more requests in a second than it bears.
    #[display("cold")]
    Cold,
    /// Workers of an evacuated zone get nothing new.
    #[display("evacuated")]
    Evacuated,
    /// What is bound to regions is served there alone.
    #[display("residency")]
    Residency,
    /// No more waits on a batch route than its limit allows.
    #[display("waiting-limit")]
    #[serde(rename = "waiting-limit")]
    QueueLimit,
}

/// All promises.
pub const ALL: [Promise; 17] = [
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
    Promise::QueueLimit,
];

/// A word that names no promise.
#[derive(Clone, Debug, Display, Error)]
#[display("no promise is called {word}")]
pub struct UnknownPromise {
    word: String,
}

impl std::str::FromStr for Promise {
    type Err = UnknownPromise;

    fn from_str(word: &str) -> Result<Self, UnknownPromise> {
        let found = ALL.into_iter().find(|promise| promise.to_string() == word);
        found.ok_or_else(|| UnknownPromise {
            word: word.to_owned(),
        })
    }
}

/// A promise that was not kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// When, in milliseconds from the start of the round.
    pub at: u64,
    /// The request, job, item or worker.
    pub subject: String,
    /// What was seen.
    pub seen: String,
}

/// What became of one promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The promise.
    pub promise: Promise,
    /// Occasions on which it was checked.
    pub checked: usize,
    /// Where it was not kept.
    pub breaks: Vec<Violation>,
}

impl Verdict {
    fn new(promise: Promise) -> Self {
        Self {
            promise,
            checked: 0,
            breaks: Vec::new(),
        }
    }

    /// Counts an occasion; `seen` says what was wrong, if anything was.
    fn check(&mut self, at: u64, subject: &str, seen: Option<String>) {
        self.checked += 1;
        if let Some(seen) = seen {
            self.breaks.push(Violation {
                promise: self.promise,
                at,
                subject: subject.to_owned(),
                seen,
            });
        }
    }
}

/// Judges one promise.
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
        Promise::QueueLimit => limits::queue_limit(history, &mut verdict),
    }
    verdict
}
