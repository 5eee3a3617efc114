//! What says that a worker has ended.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{PROVED_END_TTL, SUSPECTED_END_TTL};

/// What says that a worker has ended; more is greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Evidence {
    /// Several places found its connections refused. So does a zone that is cut off.
    #[default]
    Suspected,
    /// The worker lists a later life, or its entry lapsed while others of its zone renewed theirs.
    Proved,
}

impl Evidence {
    /// Whether it is a suspicion alone.
    pub fn is_suspicion(&self) -> bool {
        *self == Self::Suspected
    }

    /// How long an end is remembered on it.
    pub fn ttl(self) -> Duration {
        match self {
            Self::Suspected => SUSPECTED_END_TTL,
            Self::Proved => PROVED_END_TTL,
        }
    }
}
