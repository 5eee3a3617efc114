//! Types shared by the swiftshunt crates: identifiers, digests, priorities, rate limits, machines and failures.

mod digest;
mod execution;
mod identifiers;
mod machines;
mod output;
mod priority;
mod rate;
mod tokens;

pub use digest::{Digest, token_digest};
pub use execution::{ErrorBody, ErrorEnvelope, ErrorKind, Execution, Failure};
pub use identifiers::{
    FileId, JobId, ModelName, NodeId, PartitionId, PoolName, RegionName, RequestId,
    SoftwareVersion, SubmissionId, TenantName, WorkerId, ZoneName, partition_of,
};
pub use machines::{Machine, MachineKind, MachineList, MachineState};
pub use output::OutputOrigin;
pub use priority::Priority;
pub use rate::RateLimit;
pub use tokens::total_tokens;

/// Time since the start of the process, on its monotonic clock.
///
/// Values of different processes must never be compared.
pub type Monotonic = std::time::Duration;
