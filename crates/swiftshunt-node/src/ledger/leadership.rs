//! Work of a leader besides consensus: it runs submissions, jobs and the planner, reads the archive's
//! tail and replaces replicas.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use swiftshunt_ledger::raft::{Raft, Term};
use swiftshunt_ledger::replacement::{
    ReplacementStep, ReplacementView, ReplicaHealth, ReplicaView, next_replacement_step,
};
use swiftshunt_ledger::state::{Job, JobStatus, LedgerState, Submission};
use swiftshunt_membership::MemberState;
use swiftshunt_types::{JobId, Monotonic, NodeId, PartitionId, SubmissionId, ZoneName};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::batch::run_job;
use crate::context::Context;
use crate::fleet::Planner;
use crate::lock;
use crate::submissions::run_submission;

/// End of a leader's lease, shared with the tasks that may act only while it is valid.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseClock(Arc<AtomicU64>);

impl LeaseClock {
    /// Sets the end of the lease, on this node's clock; `None` makes the lease invalid.
    pub(super) fn set(&self, end: Option<Monotonic>) {
        let nanoseconds = end.map_or(0, |end| end.as_nanos());
        let nanoseconds = u64::try_from(nanoseconds).unwrap_or(u64::MAX);
        self.0.store(nanoseconds, Ordering::Release);
    }

    /// Whether the lease is valid at `now`, so that no other leader can have been elected before.
    pub(crate) fn is_valid(&self, now: Monotonic) -> bool {
        now < Duration::from_nanos(self.0.load(Ordering::Acquire))
    }
}

/// One term of leadership, from the first valid lease on. Dropping it stops its tasks.
pub(super) struct Leadership {
    pub(super) term: Term,
    pub(super) lease: LeaseClock,
    context: Arc<Context>,
    partition: PartitionId,
    tail_task: JoinHandle<()>,
    /// Tokens that cancel the tasks of jobs.
    jobs: BTreeMap<JobId, CancellationToken>,
    /// Cancelled when leadership ends.
    stopped: CancellationToken,
}

impl Leadership {
    /// Starts the planner and every submission and job that has not ended.
    pub(super) fn start(
        context: Arc<Context>,
        partition: PartitionId,
        raft: &Raft<LedgerState>,
        tail_task: JoinHandle<()>,
    ) -> Self {
        context.metrics.led_partitions.inc();
        let mut leadership = Self {
            term: raft.term(),
            lease: LeaseClock::default(),
            context,
            partition,
            tail_task,
            jobs: BTreeMap::new(),
            stopped: CancellationToken::new(),
        };
        leadership.spawn_planner();
        let state = raft.state();
        for submission in state
            .submissions()
            .filter(|submission| !submission.has_ended())
        {
            leadership.run_submission(submission);
        }
        for job in state.jobs().filter(|job| job.status == JobStatus::Running) {
            leadership.run_job(job);
        }
        leadership
    }

    /// Starts the planner of the partition's pools, which runs until leadership ends.
    fn spawn_planner(&self) {
        let planner = Planner {
            context: Arc::clone(&self.context),
            partition: self.partition,
            lease: self.lease.clone(),
        };
        tokio::spawn(planner.run(self.stopped.clone()));
    }

    /// Starts a task that runs a submission until it or the leadership ends.
    pub(super) fn run_submission(&self, submission: &Submission) {
        let id: SubmissionId = submission.request.id.clone();
        let context = Arc::clone(&self.context);
        let (partition, lease) = (self.partition, self.lease.clone());
        let stopped = self.stopped.clone();
        tokio::spawn(run_submission(context, partition, id, lease, stopped));
    }

    /// Starts a task that runs a job until it or the leadership ends.
    pub(super) fn run_job(&mut self, job: &Job) {
        let id = job.request.id.clone();
        let token = self.stopped.child_token();
        self.jobs.insert(id, token.clone());
        let context = Arc::clone(&self.context);
        tokio::spawn(run_job(context, job.clone(), self.lease.clone(), token));
    }

    /// Cancels the task of a job. No item of the job starts after this returns.
    pub(super) fn stop_job(&mut self, job: &JobId) {
        if let Some(token) = self.jobs.remove(job) {
            token.cancel();
        }
    }
}

impl Drop for Leadership {
    fn drop(&mut self) {
        self.lease.set(None);
        self.stopped.cancel();
        self.tail_task.abort();
        self.context.metrics.led_partitions.dec();
    }
}

/// The leader's next step of replacing replicas; `None` if none is needed or possible at present.
pub(super) fn replacement(
    context: &Context,
    partition: PartitionId,
    raft: &Raft<LedgerState>,
    now: Monotonic,
) -> Option<ReplacementStep> {
    let configuration = raft.configuration();
    let candidates: BTreeMap<ZoneName, NodeId> = context.placement.candidates(context, partition);
    let replicas = configuration.members();
    let replicas = replicas
        .map(|id| (id, replica_view(context, raft, id, now)))
        .collect();
    next_replacement_step(&ReplacementView {
        leader: raft.id(),
        configuration,
        replicas,
        candidates,
    })
}

fn replica_view(
    context: &Context,
    raft: &Raft<LedgerState>,
    id: NodeId,
    now: Monotonic,
) -> ReplicaView {
    let membership = lock(&context.membership);
    let record = membership.record(id);
    let age = membership.age(id, now).unwrap_or_default();
    let delay = context.settings.ledger.replace_delay;
    let health = match record.map(|record| record.state) {
        Some(MemberState::Alive | MemberState::Suspect) => ReplicaHealth::Alive,
        Some(MemberState::Leaving) => ReplicaHealth::Leaving,
        Some(MemberState::Dead) if age < delay => ReplicaHealth::Unreachable,
        Some(MemberState::Dead | MemberState::Left) | None => ReplicaHealth::Lost,
    };
    ReplicaView {
        health,
        zone: record.map(|record| record.member.zone.clone()),
        caught_up: raft.is_caught_up(id),
    }
}
