//! Submissions: each is accepted once and completed once.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use swiftshunt_types::{Digest, PoolName, SubmissionId, TenantName, WorkerId};

/// Identifier of one dispatch of a submission to a worker, drawn at random by the proposing node.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DispatchId(pub u64);

/// The parameters of a submission when it is accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewSubmission {
    /// Identifier, derived from the tenant and the idempotency key.
    pub id: SubmissionId,
    /// The tenant that owns the submission.
    pub tenant: TenantName,
    /// The pool whose workers run the submission.
    pub pool: PoolName,
    /// Digest of the request; two requests with the same identifier are the same if it is equal.
    pub digest: Digest,
    /// The request body that the worker receives.
    pub body: String,
    /// Whether the submission may be sent more than once, always under the same idempotency key.
    pub repeatable: bool,
}

/// A committed dispatch of a submission to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Identifier of the dispatch.
    pub id: DispatchId,
    /// The worker that receives the submission.
    pub worker: WorkerId,
    /// Number of dispatches that this one supersedes, directly or through others; 0 for the first.
    pub attempt: u32,
}

/// The final result of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmissionResult {
    /// The worker answered.
    Answered {
        /// HTTP status of the worker's response.
        status: u16,
        /// Body of the worker's response.
        body: String,
    },
    /// The submission was sent, may have run, and must not be sent again.
    OutcomeUnknown,
    /// The submission was accepted but is known never to have run.
    NotRun {
        /// Description of the cause.
        reason: String,
    },
}

/// The status of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmissionStatus {
    /// Accepted; no dispatch is in force.
    Accepted,
    /// A dispatch is committed; only its proposer and the worker know whether it was sent.
    Dispatched(Dispatch),
    /// Ended with the recorded result.
    Completed(SubmissionResult),
}

/// A submission as recorded in the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The parameters as accepted.
    pub request: NewSubmission,
    /// The current status.
    pub status: SubmissionStatus,
}

/// The outcome of [`Command::AcceptSubmission`](super::Command::AcceptSubmission).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcceptOutcome {
    /// The submission was accepted by this command.
    New,
    /// The same request had been accepted before; nothing changed.
    Existing,
    /// The idempotency key belongs to another request.
    KeyReused,
}

/// The outcome of [`Command::DispatchSubmission`](super::Command::DispatchSubmission).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DispatchOutcome {
    /// The proposer, and no other node, may send the submission.
    Granted(Dispatch),
    /// The submission's current status, given here, does not permit the dispatch; the proposer must
    /// not send the submission.
    Refused(SubmissionStatus),
    /// The submission does not exist.
    NotFound,
}

impl Submission {
    /// Whether a result is recorded.
    pub fn has_ended(&self) -> bool {
        matches!(self.status, SubmissionStatus::Completed(_))
    }

    pub(super) fn dispatch(
        &mut self,
        id: DispatchId,
        worker: &WorkerId,
        supersedes: Option<DispatchId>,
    ) -> DispatchOutcome {
        let attempt = match (&self.status, supersedes) {
            (SubmissionStatus::Accepted, None) => 0,
            (SubmissionStatus::Dispatched(current), Some(superseded))
                if self.request.repeatable && current.id == superseded =>
            {
                current.attempt + 1
            }
            _ => return DispatchOutcome::Refused(self.status.clone()),
        };
        let dispatch = Dispatch {
            id,
            worker: worker.clone(),
            attempt,
        };
        self.status = SubmissionStatus::Dispatched(dispatch.clone());
        DispatchOutcome::Granted(dispatch)
    }

    /// Revokes the dispatch `id`. Returns `false` if it was not in force.
    pub(super) fn release(&mut self, id: DispatchId) -> bool {
        let in_force =
            matches!(&self.status, SubmissionStatus::Dispatched(current) if current.id == id);
        if in_force {
            self.status = SubmissionStatus::Accepted;
        }
        in_force
    }

    /// Records `result` unless a result is recorded already; returns the recorded result.
    pub(super) fn complete(&mut self, result: &SubmissionResult) -> SubmissionResult {
        if let SubmissionStatus::Completed(first) = &self.status {
            return first.clone();
        }
        self.status = SubmissionStatus::Completed(result.clone());
        result.clone()
    }
}
