//! Who leads which partition, as far as a node has heard. Hints only: a wrong one costs a retry.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use swiftshunt_types::{NodeId, PartitionId};

use crate::archive::Generation;
use crate::raft::Term;

/// A leader and where it is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderAddress {
    /// The leader.
    pub node: NodeId,
    /// Its peer address.
    pub address: SocketAddr,
}

/// News of a partition's leader. Of two, the one with the higher (generation, term, sequence) is
/// newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderHint {
    /// The partition.
    pub partition: PartitionId,
    /// The generation of its group.
    pub generation: Generation,
    /// The term.
    pub term: Term,
    /// Number of the news within the term.
    pub sequence: u64,
    /// The leader; none if it withdrew.
    pub leader: Option<LeaderAddress>,
}

impl LeaderHint {
    fn version(&self) -> (Generation, Term, u64) {
        (self.generation, self.term, self.sequence)
    }
}

/// The newest news of each partition.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hints: BTreeMap<PartitionId, LeaderHint>,
}

impl RouteTable {
    /// Takes in news; returns whether it was new.
    pub fn merge(&mut self, hint: LeaderHint) -> bool {
        let known = self.hints.get(&hint.partition);
        if known.is_some_and(|known| known.version() >= hint.version()) {
            return false;
        }
        self.hints.insert(hint.partition, hint);
        true
    }

    /// The newest news of a partition.
    pub fn hint(&self, partition: PartitionId) -> Option<&LeaderHint> {
        self.hints.get(&partition)
    }

    /// The partition's leader, as far as known.
    pub fn leader(&self, partition: PartitionId) -> Option<LeaderAddress> {
        self.hint(partition)?.leader
    }

    /// Everything known.
    pub fn hints(&self) -> impl Iterator<Item = &LeaderHint> {
        self.hints.values()
    }
}
