//! What an experiment found.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::plan::{BatchPolicy, ExperimentPlan};

/// Times in milliseconds at some percentiles.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Samples.
    pub count: u64,
    /// Half are below.
    pub p50: f64,
    /// 95 in 100 are below.
    pub p95: f64,
    /// 99 in 100 are below.
    pub p99: f64,
    /// The largest.
    pub max: f64,
}

const MICROSECONDS_PER_MILLISECOND: f64 = 1000.0;

impl Percentiles {
    /// Of a histogram in microseconds.
    pub fn from_histogram(histogram: &Histogram<u64>) -> Self {
        let at =
            |quantile| histogram.value_at_quantile(quantile) as f64 / MICROSECONDS_PER_MILLISECOND;
        Self {
            count: histogram.len(),
            p50: at(0.50),
            p95: at(0.95),
            p99: at(0.99),
            max: histogram.max() as f64 / MICROSECONDS_PER_MILLISECOND,
        }
    }
}

/// What one way came to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyReport {
    /// Which policy.
    #[serde(rename = "way")]
    pub policy: BatchPolicy,
    /// Online requests that arrived.
    pub arrived: u64,
    /// Answered whole.
    pub answered: u64,
    /// Refused with `not_run`.
    pub refused: u64,
    /// Refusals that did not say when to come back.
    pub refused_without_retry_after: u64,
    /// Neither.
    pub failed: u64,
    /// From a request's arrival to its first token.
    pub first_token_ms: Percentiles,
    /// From a request's arrival to its refusal.
    pub refusal_ms: Percentiles,
    /// Online tokens that engines generated while arrivals lasted.
    pub online_tokens: u64,
    /// Batch tokens that engines generated while arrivals lasted.
    pub batch_tokens: u64,
    /// What the engines generate at most in that time.
    pub capacity_tokens: u64,
    /// Batch tokens as a share of what online work left idle.
    pub idle_capacity_used: f64,
    /// Points of the first token's distribution: quantile and milliseconds.
    pub first_token_curve: Vec<(f64, f64)>,
}

/// What an experiment found.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExperimentReport {
    /// What was declared.
    pub plan: ExperimentPlan,
    /// Each way's result.
    #[serde(rename = "ways")]
    pub results: Vec<PolicyReport>,
}

impl ExperimentReport {
    /// A table for people.
    pub fn text(&self) -> String {
        let mut text = format!(
            "{:<12} {:>8} {:>8} {:>8} {:>7} {:>10} {:>10} {:>10} {:>12} {:>10}\n",
            "way",
            "arrived",
            "answered",
            "refused",
            "failed",
            "p50 ms",
            "p99 ms",
            "p99 ratio",
            "batch tokens",
            "idle used"
        );
        let base = self
            .results
            .iter()
            .find(|result| result.policy == BatchPolicy::NoBatch);
        for result in &self.results {
            let ratio = base.map_or(f64::NAN, |base| {
                result.first_token_ms.p99 / base.first_token_ms.p99
            });
            text.push_str(&format!(
                "{:<12} {:>8} {:>8} {:>8} {:>7} {:>10.2} {:>10.2} {:>10.3} {:>12} {:>10.3}\n",
                result.policy.to_string(),
                result.arrived,
                result.answered,
                result.refused,
                result.failed,
                result.first_token_ms.p50,
                result.first_token_ms.p99,
                ratio,
                result.batch_tokens,
                result.idle_capacity_used,
            ));
        }
        text
    }
}
