//! Submissions: idempotent acceptance, execution by the partition's leader, results readable from every
//! node.

mod execution;
mod intake;

pub(crate) use execution::run_submission;
pub(crate) use intake::{SubmitRequest, find_accepted, read, submit};
