//! Reactions to an applied entry: replies to waiting callers and, at the leader, starting and stopping
//! submissions and jobs.

use swiftshunt_ledger::raft::AppliedEntry;
use swiftshunt_ledger::state::{
    AcceptOutcome, CancelOutcome, Command, JobOutcome, LedgerState, Outcome,
};

use super::replica::Replica;

/// Replies to callers that wait for the entry's submission; at the leader, starts or stops the work
/// that the entry accepted or cancelled.
pub(super) fn on_entry_applied(replica: &mut Replica, entry: &AppliedEntry<LedgerState>) {
    let (Some(command), Some(outcome)) = (&entry.command, &entry.outcome) else {
        return;
    };
    if let (Command::CompleteSubmission { submission, .. }, Outcome::Complete(Some(result))) =
        (command, outcome)
    {
        let index = entry.position.index;
        replica
            .acknowledgements
            .on_submission_completed(index, submission, result);
    }
    let state = replica.raft.state();
    let Some(leadership) = replica.leadership.as_mut() else {
        return;
    };
    match (command, outcome) {
        (Command::AcceptSubmission(request), Outcome::Accept(AcceptOutcome::New)) => {
            if let Some(submission) = state.submission(&request.id) {
                leadership.run_submission(submission);
            }
        }
        (Command::CreateJob(request), Outcome::Job(JobOutcome::Done)) => {
            if let Some(job) = state.job(&request.id) {
                leadership.run_job(job);
            }
        }
        (Command::CancelJob { job, .. }, Outcome::Cancel(CancelOutcome::Cancelled)) => {
            leadership.stop_job(job);
        }
        _ => {}
    }
}
