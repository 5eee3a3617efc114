//! A Raft replica: its state and the methods that a driver calls.

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

/// The role of a replica in its current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for an election.
    Follower,
    /// Asks the other voters whether it could win an election.
    PreCandidate,
    /// Requests votes in a new term.
    Candidate,
    /// Leads the group in the current term.
    Leader,
}

/// The reason why a proposal was rejected; nothing was appended to the log.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ProposeError {
    /// This replica is not the leader or is transferring its leadership.
    #[display("not the leader")]
    NotLeader,
    /// Another configuration change is uncommitted, or the leader has committed no entry of its term
    /// yet.
    #[display("a configuration change is in progress")]
    ChangeInProgress,
    /// The change adds or removes more than one voter.
    #[display("only one voter may change at a time")]
    NotSingleStep,
}

/// A committed entry that has been applied.
#[derive(Clone, Debug)]
pub struct AppliedEntry<M: StateMachine> {
    /// Term and index of the entry.
    pub position: LogPosition,
    /// The command; `None` for entries without one.
    pub command: Option<M::Command>,
    /// The outcome of the command; `None` for entries without a command.
    pub outcome: Option<M::Outcome>,
}

/// The initial state of a replica.
#[derive(Clone, Debug)]
pub struct RaftStart<M> {
    /// The last entry that is applied to `state`.
    pub base: LogPosition,
    /// The configuration as of `base`.
    pub configuration: GroupConfiguration,
    /// The state as of `base`.
    pub state: M,
    /// The part of the log that is known to be in the archive.
    pub archived: ArchiveMark,
}

/// A leadership transfer in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeadershipTransfer {
    /// The voter that should become the leader.
    pub(super) target: NodeId,
    /// Time at which the transfer ends if the target has not become the leader.
    pub(super) deadline: Monotonic,
    /// Whether [`Message::TimeoutNow`] was sent to the target. It is sent only once the target's log
    /// is complete: before that the target could not win the election, and the group would be
    /// without a leader.
    pub(super) timeout_now_sent: bool,
}

/// One replica of a group.
///
/// Invariants: `applied <= commit <= log.last().index`; the replica votes at most once in a term; the
/// term never decreases; a leader commits only entries of its own term by counting replicas.
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
    /// Time at which a voter that is not the leader starts a pre-vote.
    pub(super) election_due: Monotonic,
    pub(super) heartbeat_due: Monotonic,
    pub(super) leader_since: Monotonic,
    /// Voters that granted the current pre-vote or vote, including this replica.
    pub(super) votes: BTreeSet<NodeId>,
    pub(super) leadership_transfer: Option<LeadershipTransfer>,
    pub(super) progress: BTreeMap<NodeId, Progress>,
    pub(super) outbox: Vec<Envelope<M>>,
    pub(super) random: Box<dyn RngCore + Send>,
}

impl<M: StateMachine> Raft<M> {
    /// Creates a follower with the state `start`, whose election timer starts at `now`.
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

    /// Runs what is due at `now`: elections, heartbeats, check-quorum and leadership transfer.
    pub fn tick(&mut self, now: Monotonic) {
        if self.role == Role::Leader {
            self.tick_leader(now);
        } else if now >= self.election_due && self.configuration().voters.contains(&self.id) {
            self.start_pre_vote(now);
        }
    }

    /// Handles a message from another replica of the same generation.
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

    /// Appends a command to the log. [`Raft::apply_committed`] returns its outcome at the returned
    /// position, unless another leader's entry replaces it.
    pub fn propose(
        &mut self,
        command: M::Command,
        now: Monotonic,
    ) -> Result<LogPosition, ProposeError> {
        self.ensure_may_propose()?;
        Ok(self.append_as_leader(Payload::Command(command), now))
    }

    /// Appends a configuration change, which is in force at once.
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

    /// Starts to transfer leadership to the voter with the highest matching index. Does nothing if
    /// this replica is not the leader or a transfer is in progress. Proposals are rejected until the
    /// transfer succeeds or its deadline passes.
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

    /// Applies committed entries to the state and returns them in log order.
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

    /// Removes entries that are applied, archived and older than the retained window, once the log
    /// holds at least twice the window.
    fn compact(&mut self) {
        let window = self.settings.retained_entries;
        if self.log.entry_count() < window * 2 {
            return;
        }
        let last_removable = self.applied.saturating_sub(window as u64);
        self.log.compact(last_removable.min(self.archived.index));
    }

    /// Takes the messages to deliver, in the order of sending.
    pub fn take_messages(&mut self) -> Vec<Envelope<M>> {
        std::mem::take(&mut self.outbox)
    }

    /// The node that holds this replica.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// The replica's current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The replica's role in the current term.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The leader of the current term; `None` if it is unknown.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Time of the last message from a leader, on this replica's clock; `None` if there was none.
    pub fn last_leader_contact(&self) -> Option<Monotonic> {
        self.last_leader_contact
    }

    /// The highest applied index.
    pub fn applied_index(&self) -> Index {
        self.applied
    }

    /// End of the leader lease on this replica's clock; `None` if no quorum has acknowledged a message.
    pub fn lease_until(&self) -> Option<Monotonic> {
        self.lease_end()
    }

    /// The state machine as of the applied index.
    pub fn state(&self) -> &M {
        &self.state
    }

    /// The highest committed index.
    pub fn commit_index(&self) -> Index {
        self.commit
    }

    /// The configuration in force, whether committed or not.
    pub fn configuration(&self) -> &GroupConfiguration {
        self.log.configuration()
    }

    /// The part of the log that is known to be in the archive.
    pub fn archived(&self) -> ArchiveMark {
        self.archived
    }

    /// Records the part of the log that is in the archive; an older mark is ignored.
    pub fn set_archived(&mut self, mark: ArchiveMark) {
        self.archived = self.archived.max(mark);
    }

    /// At most `limit` committed entries after index `from`, for the archive.
    pub fn committed_after(&self, from: Index, limit: usize) -> Vec<Entry<M::Command>> {
        let available = usize::try_from(self.commit.saturating_sub(from)).unwrap_or(usize::MAX);
        self.log.slice(from + 1, limit.min(available))
    }

    /// Whether a learner is known to hold every committed entry, so that it can become a voter. `false`
    /// for this replica itself and unless it is the leader.
    pub fn is_caught_up(&self, learner: NodeId) -> bool {
        self.progress
            .get(&learner)
            .is_some_and(|progress| progress.matched >= self.commit)
    }

    /// Whether this replica is the leader, has committed an entry of its term and holds a valid
    /// lease, so that no other leader can have been elected before `now`. It is `false` as soon as a
    /// leadership transfer has sent [`Message::TimeoutNow`].
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
