//! Batch jobs as a fold over the records of a journal partition, without I/O.
//!
//! The first valid record of each kind takes effect, and later ones change nothing: the first acceptance of a
//! job, the first result of an item, the first end of a job. The position of a result in its job's list is the
//! order in which the first results were recorded, so every node lists the same results at the same positions.

mod fold;
mod record;

pub use fold::{Effect, Job, JobFold, Page};
pub use record::{
    FailedRun, ItemOutcome, ItemSpec, JobRecord, JobSpec, Progress, Settled, qualified_job_id,
};
