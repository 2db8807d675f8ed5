//! Separates the settings that the control machines agree on for all schedulers from the few that each scheduler has for
//! itself, and validates agreed versions.

use super::SettingsError;
use super::document::{self, Direction, Document};
use calicolb_consensus::{Check, Rules, TighteningDirection};
use serde_json::{Value, json};

/// Keys that each scheduler has for itself. Agreed versions do not contain them.
pub const LOCAL_KEYS: [&str; 3] = ["n_instances", "rank", "zone"];

/// Returns the part of `settings` that each scheduler has for itself.
pub fn local_settings(settings: &Document) -> Document {
    LOCAL_KEYS.iter().filter_map(|key| Some(((*key).to_owned(), settings.get(*key)?.clone()))).collect()
}

/// Returns the part of `settings` that is agreed for all schedulers.
pub fn shared_settings(mut settings: Document) -> Document {
    LOCAL_KEYS.iter().for_each(|key| drop(settings.remove(*key)));
    settings
}

/// Returns an agreed version, completed with `local`, the settings that the scheduler has for itself.
pub fn with_local_settings(version: &Document, local: &Document) -> Document {
    let mut settings = version.clone();
    settings.extend(local.iter().map(|(key, value)| (key.clone(), value.clone())));
    settings
}

/// The check that a control machine applies to a version before it is agreed.
pub struct SharedSettingsCheck;

impl Check for SharedSettingsCheck {
    fn check(&self, version: &Document) -> Result<(), calicolb_consensus::ValidationError> {
        let to_agreed_error = |error: SettingsError| calicolb_consensus::ValidationError {
            key: error.key,
            reason: error.reason,
        };
        if let Some(key) = LOCAL_KEYS.iter().find(|key| version.contains_key(**key)) {
            return Err(to_agreed_error(SettingsError::new(
                *key,
                "is each scheduler's own, and is agreed for none",
            )));
        }
        // A version must be valid for at least one scheduler. Since it has no local keys, those of a scheduler in the first
        // zone are assumed.
        let zone = version.get("azs").and_then(|zones| zones.get(0)).cloned().unwrap_or(Value::Null);
        let local = [("n_instances", json!(1)), ("rank", json!(0)), ("zone", zone)];
        let local = local.into_iter().map(|(key, value)| (key.to_owned(), value)).collect();
        document::check(&with_local_settings(version, &local)).map(drop).map_err(to_agreed_error)
    }
}

/// The check that a scheduler applies to an agreed version, and its rules for the direction in which each key tightens.
pub struct SchedulerRules {
    /// The settings that the scheduler has for itself.
    pub local_settings: Document,
}

impl Check for SchedulerRules {
    fn check(&self, version: &Document) -> Result<(), calicolb_consensus::ValidationError> {
        let checked = document::check(&with_local_settings(version, &self.local_settings)).map(drop);
        checked.map_err(|error| calicolb_consensus::ValidationError { key: error.key, reason: error.reason })
    }
}

impl Rules for SchedulerRules {
    fn tightening_direction(&self, key: &str) -> TighteningDirection {
        match document::tightening_direction(key) {
            Direction::Less => TighteningDirection::Less,
            Direction::Greater => TighteningDirection::Greater,
            Direction::Unknown => TighteningDirection::Unknown,
        }
    }
}
