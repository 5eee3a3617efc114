//! Evidence that a worker has ended.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{PROVED_END_TTL, SUSPECTED_END_TTL};

/// Evidence that a worker has ended; stronger evidence is greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Evidence {
    /// Connections to the worker were refused from several places. A zone that is cut off causes
    /// the same.
    #[default]
    Suspected,
    /// The worker lists a later life, or its entry lapsed while others of its zone renewed theirs.
    Proved,
}

impl Evidence {
    /// Returns whether the evidence is only a suspicion.
    pub fn is_suspicion(&self) -> bool {
        *self == Self::Suspected
    }

    /// Returns how long an end with this evidence is remembered.
    pub fn ttl(self) -> Duration {
        match self {
            Self::Suspected => SUSPECTED_END_TTL,
            Self::Proved => PROVED_END_TTL,
        }
    }
}
