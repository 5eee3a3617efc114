//! What makes two tries the same request.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Bytes of a fingerprint: two requests of the 10^12 that a year brings share one by chance once in 10^14
/// years, and one of them must end workers for it to matter.
const FINGERPRINT_BYTES: usize = 16;
/// Keeps these digests apart from all others.
const FINGERPRINT_CONTEXT: &str = "swiftshunt fingerprint of a request";

/// A digest of what a request is, however often and wherever it comes. Nothing of it can be read back.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

/// What of a try makes it the same request as another one. Identifiers, deadlines and all else that a caller
/// draws anew for each try are left out.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'t> {
    /// For whom it runs.
    pub caller: &'t str,
    /// The host that it names.
    pub host: &'t str,
    /// Its method.
    pub method: &'t str,
    /// Its path and query.
    pub path: &'t str,
    /// Its body.
    pub body: &'t [u8],
}

impl Fingerprint {
    /// The fingerprint of a try.
    pub fn of(identity: &RequestIdentity<'_>) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(FINGERPRINT_CONTEXT);
        for part in [
            identity.caller,
            identity.host,
            identity.method,
            identity.path,
        ] {
            // The length in front keeps the border between two parts.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(identity.body);
        let mut fingerprint = [0; FINGERPRINT_BYTES];
        hasher.finalize_xof().fill(&mut fingerprint);
        Self(fingerprint)
    }
}

/// Why a text is no fingerprint.
#[derive(Debug, Display, Error)]
#[display("not a fingerprint: {source}")]
pub struct ParseFingerprintError {
    /// What of its digits is wrong.
    pub source: hex::FromHexError,
}

impl FromStr for Fingerprint {
    type Err = ParseFingerprintError;

    fn from_str(digits: &str) -> Result<Self, ParseFingerprintError> {
        let mut fingerprint = [0; FINGERPRINT_BYTES];
        hex::decode_to_slice(digits, &mut fingerprint)
            .map_err(|source| ParseFingerprintError { source })?;
        Ok(Self(fingerprint))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self}")
    }
}
