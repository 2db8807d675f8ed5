//! Bytes in messages of JSON: written as base64 text, which is a third of the length of a list of numbers and read many times
//! as fast. Both forms are read, since older versions write the list.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Either form.
#[derive(Deserialize)]
#[serde(untagged)]
enum Bytes {
    Text(String),
    List(Vec<u8>),
}

/// Writes bytes as text.
///
/// # Errors
/// Those of the serializer.
pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    BASE64_STANDARD.encode(bytes).serialize(serializer)
}

/// Reads bytes in either form.
///
/// # Errors
/// It is neither.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    match Bytes::deserialize(deserializer)? {
        Bytes::Text(text) => BASE64_STANDARD.decode(text).map_err(Error::custom),
        Bytes::List(bytes) => Ok(bytes),
    }
}
