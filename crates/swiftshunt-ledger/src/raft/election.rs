//! Elections: pre-vote, votes, becoming the leader and stepping down.

use std::time::Duration;

use swiftshunt_types::{Monotonic, NodeId};

use super::{LogPosition, Message, Payload, Raft, Role, StateMachine, Term};

impl<M: StateMachine> Raft<M> {
    /// Restarts the election timer with a random time between one and two election timeouts.
    pub(super) fn reset_election_timer(&mut self, now: Monotonic) {
        let timeout = self.settings.election_timeout;
        let span = u64::try_from(timeout.as_micros())
            .unwrap_or(u64::MAX)
            .max(1);
        let extra = Duration::from_micros(self.random.next_u64() % span);
        self.election_due = now + timeout + extra;
    }

    pub(super) fn start_pre_vote(&mut self, now: Monotonic) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes = [self.id].into();
        self.reset_election_timer(now);
        let message = Message::PreVote {
            term: self.term + 1,
            last: self.log.last(),
        };
        self.send_to_other_voters(&message);
        self.count_pre_votes(now);
    }

    fn start_election(&mut self, handed_over: bool, now: Monotonic) {
        self.role = Role::Candidate;
        self.term += 1;
        self.voted_for = Some(self.id);
        self.leader = None;
        self.votes = [self.id].into();
        self.reset_election_timer(now);
        let message = Message::Vote {
            term: self.term,
            last: self.log.last(),
            handed_over,
        };
        self.send_to_other_voters(&message);
        self.count_votes(now);
    }

    fn send_to_other_voters(&mut self, message: &Message<M>) {
        let others: Vec<NodeId> = self.other_voters();
        for to in others {
            self.send(to, message.clone());
        }
    }

    fn other_voters(&self) -> Vec<NodeId> {
        let voters = &self.configuration().voters;
        voters.iter().copied().filter(|id| *id != self.id).collect()
    }

    /// Whether a leader lease may still be valid: this leader's own one, or that of a leader whose
    /// last message arrived less than one election timeout ago.
    fn in_leader_lease(&self, now: Monotonic) -> bool {
        if self.role == Role::Leader {
            return self.lease_end().is_some_and(|end| now < end);
        }
        self.last_leader_contact
            .is_some_and(|last_contact| now < last_contact + self.settings.election_timeout)
    }

    pub(super) fn on_pre_vote(
        &mut self,
        from: NodeId,
        term: Term,
        last: LogPosition,
        now: Monotonic,
    ) {
        let granted = term > self.term && last >= self.log.last() && !self.in_leader_lease(now);
        let term = if granted { term } else { self.term };
        self.send(from, Message::PreVoteReply { term, granted });
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        from: NodeId,
        term: Term,
        granted: bool,
        now: Monotonic,
    ) {
        if granted {
            if self.role == Role::PreCandidate && term == self.term + 1 {
                self.votes.insert(from);
                self.count_pre_votes(now);
            }
        } else if term > self.term {
            self.step_down(term, now);
        }
    }

    fn count_pre_votes(&mut self, now: Monotonic) {
        if self.configuration().is_quorum(&self.votes) {
            self.start_election(false, now);
        }
    }

    pub(super) fn on_vote(
        &mut self,
        from: NodeId,
        term: Term,
        last: LogPosition,
        handed_over: bool,
        now: Monotonic,
    ) {
        let refused_by_lease = !handed_over && self.in_leader_lease(now);
        if term > self.term && !refused_by_lease {
            self.step_down(term, now);
        }
        let may_vote_for_sender = self.voted_for.is_none_or(|voted| voted == from);
        let granted = !refused_by_lease
            && term == self.term
            && may_vote_for_sender
            && last >= self.log.last();
        if granted {
            self.voted_for = Some(from);
            self.reset_election_timer(now);
        }
        self.send(
            from,
            Message::VoteReply {
                term: self.term,
                granted,
            },
        );
    }

    pub(super) fn on_vote_reply(
        &mut self,
        from: NodeId,
        term: Term,
        granted: bool,
        now: Monotonic,
    ) {
        if term > self.term {
            self.step_down(term, now);
        } else if granted && self.role == Role::Candidate && term == self.term {
            self.votes.insert(from);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: Monotonic) {
        if self.configuration().is_quorum(&self.votes) {
            self.become_leader(now);
        }
    }

    fn become_leader(&mut self, now: Monotonic) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.leader_since = now;
        self.leadership_transfer = None;
        self.progress.clear();
        self.append_as_leader(Payload::Noop, now);
    }

    pub(super) fn on_timeout_now(&mut self, term: Term, now: Monotonic) {
        let is_voter = self.configuration().voters.contains(&self.id);
        if term == self.term && self.role == Role::Follower && is_voter {
            self.start_election(true, now);
        }
    }

    /// Becomes a follower in `term`; clears the recorded vote only if the term is newer.
    pub(super) fn step_down(&mut self, term: Term, now: Monotonic) {
        if term > self.term {
            self.term = term;
            self.voted_for = None;
        }
        self.role = Role::Follower;
        self.leader = None;
        self.leadership_transfer = None;
        self.progress.clear();
        self.reset_election_timer(now);
    }

    /// Returns whether the sender is the leader of the current term, after adopting its term if that
    /// is newer. A stale leader receives a reply with the current term.
    pub(super) fn accept_leader(
        &mut self,
        from: NodeId,
        term: Term,
        now: Monotonic,
        sent_at: Monotonic,
    ) -> bool {
        if term < self.term {
            let outcome = super::AppendOutcome::Mismatch { hint: 0 };
            let term = self.term;
            self.send(
                from,
                Message::AppendReply {
                    term,
                    outcome,
                    sent_at,
                },
            );
            return false;
        }
        if term > self.term || self.role != Role::Follower {
            self.step_down(term, now);
        }
        self.leader = Some(from);
        self.last_leader_contact = Some(now);
        self.reset_election_timer(now);
        true
    }
}
