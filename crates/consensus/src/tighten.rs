//! What tightens counts at once, what widens waits.

use crate::document::Document;
use serde_json::Value;
use std::cmp::Ordering;

/// Which direction tightens a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TighteningDirection {
    /// A smaller number (or `false`) is tighter.
    Less,
    /// A greater number (or `true`) is tighter.
    Greater,
    /// Any change waits.
    Unknown,
}

/// `from`, with those keys of `to` that tighten it. A key that only one of them has, and values that aren't two
/// numbers or two booleans, stay as they are in `from`.
#[must_use]
pub fn tightened(
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
