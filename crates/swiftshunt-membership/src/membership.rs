//! The member list and the probe cycle.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::SliceRandom;
use swiftshunt_types::{Monotonic, NodeId, ZoneName};

use crate::dissemination::Dissemination;
use crate::{Member, MemberRecord, MemberState, MembershipConfig};

/// A probe that the caller must carry out now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbePlan {
    /// Member to probe.
    pub target: Member,
    /// Members through which a failed probe is repeated.
    pub helpers: Vec<Member>,
}

/// A change of a member's state, as reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The member whose state changed.
    pub member: Member,
    /// The new state.
    pub state: MemberState,
}

#[derive(Clone, Debug)]
struct TrackedMember {
    record: MemberRecord,
    /// When this node stored `record`.
    stored_at: Monotonic,
}

/// The member list of one node.
///
/// Invariant: the node's own record is never suspect or dead. The node refutes a record that claims this by a record
/// with a higher incarnation.
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
    /// Creates a list that contains only the node itself.
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
                    stored_at: now,
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

    /// Advances time to `now`: declares overdue suspects dead, removes expired records, and plans a probe if one is
    /// due.
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

    /// Records that the process `answered_by` answered the probe of `target`. If `answered_by` is not `target`, the
    /// state of `target` becomes [`MemberState::Left`].
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

    /// Records that neither the direct probe of `target` nor any indirect one was answered. The member is suspected
    /// unless it already was.
    pub fn probe_failed(&mut self, target: NodeId, now: Monotonic) -> Vec<Change> {
        let can_suspect = self
            .members
            .get(&target)
            .is_some_and(|tracked| tracked.record.state < MemberState::Suspect);
        if !can_suspect {
            return Vec::new();
        }
        self.set_state(target, MemberState::Suspect, now)
    }

    /// Merges records received from another node, and returns the resulting changes.
    pub fn merge(&mut self, records: Vec<MemberRecord>, now: Monotonic) -> Vec<Change> {
        let mut changes = Vec::new();
        for record in records {
            changes.extend(self.merge_one(record, now));
        }
        changes
    }

    /// Returns the scheduled records for the next message, and counts one send of each.
    pub fn next_updates(&mut self) -> Vec<MemberRecord> {
        let chosen = self.dissemination.next(self.config.changes_per_message);
        let records = chosen.iter().filter_map(|id| self.members.get(id));
        records.map(|tracked| tracked.record.clone()).collect()
    }

    /// Returns all records, for a node that joins.
    pub fn all_records(&self) -> Vec<MemberRecord> {
        let tracked = self.members.values();
        tracked.map(|tracked| tracked.record.clone()).collect()
    }

    /// Announces that this node finishes its current work and then stops.
    pub fn announce_leaving(&mut self, now: Monotonic) {
        self.set_own_state(MemberState::Leaving, now);
    }

    /// Announces that this node has stopped. The state cannot change afterwards.
    pub fn announce_left(&mut self, now: Monotonic) {
        self.set_own_state(MemberState::Left, now);
    }

    /// A version that increases whenever a record is stored. Data derived from the records stays valid while the
    /// version is the same.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the record of a member; `None` if the member is unknown.
    pub fn record(&self, id: NodeId) -> Option<&MemberRecord> {
        self.members.get(&id).map(|tracked| &tracked.record)
    }

    /// Returns the time since the current record of a member was stored; `None` if the member is unknown.
    pub fn age(&self, id: NodeId, now: Monotonic) -> Option<Monotonic> {
        let tracked = self.members.get(&id)?;
        Some(now.saturating_sub(tracked.stored_at))
    }

    /// All records, including the record of this node.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|tracked| &tracked.record)
    }

    /// Members that can take part in decisions, including this node.
    pub fn reachable(&self) -> impl Iterator<Item = &Member> {
        self.records()
            .filter(|record| record.state.is_reachable())
            .map(|record| &record.member)
    }

    /// Members that may be assigned new roles. Suspected members are included, because otherwise each lost probe would
    /// move roles away and back.
    pub fn eligible(&self) -> impl Iterator<Item = &Member> {
        self.records()
            .filter(|record| matches!(record.state, MemberState::Alive | MemberState::Suspect))
            .map(|record| &record.member)
    }

    /// Zones with at least one reachable member.
    pub fn reachable_zones(&self) -> std::collections::BTreeSet<&ZoneName> {
        self.reachable().map(|member| &member.zone).collect()
    }

    /// Whether a reachable member has the peer address `address`.
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
                stored_at: now,
            },
        );
        self.dissemination.announce(id, self.members.len());
        change
    }

    /// Stores the own record with a higher incarnation if `update` would replace it, unless this node has left.
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
            .filter(|(_, tracked)| now >= tracked.stored_at + self.config.suspicion_timeout)
            .map(|(id, _)| *id)
            .collect();
        let mut changes = Vec::new();
        for id in overdue {
            changes.extend(self.set_state(id, MemberState::Dead, now));
        }
        let (own, retention) = (self.own_id, self.config.retention);
        self.members.retain(|id, tracked| {
            *id == own || tracked.record.state.is_reachable() || now < tracked.stored_at + retention
        });
        changes
    }

    /// Returns the next member in a shuffled round-robin order, in which every member is probed once per round. Dead
    /// members are probed, too, so that both sides of a network partition find each other after it heals.
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

    /// Returns random members to repeat a probe of `target`. Members of other zones come first, because they are not
    /// affected by failed links of this node's zone.
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
