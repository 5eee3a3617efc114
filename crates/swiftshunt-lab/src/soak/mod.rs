//! A randomized soak: real gateways, stand-ins and links as a plan from a seed disturbs them, and the
//! promises checked from what callers, workers and operators saw.
//!
//! [`plan`] draws load and faults; [`testbed`] starts the processes and applies the faults; [`load`]
//! plays callers and job senders into a [`history`]; [`promises`] judges it; [`report`] tells.

pub mod command;
pub mod disturbances;
pub mod history;

mod load;
pub mod plan;
pub mod promises;
mod report;
mod round;
mod run_log;
mod testbed;

pub use round::{SoakError, play};
