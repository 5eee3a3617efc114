//! The leader's side of a submission: decide, commit the decision, send, record the result.
//!
//! The decision to send is committed before a byte is written, so whoever leads next finds it and
//! asks the worker by key instead of sending blindly.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use swiftshunt_backends::submission::{ExecutionState, WorkerAnswer, WorkerError};
use swiftshunt_ledger::state::{
    Command, Dispatch, DispatchId, DispatchOutcome, NewSubmission, Outcome, Submission,
    SubmissionResult, SubmissionStatus,
};
use swiftshunt_scheduler::retry::backoff;
use swiftshunt_types::{Monotonic, PartitionId, SubmissionId, WorkerId, partition_of};
use tokio_util::sync::CancellationToken;

use crate::context::{Context, random_u64};
use crate::ledger::{self, LeaseClock};
use crate::lifecycle::InProgress;
use crate::lock;
use crate::peer::{LedgerAnswer, LedgerOperation, LedgerQuery};

/// First pause between tries.
const RETRY_DELAY: Duration = Duration::from_millis(25);
/// How long a worker that was sent a submission is asked for its outcome before it counts as gone.
const WORKER_LOST_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a worker must say "not started" before a submission that is not repeatable is settled:
/// an earlier leader may still be about to send it.
const NOT_STARTED_SETTLE_DELAY: Duration = Duration::from_secs(2);
/// How long one inquiry may take.
const INQUIRY_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a result is offered to leaders before the next leader's inquiry must find it.
const RECORD_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs one submission until it has ended or this leadership is over.
pub(crate) async fn run_submission(
    context: Arc<Context>,
    partition: PartitionId,
    id: SubmissionId,
    lease: LeaseClock,
    stopped: CancellationToken,
) {
    let execution = Execution {
        context,
        partition,
        id,
        lease,
        stopped,
    };
    execution.run().await;
}

struct Execution {
    context: Arc<Context>,
    partition: PartitionId,
    id: SubmissionId,
    lease: LeaseClock,
    stopped: CancellationToken,
}

/// What follows one step.
enum Step {
    /// A result to record.
    Finished(SubmissionResult),
    /// Look at the ledger again, after a pause.
    Retry,
    /// The leadership is over.
    LeadershipEnded,
}

impl Execution {
    async fn run(&self) {
        let mut attempt = 0;
        while !self.stopped.is_cancelled() {
            let Some(submission) = self.read_submission().await else {
                return;
            };
            let step = match &submission.status {
                SubmissionStatus::Accepted => self.dispatch_accepted(&submission.request).await,
                SubmissionStatus::Dispatched(dispatch) => {
                    self.resolve_outcome(&submission.request, dispatch).await
                }
                SubmissionStatus::Completed(_) => return,
            };
            match step {
                Step::Finished(result) => return self.record(result).await,
                Step::LeadershipEnded => return,
                Step::Retry => {}
            }
            let delay = backoff(RETRY_DELAY, attempt, &mut rand::rng());
            attempt += 1;
            tokio::time::sleep(delay).await;
        }
    }

    async fn read_submission(&self) -> Option<Submission> {
        let query = LedgerQuery::Submission(self.id.clone());
        let operation = LedgerOperation::Query(query);
        match self
            .context
            .ledger
            .execute_local(self.partition, operation)
            .await
        {
            Ok(LedgerAnswer::Submission(found)) => found,
            _ => None,
        }
    }

    /// Sends an accepted submission to a worker.
    async fn dispatch_accepted(&self, request: &NewSubmission) -> Step {
        match self.choose_worker(request, None) {
            Some((worker, address)) => self.dispatch(request, worker, address, None).await,
            None => Step::Retry,
        }
    }

    /// Commits the decision to send, then sends.
    async fn dispatch(
        &self,
        request: &NewSubmission,
        worker: WorkerId,
        address: SocketAddr,
        supersedes: Option<DispatchId>,
    ) -> Step {
        let dispatch = DispatchId(random_u64());
        let command = Command::DispatchSubmission {
            submission: self.id.clone(),
            dispatch,
            worker: worker.clone(),
            supersedes,
        };
        let operation = LedgerOperation::Propose(command);
        let answer = self
            .context
            .ledger
            .execute_local(self.partition, operation)
            .await;
        let granted = match answer {
            Ok(LedgerAnswer::Outcome(Outcome::Dispatch(DispatchOutcome::Granted(granted)))) => {
                granted
            }
            Ok(_) => return Step::Retry,
            Err(_) => return Step::LeadershipEnded,
        };
        self.explain(
            format!("dispatch {dispatch} to worker {worker}"),
            format!(
                "least loaded worker of pool {}; attempt {}",
                request.pool, granted.attempt
            ),
        );
        self.perform(request, &granted, address).await
    }

