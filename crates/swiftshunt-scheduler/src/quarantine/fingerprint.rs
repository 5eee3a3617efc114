//! Fingerprints that identify repeated tries of the same request.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Bytes of a fingerprint. Of the 10^12 requests of a year, two share a fingerprint by chance once
/// in 10^14 years, and it matters only if one of them ends workers.
const FINGERPRINT_BYTES: usize = 16;
/// Key derivation context that keeps these digests apart from all others.
const FINGERPRINT_CONTEXT: &str = "swiftshunt fingerprint of a request";
/// Key derivation context of the digests of prompt parts.
const PART_CONTEXT: &str = "swiftshunt fingerprint of a prompt part";

/// Digest of a request's identity, equal for all tries of the request, or of a prompt part's
/// identifier. Neither can be derived from it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

/// Parts of a try that identify the request. Identifiers, deadlines and all else that a caller
/// generates anew for each try are left out.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'t> {
    /// Caller that the request runs for.
    pub caller: &'t str,
    /// Host named by the request.
    pub host: &'t str,
    /// HTTP method.
    pub method: &'t str,
    /// Path and query.
    pub path: &'t str,
    /// Body of the request.
    pub body: &'t [u8],
}

impl Fingerprint {
    /// Computes the fingerprint of a try.
    pub fn of(identity: &RequestIdentity<'_>) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(FINGERPRINT_CONTEXT);
        for part in [
            identity.caller,
            identity.host,
            identity.method,
            identity.path,
        ] {
            // The length prefix marks the boundary between two parts.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(identity.body);
        Self::finish(&hasher)
    }

    /// Computes the fingerprint of a prompt part, whichever requests share it.
    pub fn of_prompt_part(id: u64) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(PART_CONTEXT);
        hasher.update(&id.to_le_bytes());
        Self::finish(&hasher)
    }

    fn finish(hasher: &blake3::Hasher) -> Self {
        let mut fingerprint = [0; FINGERPRINT_BYTES];
        hasher.finalize_xof().fill(&mut fingerprint);
        Self(fingerprint)
    }
}

/// Error of parsing a fingerprint.
#[derive(Debug, Display, Error)]
#[display("not a fingerprint: {source}")]
pub struct ParseFingerprintError {
    /// Why the hexadecimal digits are invalid.
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
