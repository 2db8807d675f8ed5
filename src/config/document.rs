//! The settings as a flat document: an ordered map from dotted keys to values, so that a change names exactly the keys that
//! it changes.
//!
//! | in the settings | in the document |
//! | --- | --- |
//! | `{"ceilings": {"most_tries": 4}}` | `ceilings.most_tries` |
//! | `request_classes` and `orgs`, lists of entries with a name | `request_classes.look.aim_us`: by name, so the order of the list is lost; `orgs.acme` with the value `{}` for an entry that has only a name |
//! | `extra.class_kind`, `.class_priority`, `.class_stretch`, lists with a value per class | `extra.class_kind.look` |
//! | any other list | one value |
//! | an object with a key that is empty or contains a dot | one value |
//!
//! The name of an entry may contain dots, the key of a field may not.

#![allow(dead_code, reason = "`diff` is used only by tests")]

use super::platform;
use super::{SettingsError, SettingsUpdate};
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};

/// Settings by dotted key.
pub type Document = BTreeMap<String, Value>;

/// The maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// The maximum number of parts of a key.
const MAX_KEY_PARTS: usize = 8;
/// The maximum number of keys of a document.
const MAX_KEYS: usize = 65_536;
/// Keys of the lists whose entries are objects with a name.
const NAMED_LISTS: [&str; 2] = [CLASSES, "orgs"];
const CLASSES: &str = "request_classes";
/// Keys in `extra` of the lists that hold one value per class, each key with the value for classes that have none in the
/// document.
const PER_CLASS_LISTS: [(&str, i64); 3] = [("class_kind", -1), ("class_priority", 0), ("class_stretch", 0)];
const EXTRA: &str = "extra";

/// The direction in which a change of a key's value tightens the settings, that is, permits less.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// A smaller value, or `false` in the place of `true`.
    Less,
    /// A greater value.
    Greater,
    /// Cannot be decided from the old and the new value of the key alone.
    Unknown,
}

/// The difference between two documents.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Diff {
    /// Keys that are new or have a different value.
    pub set: Document,
    /// Keys that have been removed.
    pub unset: BTreeSet<String>,
}

/// Returns the changes that turn `old` into `new`.
pub fn diff(old: &Document, new: &Document) -> Diff {
    let changed = new.iter().filter(|(key, value)| old.get(*key) != Some(*value));
    Diff {
        set: changed.map(|(key, value)| (key.clone(), value.clone())).collect(),
        unset: old.keys().filter(|key| !new.contains_key(*key)).cloned().collect(),
    }
}

/// Returns the direction in which a change of this key's value tightens the settings. A key that is added or
/// removed counts as neither tightened nor loosened.
pub fn tightening_direction(key: &str) -> Direction {
    use Direction::{Greater, Less, Unknown};
    let field = key.rsplit_once('.').map_or(key, |(_, field)| field);
    let in_named_list = NAMED_LISTS.iter().any(|list| strip_first_parts(key, list).is_some());
    match key {
        "over_share_worth" => Less,
        "ceilings.most_tries" | "ceilings.may_duplicate" | "ceilings.max_open" | "ceilings.probes" => Less,
        "rules.fall_multiple" | "rules.start_capacity" | "rules.drain_grace_us" | "rules.answer_slack_us" => {
            Less
        }
        "rules.cold_us" | "rules.fall_us" => Greater,
        _ if in_named_list && matches!(field, "quota_rps" | "deadline_us" | "memory_span_us") => Less,
        _ => Unknown,
    }
}

/// Converts settings to a document. A value that is not an object gives an empty document.
pub fn to_document(settings: &Value) -> Document {
    let mut document = Document::new();
    let Some(root) = settings.as_object() else { return document };
    let classes = root.get(CLASSES).and_then(unique_names);
    for (key, value) in root {
        match value {
            Value::Array(list) if NAMED_LISTS.contains(&key.as_str()) && unique_names(value).is_some() => {
                for entry in list {
                    flatten_named_entry(key, entry, &mut document);
                }
            }
            Value::Object(extra) if key == EXTRA && has_plain_keys(extra) => {
                for (key, value) in extra {
                    let list = value.as_array().filter(|_| is_per_class(key));
                    match (list, &classes) {
                        (Some(list), Some(classes)) => {
                            let values = classes.iter().zip(list);
                            document.extend(
                                values.map(|(name, value)| (format!("{EXTRA}.{key}.{name}"), value.clone())),
                            );
                        }
                        _ => flatten(format!("{EXTRA}.{key}"), value, 2, &mut document),
                    }
                }
            }
            _ if NAMED_LISTS.contains(&key.as_str()) || key == EXTRA => {
                document.insert(key.clone(), value.clone());
            }
            _ => flatten(key.clone(), value, 1, &mut document),
        }
    }
    document
}

