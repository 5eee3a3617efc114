//! Placement of partition replicas and slot granters on nodes, derived from the member list and cached
//! until the list changes.

use std::collections::{BTreeMap, HashMap};
use std::sync::Mutex;

use swiftshunt_ledger::placement::{rendezvous, replica_candidate, replica_zones};
use swiftshunt_types::{NodeId, PartitionId, PoolName, ZoneName, partition_of};

use crate::context::Context;
use crate::lock;

/// Cached placements, all derived from the same version of the member list.
#[derive(Default)]
pub(crate) struct PlacementCache {
    placements: Mutex<Placements>,
}

#[derive(Default)]
struct Placements {
    version: Option<u64>,
    by_zone: BTreeMap<ZoneName, Vec<NodeId>>,
    candidates: HashMap<PartitionId, BTreeMap<ZoneName, NodeId>>,
}

impl PlacementCache {
    /// The node that should hold the partition's replica, for each of its replica zones that has an
    /// eligible node.
    pub(crate) fn candidates(
        &self,
        context: &Context,
        partition: PartitionId,
    ) -> BTreeMap<ZoneName, NodeId> {
        let mut placements = lock(&self.placements);
        placements.refresh(context);
        if let Some(known) = placements.candidates.get(&partition) {
            return known.clone();
        }
        let zones = replica_zones_of(context, partition);
        let found: BTreeMap<ZoneName, NodeId> = placements
            .by_zone
            .iter()
            .filter(|(zone, _)| zones.contains(zone))
            .filter_map(|(zone, nodes)| {
                let node = replica_candidate(partition, nodes.iter().copied())?;
                Some((zone.clone(), node))
            })
            .collect();
        placements.candidates.insert(partition, found.clone());
        found
    }

    /// The node that grants the pool's batch slots, for each zone that has an eligible node.
    pub(crate) fn granters(
        &self,
        context: &Context,
        pool: &PoolName,
    ) -> BTreeMap<ZoneName, NodeId> {
        let key = u64::from(partition_of(pool.as_str(), u16::MAX).0);
        let mut placements = lock(&self.placements);
        placements.refresh(context);
        let zones = placements.by_zone.iter();
        let granters = zones.filter_map(|(zone, nodes)| {
            Some((zone.clone(), rendezvous(key, nodes.iter().copied())?))
        });
        granters.collect()
    }

    /// Version of the current member list, from which placements are derived.
    pub(crate) fn version(&self, context: &Context) -> Option<u64> {
        let mut placements = lock(&self.placements);
        placements.refresh(context);
        placements.version
    }
}

/// The zones that hold a replica of the partition.
pub(crate) fn replica_zones_of(context: &Context, partition: PartitionId) -> Vec<ZoneName> {
    let settings = &context.settings;
    replica_zones(partition, &settings.zones, settings.ledger.replicas)
}

impl Placements {
    /// Derives the nodes of each zone again if the member list has changed, and clears the candidates.
    fn refresh(&mut self, context: &Context) {
        let membership = lock(&context.membership);
        if self.version == Some(membership.version()) {
            return;
        }
        self.version = Some(membership.version());
        self.candidates.clear();
        self.by_zone.clear();
        for member in membership.eligible() {
            if context.settings.zones.contains(&member.zone) {
                let nodes = self.by_zone.entry(member.zone.clone()).or_default();
                nodes.push(member.id);
            }
        }
    }
}
