//! Records of members, and the order in which records replace each other.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use swiftshunt_types::{NodeId, ZoneName};

/// Version of a member's record, which the member increases to refute a suspicion about itself.
pub type Incarnation = u64;

/// A node and its addresses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identifier of this run of the node's process.
    pub id: NodeId,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Address for callers and operators.
    pub api: SocketAddr,
    /// Address for other nodes.
    pub peer: SocketAddr,
}

/// State of a member as seen by a node. Of two records with the same incarnation, the one whose state is the later
/// variant wins.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum MemberState {
    /// The member answers probes.
    #[display("alive")]
    Alive,
    /// The member answers probes, and finishes its current work before it stops.
    #[display("leaving")]
    Leaving,
    /// The member answered neither the direct nor any indirect probe, and may still refute the suspicion.
    #[display("suspect")]
    Suspect,
    /// The member did not refute the suspicion in time. A later refutation makes it reachable again.
    #[display("dead")]
    Dead,
    /// The member has stopped for good: it announced so, or another process answers at its address.
    #[display("left")]
    Left,
}

impl MemberState {
    /// Whether a member in this state counts as reachable and can take part in decisions.
    pub fn is_reachable(self) -> bool {
        matches!(self, Self::Alive | Self::Leaving | Self::Suspect)
    }
}

/// A member with its state at one incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The member that the record describes.
    pub member: Member,
    /// The incarnation of the member to which `state` applies.
    pub incarnation: Incarnation,
    /// State of the member.
    pub state: MemberState,
}

impl MemberRecord {
    /// Whether this record replaces `known`. A record with the state [`MemberState::Left`] replaces all others and is
    /// never replaced.
    pub fn supersedes(&self, known: &Self) -> bool {
        if known.state == MemberState::Left {
            return false;
        }
        if self.state == MemberState::Left {
            return true;
        }
        (self.incarnation, self.state) > (known.incarnation, known.state)
    }
}
