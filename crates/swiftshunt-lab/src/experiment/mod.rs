//! Declared workloads over real node processes and stand-ins, run several ways side by side.

mod load;
mod plan;
mod plot;
mod report;
mod run;

pub use plan::{BatchPolicy, ExperimentPlan, PlanError, load_plan};
pub use report::{ExperimentReport, PolicyReport};
pub use run::{ExperimentError, run};
