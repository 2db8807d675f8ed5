//! Settings that are agreed for all schedulers, beside the few that are each scheduler's own.

use super::SettingsError;
use super::document::{self, Direction, Document};
use calicolb_agreed::{Check, Rules, Tighter};
use serde_json::{Value, json};

/// Keys that are each scheduler's own, and stand in no version.
pub const OWN: [&str; 3] = ["n_instances", "rank", "zone"];

/// The own keys of these settings.
pub fn own(settings: &Document) -> Document {
    OWN.iter().filter_map(|key| Some(((*key).to_owned(), settings.get(*key)?.clone()))).collect()
}

/// The settings without the own keys.
pub fn shared(mut settings: Document) -> Document {
    OWN.iter().for_each(|key| drop(settings.remove(*key)));
    settings
}

/// An agreed version with the own keys of a scheduler.
pub fn whole(version: &Document, own: &Document) -> Document {
    let mut whole = version.clone();
    whole.extend(own.iter().map(|(key, value)| (key.clone(), value.clone())));
    whole
}

/// What a version is checked by before it is agreed.
pub struct Shared;

impl Check for Shared {
    fn check(&self, version: &Document) -> Result<(), calicolb_agreed::Fault> {
        let fault = |fault: SettingsError| calicolb_agreed::Fault { key: fault.key, why: fault.reason };
        if let Some(key) = OWN.iter().find(|key| version.contains_key(**key)) {
            return Err(fault(SettingsError::new(*key, "is each scheduler's own, and is agreed for none")));
        }
        // It must be usable at some scheduler: at one of the first zone.
        let zone = version.get("azs").and_then(|zones| zones.get(0)).cloned().unwrap_or(Value::Null);
        let own = [("n_instances", json!(1)), ("rank", json!(0)), ("zone", zone)];
        let own = own.into_iter().map(|(key, value)| (key.to_owned(), value)).collect();
        document::check(&whole(version, &own)).map(drop).map_err(fault)
    }
}

/// What a scheduler with these own keys checks a version by, and which way each key tightens.
pub struct Here {
    /// The own keys.
    pub own: Document,
}

impl Check for Here {
    fn check(&self, version: &Document) -> Result<(), calicolb_agreed::Fault> {
        let checked = document::check(&whole(version, &self.own)).map(drop);
        checked.map_err(|fault| calicolb_agreed::Fault { key: fault.key, why: fault.reason })
    }
}

impl Rules for Here {
    fn tighter(&self, key: &str) -> Tighter {
        match document::tighter(key) {
            Direction::Less => Tighter::Less,
            Direction::Greater => Tighter::Greater,
            Direction::Unknown => Tighter::Unknown,
        }
    }
}
