//! Logical records of any size, cut into frames that the log takes, and put together again.
//!
//! Frames carry a nonce, their number and whether they are the last. Repeated appends of the same
//! frames change nothing: the first copy of each stands. A logical record takes effect at the
//! offset of the frame that completed it.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// One frame as it lies in the log.
#[derive(Serialize, Deserialize)]
struct Frame {
    nonce: u64,
    index: u32,
    count: u32,
    #[serde(with = "serde_bytes_compat")]
    bytes: Bytes,
}

mod serde_bytes_compat {
    //! Frames as CBOR byte strings.
    use bytes::Bytes;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(bytes: &Bytes, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(bytes)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Bytes, D::Error> {
        Bytes::deserialize(from)
    }
}

/// Why a frame or record was not understood.
#[derive(Debug, Display, Error)]
#[display("a journal record is not readable: {reason}")]
pub struct FramingError {
    /// The codec's reason.
    pub reason: String,
}

/// Bytes of a frame beside its content: CBOR heads, names, numbers and the key.
const FRAME_OVERHEAD: usize = 512;

/// Longest name that stands in keys as it is, in bytes: a log's keys may be no longer than 255.
const LONGEST_NAME: usize = 128;

/// A name as it stands in keys, which logs list in text and in addresses: others than short and plain ones are
/// told by a digest.
fn key_name(name: &str) -> Cow<'_, str> {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~:".contains(&byte);
    if name.len() <= LONGEST_NAME && name.bytes().all(is_plain) {
        return Cow::Borrowed(name);
    }
    Cow::Owned(blake3::hash(name.as_bytes()).to_hex().to_string())
}

/// Cuts a logical record about what has a name into keyed frames of at most `limit` bytes each.
pub fn frames(
    name: &str,
    nonce: u64,
    record: &impl Serialize,
    limit: usize,
) -> Result<Vec<(Vec<u8>, Bytes)>, FramingError> {
    let mut whole = Vec::new();
    let failed = |error: ciborium::ser::Error<std::io::Error>| FramingError {
        reason: error.to_string(),
    };
    ciborium::into_writer(record, &mut whole).map_err(failed)?;
    let whole = Bytes::from(whole);
    let size = limit.saturating_sub(FRAME_OVERHEAD).max(1);
    let count = whole.len().div_ceil(size).max(1);
    let mut framed = Vec::with_capacity(count);
    let name = key_name(name);
    for index in 0..count {
        let end = ((index + 1) * size).min(whole.len());
        let frame = Frame {
            nonce,
            index: index as u32,
            count: count as u32,
            bytes: whole.slice(index * size..end),
        };
        let mut value = Vec::with_capacity(end - index * size + FRAME_OVERHEAD);
        ciborium::into_writer(&frame, &mut value).map_err(failed)?;
        let key = format!("{name}:{nonce:016x}:{index}").into_bytes();
        framed.push((key, Bytes::from(value)));
    }
    Ok(framed)
}

/// A logical record, put together.
#[derive(Debug)]
pub struct LogicalRecord<T> {
    /// Its nonce.
    pub nonce: u64,
    /// Keys of its frames, for dropping them.
    pub keys: Vec<Vec<u8>>,
    /// The record.
    pub record: T,
}

#[derive(Debug, Default)]
struct Partial {
    parts: BTreeMap<u32, Bytes>,
    keys: Vec<Vec<u8>>,
}

/// Puts frames together. Nonces that were complete once are passed over.
#[derive(Debug, Default)]
pub struct Assembly {
    partial: BTreeMap<u64, Partial>,
    complete: BTreeSet<u64>,
}

impl Assembly {
    /// Takes a frame; gives the logical record if this frame completed it.
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
        let whole: Vec<u8> = partial
            .parts
            .into_values()
            .flat_map(|part| part.to_vec())
            .collect();
        let record = ciborium::from_reader(whole.as_slice()).map_err(failed)?;
        Ok(Some(LogicalRecord {
            nonce: frame.nonce,
            keys: partial.keys,
            record,
        }))
    }

    /// Forgets the nonce of a frame that was dropped from the log.
    pub fn forget(&mut self, key: &[u8]) {
        let Some(nonce) = nonce_of(key) else {
            return;
        };
        self.complete.remove(&nonce);
        self.partial.remove(&nonce);
    }
}

/// The nonce in a frame's key.
fn nonce_of(key: &[u8]) -> Option<u64> {
    let key = std::str::from_utf8(key).ok()?;
    let nonce = key.rsplit(':').nth(1)?;
    u64::from_str_radix(nonce, 16).ok()
}
