//! Keys under which gateways remember the origins of streams.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Bytes of a key. Two of the 10^8 streams of a day share a key by chance once in 10^20 years.
const KEY_BYTES: usize = 16;
/// Key derivation context that keeps these digests apart from all others.
const KEY_CONTEXT: &str = "swiftshunt key of a caller's attempt";

/// Digest of a caller, a host and the identifier of one of the caller's attempts. Other callers, as far as they can be
/// told apart, have other keys for the same identifier.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptKey([u8; KEY_BYTES]);

impl AttemptKey {
    /// Computes the key of an attempt; `caller` is empty for callers that cannot be told apart.
    pub fn of(caller: &str, host: &str, attempt: &str) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(KEY_CONTEXT);
        for part in [caller, host, attempt] {
            // The length prefix marks the boundary between two parts.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        let mut key = [0; KEY_BYTES];
        hasher.finalize_xof().fill(&mut key);
        Self(key)
    }
}

impl fmt::Debug for AttemptKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}
