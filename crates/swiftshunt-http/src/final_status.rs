//! Statuses that a final answer may have.

use std::ops::RangeInclusive;

use hyper::StatusCode;

/// Statuses of a final answer. The HTTP library also returns 101, for which no request of ours asks, and statuses up to 999.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Whether a status is that of a final answer. What came under any other status is no answer to the request, which may have
/// run.
pub fn is_final_status(status: StatusCode) -> bool {
    FINAL_STATUSES.contains(&status.as_u16())
}
