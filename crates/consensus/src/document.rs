//! The document: an ordered map from dotted keys to JSON values. This crate does not interpret the values.

use crate::change::Change;
use crate::limits;
use serde_json::Value;
use std::collections::BTreeMap;

/// A map from dotted keys to JSON values.
pub type Document = BTreeMap<String, Value>;

/// A document or a change is invalid.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct ValidationError {
    /// The invalid key; empty if the error concerns the whole document or change.
    pub key: String,
    /// The reason. The control machines send it as the `why` of a refusal: its texts are part of that interface, so they do
    /// not change.
    #[serde(rename = "why")]
    pub reason: String,
}

impl ValidationError {
    /// Creates an error for a key, which is cut to the maximum key length.
    pub(crate) fn new(key: &str, reason: impl Into<String>) -> ValidationError {
        ValidationError { key: key.chars().take(limits::MAX_KEY_BYTES).collect(), reason: reason.into() }
    }
}

/// Validates documents. The program supplies the implementation.
pub trait Check {
    /// Validates a complete document.
    ///
    /// # Errors
    /// The invalid key and the reason.
    fn check(&self, document: &Document) -> Result<(), ValidationError>;
}

impl<F: Fn(&Document) -> Result<(), ValidationError>> Check for F {
    fn check(&self, document: &Document) -> Result<(), ValidationError> {
        self(document)
    }
}

/// The canonical form of a document, from which its digest is computed: JSON without whitespace, with the keys of
/// every object in ascending order. The order does not depend on how the JSON library stores objects.
pub(crate) fn canonical_json(document: &Document) -> Vec<u8> {
    let mut out = vec![b'{'];
    for (i, (key, value)) in document.iter().enumerate() {
        if i > 0 {
            out.push(b',');
        }
        write_scalar(&mut out, key);
        out.push(b':');
        write_value(&mut out, value);
    }
    out.push(b'}');
    out
}

/// Writes a string, a number, a boolean or null.
fn write_scalar(out: &mut Vec<u8>, value: &impl serde::Serialize) {
    // Strings and numbers can always be serialized, and writing to memory does not fail.
    let _ = serde_json::to_writer(out, value);
}

/// Writes a value with the keys of objects in ascending order.
fn write_value(out: &mut Vec<u8>, value: &Value) {
    match value {
        Value::Array(values) => {
            out.push(b'[');
            for (i, value) in values.iter().enumerate() {
                if i > 0 {
                    out.push(b',');
                }
                write_value(out, value);
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
                write_scalar(out, key);
                out.push(b':');
                write_value(out, value);
            }
            out.push(b'}');
        }
        value => write_scalar(out, value),
    }
}

/// The size of a document in its canonical form, in bytes.
#[must_use]
pub fn document_size(document: &Document) -> usize {
    canonical_json(document).len()
}

/// The number of arrays and objects around the innermost value.
fn nesting_depth(value: &Value) -> usize {
    match value {
        Value::Array(values) => 1 + values.iter().map(nesting_depth).max().unwrap_or(0),
        Value::Object(map) => 1 + map.values().map(nesting_depth).max().unwrap_or(0),
        _ => 0,
    }
}

/// Checks a change against the size limits of this crate, independently of the document it applies to.
pub(crate) fn check_change_limits(change: &Change) -> Result<(), ValidationError> {
    if let Some(key) = change.unset.iter().find(|key| key.len() > limits::MAX_KEY_BYTES) {
        return Err(ValidationError::new(
            key,
            format!("a key has {} bytes at most, not {}", limits::MAX_KEY_BYTES, key.len()),
        ));
    }
    let bytes = change.size_bytes();
    if bytes > limits::MAX_CHANGE_BYTES {
        return Err(ValidationError::new(
            "",
            format!("a change of {bytes} bytes, {} at most", limits::MAX_CHANGE_BYTES),
        ));
    }
    Ok(())
}

/// Checks a document against the size limits of this crate.
pub(crate) fn check_document_limits(document: &Document) -> Result<(), ValidationError> {
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
        if nesting_depth(value) > limits::MAX_NESTING_DEPTH {
            return Err(ValidationError::new(
                key,
                format!("nested more than {} deep", limits::MAX_NESTING_DEPTH),
            ));
        }
    }
    let bytes = document_size(document);
    if bytes > limits::MAX_DOCUMENT_BYTES {
        return Err(ValidationError::new(
            "",
            format!("{bytes} bytes, {} at most", limits::MAX_DOCUMENT_BYTES),
        ));
    }
    Ok(())
}
