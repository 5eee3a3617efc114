//! What reaches a driver.

use swiftshunt_backends::log_service::LogError;
use swiftshunt_ledger::archive::{ArchivePosition, Generation, Replay};
use swiftshunt_ledger::raft::{Index, Message};
use swiftshunt_ledger::state::LedgerState;
use swiftshunt_types::{Monotonic, NodeId};
use tokio::sync::oneshot;

use crate::peer::{LedgerAnswer, LedgerOperation, LedgerRefusal};

/// The answer to an operation.
pub(super) type Reply = oneshot::Sender<Result<LedgerAnswer, LedgerRefusal>>;

/// What reaches a driver.
pub(super) enum DriverInput {
    /// Messages from another replica.
    Raft {
        from: NodeId,
        generation: Generation,
        messages: Vec<Message<LedgerState>>,
    },
    /// An operation for the leader.
    Operation {
        operation: LedgerOperation,
        reply: Reply,
    },
    /// Where this replica stands in its group.
    Status {
        reply: oneshot::Sender<ReplicaStatus>,
    },
    /// News from the archive.
    Archive(ArchiveEvent),
}

/// News from the archive stream.
pub(super) enum ArchiveEvent {
    /// An append was answered.
    Appended { up_to: Index },
    /// An append failed or its answer was lost; the tail will show which.
    AppendFailed { reason: LogError },
    /// The leader's reader has advanced.
    Tail(ArchivePosition),
    /// The stream was read to its end, to learn whether the generation still stands.
    Verified {
        started_at: Monotonic,
        outcome: Result<ArchivePosition, LogError>,
    },
    /// The whole stream was replayed.
    Replayed(Result<Box<Replay>, LogError>),
    /// A claim was appended, or not; the next replay shows.
    ClaimAppended,
}

/// Where a replica stands in its group.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplicaStatus {
    /// It leads.
    pub(super) is_leader: bool,
    /// It votes, or is not needed here: another node of the zone holds the replica.
    pub(super) is_settled: bool,
}
