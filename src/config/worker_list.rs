//! The list of workers in the JSON form of the discovery service. The platform's configuration may contain a copy.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A complete version of the list, or the changes since the version that the receiver has.
#[derive(Serialize, Deserialize)]
pub struct ListUpdate {
    /// The number of the version.
    pub seq: u64,
    /// True if `hosts` is the complete list, false if it holds the changes.
    #[serde(default)]
    pub whole: bool,
    /// One JSON object for each worker, as text that is not yet parsed: a tree of JSON values would take many times its
    /// memory.
    #[serde(default)]
    pub hosts: Vec<Box<RawValue>>,
}
