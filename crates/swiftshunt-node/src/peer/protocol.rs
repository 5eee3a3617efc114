//! Messages between nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use swiftshunt_ledger::archive::Generation;
use swiftshunt_ledger::raft::{Index, Message, Term};
use swiftshunt_ledger::routes::{LeaderAddress, LeaderHint};
use swiftshunt_ledger::state::{
    Command, Job, LedgerState, Outcome, PoolState, Submission, SubmissionResult,
};
use swiftshunt_membership::{Member, MemberRecord};
use swiftshunt_types::{JobId, NodeId, PartitionId, PoolName, SubmissionId, WorkerId};

/// Versions of the state that every node replicates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StateVersions {
    /// Version of the fleet configuration.
    pub(crate) configuration: u64,
    /// Version of the machine list.
    pub(crate) machines: u64,
}

/// A probe or its answer, with the updates that are piggybacked on it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Gossip {
    /// The sending node.
    pub(crate) from: Member,
    /// Number of ledger partitions in the sender's settings. Messages with a number other than the
    /// receiver's are ignored.
    pub(crate) partitions: u16,
    /// Versions of the replicated state that the sender holds.
    pub(crate) versions: StateVersions,
    /// Records of members.
    pub(crate) members: Vec<MemberRecord>,
    /// Hints on the leaders of partitions.
    pub(crate) routes: Vec<LeaderHint>,
    /// Workers that accept no new requests, by their own report or an operator's statement; identifier and
    /// address.
    pub(crate) leaving_workers: Vec<(WorkerId, SocketAddr)>,
    /// Hash of the members and leaders that the sender knows.
    pub(crate) digest: u64,
    /// Whether `members` and `routes` hold all that the sender knows, rather than recent updates.
    pub(crate) complete: bool,
}

/// A request to probe a node on behalf of the sender, which does not reach that node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ProbeRequest {
    /// Peer address of the node to probe.
    pub(crate) target: SocketAddr,
}

/// Answer to a [`ProbeRequest`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct ProbeAnswer {
    /// The node that answered at the probed address; `None` if none did.
    pub(crate) answered_by: Option<NodeId>,
}

/// Consensus messages for one replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RaftBatch {
    /// The sending node.
    pub(crate) from: NodeId,
    /// The receiving node. A process restarted at the same address has another identity and must
    /// ignore the messages.
    pub(crate) to: NodeId,
    /// The partition whose replicas exchange the messages.
    pub(crate) partition: PartitionId,
    /// The partition's generation.
    pub(crate) generation: Generation,
    /// The messages, in order.
    pub(crate) messages: Vec<Message<LedgerState>>,
}

/// A request to the leader of a partition.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct LedgerRequest {
    /// The partition.
    pub(crate) partition: PartitionId,
    /// The operation to carry out.
    pub(crate) operation: LedgerOperation,
}

/// An operation at the leader of a partition. Every operation is idempotent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum LedgerOperation {
    /// Commit a command and answer with its outcome.
    Propose(Command),
    /// Read the partition's state.
    Query(LedgerQuery),
    /// Wait until a submission has a result.
    AwaitSubmission {
        /// The submission.
        id: SubmissionId,
        /// How long to wait; the answer is `None` after that.
        wait: Duration,
    },
}

/// A read of a partition's state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum LedgerQuery {
    /// One submission.
    Submission(SubmissionId),
    /// All submissions of the partition.
    Submissions,
    /// One job.
    Job(JobId),
    /// All jobs of the partition.
    Jobs,
    /// Events, targets and orders of one pool.
    Pool(PoolName),
    /// Events, targets and orders of all pools of the partition.
    Pools,
    /// State of the partition's consensus group.
    Partition,
}

/// State of a partition's consensus group, as its leader sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PartitionView {
    /// The partition.
    pub(crate) partition: PartitionId,
    /// The partition's generation.
    pub(crate) generation: Generation,
    /// The current term.
    pub(crate) term: Term,
    /// The leader that answers.
    pub(crate) leader: NodeId,
    /// The voting replicas.
    pub(crate) voters: Vec<NodeId>,
    /// The replicas without a vote.
    pub(crate) learners: Vec<NodeId>,
    /// The highest committed index.
    pub(crate) committed: Index,
    /// The highest archived index.
    pub(crate) archived: Index,
    /// Number of submissions without a result.
    pub(crate) open_submissions: u64,
    /// Number of running jobs.
    pub(crate) running_jobs: u64,
}

/// A leader's answer to a [`LedgerOperation`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum LedgerAnswer {
    /// Answer to [`LedgerOperation::Propose`].
    Outcome(Outcome),
    /// Answer to [`LedgerQuery::Submission`]; `None` if there is no such submission.
    Submission(Option<Submission>),
    /// Answer to [`LedgerQuery::Submissions`].
    Submissions(Vec<Submission>),
    /// Answer to [`LedgerQuery::Job`]; `None` if there is no such job.
    Job(Option<Job>),
    /// Answer to [`LedgerQuery::Jobs`].
    Jobs(Vec<Job>),
    /// Answer to [`LedgerQuery::Pool`].
    Pool(PoolState),
    /// Answer to [`LedgerQuery::Pools`].
    Pools(BTreeMap<PoolName, PoolState>),
    /// Answer to [`LedgerQuery::Partition`].
    Partition(PartitionView),
    /// Answer to [`LedgerOperation::AwaitSubmission`]; `None` if the submission has no result in time.
    Result(Option<SubmissionResult>),
}

/// Why a replica did not carry out an operation.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum LedgerRefusal {
    /// The replica does not lead the partition; nothing was appended.
    #[display("not the leader")]
    NotLeader {
        /// The leader, as far as the replica knows it.
        hint: Option<LeaderAddress>,
    },
    /// The replica lost leadership after it appended the command, which may still be committed.
    #[display("leadership was lost before the outcome was known")]
    Lost,
}
