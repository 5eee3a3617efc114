//! Messages between gateways and the issuers of start permits for cold workers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A message about start permits. Each is one datagram and may be lost, duplicated or late; a permit that does not
/// arrive in time has expired.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum StartMessage {
    /// Asks an issuer for a start permit.
    Ask {
        /// Identifies the question in the answer.
        ask: u64,
        /// The service of the cold worker.
        service: String,
        /// The identifier of the cold worker.
        worker: String,
        /// The zone of the cold worker.
        zone: String,
    },
    /// The answer to [`Self::Ask`].
    Answer {
        /// The identifier of the question.
        ask: u64,
        /// `Ok` grants a permit; `Err` holds the time until one may be available.
        verdict: Result<(), Duration>,
    },
}
