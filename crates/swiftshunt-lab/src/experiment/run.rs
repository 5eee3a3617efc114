//! Runs an experiment, each policy on a new fleet of processes.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use derive_more::{Display, Error, From};

use super::load::{OnlineTally, Target, run_jobs, run_online, run_without_preemption};
use super::plan::{BatchPolicy, ExperimentPlan, PlanError};
use super::plot::{PlotError, plot};
use super::report::{ExperimentReport, Percentiles, PolicyReport};
use crate::engine::TokenCounts;
use crate::harness::{Binaries, Fleet, FleetOptions, HarnessError, MODEL, SECOND_MODEL};

/// Why an experiment failed.
#[derive(Debug, Display, Error, From)]
pub enum ExperimentError {
    /// The experiment file is invalid.
    #[display("{_0}")]
    Plan(PlanError),
    /// A process could not be started.
    #[display("{_0}")]
    Harness(HarnessError),
    /// The results could not be written.
    #[display("{_0}")]
    Write(std::io::Error),
    /// The plot could not be drawn.
    #[display("{_0}")]
    Plot(PlotError),
}

/// Quantiles of the time to first token that are reported and plotted.
const CURVE_QUANTILES: [f64; 12] = [
    0.1, 0.25, 0.5, 0.6, 0.7, 0.8, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999,
];

/// Runs every policy and writes `NAME.json` and `NAME.svg` to the directory `output`, where `NAME` is the name of the
/// experiment.
pub async fn run(
    plan: ExperimentPlan,
    binaries: Binaries,
    output: &Path,
) -> Result<ExperimentReport, ExperimentError> {
    std::fs::create_dir_all(output)?;
    let work_directory = output.join("processes");
    let mut results = Vec::new();
    for policy in plan.policies.clone() {
        results.push(run_policy(&plan, policy, binaries.clone(), &work_directory).await?);
    }
    let report = ExperimentReport { plan, results };
    let file = |ending: &str| -> PathBuf { output.join(format!("{}.{ending}", report.plan.name)) };
    let json = serde_json::to_string_pretty(&report).map_err(std::io::Error::other)?;
    std::fs::write(file("json"), json)?;
    plot(&report, &file("svg"))?;
    Ok(report)
}

async fn run_policy(
    plan: &ExperimentPlan,
    policy: BatchPolicy,
    binaries: Binaries,
    work_directory: &Path,
) -> Result<PolicyReport, ExperimentError> {
    let fleet = Fleet::start(binaries, work_directory, fleet_options(plan, policy)).await?;
    let target = Target {
        nodes: fleet.nodes.iter().map(|node| node.api).collect(),
        tenant: fleet.tenant.clone(),
        online_model: MODEL,
        batch_model: if policy == BatchPolicy::FixedSplit {
            SECOND_MODEL
        } else {
            MODEL
        },
    };
    let before = generated_tokens(&fleet).await;
    let online = run_online(
        target.clone(),
        plan.online.clone(),
        plan.duration,
        plan.seed,
    );
    let no_preemption_tokens = Arc::new(AtomicU64::new(0));
    let measured = async {
        tokio::time::sleep(plan.duration).await;
        (
            generated_tokens(&fleet).await,
            no_preemption_tokens.load(Ordering::Relaxed),
        )
    };
    let counter = Arc::clone(&no_preemption_tokens);
    let batch = tokio::spawn(run_batch(plan.clone(), policy, target, counter));
    let (tally, (after, no_preemption_tokens)) = tokio::join!(online, measured);
    batch.abort();
    // Engines count batch work without preemption as online work, because it is sent as such. Its senders count its
    // tokens, which are moved to batch work here.
    let tokens = TokenCounts {
        online: (after.online - before.online).saturating_sub(no_preemption_tokens),
        batch: after.batch - before.batch + no_preemption_tokens,
    };
    Ok(policy_report(plan, policy, &tally, tokens))
}

fn fleet_options(plan: &ExperimentPlan, policy: BatchPolicy) -> FleetOptions {
    let flags = [
        "--slots".to_owned(),
        plan.fleet.slots.to_string(),
        "--step-us".to_owned(),
        plan.fleet.step.as_micros().to_string(),
    ];
    let second_pool = if policy == BatchPolicy::FixedSplit {
        plan.fleet.engines / 2
    } else {
        0
    };
    FleetOptions {
        engines: plan.fleet.engines,
        engines_in_second_pool: second_pool,
        engine_flags: flags.to_vec(),
        settings: plan.fleet.settings.clone(),
        log_level: "warn",
        ..FleetOptions::new("experiment")
    }
}

async fn run_batch(
    plan: ExperimentPlan,
    policy: BatchPolicy,
    target: Target,
    no_preemption_tokens: Arc<AtomicU64>,
) {
    let Some(batch) = plan.batch.clone() else {
        return;
    };
    match policy {
        BatchPolicy::NoBatch => {}
        BatchPolicy::NoPreemption => {
            let slots = plan.fleet.engines * plan.fleet.slots as usize;
            run_without_preemption(target, batch, plan.duration, slots, no_preemption_tokens).await;
        }
        BatchPolicy::FixedSplit | BatchPolicy::Swiftshunt => {
            run_jobs(target, batch, plan.duration).await
        }
    }
}

async fn generated_tokens(fleet: &Fleet) -> TokenCounts {
    let mut total = TokenCounts::default();
    for engine in &fleet.engines {
        let answer = fleet
            .operator
            .get(engine.direct_address, "/control/tokens")
            .await;
        let counts = answer
            .ok()
            .and_then(|answer| serde_json::from_str(&answer.body).ok());
        let tokens: TokenCounts = counts.unwrap_or_default();
        total.online += tokens.online;
        total.batch += tokens.batch;
    }
    total
}

fn policy_report(
    plan: &ExperimentPlan,
    policy: BatchPolicy,
    tally: &OnlineTally,
    tokens: TokenCounts,
) -> PolicyReport {
    let capacity = capacity_tokens(plan, plan.duration);
    let idle = capacity.saturating_sub(tokens.online);
    let curve = CURVE_QUANTILES.map(|quantile| {
        let milliseconds = tally.first_token.value_at_quantile(quantile) as f64 / 1000.0;
        (quantile, milliseconds)
    });
    PolicyReport {
        policy,
        arrived: tally.arrived,
        answered: tally.answered,
        refused: tally.refused,
        refused_without_retry_after: tally.refused_without_retry_after,
        failed: tally.failed,
        first_token_ms: Percentiles::from_histogram(&tally.first_token),
        refusal_ms: Percentiles::from_histogram(&tally.refusal),
        online_tokens: tokens.online,
        batch_tokens: tokens.batch,
        capacity_tokens: capacity,
        idle_capacity_used: tokens.batch as f64 / idle.max(1) as f64,
        first_token_curve: curve.to_vec(),
    }
}

/// Time added to a step for each request in it, equal to the default of the engine stand-in.
const STEP_PER_REQUEST: Duration = Duration::from_micros(100);

/// Returns the number of tokens that all engines generate in `duration` with every slot in use.
fn capacity_tokens(plan: &ExperimentPlan, duration: Duration) -> u64 {
    let step = plan.fleet.step + STEP_PER_REQUEST * plan.fleet.slots;
    let steps = duration.as_secs_f64() / step.as_secs_f64();
    (steps * f64::from(plan.fleet.slots) * plan.fleet.engines as f64) as u64
}
