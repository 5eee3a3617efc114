//! Finds a partition's leader and sends operations to it, retrying during elections.

use std::time::Duration;

use swiftshunt_ledger::state::{Command, Outcome};
use swiftshunt_scheduler::retry::backoff;
use swiftshunt_types::{ErrorKind, Failure, Monotonic, PartitionId};

use crate::context::Context;
use crate::fleet::replica_zones_of;
use crate::lock;
use crate::peer::{LedgerAnswer, LedgerOperation, LedgerRefusal, LedgerRequest};

/// Base delay of the backoff between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(10);
/// Timeout of one attempt, in addition to the time for which the operation itself waits.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// `Retry-After` for callers while a partition has no leader.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Message of the failure that callers receive if no leader confirmed an operation.
const NO_LEADER: &str = "the ledger has no leader for this key at the moment";

/// An operation that no leader confirmed before its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallFailure {
    /// Whether a leader may have executed the operation.
    pub(crate) may_have_executed: bool,
}

/// The result of one attempt. `Refused`: no leader executed the operation; `Uncertain`: a leader may
/// have executed it.
enum Attempt {
    Answered(Box<LedgerAnswer>),
    Refused,
    Uncertain,
}

/// Executes an operation at the partition's leader, retrying until `deadline` or until no leader can
/// be found.
///
/// Every operation may be repeated, so an attempt whose answer was lost is retried as well.
pub(crate) async fn call(
    context: &Context,
    partition: PartitionId,
    operation: LedgerOperation,
    deadline: Monotonic,
) -> Result<LedgerAnswer, CallFailure> {
    let mut may_have_executed = false;
    let mut attempt = 0;
    loop {
        match attempt_call(context, partition, &operation, deadline).await {
            Attempt::Answered(answer) => return Ok(*answer),
            Attempt::Refused => {}
            Attempt::Uncertain => may_have_executed = true,
        }
        let delay = backoff(RETRY_DELAY, attempt, &mut rand::rng());
        attempt += 1;
        let exceeds_deadline = context.clock.now() + delay >= deadline;
        if exceeds_deadline || !may_find_leader(context, partition) {
            let failed = CallFailure { may_have_executed };
            log_failed_call(context, partition, failed, attempt, exceeds_deadline);
            return Err(failed);
        }
        tokio::time::sleep(delay).await;
    }
}

/// Logs a failed call with what this node knows of the partition's leader.
fn log_failed_call(
    context: &Context,
    partition: PartitionId,
    failed: CallFailure,
    attempts: u32,
    exceeds_deadline: bool,
) {
    let known = lock(&context.routes).table.hint(partition).copied();
    log::info!(partition = partition.0, attempts, exceeds_deadline, known_hint:? = known,
        may_have_executed = failed.may_have_executed;
        "no leader of the partition confirmed an operation");
}

/// Whether a leader can be found by waiting: a majority of the partition's zones is reachable, or a
/// leader is known.
fn may_find_leader(context: &Context, partition: PartitionId) -> bool {
    let membership = lock(&context.membership);
    let reachable = membership.reachable_zones();
    let zones = replica_zones_of(context, partition);
    let reachable_count = zones.iter().filter(|zone| reachable.contains(zone)).count();
    let has_known_leader = lock(&context.routes).table.leader(partition).is_some();
    reachable_count > zones.len() / 2 || has_known_leader
}

async fn attempt_call(
    context: &Context,
    partition: PartitionId,
    operation: &LedgerOperation,
    deadline: Monotonic,
) -> Attempt {
    match context
        .ledger
        .execute_local(partition, operation.clone())
        .await
    {
        Ok(answer) => return Attempt::Answered(Box::new(answer)),
        Err(LedgerRefusal::Lost) => return Attempt::Uncertain,
        Err(LedgerRefusal::NotLeader { .. }) => {}
    }
    let leader = lock(&context.routes).table.leader(partition);
    let Some(leader) = leader.filter(|leader| leader.node != context.own.id) else {
        return Attempt::Refused;
    };
    let await_time = match operation {
        LedgerOperation::AwaitSubmission { wait, .. } => *wait,
        _ => Duration::ZERO,
    };
    let remaining = deadline.saturating_sub(context.clock.now());
    let timeout = (ATTEMPT_TIMEOUT + await_time).min(remaining.max(RETRY_DELAY) + await_time);
    let request = LedgerRequest {
        partition,
        operation: operation.clone(),
    };
    match context
        .peers
        .ledger(leader.address, &request, timeout)
        .await
    {
        Ok(Ok(answer)) => Attempt::Answered(Box::new(answer)),
        Ok(Err(LedgerRefusal::NotLeader { .. })) => Attempt::Refused,
        Ok(Err(LedgerRefusal::Lost)) => Attempt::Uncertain,
        Err(error) if error.was_not_sent() => Attempt::Refused,
        Err(_) => Attempt::Uncertain,
    }
}

/// Commits a command and returns its outcome.
pub(crate) async fn propose(
    context: &Context,
    partition: PartitionId,
    command: Command,
    deadline: Monotonic,
) -> Result<Outcome, CallFailure> {
    let operation = LedgerOperation::Propose(command);
    match call(context, partition, operation, deadline).await? {
        LedgerAnswer::Outcome(outcome) => Ok(outcome),
        _ => Err(CallFailure {
            may_have_executed: true,
        }),
    }
}

/// Converts a failed call to the failure that the caller receives, for an operation on an identifier
/// that earlier requests may have named.
///
/// The failure never says that nothing ran: this node found no leader, so it knows nothing of what an
/// earlier request under the same identifier did.
pub(crate) fn to_failure(_failed: CallFailure) -> Failure {
    Failure::unknown(ErrorKind::Unavailable, NO_LEADER).with_retry_after(RETRY_AFTER)
}

/// Converts a failed call to the failure that the caller receives, for an operation on an identifier
/// that was generated for this request, so that no earlier request can have named it.
pub(crate) fn to_failure_of_new(failed: CallFailure) -> Failure {
    if failed.may_have_executed {
        return to_failure(failed);
    }
    Failure::not_run(ErrorKind::Unavailable, NO_LEADER).with_retry_after(RETRY_AFTER)
}
