//! Which engines must load a model now, so that a target is met in time.

use std::collections::BTreeMap;

use swiftshunt_types::{ModelName, WorkerId, ZoneName};

/// What planning needs to know of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// Which engine.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether the model is loaded.
    pub has_model: bool,
    /// Whether an order to load it is outstanding.
    pub is_ordered: bool,
    /// Requests on it.
    pub load: u32,
}

/// What must be ready by when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaTarget {
    /// The model.
    pub model: ModelName,
    /// Engines in each zone.
    pub replicas: u32,
    /// By when, in seconds of Unix time.
    pub ready_by: u64,
}

/// Loads take this much longer than the weight store's rate says.
const SAFETY_FACTOR: f64 = 1.5;
/// Time beside the transfer, in seconds.
const FIXED_SECONDS: f64 = 2.0;

/// The engines that must be ordered now. All loads go through the store's one rate, so planning
/// backward from the deadline counts them one after the other.
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
    let needed = loads as f64 * seconds_per_load * SAFETY_FACTOR + FIXED_SECONDS;
    let left = demand.ready_by as f64 - now as f64;
    if left > needed {
        return Vec::new();
    }
    missing
}

/// For each zone, the least loaded engines that would fill its replicas.
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
        let lacking = (demand.replicas as usize).saturating_sub(covered.count());
        let free = zone
            .iter()
            .filter(|engine| !engine.has_model && !engine.is_ordered);
        missing.extend(free.take(lacking).map(|engine| engine.worker.clone()));
    }
    missing
}
