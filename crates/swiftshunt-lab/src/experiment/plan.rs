//! The experiment file: fleet, workload and batch policies.

use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Why an experiment file cannot be used.
#[derive(Debug, Display, Error)]
#[display("{file}: {reason}")]
pub struct PlanError {
    /// Path of the file.
    pub file: String,
    /// The error of reading or parsing the file, or the invalid setting.
    pub reason: String,
}

/// How batch work shares the engines with online work.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BatchPolicy {
    /// No batch work is sent; the baseline for the other policies.
    #[display("no batch")]
    NoBatch,
    /// Batch work is sent as online requests, which engines do not preempt.
    #[display("unyielding")]
    #[serde(rename = "unyielding")]
    NoPreemption,
    /// Half of the engines serve batch work only, as a pool of their own.
    #[display("fixed split")]
    FixedSplit,
    /// Batch work is sent as swiftshunt batch jobs.
    #[display("swiftshunt")]
    Swiftshunt,
}

/// The content of an experiment file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentPlan {
    /// Name of the experiment, used for the names of result files.
    pub name: String,
    /// Seed of the arrival times of online requests.
    pub seed: u64,
    /// Time during which requests arrive, under each policy.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// Batch policies, run one after the other.
    #[serde(rename = "ways")]
    pub policies: Vec<BatchPolicy>,
    /// Engines and node settings.
    pub fleet: FleetPlan,
    /// Online requests.
    pub online: OnlinePlan,
    /// Batch work; may be missing only if [`BatchPolicy::NoBatch`] is the only policy.
    #[serde(default)]
    pub batch: Option<BatchPlan>,
}

/// The fleet of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetPlan {
    /// Number of engines, distributed over three zones; at least 3.
    pub engines: usize,
    /// Largest number of requests in one step of an engine.
    pub slots: u32,
    /// Fixed part of the duration of a step.
    #[serde(with = "humantime_serde")]
    pub step: Duration,
    /// TOML sections appended to the settings file of each node.
    #[serde(default)]
    pub settings: String,
}

/// Online requests with Poisson arrivals, which do not wait for responses to earlier requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OnlinePlan {
    /// Mean number of requests per second, without bursts.
    pub requests_per_second: f64,
    /// Largest number of tokens of a response.
    pub max_tokens: u32,
    /// Periods with additional requests.
    #[serde(default)]
    pub bursts: Vec<Burst>,
}

/// A period with additional online requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Begin of the period, from the start of the run.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// Length of the period.
    #[serde(with = "humantime_serde", rename = "lasting")]
    pub duration: Duration,
    /// Mean number of additional requests per second.
    pub requests_per_second: f64,
}

/// Batch work, created in rounds of jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchPlan {
    /// Time between the starts of two rounds.
    #[serde(with = "humantime_serde", rename = "every")]
    pub interval: Duration,
    /// Number of jobs in a round.
    pub jobs: usize,
    /// Number of items in a job.
    pub items: usize,
    /// Largest number of tokens of the response to an item.
    pub max_tokens: u32,
}

/// Reads and validates an experiment file.
pub fn load_plan(file: &str) -> Result<ExperimentPlan, PlanError> {
    let failed = |reason: String| PlanError {
        file: file.to_owned(),
        reason,
    };
    let text = std::fs::read_to_string(file).map_err(|error| failed(error.to_string()))?;
    let plan: ExperimentPlan = toml::from_str(&text).map_err(|error| failed(error.to_string()))?;
    if plan.policies.is_empty() {
        return Err(failed("`ways` is empty".to_owned()));
    }
    if plan.duration.is_zero() || plan.fleet.engines < 3 || plan.fleet.slots == 0 {
        return Err(failed(
            "`duration` and `fleet.slots` must be above zero, and `fleet.engines` must be 3 or more"
                .to_owned(),
        ));
    }
    let needs_batch = plan
        .policies
        .iter()
        .any(|policy| *policy != BatchPolicy::NoBatch);
    if needs_batch && plan.batch.is_none() {
        return Err(failed(
            "`batch` is missing, but one of `ways` sends batch work".to_owned(),
        ));
    }
    Ok(plan)
}
