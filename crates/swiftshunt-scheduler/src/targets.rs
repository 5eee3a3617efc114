//! Chooses the engines that must load a model now, so that a replica target is met in time.

use std::collections::BTreeMap;

use swiftshunt_types::{ModelName, WorkerId, ZoneName};

/// The state of an engine that planning depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// The engine.
    pub worker: WorkerId,
    /// The zone of the engine.
    pub zone: ZoneName,
    /// Whether the model is loaded.
    pub has_model: bool,
    /// Whether an order to load the model is outstanding.
    pub is_ordered: bool,
    /// Number of requests at the engine.
    pub load: u32,
}

/// The number of engines in each zone that must have a model ready by a deadline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaTarget {
    /// The model.
    pub model: ModelName,
    /// Required number of engines in each zone.
    pub replicas: u32,
    /// The deadline, in seconds of Unix time.
    pub ready_by: u64,
}

/// Factor by which loads may take longer than the transfer rate of the weight store implies.
const SAFETY_FACTOR: f64 = 1.5;
/// Time in addition to the transfers, in seconds.
const FIXED_SECONDS: f64 = 2.0;

/// Returns the engines that must be ordered to load the model now. All loads share the bandwidth of
/// the weight store, so planning backward from the deadline counts them one after the other.
pub fn due_loads(
    demand: &ReplicaTarget,
    engines: &[EngineView],
    seconds_per_load: f64,
    now: u64,
) -> Vec<WorkerId> {
    let missing = missing_engines(demand, engines);
    let outstanding = engines
        .iter()
        .filter(|engine| engine.is_ordered && !engine.has_model);
    let loads = missing.len() + outstanding.count();
    let required_seconds = loads as f64 * seconds_per_load * SAFETY_FACTOR + FIXED_SECONDS;
    let seconds_left = demand.ready_by as f64 - now as f64;
    if seconds_left > required_seconds {
        return Vec::new();
    }
    missing
}

/// Returns, for each zone, the least loaded engines that complete its replicas.
fn missing_engines(demand: &ReplicaTarget, engines: &[EngineView]) -> Vec<WorkerId> {
    let mut by_zone: BTreeMap<&ZoneName, Vec<&EngineView>> = BTreeMap::new();
    for engine in engines {
        by_zone.entry(&engine.zone).or_default().push(engine);
    }
    let mut missing = Vec::new();
    for zone in by_zone.values_mut() {
        zone.sort_by_key(|engine| (engine.load, &engine.worker));
        let covered = zone
            .iter()
            .filter(|engine| engine.has_model || engine.is_ordered);
        let shortfall = (demand.replicas as usize).saturating_sub(covered.count());
        let free = zone
            .iter()
            .filter(|engine| !engine.has_model && !engine.is_ordered);
        missing.extend(free.take(shortfall).map(|engine| engine.worker.clone()));
    }
    missing
}
