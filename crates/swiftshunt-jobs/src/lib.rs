//! Batch jobs as a fold over the records of a journal partition, without I/O.
//!
//! At each point the first valid record wins: the first acceptance of a job, the first result of an
//! item, the first end. The position of a result is the order of first result records, so every
//! node lists the same results at the same positions.

mod fold;
mod record;

pub use fold::{Effect, Job, JobFold, Page};
pub use record::{ItemOutcome, ItemSpec, JobRecord, JobSpec, Progress, Settled, qualified_job_id};
