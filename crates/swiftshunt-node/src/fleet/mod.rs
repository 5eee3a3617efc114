//! This node's view of the fleet: members, leaders, configuration, machines, worker loads, announced
//! events; and the loading of models for serving targets.

mod configuration;
mod events;
mod gossip;
mod loads;
mod machines;
mod placement;
mod plans;

pub(crate) use configuration::{PublishError, follow_configuration, publish};
pub(crate) use events::{AnnouncedEvents, follow_events};
pub(crate) use gossip::{GossipStability, announce_left, answer_gossip, own_gossip, run_gossip};
pub(crate) use loads::{poll_loads, subset};
pub(crate) use machines::poll_machines;
pub(crate) use placement::{PlacementCache, replica_zones_of};
pub(crate) use plans::Planner;
