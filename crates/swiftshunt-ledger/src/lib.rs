//! The replicated ledger without I/O: Raft consensus among a partition's replicas, the replicated
//! state machine of submissions, batch jobs and pools, and the replay rules of the archive.
//!
//! Nothing here reads a clock, opens a socket or spawns a task. Callers pass the current time of
//! their monotonic clock and a random source, and deliver the returned messages.

pub mod archive;
mod config;
pub mod placement;
pub mod raft;
pub mod replacement;
pub mod routes;
pub mod state;

pub use config::{LedgerConfig, LedgerConfigError};
