//! The task that drives one partition's replica: carries its messages, applies what is committed,
//! answers operations, and recovers the group from the archive when it is lost.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use swiftshunt_backends::log_service::{LogError, StreamName};
use swiftshunt_ledger::archive::{ArchivePosition, ArchiveRecord, Generation, Replay};
use swiftshunt_ledger::raft::{ArchiveMark, Message, Role};
use swiftshunt_ledger::replacement::Step;
use swiftshunt_ledger::routes::LeaderAddress;
use swiftshunt_ledger::state::LedgerState;
use swiftshunt_types::{Monotonic, NodeId, PartitionId};
use tokio::sync::mpsc;

use super::archive_io::ArchiveIo;
use super::effects;
use super::hints::LeaderHints;
use super::input::{ArchiveEvent, DriverInput, Reply, Standing};
use super::leadership::{Leadership, replacement};
use super::queries;
use super::recovery::{Recovery, claim_after};
use super::replica::Replica;
use crate::context::Context;
use crate::lifecycle::Stage;
use crate::lock;
use crate::peer::{LedgerOperation, LedgerRefusal, RaftBatch};

/// Inputs taken before time is looked at again.
const INPUTS_PER_ROUND: usize = 256;
/// Entries in one archive record.
const ENTRIES_PER_RECORD: usize = 256;

/// Drives one partition's replica.
pub(super) struct Driver {
    context: Arc<Context>,
    partition: PartitionId,
    archive: ArchiveIo,
    replica: Option<Replica>,
    recovery: Recovery,
    /// Replicas of generations up to this one are gone for good: starting one again would forget
    /// its vote.
    retired: Generation,
    verifying: bool,
    hints: LeaderHints,
}

