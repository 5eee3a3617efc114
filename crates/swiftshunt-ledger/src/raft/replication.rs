//! Log replication, commit, check-quorum, leadership transfer and the leader lease.

use swiftshunt_types::{Monotonic, NodeId};

use super::node::LeadershipTransfer;
use super::progress::Progress;
use super::{
    AppendOutcome, ArchiveMark, Entry, Index, LogPosition, Message, Raft, Role, Snapshot,
    StateMachine, Term,
};

/// Most entries in one append message.
const MAX_ENTRIES_PER_APPEND: usize = 256;
/// Number of heartbeat intervals after which an unacknowledged message is sent again.
const RESEND_TIMEOUT_HEARTBEATS: u32 = 4;

impl<M: StateMachine> Raft<M> {
    pub(super) fn tick_leader(&mut self, now: Monotonic) {
        if !self.has_recent_quorum(now) {
            self.step_down(self.term, now);
            return;
        }
        self.advance_leadership_transfer(now);
        if self.role != Role::Leader {
            return;
        }
        if now >= self.heartbeat_due {
            self.heartbeat_due = now + self.settings.heartbeat_interval;
            for to in self.followers() {
                self.send_append(to, now);
            }
        }
    }

    /// Sends [`Message::TimeoutNow`] once the target's log is complete; ends a transfer whose
    /// deadline has passed.
    pub(super) fn advance_leadership_transfer(&mut self, now: Monotonic) {
        let Some(leadership_transfer) = self.leadership_transfer else {
            return;
        };
        if now >= leadership_transfer.deadline {
            // The TimeoutNow message may still arrive late and lead to an election that ignores
            // leases, so this leader does not resume within the term.
            if leadership_transfer.timeout_now_sent {
                self.step_down(self.term, now);
            }
            self.leadership_transfer = None;
        } else if !leadership_transfer.timeout_now_sent
            && self.matched(leadership_transfer.target) == self.log.last().index
        {
            self.leadership_transfer = Some(LeadershipTransfer {
                timeout_now_sent: true,
                ..leadership_transfer
            });
            self.send(
                leadership_transfer.target,
                Message::TimeoutNow { term: self.term },
            );
        }
    }

    /// The highest index up to which a follower's log is known to match; 0 if unknown.
    pub(super) fn matched(&self, follower: NodeId) -> Index {
        let progress = self.progress.get(&follower);
        progress.map_or(0, |progress| progress.matched)
    }

    /// Check-quorum: whether a majority acknowledged a message sent within the last two election
    /// timeouts, or the leader was elected within them. Otherwise the leader steps down.
    fn has_recent_quorum(&self, now: Monotonic) -> bool {
        let grace = self.settings.election_timeout * 2;
        let last_contact = self.quorum_send_time(now).unwrap_or(self.leader_since);
        now < last_contact.max(self.leader_since) + grace
    }

    /// The latest time such that a majority acknowledged messages sent at or after it; `None` if
    /// there is no such time. The leader itself counts with `now`.
    fn quorum_send_time(&self, now: Monotonic) -> Option<Monotonic> {
        self.configuration().quorum_value(|id| {
            if id == self.id {
                return Some(now);
            }
            self.progress.get(&id)?.last_acknowledged_send
        })
    }

    /// End of the leader lease. Followers refuse votes for one election timeout after a message of
    /// the leader arrives, which is later than its sending; the lease is a tenth shorter than the
    /// timeout to allow for differing clock rates.
    pub(super) fn lease_end(&self) -> Option<Monotonic> {
        // The leader's own time must not limit the lease, so the leader counts with a time that no
        // message reaches; half the maximum leaves room to add the timeout.
        let sent = self.quorum_send_time(Monotonic::MAX / 2)?;
        Some(sent + self.settings.election_timeout * 9 / 10)
    }

    fn followers(&self) -> Vec<NodeId> {
        let members = self.configuration().members();
        members.filter(|id| *id != self.id).collect()
    }

    /// Removes the progress of followers that left the configuration. Progress of new followers is
    /// created when the first message is sent to them.
    pub(super) fn adopt_configuration(&mut self) {
        let configuration = self.log.configuration().clone();
        self.progress.retain(|id, _| configuration.contains(*id));
    }

    /// Sends new entries to every follower without an unacknowledged message.
    pub(super) fn replicate(&mut self, now: Monotonic) {
        for to in self.followers() {
            let is_in_flight = self
                .progress
                .get(&to)
                .is_some_and(|progress| progress.in_flight_since.is_some());
            if !is_in_flight {
                self.send_append(to, now);
            }
        }
    }

    fn send_append(&mut self, to: NodeId, now: Monotonic) {
        let next_index = self.log.last().index + 1;
        let resend_timeout = self.settings.heartbeat_interval * RESEND_TIMEOUT_HEARTBEATS;
        let progress = self
            .progress
            .entry(to)
            .or_insert_with(|| Progress::starting_at(next_index));
        let is_in_flight = progress
            .in_flight_since
            .is_some_and(|since| now < since + resend_timeout);
        if !is_in_flight {
            progress.in_flight_since = Some(now);
        }
        let next = progress.next;
        let message = self.append_message(next, is_in_flight, now);
        self.send(to, message);
    }

