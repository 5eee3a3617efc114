//! One replica: its state and the entry points that the driver calls.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::{Display, Error};
use rand::RngCore;
use swiftshunt_types::{Monotonic, NodeId};

use super::log::RaftLog;
use super::progress::Progress;
use super::{
    ArchiveMark, Entry, Envelope, GroupConfiguration, Index, LogPosition, Message, Payload,
    StateMachine, Term,
};
use crate::LedgerConfig;

/// What a replica is in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether an election could be won.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// Why a proposal was not taken. Nothing was appended.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ProposeError {
    /// This replica does not lead, or is handing over.
    #[display("not the leader")]
    NotLeader,
    /// Another change of members is under way.
    #[display("a configuration change is in progress")]
    ChangeInProgress,
    /// The change moves more than one voter.
    #[display("only one voter may change at a time")]
    NotSingleStep,
}

/// An applied command.
#[derive(Clone, Debug)]
pub struct AppliedEntry<M: StateMachine> {
    /// Where the entry stands.
    pub position: LogPosition,
    /// The command; absent for entries that do not touch the state machine.
    pub command: Option<M::Command>,
    /// What came of it.
    pub outcome: Option<M::Outcome>,
}

/// Where a replica starts from.
#[derive(Clone, Debug)]
pub struct RaftStart<M> {
    /// Position that `state` contains.
    pub base: LogPosition,
    /// Members as of `base`.
    pub configuration: GroupConfiguration,
    /// State as of `base`.
    pub state: M,
    /// How far the archive holds the log.
    pub archived: ArchiveMark,
}

/// A leader's attempt to hand over.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeadershipTransfer {
    /// Who is to lead next.
    pub(super) target: NodeId,
    /// When the attempt ends.
    pub(super) deadline: Monotonic,
    /// Whether the target was told. It is told only once its log is complete: before that it could
    /// not win, and the leader would lose its leadership to nobody.
    pub(super) timeout_now_sent: bool,
}

/// One replica of a group.
///
/// Invariants: `applied <= commit <= log.last().index`; a vote is given at most once a term; the
/// term never falls; a leader commits only entries of its own term by counting.
pub struct Raft<M: StateMachine> {
    pub(super) id: NodeId,
    pub(super) settings: LedgerConfig,
    pub(super) term: Term,
    pub(super) voted_for: Option<NodeId>,
    pub(super) role: Role,
    pub(super) leader: Option<NodeId>,
    pub(super) log: RaftLog<M::Command>,
    pub(super) commit: Index,
    pub(super) applied: Index,
    pub(super) archived: ArchiveMark,
    pub(super) state: M,
    pub(super) last_leader_contact: Option<Monotonic>,
    pub(super) election_due: Monotonic,
    pub(super) heartbeat_due: Monotonic,
    pub(super) leader_since: Monotonic,
    pub(super) votes: BTreeSet<NodeId>,
    pub(super) leadership_transfer: Option<LeadershipTransfer>,
    pub(super) progress: BTreeMap<NodeId, Progress>,
    pub(super) outbox: Vec<Envelope<M>>,
    pub(super) random: Box<dyn RngCore + Send>,
}

impl<M: StateMachine> Raft<M> {
    /// A follower that starts from `start` at time `now`.
    pub fn new(
        id: NodeId,
        settings: LedgerConfig,
        start: RaftStart<M>,
        now: Monotonic,
        random: Box<dyn RngCore + Send>,
    ) -> Self {
        let base = start.base;
        let mut raft = Self {
            id,
            settings,
            term: base.term,
            voted_for: None,
            role: Role::Follower,
            leader: None,
            log: RaftLog::new(base, start.configuration),
            commit: base.index,
            applied: base.index,
            archived: start.archived,
            state: start.state,
            last_leader_contact: None,
            election_due: now,
            heartbeat_due: now,
            leader_since: now,
            votes: BTreeSet::new(),
            leadership_transfer: None,
            progress: BTreeMap::new(),
            outbox: Vec::new(),
            random,
        };
        raft.reset_election_timer(now);
        raft
    }

