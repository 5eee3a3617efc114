//! Memory of the pages of partition listings.
//!
//! A partition is listed into memory before it is applied, and a gateway that takes over from lost ones lists several at
//! once. Up to a limit they are listed side by side; beyond it, one at a time.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use swiftshunt_journal::{LogError, NewestPage};
use tokio::sync::{Mutex, OwnedMutexGuard};

use crate::listing::Listing;

/// The memory that all listings share.
#[derive(Debug)]
pub(super) struct ListingMemory {
    capacity: usize,
    /// Bytes of the pages that are held by listings in progress.
    used: AtomicUsize,
    /// Held by the listing that goes on beyond the limit.
    turn: Arc<Mutex<()>>,
}

impl ListingMemory {
    /// Returns a limit of `capacity` bytes.
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            used: AtomicUsize::new(0),
            turn: Arc::default(),
        }
    }

    fn is_used_up(&self) -> bool {
        self.used.load(Ordering::Relaxed) >= self.capacity
    }
}

/// A listing in progress, with the memory that it takes. It keeps both across failed calls.
pub(super) struct BoundedListing {
    memory: Arc<ListingMemory>,
    listing: Listing,
    bytes: usize,
    turn: Option<OwnedMutexGuard<()>>,
}

impl BoundedListing {
    pub(super) fn new(memory: Arc<ListingMemory>) -> Self {
        Self {
            memory,
            listing: Listing::default(),
            bytes: 0,
            turn: None,
        }
    }

    /// Reads the remaining pages as [`Listing::read`] does, and returns all pages. The memory is released by
    /// [`Self::reset`], once they are applied.
    pub(super) async fn read<Reading>(
        &mut self,
        page: impl Fn(Option<Vec<u8>>, u64) -> Reading,
    ) -> Result<Vec<NewestPage>, LogError>
    where
        Reading: Future<Output = Result<NewestPage, LogError>>,
    {
        loop {
            self.wait_for_memory().await;
            let read = self.listing.read_page(&page).await?;
            self.bytes += read.bytes;
            self.memory.used.fetch_add(read.bytes, Ordering::Relaxed);
            if let Some(pages) = read.all_pages {
                return Ok(pages);
            }
        }
    }

    /// Waits until another page may be held.
    async fn wait_for_memory(&mut self) {
        if self.turn.is_none() && self.memory.is_used_up() {
            self.turn = Some(Arc::clone(&self.memory.turn).lock_owned().await);
        }
    }

    /// Forgets the pages if other listings wait for this one, which is not needed now.
    pub(super) fn yield_turn(&mut self) {
        if self.turn.is_some() {
            self.reset();
        }
    }

    /// Forgets the pages and releases their memory.
    pub(super) fn reset(&mut self) {
        self.listing = Listing::default();
        self.memory.used.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = 0;
        self.turn = None;
    }
}

impl Drop for BoundedListing {
    fn drop(&mut self) {
        self.reset();
    }
}

#[cfg(test)]
mod tests {
    use bytes::Bytes;
    use futures_util::FutureExt;
    use swiftshunt_journal::KeyedRecord;

    use super::*;

    /// Returns the page behind a key: three pages of one record of ten bytes each.
    async fn page(after: Option<Vec<u8>>, _: u64) -> Result<NewestPage, LogError> {
        let number = after.map_or(0, |key| key[0] + 1);
        let record = KeyedRecord {
            offset: u64::from(number),
            key: vec![number],
            value: Bytes::from_static(b"123456789"),
        };
        Ok(NewestPage {
            records: vec![record],
            more: number < 2,
            end: 3,
        })
    }

    async fn failing_page(after: Option<Vec<u8>>, from: u64) -> Result<NewestPage, LogError> {
        if after.is_some() {
            let reason = "no answer".to_owned();
            return Err(LogError::Unanswered { reason });
        }
        page(after, from).await
    }

    #[tokio::test]
    async fn beyond_the_limit_one_partition_is_listed_at_a_time() {
        let memory = Arc::new(ListingMemory::new(10));
        let mut first = BoundedListing::new(Arc::clone(&memory));
        assert!(first.read(failing_page).await.is_err());
        let pages = first.read(page).await.expect("a page failed");
        assert_eq!(pages.len(), 3);
        let mut second = BoundedListing::new(Arc::clone(&memory));
        assert!(
            second.read(page).now_or_never().is_none(),
            "it does not wait"
        );
        first.reset();
        assert!(second.read(page).await.is_ok());
        drop(second);
        assert_eq!(memory.used.load(Ordering::Relaxed), 0);
    }
}