    /// An append message with entries from `next`, or without entries if `heartbeat_only`. If the
    /// entry before `next` is compacted, its term is unknown: the message is then a snapshot, or a
    /// heartbeat that matches any log if `heartbeat_only`.
    fn append_message(&self, next: Index, heartbeat_only: bool, now: Monotonic) -> Message<M> {
        let previous_index = next - 1;
        let Some(term) = self.log.term_at(previous_index) else {
            if heartbeat_only {
                return self.heartbeat(now);
            }
            return self.snapshot_message(now);
        };
        let limit = if heartbeat_only {
            0
        } else {
            MAX_ENTRIES_PER_APPEND
        };
        Message::Append {
            term: self.term,
            previous: LogPosition {
                term,
                index: previous_index,
            },
            entries: self.log.slice(next, limit),
            commit: self.commit,
            archived: self.archived,
            sent_at: now,
        }
    }

    /// An append message without entries that matches any log.
    fn heartbeat(&self, now: Monotonic) -> Message<M> {
        Message::Append {
            term: self.term,
            previous: LogPosition::default(),
            entries: Vec::new(),
            commit: 0,
            archived: ArchiveMark::default(),
            sent_at: now,
        }
    }

    fn snapshot_message(&self, now: Monotonic) -> Message<M> {
        let term = self.log.term_at(self.applied).unwrap_or_default();
        Message::InstallSnapshot {
            term: self.term,
            snapshot: Snapshot {
                position: LogPosition {
                    term,
                    index: self.applied,
                },
                configuration: self.log.configuration_as_of(self.applied).clone(),
                state: self.state.clone(),
            },
            sent_at: now,
        }
    }

    pub(super) fn on_append(
        &mut self,
        from: NodeId,
        previous: LogPosition,
        entries: Vec<Entry<M::Command>>,
        commit: Index,
        sent_at: Monotonic,
    ) {
        let outcome = self.append_from_leader(previous, entries);
        if let AppendOutcome::Matched(matched) = outcome {
            self.commit = self.commit.max(commit.min(matched));
        }
        let term = self.term;
        self.send(
            from,
            Message::AppendReply {
                term,
                outcome,
                sent_at,
            },
        );
    }

    fn append_from_leader(
        &mut self,
        previous: LogPosition,
        entries: Vec<Entry<M::Command>>,
    ) -> AppendOutcome {
        let base = self.log.base_index();
        let previous_matches =
            previous.index < base || self.log.term_at(previous.index) == Some(previous.term);
        if !previous_matches {
            let hint = self.log.last().index.min(previous.index.saturating_sub(1));
            return AppendOutcome::Mismatch {
                hint: hint.max(self.commit),
            };
        }
        let mut matched = previous.index;
        for entry in entries {
            matched = entry.position.index;
            self.append_entry(entry);
        }
        AppendOutcome::Matched(matched)
    }

    fn append_entry(&mut self, entry: Entry<M::Command>) {
        let index = entry.position.index;
        if index <= self.log.base_index() {
            return;
        }
        match self.log.term_at(index) {
            Some(term) if term == entry.position.term => {}
            Some(_) => {
                self.log.truncate_from(index);
                self.log.push(entry);
            }
            None => self.log.push(entry),
        }
    }

    pub(super) fn on_snapshot(&mut self, from: NodeId, snapshot: Snapshot<M>, sent_at: Monotonic) {
        let position = snapshot.position;
        if position.index > self.commit {
            self.log = super::log::RaftLog::new(position, snapshot.configuration);
            self.state = snapshot.state;
            self.commit = position.index;
            self.applied = position.index;
        }
        let term = self.term;
        let outcome = AppendOutcome::Matched(position.index);
        self.send(
            from,
            Message::AppendReply {
                term,
                outcome,
                sent_at,
            },
        );
    }

    pub(super) fn on_append_reply(
        &mut self,
        from: NodeId,
        term: Term,
        outcome: AppendOutcome,
        sent_at: Monotonic,
        now: Monotonic,
    ) {
        if term > self.term {
            self.step_down(term, now);
            return;
        }
        if self.role != Role::Leader || term != self.term {
            return;
        }
        let last = self.log.last().index;
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        let acknowledged = progress.last_acknowledged_send.unwrap_or_default();
        progress.last_acknowledged_send = Some(acknowledged.max(sent_at));
        if progress.in_flight_since == Some(sent_at) {
            progress.in_flight_since = None;
        }
        match outcome {
            AppendOutcome::Matched(index) => {
                progress.matched = progress.matched.max(index.min(last));
                progress.next = progress.next.max(progress.matched + 1);
            }
            AppendOutcome::Mismatch { hint } => {
                progress.next = (hint + 1).max(progress.matched + 1).min(progress.next);
            }
        }
        let is_behind = progress.next <= last && progress.in_flight_since.is_none();
        self.advance_commit(now);
        self.advance_leadership_transfer(now);
        if is_behind && self.role == Role::Leader {
            self.send_append(from, now);
        }
    }

    /// Advances the commit index to the newest entry that a majority holds, provided that it is of
    /// the current term.
    pub(super) fn advance_commit(&mut self, now: Monotonic) {
        let last = self.log.last().index;
        let majority_matched = self.configuration().quorum_value(|id| {
            if id == self.id {
                return Some(last);
            }
            Some(self.progress.get(&id)?.matched)
        });
        let Some(index) = majority_matched else {
            return;
        };
        if index > self.commit && self.log.term_at(index) == Some(self.term) {
            self.commit = index;
            self.step_down_if_removed(now);
        }
    }

    /// Steps down if a committed configuration change removed this leader from the voters.
    fn step_down_if_removed(&mut self, now: Monotonic) {
        let committed = self.log.configuration_index() <= self.commit;
        if committed && !self.configuration().voters.contains(&self.id) {
            for to in self.followers() {
                self.send_append(to, now);
            }
            self.step_down(self.term, now);
        }
    }
}
