//! The gateway: it serves online requests, streams and batch jobs on the workers of a platform that keeps its
//! configuration, directory and journal in a replicated log.
//!
//! Everything specific to a platform is behind [`protocol::Protocol`] and [`swiftshunt_journal::Log`]. This crate
//! makes the decisions, holds the state, and recovers it after failures.

mod abandon_guard;
mod answer_buffer;
mod answers;
mod attempt;
mod background;
mod batch;
mod body_buffers;
mod clock;
mod datagrams;
mod directory_summary;
#[cfg(test)]
mod earlier_builds;
mod entry;
mod evacuation_monitor;
mod events;
mod fleet_followers;
mod fleet_state;
mod gateway;
mod in_flight;
mod interim_answers;
mod job_regions;
mod listing;
mod local_faults;
mod log_relay;
mod members;
mod memory;
mod messages;
mod metrics;
mod online;
mod origins;
mod pauses;
mod peer_http;
mod peers;
pub mod protocol;
mod quarantine;
mod rates;
mod relay;
mod request_context;
mod reserved_bytes;
mod running;
mod server;
pub mod settings;
mod shared_call;
mod slots;
mod start_permits;
mod tails;
mod topic_follower;
mod traffic;
mod unreadable;
mod upstream;
mod waiting_limits;
mod worker_answer;
mod worker_reach;
mod zone_latencies;

pub use gateway::{Gateway, StartError};
pub use settings::{GatewaySettings, SettingsError};
