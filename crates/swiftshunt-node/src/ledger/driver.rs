//! The task that drives one partition's replica: it delivers consensus messages, applies committed
//! entries, executes operations and rebuilds a lost group from the archive.

mod archive;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use swiftshunt_backends::log_service::StreamName;
use swiftshunt_ledger::archive::Generation;
use swiftshunt_ledger::raft::{Message, Role};
use swiftshunt_ledger::replacement::ReplacementStep;
use swiftshunt_ledger::routes::LeaderAddress;
use swiftshunt_ledger::state::LedgerState;
use swiftshunt_types::{Monotonic, NodeId, PartitionId};
use tokio::sync::mpsc;

use super::archive_io::ArchiveIo;
use super::effects;
use super::hints::LeaderHintPublisher;
use super::input::{DriverInput, ReplicaStatus, Reply};
use super::leadership::{Leadership, replacement};
use super::queries;
use super::recovery::Recovery;
use super::replica::Replica;
use crate::context::Context;
use crate::lifecycle::Stage;
use crate::lock;
use crate::peer::{LedgerOperation, LedgerRefusal, RaftBatch};

/// Most inputs handled before the replica's timers are checked again.
const MAX_INPUTS_PER_CYCLE: usize = 256;

/// The driver of this node's replica of one partition.
pub(super) struct Driver {
    context: Arc<Context>,
    partition: PartitionId,
    archive: ArchiveIo,
    replica: Option<Replica>,
    recovery: Recovery,
    /// Replicas of generations up to this one are never started again, since a restarted replica
    /// would not know its vote.
    retired_generation: Generation,
    /// Whether a read of the archive is running that checks whether the replica's generation is still
    /// current.
    is_verifying: bool,
    hints: LeaderHintPublisher,
}

