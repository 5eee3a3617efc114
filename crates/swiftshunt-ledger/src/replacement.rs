//! Chooses the next change to a group's members. Replicas are replaced one at a time: the new replica
//! joins as a learner, becomes a voter once it has caught up, and then the old voter is removed.

use std::collections::{BTreeMap, BTreeSet};

use swiftshunt_types::{NodeId, ZoneName};

use crate::raft::GroupConfiguration;

/// A leader's view of a replica's node, for replacement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaHealth {
    /// The node is reachable and stays.
    Alive,
    /// The node is reachable but is shutting down.
    Leaving,
    /// The node is unreachable, but for less than the replace delay.
    Unreachable,
    /// The node has left, is unknown, or has been unreachable for at least the replace delay.
    Lost,
}

/// A leader's view of one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaView {
    /// Health of the replica's node.
    pub health: ReplicaHealth,
    /// Zone of the replica's node; `None` if membership has no record of the node.
    pub zone: Option<ZoneName>,
    /// Whether the replica is known to hold every committed entry. Used only for learners.
    pub caught_up: bool,
}

/// A leader's view of its group, the input of [`next_replacement_step`].
#[derive(Clone, Debug)]
pub struct ReplacementView<'a> {
    /// The leader itself. It is never removed by its own proposal.
    pub leader: NodeId,
    /// The configuration in force.
    pub configuration: &'a GroupConfiguration,
    /// Every member of the group, including the leader.
    pub replicas: BTreeMap<NodeId, ReplicaView>,
    /// The node that should hold the replica, for each zone.
    pub candidates: BTreeMap<ZoneName, NodeId>,
}

/// The next action of a leader on its group's members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplacementStep {
    /// Propose this configuration, which differs by at most one voter.
    Change(GroupConfiguration),
    /// Transfer leadership, since the leader's own replica has been replaced.
    TransferLeadership,
}

/// The next step; `None` if no change is needed or possible at present.
pub fn next_replacement_step(view: &ReplacementView<'_>) -> Option<ReplacementStep> {
    remove_lost_learner(view)
        .or_else(|| promote_learner(view))
        .or_else(|| remove_replaced_voter(view))
        .map(ReplacementStep::Change)
        .or_else(|| transfer_leadership(view))
        .or_else(|| add_learner(view).map(ReplacementStep::Change))
}

fn transfer_leadership(view: &ReplacementView<'_>) -> Option<ReplacementStep> {
    let replaced = view.removal_rank(view.leader).is_some();
    replaced.then_some(ReplacementStep::TransferLeadership)
}

fn remove_lost_learner(view: &ReplacementView<'_>) -> Option<GroupConfiguration> {
    let is_lost_or_leaving = |id: &NodeId| {
        matches!(
            view.health(*id),
            ReplicaHealth::Lost | ReplicaHealth::Leaving
        )
    };
    let lost = *view
        .configuration
        .learners
        .iter()
        .find(|id| is_lost_or_leaving(id))?;
    let mut next = view.configuration.clone();
    next.learners.remove(&lost);
    Some(next)
}

fn promote_learner(view: &ReplacementView<'_>) -> Option<GroupConfiguration> {
    let is_ready = |id: &NodeId| {
        let replica = view.replicas.get(id);
        replica.is_some_and(|replica| replica.caught_up && replica.health == ReplicaHealth::Alive)
    };
    let learner = *view.configuration.learners.iter().find(|id| is_ready(id))?;
    let mut next = view.configuration.clone();
    next.learners.remove(&learner);
    next.voters.insert(learner);
    Some(next)
}

