//! The JSON bodies of the control machines' HTTP interface, used by servers and clients.
//!
//! A parse error of a request body is part of the response. `expecting` keeps its text independent of the structs' names.

use calicolb_consensus::Document;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A line of a watch, or the response to a request for the current version. A line with neither `settings` nor changed keys
/// says that there is no newer version.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchLine {
    /// The number of the version that the receiver has after this line.
    pub seq: u64,
    /// True if the line contains the complete settings instead of a change.
    #[serde(rename = "whole", default, skip_serializing_if = "std::ops::Not::not")]
    pub complete: bool,
    /// True if the sending machine is connected to a majority, so that no newer version was agreed shortly before.
    pub majority: bool,
    /// The digest of the version; empty in a line that only reports the loss of the majority.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub digest: String,
    /// The digest of the version that the change applies to; empty if the line contains no change.
    #[serde(rename = "from", default, skip_serializing_if = "String::is_empty")]
    pub base_digest: String,
    /// Keys with new values.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub set: Document,
    /// Removed keys.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub unset: BTreeSet<String>,
    /// The complete settings.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub settings: Document,
}

/// The body of a request to change settings.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Wanted")]
pub struct ChangeRequest {
    /// Keys to set, with their values.
    #[serde(default)]
    pub set: Document,
    /// Keys to remove.
    #[serde(default)]
    pub unset: BTreeSet<String>,
}

/// A learner's report of the version that it has in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(expecting = "struct InForce")]
pub struct InForceReport {
    /// The learner's name.
    pub name: String,
    /// The number of the version.
    pub seq: u64,
}

/// The response to a change that was agreed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// The number of the version that contains the change.
    pub seq: u64,
    /// The digest of that version.
    pub digest: String,
}

/// The body of an error response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Refusal {
    /// The invalid key, if the error concerns one.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub key: String,
    /// The reason.
    pub why: String,
}

/// The state of a control machine and of its learners.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct State {
    /// The machine's number.
    pub id: u64,
    /// The number of the machine that this one believes to be the leader.
    pub leader: Option<u64>,
    /// True if the machine is connected to a majority.
    pub majority: bool,
    /// The number of the newest agreed version that the machine knows.
    pub seq: u64,
    /// The digest of that version.
    pub digest: String,
    /// The learners that watch this machine, each with the number of the version that it has in force.
    pub learners: BTreeMap<String, u64>,
    /// The learners that have an older version than `seq` in force.
    pub behind: Vec<String>,
}
