//! The members of a replica group: voters and learners.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use swiftshunt_types::NodeId;

/// The voters and learners of a replica group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupConfiguration {
    /// Replicas that elect the leader and whose majority commits entries.
    pub voters: BTreeSet<NodeId>,
    /// Replicas that receive entries but do not vote; they can become voters once they have caught
    /// up.
    pub learners: BTreeSet<NodeId>,
}

impl GroupConfiguration {
    /// A group of voters without learners.
    pub fn of_voters(voters: impl IntoIterator<Item = NodeId>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            learners: BTreeSet::new(),
        }
    }

    /// Number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether `granted` contains a majority of the voters.
    pub fn is_quorum(&self, granted: &BTreeSet<NodeId>) -> bool {
        self.voters.intersection(granted).count() >= self.quorum()
    }

    /// Every member: the voters, then the learners, each in ascending order.
    pub fn members(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.voters.iter().chain(self.learners.iter()).copied()
    }

    /// Whether `node` is a voter or a learner.
    pub fn contains(&self, node: NodeId) -> bool {
        self.voters.contains(&node) || self.learners.contains(&node)
    }

    /// Whether a change to `next` adds or removes at most one voter, so that the majorities of both
    /// overlap.
    pub fn is_single_step_to(&self, next: &Self) -> bool {
        self.voters.symmetric_difference(&next.voters).count() <= 1
    }

    /// The highest value that a majority of the voters has reached, which is the `quorum`-th largest
    /// of their values; `None` if fewer voters than a majority have a value.
    pub(super) fn quorum_value<T: Ord + Copy>(
        &self,
        value_of: impl Fn(NodeId) -> Option<T>,
    ) -> Option<T> {
        let mut values: Vec<Option<T>> = self.voters.iter().map(|id| value_of(*id)).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.get(self.quorum() - 1).copied().flatten()
    }
}