/// Removes a voter that has been replaced, in the order of [`ReplacementView::removal_rank`], provided
/// that the remaining voters have a live quorum.
fn remove_replaced_voter(view: &ReplacementView<'_>) -> Option<GroupConfiguration> {
    let mut removable: Vec<(u8, NodeId)> = view
        .configuration
        .voters
        .iter()
        .filter(|id| **id != view.leader)
        .filter_map(|id| Some((view.removal_rank(*id)?, *id)))
        .collect();
    removable.sort_unstable();
    removable
        .into_iter()
        .map(|(_, removed)| without_voter(view.configuration, removed))
        .find(|next| view.has_live_quorum(next))
}

fn without_voter(configuration: &GroupConfiguration, removed: NodeId) -> GroupConfiguration {
    let mut next = configuration.clone();
    next.voters.remove(&removed);
    next
}

fn add_learner(view: &ReplacementView<'_>) -> Option<GroupConfiguration> {
    let candidate = view.candidates.iter().find(|(zone, node)| {
        !view.configuration.contains(**node) && !view.is_replica_pending_in(zone)
    });
    let (_, node) = candidate?;
    let mut next = view.configuration.clone();
    next.learners.insert(*node);
    Some(next)
}

impl ReplacementView<'_> {
    fn health(&self, id: NodeId) -> ReplicaHealth {
        let replica = self.replicas.get(&id);
        replica.map_or(ReplicaHealth::Lost, |replica| replica.health)
    }

    /// Whether a majority of the voters is reachable. Without this check, removing a reachable voter
    /// while another is down could leave a group that cannot commit anything.
    fn has_live_quorum(&self, configuration: &GroupConfiguration) -> bool {
        let live = configuration.voters.iter().filter(|id| {
            matches!(
                self.health(**id),
                ReplicaHealth::Alive | ReplicaHealth::Leaving
            )
        });
        live.count() >= configuration.quorum()
    }

    fn zone(&self, id: NodeId) -> Option<&ZoneName> {
        self.replicas.get(&id)?.zone.as_ref()
    }

    /// Whether the zone must not get a new replica yet, because an unreachable one may still return
    /// or a learner is catching up. A live replica does not count: the candidate replaces it, so that
    /// partitions spread to nodes that join.
    fn is_replica_pending_in(&self, zone: &ZoneName) -> bool {
        self.configuration.members().any(|id| {
            let is_unreachable = self.health(id) == ReplicaHealth::Unreachable;
            let is_learner = self.configuration.learners.contains(&id);
            (is_unreachable || is_learner) && self.zone(id) == Some(zone)
        })
    }

    /// Order in which a replaced voter is removed, lowest first; `None` if the voter is still needed.
    fn removal_rank(&self, id: NodeId) -> Option<u8> {
        let health = self.health(id);
        let zone = self.zone(id);
        let others_alive: BTreeSet<NodeId> = self
            .configuration
            .voters
            .iter()
            .copied()
            .filter(|other| *other != id && self.health(*other) == ReplicaHealth::Alive)
            .collect();
        let replaced = others_alive.iter().any(|other| self.zone(*other) == zone);
        // A voter without a known zone has left the membership records: it counts as replaced once
        // at least as many other voters are alive as there are candidates.
        let is_unknown_and_replaceable =
            zone.is_none() && others_alive.len() >= self.candidates.len();
        match health {
            ReplicaHealth::Lost if replaced || is_unknown_and_replaceable => Some(0),
            ReplicaHealth::Leaving if replaced => Some(1),
            // A live voter is replaced only by its zone's candidate. Otherwise two voters of a zone,
            // neither of them the candidate, would transfer leadership to each other endlessly.
            ReplicaHealth::Alive if self.is_candidate_a_live_voter(id, &others_alive) => Some(2),
            _ => None,
        }
    }

    /// Whether the candidate of this voter's zone is another voter that is alive.
    fn is_candidate_a_live_voter(&self, id: NodeId, others_alive: &BTreeSet<NodeId>) -> bool {
        let candidate = self.zone(id).and_then(|zone| self.candidates.get(zone));
        candidate.is_some_and(|candidate| others_alive.contains(candidate))
    }
}
