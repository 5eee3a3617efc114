//! Queries of a partition's state at its leader.

use swiftshunt_ledger::state::SubmissionStatus;
use swiftshunt_types::{PartitionId, SubmissionId};

use super::input::Reply;
use super::replica::Replica;
use crate::peer::{LedgerAnswer, LedgerQuery, PartitionView};

/// Replies when the submission has ended and its result is archived; replies at once without a result
/// if the submission does not exist.
pub(super) fn await_submission(replica: &mut Replica, id: SubmissionId, reply: Reply) {
    let status = replica.raft.state().submission(&id);
    match status.map(|submission| &submission.status) {
        Some(SubmissionStatus::Completed(result)) => {
            let answer = LedgerAnswer::Result(Some(result.clone()));
            let index = replica.raft.applied_index();
            replica
                .acknowledgements
                .reply_on_archived(index, reply, answer);
        }
        Some(_) => replica.acknowledgements.reply_on_completion(id, reply),
        None => drop(reply.send(Ok(LedgerAnswer::Result(None)))),
    }
}

/// Answers a query from the applied state.
pub(super) fn answer(
    replica: &Replica,
    partition: PartitionId,
    query: LedgerQuery,
) -> LedgerAnswer {
    let state = replica.raft.state();
    match query {
        LedgerQuery::Submission(id) => LedgerAnswer::Submission(state.submission(&id).cloned()),
        LedgerQuery::Submissions => {
            LedgerAnswer::Submissions(state.submissions().cloned().collect())
        }
        LedgerQuery::Job(id) => LedgerAnswer::Job(state.job(&id).cloned()),
        LedgerQuery::Jobs => LedgerAnswer::Jobs(state.jobs().cloned().collect()),
        LedgerQuery::Pool(pool) => {
            LedgerAnswer::Pool(state.pools().get(&pool).cloned().unwrap_or_default())
        }
        LedgerQuery::Pools => LedgerAnswer::Pools(state.pools().clone()),
        LedgerQuery::Partition => LedgerAnswer::Partition(partition_view(replica, partition)),
    }
}

fn partition_view(replica: &Replica, partition: PartitionId) -> PartitionView {
    let raft = &replica.raft;
    let state = raft.state();
    let configuration = raft.configuration();
    let open = state
        .submissions()
        .filter(|submission| !submission.has_ended());
    let running = state.jobs().filter(|job| job.is_running());
    PartitionView {
        partition,
        generation: replica.generation,
        term: raft.term(),
        leader: raft.id(),
        voters: configuration.voters.iter().copied().collect(),
        learners: configuration.learners.iter().copied().collect(),
        committed: raft.commit_index(),
        archived: raft.archived().index,
        open_submissions: open.count() as u64,
        running_jobs: running.count() as u64,
    }
}
