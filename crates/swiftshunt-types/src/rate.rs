//! Rate limits.

/// A rate limit: a sustained request rate and a burst on top of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Sustained rate in requests per second; above zero, and finite once the configuration was validated.
    pub per_second: f64,
    /// Number of requests allowed at once, in addition to the sustained rate.
    pub burst: f64,
}
