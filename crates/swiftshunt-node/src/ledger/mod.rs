//! The ledger's I/O: a driver task for each partition of which this node holds a replica, reads and
//! appends of the archive, and the client that finds a partition's leader.

mod acknowledgements;
mod archive_io;
mod archive_writer;
mod client;
mod driver;
mod effects;
mod hints;
mod input;
mod leadership;
mod queries;
mod recovery;
mod replica;
mod supervisor;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use swiftshunt_types::PartitionId;
use tokio::sync::{mpsc, oneshot};

pub(crate) use client::{CallFailure, call, propose, to_failure, to_failure_of_new};
pub(crate) use leadership::LeaseClock;
pub(crate) use supervisor::supervise;

use crate::context::Context;
use crate::lock;
use crate::peer::{LedgerAnswer, LedgerOperation, LedgerRefusal, RaftBatch};
use driver::Driver;
use input::{DriverInput, ReplicaStatus};

/// The driver tasks of this node, by partition.
#[derive(Default)]
pub(crate) struct Ledger {
    drivers: Mutex<BTreeMap<PartitionId, mpsc::UnboundedSender<DriverInput>>>,
}

impl Ledger {
    /// Starts the driver of a partition unless it is running.
    pub(crate) fn ensure_driver(&self, context: &Arc<Context>, partition: PartitionId) {
        let mut drivers = lock(&self.drivers);
        drivers
            .entry(partition)
            .or_insert_with(|| Driver::start(Arc::clone(context), partition));
    }

    /// Passes consensus messages to the partition's driver. Drops them if the partition does
    /// not exist or if they are addressed to another node identity, such as that of an earlier process
    /// on this address.
    pub(crate) fn receive(&self, context: &Arc<Context>, batch: RaftBatch) {
        if batch.to != context.own.id || batch.partition.0 >= context.settings.ledger.partitions {
            return;
        }
        self.ensure_driver(context, batch.partition);
        let input = DriverInput::Raft {
            from: batch.from,
            generation: batch.generation,
            messages: batch.messages,
        };
        if let Some(driver) = self.driver(batch.partition) {
            drop(driver.send(input));
        }
    }

    /// Executes an operation if this node leads the partition; otherwise fails with
    /// [`LedgerRefusal::NotLeader`].
    ///
    /// [`LedgerRefusal::Lost`] means that leadership ended before the outcome was known. A wait for
    /// a submission answers `LedgerAnswer::Result(None)` if its time runs out.
    pub(crate) async fn execute_local(
        &self,
        partition: PartitionId,
        operation: LedgerOperation,
    ) -> Result<LedgerAnswer, LedgerRefusal> {
        let not_leader = LedgerRefusal::NotLeader { hint: None };
        let Some(driver) = self.driver(partition) else {
            return Err(not_leader);
        };
        let wait = match &operation {
            LedgerOperation::AwaitSubmission { wait, .. } => Some(*wait),
            _ => None,
        };
        let (reply, answer) = oneshot::channel();
        let input = DriverInput::Operation { operation, reply };
        if driver.send(input).is_err() {
            return Err(not_leader);
        }
        let Some(wait) = wait else {
            return answer.await.unwrap_or(Err(LedgerRefusal::Lost));
        };
        match tokio::time::timeout(wait, answer).await {
            Ok(answered) => answered.unwrap_or(Err(LedgerRefusal::Lost)),
            Err(_) => Ok(LedgerAnswer::Result(None)),
        }
    }

    /// Whether this node leads any partition.
    pub(crate) async fn leads_any(&self) -> bool {
        let statuses = self.statuses().await;
        statuses.iter().any(|status| status.is_leader)
    }

    /// The partitions that this node leads with a valid lease.
    pub(crate) async fn led_partitions(&self) -> BTreeSet<PartitionId> {
        let statuses = self.statuses().await;
        let led = statuses.iter().filter(|status| status.holds_lease);
        led.map(|status| status.partition).collect()
    }

    /// Whether this node is a voter, and so has caught up once, in every partition of which it should
    /// hold a replica. Only partitions whose driver runs are considered.
    pub(crate) async fn is_settled(&self) -> bool {
        let statuses = self.statuses().await;
        statuses.iter().all(|status| status.is_settled)
    }

    async fn statuses(&self) -> Vec<ReplicaStatus> {
        let drivers: Vec<_> = lock(&self.drivers).values().cloned().collect();
        let mut statuses = Vec::new();
        for driver in drivers {
            let (reply, answer) = oneshot::channel();
            if driver.send(DriverInput::Status { reply }).is_ok() {
                statuses.extend(answer.await);
            }
        }
        statuses
    }

    fn driver(&self, partition: PartitionId) -> Option<mpsc::UnboundedSender<DriverInput>> {
        lock(&self.drivers).get(&partition).cloned()
    }
}
