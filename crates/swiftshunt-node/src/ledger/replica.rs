//! This node's replica of a partition, within one generation.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::SeedableRng;
use swiftshunt_ledger::LedgerConfig;
use swiftshunt_ledger::archive::{ArchivePosition, Generation, Replay};
use swiftshunt_ledger::raft::{
    ArchiveMark, GroupConfiguration, LogPosition, Raft, RaftStart, Role, Term,
};
use swiftshunt_ledger::state::LedgerState;
use swiftshunt_types::{Monotonic, NodeId};

use super::acknowledgements::Acknowledgements;
use super::archive_writer::ArchiveWriter;
use super::leadership::Leadership;

/// A Raft replica and the state that its driver keeps with it.
pub(super) struct Replica {
    pub(super) generation: Generation,
    pub(super) raft: Raft<LedgerState>,
    /// Peer addresses from the claim, for members that membership has no record of.
    pub(super) addresses: BTreeMap<NodeId, SocketAddr>,
    pub(super) acknowledgements: Acknowledgements,
    pub(super) writer: ArchiveWriter,
    pub(super) leadership: Option<Leadership>,
    /// Start of the last archive read that showed this generation to be the current one.
    pub(super) verified_at: Monotonic,
    /// Time at which this replica last had contact with a leader or held the lease itself.
    pub(super) last_group_contact: Monotonic,
    /// The newest leader that the group has shown to this replica and that this node has published.
    published_leader: Option<SeenLeader>,
}

/// A leader of the consensus group, as a replica sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SeenLeader {
    pub(super) term: Term,
    pub(super) node: NodeId,
}

impl Replica {
    /// A voter that is listed in a claim. It starts from the base of the claimed generation.
    pub(super) fn from_claim(
        own: NodeId,
        config: LedgerConfig,
        replay: &Replay,
        now: Monotonic,
    ) -> Self {
        let position = &replay.position;
        let voters = position.members.iter().map(|member| member.node);
        let start = RaftStart {
            base: position.base,
            configuration: GroupConfiguration::of_voters(voters),
            state: replay.base_state.clone(),
            archived: ArchiveMark {
                index: position.base.index,
                next_offset: replay.base_offset,
            },
        };
        let members = position.members.iter();
        let addresses = members
            .map(|member| (member.node, member.address))
            .collect();
        Self::new(own, config, position.generation, start, addresses, now)
    }

    /// An empty replica, which receives its state from the leader.
    pub(super) fn learner(
        own: NodeId,
        config: LedgerConfig,
        generation: Generation,
        now: Monotonic,
    ) -> Self {
        let start = RaftStart {
            base: LogPosition::default(),
            configuration: GroupConfiguration::default(),
            state: LedgerState::default(),
            archived: ArchiveMark::default(),
        };
        Self::new(own, config, generation, start, BTreeMap::new(), now)
    }

    fn new(
        own: NodeId,
        config: LedgerConfig,
        generation: Generation,
        start: RaftStart<LedgerState>,
        addresses: BTreeMap<NodeId, SocketAddr>,
        now: Monotonic,
    ) -> Self {
        let random = Box::new(rand::rngs::SmallRng::from_os_rng());
        Self {
            generation,
            raft: Raft::new(own, config, start, now, random),
            addresses,
            acknowledgements: Acknowledgements::default(),
            writer: ArchiveWriter::default(),
            leadership: None,
            verified_at: now,
            last_group_contact: now,
            published_leader: None,
        }
    }

    /// The group's leader, if this node has not published it yet.
    pub(super) fn unpublished_leader(&self) -> Option<SeenLeader> {
        let node = self.raft.leader()?;
        let term = self.raft.term();
        let seen = SeenLeader { term, node };
        (self.published_leader != Some(seen)).then_some(seen)
    }

    /// Records that this node has published a leader.
    pub(super) fn mark_leader_published(&mut self, leader: SeenLeader) {
        self.published_leader = Some(leader);
    }

    /// Whether this replica may vote, follow and lead.
    ///
    /// After half the rebuild delay without contact with its group or confirmation from the archive,
    /// other nodes may have claimed a new generation. The replica then participates again only once
    /// the archive shows that its generation is still the current one.
    pub(super) fn may_participate(&self, config: &LedgerConfig, now: Monotonic) -> bool {
        let last_confirmed = self.last_group_contact.max(self.verified_at);
        now < last_confirmed + config.rebuild_delay / 2
    }

    /// Updates the time of the last contact with the group.
    pub(super) fn update_group_contact(&mut self, now: Monotonic) {
        let is_following = self.raft.role() == Role::Follower && self.raft.leader().is_some();
        if is_following {
            self.last_group_contact = self
                .raft
                .last_leader_contact()
                .unwrap_or(self.last_group_contact);
        } else if self.raft.holds_lease(now) {
            self.last_group_contact = now;
        }
    }

    /// The position after the archived part of the log, from which to follow the archive or to look for
    /// a newer generation.
    pub(super) fn archive_position(&self) -> ArchivePosition {
        let mark = self.raft.archived();
        ArchivePosition {
            generation: self.generation,
            // Records are evaluated by the index alone, so the term may be left out.
            last: LogPosition {
                term: 0,
                index: mark.index,
            },
            next_offset: mark.next_offset,
            ..ArchivePosition::default()
        }
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.acknowledgements.fail_all();
    }
}
