//! A pool of memory whose oldest unfinished holders give way to new ones.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;

use crate::fleet_state::lock;

/// Interval at which further holders give way to one that still waits: what became free may have gone to others.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Identifies an unfinished holder; larger ones are younger.
pub(super) type HolderId = u64;

/// A pool of memory.
pub(super) struct MemoryPool {
    /// A permit for each byte.
    free: Arc<Semaphore>,
    /// The unfinished holders, the oldest first. What a finished one holds is not listed.
    holders: Mutex<BTreeMap<HolderId, Holder>>,
}

struct Holder {
    bytes: usize,
    /// Cancelled once the holder has to give way.
    gives_way: CancellationToken,
}

impl MemoryPool {
    pub(super) fn new(capacity: usize) -> Self {
        let capacity = capacity.min(Semaphore::MAX_PERMITS);
        Self {
            free: Arc::new(Semaphore::new(capacity)),
            holders: Mutex::default(),
        }
    }

    /// Reserves memory for a holder, and lets older ones give way to it. Returns `None` if that frees too little.
    pub(super) async fn reserve(
        &self,
        id: HolderId,
        gives_way: &CancellationToken,
        bytes: usize,
    ) -> Option<OwnedSemaphorePermit> {
        let permits = u32::try_from(bytes).ok()?;
        let free = || Arc::clone(&self.free);
        let permit = match free().try_acquire_many_owned(permits) {
            Ok(permit) => permit,
            Err(_) => loop {
                if !self.make_room(id, bytes) {
                    return None;
                }
                let acquired = free().acquire_many_owned(permits);
                if let Ok(permit) = tokio::time::timeout(RETRY_INTERVAL, acquired).await {
                    break permit.ok()?;
                }
            },
        };
        let mut holders = lock(&self.holders);
        let holder = holders.entry(id).or_insert_with(|| Holder {
            bytes: 0,
            gives_way: gives_way.clone(),
        });
        holder.bytes += bytes;
        Some(permit)
    }

    /// Lets holders that are older than `id` give way, the oldest first, until `bytes` are free or becoming so. Returns
    /// whether that many are.
    fn make_room(&self, id: HolderId, bytes: usize) -> bool {
        let holders = lock(&self.holders);
        let mut coming_free = self.free.available_permits();
        for (_, holder) in holders.range(..id) {
            if coming_free >= bytes {
                break;
            }
            holder.gives_way.cancel();
            coming_free += holder.bytes;
        }
        coming_free >= bytes
    }

    /// Removes a holder that has finished: it gives way to no other any more.
    pub(super) fn remove(&self, id: HolderId) {
        lock(&self.holders).remove(&id);
    }
}
