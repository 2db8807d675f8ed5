//! Settings that are agreed for all schedulers, beside the few that are each scheduler's own.

use super::Fault;
use super::document::{self, Direction, Document};
use calicolb_agreed::{Check, Rules, Tighter};
use serde_json::{Value, json};

/// Keys that are each scheduler's own, and stand in no version.
pub const LOCAL_KEYS: [&str; 3] = ["n_instances", "rank", "zone"];

/// The own keys of these settings.
pub fn local_settings(settings: &Document) -> Document {
    LOCAL_KEYS.iter().filter_map(|key| Some(((*key).to_owned(), settings.get(*key)?.clone()))).collect()
}

/// The settings without the own keys.
pub fn shared_settings(mut settings: Document) -> Document {
    LOCAL_KEYS.iter().for_each(|key| drop(settings.remove(*key)));
    settings
}

/// An agreed version with the own keys of a scheduler.
pub fn with_local_settings(version: &Document, own: &Document) -> Document {
    let mut whole = version.clone();
    whole.extend(own.iter().map(|(key, value)| (key.clone(), value.clone())));
    whole
}

/// What a version is checked by before it is agreed.
pub struct SharedSettingsCheck;

impl Check for SharedSettingsCheck {
    fn check(&self, version: &Document) -> Result<(), calicolb_agreed::Fault> {
        let fault = |fault: Fault| calicolb_agreed::Fault { key: fault.key, why: fault.why };
        if let Some(key) = LOCAL_KEYS.iter().find(|key| version.contains_key(**key)) {
            return Err(fault(Fault::new(*key, "is each scheduler's own, and is agreed for none")));
        }
        // It must be usable at some scheduler: at one of the first zone.
        let zone = version.get("azs").and_then(|zones| zones.get(0)).cloned().unwrap_or(Value::Null);
        let own = [("n_instances", json!(1)), ("rank", json!(0)), ("zone", zone)];
        let own = own.into_iter().map(|(key, value)| (key.to_owned(), value)).collect();
        document::check(&with_local_settings(version, &own)).map(drop).map_err(fault)
    }
}

/// What a scheduler with these own keys checks a version by, and which way each key tightens.
pub struct SchedulerRules {
    /// The own keys.
    pub local_settings: Document,
}

impl Check for SchedulerRules {
    fn check(&self, version: &Document) -> Result<(), calicolb_agreed::Fault> {
        let checked = document::check(&with_local_settings(version, &self.local_settings)).map(drop);
        checked.map_err(|fault| calicolb_agreed::Fault { key: fault.key, why: fault.why })
    }
}

impl Rules for SchedulerRules {
    fn tighter(&self, key: &str) -> Tighter {
        match document::tighter(key) {
            Direction::Less => Tighter::Less,
            Direction::Greater => Tighter::Greater,
            Direction::Unknown => Tighter::Unknown,
        }
    }
}
