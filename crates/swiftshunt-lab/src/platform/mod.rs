//! Stand-ins for the users' platform: its log store, workers and callers that speak its protocol, and a
//! fleet of real gateway processes that use them.

pub mod caller;
pub mod fleet;
mod groups;
pub mod process;
pub mod quickstart;
mod server;
pub mod store;
pub mod worker;
pub mod zone_layout;
