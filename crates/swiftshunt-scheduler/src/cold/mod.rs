//! Starts at cold workers: how many requests all nodes together may send to one, and who hands them out.
//!
//! A request goes to a cold worker with a start alone. Starts are handed out by the worker's keepers ([`permit_issuer`]):
//! the first nodes in an order that is the worker's own and depends on nothing but which nodes are listed. Each
//! keeper has a part of the bound for itself, so that a keeper that is gone, out of touch or believed gone takes
//! away its part and adds nothing to the others'. Nobody else hands out anything. All of it is pure: time is given.

pub mod permit_issuer;
pub mod permit_rate;
pub(crate) mod worker_state;

use std::time::Duration;

/// Time from a question for a start after which the start has lapsed: some ways to a keeper and back, and the
/// making of a connection.
pub const START_PERMIT_TTL: Duration = Duration::from_millis(150);
/// Allowance for clocks that run unlike, and for what lies between the last look at the clock and the send.
const DRIFT: Duration = Duration::from_millis(50);
/// Time over which the bound counts sends.
const COUNTED_OVER: Duration = Duration::from_secs(1);

/// Sends within the time over which the bound counts were handed out within this time.
pub(crate) const ISSUE_WINDOW: Duration = COUNTED_OVER
    .saturating_add(START_PERMIT_TTL)
    .saturating_add(DRIFT);

/// What a cold worker may get from all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// How long a worker is cold after a start.
    pub cold_period: Duration,
    /// Requests in each second in the long run.
    pub per_second: f64,
    /// Requests in any one second.
    pub max_in_one_second: f64,
}

impl ColdBound {
    /// What follows from the rate that a service's workers bear: `share` times as many may be sent, and in any
    /// one second `requests` more.
    pub fn new(cold_period: Duration, bears: f64, share: f64, requests: f64) -> Self {
        let per_second = bears * share;
        Self {
            cold_period,
            per_second,
            max_in_one_second: per_second + requests,
        }
    }
}
