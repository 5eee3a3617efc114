//! The member list and the probe cycle.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::SliceRandom;
use swiftshunt_types::{Monotonic, NodeId, ZoneName};

use crate::dissemination::Dissemination;
use crate::{Member, MemberRecord, MemberState, MembershipConfig};

/// A probe to carry out now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbePlan {
    /// Whom to probe.
    pub target: Member,
    /// Through whom to repeat the probe if it fails.
    pub helpers: Vec<Member>,
}

/// A change of belief, for the layers above.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Who.
    pub member: Member,
    /// What is believed now.
    pub state: MemberState,
}

#[derive(Clone, Debug)]
struct TrackedMember {
    record: MemberRecord,
    state_since: Monotonic,
}

/// The member list of one node.
///
/// Invariant: the node's own record is never suspect or dead; news that says so is refuted with a
/// higher incarnation.
#[derive(Clone, Debug)]
pub struct Membership {
    own_id: NodeId,
    config: MembershipConfig,
    members: BTreeMap<NodeId, TrackedMember>,
    dissemination: Dissemination<NodeId>,
    probe_order: Vec<NodeId>,
    probe_due: Monotonic,
    version: u64,
}

impl Membership {
    /// A list that knows only the node itself.
    pub fn new(own: Member, config: MembershipConfig, now: Monotonic) -> Self {
        let id = own.id;
        let record = MemberRecord {
            member: own,
            incarnation: 0,
            state: MemberState::Alive,
        };
        let mut membership = Self {
            own_id: id,
            config,
            members: BTreeMap::from([(
                id,
                TrackedMember {
                    record,
                    state_since: now,
                },
            )]),
            dissemination: Dissemination::default(),
            probe_order: Vec::new(),
            probe_due: now,
            version: 0,
        };
        membership.dissemination.announce(id, 1);
        membership
    }

    /// Moves time forward: lets suspicions and memories expire, and plans the period's probe.
    pub fn tick(
        &mut self,
        now: Monotonic,
        random: &mut impl Rng,
    ) -> (Vec<Change>, Option<ProbePlan>) {
        let changes = self.expire(now);
        if now < self.probe_due {
            return (changes, None);
        }
        self.probe_due = now + self.config.probe_interval;
        let plan = self.next_probe_target(random).map(|target| ProbePlan {
            helpers: self.choose_helpers(&target, random),
            target,
        });
        (changes, plan)
    }

    /// The probe of `target` was answered by the process `answered_by`.
    pub fn probe_answered(
        &mut self,
        target: NodeId,
        answered_by: NodeId,
        now: Monotonic,
    ) -> Vec<Change> {
        if target == answered_by {
            return Vec::new();
        }
        self.set_state(target, MemberState::Left, now)
    }

    /// Neither the probe nor any helper's probe was answered.
    pub fn probe_failed(&mut self, target: NodeId, now: Monotonic) -> Vec<Change> {
        let reachable = self
            .members
            .get(&target)
            .is_some_and(|tracked| tracked.record.state < MemberState::Suspect);
        if !reachable {
            return Vec::new();
        }
        self.set_state(target, MemberState::Suspect, now)
    }

    /// Takes in news from another node.
    pub fn merge(&mut self, records: Vec<MemberRecord>, now: Monotonic) -> Vec<Change> {
        let mut changes = Vec::new();
        for record in records {
            changes.extend(self.merge_one(record, now));
        }
        changes
    }

    /// News to put on the next message.
    pub fn next_updates(&mut self) -> Vec<MemberRecord> {
        let chosen = self.dissemination.next(self.config.changes_per_message);
        let records = chosen.iter().filter_map(|id| self.members.get(id));
        records.map(|tracked| tracked.record.clone()).collect()
    }

    /// Everything known, for a node that joins.
    pub fn all_records(&self) -> Vec<MemberRecord> {
        let tracked = self.members.values();
        tracked.map(|tracked| tracked.record.clone()).collect()
    }

    /// Announces that this node finishes what it has and goes.
    pub fn announce_leaving(&mut self, now: Monotonic) {
        self.set_own_state(MemberState::Leaving, now);
    }

    /// Announces that this node is gone. Nothing can follow.
    pub fn announce_left(&mut self, now: Monotonic) {
        self.set_own_state(MemberState::Left, now);
    }

    /// Rises with every change of belief; what was derived at the same version still holds.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The record of one member.
    pub fn record(&self, id: NodeId) -> Option<&MemberRecord> {
        self.members.get(&id).map(|tracked| &tracked.record)
    }

    /// For how long a member has been in its state.
    pub fn age(&self, id: NodeId, now: Monotonic) -> Option<Monotonic> {
        let tracked = self.members.get(&id)?;
        Some(now.saturating_sub(tracked.state_since))
    }

