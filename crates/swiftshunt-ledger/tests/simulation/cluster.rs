//! A simulated replica group in three zones, advanced step by step.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use swiftshunt_ledger::LedgerConfig;
use swiftshunt_ledger::raft::{
    ArchiveMark, GroupConfiguration, LogPosition, Raft, RaftStart, Role,
};
use swiftshunt_ledger::replacement::{
    ReplacementStep, ReplacementView, ReplicaHealth, ReplicaView, next_replacement_step,
};
use swiftshunt_ledger::state::{
    Command, DispatchId, DispatchOutcome, LedgerState, NewSubmission, Outcome, SubmissionResult,
};
use swiftshunt_types::{Digest, Monotonic, NodeId, SubmissionId, ZoneName};

use crate::network::{InFlight, Network};

const STEP: Duration = Duration::from_millis(10);
const ZONES: [&str; 3] = ["a", "b", "c"];
const SUBMISSIONS: u64 = 12;
/// One replica fault in this many steps, on average.
const REPLICA_FAULT_ODDS: u32 = 40;
/// Number of live replicas at which no further node joins.
const MAX_REPLICAS: usize = 7;
/// Steps within which a leader that shuts down must have a successor; the limit allows for votes that
/// are delayed as stragglers.
const MAX_SUCCESSION_STEPS: u32 = 600;
/// Steps within which the group must make progress after the faults have ended.
const RECOVERY_STEPS: u32 = 600;
/// Time after which a crashed replica is replaced.
const REPLACE_DELAY: Duration = Duration::from_millis(500);

/// Faults that the simulation injects.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub loss_percent: u32,
    pub duplication_percent: u32,
    pub max_delay_steps: u32,
    /// Whether replicas are paused, isolated, crashed and joined, and leadership is transferred.
    pub replica_faults: bool,
}

impl Faults {
    pub fn none() -> Self {
        Self {
            loss_percent: 0,
            duplication_percent: 0,
            max_delay_steps: 0,
            replica_faults: false,
        }
    }
}

struct Replica {
    raft: Raft<LedgerState>,
    zone: ZoneName,
    paused_until: u32,
    isolated_until: u32,
}

/// Events of the whole group, against which every replica is checked.
#[derive(Default)]
struct History {
    /// The leader of each term.
    leaders: BTreeMap<u64, NodeId>,
    /// The first entry that a replica applied at each index: its position and its command as text.
    applied: BTreeMap<u64, (LogPosition, String)>,
    /// Granted dispatches of each submission.
    granted: BTreeMap<SubmissionId, BTreeSet<DispatchId>>,
}

pub struct Cluster {
    seed: u64,
    faults: Faults,
    random: SmallRng,
    step: u32,
    network: Network,
    replicas: BTreeMap<NodeId, Replica>,
    crashed_at: BTreeMap<NodeId, u32>,
    history: History,
    next_id: u64,
    /// A replica that transfers leadership whenever it is the leader.
    stopping: Option<NodeId>,
}

fn settings() -> LedgerConfig {
    LedgerConfig {
        retained_entries: 16,
        ..LedgerConfig::default()
    }
}

