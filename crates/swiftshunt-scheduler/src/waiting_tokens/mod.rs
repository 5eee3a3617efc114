//! Limits of the tokens of batch items that may wait on a route, kept by many gateways. Pure: time is given.
//!
//! One gateway counts for a limit. Which one, and how much of the limit is in whose hands, stands in a
//! [`Register`] that all gateways agree on. A gateway that begins to count admits only its share, which is
//! taken from the limit first, until it knows what stands ([`Counter`]).

pub mod counter;
pub mod outstanding;
pub mod register;

pub use counter::{AdmissionRequest, Change, Counter, Decision};
pub use outstanding::{OutstandingTokens, PartitionTokens};
pub use register::Register;

use std::time::Duration;

/// How long a gateway counts by a register that it has read: whoever takes over waits as long before it
/// believes that no other gateway counts.
pub const REGISTER_TTL: Duration = Duration::from_millis(2_500);
/// Time for which a gateway that counts may fail to read the register while it is asked, before another one is to
/// take over: a slow log answers within it.
pub const REGISTER_READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without a job after which what stands is asked for anew before one is admitted: jobs may have been taken
/// while the route had no limit, and others are over.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which the record of an admitted job stands, if its caller is told that it was taken: the longest
/// append and the way of the counter's answer.
pub const GRANT_LIFETIME: Duration = Duration::from_secs(3);
/// Time for which a job counts of which nobody told whether it was recorded: an append without an answer may be
/// done seconds after its last try.
pub const UNRESOLVED_GRANT_TTL: Duration = Duration::from_secs(10);
