//! Journal of this node's decisions with their reasons, read by the statement `explain`.

use std::collections::VecDeque;
use std::sync::Mutex;

use serde::{Deserialize, Serialize};

use crate::clock::unix_seconds;
use crate::lock;

/// Number of decisions kept; the oldest are dropped first.
const CAPACITY: usize = 20_000;

/// A recorded decision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Decision {
    /// Time of the decision in seconds of Unix time, for display only.
    pub(crate) at: u64,
    /// Kind and identifier of what the decision is about, such as `submission ID`.
    pub(crate) subject: String,
    /// The decision as text for operators.
    pub(crate) decision: String,
    /// The reason as text for operators.
    pub(crate) reason: String,
}

/// The latest decisions of this node, up to [`CAPACITY`].
#[derive(Default)]
pub(crate) struct DecisionJournal {
    decisions: Mutex<VecDeque<Decision>>,
}

impl DecisionJournal {
    /// Records a decision and logs it at debug level.
    pub(crate) fn record(
        &self,
        subject: impl Into<String>,
        decision: impl Into<String>,
        reason: impl Into<String>,
    ) {
        let entry = Decision {
            at: unix_seconds(),
            subject: subject.into(),
            decision: decision.into(),
            reason: reason.into(),
        };
        log::debug!(subject = entry.subject.as_str(), reason = entry.reason.as_str(); "{}", entry.decision);
        let mut decisions = lock(&self.decisions);
        if decisions.len() == CAPACITY {
            decisions.pop_front();
        }
        decisions.push_back(entry);
    }

    /// Returns the kept decisions about `subject`, oldest first.
    pub(crate) fn about(&self, subject: &str) -> Vec<Decision> {
        let decisions = lock(&self.decisions);
        let about = decisions.iter().filter(|entry| entry.subject == subject);
        about.cloned().collect()
    }
}
