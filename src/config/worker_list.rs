//! The list of next hops in discovery's form, which the configuration holds a copy of.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A version of the list, or the changes since another.
#[derive(Serialize, Deserialize)]
pub struct ListUpdate {
    /// The version.
    pub seq: u64,
    /// It is the whole list.
    #[serde(default)]
    pub whole: bool,
    /// Its lines, not yet read.
    #[serde(default)]
    pub hosts: Vec<Value>,
}
