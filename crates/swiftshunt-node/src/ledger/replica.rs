//! This node's replica of a partition within one generation.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::SeedableRng;
use swiftshunt_ledger::LedgerConfig;
use swiftshunt_ledger::archive::{ArchivePosition, Generation, Replay};
use swiftshunt_ledger::raft::{
    ArchiveMark, GroupConfiguration, LogPosition, Raft, RaftStart, Role,
};
use swiftshunt_ledger::state::LedgerState;
use swiftshunt_types::{Monotonic, NodeId};

use super::acknowledgements::Acknowledgements;
use super::archive_writer::ArchiveWriter;
use super::leadership::Leadership;

/// A replica and what its driver keeps beside it.
pub(super) struct Replica {
    pub(super) generation: Generation,
    pub(super) raft: Raft<LedgerState>,
    /// Addresses that the claim gave, for members that membership has not told yet.
    pub(super) addresses: BTreeMap<NodeId, SocketAddr>,
    pub(super) acknowledgements: Acknowledgements,
    pub(super) writer: ArchiveWriter,
    pub(super) leadership: Option<Leadership>,
    /// When the log last showed that the generation stands.
    pub(super) verified_at: Monotonic,
    /// When the group last worked, as seen from here.
    pub(super) last_group_contact: Monotonic,
}

impl Replica {
    /// A voter that a claim names: starts from the base of the claimed generation.
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

    /// An empty replica that a leader will fill.
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
        }
    }

    /// Whether this replica may vote, follow and lead.
    ///
    /// After half the rebuild delay without its group or the log's word, a new generation may have
    /// been claimed elsewhere; then it acts again only once the log shows that its own still stands.
    pub(super) fn may_participate(&self, config: &LedgerConfig, now: Monotonic) -> bool {
        let last_confirmed = self.last_group_contact.max(self.verified_at);
        now < last_confirmed + config.rebuild_delay / 2
    }

    /// Notes whether the group works, as seen from here.
    pub(super) fn update_group_contact(&mut self, now: Monotonic) {
        let follows = self.raft.role() == Role::Follower && self.raft.leader().is_some();
        if follows {
            self.last_group_contact = self
                .raft
                .last_leader_contact()
                .unwrap_or(self.last_group_contact);
        } else if self.raft.holds_lease(now) {
            self.last_group_contact = now;
        }
    }

    /// From where to read the archive to learn of a newer generation.
    pub(super) fn archive_position(&self) -> ArchivePosition {
        let mark = self.raft.archived();
        ArchivePosition {
            generation: self.generation,
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
