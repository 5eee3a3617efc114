//! CBOR, the encoding of messages between processes of this project.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes a value as CBOR.
pub fn encode_cbor(value: &impl Serialize) -> Result<Vec<u8>, String> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(|error| error.to_string())?;
    Ok(bytes)
}

/// Decodes a value from CBOR.
pub fn decode_cbor<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    ciborium::from_reader(bytes).map_err(|error| error.to_string())
}
