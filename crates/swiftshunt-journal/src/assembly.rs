//! Splitting of logical records of any size into frames that fit into the log, and their reassembly.
//!
//! Each frame carries the nonce of its record, its index and the number of frames. Appending the same frames again
//! changes nothing. A logical record takes effect at the offset of the frame that completed it.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// A frame as it is stored in the log.
#[derive(Serialize, Deserialize)]
struct Frame {
    nonce: u64,
    index: u32,
    count: u32,
    #[serde(with = "serde_bytes_compat")]
    bytes: Bytes,
}

mod serde_bytes_compat {
    //! Encodes the content of a frame as a CBOR byte string.
    use bytes::Bytes;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(bytes: &Bytes, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(bytes)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Bytes, D::Error> {
        Bytes::deserialize(from)
    }
}

/// A frame or record that could not be encoded or decoded.
#[derive(Debug, Display, Error)]
#[display("a journal record is not readable: {reason}")]
pub struct FramingError {
    /// The error message of the CBOR codec.
    pub reason: String,
}

/// Upper bound of the size of a frame without its content, in bytes: CBOR headers, field names, numbers and the key.
const FRAME_OVERHEAD: usize = 512;

/// Longest name, in bytes, that a key contains unchanged; keys of the log are limited to 255 bytes.
const MAX_NAME_BYTES: usize = 128;

/// Returns the form of a name that is used in keys. The log lists keys as text and in URLs, so a name that is long or
/// contains characters other than ASCII letters, digits and `-._~:` is replaced by its digest.
fn key_name(name: &str) -> Cow<'_, str> {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~:".contains(&byte);
    if name.len() <= MAX_NAME_BYTES && name.bytes().all(is_plain) {
        return Cow::Borrowed(name);
    }
    Cow::Owned(blake3::hash(name.as_bytes()).to_hex().to_string())
}

/// Splits a logical record into frames of at most `limit` bytes each, and returns them with their keys. `name`
/// identifies the subject of the record in the keys; `nonce` must be unique to the record.
///
/// Fails if the record cannot be encoded.
pub fn frames(
    name: &str,
    nonce: u64,
    record: &impl Serialize,
    limit: usize,
) -> Result<Vec<(Vec<u8>, Bytes)>, FramingError> {
    let mut cbor = Vec::new();
    let failed = |error: ciborium::ser::Error<std::io::Error>| FramingError {
        reason: error.to_string(),
    };
    ciborium::into_writer(record, &mut cbor).map_err(failed)?;
    let cbor = Bytes::from(cbor);
    let size = limit.saturating_sub(FRAME_OVERHEAD).max(1);
    let count = cbor.len().div_ceil(size).max(1);
    let mut framed = Vec::with_capacity(count);
    let name = key_name(name);
    for index in 0..count {
        let end = ((index + 1) * size).min(cbor.len());
        let frame = Frame {
            nonce,
            index: index as u32,
            count: count as u32,
            bytes: cbor.slice(index * size..end),
        };
        let mut value = Vec::with_capacity(end - index * size + FRAME_OVERHEAD);
        ciborium::into_writer(&frame, &mut value).map_err(failed)?;
        let key = format!("{name}:{nonce:016x}:{index}").into_bytes();
        framed.push((key, Bytes::from(value)));
    }
    Ok(framed)
}

/// A logical record, reassembled from its frames.
#[derive(Debug)]
pub struct LogicalRecord<T> {
    /// Nonce of the record's frames.
    pub nonce: u64,
    /// Keys of the record's frames, for dropping them from the log.
    pub keys: Vec<Vec<u8>>,
    /// The decoded record.
    pub record: T,
}

#[derive(Debug, Default)]
struct Partial {
    parts: BTreeMap<u32, Bytes>,
    keys: Vec<Vec<u8>>,
}

/// Reassembles logical records from frames. Frames of a record that is already complete are ignored.
#[derive(Debug, Default)]
pub struct Assembly {
    partial: BTreeMap<u64, Partial>,
    complete: BTreeSet<u64>,
}

impl Assembly {
    /// Adds a frame; returns the logical record if this frame completed it.
    ///
    /// Fails if the frame or the completed record cannot be decoded.
    pub fn add_frame<T: serde::de::DeserializeOwned>(
        &mut self,
        key: Vec<u8>,
        value: &[u8],
    ) -> Result<Option<LogicalRecord<T>>, FramingError> {
        let failed = |error: ciborium::de::Error<std::io::Error>| FramingError {
            reason: error.to_string(),
        };
        let frame: Frame = ciborium::from_reader(value).map_err(failed)?;
        if self.complete.contains(&frame.nonce) {
            return Ok(None);
        }
        let partial = self.partial.entry(frame.nonce).or_default();
        if partial.parts.insert(frame.index, frame.bytes).is_none() {
            partial.keys.push(key);
        }
        if partial.parts.len() < frame.count as usize {
            return Ok(None);
        }
        let Some(partial) = self.partial.remove(&frame.nonce) else {
            return Ok(None);
        };
        self.complete.insert(frame.nonce);
        let mut cbor = Vec::with_capacity(partial.parts.values().map(Bytes::len).sum());
        for part in partial.parts.into_values() {
            cbor.extend_from_slice(&part);
        }
        let record = ciborium::from_reader(cbor.as_slice()).map_err(failed)?;
        Ok(Some(LogicalRecord {
            nonce: frame.nonce,
            keys: partial.keys,
            record,
        }))
    }

    /// Removes the state of the record whose frame with this key was dropped from the log.
    pub fn forget(&mut self, key: &[u8]) {
        let Some(nonce) = nonce_of(key) else {
            return;
        };
        self.complete.remove(&nonce);
        self.partial.remove(&nonce);
    }
}

/// Returns the part that the keys of all frames of a record have in common, given one of them; `None` if the key is not that
/// of a frame. No key of another record begins so.
pub fn record_prefix(key: &[u8]) -> Option<&[u8]> {
    let end = key.iter().rposition(|byte| *byte == b':')?;
    Some(&key[..=end])
}

/// Extracts the nonce from a frame's key; `None` if the key is not that of a frame.
fn nonce_of(key: &[u8]) -> Option<u64> {
    let key = std::str::from_utf8(key).ok()?;
    let nonce = key.rsplit(':').nth(1)?;
    u64::from_str_radix(nonce, 16).ok()
}
