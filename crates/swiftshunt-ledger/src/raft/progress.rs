//! Replication progress of each follower, kept by the leader.

use swiftshunt_types::Monotonic;

use super::Index;

/// Replication progress of one follower.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    /// Index of the next entry to send.
    pub(super) next: Index,
    /// Highest index up to which the follower's log is known to match the leader's.
    pub(super) matched: Index,
    /// Time at which the newest acknowledged message was sent, on the leader's clock; `None` before
    /// the first acknowledgement.
    pub(super) last_acknowledged_send: Option<Monotonic>,
    /// Time at which the unacknowledged message was sent; `None` if there is none. Only one message
    /// with entries is outstanding at a time, so that further entries are sent in batches.
    pub(super) in_flight_since: Option<Monotonic>,
}

impl Progress {
    pub(super) fn starting_at(next: Index) -> Self {
        Self {
            next,
            matched: 0,
            last_acknowledged_send: None,
            in_flight_since: None,
        }
    }
}
