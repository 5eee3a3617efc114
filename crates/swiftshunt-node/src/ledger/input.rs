//! Inputs of a driver.

use swiftshunt_backends::log_service::LogError;
use swiftshunt_ledger::archive::{ArchivePosition, Generation, Replay};
use swiftshunt_ledger::raft::{Index, Message};
use swiftshunt_ledger::state::LedgerState;
use swiftshunt_types::{Monotonic, NodeId, PartitionId};
use tokio::sync::oneshot;

use crate::peer::{LedgerAnswer, LedgerOperation, LedgerRefusal};

/// Channel for the answer to an operation.
pub(super) type Reply = oneshot::Sender<Result<LedgerAnswer, LedgerRefusal>>;

/// An input of a driver.
pub(super) enum DriverInput {
    /// Consensus messages from another replica.
    Raft {
        from: NodeId,
        generation: Generation,
        messages: Vec<Message<LedgerState>>,
    },
    /// An operation that only the partition's leader executes.
    Operation {
        operation: LedgerOperation,
        reply: Reply,
    },
    /// A request for the status of this node's replica.
    Status {
        reply: oneshot::Sender<ReplicaStatus>,
    },
    /// The result of an archive task.
    Archive(ArchiveEvent),
}

/// The result of a task that reads or appends to the archive stream.
pub(super) enum ArchiveEvent {
    /// An append of entries up to this index was acknowledged.
    Appended { up_to: Index },
    /// An append failed or its acknowledgement was lost; the reader of the tail shows which.
    AppendFailed { reason: LogError },
    /// The leader's reader of the tail reached this position.
    Tail(ArchivePosition),
    /// The stream was read to its end to check whether the replica's generation is still current.
    Verified {
        /// Time at which the read was started.
        started_at: Monotonic,
        outcome: Result<ArchivePosition, LogError>,
    },
    /// The stream was replayed from its start, or the replay failed.
    Replayed(Result<Box<Replay>, LogError>),
    /// An append of a claim ended; the next replay shows whether the claim is in the stream.
    ClaimAppended,
}

/// The status of this node's replica of a partition.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplicaStatus {
    /// The partition.
    pub(super) partition: PartitionId,
    /// Whether the replica is the leader.
    pub(super) is_leader: bool,
    /// Whether the replica is the leader and its lease is valid, so that it executes operations.
    pub(super) holds_lease: bool,
    /// Whether the replica is a voter or is not needed on this node, because the zone's candidate is
    /// another node or does not exist.
    pub(super) is_settled: bool,
}
