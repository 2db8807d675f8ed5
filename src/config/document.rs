//! The settings as a flat document: an ordered map from keys in dots to values, so that a change names just what it
//! changes.
//!
//! | in the settings | in the document |
//! | --- | --- |
//! | `{"ceilings": {"most_tries": 4}}` | `ceilings.most_tries` |
//! | `request_classes` and `orgs`, lists of things with a name | `request_classes.look.aim_us`: by name, the list's order is lost; `orgs.acme` with `{}` where nothing but the name is told |
//! | `extra.class_kind`, `.class_priority`, `.class_stretch`, lists by class | `extra.class_kind.look` |
//! | any other list | one value |
//! | an object with a key that is empty or has a dot in it | one value |
//!
//! A name may have dots in it, a field may not.

#![allow(dead_code, reason = "the control role asks for what SIGHUP does not")]

use super::platform;
use super::{Fault, SettingsUpdate};
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};

/// Settings by keys in dots.
pub type Document = BTreeMap<String, Value>;

/// The longest key, in bytes.
const LONGEST_KEY: usize = 256;
/// Parts of a key at most.
const MOST_PARTS: usize = 8;
/// Keys of a document at most.
const MOST_KEYS: usize = 65_536;
/// Lists of things that have a name.
const NAMED: [&str; 2] = [CLASSES, "orgs"];
const CLASSES: &str = "request_classes";
/// Lists that have a value for each class, and what stands for one that is not told.
const BY_CLASS: [(&str, i64); 3] = [("class_kind", -1), ("class_priority", 0), ("class_stretch", 0)];
const EXTRA: &str = "extra";

/// Which change of a key's value tightens: lets less be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// A smaller value, or `false` in the place of `true`.
    Less,
    /// A greater value.
    Greater,
    /// Not to be told from the value alone.
    Unknown,
}

/// What is to be done to one document to make it another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Diff {
    /// Keys that are new or have another value.
    pub set: Document,
    /// Keys that are there no longer.
    pub unset: BTreeSet<String>,
}

/// What makes `old` into `new`.
pub fn diff(old: &Document, new: &Document) -> Diff {
    let changed = new.iter().filter(|(key, value)| old.get(*key) != Some(*value));
    Diff {
        set: changed.map(|(key, value)| (key.clone(), value.clone())).collect(),
        unset: old.keys().filter(|key| !new.contains_key(*key)).cloned().collect(),
    }
}

/// Which change of this key tightens. A key that is set for the first time, or unset, is neither: only two values of it
/// can be compared.
pub fn tighter(key: &str) -> Direction {
    use Direction::{Greater, Less, Unknown};
    let field = key.rsplit_once('.').map_or(key, |(_, field)| field);
    let by_name = NAMED.iter().any(|list| in_list(key, list).is_some());
    match key {
        "over_share_worth" => Less,
        "ceilings.most_tries" | "ceilings.may_duplicate" | "ceilings.max_open" | "ceilings.probes" => Less,
        "rules.fall_multiple" | "rules.start_capacity" | "rules.drain_grace_us" | "rules.answer_slack_us" => {
            Less
        }
        "rules.cold_us" | "rules.fall_us" => Greater,
        _ if by_name && matches!(field, "quota_rps" | "deadline_us" | "memory_span_us") => Less,
        _ => Unknown,
    }
}

/// The settings as a document. What is no object has no keys.
pub fn to_document(settings: &Value) -> Document {
    let mut document = Document::new();
    let Some(root) = settings.as_object() else { return document };
    let classes = root.get(CLASSES).and_then(names_of);
    for (key, value) in root {
        match value {
            Value::Array(list) if NAMED.contains(&key.as_str()) && names_of(value).is_some() => {
                for thing in list {
                    name_out(key, thing, &mut document);
                }
            }
            Value::Object(extra) if key == EXTRA && clean(extra) => {
                for (key, value) in extra {
                    let list = value.as_array().filter(|_| is_by_class(key));
                    match (list, &classes) {
                        (Some(list), Some(classes)) => {
                            let each = classes.iter().zip(list);
                            document.extend(
                                each.map(|(name, value)| (format!("{EXTRA}.{key}.{name}"), value.clone())),
                            );
                        }
                        _ => flatten(format!("{EXTRA}.{key}"), value, 2, &mut document),
                    }
                }
            }
            _ if NAMED.contains(&key.as_str()) || key == EXTRA => {
                document.insert(key.clone(), value.clone());
            }
            _ => flatten(key.clone(), value, 1, &mut document),
        }
    }
    document
}

/// The names of a list of things that all have one, each another.
fn names_of(list: &Value) -> Option<Vec<&str>> {
    let mut seen = BTreeSet::new();
    let each = list.as_array()?.iter().map(|thing| {
        let fields = thing.as_object().filter(|fields| clean(fields))?;
        let name = fields.get("name")?.as_str().filter(|name| !name.is_empty())?;
        let plain = fields.values().all(|value| !value.is_object());
        (plain && seen.insert(name)).then_some(name)
    });
    each.collect()
}

/// An object whose keys can be parts of keys in dots.
fn clean(object: &Map<String, Value>) -> bool {
    object.keys().all(|key| !key.is_empty() && !key.contains('.'))
}

fn is_by_class(key: &str) -> bool {
    BY_CLASS.iter().any(|(list, _)| *list == key)
}

fn name_out(list: &str, thing: &Value, document: &mut Document) {
    let Some((fields, name)) =
        thing.as_object().and_then(|fields| Some((fields, fields.get("name")?.as_str()?)))
    else {
        return;
    };
    let told = fields.iter().filter(|(key, _)| *key != "name");
    document.extend(told.map(|(key, value)| (format!("{list}.{name}.{key}"), value.clone())));
    if fields.len() == 1 {
        document.insert(format!("{list}.{name}"), Value::Object(Map::new()));
    }
}

