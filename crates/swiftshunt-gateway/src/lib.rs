//! The gateway: callers' requests, streams and batch jobs in front of the workers of a platform that
//! keeps configuration, directory and journal in its log.
//!
//! Everything that belongs to one platform stands behind [`protocol::Protocol`] and
//! [`swiftshunt_journal::Log`]; this crate decides, keeps and recovers.

mod abandon_guard;
mod answers;
mod attempt;
mod batch;
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
mod job_regions;
mod listing;
mod local_faults;
mod log_relay;
mod members;
mod messages;
mod metrics;
mod online;
mod pauses;
mod peer_http;
mod peers;
pub mod protocol;
mod quarantine;
mod rates;
mod relay;
mod request_context;
mod running;
mod server;
pub mod settings;
mod slots;
mod start_permits;
mod tails;
mod topic_follower;
mod traffic;
mod unreadable;
mod upstream;
mod waiting_limits;
mod zone_latencies;

pub use gateway::{Gateway, StartError};
pub use settings::{GatewaySettings, SettingsError};
