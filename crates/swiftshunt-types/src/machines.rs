//! The list of machines that the platform publishes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{PoolName, WorkerId, ZoneName};

/// Kind of process that a machine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineKind {
    /// A swiftshunt node. [`Machine::address`] is its peer address.
    Node,
    /// A model engine.
    Engine,
    /// A worker that performs submissions.
    Submission,
}

/// Whether a machine may receive new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// The machine may receive new work.
    Live,
    /// The machine finishes its current work and accepts no new work.
    Leaving,
}

/// An entry of the machine list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Identifier that the platform gave to the machine.
    pub id: WorkerId,
    /// Kind of process that the machine runs.
    pub kind: MachineKind,
    /// Address on which the process listens.
    pub address: SocketAddr,
    /// Zone of the machine.
    pub zone: ZoneName,
    /// Pool that the machine belongs to; empty for nodes.
    pub pool: PoolName,
    /// Whether the machine may receive new work.
    pub state: MachineState,
}

/// The machine list at one version. A list with a higher version replaces the previous list completely.
///
/// The list may be out of date, so the absence of a machine does not prove that the machine is dead.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// Version of the list, which increases with each change by the platform.
    pub version: u64,
    /// All machines that the platform knows.
    pub machines: Vec<Machine>,
}
