//! The document: a flat, ordered map from dotted keys to JSON values, opaque to this package.

use crate::change::Change;
use crate::limits;
use serde_json::Value;
use std::collections::BTreeMap;

/// From dotted keys to values.
pub type Document = BTreeMap<String, Value>;

/// Why a document isn't usable.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct ValidationError {
    /// The key at fault.
    pub key: String,
    /// What is wrong with it.
    #[serde(rename = "why")]
    pub reason: String,
}

impl ValidationError {
    pub(crate) fn new(key: &str, reason: impl Into<String>) -> ValidationError {
        ValidationError { key: key.chars().take(limits::MAX_KEY_BYTES).collect(), reason: reason.into() }
    }
}

/// Supplied by the program: is the whole document usable?
pub trait Check {
    /// Looks at the whole document.
    ///
    /// # Errors
    /// The key at fault and the reason.
    fn check(&self, whole: &Document) -> Result<(), ValidationError>;
}

impl<F: Fn(&Document) -> Result<(), ValidationError>> Check for F {
    fn check(&self, whole: &Document) -> Result<(), ValidationError> {
        self(whole)
    }
}

/// The bytes that the digest is of: JSON without spaces, the keys of every object in order, whatever order the
/// program's JSON library keeps.
pub(crate) fn canonical(document: &Document) -> Vec<u8> {
    let mut out = vec![b'{'];
    for (i, (key, value)) in document.iter().enumerate() {
        if i > 0 {
            out.push(b',');
        }
        plain(&mut out, key);
        out.push(b':');
        write(&mut out, value);
    }
    out.push(b'}');
    out
}

fn plain(out: &mut Vec<u8>, value: &impl serde::Serialize) {
    // Texts and numbers can always be written, and memory doesn't fail.
    let _ = serde_json::to_writer(out, value);
}

fn write(out: &mut Vec<u8>, value: &Value) {
    match value {
        Value::Array(values) => {
            out.push(b'[');
            for (i, value) in values.iter().enumerate() {
                if i > 0 {
                    out.push(b',');
                }
                write(out, value);
            }
            out.push(b']');
        }
        Value::Object(map) => {
            let ordered: BTreeMap<&String, &Value> = map.iter().collect();
            out.push(b'{');
            for (i, (key, value)) in ordered.into_iter().enumerate() {
                if i > 0 {
                    out.push(b',');
                }
                plain(out, key);
                out.push(b':');
                write(out, value);
            }
            out.push(b'}');
        }
        value => plain(out, value),
    }
}

/// Bytes of a document in its canonical form.
#[must_use]
pub fn size(document: &Document) -> usize {
    canonical(document).len()
}

fn depth(value: &Value) -> usize {
    match value {
        Value::Array(values) => 1 + values.iter().map(depth).max().unwrap_or(0),
        Value::Object(map) => 1 + map.values().map(depth).max().unwrap_or(0),
        _ => 0,
    }
}

/// Whether a change is within the bounds of this package, whatever it does.
pub(crate) fn change_within_bounds(change: &Change) -> Result<(), ValidationError> {
    if let Some(key) = change.unset.iter().find(|key| key.len() > limits::MAX_KEY_BYTES) {
        return Err(ValidationError::new(
            key,
            format!("a key has {} bytes at most, not {}", limits::MAX_KEY_BYTES, key.len()),
        ));
    }
    let bytes = change.bytes();
    if bytes > limits::MAX_CHANGE_BYTES {
        return Err(ValidationError::new(
            "",
            format!("a change of {bytes} bytes, {} at most", limits::MAX_CHANGE_BYTES),
        ));
    }
    Ok(())
}

/// Whether a document is within the bounds of this package.
pub(crate) fn within_bounds(document: &Document) -> Result<(), ValidationError> {
    if document.len() > limits::MAX_KEYS {
        return Err(ValidationError::new(
            "",
            format!("{} keys, {} at most", document.len(), limits::MAX_KEYS),
        ));
    }
    for (key, value) in document {
        if key.is_empty() || key.len() > limits::MAX_KEY_BYTES {
            return Err(ValidationError::new(
                key,
                format!("a key has 1 to {} bytes, not {}", limits::MAX_KEY_BYTES, key.len()),
            ));
        }
        if depth(value) > limits::MAX_NESTING_DEPTH {
            return Err(ValidationError::new(
                key,
                format!("nested more than {} deep", limits::MAX_NESTING_DEPTH),
            ));
        }
    }
    let bytes = size(document);
    if bytes > limits::MAX_DOCUMENT_BYTES {
        return Err(ValidationError::new(
            "",
            format!("{bytes} bytes, {} at most", limits::MAX_DOCUMENT_BYTES),
        ));
    }
    Ok(())
}