/// Returns the names of the entries of a list, in the order of the list. Returns `None` unless each entry is an object with
/// plain keys, without nested objects, and with a name that no other entry has.
fn unique_names(list: &Value) -> Option<Vec<&str>> {
    let mut seen = BTreeSet::new();
    let names = list.as_array()?.iter().map(|entry| {
        let fields = entry.as_object().filter(|fields| has_plain_keys(fields))?;
        let name = fields.get("name")?.as_str().filter(|name| !name.is_empty())?;
        let is_flat = fields.values().all(|value| !value.is_object());
        (is_flat && seen.insert(name)).then_some(name)
    });
    names.collect()
}

/// Returns true if each key of an object can be a part of a dotted key: it is not empty and contains no dot.
fn has_plain_keys(object: &Map<String, Value>) -> bool {
    object.keys().all(|key| !key.is_empty() && !key.contains('.'))
}

/// Returns true if `key` is the key in `extra` of a list that holds one value per class.
fn is_per_class(key: &str) -> bool {
    PER_CLASS_LISTS.iter().any(|(list, _)| *list == key)
}

/// Adds an entry of a named list to the document: one key per field, or, if the entry has only a name, one key with an empty
/// object.
fn flatten_named_entry(list: &str, entry: &Value, document: &mut Document) {
    let Some((fields, name)) =
        entry.as_object().and_then(|fields| Some((fields, fields.get("name")?.as_str()?)))
    else {
        return;
    };
    let other_fields = fields.iter().filter(|(key, _)| *key != "name");
    document.extend(other_fields.map(|(key, value)| (format!("{list}.{name}.{key}"), value.clone())));
    if fields.len() == 1 {
        document.insert(format!("{list}.{name}"), Value::Object(Map::new()));
    }
}

/// Adds a value under `key` to the document. An object with plain keys becomes one key per field, unless the key would get too
/// many parts. `parts` is the number of parts that `key` has.
fn flatten(key: String, value: &Value, parts: usize, document: &mut Document) {
    match value {
        Value::Object(fields) if !fields.is_empty() && has_plain_keys(fields) && parts < MAX_KEY_PARTS => {
            for (field, value) in fields {
                flatten(format!("{key}.{field}"), value, parts + 1, document);
            }
        }
        _ => {
            document.insert(key, value.clone());
        }
    }
}

/// Returns the part of `key` after `first_parts` and a dot; `None` if `key` does not begin with them.
fn strip_first_parts<'a>(key: &'a str, first_parts: &str) -> Option<&'a str> {
    key.strip_prefix(first_parts)?.strip_prefix('.')
}

