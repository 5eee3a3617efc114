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

use crate::context::{Context, draw};
use crate::ledger::{self, LeaseClock};
use crate::lifecycle::InProgress;
use crate::lock;
use crate::peer::{LedgerAnswer, LedgerOperation, LedgerQuery};

/// First pause between tries.
const RETRY_PAUSE: Duration = Duration::from_millis(25);
/// How long a worker that was sent a submission is asked for its outcome before it counts as gone.
const INQUIRY_TIME: Duration = Duration::from_secs(3);
/// How long a worker must say "not started" before a submission that is not repeatable is settled:
/// an earlier leader may still be about to send it.
const NOT_STARTED_TIME: Duration = Duration::from_secs(2);
/// How long one inquiry may take.
const INQUIRY_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a result is offered to leaders before the next leader's inquiry must find it.
const RECORD_TIME: Duration = Duration::from_secs(30);

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
    Again,
    /// The leadership is over.
    Over,
}

impl Execution {
    async fn run(&self) {
        let mut attempt = 0;
        while !self.stopped.is_cancelled() {
            let Some(submission) = self.current().await else {
                return;
            };
            let step = match &submission.status {
                SubmissionStatus::Accepted => self.send_first(&submission.request).await,
                SubmissionStatus::Dispatched(dispatch) => {
                    self.settle(&submission.request, dispatch).await
                }
                SubmissionStatus::Completed(_) => return,
            };
            match step {
                Step::Finished(result) => return self.record(result).await,
                Step::Over => return,
                Step::Again => {}
            }
            let pause = backoff(RETRY_PAUSE, attempt, &mut rand::rng());
            attempt += 1;
            tokio::time::sleep(pause).await;
        }
    }

    async fn current(&self) -> Option<Submission> {
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
    async fn send_first(&self, request: &NewSubmission) -> Step {
        match self.choose_worker(request, None) {
            Some((worker, address)) => self.dispatch(request, worker, address, None).await,
            None => Step::Again,
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
        let dispatch = DispatchId(draw());
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
            Ok(_) => return Step::Again,
            Err(_) => return Step::Over,
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
            return Step::Over;
        }
        let busy = self.occupy(&dispatch.worker);
        let timeout = self.context.settings.limits.worker_timeout;
        let workers = &self.context.submission_workers;
        let body = request.body.clone();
        let answer = workers.perform(address, &self.id, body, timeout).await;
        drop(busy);
        match answer {
            Ok(answer) => Step::Finished(answered(answer)),
            Err(WorkerError::NotStarted { reason }) => {
                self.release(dispatch, reason).await;
                Step::Again
            }
            Err(WorkerError::Unknown { source }) => {
                self.explain(
                    format!("ask worker {} for the outcome", dispatch.worker),
                    source.to_string(),
                );
                Step::Again
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
    async fn settle(&self, request: &NewSubmission, dispatch: &Dispatch) -> Step {
        let started = self.context.clock.now();
        let mut attempt = 0;
        loop {
            if self.stopped.is_cancelled() {
                return Step::Over;
            }
            let elapsed = self.context.clock.now().saturating_sub(started);
            match self.inquire(dispatch).await {
                Inquiry::Finished(answer) => return Step::Finished(answered(answer)),
                Inquiry::Running => {}
                Inquiry::NotStarted if request.repeatable => {
                    return self.send_again(request, dispatch).await;
                }
                Inquiry::NotStarted if elapsed >= NOT_STARTED_TIME => {
                    return self.give_up(dispatch, "the worker has not seen it");
                }
                Inquiry::Silent if elapsed >= INQUIRY_TIME => {
                    return self.worker_lost(request, dispatch).await;
                }
                Inquiry::Gone => return self.worker_lost(request, dispatch).await,
                Inquiry::NotStarted | Inquiry::Silent => {}
            }
            let pause = backoff(RETRY_PAUSE, attempt, &mut rand::rng());
            attempt += 1;
            tokio::time::sleep(pause).await;
        }
    }

    async fn inquire(&self, dispatch: &Dispatch) -> Inquiry {
        let Some(address) = self.address_of(&dispatch.worker) else {
            return Inquiry::Gone;
        };
        let workers = &self.context.submission_workers;
        match workers.look_up(address, &self.id, INQUIRY_TIMEOUT).await {
            Ok(ExecutionState::Finished { answer }) => Inquiry::Finished(answer),
            Ok(ExecutionState::Running) => Inquiry::Running,
            Ok(ExecutionState::NotStarted) => Inquiry::NotStarted,
            Err(_) => Inquiry::Silent,
        }
    }

    /// Sends a repeatable submission once more: to the same worker, which knows the key if an
    /// earlier send arrives after all.
    async fn send_again(&self, request: &NewSubmission, dispatch: &Dispatch) -> Step {
        match self.address_of(&dispatch.worker) {
            Some(address) => {
                let worker = dispatch.worker.clone();
                self.dispatch(request, worker, address, Some(dispatch.id))
                    .await
            }
            None => self.worker_lost(request, dispatch).await,
        }
    }

    /// The worker that was sent it cannot be asked any more.
    async fn worker_lost(&self, request: &NewSubmission, dispatch: &Dispatch) -> Step {
        if !request.repeatable {
            return self.give_up(dispatch, "the worker cannot be reached");
        }
        match self.choose_worker(request, Some(&dispatch.worker)) {
            Some((worker, address)) => {
                self.dispatch(request, worker, address, Some(dispatch.id))
                    .await
            }
            None => Step::Again,
        }
    }

    fn give_up(&self, dispatch: &Dispatch, reason: &str) -> Step {
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
        let deadline: Monotonic = self.context.clock.now() + RECORD_TIME;
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
            let again = Some(&worker.machine.id) == excluded;
            (again, worker.own_online, worker.machine.id.clone())
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
    fn occupy(&self, worker: &WorkerId) -> Occupied {
        count_online(&self.context, worker, 1);
        Occupied {
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
enum Inquiry {
    Finished(WorkerAnswer),
    Running,
    NotStarted,
    /// It does not answer.
    Silent,
    /// It is no longer in the machine list.
    Gone,
}

/// One submission in progress on a worker, until dropped.
struct Occupied {
    context: Arc<Context>,
    worker: WorkerId,
    _in_progress: InProgress,
}

impl Drop for Occupied {
    fn drop(&mut self) {
        count_online(&self.context, &self.worker, -1);
    }
}

fn count_online(context: &Context, worker: &WorkerId, change: i32) {
    if let Some(worker) = lock(&context.workers).get_mut(worker) {
        worker.own_online = worker.own_online.saturating_add_signed(change);
    }
}

fn answered(answer: WorkerAnswer) -> SubmissionResult {
    SubmissionResult::Answered {
        status: answer.status,
        body: answer.body,
    }
}
