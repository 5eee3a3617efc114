//! Memory of jobs between their body and their record in the journal: decoded items, the record and its frames.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Memory that a job takes while it is decoded and recorded, as a multiple of its body.
const SIZE_FACTOR: usize = 4;

/// The limit that all jobs share.
pub(crate) struct JobDecoding {
    /// A permit for each byte.
    free: Arc<Semaphore>,
    capacity: usize,
}

impl JobDecoding {
    /// Returns the limit of jobs that take at most `capacity` bytes together.
    pub(crate) fn new(capacity: usize) -> Self {
        let capacity = capacity.min(u32::MAX as usize);
        Self {
            free: Arc::new(Semaphore::new(capacity)),
            capacity,
        }
    }

    /// Waits until a job with a body of this size may be decoded. The job may take memory until the permit is dropped.
    /// One that needs more than the limit is decoded alone.
    pub(crate) async fn admit(&self, body_bytes: usize) -> Option<OwnedSemaphorePermit> {
        let bytes = body_bytes.saturating_mul(SIZE_FACTOR).min(self.capacity);
        let permits = u32::try_from(bytes).unwrap_or(u32::MAX);
        // The semaphore is never closed.
        Arc::clone(&self.free)
            .acquire_many_owned(permits)
            .await
            .ok()
    }
}