    /// Sends under a committed decision. Between the commit and this point the process may have
    /// been stopped for any time, so the lease is looked at last.
    async fn perform(
        &self,
        request: &NewSubmission,
        dispatch: &Dispatch,
        address: SocketAddr,
    ) -> Step {
        if !self.lease.is_valid(self.context.clock.now()) {
            return Step::LeadershipEnded;
        }
        let in_flight = self.track_in_flight(&dispatch.worker);
        let timeout = self.context.settings.limits.worker_timeout;
        let workers = &self.context.submission_workers;
        let body = request.body.clone();
        let answer = workers.perform(address, &self.id, body, timeout).await;
        drop(in_flight);
        match answer {
            Ok(answer) => Step::Finished(answered_result(answer)),
            Err(WorkerError::NotStarted { reason }) => {
                self.release(dispatch, reason).await;
                Step::Retry
            }
            Err(WorkerError::Unknown { source }) => {
                self.explain(
                    format!("ask worker {} for the outcome", dispatch.worker),
                    source.to_string(),
                );
                Step::Retry
            }
        }
    }

    /// Takes the decision back: the worker certainly did not start.
    async fn release(&self, dispatch: &Dispatch, reason: String) {
        let now = self.context.clock.now();
        lock(&self.context.workers).record_connection_failure(&dispatch.worker, now);
        self.explain(format!("take dispatch {} back", dispatch.id), reason);
        let command = Command::ReleaseSubmission {
            submission: self.id.clone(),
            dispatch: dispatch.id,
        };
        let operation = LedgerOperation::Propose(command);
        drop(
            self.context
                .ledger
                .execute_local(self.partition, operation)
                .await,
        );
    }

    /// Finds out what became of a decision whose answer is missing.
    async fn resolve_outcome(&self, request: &NewSubmission, dispatch: &Dispatch) -> Step {
        let started = self.context.clock.now();
        let mut attempt = 0;
        loop {
            if self.stopped.is_cancelled() {
                return Step::LeadershipEnded;
            }
            let elapsed = self.context.clock.now().saturating_sub(started);
            match self.query_worker(dispatch).await {
                ExecutionQuery::Finished(answer) => return Step::Finished(answered_result(answer)),
                ExecutionQuery::Running => {}
                ExecutionQuery::NotStarted if request.repeatable => {
                    return self.redispatch(request, dispatch).await;
                }
                ExecutionQuery::NotStarted if elapsed >= NOT_STARTED_SETTLE_DELAY => {
                    return self.settle_as_unknown(dispatch, "the worker has not seen it");
                }
                ExecutionQuery::Unreachable if elapsed >= WORKER_LOST_TIMEOUT => {
                    return self.handle_lost_worker(request, dispatch).await;
                }
                ExecutionQuery::Unlisted => {
                    return self.handle_lost_worker(request, dispatch).await;
                }
                ExecutionQuery::NotStarted | ExecutionQuery::Unreachable => {}
            }
            let delay = backoff(RETRY_DELAY, attempt, &mut rand::rng());
            attempt += 1;
            tokio::time::sleep(delay).await;
        }
    }

    async fn query_worker(&self, dispatch: &Dispatch) -> ExecutionQuery {
        let Some(address) = self.address_of(&dispatch.worker) else {
            return ExecutionQuery::Unlisted;
        };
        let workers = &self.context.submission_workers;
        match workers.look_up(address, &self.id, INQUIRY_TIMEOUT).await {
            Ok(ExecutionState::Finished { answer }) => ExecutionQuery::Finished(answer),
            Ok(ExecutionState::Running) => ExecutionQuery::Running,
            Ok(ExecutionState::NotStarted) => ExecutionQuery::NotStarted,
            Err(_) => ExecutionQuery::Unreachable,
        }
    }