/// Converts a document back to settings. The entries of named lists are sorted by name.
///
/// # Errors
/// Returns the first key that cannot be a part of settings, and the reason.
pub fn from_document(document: &Document) -> Result<Value, SettingsError> {
    if document.len() > MAX_KEYS {
        return Err(SettingsError::new("", format!("has {} keys: {MAX_KEYS} are the most", document.len())));
    }
    let mut root = Map::new();
    let mut named: BTreeMap<&str, BTreeMap<&str, Map<String, Value>>> = BTreeMap::new();
    let mut per_class: BTreeMap<&str, BTreeMap<&str, &Value>> = BTreeMap::new();
    for (key, value) in document {
        if key.len() > MAX_KEY_BYTES {
            return Err(SettingsError::new(key.clone(), format!("is longer than {MAX_KEY_BYTES} bytes")));
        }
        let named_list = NAMED_LISTS.iter().find_map(|list| Some((*list, strip_first_parts(key, list)?)));
        let per_class_value = strip_first_parts(key, EXTRA)
            .and_then(|rest| rest.split_once('.'))
            .filter(|(list, _)| is_per_class(list));
        if let Some((list, rest)) = named_list {
            check_no_value_at(document, key, list)?;
            let entries = named.entry(list).or_default();
            let (name, field) = match rest.rsplit_once('.') {
                // An empty object stands for an entry that has only a name.
                _ if value.as_object().is_some_and(Map::is_empty) => (rest, None),
                Some((name, field)) if !name.is_empty() && !field.is_empty() && field != "name" => {
                    (name, Some(field))
                }
                _ => return Err(SettingsError::new(key.clone(), "names no field of something with a name")),
            };
            if name.is_empty() {
                return Err(SettingsError::new(key.clone(), "has no name in it"));
            }
            let fields = entries.entry(name).or_default();
            if let Some(field) = field {
                fields.insert(field.to_owned(), value.clone());
            }
        } else if let Some((list, name)) = per_class_value {
            check_no_value_at(document, key, EXTRA)?;
            check_no_value_at(document, key, &format!("{EXTRA}.{list}"))?;
            per_class.entry(list).or_default().insert(name, value);
        } else {
            insert_nested(document, key, value, &mut root)?;
        }
    }
    for (list, values) in per_class {
        let class_entries = named.get(CLASSES);
        let classes: Vec<&str> = class_entries.into_iter().flatten().map(|(name, _)| *name).collect();
        if let Some(name) = values.keys().find(|name| !classes.contains(name)) {
            return Err(SettingsError::new(
                format!("{EXTRA}.{list}.{name}"),
                "is of a class that there is not",
            ));
        }
        let default =
            PER_CLASS_LISTS.iter().find(|(other, _)| *other == list).map_or(0, |(_, default)| *default);
        // The list ends at the last class that has a value.
        let length = classes.iter().rposition(|name| values.contains_key(name)).map_or(0, |last| last + 1);
        let list_values = classes[..length].iter().map(|name| match values.get(name) {
            Some(value) => (*value).clone(),
            None => Value::from(default),
        });
        let extra = root.entry(EXTRA).or_insert_with(|| Value::Object(Map::new()));
        if let Some(extra) = extra.as_object_mut() {
            extra.insert(list.to_owned(), list_values.collect());
        }
    }
    for (list, entries) in named {
        let entries = entries.into_iter().map(|(name, mut fields)| {
            fields.insert("name".to_owned(), Value::from(name));
            Value::Object(fields)
        });
        root.insert(list.to_owned(), entries.collect());
    }
    Ok(Value::Object(root))
}

/// Checks that the document has no value under `first_parts`, the first parts of `key`. With a value there, `key` could not be
/// one of its fields.
fn check_no_value_at(document: &Document, key: &str, first_parts: &str) -> Result<(), SettingsError> {
    match document.contains_key(first_parts) {
        true => Err(SettingsError::new(key, format!("stands beside '{first_parts}', which is one value"))),
        false => Ok(()),
    }
}

/// Inserts a value into nested objects, one level for each part of its key. Missing objects are created.
fn insert_nested(
    document: &Document,
    key: &str,
    value: &Value,
    root: &mut Map<String, Value>,
) -> Result<(), SettingsError> {
    let parts: Vec<&str> = key.split('.').collect();
    if parts.len() > MAX_KEY_PARTS || parts.iter().any(|part| part.is_empty()) {
        return Err(SettingsError::new(
            key,
            format!("is no key: it has an empty part, or more than {MAX_KEY_PARTS}"),
        ));
    }
    let dots = key.char_indices().filter(|(_, letter)| *letter == '.');
    for (dot, _) in dots {
        check_no_value_at(document, key, &key[..dot])?;
    }
    let mut object = root;
    for part in &parts[..parts.len() - 1] {
        let nested = object.entry(*part).or_insert_with(|| Value::Object(Map::new()));
        let Some(next) = nested.as_object_mut() else {
            return Err(SettingsError::new(key, "stands in what is no group of keys"));
        };
        object = next;
    }
    if let Some(last) = parts.last() {
        object.insert((*last).to_owned(), value.clone());
    }
    Ok(())
}

/// Converts a document to settings and validates them.
///
/// # Errors
/// Returns the first invalid key and the reason.
pub fn check(document: &Document) -> Result<SettingsUpdate, SettingsError> {
    platform::parse_settings(&from_document(document)?)
}

#[cfg(test)]
mod tests;
