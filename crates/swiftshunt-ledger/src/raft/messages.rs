//! Messages that the replicas of a group exchange.

use serde::{Deserialize, Serialize};
use swiftshunt_types::{Monotonic, NodeId};

use super::{ArchiveMark, Entry, GroupConfiguration, Index, LogPosition, StateMachine, Term};

/// A message and its receiver.
#[derive(Clone, Debug)]
pub struct Envelope<M: StateMachine> {
    /// The replica that receives the message.
    pub to: NodeId,
    /// The message to send.
    pub message: Message<M>,
}

/// The state machine as of one log position, for replicas that need entries which the leader has
/// compacted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Snapshot<M> {
    /// The last entry that is applied to the state.
    pub position: LogPosition,
    /// The configuration as of that entry.
    pub configuration: GroupConfiguration,
    /// The state as of that entry.
    pub state: M,
}

/// A message of the consensus protocol.
///
/// `sent_at` is a reading of the leader's monotonic clock, which the follower echoes: a lease is
/// counted from the time of sending on the leader's clock, never from a follower's clock.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(bound(
    serialize = "M: Serialize, M::Command: Serialize",
    deserialize = "M: Deserialize<'de>, M::Command: Deserialize<'de>"
))]
pub enum Message<M: StateMachine> {
    /// Asks whether the receiver would vote for the sender. Does not change the receiver's state.
    PreVote {
        /// The term in which the candidate would run.
        term: Term,
        /// Position of the candidate's last entry.
        last: LogPosition,
    },
    /// Reply to [`Message::PreVote`].
    PreVoteReply {
        /// The requested term if the pre-vote is granted, otherwise the receiver's term.
        term: Term,
        /// Whether the receiver would vote for the candidate.
        granted: bool,
    },
    /// Requests a vote for the sender.
    Vote {
        /// The candidate's term.
        term: Term,
        /// Position of the candidate's last entry.
        last: LogPosition,
        /// Whether the candidate runs at the leader's request, by [`Message::TimeoutNow`]; the
        /// receiver then ignores the leader's lease.
        handed_over: bool,
    },
    /// Reply to [`Message::Vote`].
    VoteReply {
        /// The receiver's term.
        term: Term,
        /// Whether the receiver voted for the candidate.
        granted: bool,
    },
    /// Replicates entries; without entries it is a heartbeat.
    Append {
        /// The leader's term.
        term: Term,
        /// Position of the entry before the first one sent.
        previous: LogPosition,
        /// The entries to append, in log order.
        entries: Vec<Entry<M::Command>>,
        /// The leader's commit index.
        commit: Index,
        /// The part of the log that the leader knows to be in the archive.
        archived: ArchiveMark,
        /// Time of sending on the leader's clock.
        sent_at: Monotonic,
    },
    /// Transfers the whole state to a follower whose next entry the leader has compacted.
    InstallSnapshot {
        /// The leader's term.
        term: Term,
        /// The leader's state as of its applied index.
        snapshot: Snapshot<M>,
        /// Time of sending on the leader's clock.
        sent_at: Monotonic,
    },
    /// Reply to [`Message::Append`] and [`Message::InstallSnapshot`].
    AppendReply {
        /// The receiver's term.
        term: Term,
        /// Whether the receiver's log matches the leader's.
        outcome: AppendOutcome,
        /// The `sent_at` of the message that this replies to.
        sent_at: Monotonic,
    },
    /// Leadership transfer: tells the receiver to start an election at once.
    TimeoutNow {
        /// The leader's term.
        term: Term,
    },
}

/// The result of an append or of a snapshot at the follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The follower's log matches the leader's up to this index.
    Matched(Index),
    /// The entry before the first one sent is missing or has another term.
    Mismatch {
        /// The last index that may match, as estimated by the follower; the leader retries after it.
        hint: Index,
    },
}
