//! The gateway: callers' requests, streams and batch jobs in front of the workers of a platform that
//! keeps configuration, directory and journal in its log.
//!
//! Everything that belongs to one platform stands behind [`protocol::Protocol`] and
//! [`swiftshunt_journal::Log`]; this crate decides, keeps and recovers.

mod abandoned;
mod answers;
mod attempt;
mod batch;
mod beliefs;
mod clock;
mod datagrams;
mod directory_news;
#[cfg(test)]
mod earlier_builds;
mod emptying;
mod entry;
mod events;
mod followed;
mod followers;
mod gateway;
mod in_flight;
mod job_regions;
mod journey;
mod listing;
mod log_relay;
mod members;
mod messages;
mod metrics;
mod online;
mod own_failures;
mod pauses;
mod peer_http;
mod peers;
pub mod protocol;
mod quarantine;
mod rates;
mod relay;
mod running;
mod server;
pub mod settings;
mod slots;
mod starts;
mod tails;
mod traffic;
mod unreadable;
mod upstream;
mod waiting_limits;
mod ways;

pub use gateway::{Gateway, StartError};
pub use settings::{GatewaySettings, SettingsError};
