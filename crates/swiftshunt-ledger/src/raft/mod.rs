//! Consensus among the replicas of one partition within one generation.
//!
//! Raft with pre-vote, check-quorum, leader leases and membership changes of one voter at a time.
//! Replicas keep nothing on disk: a restarted process has a new [`NodeId`], joins as a learner and
//! never votes under its old identity.
//!
//! [`NodeId`]: swiftshunt_types::NodeId

mod configuration;
mod election;
mod log;
mod messages;
mod node;
mod progress;
mod replication;

pub use configuration::GroupConfiguration;
pub use log::{ArchiveMark, Entry, Index, LogPosition, Payload, Term};
pub use messages::{AppendOutcome, Envelope, Message, Snapshot};
pub use node::{AppliedEntry, ProposeError, Raft, RaftStart, Role};

/// The deterministic state that a group replicates.
pub trait StateMachine: Clone + std::fmt::Debug {
    /// A change to the state, replicated through the log.
    type Command: Clone + std::fmt::Debug;
    /// The result of applying a command, the same on every replica.
    type Outcome: Clone + std::fmt::Debug;

    /// Applies one committed command. Must be deterministic: the new state and the outcome may
    /// depend only on the state and the command.
    fn apply(&mut self, command: &Self::Command) -> Self::Outcome;
}
