//! What an output that is continued is bound to.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::SoftwareVersion;

/// The service and the software version that began an output. Only workers of both may continue it: what two versions
/// write does not fit together, and nothing in the output tells them apart.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{service} {software}")]
pub struct OutputOrigin {
    /// The service's name.
    pub service: String,
    /// The software version of the worker.
    pub software: SoftwareVersion,
}