impl Driver {
    /// Starts the task and returns its inbox.
    pub(super) fn start(
        context: Arc<Context>,
        partition: PartitionId,
    ) -> mpsc::UnboundedSender<DriverInput> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let archive = ArchiveIo {
            log: Arc::clone(&context.log),
            stream: StreamName::archive(partition),
            events: sender.clone(),
        };
        let recovery = Recovery::new(context.clock.now());
        let driver = Self {
            context,
            partition,
            archive,
            replica: None,
            recovery,
            retired: 0,
            verifying: false,
            hints: LeaderHints::new(partition),
        };
        tokio::spawn(driver.run(receiver));
        sender
    }

    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<DriverInput>) {
        let period = self.context.settings.ledger.heartbeat_interval / 2;
        let mut ticker = tokio::time::interval(period);
        ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        let mut inputs = Vec::new();
        let aborted = self.context.aborted.clone();
        loop {
            tokio::select! {
                () = aborted.cancelled() => return,
                received = inbox.recv_many(&mut inputs, INPUTS_PER_ROUND) => {
                    if received == 0 {
                        return;
                    }
                }
                _ = ticker.tick() => {}
            }
            let now = self.context.clock.now();
            for input in inputs.drain(..) {
                self.take(input, now);
            }
            self.advance(now);
        }
    }

    fn take(&mut self, input: DriverInput, now: Monotonic) {
        match input {
            DriverInput::Raft {
                from,
                generation,
                messages,
            } => self.on_messages(from, generation, messages, now),
            DriverInput::Operation { operation, reply } => self.on_operation(operation, reply, now),
            DriverInput::Standing { reply } => drop(reply.send(self.standing())),
            DriverInput::Archive(event) => self.on_archive(event, now),
        }
    }

    fn standing(&self) -> Standing {
        let own = self.context.own.id;
        let leads = |replica: &Replica| replica.raft.role() == Role::Leader;
        let votes = |replica: &Replica| replica.raft.configuration().voters.contains(&own);
        let candidates = self
            .context
            .placement
            .candidates(&self.context, self.partition);
        let needed = candidates.get(&self.context.own.zone) == Some(&own);
        Standing {
            leads: self.replica.as_ref().is_some_and(leads),
            settled: !needed || self.replica.as_ref().is_some_and(votes),
        }
    }

    /// Everything that follows from new input or the passing of time.
    fn advance(&mut self, now: Monotonic) {
        self.tick_replica(now);
        self.apply();
        self.update_leadership(now);
        self.maintain_group(now);
        self.write_archive(now);
        self.acknowledge(now);
        self.send_messages();
        self.recover(now);
    }

    // Consensus.

    fn on_messages(
        &mut self,
        from: NodeId,
        generation: Generation,
        messages: Vec<Message<LedgerState>>,
        now: Monotonic,
    ) {
        let current = self
            .replica
            .as_ref()
            .map_or(0, |replica| replica.generation);
        if generation < current || generation <= self.retired {
            return;
        }
        if generation > current {
            self.start_learner(generation, now);
        }
        let config = &self.context.settings.ledger;
        let Some(replica) = self.replica.as_mut() else {
            return;
        };
        if !replica.may_act(config, now) {
            return;
        }
        for message in messages {
            replica.raft.receive(from, message, now);
        }
    }

    fn start_learner(&mut self, generation: Generation, now: Monotonic) {
        self.retire();
        let config = self.context.settings.ledger.clone();
        let own = self.context.own.id;
        self.recovery.known_generation = generation;
        self.replica = Some(Replica::learner(own, config, generation, now));
    }

    /// Gives the replica up for good; its generation is over.
    fn retire(&mut self) {
        if let Some(replica) = self.replica.take() {
            self.retired = self.retired.max(replica.generation);
            if let Some(leadership) = &replica.leadership {
                let term = leadership.term;
                self.hints.withdraw(&self.context, replica.generation, term);
            }
        }
    }

    fn tick_replica(&mut self, now: Monotonic) {
        let config = &self.context.settings.ledger;
        let draining = self.context.lifecycle.stage() == Stage::Draining;
        let Some(replica) = self.replica.as_mut() else {
            return;
        };
        if replica.may_act(config, now) {
            replica.raft.tick(now);
            if draining {
                replica.raft.hand_over(now);
            }
            replica.note_contact(now);
        } else if !self.verifying {
            self.verifying = true;
            self.archive.verify(replica.archive_position(), now);
        }
    }

    fn send_messages(&mut self) {
        let Some(replica) = self.replica.as_mut() else {
            return;
        };
        let mut by_receiver: BTreeMap<NodeId, Vec<Message<LedgerState>>> = BTreeMap::new();
        for envelope in replica.raft.take_messages() {
            by_receiver
                .entry(envelope.to)
                .or_default()
                .push(envelope.message);
        }
        let generation = replica.generation;
        let own = self.context.own.id;
        for (to, messages) in by_receiver {
            let Some(address) = address_of(&self.context, replica, to) else {
                continue;
            };
            let batch = RaftBatch {
                from: own,
                to,
                partition: self.partition,
                generation,
                messages,
            };
            self.context.peers.send_raft(address, batch);
        }
    }

    // The state machine.

    fn apply(&mut self) {
        let Some(replica) = self.replica.as_mut() else {
            return;
        };
        for entry in replica.raft.apply_committed() {
            let outcome = entry.outcome.as_ref();
            replica.acknowledgements.applied(entry.position, outcome);
            effects::apply(replica, &entry);
        }
    }

    fn on_operation(&mut self, operation: LedgerOperation, reply: Reply, now: Monotonic) {
        let refusal = LedgerRefusal::NotLeader {
            hint: self.known_leader(),
        };
        let partition = self.partition;
        let Some(replica) = self.leading(now) else {
            drop(reply.send(Err(refusal)));
            return;
        };
        match operation {
            LedgerOperation::Propose(command) => match replica.raft.propose(command, now) {
                Ok(position) => replica.acknowledgements.on_applied(position, reply),
                Err(_) => drop(reply.send(Err(refusal))),
            },
            LedgerOperation::AwaitSubmission { id, .. } => {
                queries::await_submission(replica, id, reply)
            }
            LedgerOperation::Query(query) => {
                let answer = queries::answer(replica, partition, query);
                drop(reply.send(Ok(answer)));
            }
        }
    }

    /// The replica, if it leads and its lease stands.
    fn leading(&mut self, now: Monotonic) -> Option<&mut Replica> {
        let config = &self.context.settings.ledger;
        self.replica.as_mut().filter(|replica| {
            replica.may_act(config, now)
                && replica.leadership.is_some()
                && replica.raft.holds_lease(now)
        })
    }

    fn known_leader(&self) -> Option<LeaderAddress> {
        lock(&self.context.routes).table.leader(self.partition)
    }

    // Leadership.

    fn update_leadership(&mut self, now: Monotonic) {
        let Some(replica) = self.replica.as_mut() else {
            return;
        };
        let term = replica.raft.term();
        let leads = replica.raft.role() == Role::Leader;
        let led = replica
            .leadership
            .as_ref()
            .map(|leadership| leadership.term);
        if let Some(ended) = led.filter(|led| !leads || *led != term) {
            replica.leadership = None;
            replica.acknowledgements.lose_all();
            self.hints
                .withdraw(&self.context, replica.generation, ended);
            log::info!(partition = self.partition.0, term = ended; "leadership ended");
        }
        if replica.leadership.is_none() && replica.raft.holds_lease(now) {
            let tail = self.archive.follow(replica.archive_position());
            let context = Arc::clone(&self.context);
            replica.writer = Default::default();
            let leadership = Leadership::start(context, self.partition, &replica.raft, tail);
            replica.leadership = Some(leadership);
            log::info!(partition = self.partition.0, term = term; "leadership began");
            self.hints.publish(&self.context, replica.generation, term);
        }
        if let Some(leadership) = &replica.leadership {
            let valid = replica.raft.holds_lease(now);
            leadership
                .lease
                .set(replica.raft.lease_until().filter(|_| valid));
        }
    }

    fn maintain_group(&mut self, now: Monotonic) {
        let Some(replica) = self.replica.as_mut() else {
            return;
        };
        if replica.leadership.is_none() || !replica.raft.holds_lease(now) {
            return;
        }
        let change = match replacement(&self.context, self.partition, &replica.raft, now) {
            Some(Step::Change(change)) => change,
            Some(Step::HandOver) => {
                replica.raft.hand_over(now);
                return;
            }
            None => return,
        };
        if replica
            .raft
            .propose_configuration(change.clone(), now)
            .is_ok()
        {
            self.context.decisions.record(
                format!("partition {}", self.partition),
                format!("change members to {change:?}"),
                "a replica was lost, is leaving, or another node is to hold it",
            );
        }
    }

    // The archive.

    fn write_archive(&mut self, now: Monotonic) {
        let Some(replica) = self.replica.as_mut() else {
            return;
        };
        if replica.leadership.is_none() {
            return;
        }
        let committed = replica.raft.commit_index();
        let archived = replica.raft.archived().index;
        replica.writer.observe(committed, archived, now);
        let Some(after) = replica.writer.next_append(committed, archived, now) else {
            return;
        };
        let entries = replica.raft.committed_after(after, ENTRIES_PER_RECORD);
        let Some(last) = entries.last() else {
            return;
        };
        let up_to = last.position.index;
        replica.writer.started(now);
        let record = ArchiveRecord::Entries {
            generation: replica.generation,
            entries,
        };
        self.archive.append(record, up_to);
    }

    fn acknowledge(&mut self, now: Monotonic) {
        let wait = self.context.settings.ledger.archive_wait;
        let Some(replica) = self.replica.as_mut() else {
            return;
        };
        let bound = if replica.writer.is_unavailable(wait, now) {
            replica.raft.commit_index()
        } else {
            replica.raft.archived().index
        };
        replica.acknowledgements.flush(bound);
    }

    fn on_archive(&mut self, event: ArchiveEvent, now: Monotonic) {
        match event {
            ArchiveEvent::Appended { up_to } => {
                if let Some(replica) = self.replica.as_mut() {
                    replica.writer.answered(up_to, now);
                }
            }
            ArchiveEvent::AppendFailed { reason } => {
                log::warn!(partition = self.partition.0; "archive append failed: {reason}");
                if let Some(replica) = self.replica.as_mut() {
                    let archived = replica.raft.archived().index;
                    replica.writer.failed(archived, now);
                }
            }
            ArchiveEvent::Tail(position) => self.on_tail(&position),
            ArchiveEvent::Verified {
                started_at,
                outcome,
            } => self.on_verified(started_at, outcome, now),
            ArchiveEvent::Replayed(outcome) => self.on_replayed(outcome, now),
            ArchiveEvent::ClaimAppended => self.recovery.hasten(now),
        }
    }

    fn on_tail(&mut self, position: &ArchivePosition) {
        let Some(replica) = self.replica.as_mut() else {
            return;
        };
        if position.generation > replica.generation {
            self.recovery.known_generation = position.generation;
            self.retire();
        } else if position.generation == replica.generation {
            replica.writer.advanced();
            replica.raft.set_archived(ArchiveMark {
                index: position.last.index,
                next_offset: position.next_offset,
            });
        }
    }

    fn on_verified(
        &mut self,
        started_at: Monotonic,
        outcome: Result<ArchivePosition, LogError>,
        now: Monotonic,
    ) {
        self.verifying = false;
        let Some(replica) = self.replica.as_mut() else {
            return;
        };
        let Ok(position) = outcome else {
            return;
        };
        if position.generation == replica.generation {
            replica.verified_at = started_at;
            return;
        }
        log::warn!(partition = self.partition.0, generation = position.generation; "generation was superseded");
        self.recovery.known_generation = position.generation;
        self.retire();
        self.recovery.hasten(now);
    }

    // Recovery.

    fn recover(&mut self, now: Monotonic) {
        if self.leader_works(now) {
            self.recovery.leader_seen(now);
            return;
        }
        let delay = self.context.settings.ledger.rebuild_delay;
        let has_replica = self.replica.is_some();
        if self.recovery.begin_replay(has_replica, delay, now) {
            self.archive.replay();
        }
    }

    /// Whether a leader is known to work: followed here, or led by a node that is reachable.
    fn leader_works(&self, now: Monotonic) -> bool {
        let timeout = self.context.settings.ledger.election_timeout * 2;
        let follows = self.replica.as_ref().is_some_and(|replica| {
            let heard = replica.raft.heard_leader_at();
            let recently = heard.is_some_and(|heard| now < heard + timeout);
            replica.raft.holds_lease(now) || (replica.raft.leader().is_some() && recently)
        });
        if follows {
            return true;
        }
        let Some(leader) = self.known_leader() else {
            return false;
        };
        let membership = lock(&self.context.membership);
        leader.node != self.context.own.id
            && membership
                .record(leader.node)
                .is_some_and(|record| record.state.is_reachable())
    }

    fn on_replayed(&mut self, outcome: Result<Box<Replay>, LogError>, now: Monotonic) {
        let replay = match outcome {
            Ok(replay) => replay,
            Err(error) => {
                log::warn!(partition = self.partition.0; "archive cannot be replayed: {error}");
                self.recovery.ended(now);
                return;
            }
        };
        let generation = replay.position.generation;
        let current = self
            .replica
            .as_ref()
            .map_or(0, |replica| replica.generation);
        self.recovery.known_generation = self.recovery.known_generation.max(generation);
        let names_me = replay.position.members.iter();
        let names_me = names_me
            .clone()
            .any(|member| member.node == self.context.own.id);
        if generation > current && names_me && generation > self.retired {
            self.start_claimed(&replay, now);
        } else if generation > current {
            self.retire();
        }
        self.recovery.ended(now);
        self.claim_if_due(generation, now);
    }

    fn start_claimed(&mut self, replay: &Replay, now: Monotonic) {
        self.retire();
        let config = self.context.settings.ledger.clone();
        let replica = Replica::from_claim(self.context.own.id, config, replay, now);
        log::info!(partition = self.partition.0, generation = replica.generation; "replica started");
        self.replica = Some(replica);
        self.recovery.leader_seen(now);
    }

    fn claim_if_due(&mut self, generation: Generation, now: Monotonic) {
        let delay = self.context.settings.ledger.rebuild_delay;
        let lost = self.recovery.is_lost(delay, now);
        if self.leader_works(now) || generation < self.recovery.known_generation {
            return;
        }
        let Some(claim) = claim_after(&self.context, self.partition, generation, lost) else {
            return;
        };
        self.context.decisions.record(
            format!("partition {}", self.partition),
            format!("claim generation {}", generation + 1),
            "no group has led for the rebuild delay, or none existed",
        );
        self.archive.claim(claim);
    }
}

fn address_of(context: &Context, replica: &Replica, node: NodeId) -> Option<SocketAddr> {
    let membership = lock(&context.membership);
    let known = membership.record(node).map(|record| record.member.peer);
    known.or_else(|| replica.addresses.get(&node).copied())
}
