//! Batch grants: for each zone and pool, one node distributes the batch slots of the zone's
//! engines.
//!
//! Grants are soft state that expires within a second. Two nodes that grant slots at the same time
//! for a moment do no harm, since engines honour priorities.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use swiftshunt_types::{Monotonic, NodeId, WorkerId};

/// Batch slots on one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The engine.
    pub worker: WorkerId,
    /// Batch requests that the holder may run there.
    pub slots: u32,
}

#[derive(Clone, Debug)]
struct Holder {
    wanted: u32,
    grants: Vec<Grant>,
    expires_at: Monotonic,
}

/// The grants of one zone and pool.
#[derive(Clone, Debug, Default)]
pub struct GrantTable {
    holders: BTreeMap<NodeId, Holder>,
}

impl GrantTable {
    /// Renews the grants of `holder`, up to `wanted` slots. `allowances` are the numbers of batch
    /// requests that each engine may run now, from all holders.
    ///
    /// Slots are shared so that no holder gets more while another that wants them has less. A
    /// holder keeps its engines where possible, so that running requests need not move.
    pub fn renew(
        &mut self,
        holder: NodeId,
        wanted: u32,
        allowances: &[(WorkerId, u32)],
        now: Monotonic,
        lifetime: Monotonic,
    ) -> Vec<Grant> {
        self.holders.retain(|_, held| now < held.expires_at);
        let previous = self.holders.remove(&holder);
        let total = allowances.iter().map(|(_, slots)| *slots).sum();
        let share = self.fair_share(wanted, total);
        let mut free = self.free(allowances);
        let mut grants = Vec::new();
        let mut left = share;
        for kept in previous.iter().flat_map(|previous| &previous.grants) {
            left -= take(&mut free, &mut grants, &kept.worker, kept.slots.min(left));
        }
        while left > 0 {
            let Some((worker, slots)) = free.iter().max_by_key(|(_, slots)| **slots) else {
                break;
            };
            if *slots == 0 {
                break;
            }
            let worker = worker.clone();
            left -= take(&mut free, &mut grants, &worker, 1);
        }
        let held = Holder {
            wanted,
            grants: grants.clone(),
            expires_at: now + lifetime,
        };
        self.holders.insert(holder, held);
        grants
    }

    /// Returns the max-min fair share of a holder that wants `wanted` slots beside the other
    /// holders.
    fn fair_share(&self, wanted: u32, total: u32) -> u32 {
        let mut wants: Vec<u32> = self.holders.values().map(|held| held.wanted).collect();
        wants.push(wanted);
        wants.sort_unstable();
        let mut left = total;
        let count = wants.len() as u32;
        for (index, want) in wants.into_iter().enumerate() {
            let share = left.div_ceil(count - index as u32);
            if want >= wanted {
                return wanted.min(share);
            }
            left -= want.min(share);
        }
        0
    }

    /// Returns the slots of each engine that the other holders' grants leave free.
    fn free(&self, allowances: &[(WorkerId, u32)]) -> BTreeMap<WorkerId, u32> {
        let mut free: BTreeMap<WorkerId, u32> = allowances.iter().cloned().collect();
        for grant in self.holders.values().flat_map(|held| &held.grants) {
            if let Some(slots) = free.get_mut(&grant.worker) {
                *slots = slots.saturating_sub(grant.slots);
            }
        }
        free
    }
}

/// Moves up to `slots` slots of a worker from `free` to `grants`. Returns the number moved.
fn take(
    free: &mut BTreeMap<WorkerId, u32>,
    grants: &mut Vec<Grant>,
    worker: &WorkerId,
    slots: u32,
) -> u32 {
    let Some(available) = free.get_mut(worker) else {
        return 0;
    };
    let taken = slots.min(*available);
    *available -= taken;
    if taken == 0 {
        return 0;
    }
    match grants.iter_mut().find(|grant| grant.worker == *worker) {
        Some(grant) => grant.slots += taken,
        None => grants.push(Grant {
            worker: worker.clone(),
            slots: taken,
        }),
    }
    taken
}