impl Cluster {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let mut cluster = Self {
            seed,
            faults,
            random: SmallRng::seed_from_u64(seed),
            step: 0,
            network: Network::default(),
            replicas: BTreeMap::new(),
            crashed_at: BTreeMap::new(),
            history: History::default(),
            next_id: 1,
            stopping: None,
        };
        let voters = (1..=3).map(NodeId);
        for zone in ZONES {
            cluster.add_replica(zone.into(), GroupConfiguration::of_voters(voters.clone()));
        }
        cluster
    }

    fn now(&self) -> Monotonic {
        STEP * self.step
    }

    fn add_replica(&mut self, zone: ZoneName, configuration: GroupConfiguration) {
        let id = NodeId(self.next_id);
        self.next_id += 1;
        let start = RaftStart {
            base: LogPosition::default(),
            configuration,
            state: LedgerState::default(),
            archived: ArchiveMark::default(),
        };
        let random = Box::new(SmallRng::seed_from_u64(self.random.random()));
        let raft = Raft::new(id, settings(), start, self.now(), random);
        let replica = Replica {
            raft,
            zone,
            paused_until: 0,
            isolated_until: 0,
        };
        self.replicas.insert(id, replica);
    }

    pub fn step(&mut self) {
        self.step += 1;
        if self.faults.replica_faults {
            self.inject_replica_fault();
        }
        self.propose_random_command();
        self.deliver();
        self.tick();
        self.replace_replicas();
        self.archive();
        self.collect_messages();
        self.check();
    }

    fn inject_replica_fault(&mut self) {
        for replica in self.replicas.values_mut() {
            if replica.isolated_until == self.step {
                self.network.isolated.remove(&replica.raft.id());
            }
        }
        if self.random.random_range(0..REPLICA_FAULT_ODDS) != 0 {
            return;
        }
        let ids: Vec<NodeId> = self.replicas.keys().copied().collect();
        let target = ids[self.random.random_range(0..ids.len())];
        let duration = self.random.random_range(5..150);
        match self.random.random_range(0..5) {
            0 => self.pause(target, duration),
            1 => self.isolate(target, duration),
            2 => self.transfer_leadership(),
            3 => self.join(),
            _ => self.crash(target),
        }
    }

    fn pause(&mut self, target: NodeId, duration: u32) {
        if let Some(replica) = self.replicas.get_mut(&target) {
            replica.paused_until = self.step + duration;
        }
    }

    fn isolate(&mut self, target: NodeId, duration: u32) {
        if let Some(replica) = self.replicas.get_mut(&target) {
            replica.isolated_until = self.step + duration;
            self.network.isolated.insert(target);
        }
    }

    /// Starts another node in a random zone, which becomes the zone's candidate.
    fn join(&mut self) {
        if self.replicas.len() < MAX_REPLICAS {
            let zone = ZONES[self.random.random_range(0..ZONES.len())];
            self.add_replica(zone.into(), GroupConfiguration::default());
        }
    }

    fn transfer_leadership(&mut self) {
        let now = self.now();
        for replica in self.replicas.values_mut() {
            replica.raft.transfer_leadership(now);
        }
    }

    /// Crashes a replica permanently, provided that every configuration that may be in force keeps a
    /// quorum of replicas with their state. A new node with another identity starts in the same zone.
    fn crash(&mut self, target: NodeId) {
        let keeps_quorum = self.replicas.values().all(|replica| {
            let voters = &replica.raft.configuration().voters;
            let left = voters.iter().filter(|id| **id != target);
            let left = left.filter(|id| self.replicas.contains_key(id)).count();
            voters.is_empty() || left >= replica.raft.configuration().quorum()
        });
        if !keeps_quorum {
            return;
        }
        if let Some(replica) = self.replicas.remove(&target) {
            self.network.isolated.remove(&target);
            self.crashed_at.insert(target, self.step);
            self.add_replica(replica.zone, GroupConfiguration::default());
        }
    }

    fn leader(&self) -> Option<NodeId> {
        let now = self.now();
        let leads = |replica: &&Replica| replica.raft.holds_lease(now);
        self.replicas
            .values()
            .find(leads)
            .map(|replica| replica.raft.id())
    }

    fn propose_random_command(&mut self) {
        if self.random.random_range(0..3) != 0 {
            return;
        }
        let command = self.random_command();
        let now = self.now();
        let step = self.step;
        let ids: Vec<NodeId> = self.replicas.keys().copied().collect();
        let chosen = ids[self.random.random_range(0..ids.len())];
        if let Some(replica) = self.replicas.get_mut(&chosen)
            && replica.paused_until <= step
        {
            // Replicas that do not lead are expected to reject the proposal.
            replica.raft.propose(command, now).ok();
        }
    }

    fn random_command(&mut self) -> Command {
        let number = self.random.random_range(0..SUBMISSIONS);
        let submission = SubmissionId(format!("sub_{number}"));
        let repeatable = number.is_multiple_of(2);
        match self.random.random_range(0..5) {
            0 => Command::AcceptSubmission(NewSubmission {
                id: submission,
                tenant: "tenant".into(),
                pool: "pool".into(),
                digest: Digest::of(b"body"),
                body: "body".to_owned(),
                repeatable,
            }),
            1 => Command::DispatchSubmission {
                submission,
                dispatch: DispatchId(self.random.random()),
                worker: "worker".into(),
                supersedes: None,
            },
            2 => Command::DispatchSubmission {
                dispatch: DispatchId(self.random.random()),
                supersedes: self.highest_granted_dispatch(&submission),
                submission,
                worker: "worker".into(),
            },
            _ => Command::CompleteSubmission {
                submission,
                result: SubmissionResult::Answered {
                    status: 200,
                    body: self.random.random::<u64>().to_string(),
                },
            },
        }
    }

    /// The granted dispatch with the highest identifier. Identifiers are random, so a newer dispatch may
    /// have superseded it.
    fn highest_granted_dispatch(&self, submission: &SubmissionId) -> Option<DispatchId> {
        self.history.granted.get(submission)?.last().copied()
    }

    fn deliver(&mut self) {
        let now = self.now();
        for arrived in self.network.arrivals(self.step, &mut self.random) {
            let Some(replica) = self.replicas.get_mut(&arrived.to) else {
                continue;
            };
            if replica.paused_until <= self.step {
                replica.raft.receive(arrived.from, arrived.message, now);
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        for replica in self.replicas.values_mut() {
            if replica.paused_until <= self.step {
                replica.raft.tick(now);
            }
            if self.stopping == Some(replica.raft.id()) {
                replica.raft.transfer_leadership(now);
            }
        }
    }

    /// Starts a planned shutdown of the leader, which transfers leadership from then on.
    pub fn start_leader_shutdown(&mut self) {
        while self.leader().is_none() {
            self.step();
        }
        self.stopping = self.leader();
    }

    /// Checks that another replica becomes the leader within [`MAX_SUCCESSION_STEPS`].
    pub fn check_successor(&mut self) {
        for _ in 0..MAX_SUCCESSION_STEPS {
            if self
                .leader()
                .is_some_and(|leader| Some(leader) != self.stopping)
            {
                return;
            }
            self.step();
        }
        panic!(
            "no successor of the leader that shuts down, seed {}",
            self.seed
        );
    }

    /// Determines and executes the leader's next replacement step, as its driver does.
    fn replace_replicas(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let raft = &self.replicas[&leader].raft;
        let members = raft.configuration().members();
        let replicas = members
            .map(|id| (id, self.replica_view(raft, id)))
            .collect();
        let candidates = self.candidates().into_iter();
        let candidates = candidates.map(|(zone, id)| (zone.clone(), id)).collect();
        let step = next_replacement_step(&ReplacementView {
            leader,
            configuration: raft.configuration(),
            replicas,
            candidates,
        });
        let now = self.now();
        let Some(replica) = self.replicas.get_mut(&leader) else {
            return;
        };
        match step {
            // Rejected while another change is uncommitted; retried at the next step.
            Some(ReplacementStep::Change(change)) => {
                replica.raft.propose_configuration(change, now).ok();
            }
            Some(ReplacementStep::TransferLeadership) => replica.raft.transfer_leadership(now),
            None => {}
        }
    }

    /// Advances the archive in some steps, so that replicas compact their logs and learners need
    /// snapshots.
    fn archive(&mut self) {
        let archive_advances = self.random.random_range(0..10) == 0;
        let Some(leader) = self.leader().filter(|_| archive_advances) else {
            return;
        };
        if let Some(replica) = self.replicas.get_mut(&leader) {
            let index = replica.raft.commit_index();
            replica.raft.set_archived(ArchiveMark {
                index,
                next_offset: index,
            });
        }
    }

    /// The candidate of each zone, which is its newest node.
    fn candidates(&self) -> BTreeMap<&ZoneName, NodeId> {
        let alive = self.replicas.values();
        alive
            .map(|replica| (&replica.zone, replica.raft.id()))
            .collect()
    }

    fn replica_view(&self, raft: &Raft<LedgerState>, id: NodeId) -> ReplicaView {
        let replica = self.replicas.get(&id);
        let down_since = self.crashed_at.get(&id);
        let replace_delay_passed =
            down_since.is_some_and(|at| STEP * (self.step - at) >= REPLACE_DELAY);
        let health = match replica {
            Some(_) => ReplicaHealth::Alive,
            None if replace_delay_passed => ReplicaHealth::Lost,
            None => ReplicaHealth::Unreachable,
        };
        ReplicaView {
            health,
            zone: replica.map(|replica| replica.zone.clone()),
            caught_up: raft.is_caught_up(id),
        }
    }

    fn collect_messages(&mut self) {
        let mut sent = Vec::new();
        for replica in self.replicas.values_mut() {
            let from = replica.raft.id();
            let messages = replica.raft.take_messages().into_iter();
            sent.extend(messages.map(|envelope| (from, envelope)));
        }
        for (from, envelope) in sent {
            let message = InFlight {
                from,
                to: envelope.to,
                due: self.step,
                message: envelope.message,
            };
            self.network.send(
                message,
                self.faults.loss_percent,
                self.faults.duplication_percent,
                self.faults.max_delay_steps,
                &mut self.random,
            );
        }
    }

    fn check(&mut self) {
        let (seed, now) = (self.seed, self.now());
        let mut lease_holders = Vec::new();
        for replica in self.replicas.values_mut() {
            let raft = &mut replica.raft;
            if raft.role() == Role::Leader {
                let first = self.history.leaders.entry(raft.term()).or_insert(raft.id());
                assert_eq!(*first, raft.id(), "two leaders in one term, seed {seed}");
            }
            if raft.holds_lease(now) {
                lease_holders.push(raft.id());
            }
            for entry in raft.apply_committed() {
                let command = format!("{:?}", entry.command);
                let applied = (entry.position, command);
                let index = entry.position.index;
                let first = self
                    .history
                    .applied
                    .entry(index)
                    .or_insert_with(|| applied.clone());
                assert_eq!(
                    *first, applied,
                    "replicas applied different entries at one index, seed {seed}"
                );
                if let Some(Outcome::Dispatch(DispatchOutcome::Granted(granted))) = &entry.outcome
                    && let Some(Command::DispatchSubmission { submission, .. }) = &entry.command
                {
                    let grants = self.history.granted.entry(submission.clone()).or_default();
                    grants.insert(granted.id);
                }
            }
        }
        assert!(
            lease_holders.len() <= 1,
            "several replicas hold a lease: {lease_holders:?}, seed {seed}"
        );
        self.check_dispatches();
    }

    fn check_dispatches(&self) {
        for (submission, grants) in &self.history.granted {
            let number: u64 = submission.as_str()[4..]
                .parse()
                .expect("submission identifier does not end with a number");
            if !number.is_multiple_of(2) {
                assert!(
                    grants.len() <= 1,
                    "{submission} is not repeatable but was dispatched twice, seed {}",
                    self.seed
                );
            }
        }
    }

    /// Ends all faults.
    pub fn clear_faults(&mut self) {
        self.faults = Faults::none();
        self.network.isolated.clear();
        for replica in self.replicas.values_mut() {
            replica.paused_until = 0;
        }
    }

    /// Checks the group after the faults have ended: the leader has applied every entry that any
    /// replica applied, new entries are committed, and the voters are exactly the zones' candidates.
    pub fn check_progress(&mut self) {
        let applied_before = self.history.applied.len();
        for _ in 0..RECOVERY_STEPS {
            self.step();
        }
        let leader = self.leader();
        let leader = leader.unwrap_or_else(|| {
            panic!(
                "no leader after the faults ended, seed {}: {}",
                self.seed,
                self.describe()
            )
        });
        let applied = self.replicas[&leader].raft.applied_index();
        let highest = self
            .history
            .applied
            .keys()
            .last()
            .copied()
            .unwrap_or_default();
        assert!(
            applied >= highest,
            "the leader has not applied every applied entry, seed {}",
            self.seed
        );
        assert!(
            self.history.applied.len() > applied_before,
            "no entry was applied after the faults ended, seed {}",
            self.seed
        );
        let voters = &self.replicas[&leader].raft.configuration().voters;
        assert_eq!(
            voters.len(),
            ZONES.len(),
            "the group does not have one voter per zone, seed {}",
            self.seed
        );
        let expected: BTreeSet<NodeId> = self.candidates().into_values().collect();
        assert_eq!(
            *voters, expected,
            "the voters are not the candidates of the zones, seed {}",
            self.seed
        );
    }

    fn describe(&self) -> String {
        let lines = self.replicas.values().map(|replica| {
            let raft = &replica.raft;
            format!(
                "\n{} zone {} {:?} term {} commit {} members {:?}",
                raft.id(),
                replica.zone,
                raft.role(),
                raft.term(),
                raft.commit_index(),
                raft.configuration()
            )
        });
        lines.collect()
    }

    /// Number of terms that had a leader.
    pub fn terms_led(&self) -> usize {
        self.history.leaders.len()
    }
}
