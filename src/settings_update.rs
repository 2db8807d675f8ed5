//! Settings that come into force while a scheduler runs: what they may change, and how their names keep their places.
//!
//! The decision module knows classes and tenants by their places in the settings, and open requests hold such places. So
//! a name keeps its place for good: one that is new is appended, one that is no longer there stays as retired, with the
//! settings that it had, and nothing new is meant by it. Should it come back, it has its old place.

use crate::api::Settings;
use crate::wire::Names;
use serde_json::Value;
use serde_path_to_error::{Path, Segment};
use std::collections::{BTreeSet, HashMap};

/// Classes that may be retired at most before a restart is due.
pub const MAX_RETIRED_CLASSES: usize = 64;
/// Tenants that may be retired at most before a restart is due.
pub const MAX_RETIRED_TENANTS: usize = 1_024;

/// What is wrong with settings, and at which key of them.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{key}' {reason}")]
pub struct SettingsError {
    /// The key, in dots, as in `request_classes.look.aim_us`.
    pub key: String,
    /// What is wrong there, as what follows the key in a sentence.
    pub reason: String,
}

impl SettingsError {
    /// This is wrong at that key.
    pub fn new(key: impl Into<String>, reason: impl Into<String>) -> Self {
        SettingsError { key: key.into(), reason: reason.into() }
    }
}

/// The settings that come into force where these are: `new`, with every name at the place that it has in `old`, and the
/// retired ones at theirs.
///
/// # Errors
/// The first key that cannot change while the scheduler runs.
pub fn merge(old: (&Settings, &Names), new: (&Settings, &Names)) -> Result<(Settings, Names), SettingsError> {
    let ((old, held), (new, told)) = (old, new);
    for (key, same) in [
        ("azs", held.zones == told.zones),
        ("kinds", held.kinds == told.kinds),
        ("extra.report_x0", held.x0 == told.x0),
        ("extra.report_x1", held.x1 == told.x1),
    ] {
        if !same {
            return Err(SettingsError::new(key, NEEDS_RESTART));
        }
    }
    let classes = Places::new("request_classes", &held.classes, &told.classes, MAX_RETIRED_CLASSES)?;
    let tenants = Places::new("orgs", &held.tenants, &told.tenants, MAX_RETIRED_TENANTS)?;
    let settings = Settings {
        classes: classes.fill(&old.classes, &new.classes),
        tenants: tenants.fill(&old.tenants, &new.tenants),
        ..new.clone()
    };
    if let Some(field) = old.fixed_change(&settings) {
        return Err(SettingsError::new(settings_key(field), NEEDS_RESTART));
    }
    let names = Names {
        classes: classes.names,
        tenants: tenants.names,
        retired_classes: classes.retired,
        retired_tenants: tenants.retired,
        ..held.clone()
    };
    Ok((settings, names))
}

const NEEDS_RESTART: &str = "cannot change while the scheduler runs: it needs a restart";

/// The key of the settings that a field of the module's stands for.
pub fn settings_key(field: &str) -> &str {
    match field {
        "instances" => "n_instances",
        "zones" => "azs",
        "worth_by_work" => "counted_by",
        "list_on_request" => "registry_mode",
        "reports" => "report.how",
        "reports_free_slots" | "reports_free_memory" => "report.fields",
        "tells_start" => "extra.tells_start",
        "progress_every" => "extra.progress_us",
        "queue_order" => "extra.queue_order",
        "weights" => "weight_source",
        "limits.peers" => "ceilings.peers",
        "classes" => "request_classes",
        "tenants" => "orgs",
        "tick" => "tick_us",
        same => same,
    }
}

/// The key of a place in settings: things that have a name are called by it, values by class by the class's.
pub(crate) fn settings_key_at(path: &Path, settings: &Value) -> String {
    let mut key = String::new();
    for part in path.iter() {
        let word = match part {
            Segment::Seq { index } => {
                let list = if key.starts_with("extra.class_") { "request_classes" } else { &key };
                let name = settings.get(list).and_then(|list| list.get(index)?.get("name")?.as_str());
                name.map_or_else(|| index.to_string(), str::to_owned)
            }
            other => other.to_string(),
        };
        if !key.is_empty() {
            key.push('.');
        }
        key.push_str(&word);
    }
    key
}

/// Where the names of a list come to stand.
struct Places {
    names: Vec<String>,
    /// For each name, where it stands in the new list, unless it is retired.
    from: Vec<Option<usize>>,
    retired: BTreeSet<usize>,
}

impl Places {
    fn new(list: &str, held: &[String], told: &[String], most_retired: usize) -> Result<Self, SettingsError> {
        let mut place: HashMap<&str, usize> = HashMap::new();
        for (at, name) in told.iter().enumerate() {
            if place.insert(name, at).is_some() {
                return Err(SettingsError::new(format!("{list}.{name}"), "is there twice"));
            }
        }
        let mut names = held.to_vec();
        let mut from: Vec<Option<usize>> = held.iter().map(|name| place.remove(name.as_str())).collect();
        for (at, name) in told.iter().enumerate().filter(|(_, name)| place.contains_key(name.as_str())) {
            names.push(name.clone());
            from.push(Some(at));
        }
        let retired: BTreeSet<usize> = (0..from.len()).filter(|&at| from[at].is_none()).collect();
        if let Some(&last) = retired.last().filter(|_| retired.len() > most_retired) {
            let why = format!("would be the {}th that is retired: a restart is due", retired.len());
            return Err(SettingsError::new(format!("{list}.{}", names[last]), why));
        }
        Ok(Places { names, from, retired })
    }

    fn fill<T: Clone>(&self, held: &[T], told: &[T]) -> Vec<T> {
        let each = self.from.iter().enumerate();
        // A retired name has a place in what is held: it was there before.
        each.filter_map(|(at, from)| from.map_or_else(|| held.get(at), |from| told.get(from)))
            .cloned()
            .collect()
    }
}
