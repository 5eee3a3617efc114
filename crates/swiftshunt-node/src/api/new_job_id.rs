//! Identifiers of jobs to create, and what a failure to create a job under them may promise.

use swiftshunt_types::{ErrorKind, Failure, JobId};

use crate::context::random_u64;
use crate::ledger::{self, CallFailure};

/// The identifier of a job to create.
pub(crate) enum NewJobId {
    /// It was generated for this request.
    Generated(JobId),
    /// It follows from the caller's idempotency key, so that an earlier request may have created the job.
    Derived(JobId),
}

impl NewJobId {
    /// Generates a random identifier.
    pub(crate) fn generate() -> Self {
        Self::Generated(JobId(format!(
            "batch_{:016x}{:016x}",
            random_u64(),
            random_u64()
        )))
    }

    /// Returns the identifier.
    pub(super) fn id(&self) -> &JobId {
        match self {
            Self::Generated(id) | Self::Derived(id) => id,
        }
    }

    /// Converts a failed call that would have created the job to the failure that the caller receives.
    pub(super) fn to_failure(&self, failed: CallFailure) -> Failure {
        match self {
            Self::Generated(_) => ledger::to_failure_of_new(failed),
            Self::Derived(_) => ledger::to_failure(failed),
        }
    }

    /// Adjusts a refusal that precedes the creation: if the node or the log is unavailable, only the ledger
    /// knows whether an earlier request created the job.
    pub(super) fn refuse(&self, failure: Failure) -> Failure {
        match self {
            Self::Derived(_) if failure.kind == ErrorKind::Unavailable => {
                failure.with_unknown_execution()
            }
            Self::Derived(_) | Self::Generated(_) => failure,
        }
    }
}
