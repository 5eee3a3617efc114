//! Bytes that count for a limit of memory until their last copy is dropped.

use bytes::Bytes;
use tokio::sync::OwnedSemaphorePermit;

/// Bytes with their share of a limit.
struct ReservedBytes<T, R> {
    bytes: T,
    _reserved: R,
}

impl<T: AsRef<[u8]>, R> AsRef<[u8]> for ReservedBytes<T, R> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Returns bytes that hold `reserved` until the last copy of them is dropped.
pub(crate) fn with_reservation(
    bytes: impl AsRef<[u8]> + Send + 'static,
    reserved: impl Send + 'static,
) -> Bytes {
    Bytes::from_owner(ReservedBytes {
        bytes,
        _reserved: reserved,
    })
}

/// Adds a reservation to another one.
pub(crate) fn merge(reserved: &mut Option<OwnedSemaphorePermit>, more: OwnedSemaphorePermit) {
    match reserved {
        Some(reserved) => reserved.merge(more),
        None => *reserved = Some(more),
    }
}
