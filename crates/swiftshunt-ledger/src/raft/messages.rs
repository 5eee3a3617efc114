//! Messages between the replicas of a group.

use serde::{Deserialize, Serialize};
use swiftshunt_types::{Monotonic, NodeId};

use super::{ArchiveMark, Entry, GroupConfiguration, Index, LogPosition, StateMachine, Term};

/// A message and its receiver.
#[derive(Clone, Debug)]
pub struct Envelope<M: StateMachine> {
    /// Who receives it.
    pub to: NodeId,
    /// What is sent.
    pub message: Message<M>,
}

/// The state machine as of one position, for replicas too far behind for entries.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Snapshot<M> {
    /// The last entry that the state contains.
    pub position: LogPosition,
    /// The members as of that entry.
    pub configuration: GroupConfiguration,
    /// The state.
    pub state: M,
}

/// A message of the consensus protocol.
///
/// `sent_at` is the leader's own monotonic clock, echoed by the follower: a lease is counted from
/// when the leader sent, never from a follower's clock.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(bound(
    serialize = "M: Serialize, M::Command: Serialize",
    deserialize = "M: Deserialize<'de>, M::Command: Deserialize<'de>"
))]
pub enum Message<M: StateMachine> {
    /// Would you vote for me? Changes nothing at the receiver.
    PreVote {
        /// The term that the candidate would open.
        term: Term,
        /// The candidate's newest entry.
        last: LogPosition,
    },
    /// Answer to [`Message::PreVote`].
    PreVoteReply {
        /// The term asked for if granted, else the receiver's term.
        term: Term,
        /// Whether the receiver would vote.
        granted: bool,
    },
    /// Vote for me.
    Vote {
        /// The candidate's term.
        term: Term,
        /// The candidate's newest entry.
        last: LogPosition,
        /// Set when the leader handed over: its lease then does not stand in the way.
        handed_over: bool,
    },
    /// Answer to [`Message::Vote`].
    VoteReply {
        /// The receiver's term.
        term: Term,
        /// Whether the vote was given.
        granted: bool,
    },
    /// Entries, or none as a heartbeat.
    Append {
        /// The leader's term.
        term: Term,
        /// The entry before the first one sent.
        previous: LogPosition,
        /// The entries.
        entries: Vec<Entry<M::Command>>,
        /// The leader's commit index.
        commit: Index,
        /// Up to where the archive is known to hold the log.
        archived: ArchiveMark,
        /// The leader's clock at sending.
        sent_at: Monotonic,
    },
    /// The whole state, for a follower whose next entry the leader no longer holds.
    InstallSnapshot {
        /// The leader's term.
        term: Term,
        /// The state.
        snapshot: Snapshot<M>,
        /// The leader's clock at sending.
        sent_at: Monotonic,
    },
    /// Answer to [`Message::Append`] and [`Message::InstallSnapshot`].
    AppendReply {
        /// The receiver's term.
        term: Term,
        /// What came of it.
        outcome: AppendOutcome,
        /// The leader's clock, echoed.
        sent_at: Monotonic,
    },
    /// The leader hands over: call an election at once.
    TimeoutNow {
        /// The leader's term.
        term: Term,
    },
}

/// What a follower did with entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The log equals the leader's up to this index.
    Matched(Index),
    /// The entry before the first one sent is missing or differs; try again from here.
    Mismatch {
        /// The follower's best guess of the last index that could match.
        hint: Index,
    },
}
