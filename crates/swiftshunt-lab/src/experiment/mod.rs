//! Experiments: a workload from a file, run under several batch policies on a fleet of node processes and stand-ins.

mod load;
mod plan;
mod plot;
mod report;
mod run;

pub use plan::{BatchPolicy, ExperimentPlan, PlanError, load_plan};
pub use report::{ExperimentReport, PolicyReport};
pub use run::{ExperimentError, run};
