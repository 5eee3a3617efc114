//! Answers that wait: for their entry to commit, and then for the archive.

use std::collections::{BTreeMap, HashMap, VecDeque};

use swiftshunt_ledger::raft::{Index, LogPosition};
use swiftshunt_ledger::state::{Outcome, SubmissionResult};
use swiftshunt_types::SubmissionId;

use super::input::Reply;
use crate::peer::{LedgerAnswer, LedgerRefusal};

/// Answers that wait.
#[derive(Default)]
pub(super) struct Acknowledgements {
    proposed: BTreeMap<Index, (LogPosition, Reply)>,
    awaited: HashMap<SubmissionId, Vec<Reply>>,
    committed: VecDeque<(Index, Reply, LedgerAnswer)>,
}

impl Acknowledgements {
    /// Answers when the entry at `position` is applied.
    pub(super) fn reply_on_applied(&mut self, position: LogPosition, reply: Reply) {
        self.proposed.insert(position.index, (position, reply));
    }

    /// Answers when the submission ends.
    pub(super) fn reply_on_completion(&mut self, id: SubmissionId, reply: Reply) {
        let waiting = self.awaited.entry(id).or_default();
        waiting.retain(|reply| !reply.is_closed());
        waiting.push(reply);
    }

    /// Answers when the archive has reached `index`.
    pub(super) fn reply_on_archived(&mut self, index: Index, reply: Reply, answer: LedgerAnswer) {
        self.committed.push_back((index, reply, answer));
    }

    /// An entry was applied.
    pub(super) fn on_entry_applied(&mut self, position: LogPosition, outcome: Option<&Outcome>) {
        let Some((proposed, reply)) = self.proposed.remove(&position.index) else {
            return;
        };
        match outcome {
            Some(outcome) if proposed == position => {
                let answer = LedgerAnswer::Outcome(outcome.clone());
                self.reply_on_archived(position.index, reply, answer);
            }
            _ => drop(reply.send(Err(LedgerRefusal::Lost))),
        }
    }

    /// A submission ended with the entry at `index`.
    pub(super) fn on_submission_completed(
        &mut self,
        index: Index,
        id: &SubmissionId,
        result: &SubmissionResult,
    ) {
        for reply in self.awaited.remove(id).unwrap_or_default() {
            self.reply_on_archived(index, reply, LedgerAnswer::Result(Some(result.clone())));
        }
    }

    /// Gives the answers that the archive, up to `archived`, allows.
    pub(super) fn flush(&mut self, archived: Index) {
        while let Some((index, _, _)) = self.committed.front() {
            if *index > archived {
                return;
            }
            if let Some((_, reply, answer)) = self.committed.pop_front() {
                drop(reply.send(Ok(answer)));
            }
        }
    }

    /// Leadership is lost: nobody here can tell what becomes of these.
    pub(super) fn fail_all(&mut self) {
        let proposed = std::mem::take(&mut self.proposed).into_values();
        let awaited = std::mem::take(&mut self.awaited).into_values().flatten();
        let committed = std::mem::take(&mut self.committed).into_iter();
        let replies = proposed
            .map(|(_, reply)| reply)
            .chain(awaited)
            .chain(committed.map(|(_, reply, _)| reply));
        for reply in replies {
            drop(reply.send(Err(LedgerRefusal::Lost)));
        }
    }
}
