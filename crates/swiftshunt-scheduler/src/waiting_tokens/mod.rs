//! Limits on the tokens of batch items that may wait on a route, enforced across gateways. This
//! module does no I/O; callers pass the time.
//!
//! For each limit one gateway is the counter. Which gateway that is, and how the limit is divided,
//! is recorded in a [`Register`] that all gateways agree on. A gateway that becomes the counter
//! admits only its share, which is set aside from the limit first, until it knows all outstanding
//! tokens ([`Counter`]).

pub mod counter;
pub mod outstanding;
pub mod register;

pub use counter::{AdmissionRequest, Change, Counter, Decision};
pub use outstanding::{OutstandingTokens, PartitionTokens};
pub use register::Register;

use std::time::Duration;

/// Time for which a counter may rely on its last read of the register. A gateway that takes over
/// waits as long before it assumes that no other gateway counts.
pub const REGISTER_TTL: Duration = Duration::from_millis(2_500);
/// Time for which the counter may fail to read the register while jobs ask for admission, before
/// another gateway is to take over. A slow log answers within it.
pub const REGISTER_READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without a job after which the outstanding tokens must be reported anew before a job is
/// admitted: jobs may have been accepted while the route had no limit, and others have ended.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which an admitted job is recorded if its caller is told that it was accepted: the
/// longest append and the transfer of the counter's answer.
pub const GRANT_LIFETIME: Duration = Duration::from_secs(3);
/// Time for which a job counts if no gateway confirmed whether it was recorded: an append without
/// an answer may still take effect seconds after its last try.
pub const UNRESOLVED_GRANT_TTL: Duration = Duration::from_secs(10);
