//! Results of an experiment.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::plan::{BatchPolicy, ExperimentPlan};

/// Percentiles of a time, in milliseconds; all 0 without samples.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Number of samples.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The largest sample.
    pub max: f64,
}

const MICROSECONDS_PER_MILLISECOND: f64 = 1000.0;

impl Percentiles {
    /// Computes the percentiles of a histogram whose values are in microseconds.
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

/// Results under one policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyReport {
    /// The policy under which the workload ran.
    #[serde(rename = "way")]
    pub policy: BatchPolicy,
    /// Number of online requests that were sent.
    pub arrived: u64,
    /// Online requests whose response was complete and correct.
    pub answered: u64,
    /// Online requests refused with status 503 and `not_run`.
    pub refused: u64,
    /// Refusals without a `Retry-After` header.
    pub refused_without_retry_after: u64,
    /// Online requests that were neither answered nor refused.
    pub failed: u64,
    /// Time from the arrival of a request to its first token.
    pub first_token_ms: Percentiles,
    /// Time from the arrival of a request to its refusal.
    pub refusal_ms: Percentiles,
    /// Tokens of online requests that engines generated while requests arrived.
    pub online_tokens: u64,
    /// Tokens of batch work that engines generated while requests arrived.
    pub batch_tokens: u64,
    /// Tokens that all engines could generate while requests arrived, with every slot in use.
    pub capacity_tokens: u64,
    /// Batch tokens as a share of the capacity that online requests did not use.
    pub idle_capacity_used: f64,
    /// Quantiles of the time to first token, as pairs of quantile and milliseconds.
    pub first_token_curve: Vec<(f64, f64)>,
}

/// The experiment file and its results.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExperimentReport {
    /// The experiment as read from its file.
    pub plan: ExperimentPlan,
    /// Results under each policy, in the order of the file.
    #[serde(rename = "ways")]
    pub results: Vec<PolicyReport>,
}

impl ExperimentReport {
    /// Formats the results as a text table. `p99 ratio` compares with [`BatchPolicy::NoBatch`] and is NaN if that
    /// policy was not run.
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