    /// Moves time forward: elections, heartbeats, check-quorum.
    pub fn tick(&mut self, now: Monotonic) {
        if self.role == Role::Leader {
            self.tick_leader(now);
        } else if now >= self.election_due && self.configuration().voters.contains(&self.id) {
            self.start_pre_vote(now);
        }
    }

    /// Takes a message from another replica of the same generation.
    pub fn receive(&mut self, from: NodeId, message: Message<M>, now: Monotonic) {
        match message {
            Message::PreVote { term, last } => self.on_pre_vote(from, term, last, now),
            Message::PreVoteReply { term, granted } => {
                self.on_pre_vote_reply(from, term, granted, now);
            }
            Message::Vote {
                term,
                last,
                handed_over,
            } => self.on_vote(from, term, last, handed_over, now),
            Message::VoteReply { term, granted } => self.on_vote_reply(from, term, granted, now),
            Message::Append {
                term,
                previous,
                entries,
                commit,
                archived,
                sent_at,
            } => {
                if self.accept_leader(from, term, now, sent_at) {
                    self.archived = self.archived.max(archived);
                    self.on_append(from, previous, entries, commit, sent_at);
                }
            }
            Message::InstallSnapshot {
                term,
                snapshot,
                sent_at,
            } => {
                if self.accept_leader(from, term, now, sent_at) {
                    self.on_snapshot(from, snapshot, sent_at);
                }
            }
            Message::AppendReply {
                term,
                outcome,
                sent_at,
            } => self.on_append_reply(from, term, outcome, sent_at, now),
            Message::TimeoutNow { term } => self.on_timeout_now(term, now),
        }
    }

    /// Appends a command. Its outcome comes out of [`Raft::apply_committed`] at the returned
    /// position, or never if another leader's entry takes its place.
    pub fn propose(
        &mut self,
        command: M::Command,
        now: Monotonic,
    ) -> Result<LogPosition, ProposeError> {
        self.ensure_may_propose()?;
        Ok(self.append_as_leader(Payload::Command(command), now))
    }

    /// Appends a change of members, in force at once.
    pub fn propose_configuration(
        &mut self,
        configuration: GroupConfiguration,
        now: Monotonic,
    ) -> Result<LogPosition, ProposeError> {
        self.ensure_may_propose()?;
        let has_committed_in_term = self.log.term_at(self.commit) == Some(self.term);
        if !has_committed_in_term || self.log.configuration_index() > self.commit {
            return Err(ProposeError::ChangeInProgress);
        }
        if !self.configuration().is_single_step_to(&configuration) {
            return Err(ProposeError::NotSingleStep);
        }
        Ok(self.append_as_leader(Payload::Configuration(configuration), now))
    }

    /// Hands leadership to the voter that is furthest along. Proposals are refused until the hand-over
    /// succeeds or is given up.
    pub fn transfer_leadership(&mut self, now: Monotonic) {
        if self.role != Role::Leader || self.leadership_transfer.is_some() {
            return;
        }
        let voters = self.configuration().voters.iter();
        let target = voters
            .filter(|id| **id != self.id)
            .max_by_key(|id| self.matched(**id))
            .copied();
        if let Some(target) = target {
            self.leadership_transfer = Some(LeadershipTransfer {
                target,
                deadline: now + self.settings.election_timeout * 2,
                timeout_now_sent: false,
            });
            self.advance_leadership_transfer(now);
        }
    }

    /// Applies what is committed and returns it in order.
    pub fn apply_committed(&mut self) -> Vec<AppliedEntry<M>> {
        let mut applied = Vec::new();
        while self.applied < self.commit {
            let Some(entry) = self.log.entry(self.applied + 1) else {
                break;
            };
            let (position, payload) = (entry.position, entry.payload.clone());
            self.applied = position.index;
            applied.push(self.apply_entry(position, payload));
        }
        self.compact();
        applied
    }

