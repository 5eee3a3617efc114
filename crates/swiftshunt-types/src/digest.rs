//! Content digests. Request bodies are compared by their digests, and only the digests of bearer tokens are stored.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A BLAKE3 digest in lower-case hexadecimal.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(String);

impl Digest {
    /// Length of the hexadecimal form, in characters.
    pub const HEX_LENGTH: usize = 64;

    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(blake3::hash(bytes).to_hex().to_string())
    }

    /// Whether the text has the length and characters of a digest. Deserialization does not check this, so values
    /// read from a file need this call. Upper-case digits pass, but such a digest equals no computed one.
    pub fn is_well_formed(&self) -> bool {
        self.0.len() == Self::HEX_LENGTH && self.0.bytes().all(|b| b.is_ascii_hexdigit())
    }

    /// Returns the hexadecimal form.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Computes the digest by which a bearer token is stored and looked up. The token itself is never stored.
pub fn token_digest(token: &str) -> Digest {
    Digest::of(token.as_bytes())
}
