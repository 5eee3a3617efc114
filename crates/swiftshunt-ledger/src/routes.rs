//! Known leaders of the partitions. These are only hints: a wrong one costs a retry.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use swiftshunt_types::{NodeId, PartitionId};

use crate::archive::Generation;
use crate::raft::Term;

/// A partition's leader and its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderAddress {
    /// The node that leads.
    pub node: NodeId,
    /// Peer address of the node.
    pub address: SocketAddr,
}

/// A hint about a partition's leader. Of two hints, the one with the higher (generation, term,
/// sequence) is newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderHint {
    /// The partition that the hint is about.
    pub partition: PartitionId,
    /// The generation of the partition's group.
    pub generation: Generation,
    /// The term that the leader leads or led.
    pub term: Term,
    /// Number of hints that the publishing leader has published for the partition, including this one;
    /// it orders the hints of one term. 0 for a hint of another replica that has seen the leader.
    pub sequence: u64,
    /// The leader; `None` if it has ended its leadership.
    pub leader: Option<LeaderAddress>,
}

impl LeaderHint {
    fn version(&self) -> (Generation, Term, u64) {
        (self.generation, self.term, self.sequence)
    }
}

/// The newest leader hint of each partition.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hints: BTreeMap<PartitionId, LeaderHint>,
}

impl RouteTable {
    /// Stores the hint if it is newer than the known one; returns whether it was.
    pub fn merge(&mut self, hint: LeaderHint) -> bool {
        let known = self.hints.get(&hint.partition);
        if known.is_some_and(|known| known.version() >= hint.version()) {
            return false;
        }
        self.hints.insert(hint.partition, hint);
        true
    }

    /// The newest hint of a partition; `None` if none was received.
    pub fn hint(&self, partition: PartitionId) -> Option<&LeaderHint> {
        self.hints.get(&partition)
    }

    /// The partition's last known leader; `None` if it is unknown or has ended its leadership.
    pub fn leader(&self, partition: PartitionId) -> Option<LeaderAddress> {
        self.hint(partition)?.leader
    }

    /// The newest hint of each partition, ordered by partition.
    pub fn hints(&self) -> impl Iterator<Item = &LeaderHint> {
        self.hints.values()
    }
}