fn flatten(at: String, value: &Value, parts: usize, document: &mut Document) {
    match value {
        Value::Object(fields) if !fields.is_empty() && clean(fields) && parts < MOST_PARTS => {
            for (key, value) in fields {
                flatten(format!("{at}.{key}"), value, parts + 1, document);
            }
        }
        _ => {
            document.insert(at, value.clone());
        }
    }
}

/// What follows the list's name and a dot in a key.
fn in_list<'a>(key: &'a str, list: &str) -> Option<&'a str> {
    key.strip_prefix(list)?.strip_prefix('.')
}

/// The settings that a document stands for; lists of named things by their names.
///
/// # Errors
/// The key that has no place in settings.
pub fn from_document(document: &Document) -> Result<Value, Fault> {
    if document.len() > MOST_KEYS {
        return Err(Fault::new("", format!("has {} keys: {MOST_KEYS} are the most", document.len())));
    }
    let mut root = Map::new();
    let mut named: BTreeMap<&str, BTreeMap<&str, Map<String, Value>>> = BTreeMap::new();
    let mut by_class: BTreeMap<&str, BTreeMap<&str, &Value>> = BTreeMap::new();
    for (key, value) in document {
        if key.len() > LONGEST_KEY {
            return Err(Fault::new(key.clone(), format!("is longer than {LONGEST_KEY} bytes")));
        }
        let list = NAMED.iter().find_map(|list| Some((*list, in_list(key, list)?)));
        let extra =
            in_list(key, EXTRA).and_then(|rest| rest.split_once('.')).filter(|(list, _)| is_by_class(list));
        if let Some((list, rest)) = list {
            whole(document, key, list)?;
            let things = named.entry(list).or_default();
            let (name, field) = match rest.rsplit_once('.') {
                _ if value.as_object().is_some_and(Map::is_empty) => (rest, None),
                Some((name, field)) if !name.is_empty() && !field.is_empty() && field != "name" => {
                    (name, Some(field))
                }
                _ => return Err(Fault::new(key.clone(), "names no field of something with a name")),
            };
            if name.is_empty() {
                return Err(Fault::new(key.clone(), "has no name in it"));
            }
            let fields = things.entry(name).or_default();
            if let Some(field) = field {
                fields.insert(field.to_owned(), value.clone());
            }
        } else if let Some((list, name)) = extra {
            whole(document, key, EXTRA)?;
            whole(document, key, &format!("{EXTRA}.{list}"))?;
            by_class.entry(list).or_default().insert(name, value);
        } else {
            put(document, key, value, &mut root)?;
        }
    }
    for (list, values) in by_class {
        let known = named.get(CLASSES);
        let classes: Vec<&str> = known.into_iter().flatten().map(|(name, _)| *name).collect();
        if let Some(name) = values.keys().find(|name| !classes.contains(name)) {
            return Err(Fault::new(format!("{EXTRA}.{list}.{name}"), "is of a class that there is not"));
        }
        let none = BY_CLASS.iter().find(|(other, _)| *other == list).map_or(0, |(_, none)| *none);
        let told = classes.iter().rposition(|name| values.contains_key(name)).map_or(0, |last| last + 1);
        let each = classes[..told].iter().map(|name| match values.get(name) {
            Some(value) => (*value).clone(),
            None => Value::from(none),
        });
        let extra = root.entry(EXTRA).or_insert_with(|| Value::Object(Map::new()));
        if let Some(extra) = extra.as_object_mut() {
            extra.insert(list.to_owned(), each.collect());
        }
    }
    for (list, things) in named {
        let each = things.into_iter().map(|(name, mut fields)| {
            fields.insert("name".to_owned(), Value::from(name));
            Value::Object(fields)
        });
        root.insert(list.to_owned(), each.collect());
    }
    Ok(Value::Object(root))
}

/// That the document has no value for the group that this key is in.
fn whole(document: &Document, key: &str, group: &str) -> Result<(), Fault> {
    match document.contains_key(group) {
        true => Err(Fault::new(key, format!("stands beside '{group}', which is one value"))),
        false => Ok(()),
    }
}

/// Puts a value at the place that its key names.
fn put(document: &Document, key: &str, value: &Value, root: &mut Map<String, Value>) -> Result<(), Fault> {
    let parts: Vec<&str> = key.split('.').collect();
    if parts.len() > MOST_PARTS || parts.iter().any(|part| part.is_empty()) {
        return Err(Fault::new(key, format!("is no key: it has an empty part, or more than {MOST_PARTS}")));
    }
    let dots = key.char_indices().filter(|(_, letter)| *letter == '.');
    for (dot, _) in dots {
        whole(document, key, &key[..dot])?;
    }
    let mut place = root;
    for part in &parts[..parts.len() - 1] {
        let group = place.entry(*part).or_insert_with(|| Value::Object(Map::new()));
        let Some(next) = group.as_object_mut() else {
            return Err(Fault::new(key, "stands in what is no group of keys"));
        };
        place = next;
    }
    if let Some(last) = parts.last() {
        place.insert((*last).to_owned(), value.clone());
    }
    Ok(())
}

/// The settings of this document, checked whole.
///
/// # Errors
/// The key at fault, and what is wrong there.
pub fn check(document: &Document) -> Result<SettingsUpdate, Fault> {
    platform::parse_settings(&from_document(document)?)
}

#[cfg(test)]
mod tests;