impl Driver {
    /// Starts the driver task and returns the sender of its inputs.
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
            retired_generation: 0,
            is_verifying: false,
            hints: LeaderHintPublisher::new(partition),
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
                received = inbox.recv_many(&mut inputs, MAX_INPUTS_PER_CYCLE) => {
                    if received == 0 {
                        return;
                    }
                }
                _ = ticker.tick() => {}
            }
            let now = self.context.clock.now();
            for input in inputs.drain(..) {
                self.handle_input(input, now);
            }
            self.run_cycle(now);
        }
    }

    fn handle_input(&mut self, input: DriverInput, now: Monotonic) {
        match input {
            DriverInput::Raft {
                from,
                generation,
                messages,
            } => self.on_messages(from, generation, messages, now),
            DriverInput::Operation { operation, reply } => self.on_operation(operation, reply, now),
            DriverInput::Status { reply } => drop(reply.send(self.status(now))),
            DriverInput::Archive(event) => self.on_archive(event, now),
        }
    }

    fn status(&mut self, now: Monotonic) -> ReplicaStatus {
        let holds_lease = self.lease_holder(now).is_some();
        let own = self.context.own.id;
        let is_leader = |replica: &Replica| replica.raft.role() == Role::Leader;
        let votes = |replica: &Replica| replica.raft.configuration().voters.contains(&own);
        let candidates = self
            .context
            .placement
            .candidates(&self.context, self.partition);
        let needed = candidates.get(&self.context.own.zone) == Some(&own);
        ReplicaStatus {
            partition: self.partition,
            holds_lease,
            is_leader: self.replica.as_ref().is_some_and(is_leader),
            is_settled: !needed || self.replica.as_ref().is_some_and(votes),
        }
    }

    /// Runs everything that can follow from new inputs or elapsed time.
    fn run_cycle(&mut self, now: Monotonic) {
        self.tick_replica(now);
        self.apply_committed();
        self.update_leadership(now);
        self.publish_group_leader();
        self.propose_member_change(now);
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
        if generation < current || generation <= self.retired_generation {
            return;
        }
        if generation > current {
            // A member of the claim starts as a voter with the claim's configuration, which no message contains. Messages
            // dropped until the claim is known are sent again.
            if !self.recovery.may_start_learner(generation) {
                if self.recovery.try_begin_replay_of(generation) {
                    self.archive.replay();
                }
                return;
            }
            self.start_learner(generation, now);
        }
        let config = &self.context.settings.ledger;
        let Some(replica) = self.replica.as_mut() else {
            return;
        };
        if !replica.may_participate(config, now) {
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

    /// Drops the replica and ensures that no replica of its generation is started again.
    fn retire(&mut self) {
        if let Some(replica) = self.replica.take() {
            self.retired_generation = self.retired_generation.max(replica.generation);
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
        if replica.may_participate(config, now) {
            replica.raft.tick(now);
            if draining {
                replica.raft.transfer_leadership(now);
            }
            replica.update_group_contact(now);
        } else if !self.is_verifying {
            self.is_verifying = true;
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

    fn apply_committed(&mut self) {
        let Some(replica) = self.replica.as_mut() else {
            return;
        };
        for entry in replica.raft.apply_committed() {
            let outcome = entry.outcome.as_ref();
            replica
                .acknowledgements
                .on_entry_applied(entry.position, outcome);
            effects::on_entry_applied(replica, &entry);
        }
    }

    fn on_operation(&mut self, operation: LedgerOperation, reply: Reply, now: Monotonic) {
        let refusal = LedgerRefusal::NotLeader {
            hint: self.known_leader(),
        };
        let partition = self.partition;
        let Some(replica) = self.lease_holder(now) else {
            drop(reply.send(Err(refusal)));
            return;
        };
        match operation {
            LedgerOperation::Propose(command) => match replica.raft.propose(command, now) {
                Ok(position) => replica.acknowledgements.reply_on_applied(position, reply),
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

    /// The replica, if it is the leader and holds a valid lease.
    fn lease_holder(&mut self, now: Monotonic) -> Option<&mut Replica> {
        let config = &self.context.settings.ledger;
        self.replica.as_mut().filter(|replica| {
            replica.may_participate(config, now)
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
        let is_leader = replica.raft.role() == Role::Leader;
        let led_term = replica
            .leadership
            .as_ref()
            .map(|leadership| leadership.term);
        if let Some(ended_term) = led_term.filter(|led_term| !is_leader || *led_term != term) {
            replica.leadership = None;
            replica.acknowledgements.fail_all();
            self.hints
                .withdraw(&self.context, replica.generation, ended_term);
            log::info!(partition = self.partition.0, term = ended_term;
                "leadership ended; stopping the partition's submissions, jobs and planner");
        }
        if replica.leadership.is_none() && replica.raft.holds_lease(now) {
            let tail_task = self.archive.follow(replica.archive_position());
            let context = Arc::clone(&self.context);
            replica.writer = Default::default();
            let leadership = Leadership::start(context, self.partition, &replica.raft, tail_task);
            replica.leadership = Some(leadership);
            log::info!(partition = self.partition.0, term = term;
                "leadership began; running the partition's submissions, jobs and planner");
            self.hints.publish(&self.context, replica.generation, term);
        }
        if let Some(leadership) = &replica.leadership {
            let valid = replica.raft.holds_lease(now);
            leadership
                .lease
                .set(replica.raft.lease_until().filter(|_| valid));
        }
    }

    /// Publishes a leader that the group has shown to this node's replica, once its address is known.
    fn publish_group_leader(&mut self) {
        let Some(replica) = self.replica.as_mut() else {
            return;
        };
        let own = self.context.own.id;
        let unpublished = replica.unpublished_leader();
        let Some(seen) = unpublished.filter(|seen| seen.node != own) else {
            return;
        };
        let Some(address) = address_of(&self.context, replica, seen.node) else {
            return;
        };
        let leader = LeaderAddress {
            node: seen.node,
            address,
        };
        self.hints
            .publish_seen(&self.context, replica.generation, seen.term, leader);
        replica.mark_leader_published(seen);
    }

    fn propose_member_change(&mut self, now: Monotonic) {
        let Some(replica) = self.replica.as_mut() else {
            return;
        };
        if replica.leadership.is_none() || !replica.raft.holds_lease(now) {
            return;
        }
        let change = match replacement(&self.context, self.partition, &replica.raft, now) {
            Some(ReplacementStep::Change(change)) => change,
            Some(ReplacementStep::TransferLeadership) => {
                replica.raft.transfer_leadership(now);
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
}

/// Peer address of a node, from membership or else from the claim; `None` if neither has it.
fn address_of(context: &Context, replica: &Replica, node: NodeId) -> Option<SocketAddr> {
    let membership = lock(&context.membership);
    let known = membership.record(node).map(|record| record.member.peer);
    known.or_else(|| replica.addresses.get(&node).copied())
}
