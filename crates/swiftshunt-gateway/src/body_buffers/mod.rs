//! Memory of the bodies of requests. All of them together have a limit, since callers may send many large ones at once, or
//! stop just short of their end.
//!
//! While the limit is reached, the incomplete bodies that began first give way to the others: callers that send their body
//! at once are served beside any number of callers that do not. Large bodies leave a part of the memory to small ones.

mod pool;

use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::OwnedSemaphorePermit;
use tokio_util::sync::CancellationToken;

use crate::reserved_bytes::{merge, with_reservation};
use pool::{HolderId, MemoryPool};

/// Memory of a connection whose body is incomplete, in bytes: buffers of the HTTP library, and the task that reads it.
const CONNECTION_BYTES: usize = 16 << 10;
/// Bytes of a body that take the memory of small bodies.
const SMALL_BYTES: usize = 64 << 10;
/// Part of the memory that is left to small bodies.
const SMALL_DIVISOR: usize = 4;
/// Capacity that a body begins with, and the most that is added at once, in bytes.
const MIN_GROWTH_BYTES: usize = 4 << 10;
const MAX_GROWTH_BYTES: usize = 256 << 10;

/// Why a body is not read to its end.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum BodyRefusal {
    /// It is longer than one body may be.
    #[display("the body is too long")]
    TooLong,
    /// The connection or the framing broke.
    #[display("the body broke off")]
    BrokenOff,
    /// The bodies that are being read or served take all memory that bodies may take.
    #[display("the bodies of requests take too much memory")]
    NoMemory,
}

/// The limit that all bodies share.
pub(crate) struct BodyBuffers {
    /// Memory of the first [`SMALL_BYTES`] of each body.
    small: MemoryPool,
    /// Memory of what is behind them.
    large: MemoryPool,
    next_id: AtomicU64,
}

impl BodyBuffers {
    /// Returns the limit of bodies that take at most `capacity` bytes together.
    pub(crate) fn new(capacity: usize) -> Self {
        let small = capacity / SMALL_DIVISOR;
        Self {
            small: MemoryPool::new(small),
            large: MemoryPool::new(capacity - small),
            next_id: AtomicU64::default(),
        }
    }

    /// Reads a body of at most `limit` bytes. Its bytes count for the total until the last copy of them is dropped.
    pub(crate) async fn read(&self, body: Incoming, limit: usize) -> Result<Bytes, BodyRefusal> {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let announced = usize::try_from(body.size_hint().lower());
        if announced.map_or(true, |announced| announced > limit) {
            return Err(BodyRefusal::TooLong);
        }
        let mut reader = BodyReader::new(self, limit);
        let gives_way = reader.gives_way.clone();
        tokio::select! {
            biased;
            () = gives_way.cancelled() => Err(BodyRefusal::NoMemory),
            whole = reader.read(body) => whole,
        }
    }
}

/// A body that is being read. Dropping it ends that.
struct BodyReader<'b> {
    buffers: &'b BodyBuffers,
    id: HolderId,
    limit: usize,
    bytes: Vec<u8>,
    /// What the connection and the bytes take of the memory of small bodies, and of that of large ones.
    small: Option<OwnedSemaphorePermit>,
    large: Option<OwnedSemaphorePermit>,
    /// Cancelled once the body has to give way to others.
    gives_way: CancellationToken,
}

impl Drop for BodyReader<'_> {
    fn drop(&mut self) {
        self.buffers.small.remove(self.id);
        self.buffers.large.remove(self.id);
    }
}

impl<'b> BodyReader<'b> {
    fn new(buffers: &'b BodyBuffers, limit: usize) -> Self {
        Self {
            buffers,
            id: buffers.next_id.fetch_add(1, Ordering::Relaxed),
            limit,
            bytes: Vec::new(),
            small: None,
            large: None,
            gives_way: CancellationToken::new(),
        }
    }

