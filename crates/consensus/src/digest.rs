//! The SHA-256 digest of a document in its canonical form.

use crate::document::{Document, canonical_json};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest as _, Sha256};
use std::fmt;
use std::str::FromStr;

/// The SHA-256 digest of a document's canonical form. As text, it has 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest([u8; 32]);

/// A string is not a digest, because it does not consist of 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a digest must consist of 64 hexadecimal digits")]
pub struct ParseDigestError;

impl Digest {
    /// Computes the digest of a document.
    #[must_use]
    pub fn of(document: &Document) -> Digest {
        Digest(Sha256::digest(canonical_json(document)).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl FromStr for Digest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Digest, ParseDigestError> {
        let text = text.as_bytes();
        if text.len() != 64 {
            return Err(ParseDigestError);
        }
        let mut bytes = [0; 32];
        for (byte, pair) in bytes.iter_mut().zip(text.chunks_exact(2)) {
            let high = char::from(pair[0]).to_digit(16).ok_or(ParseDigestError)?;
            let low = char::from(pair[1]).to_digit(16).ok_or(ParseDigestError)?;
            *byte = u8::try_from(high * 16 + low).map_err(|_| ParseDigestError)?;
        }
        Ok(Digest(bytes))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Digest, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
