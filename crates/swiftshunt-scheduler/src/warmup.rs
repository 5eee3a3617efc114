//! Whether a worker bears its usual load yet.

use std::time::Duration;

/// Whether a worker bears its usual load. A cold one bears few requests a second and fails well above that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmupState {
    /// It does.
    Warm,
    /// It does not until then, on the own clock.
    ColdUntil(Duration),
    /// It may have started a moment ago: until its entry says, it is to be treated as cold.
    Unknown,
}
