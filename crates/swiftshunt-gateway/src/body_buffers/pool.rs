//! A pool of memory whose oldest unfinished holders give way to new ones.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;

use crate::fleet_state::lock;

/// Interval at which a holder that waits tries again: what became free may have gone to others.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Number of tries in a row without enough memory in sight after which a holder is refused. Memory that is just being
/// released is in nobody's books.
const MAX_TRIES_WITHOUT_ROOM: u32 = 3;

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

    /// Reserves memory for a holder if it is free.
    pub(super) fn try_reserve(
        &self,
        id: HolderId,
        gives_way: &CancellationToken,
        bytes: usize,
    ) -> Option<OwnedSemaphorePermit> {
        let permits = u32::try_from(bytes).ok()?;
        let free = Arc::clone(&self.free);
        let permit = free.try_acquire_many_owned(permits).ok()?;
        let mut holders = lock(&self.holders);
        let holder = holders.entry(id).or_insert_with(|| Holder {
            bytes: 0,
            gives_way: gives_way.clone(),
        });
        holder.bytes += bytes;
        Some(permit)
    }

    /// Reserves memory for a holder, and lets older ones give way to it. Returns `None` if that frees too little.
    pub(super) async fn reserve(
        &self,
        id: HolderId,
        gives_way: &CancellationToken,
        bytes: usize,
    ) -> Option<OwnedSemaphorePermit> {
        let mut tries_without_room = 0;
        loop {
            if let Some(permit) = self.try_reserve(id, gives_way, bytes) {
                return Some(permit);
            }
            if self.make_room(id, bytes) {
                tries_without_room = 0;
            } else {
                tries_without_room += 1;
            }
            if tries_without_room >= MAX_TRIES_WITHOUT_ROOM {
                return None;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Lets holders that are older than `id` give way, the oldest first, until `bytes` are free or becoming so. Returns
    /// whether that many are; otherwise no holder gives way.
    fn make_room(&self, id: HolderId, bytes: usize) -> bool {
        let holders = lock(&self.holders);
        let mut coming_free = self.free.available_permits();
        let mut chosen = Vec::new();
        for (_, holder) in holders.range(..id) {
            if coming_free >= bytes {
                break;
            }
            coming_free += holder.bytes;
            chosen.push(&holder.gives_way);
        }
        let is_enough = coming_free >= bytes;
        if is_enough {
            chosen.into_iter().for_each(CancellationToken::cancel);
        }
        is_enough
    }

    /// Removes a holder that has finished: it gives way to no other any more.
    pub(super) fn remove(&self, id: HolderId) {
        lock(&self.holders).remove(&id);
    }
}
