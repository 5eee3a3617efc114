//! A randomized soak test: runs real gateways with stand-ins for the platform, injects faults according to a plan
//! drawn from a seed, and checks promises against what callers, workers and operators observed.
//!
//! [`plan`] draws load and faults; [`testbed`] starts the processes and injects the faults; [`load`] sends requests
//! and jobs and records the responses in a [`history`]; [`promises`] checks the history; [`report`] prints and plots
//! the result.

pub mod command;
pub mod disturbances;
pub mod history;
mod load;
pub mod plan;
pub mod promises;
mod report;
mod round;
mod run_log;
mod series;
mod stream_faults;
mod testbed;

pub use round::{SoakError, play};
