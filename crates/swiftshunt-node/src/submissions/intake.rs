//! Acceptance of submissions in the ledger, and reads of their results.

use std::time::Duration;

use swiftshunt_ledger::state::{
    AcceptOutcome, Command, NewSubmission, Outcome, Submission, SubmissionResult, SubmissionStatus,
};
use swiftshunt_types::{
    Digest, ErrorKind, Failure, Monotonic, PartitionId, PoolName, SubmissionId, TenantName,
    partition_of,
};

use crate::context::Context;
use crate::ledger;
use crate::peer::{LedgerAnswer, LedgerOperation, LedgerQuery};

/// A submission as a caller sends it.
pub(crate) struct SubmitRequest {
    pub(crate) tenant: TenantName,
    /// Idempotency key, unique within the tenant.
    pub(crate) key: String,
    pub(crate) pool: PoolName,
    pub(crate) body: String,
    /// Whether the submission may be sent to a worker more than once.
    pub(crate) repeatable: bool,
    /// How long the caller waits for the result.
    pub(crate) wait: Duration,
}

/// Accepts a submission and waits for its result; the result is `None` if the submission has not
/// completed within `request.wait`. Fails with `KeyReused` if the idempotency key belongs to a
/// submission with different content.
pub(crate) async fn submit(
    context: &Context,
    request: SubmitRequest,
) -> Result<(SubmissionId, Option<SubmissionResult>), Failure> {
    let id = SubmissionId::derive(&request.tenant, &request.key);
    let partition = partition_of(id.as_str(), context.settings.ledger.partitions);
    let started = context.clock.now();
    accept(context, partition, &id, &request, started).await?;
    context.metrics.submissions.inc();
    let result = await_result(context, partition, &id, started + request.wait).await;
    Ok((id, result))
}

/// Commits the submission in the ledger; succeeds also if an equal one was accepted before.
async fn accept(
    context: &Context,
    partition: PartitionId,
    id: &SubmissionId,
    request: &SubmitRequest,
    started: Monotonic,
) -> Result<(), Failure> {
    let command = Command::AcceptSubmission(NewSubmission {
        id: id.clone(),
        tenant: request.tenant.clone(),
        pool: request.pool.clone(),
        digest: request_digest(request),
        body: request.body.clone(),
        repeatable: request.repeatable,
    });
    let deadline = started + context.settings.limits.leader_wait;
    let outcome = ledger::propose(context, partition, command, deadline).await;
    match outcome.map_err(ledger::to_failure)? {
        Outcome::Accept(AcceptOutcome::New | AcceptOutcome::Existing) => Ok(()),
        _ => Err(key_reused()),
    }
}

/// Returns the submission if an earlier request with the key was accepted, without accepting this one.
/// Fails with `KeyReused` if that request had different content.
pub(crate) async fn find_accepted(
    context: &Context,
    request: &SubmitRequest,
) -> Result<Option<Submission>, Failure> {
    let id = SubmissionId::derive(&request.tenant, &request.key);
    match read(context, &request.tenant, &id).await {
        Ok(submission) if submission.request.digest == request_digest(request) => {
            Ok(Some(submission))
        }
        Ok(_) => Err(key_reused()),
        Err(failure) if failure.kind == ErrorKind::NotFound => Ok(None),
        Err(failure) => Err(failure),
    }
}

fn key_reused() -> Failure {
    let message = "the idempotency key was used with another body";
    Failure::not_run(ErrorKind::KeyReused, message).with_param("Idempotency-Key")
}

/// Digest of the content. It distinguishes a repeated request from a reuse of its key.
fn request_digest(request: &SubmitRequest) -> Digest {
    let identity = format!("{}\n{}\n{}", request.pool, request.repeatable, request.body);
    Digest::of(identity.as_bytes())
}

/// Waits for the result of an accepted submission, also across changes of leader. `None` if the
/// deadline passes or the partition cannot be reached before it.
async fn await_result(
    context: &Context,
    partition: PartitionId,
    id: &SubmissionId,
    deadline: Monotonic,
) -> Option<SubmissionResult> {
    loop {
        let wait = deadline.saturating_sub(context.clock.now());
        if wait.is_zero() {
            return None;
        }
        let operation = LedgerOperation::AwaitSubmission {
            id: id.clone(),
            wait,
        };
        let answer = ledger::call(context, partition, operation, deadline).await;
        match answer {
            Ok(LedgerAnswer::Result(Some(result))) => return Some(result),
            Ok(_) => {}
            Err(_) => return None,
        }
    }
}

/// Reads a submission from the leader of its partition. `NotFound` also if it belongs to another
/// tenant.
pub(crate) async fn read(
    context: &Context,
    tenant: &TenantName,
    id: &SubmissionId,
) -> Result<Submission, Failure> {
    let partition = partition_of(id.as_str(), context.settings.ledger.partitions);
    let operation = LedgerOperation::Query(LedgerQuery::Submission(id.clone()));
    let deadline = context.clock.now() + context.settings.limits.leader_wait;
    let answer = ledger::call(context, partition, operation, deadline).await;
    let found = match answer.map_err(ledger::to_failure)? {
        LedgerAnswer::Submission(found) => found,
        _ => None,
    };
    let own = found.filter(|submission| submission.request.tenant == *tenant);
    let submission =
        own.ok_or_else(|| Failure::not_run(ErrorKind::NotFound, format!("no submission `{id}`")))?;
    if !submission.has_ended() {
        return Ok(submission);
    }
    // Awaiting the result ensures that it is archived and cannot be lost. If that fails before the
    // deadline, the result that was read above is returned, although it may not be archived.
    let result = await_result(context, partition, id, deadline).await;
    let status = result.map(SubmissionStatus::Completed);
    Ok(Submission {
        status: status.unwrap_or(submission.status),
        ..submission
    })
}
