//! The declaration of an experiment.

use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Why a declaration cannot be used.
#[derive(Debug, Display, Error)]
#[display("{file}: {reason}")]
pub struct PlanError {
    /// The file.
    pub file: String,
    /// What is wrong.
    pub reason: String,
}

/// How batch work shares the engines with online work.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BatchPolicy {
    /// No batch work at all.
    #[display("no batch")]
    NoBatch,
    /// Batch work is sent like online work and yields to nothing.
    #[display("unyielding")]
    #[serde(rename = "unyielding")]
    NoPreemption,
    /// Half of the engines for batch work alone.
    #[display("fixed split")]
    FixedSplit,
    /// Batch jobs of swiftshunt.
    #[display("swiftshunt")]
    Swiftshunt,
}

/// An experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentPlan {
    /// Its name, for files.
    pub name: String,
    /// Seed of arrivals.
    pub seed: u64,
    /// How long arrivals last in each policy.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// Ways, run one after the other.
    #[serde(rename = "ways")]
    pub policies: Vec<BatchPolicy>,
    /// The fleet.
    pub fleet: FleetPlan,
    /// Online work.
    pub online: OnlinePlan,
    /// Batch work.
    #[serde(default)]
    pub batch: Option<BatchPlan>,
}

/// The fleet of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetPlan {
    /// Engines, spread over three zones.
    pub engines: usize,
    /// Requests in one step of an engine.
    pub slots: u32,
    /// Duration of an empty step.
    #[serde(with = "humantime_serde")]
    pub step: Duration,
    /// Sections appended to each node's settings.
    #[serde(default)]
    pub settings: String,
}

/// Online work: Poisson arrivals that do not wait for answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OnlinePlan {
    /// Requests a second all along.
    pub requests_per_second: f64,
    /// Most tokens of an answer.
    pub max_tokens: u32,
    /// Further requests at fixed moments.
    #[serde(default)]
    pub bursts: Vec<Burst>,
}

/// Requests at a fixed moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// When, from the start.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// For how long.
    #[serde(with = "humantime_serde", rename = "lasting")]
    pub duration: Duration,
    /// Requests a second beside the others.
    pub requests_per_second: f64,
}

/// Batch work: heaps of jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchPlan {
    /// Time between heaps.
    #[serde(with = "humantime_serde", rename = "every")]
    pub interval: Duration,
    /// Jobs in a heap.
    pub jobs: usize,
    /// Items in a job.
    pub items: usize,
    /// Most tokens of an item's answer.
    pub max_tokens: u32,
}

/// Reads and checks a declaration.
pub fn load_plan(file: &str) -> Result<ExperimentPlan, PlanError> {
    let failed = |reason: String| PlanError {
        file: file.to_owned(),
        reason,
    };
    let text = std::fs::read_to_string(file).map_err(|error| failed(error.to_string()))?;
    let plan: ExperimentPlan = toml::from_str(&text).map_err(|error| failed(error.to_string()))?;
    if plan.policies.is_empty() {
        return Err(failed("`ways` names none".to_owned()));
    }
    if plan.duration.is_zero() || plan.fleet.engines < 3 || plan.fleet.slots == 0 {
        return Err(failed(
            "`duration`, `fleet.engines` (3 or more) and `fleet.slots` must be above zero"
                .to_owned(),
        ));
    }
    let needs_batch = plan
        .policies
        .iter()
        .any(|policy| *policy != BatchPolicy::NoBatch);
    if needs_batch && plan.batch.is_none() {
        return Err(failed("`batch` is missing, and a way needs it".to_owned()));
    }
    Ok(plan)
}
