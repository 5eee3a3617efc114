//! The state that a partition replicates: submissions, batch jobs and pools, and the commands on
//! them.
//!
//! Invariants, which hold on every replica because `apply` is deterministic:
//! - a submission has at most one recorded result, which never changes;
//! - a submission that is not repeatable has no second dispatch, except after a release revoked the
//!   first one;
//! - a repeatable submission is dispatched again only by naming the dispatch that is superseded;
//! - an item of a job is recorded as completed at most once, and never after the job's cancellation.

mod bitmap;
mod command;
mod job;
mod machine;
mod pool;
mod submission;

pub use bitmap::ItemBitmap;
pub use command::{Command, Outcome};
pub use job::{CancelOutcome, Job, JobOutcome, JobStatus, NewJob};
pub use machine::LedgerState;
pub use pool::{Event, Order, OrderStatus, PoolCommand, PoolOutcome, PoolState, Target, pool_key};
pub use submission::{
    AcceptOutcome, Dispatch, DispatchId, DispatchOutcome, NewSubmission, Submission,
    SubmissionResult, SubmissionStatus,
};
