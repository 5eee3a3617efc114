//! Choice of a worker for one online request: prefix affinity with bounded load.

use swiftshunt_types::{ModelName, Monotonic, PoolName, WorkerId, ZoneName};

use crate::SchedulerConfig;
use crate::affinity::{prefix_hash, rendezvous_weight};
use crate::workers::{Worker, WorkerTable};

/// The reason why no worker was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoWorker {
    /// No worker of the pool accepts new requests.
    NoneAccepting,
    /// Every worker has reached its limit of requests, was excluded, or does not serve the model.
    AllFull,
}

/// The properties of a request that decide its placement.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The pool that serves the model.
    pub pool: &'a PoolName,
    /// The zone of the node that places the request.
    pub zone: &'a ZoneName,
    /// The requested model.
    pub model: &'a ModelName,
    /// The prompt, whose beginning decides the prefix affinity.
    pub prompt: &'a str,
    /// The subset of the zone's workers that this node prefers.
    pub subset: &'a [WorkerId],
    /// Workers that were already tried.
    pub excluded: &'a [WorkerId],
}

/// Chooses the worker with the highest affinity among those within the load bound.
///
/// The bound is `affinity_load_factor` times the mean load, and never more than the queue limit of
/// the worker. The node's subset is tried first, then all workers of the zone, then those of all
/// zones.
pub fn choose<'a>(
    table: &'a WorkerTable,
    request: PlacementRequest<'_>,
    config: &SchedulerConfig,
    now: Monotonic,
) -> Result<&'a Worker, NoWorker> {
    let local = table.candidates(request.pool, request.zone, now);
    if local.is_empty() {
        return Err(NoWorker::NoneAccepting);
    }
    let in_subset: Vec<&Worker> = local
        .iter()
        .copied()
        .filter(|worker| request.subset.contains(&worker.machine.id))
        .collect();
    let preferred = [in_subset, local];
    let chosen = preferred
        .iter()
        .find_map(|candidates| choose_among(candidates, request, config));
    if let Some(worker) = chosen {
        return Ok(worker);
    }
    let everywhere: Vec<&Worker> = table
        .iter()
        .filter(|worker| worker.machine.pool == *request.pool && table.is_accepting(worker))
        .collect();
    choose_among(&everywhere, request, config).ok_or(NoWorker::AllFull)
}

fn choose_among<'a>(
    candidates: &[&'a Worker],
    request: PlacementRequest<'_>,
    config: &SchedulerConfig,
) -> Option<&'a Worker> {
    let eligible: Vec<&'a Worker> = candidates
        .iter()
        .copied()
        .filter(|worker| !request.excluded.contains(&worker.machine.id))
        .filter(|worker| worker.serves(request.model))
        .filter(|worker| worker.online_load() < queue_limit(worker, config))
        .collect();
    let bound = load_bound(&eligible, config);
    let prefix = prefix_hash(request.prompt, config.affinity_block);
    eligible
        .into_iter()
        .filter(|worker| worker.online_load() < bound)
        .max_by_key(|worker| rendezvous_weight(prefix, &worker.machine.id))
}

/// Returns the number of online requests that a worker may hold, running and waiting.
fn queue_limit(worker: &Worker, config: &SchedulerConfig) -> u32 {
    scaled(f64::from(worker.slots()), config.online_queue_factor)
}

fn load_bound(workers: &[&Worker], config: &SchedulerConfig) -> u32 {
    let total: u32 = workers.iter().map(|worker| worker.online_load()).sum();
    let mean = f64::from(total + 1) / (workers.len().max(1) as f64);
    scaled(mean, config.affinity_load_factor).max(1)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn scaled(value: f64, factor: f64) -> u32 {
    (value * factor).ceil() as u32
}
