//! Execution of a submission by the leader of its partition: it chooses a worker, commits the dispatch,
//! sends the request and records the result.
//!
//! The dispatch is committed before any byte is sent, so that the next leader finds it and queries
//! the worker by submission identifier instead of sending the request a second time.

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

/// Base delay of the exponential backoff between steps.
const RETRY_DELAY: Duration = Duration::from_millis(25);
/// Time since the first query of the worker of a dispatch, from which a failed query makes it count as
/// lost.
const WORKER_LOST_TIMEOUT: Duration = Duration::from_secs(3);
/// Time since the first query, from which a submission that is not repeatable is settled as outcome
/// unknown if the worker reports "not started". Before that, an earlier leader may still be about to
/// send it.
const NOT_STARTED_SETTLE_DELAY: Duration = Duration::from_secs(2);
/// Timeout of one query for the state of an execution.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// How long recording a result is retried. After that, the next leader reads it from the worker.
const RECORD_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs one submission until it has completed. Returns earlier if `stopped` is cancelled, the partition
/// does not answer as leader, or the lease has expired before a send.
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

/// Outcome of one step of an execution.
enum Step {
    /// The submission has this result, which is not recorded yet.
    Finished(SubmissionResult),
    /// The submission must be read from the ledger again, after a delay.
    Retry,
    /// This node does not lead the partition, or its lease has expired.
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

    /// Reads the submission from the local replica. `None` if it does not exist or the replica does not
    /// answer as leader.
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

    /// Dispatches a submission that no worker has been chosen for; retries if the pool has no worker.
    async fn dispatch_accepted(&self, request: &NewSubmission) -> Step {
        match self.choose_worker(request, None) {
            Some((worker, address)) => self.dispatch(request, worker, address, None).await,
            None => Step::Retry,
        }
    }

