//! Runs processes for integration tests: nodes, engines, submission workers and platform services, with a proxied
//! link before each of them.

mod fleet;
mod options;
mod process;
mod wait;

pub use fleet::{Fleet, NodeProcess, WorkerProcess, fleet_configuration};
pub use options::{
    Binaries, EXTRA_MODEL, FleetOptions, MODEL, OPERATOR_TOKEN, POOL_ENGINES, POOL_SUBMISSIONS,
    SECOND_MODEL, SECOND_POOL, TENANT_TOKEN, ZONES,
};
pub use process::{HarnessError, Process};
pub use wait::{eventually, eventually_within};
