//! The next change to a group's members: replacing lost replicas one at a time, through learners.

use std::collections::{BTreeMap, BTreeSet};

use swiftshunt_types::{NodeId, ZoneName};

use crate::raft::GroupConfiguration;

/// What a leader believes of a node, for replacement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaHealth {
    /// Takes part.
    Alive,
    /// Takes part, but will go.
    Leaving,
    /// Silent, but not for long enough to be replaced.
    Silent,
    /// Lost for good, or silent for longer than the replace delay.
    Lost,
}

/// What a leader knows of one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaView {
    /// What is believed of its node.
    pub health: ReplicaHealth,
    /// Its zone, if its node is still remembered.
    pub zone: Option<ZoneName>,
    /// Whether it holds the committed log.
    pub caught_up: bool,
}

/// What a leader knows when it looks for a change.
#[derive(Clone, Debug)]
pub struct ReplacementView<'a> {
    /// The leader itself; never removed by its own decision.
    pub leader: NodeId,
    /// The members in force.
    pub configuration: &'a GroupConfiguration,
    /// Every member of the group, the leader included.
    pub replicas: BTreeMap<NodeId, ReplicaView>,
    /// For each zone, the node that should hold a replica.
    pub candidates: BTreeMap<ZoneName, NodeId>,
}

/// What a leader should do next about the group's members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplacementStep {
    /// Propose these members; at most one voter differs.
    Change(GroupConfiguration),
    /// Hand leadership over: this replica itself has been replaced.
    LeadershipTransfer,
}

/// The next step, if any is needed.
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
    replaced.then_some(ReplacementStep::LeadershipTransfer)
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

/// Removes a voter whose zone has another voter alive, worst health first.
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

    /// Whether a majority of the voters takes part now. Removing a voter that takes part while
    /// another is down would otherwise leave a group that cannot decide anything.
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

    /// Whether a new replica of the zone would come too early: one may still come back, or one is
    /// being brought up already. A replica that takes part is no reason: the candidate takes its
    /// place, so that partitions spread over nodes that join.
    fn is_replica_pending_in(&self, zone: &ZoneName) -> bool {
        self.configuration.members().any(|id| {
            let is_silent = self.health(id) == ReplicaHealth::Silent;
            let is_learner = self.configuration.learners.contains(&id);
            (is_silent || is_learner) && self.zone(id) == Some(zone)
        })
    }

    /// Lower goes first; none if the voter is still needed.
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
        // A voter of an unknown zone is lost and forgotten: any complete set replaces it.
        let is_unknown_and_replaceable =
            zone.is_none() && others_alive.len() >= self.candidates.len();
        match health {
            ReplicaHealth::Lost if replaced || is_unknown_and_replaceable => Some(0),
            ReplicaHealth::Leaving if replaced => Some(1),
            // Only by the candidate itself: two others of a zone would hand over to each other for
            // ever.
            ReplicaHealth::Alive if self.is_candidate_a_live_voter(id, &others_alive) => Some(2),
            _ => None,
        }
    }

    /// Whether the node that should hold the replica of this one's zone is a voter beside it.
    fn is_candidate_a_live_voter(&self, id: NodeId, others_alive: &BTreeSet<NodeId>) -> bool {
        let candidate = self.zone(id).and_then(|zone| self.candidates.get(zone));
        candidate.is_some_and(|candidate| others_alive.contains(candidate))
    }
}
