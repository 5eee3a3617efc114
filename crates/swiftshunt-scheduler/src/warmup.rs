//! Whether a worker is warm.

use std::time::Duration;

/// Whether a worker sustains its usual load. A cold worker sustains only a few requests per second
/// and fails well above that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmupState {
    /// The worker is warm.
    Warm,
    /// The worker is cold until this time on the own clock.
    ColdUntil(Duration),
    /// The worker may have started recently: it is treated as cold until its entry says whether it
    /// is.
    Unknown,
}
