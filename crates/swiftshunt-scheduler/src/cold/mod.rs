//! Start permits for cold workers: how many requests all nodes together may send to a cold worker,
//! and which nodes issue the permits.
//!
//! A request may be sent to a cold worker only with a start permit. The permits of a worker are
//! issued by a few nodes ([`permit_issuer`]): the first ones in an order that depends only on the
//! worker and on the listed nodes. Each issuer has its own part of the bound. If an issuer has
//! ended, is unreachable or is believed dead, its part is lost and the parts of the others do not
//! grow. Another node replaces it only after it has been unlisted for
//! [`permit_issuer::UNLISTED_NODE_TTL`]. The module is pure: callers pass the time.

pub mod permit_issuer;
pub mod permit_rate;
pub(crate) mod worker_state;

use std::time::Duration;

/// Lifetime of a start permit, counted from the request for it: several round trips to an issuer
/// and the time to open a connection.
pub const START_PERMIT_TTL: Duration = Duration::from_millis(150);
/// Allowance for clock drift and for the time between the last check of the clock and the send.
const DRIFT_ALLOWANCE: Duration = Duration::from_millis(50);
/// Window in which the bound limits the number of sends.
const COUNTING_WINDOW: Duration = Duration::from_secs(1);

/// Permits whose requests may be sent within one counting window were all issued within this
/// window.
pub(crate) const ISSUE_WINDOW: Duration = COUNTING_WINDOW
    .saturating_add(START_PERMIT_TTL)
    .saturating_add(DRIFT_ALLOWANCE);

/// The bound on the requests that all nodes together may send to a cold worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// How long a worker is cold after a start.
    pub cold_period: Duration,
    /// Sustained rate in requests per second.
    pub per_second: f64,
    /// Upper bound of the requests in any period of one second.
    pub max_in_one_second: f64,
}

impl ColdBound {
    /// Derives the bound from the rate that a service's cold workers sustain, `sustained_rate` in
    /// requests per second: `share` times that rate may be sent, and `requests` more in any one
    /// second.
    pub fn new(cold_period: Duration, sustained_rate: f64, share: f64, requests: f64) -> Self {
        let per_second = sustained_rate * share;
        Self {
            cold_period,
            per_second,
            max_in_one_second: per_second + requests,
        }
    }
}
