//! What a leader knows of each follower.

use swiftshunt_types::Monotonic;

use super::Index;

/// A leader's view of one follower.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    /// Next index to send.
    pub(super) next: Index,
    /// Highest index known to be the same.
    pub(super) matched: Index,
    /// When the message last answered was sent, on the leader's clock.
    pub(super) last_acknowledged_send: Option<Monotonic>,
    /// When an unanswered message was sent; one is outstanding at a time, so entries batch up.
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