    /// Every record.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|tracked| &tracked.record)
    }

    /// Members that can take part in decisions, this node included.
    pub fn reachable(&self) -> impl Iterator<Item = &Member> {
        self.records()
            .filter(|record| record.state.is_reachable())
            .map(|record| &record.member)
    }

    /// Members that may be given new roles. A suspicion changes nothing yet: it would move roles to
    /// and fro with each lost probe.
    pub fn eligible(&self) -> impl Iterator<Item = &Member> {
        self.records()
            .filter(|record| matches!(record.state, MemberState::Alive | MemberState::Suspect))
            .map(|record| &record.member)
    }

    /// Zones with at least one reachable member.
    pub fn reachable_zones(&self) -> std::collections::BTreeSet<&ZoneName> {
        self.reachable().map(|member| &member.zone).collect()
    }

    /// Whether some known member is reached at `address`.
    pub fn knows_address(&self, address: SocketAddr) -> bool {
        self.reachable().any(|member| member.peer == address)
    }

    fn merge_one(&mut self, record: MemberRecord, now: Monotonic) -> Option<Change> {
        if record.member.id == self.own_id {
            self.refute(&record, now);
            return None;
        }
        let known = self.members.get(&record.member.id);
        if known.is_some_and(|known| !record.supersedes(&known.record)) {
            return None;
        }
        if known.is_none() && !record.state.is_reachable() {
            return None;
        }
        Some(self.store(record, now))
    }

    fn store(&mut self, record: MemberRecord, now: Monotonic) -> Change {
        let change = Change {
            member: record.member.clone(),
            state: record.state,
        };
        let id = record.member.id;
        self.version += 1;
        self.members.insert(
            id,
            TrackedMember {
                record,
                state_since: now,
            },
        );
        self.dissemination.announce(id, self.members.len());
        change
    }

    fn refute(&mut self, update: &MemberRecord, now: Monotonic) {
        let Some(own) = self.members.get(&self.own_id) else {
            return;
        };
        let mut record = own.record.clone();
        if record.state == MemberState::Left || !update.supersedes(&record) {
            return;
        }
        record.incarnation = update.incarnation + 1;
        self.store(record, now);
    }

    fn set_own_state(&mut self, state: MemberState, now: Monotonic) {
        let Some(own) = self.members.get(&self.own_id) else {
            return;
        };
        let mut record = own.record.clone();
        if state > record.state {
            record.state = state;
            self.store(record, now);
        }
    }

    fn set_state(&mut self, id: NodeId, state: MemberState, now: Monotonic) -> Vec<Change> {
        let Some(known) = self.members.get(&id) else {
            return Vec::new();
        };
        let mut record = known.record.clone();
        record.state = state;
        if id == self.own_id || !record.supersedes(&known.record) {
            return Vec::new();
        }
        vec![self.store(record, now)]
    }

    fn expire(&mut self, now: Monotonic) -> Vec<Change> {
        let overdue: Vec<NodeId> = self
            .members
            .iter()
            .filter(|(_, tracked)| tracked.record.state == MemberState::Suspect)
            .filter(|(_, tracked)| now >= tracked.state_since + self.config.suspicion_timeout)
            .map(|(id, _)| *id)
            .collect();
        let mut changes = Vec::new();
        for id in overdue {
            changes.extend(self.set_state(id, MemberState::Dead, now));
        }
        let (own, retention) = (self.own_id, self.config.retention);
        self.members.retain(|id, tracked| {
            *id == own
                || tracked.record.state.is_reachable()
                || now < tracked.state_since + retention
        });
        changes
    }

    /// Round robin over a shuffled order: every member is probed within one round. Dead members are
    /// probed too, so that the two sides of a healed cut find each other again.
    fn next_probe_target(&mut self, random: &mut impl Rng) -> Option<Member> {
        for _ in 0..2 {
            while let Some(id) = self.probe_order.pop() {
                let probed = self
                    .record(id)
                    .filter(|record| record.state != MemberState::Left);
                if let Some(record) = probed {
                    return Some(record.member.clone());
                }
            }
            let others = self.members.keys().filter(|id| **id != self.own_id);
            self.probe_order = others.copied().collect();
            self.probe_order.shuffle(random);
        }
        None
    }

    /// Helpers in zones other than this node's first: they do not share its cut links.
    fn choose_helpers(&self, target: &Member, random: &mut impl Rng) -> Vec<Member> {
        let own_zone = self.record(self.own_id).map(|record| &record.member.zone);
        let mut helpers: Vec<&Member> = self
            .eligible()
            .filter(|member| member.id != self.own_id && member.id != target.id)
            .collect();
        helpers.shuffle(random);
        helpers.sort_by_key(|member| Some(&member.zone) == own_zone);
        helpers.truncate(self.config.indirect_probes);
        helpers.into_iter().cloned().collect()
    }
}
