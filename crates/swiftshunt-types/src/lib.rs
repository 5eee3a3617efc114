//! Identifiers, deadlines, priorities, outcomes and error kinds shared by every swiftshunt crate.

mod digest;
mod execution;
mod identifiers;
mod machines;
mod priority;
mod rate;
mod tokens;

pub use digest::{Digest, token_digest};
pub use execution::{ErrorBody, ErrorEnvelope, ErrorKind, Execution, Failure};
pub use identifiers::{
    FileId, JobId, ModelName, NodeId, PartitionId, PoolName, RegionName, RequestId, SubmissionId,
    TenantName, WorkerId, ZoneName, partition_of,
};
pub use machines::{Machine, MachineKind, MachineList, MachineState};
pub use priority::Priority;
pub use rate::RateLimit;
pub use tokens::total_tokens;

/// Time on the process's own monotonic clock, counted from the start of the process.
///
/// Never compared between machines.
pub type Monotonic = std::time::Duration;
