//! Settings of the scheduler.

use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Settings of worker choice, admission and batch grants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SchedulerConfig {
    /// How often each worker's load is read.
    #[serde(with = "humantime_serde")]
    pub load_interval: Duration,
    /// How old a load report may be before its worker counts as unreachable.
    #[serde(with = "humantime_serde")]
    pub load_expiry: Duration,
    /// Most load a worker may carry, relative to the mean, and still be chosen by prefix affinity.
    pub affinity_load_factor: f64,
    /// Characters at the beginning of the prompt that decide its affinity.
    pub affinity_block: usize,
    /// Online requests that a worker may hold per slot of its engine, running and waiting.
    pub online_queue_factor: f64,
    /// Retries allowed as a share of first attempts.
    pub retry_ratio: f64,
    /// Retries allowed at once after a period without retries.
    pub retry_burst: f64,
    /// Share of a worker's slots that is kept free of batch requests.
    pub batch_headroom: f64,
    /// Number of workers of its zone, in each pool, among which a node chooses first.
    pub subset_size: usize,
    /// How long before an event's start its slots are kept free.
    #[serde(with = "humantime_serde")]
    pub event_lead: Duration,
    /// Time that an online request is assumed to hold a slot, in seconds, for events.
    pub event_request_seconds: f64,
    /// How long an engine may keep an online request before its first token.
    #[serde(with = "humantime_serde")]
    pub first_token_timeout: Duration,
    /// How long an engine may pause between tokens before the stream continues at another engine.
    #[serde(with = "humantime_serde")]
    pub token_timeout: Duration,
    /// How long batch grants last without renewal.
    #[serde(with = "humantime_serde")]
    pub grant_lifetime: Duration,
}

impl Default for SchedulerConfig {
    fn default() -> Self {
        Self {
            load_interval: Duration::from_millis(100),
            load_expiry: Duration::from_secs(2),
            affinity_load_factor: 1.25,
            affinity_block: 256,
            online_queue_factor: 4.0,
            retry_ratio: 0.1,
            retry_burst: 20.0,
            batch_headroom: 0.25,
            subset_size: 24,
            event_lead: Duration::from_secs(2),
            event_request_seconds: 0.5,
            first_token_timeout: Duration::from_secs(20),
            token_timeout: Duration::from_secs(2),
            grant_lifetime: Duration::from_millis(800),
        }
    }
}

/// An invalid setting of the scheduler.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{field}: {reason}")]
pub struct SchedulerConfigError {
    /// The name of the invalid field.
    pub field: &'static str,
    /// The requirement that the value does not meet.
    pub reason: &'static str,
}

impl SchedulerConfig {
    /// Returns an error for the first invalid setting.
    pub fn validate(&self) -> Result<(), SchedulerConfigError> {
        let refuse = |field, reason| Err(SchedulerConfigError { field, reason });
        if self.load_interval.is_zero() {
            return refuse("load_interval", "must be above zero");
        }
        if self.load_expiry < self.load_interval * 2 {
            return refuse("load_expiry", "must be at least two load intervals");
        }
        if !(self.affinity_load_factor.is_finite() && self.affinity_load_factor >= 1.0) {
            return refuse("affinity_load_factor", "must be at least 1");
        }
        if self.affinity_block == 0 {
            return refuse("affinity_block", "must be above zero");
        }
        if !(self.online_queue_factor.is_finite() && self.online_queue_factor >= 1.0) {
            return refuse("online_queue_factor", "must be at least 1");
        }
        if !(0.0..=1.0).contains(&self.retry_ratio) {
            return refuse("retry_ratio", "must be between 0 and 1");
        }
        if !(self.retry_burst.is_finite() && self.retry_burst >= 0.0) {
            return refuse("retry_burst", "must be zero or more");
        }
        if !(0.0..1.0).contains(&self.batch_headroom) {
            return refuse("batch_headroom", "must be at least 0 and below 1");
        }
        if self.subset_size == 0 {
            return refuse("subset_size", "must be at least 1");
        }
        if !(self.event_request_seconds.is_finite() && self.event_request_seconds > 0.0) {
            return refuse("event_request_seconds", "must be above zero");
        }
        if self.first_token_timeout.is_zero() {
            return refuse("first_token_timeout", "must be above zero");
        }
        if self.token_timeout.is_zero() {
            return refuse("token_timeout", "must be above zero");
        }
        if self.grant_lifetime.is_zero() {
            return refuse("grant_lifetime", "must be above zero");
        }
        Ok(())
    }
}
