//! Commands of the state machine and their outcomes.

use derive_more::From;
use serde::{Deserialize, Serialize};
use swiftshunt_types::{JobId, PoolName, SubmissionId, WorkerId};

use super::{
    AcceptOutcome, CancelOutcome, DispatchId, DispatchOutcome, JobOutcome, NewJob, NewSubmission,
    PoolCommand, PoolOutcome, SubmissionResult,
};

/// A command that a leader proposes for the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Accept a submission.
    AcceptSubmission(NewSubmission),
    /// Dispatch a submission to a worker. Committed before any byte is sent to the worker.
    DispatchSubmission {
        /// The submission to dispatch.
        submission: SubmissionId,
        /// Identifier of this dispatch.
        dispatch: DispatchId,
        /// The worker that receives the submission.
        worker: WorkerId,
        /// The dispatch in force that this one replaces; `None` for the first dispatch.
        supersedes: Option<DispatchId>,
    },
    /// Revoke a dispatch. Only the node that proposed the dispatch may revoke it, and only if it
    /// wrote no byte to the worker or the worker confirmed that the submission never started.
    ReleaseSubmission {
        /// The dispatched submission.
        submission: SubmissionId,
        /// The dispatch to revoke.
        dispatch: DispatchId,
    },
    /// Record the result of a submission. The first recorded result is final.
    CompleteSubmission {
        /// The submission that ended.
        submission: SubmissionId,
        /// The result to record unless one is recorded already.
        result: SubmissionResult,
    },
    /// Create a batch job.
    CreateJob(NewJob),
    /// Record items whose results have been written to the job's output stream.
    CompleteItems {
        /// The job that the items belong to.
        job: JobId,
        /// Indices of the completed items.
        items: Vec<u32>,
    },
    /// Cancel a job.
    CancelJob {
        /// The job to cancel.
        job: JobId,
        /// Who requested the cancellation.
        by: String,
    },
    /// Change the declarations or load orders of a pool.
    Pool {
        /// The pool to change.
        pool: PoolName,
        /// The change to apply to the pool's state.
        change: PoolCommand,
    },
    /// Change the deadline of a running job.
    SetJobDeadline {
        /// The job to change.
        job: JobId,
        /// The new deadline, in seconds of Unix time.
        deadline: u64,
        /// Who requested the change.
        by: String,
    },
}

/// The outcome of a command, the same on every replica.
#[derive(Clone, Debug, From, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Outcome of [`Command::AcceptSubmission`].
    Accept(AcceptOutcome),
    /// Outcome of [`Command::DispatchSubmission`].
    Dispatch(DispatchOutcome),
    /// Outcome of [`Command::ReleaseSubmission`]: whether the dispatch was in force and is revoked.
    Release(bool),
    /// Outcome of [`Command::CompleteSubmission`]: the recorded result, which may be an earlier one;
    /// `None` if the submission does not exist.
    Complete(Option<SubmissionResult>),
    /// Outcome of [`Command::CreateJob`], [`Command::CompleteItems`] and
    /// [`Command::SetJobDeadline`].
    Job(JobOutcome),
    /// Outcome of [`Command::CancelJob`].
    Cancel(CancelOutcome),
    /// Outcome of [`Command::Pool`].
    Pool(PoolOutcome),
}
