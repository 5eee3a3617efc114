//! Stand-ins for the users' platform: its store, workers in its protocol, callers, and a fleet of
//! real gateways before them.

pub mod caller;
pub mod fleet;
mod groups;
pub mod process;
pub mod quickstart;
mod server;
pub mod store;
pub mod worker;
pub mod zone_layout;
