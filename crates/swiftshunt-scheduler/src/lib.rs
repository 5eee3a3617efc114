//! Scheduling decisions without I/O: choice of a worker, limits, retries and batch admission.

pub mod admission;
pub mod affinity;
pub mod batch;
mod candidate;
mod cells;
pub mod cold;
mod config;
mod cost;
pub mod directory;
pub mod eligibility;
pub mod evacuations;
pub mod grants;
pub mod lease_fitness;
pub mod limits;
pub mod listed;
mod observed;
pub mod origins;
pub mod placement;
pub mod prefix_cache;
pub mod quarantine;
pub mod rates;
pub mod readers;
pub mod retry;
pub mod selection;
pub mod slots;
mod software;
pub mod targets;
pub mod waiting_tokens;
pub mod warmup;
pub mod workers;

pub use config::{SchedulerConfig, SchedulerConfigError};
