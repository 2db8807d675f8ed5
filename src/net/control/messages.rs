//! What stands in the bodies of the control machines' interface, for both its sides.

use calicolb_agreed::Document;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A line of a watch, and the answer to a call for the whole.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchLine {
    /// The version that is known with this line.
    pub seq: u64,
    /// All settings stand in it, and not only what has changed.
    #[serde(rename = "whole", default, skip_serializing_if = "std::ops::Not::not")]
    pub complete: bool,
    /// The machine that says it speaks with a majority, so that nothing newer was agreed a moment ago.
    pub majority: bool,
    /// The digest of the version; none where nothing is told but that there is no majority.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub digest: String,
    /// The digest of the version that the change rests on.
    #[serde(rename = "from", default, skip_serializing_if = "String::is_empty")]
    pub base_digest: String,
    /// Keys that have another value.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub set: Document,
    /// Keys that have gone.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub unset: BTreeSet<String>,
    /// All keys.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub settings: Document,
}

/// A change that is asked for.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Keys that get a value.
    #[serde(default)]
    pub set: Document,
    /// Keys that are to go.
    #[serde(default)]
    pub unset: BTreeSet<String>,
}

/// What a learner has in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InForceReport {
    /// Its name.
    pub name: String,
    /// The version.
    pub seq: u64,
}

/// What a change became.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// The version that holds it.
    pub seq: u64,
    /// Its digest.
    pub digest: String,
}

/// Why a change was not taken.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Refusal {
    /// The key at fault, where it is one.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub key: String,
    /// What is wrong.
    pub why: String,
}

/// What a control machine knows of itself and of its learners.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct State {
    /// Its number.
    pub id: u64,
    /// The machine that leads, as far as it knows.
    pub leader: Option<u64>,
    /// It speaks with a majority.
    pub majority: bool,
    /// The version that is agreed as far as it knows.
    pub seq: u64,
    /// The digest of that.
    pub digest: String,
    /// The learners that watch here, and the version that each has in force.
    pub learners: BTreeMap<String, u64>,
    /// Those of them that have an older one.
    pub behind: Vec<String>,
}
