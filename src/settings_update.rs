//! Settings updates at run time: which settings may change, and how the names of classes and tenants keep their
//! indices.
//!
//! The decision module refers to classes and tenants by their indices in the settings, and open requests hold such
//! indices. A name therefore keeps its index for good: a new name is appended, and a name that is no longer listed
//! stays as retired with its last settings, and no new request can refer to it. A retired name that is listed again
//! gets its old index back.

use crate::api::Settings;
use crate::wire::Names;
use serde_json::Value;
use serde_path_to_error::{Path, Segment};
use std::collections::{BTreeSet, HashMap};

/// Maximum number of retired classes; an update that would exceed it needs a restart.
pub const MAX_RETIRED_CLASSES: usize = 64;
/// Maximum number of retired tenants; an update that would exceed it needs a restart.
pub const MAX_RETIRED_TENANTS: usize = 1_024;

/// An invalid setting: its key and the reason.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{key}' {reason}")]
pub struct SettingsError {
    /// The key, with parts separated by dots, as in `request_classes.look.aim_us`.
    pub key: String,
    /// The reason, worded to follow the key in a sentence.
    pub reason: String,
}

impl SettingsError {
    /// Creates an error for a key.
    pub fn new(key: impl Into<String>, reason: impl Into<String>) -> Self {
        SettingsError { key: key.into(), reason: reason.into() }
    }
}

/// Merges new settings into those in force: returns the values of `new`, with every name at the index that it has in
/// `old`, and retired names at their old indices.
///
/// # Errors
/// Returns the first key that cannot change while the scheduler runs.
pub fn merge(old: (&Settings, &Names), new: (&Settings, &Names)) -> Result<(Settings, Names), SettingsError> {
    let ((old, old_names), (new, new_names)) = (old, new);
    for (key, unchanged) in [
        ("azs", old_names.zones == new_names.zones),
        ("kinds", old_names.kinds == new_names.kinds),
        ("extra.report_x0", old_names.x0 == new_names.x0),
        ("extra.report_x1", old_names.x1 == new_names.x1),
    ] {
        if !unchanged {
            return Err(SettingsError::new(key, NEEDS_RESTART));
        }
    }
    let classes =
        NameIndices::new("request_classes", &old_names.classes, &new_names.classes, MAX_RETIRED_CLASSES)?;
    let tenants = NameIndices::new("orgs", &old_names.tenants, &new_names.tenants, MAX_RETIRED_TENANTS)?;
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
        ..old_names.clone()
    };
    Ok((settings, names))
}

const NEEDS_RESTART: &str = "cannot change while the scheduler runs: it needs a restart";

/// The settings key of a field of the decision module's [`Settings`].
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
        other => other,
    }
}

/// The key of a path into a settings document. An element of a list is called by its `name` if it has one, and an
/// element of a list of values by class by the name of the class; any other element is called by its index.
pub(crate) fn settings_key_at(path: &Path, settings: &Value) -> String {
    let mut key = String::new();
    for segment in path.iter() {
        let part = match segment {
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
        key.push_str(&part);
    }
    key
}

/// The merged names of a list, each at its index.
struct NameIndices {
    names: Vec<String>,
    /// For each name its index in the new list; `None` if it is retired.
    new_index: Vec<Option<usize>>,
    /// Indices of the retired names.
    retired: BTreeSet<usize>,
}

impl NameIndices {
    fn new(list: &str, old: &[String], new: &[String], max_retired: usize) -> Result<Self, SettingsError> {
        let mut remaining: HashMap<&str, usize> = HashMap::new();
        for (index, name) in new.iter().enumerate() {
            if remaining.insert(name, index).is_some() {
                return Err(SettingsError::new(format!("{list}.{name}"), "is listed twice"));
            }
        }
        let mut names = old.to_vec();
        let mut new_index: Vec<Option<usize>> =
            old.iter().map(|name| remaining.remove(name.as_str())).collect();
        for (index, name) in new.iter().enumerate().filter(|(_, name)| remaining.contains_key(name.as_str()))
        {
            names.push(name.clone());
            new_index.push(Some(index));
        }
        let retired: BTreeSet<usize> =
            (0..new_index.len()).filter(|&index| new_index[index].is_none()).collect();
        if let Some(&last) = retired.last().filter(|_| retired.len() > max_retired) {
            let reason = format!(
                "would be retired entry {} of at most {max_retired}: it needs a restart",
                retired.len()
            );
            return Err(SettingsError::new(format!("{list}.{}", names[last]), reason));
        }
        Ok(NameIndices { names, new_index, retired })
    }

    /// Builds the merged list of values: `new` values by name, and the `old` value of each retired name.
    fn fill<T: Clone>(&self, old: &[T], new: &[T]) -> Vec<T> {
        let each = self.new_index.iter().enumerate();
        // A retired name always has a value in `old`, because it was listed before.
        each.filter_map(|(index, new_index)| new_index.map_or_else(|| old.get(index), |index| new.get(index)))
            .cloned()
            .collect()
    }
}