    /// Commits a dispatch to `worker`, in place of the dispatch `supersedes` if given, then sends the
    /// request.
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
        self.record_decision(
            format!("dispatch {dispatch} to worker {worker}"),
            format!(
                "least loaded worker of pool {}; attempt {}",
                request.pool, granted.attempt
            ),
        );
        self.perform(request, &granted, address).await
    }

    /// Sends the request of a committed dispatch. The process may have been suspended for any length
    /// of time since the commit, so the lease is checked immediately before the send.
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
                self.record_decision(
                    format!("ask worker {} for the outcome", dispatch.worker),
                    source.to_string(),
                );
                Step::Retry
            }
        }
    }

    /// Releases a dispatch whose worker certainly did not start the submission.
    async fn release(&self, dispatch: &Dispatch, reason: String) {
        let now = self.context.clock.now();
        lock(&self.context.workers).record_connection_failure(&dispatch.worker, now);
        self.record_decision(format!("take dispatch {} back", dispatch.id), reason);
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

    /// Queries the worker of a dispatch without a recorded result until the outcome is known, the
    /// submission may be dispatched again, or the worker counts as lost.
    async fn resolve_outcome(&self, request: &NewSubmission, dispatch: &Dispatch) -> Step {
        let started = self.context.clock.now();
        let mut attempt = 0;
        loop {
            if self.stopped.is_cancelled() {
                return Step::LeadershipEnded;
            }
            let elapsed = self.context.clock.now().saturating_sub(started);
            match self.query_worker(dispatch).await {
                QueryResult::Finished(answer) => return Step::Finished(answered_result(answer)),
                QueryResult::Running => {}
                QueryResult::NotStarted if request.repeatable => {
                    return self.redispatch(request, dispatch).await;
                }
                QueryResult::NotStarted if elapsed >= NOT_STARTED_SETTLE_DELAY => {
                    return self.settle_as_unknown(dispatch, "the worker has not seen it");
                }
                QueryResult::Unreachable if elapsed >= WORKER_LOST_TIMEOUT => {
                    return self.on_worker_lost(request, dispatch).await;
                }
                QueryResult::Unlisted => return self.on_worker_lost(request, dispatch).await,
                QueryResult::NotStarted | QueryResult::Unreachable => {}
            }
            let delay = backoff(RETRY_DELAY, attempt, &mut rand::rng());
            attempt += 1;
            tokio::time::sleep(delay).await;
        }
    }

    /// Asks the worker of a dispatch once for the state of the execution.
    async fn query_worker(&self, dispatch: &Dispatch) -> QueryResult {
        let Some(address) = self.address_of(&dispatch.worker) else {
            return QueryResult::Unlisted;
        };
        let workers = &self.context.submission_workers;
        match workers.look_up(address, &self.id, QUERY_TIMEOUT).await {
            Ok(ExecutionState::Finished { answer }) => QueryResult::Finished(answer),
            Ok(ExecutionState::Running) => QueryResult::Running,
            Ok(ExecutionState::NotStarted) => QueryResult::NotStarted,
            Err(_) => QueryResult::Unreachable,
        }
    }

    /// Dispatches a repeatable submission again, to the same worker: it recognises the identifier if
    /// the earlier request still arrives.
    async fn redispatch(&self, request: &NewSubmission, dispatch: &Dispatch) -> Step {
        match self.address_of(&dispatch.worker) {
            Some(address) => {
                let worker = dispatch.worker.clone();
                self.dispatch(request, worker, address, Some(dispatch.id))
                    .await
            }
            None => self.on_worker_lost(request, dispatch).await,
        }
    }

    /// Handles a worker that cannot be queried: dispatches a repeatable submission again, to another
    /// worker if there is one, and settles any other submission as outcome unknown.
    async fn on_worker_lost(&self, request: &NewSubmission, dispatch: &Dispatch) -> Step {
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

    /// Ends the execution with an unknown outcome, as the submission must not be sent again.
    fn settle_as_unknown(&self, dispatch: &Dispatch, reason: &str) -> Step {
        let decision = format!("settle as outcome unknown after dispatch {}", dispatch.id);
        self.record_decision(decision, reason.to_owned());
        Step::Finished(SubmissionResult::OutcomeUnknown)
    }

    /// Records the result at the partition's current leader. If a result is already recorded, that one
    /// is kept.
    async fn record(&self, result: SubmissionResult) {
        let command = Command::CompleteSubmission {
            submission: self.id.clone(),
            result,
        };
        let deadline: Monotonic = self.context.clock.now() + RECORD_TIMEOUT;
        let partition = partition_of(self.id.as_str(), self.context.settings.ledger.partitions);
        let recorded = ledger::propose(&self.context, partition, command, deadline).await;
        if recorded.is_err() {
            log::warn!(submission = self.id.as_str(); "result not recorded; the next leader queries the worker");
        }
    }

    /// The worker of the pool with the fewest online requests in progress from this node. `excluded`
    /// is chosen only if it is the only candidate.
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

    /// Counts the submission as in progress, for the worker and for this process, until the returned
    /// value is dropped.
    fn track_in_flight(&self, worker: &WorkerId) -> InFlight {
        adjust_online_count(&self.context, worker, 1);
        InFlight {
            context: Arc::clone(&self.context),
            worker: worker.clone(),
            _in_progress: self.context.lifecycle.start_request(),
        }
    }

    /// Adds a decision about this submission to the decisions that operators can read.
    fn record_decision(&self, decision: String, reason: String) {
        let subject = format!("submission {}", self.id);
        self.context.decisions.record(subject, decision, reason);
    }
}

/// Result of querying the worker of a dispatch for the state of the execution.
enum QueryResult {
    Finished(WorkerAnswer),
    Running,
    NotStarted,
    /// The query failed or timed out.
    Unreachable,
    /// The worker is not in the machine list.
    Unlisted,
}

/// Counts one submission as in progress on a worker until dropped.
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
