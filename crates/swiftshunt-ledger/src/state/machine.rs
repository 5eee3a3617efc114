//! The state machine that a partition's replicas apply committed commands to.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use swiftshunt_types::{JobId, PoolName, SubmissionId};

use super::{
    AcceptOutcome, CancelOutcome, Command, DispatchOutcome, Job, JobOutcome, NewJob, NewSubmission,
    Outcome, PoolState, Submission, SubmissionStatus,
};
use crate::raft::StateMachine;

/// Every submission, job and pool of one partition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerState {
    submissions: BTreeMap<SubmissionId, Submission>,
    jobs: BTreeMap<JobId, Job>,
    pools: BTreeMap<PoolName, PoolState>,
}

impl LedgerState {
    /// The submission with this identifier, ended or not.
    pub fn submission(&self, id: &SubmissionId) -> Option<&Submission> {
        self.submissions.get(id)
    }

    /// Every submission of the partition, ordered by identifier.
    pub fn submissions(&self) -> impl Iterator<Item = &Submission> {
        self.submissions.values()
    }

    /// The job with this identifier, ended or not.
    pub fn job(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Every job of the partition, ordered by identifier.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// The state of each pool that has received a command.
    pub fn pools(&self) -> &BTreeMap<PoolName, PoolState> {
        &self.pools
    }

    fn accept(&mut self, request: &NewSubmission) -> AcceptOutcome {
        if let Some(existing) = self.submissions.get(&request.id) {
            return if existing.request.digest == request.digest {
                AcceptOutcome::Existing
            } else {
                AcceptOutcome::KeyReused
            };
        }
        let submission = Submission {
            request: request.clone(),
            status: SubmissionStatus::Accepted,
        };
        self.submissions.insert(request.id.clone(), submission);
        AcceptOutcome::New
    }

    fn create_job(&mut self, request: &NewJob) -> JobOutcome {
        if let Some(existing) = self.jobs.get(&request.id) {
            let same = existing.request.input == request.input
                && existing.request.endpoint == request.endpoint;
            return if same {
                JobOutcome::Existing
            } else {
                JobOutcome::KeyReused
            };
        }
        self.jobs
            .insert(request.id.clone(), Job::new(request.clone()));
        JobOutcome::Done
    }

    fn change_job(
        &mut self,
        id: &JobId,
        change: impl FnOnce(&mut Job) -> JobOutcome,
    ) -> JobOutcome {
        self.jobs.get_mut(id).map_or(JobOutcome::NotFound, change)
    }
}

impl StateMachine for LedgerState {
    type Command = Command;
    type Outcome = Outcome;

    fn apply(&mut self, command: &Command) -> Outcome {
        match command {
            Command::AcceptSubmission(request) => self.accept(request).into(),
            Command::DispatchSubmission {
                submission,
                dispatch,
                worker,
                supersedes,
            } => self
                .submissions
                .get_mut(submission)
                .map_or(DispatchOutcome::NotFound, |found| {
                    found.dispatch(*dispatch, worker, *supersedes)
                })
                .into(),
            Command::ReleaseSubmission {
                submission,
                dispatch,
            } => self
                .submissions
                .get_mut(submission)
                .is_some_and(|found| found.release(*dispatch))
                .into(),
            Command::CompleteSubmission { submission, result } => self
                .submissions
                .get_mut(submission)
                .map(|found| found.complete(result))
                .into(),
            Command::CreateJob(request) => self.create_job(request).into(),
            Command::CompleteItems { job, items } => {
                self.change_job(job, |job| job.complete_items(items)).into()
            }
            Command::CancelJob { job, by } => self
                .jobs
                .get_mut(job)
                .map_or(CancelOutcome::NotFound, |job| job.cancel(by))
                .into(),
            Command::Pool { pool, change } => {
                let pool = self.pools.entry(pool.clone()).or_default();
                pool.apply(change).into()
            }
            Command::SetJobDeadline { job, deadline, .. } => self
                .change_job(job, |job| job.set_deadline(*deadline))
                .into(),
        }
    }
}
