//! Placement of replicas on zones and nodes by rendezvous hashing: a node that joins or leaves moves
//! only its own share of the partitions.

use swiftshunt_types::{NodeId, PartitionId, ZoneName, partition_of};

/// The node among `nodes` that should hold the partition's replica; `None` if `nodes` is empty.
pub fn replica_candidate(
    partition: PartitionId,
    nodes: impl IntoIterator<Item = NodeId>,
) -> Option<NodeId> {
    rendezvous(u64::from(partition.0), nodes)
}

/// The zones that should hold a replica of the partition: at most `replicas` of `zones`, the same on
/// every node that computes them.
pub fn replica_zones(partition: PartitionId, zones: &[ZoneName], replicas: usize) -> Vec<ZoneName> {
    let key = u64::from(partition.0);
    let hash = |zone: &ZoneName| u64::from(partition_of(zone.as_str(), u16::MAX).0);
    let mut weighted: Vec<(u64, &ZoneName)> = zones
        .iter()
        .map(|zone| (weight(key, NodeId(hash(zone))), zone))
        .collect();
    weighted.sort_unstable();
    weighted.truncate(replicas);
    weighted.into_iter().map(|(_, zone)| zone.clone()).collect()
}

/// The node among `nodes` with the highest weight for `key`, the same on every node that computes
/// it; `None` if `nodes` is empty.
pub fn rendezvous(key: u64, nodes: impl IntoIterator<Item = NodeId>) -> Option<NodeId> {
    nodes
        .into_iter()
        .max_by_key(|node| (weight(key, *node), *node))
}

/// Weight of a node for a key, by SplitMix64's finalizer over both: it is cheap, mixes well and gives
/// the same value on every machine.
fn weight(key: u64, node: NodeId) -> u64 {
    let mut value = node.0 ^ (key + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    value ^ (value >> 31)
}
