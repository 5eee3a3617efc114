//! Priority classes of requests to engines.

use serde::{Deserialize, Serialize};

/// Priority class, lowest first. Online requests never wait behind batch requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Batch work, which yields to online requests.
    Batch,
    /// An online request, for which a caller is waiting.
    Online,
}

impl Priority {
    /// Returns the value for the priority header of engine requests.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Batch => "batch",
            Self::Online => "online",
        }
    }
}
