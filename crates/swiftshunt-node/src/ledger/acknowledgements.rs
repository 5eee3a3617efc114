//! Pending replies: each waits until its entry is applied and then until the entry is archived.

use std::collections::{BTreeMap, HashMap, VecDeque};

use swiftshunt_ledger::raft::{Index, LogPosition};
use swiftshunt_ledger::state::{Outcome, SubmissionResult};
use swiftshunt_types::SubmissionId;

use super::input::Reply;
use crate::peer::{LedgerAnswer, LedgerRefusal};

/// Pending replies of one replica.
#[derive(Default)]
pub(super) struct Acknowledgements {
    /// Replies to proposals that wait until the entry at this index is applied, with the position of
    /// the proposed entry.
    proposed: BTreeMap<Index, (LogPosition, Reply)>,
    /// Replies that wait until the submission has ended.
    awaited: HashMap<SubmissionId, Vec<Reply>>,
    /// Replies, with their answers, that wait until the entry at this index is archived; ordered by
    /// index.
    committed: VecDeque<(Index, Reply, LedgerAnswer)>,
}

impl Acknowledgements {
    /// Replies once the entry at `position` is applied and archived.
    pub(super) fn reply_on_applied(&mut self, position: LogPosition, reply: Reply) {
        self.proposed.insert(position.index, (position, reply));
    }

    /// Replies once the submission has ended and its result is archived. Pending replies for the
    /// submission whose caller has gone are dropped.
    pub(super) fn reply_on_completion(&mut self, id: SubmissionId, reply: Reply) {
        let waiting = self.awaited.entry(id).or_default();
        waiting.retain(|reply| !reply.is_closed());
        waiting.push(reply);
    }

    /// Replies once the archive contains the entry at `index`.
    pub(super) fn reply_on_archived(&mut self, index: Index, reply: Reply, answer: LedgerAnswer) {
        self.committed.push_back((index, reply, answer));
    }

    /// Handles an applied entry: its reply then waits for the archive, or fails with
    /// [`LedgerRefusal::Lost`] if another entry took the proposed entry's place.
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

    /// Handles the end of a submission by the entry at `index`: replies that wait for it then wait
    /// for the archive.
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

    /// Sends the replies whose entry has an index up to `up_to`: the archived index, or the commit
    /// index while the archive counts as unavailable.
    pub(super) fn flush(&mut self, up_to: Index) {
        while let Some((index, _, _)) = self.committed.front() {
            if *index > up_to {
                return;
            }
            if let Some((_, reply, answer)) = self.committed.pop_front() {
                drop(reply.send(Ok(answer)));
            }
        }
    }

    /// Fails every pending reply with [`LedgerRefusal::Lost`], because leadership has ended and this
    /// node cannot tell their outcome.
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