    /// Sends a repeatable submission once more: to the same worker, which knows the key if an
    /// earlier send arrives after all.
    async fn redispatch(&self, request: &NewSubmission, dispatch: &Dispatch) -> Step {
        match self.address_of(&dispatch.worker) {
            Some(address) => {
                let worker = dispatch.worker.clone();
                self.dispatch(request, worker, address, Some(dispatch.id))
                    .await
            }
            None => self.handle_lost_worker(request, dispatch).await,
        }
    }

    /// The worker that was sent it cannot be asked any more.
    async fn handle_lost_worker(&self, request: &NewSubmission, dispatch: &Dispatch) -> Step {
        if !request.repeatable {
            return self.settle_as_unknown(dispatch, "the worker cannot be reached");
        }
        match self.choose_worker(request, Some(&dispatch.worker)) {
            Some((worker, address)) => {
                self.dispatch(request, worker, address, Some(dispatch.id))
                    .await
            }
            None => Step::Retry,
        }
    }

    fn settle_as_unknown(&self, dispatch: &Dispatch, reason: &str) -> Step {
        let decision = format!("settle as outcome unknown after dispatch {}", dispatch.id);
        self.explain(decision, reason.to_owned());
        Step::Finished(SubmissionResult::OutcomeUnknown)
    }

    /// Records the result with whoever leads now; the first recorded result stands.
    async fn record(&self, result: SubmissionResult) {
        let command = Command::CompleteSubmission {
            submission: self.id.clone(),
            result,
        };
        let deadline: Monotonic = self.context.clock.now() + RECORD_TIMEOUT;
        let partition = partition_of(self.id.as_str(), self.context.settings.ledger.partitions);
        let recorded = ledger::propose(&self.context, partition, command, deadline).await;
        if recorded.is_err() {
            log::warn!(submission = self.id.as_str(); "result not recorded here; the next leader asks the worker");
        }
    }

    /// The worker with the fewest submissions in progress from here, other than `excluded` if
    /// there is a choice.
    fn choose_worker(
        &self,
        request: &NewSubmission,
        excluded: Option<&WorkerId>,
    ) -> Option<(WorkerId, SocketAddr)> {
        let now = self.context.clock.now();
        let workers = lock(&self.context.workers);
        let candidates = workers.candidates(&request.pool, &self.context.own.zone, now);
        let least_loaded = candidates.into_iter().min_by_key(|worker| {
            let is_excluded = Some(&worker.machine.id) == excluded;
            (is_excluded, worker.own_online, worker.machine.id.clone())
        })?;
        Some((
            least_loaded.machine.id.clone(),
            least_loaded.machine.address,
        ))
    }

    fn address_of(&self, worker: &WorkerId) -> Option<SocketAddr> {
        let workers = lock(&self.context.workers);
        workers.get(worker).map(|worker| worker.machine.address)
    }

    /// Counts the submission as in progress, on the worker and in the process.
    fn track_in_flight(&self, worker: &WorkerId) -> InFlight {
        adjust_online_count(&self.context, worker, 1);
        InFlight {
            context: Arc::clone(&self.context),
            worker: worker.clone(),
            _in_progress: self.context.lifecycle.enter(),
        }
    }

    fn explain(&self, decision: String, reason: String) {
        let subject = format!("submission {}", self.id);
        self.context.decisions.record(subject, decision, reason);
    }
}

/// What a worker says of a key.
enum ExecutionQuery {
    Finished(WorkerAnswer),
    Running,
    NotStarted,
    /// It does not answer.
    Unreachable,
    /// It is no longer in the machine list.
    Unlisted,
}

/// One submission in progress on a worker, until dropped.
struct InFlight {
    context: Arc<Context>,
    worker: WorkerId,
    _in_progress: InProgress,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        adjust_online_count(&self.context, &self.worker, -1);
    }
}

fn adjust_online_count(context: &Context, worker: &WorkerId, change: i32) {
    if let Some(worker) = lock(&context.workers).get_mut(worker) {
        worker.own_online = worker.own_online.saturating_add_signed(change);
    }
}

fn answered_result(answer: WorkerAnswer) -> SubmissionResult {
    SubmissionResult::Answered {
        status: answer.status,
        body: answer.body,
    }
}
