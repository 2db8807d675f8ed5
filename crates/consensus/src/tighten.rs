//! Tightening of a configuration: keys that tighten a limit may come into force before all others.

use crate::document::Document;
use serde_json::Value;
use std::cmp::Ordering;

/// The direction in which a change of a key tightens it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TighteningDirection {
    /// A smaller number, or `false`, is tighter.
    Less,
    /// A greater number, or `true`, is tighter.
    Greater,
    /// No change of the key counts as tightening.
    Unknown,
}

/// Returns `from` with the keys of `to` that tighten it. A key stays as it is in `from` if it is missing in one of
/// the documents, or if its values are not two numbers or two booleans.
#[must_use]
pub fn apply_tightening(
    from: &Document,
    to: &Document,
    tightening_direction: &dyn Fn(&str) -> TighteningDirection,
) -> Document {
    let mut whole = from.clone();
    for (key, value) in &mut whole {
        let Some(new) = to.get(key) else { continue };
        let wanted = match tightening_direction(key) {
            TighteningDirection::Less => Ordering::Less,
            TighteningDirection::Greater => Ordering::Greater,
            TighteningDirection::Unknown => continue,
        };
        if compare(new, value) == Some(wanted) {
            *value = new.clone();
        }
    }
    whole
}

/// Compares two numbers or two booleans. Integers are compared exactly.
fn compare(a: &Value, b: &Value) -> Option<Ordering> {
    match (a, b) {
        (Value::Bool(a), Value::Bool(b)) => Some(a.cmp(b)),
        (Value::Number(a), Value::Number(b)) => match (a.as_u64(), b.as_u64(), a.as_i64(), b.as_i64()) {
            (Some(a), Some(b), ..) => Some(a.cmp(&b)),
            (_, _, Some(a), Some(b)) => Some(a.cmp(&b)),
            _ => a.as_f64()?.partial_cmp(&b.as_f64()?),
        },
        _ => None,
    }
}