    async fn read(&mut self, mut body: Incoming) -> Result<Bytes, BodyRefusal> {
        self.reserve_small(CONNECTION_BYTES).await?;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyRefusal::BrokenOff)?;
            if let Ok(data) = frame.into_data() {
                self.append(&data).await?;
            }
        }
        Ok(self.finish())
    }

    async fn append(&mut self, data: &[u8]) -> Result<(), BodyRefusal> {
        let length = self.bytes.len() + data.len();
        if length > self.limit {
            return Err(BodyRefusal::TooLong);
        }
        let capacity = self.bytes.capacity();
        if length > capacity {
            let growth = capacity.clamp(MIN_GROWTH_BYTES, MAX_GROWTH_BYTES);
            let grown = (capacity + growth).min(self.limit).max(length);
            let small = grown.min(SMALL_BYTES) - capacity.min(SMALL_BYTES);
            self.reserve_small(small).await?;
            self.reserve_large(grown - capacity - small).await?;
            self.bytes.reserve_exact(grown - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Reserves memory of small bodies, or, where that is used up, of large ones.
    async fn reserve_small(&mut self, bytes: usize) -> Result<(), BodyRefusal> {
        let BodyBuffers { small, large, .. } = self.buffers;
        let (id, gives_way) = (self.id, &self.gives_way);
        if let Some(reserved) = small.try_reserve(id, gives_way, bytes) {
            merge(&mut self.small, reserved);
        } else if let Some(reserved) = large.try_reserve(id, gives_way, bytes) {
            merge(&mut self.large, reserved);
        } else {
            let reserved = small.reserve(id, gives_way, bytes).await;
            merge(&mut self.small, reserved.ok_or(BodyRefusal::NoMemory)?);
        }
        Ok(())
    }

    async fn reserve_large(&mut self, bytes: usize) -> Result<(), BodyRefusal> {
        if bytes == 0 {
            return Ok(());
        }
        let reserved = self.buffers.large.reserve(self.id, &self.gives_way, bytes);
        merge(
            &mut self.large,
            reserved.await.ok_or(BodyRefusal::NoMemory)?,
        );
        Ok(())
    }

    /// Returns the whole body, whose bytes alone count on.
    fn finish(&mut self) -> Bytes {
        let bytes = std::mem::take(&mut self.bytes);
        let (mut small, mut large) = (self.small.take(), self.large.take());
        let of_connection = [&mut small, &mut large]
            .into_iter()
            .flatten()
            .find_map(|reserved| reserved.split(CONNECTION_BYTES));
        drop(of_connection);
        with_reservation(bytes, (small, large))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIMIT: usize = 1 << 20;

    fn reader(buffers: &BodyBuffers) -> BodyReader<'_> {
        BodyReader::new(buffers, LIMIT)
    }

    async fn append(reader: &mut BodyReader<'_>, bytes: usize) -> Result<(), BodyRefusal> {
        reader.append(&vec![0; bytes]).await
    }

    #[tokio::test]
    async fn the_oldest_incomplete_body_gives_way_to_a_new_one() {
        let buffers = BodyBuffers::new(2 * LIMIT);
        let mut oldest = reader(&buffers);
        let mut second = reader(&buffers);
        assert_eq!(append(&mut oldest, LIMIT / 2).await, Ok(()));
        assert_eq!(append(&mut second, LIMIT / 2).await, Ok(()));
        let mut newest = reader(&buffers);
        let oldest_ends = async {
            oldest.gives_way.clone().cancelled().await;
            drop(oldest);
        };
        let (appended, ()) = tokio::join!(append(&mut newest, LIMIT), oldest_ends);
        assert_eq!(appended, Ok(()));
        assert!(!second.gives_way.is_cancelled());
    }

    #[tokio::test]
    async fn a_large_body_is_refused_while_whole_ones_take_all_memory() {
        let buffers = BodyBuffers::new(LIMIT);
        let mut first = reader(&buffers);
        assert_eq!(append(&mut first, LIMIT * 3 / 4).await, Ok(()));
        let whole = first.finish();
        drop(first);
        let copy = whole.clone();
        drop(whole);
        let mut second = reader(&buffers);
        let refused = append(&mut second, LIMIT / 2).await;
        assert_eq!(refused, Err(BodyRefusal::NoMemory));
        let mut small = reader(&buffers);
        assert_eq!(append(&mut small, SMALL_BYTES).await, Ok(()));
        drop((copy, second));
        let mut third = reader(&buffers);
        assert_eq!(append(&mut third, LIMIT / 2).await, Ok(()));
    }

    #[tokio::test]
    async fn nobody_gives_way_to_a_body_that_gets_too_little_by_that() {
        let buffers = BodyBuffers::new(LIMIT);
        let mut whole = reader(&buffers);
        assert_eq!(append(&mut whole, LIMIT / 2).await, Ok(()));
        let _whole = whole.finish();
        drop(whole);
        let mut incomplete = reader(&buffers);
        assert_eq!(append(&mut incomplete, LIMIT / 4).await, Ok(()));
        let mut newest = reader(&buffers);
        let refused = append(&mut newest, LIMIT).await;
        assert_eq!(refused, Err(BodyRefusal::NoMemory));
        assert!(!incomplete.gives_way.is_cancelled());
    }

    #[tokio::test]
    async fn small_bodies_may_take_the_memory_that_large_ones_leave() {
        let buffers = BodyBuffers::new(LIMIT);
        let mut whole = Vec::new();
        // Three times as many as the part for small bodies holds.
        for _ in 0..3 * LIMIT / SMALL_DIVISOR / SMALL_BYTES {
            let mut body = reader(&buffers);
            assert_eq!(body.reserve_small(CONNECTION_BYTES).await, Ok(()));
            assert_eq!(append(&mut body, SMALL_BYTES).await, Ok(()));
            whole.push(body.finish());
        }
    }

    #[tokio::test]
    async fn one_body_has_a_limit_of_its_own() {
        let buffers = BodyBuffers::new(4 * LIMIT);
        let mut body = reader(&buffers);
        assert_eq!(append(&mut body, LIMIT).await, Ok(()));
        assert_eq!(append(&mut body, 1).await, Err(BodyRefusal::TooLong));
        assert_eq!(body.bytes.capacity(), LIMIT);
    }
}