    fn apply_entry(
        &mut self,
        position: LogPosition,
        payload: Payload<M::Command>,
    ) -> AppliedEntry<M> {
        let Payload::Command(command) = payload else {
            return AppliedEntry {
                position,
                command: None,
                outcome: None,
            };
        };
        let outcome = self.state.apply(&command);
        AppliedEntry {
            position,
            command: Some(command),
            outcome: Some(outcome),
        }
    }

    /// Drops entries that are applied, archived and further back than the retained window.
    fn compact(&mut self) {
        let window = self.settings.retained_entries;
        if self.log.entry_count() < window * 2 {
            return;
        }
        let kept = self.applied.saturating_sub(window as u64);
        self.log.compact(kept.min(self.archived.index));
    }

    /// Messages to carry, in order.
    pub fn take_messages(&mut self) -> Vec<Envelope<M>> {
        std::mem::take(&mut self.outbox)
    }

    /// The replica's identity.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The leader, as far as known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// When a leader was last heard, on this replica's clock.
    pub fn last_leader_contact(&self) -> Option<Monotonic> {
        self.last_leader_contact
    }

    /// The highest applied index.
    pub fn applied_index(&self) -> Index {
        self.applied
    }

    /// When the lease ends, if this replica leads.
    pub fn lease_until(&self) -> Option<Monotonic> {
        self.lease_end()
    }

    /// The state as of the applied index.
    pub fn state(&self) -> &M {
        &self.state
    }

    /// The highest committed index.
    pub fn commit_index(&self) -> Index {
        self.commit
    }

    /// The members in force.
    pub fn configuration(&self) -> &GroupConfiguration {
        self.log.configuration()
    }

    /// Up to where the archive is known to hold the log.
    pub fn archived(&self) -> ArchiveMark {
        self.archived
    }

    /// Records how far the archive holds the log.
    pub fn set_archived(&mut self, mark: ArchiveMark) {
        self.archived = self.archived.max(mark);
    }

    /// Committed entries after `from`, at most `limit`, for the archive.
    pub fn committed_after(&self, from: Index, limit: usize) -> Vec<Entry<M::Command>> {
        let available = usize::try_from(self.commit.saturating_sub(from)).unwrap_or(usize::MAX);
        self.log.slice(from + 1, limit.min(available))
    }

    /// Whether a learner holds the leader's committed log and can become a voter.
    pub fn is_caught_up(&self, learner: NodeId) -> bool {
        self.progress
            .get(&learner)
            .is_some_and(|progress| progress.matched >= self.commit)
    }

    /// Whether this replica leads, has committed an entry of its own term, and no other leader can
    /// have been elected before now.
    pub fn holds_lease(&self, now: Monotonic) -> bool {
        self.role == Role::Leader
            && self
                .leadership_transfer
                .is_none_or(|leadership_transfer| !leadership_transfer.timeout_now_sent)
            && self.log.term_at(self.commit) == Some(self.term)
            && self.lease_end().is_some_and(|end| now < end)
    }

    fn ensure_may_propose(&self) -> Result<(), ProposeError> {
        if self.role != Role::Leader || self.leadership_transfer.is_some() {
            return Err(ProposeError::NotLeader);
        }
        Ok(())
    }

    pub(super) fn append_as_leader(
        &mut self,
        payload: Payload<M::Command>,
        now: Monotonic,
    ) -> LogPosition {
        let position = LogPosition {
            term: self.term,
            index: self.log.last().index + 1,
        };
        self.log.push(Entry { position, payload });
        self.adopt_configuration();
        self.replicate(now);
        self.advance_commit(now);
        position
    }

    pub(super) fn send(&mut self, to: NodeId, message: Message<M>) {
        self.outbox.push(Envelope { to, message });
    }
}
