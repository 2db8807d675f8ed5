//! Serde adapter for byte strings in JSON messages. It writes base64 text, which has a third of the length of a list of
//! numbers and is read many times as fast. It reads both forms, because older versions write the list.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes in either of the two forms that are read.
#[derive(Deserialize)]
#[serde(untagged)]
enum Bytes {
    Text(String),
    List(Vec<u8>),
}

/// Writes bytes as base64 text.
///
/// # Errors
/// Returns the serializer's error.
pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    BASE64_STANDARD.encode(bytes).serialize(serializer)
}

/// Reads bytes from base64 text or from a list of numbers.
///
/// # Errors
/// Fails if the value is neither a list of bytes nor valid base64 text.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    match Bytes::deserialize(deserializer)? {
        Bytes::Text(text) => BASE64_STANDARD.decode(text).map_err(Error::custom),
        Bytes::List(bytes) => Ok(bytes),
    }
}
