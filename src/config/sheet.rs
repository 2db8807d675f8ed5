//! Reading one node of an operator file: typed values by key, with units, and every fault with its place and mend.

use bytesize::ByteSize;
use calicolb::api::Micros;
use kdl::{KdlNode, KdlValue};
use miette::{Diagnostic, NamedSource, SourceSpan};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// One thing that is wrong with an operator file.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{message}")]
pub struct Fault {
    message: String,
    #[source_code]
    file: NamedSource<Arc<String>>,
    #[label("here")]
    at: SourceSpan,
    #[help]
    mend: String,
}

/// All that is wrong with an operator file, in the order of its lines.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{name}: {} of its settings cannot be used", faults.len())]
pub struct Faults {
    name: String,
    #[related]
    faults: Vec<Fault>,
}

/// A file that is being read, and what was found wrong so far.
pub struct Reading {
    name: String,
    text: Arc<String>,
    faults: RefCell<Vec<Fault>>,
}

impl Reading {
    /// Begins to read a file of this name with this text.
    pub fn new(name: &str, text: &str) -> Reading {
        Reading { name: name.to_owned(), text: Arc::new(text.to_owned()), faults: RefCell::default() }
    }

    /// Notes a fault: what is wrong, where, and what to do about it.
    pub fn fault(&self, at: SourceSpan, message: impl Into<String>, mend: impl Into<String>) {
        let file = NamedSource::new(&self.name, Arc::clone(&self.text));
        let (message, mend) = (message.into(), mend.into());
        self.faults.borrow_mut().push(Fault { message, file, at, mend });
    }

    /// What was read, if nothing is wrong with it.
    pub fn end<T>(self, read: T) -> Result<T, Faults> {
        let mut faults = self.faults.into_inner();
        faults.sort_by_key(|fault| fault.at.offset());
        if faults.is_empty() { Ok(read) } else { Err(Faults { name: self.name, faults }) }
    }
}

/// A value and where it stands.
#[derive(Clone, Copy)]
struct Entry<'a> {
    value: &'a KdlValue,
    at: SourceSpan,
}

/// One node: its arguments, and its settings, which may stand behind it (`aim="1s"`) or within it (`aim "1s"`).
pub struct Sheet<'a> {
    reading: &'a Reading,
    /// What the node is called.
    what: &'a str,
    at: SourceSpan,
    arguments: Vec<Entry<'a>>,
    settings: BTreeMap<&'a str, Vec<Entry<'a>>>,
    known: RefCell<Vec<&'static str>>,
}

impl<'a> Sheet<'a> {
    /// Takes a node apart.
    pub fn new(reading: &'a Reading, node: &'a KdlNode) -> Sheet<'a> {
        let entry = |entry: &'a kdl::KdlEntry| Entry { value: entry.value(), at: entry.span() };
        let mut settings: BTreeMap<&str, Vec<Entry<'_>>> = BTreeMap::new();
        let mut twice = |key: &'a str, values: Vec<Entry<'a>>, at: SourceSpan| {
            if settings.insert(key, values).is_some() {
                reading.fault(at, format!("'{key}' is set twice"), "keep one of the two");
            }
        };
        for property in node.entries().iter().filter(|entry| entry.name().is_some()) {
            let key = property.name().map_or("", |name| name.value());
            twice(key, vec![entry(property)], property.span());
        }
        for child in node.children().into_iter().flat_map(|children| children.nodes()) {
            let values = child.entries().iter().map(entry).collect();
            twice(child.name().value(), values, child.name().span());
        }
        Sheet {
            reading,
            what: node.name().value(),
            at: node.name().span(),
            arguments: node.entries().iter().filter(|entry| entry.name().is_none()).map(entry).collect(),
            settings,
            known: RefCell::default(),
        }
    }

    /// Where the node stands.
    pub fn at(&self) -> SourceSpan {
        self.at
    }

    /// Notes a fault at the value of a key, or at the node where it has none.
    pub fn fault(&self, key: &str, message: impl Into<String>, mend: impl Into<String>) {
        let entry = self.settings.get(key).and_then(|values| values.first());
        self.reading.fault(entry.map_or(self.at, |entry| entry.at), message, mend);
    }

    /// The name behind the node's word.
    pub fn name(&self) -> Option<&'a str> {
        let name = self.arguments.first().and_then(|entry| entry.value.as_string());
        let sound = |name: &&str| {
            (1..=64).contains(&name.len())
                && name.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
        };
        let sound = name.filter(sound);
        if sound.is_none() {
            let mend = format!("write {} \"a-name\": 1 to 64 letters, digits, '-', '_' or '.'", self.what);
            self.reading.fault(self.at, format!("'{}' has no name that can be used", self.what), mend);
        }
        sound
    }

    /// The text of a key, without a word on whether it is any.
    pub fn peek(&self, key: &str) -> Option<&'a str> {
        self.settings.get(key)?.first()?.value.as_string()
    }

    fn one(&self, key: &'static str) -> Option<Entry<'a>> {
        self.known.borrow_mut().push(key);
        let values = self.settings.get(key)?;
        if values.len() != 1 {
            self.fault(key, format!("'{key}' has {} values", values.len()), "give it one value");
        }
        values.first().copied()
    }

    fn read<T>(&self, key: &'static str, due: &str, read: impl Fn(&'a KdlValue) -> Option<T>) -> Option<T> {
        let entry = self.one(key)?;
        let value = read(entry.value);
        if value.is_none() {
            let message = format!("'{key}' is {}", entry.value);
            self.reading.fault(entry.at, message, format!("write {due}"));
        }
        value
    }

    /// Text.
    pub fn text(&self, key: &'static str) -> Option<&'a str> {
        self.read(key, &format!("text: {key}=\"...\""), KdlValue::as_string)
    }

    /// Several texts.
    pub fn texts(&self, key: &'static str) -> Option<Vec<&'a str>> {
        self.known.borrow_mut().push(key);
        let values = self.settings.get(key)?;
        let text = |entry: &Entry<'a>| {
            let text = entry.value.as_string();
            if text.is_none() {
                let message = format!("'{key}' holds {}", entry.value);
                self.reading.fault(entry.at, message, format!("write names: {key} \"one\" \"other\""));
            }
            text
        };
        Some(values.iter().filter_map(text).collect())
    }

    /// One of these words.
    pub fn choice<T: Copy>(&self, key: &'static str, words: &[(&str, T)]) -> Option<T> {
        let all: Vec<String> = words.iter().map(|(word, _)| format!("\"{word}\"")).collect();
        let found = |value: &KdlValue| {
            let word = value.as_string()?;
            words.iter().find(|(known, _)| *known == word).map(|(_, meaning)| *meaning)
        };
        self.read(key, &format!("one of {}", all.join(", ")), found)
    }

    /// Yes or no.
    pub fn flag(&self, key: &'static str) -> Option<bool> {
        self.read(key, "#true or #false", KdlValue::as_bool)
    }

    /// A whole number from this one to that.
    pub fn whole(&self, key: &'static str, least: u64, most: u64) -> Option<u64> {
        let fits = |value: &KdlValue| {
            let number = u64::try_from(value.as_integer()?).ok()?;
            (least..=most).contains(&number).then_some(number)
        };
        self.read(key, &format!("a whole number from {least} to {most}"), fits)
    }

    /// A number from this one to that.
    pub fn number(&self, key: &'static str, least: f64, most: f64) -> Option<f64> {
        let fits = |value: &KdlValue| {
            let number = value.as_float().or_else(|| value.as_integer().map(|number| number as f64))?;
            (least..=most).contains(&number).then_some(number)
        };
        self.read(key, &format!("a number from {least} to {most}"), fits)
    }

    /// A time with its unit.
    pub fn time(&self, key: &'static str, least: Micros, most: Micros) -> Option<Micros> {
        let fits = |value: &KdlValue| {
            let time = humantime::parse_duration(value.as_string()?).ok()?;
            let time = Micros::try_from(time.as_micros()).ok()?;
            (least..=most).contains(&time).then_some(time)
        };
        let span = |time| humantime::format_duration(std::time::Duration::from_micros(time));
        let due = format!("a time with its unit, from \"{}\" to \"{}\"", span(least), span(most));
        self.read(key, &due, fits)
    }

    /// A size with its unit, in bytes.
    pub fn size(&self, key: &'static str, least: u64, most: u64) -> Option<u64> {
        let fits = |value: &KdlValue| {
            let text = value.as_string()?;
            // A bare number would be taken for bytes.
            let unit = text.bytes().any(|byte| byte.is_ascii_alphabetic());
            let size = text.parse::<ByteSize>().ok().filter(|_| unit)?.as_u64();
            (least..=most).contains(&size).then_some(size)
        };
        let due = |size| ByteSize(size).display().iec().to_string().replace(' ', "");
        self.read(key, &format!("a size with its unit, from \"{}\" to \"{}\"", due(least), due(most)), fits)
    }

    /// An address with a port.
    pub fn address(&self, key: &'static str) -> Option<SocketAddr> {
        let read = |value: &KdlValue| value.as_string()?.parse().ok();
        self.read(key, "an address with a port: \"127.0.0.1:8080\"", read)
    }

    /// One of the names that other nodes have; gives its place among them.
    pub fn one_of(&self, key: &'static str, what: &str, names: &[&str]) -> Option<usize> {
        let name = self.text(key)?;
        let found = names.iter().position(|known| *known == name);
        if found.is_none() {
            self.fault(key, format!("there is no {what} \"{name}\""), like(name, names.iter().copied()));
        }
        found
    }

    /// Notes that a setting must be there.
    pub fn needed<T>(&self, key: &'static str, example: &str, value: Option<T>) -> Option<T> {
        if value.is_none() && !self.settings.contains_key(key) {
            let message = format!("'{}' has no '{key}'", self.what);
            self.reading.fault(self.at, message, format!("add {key}={example}"));
        }
        value
    }

    /// Notes every setting that nobody asked for: a misspelt key must not be passed over.
    pub fn close(&self) {
        let known = self.known.borrow();
        for (key, values) in self.settings.iter().filter(|(key, _)| !known.contains(*key)) {
            let at = values.first().map_or(self.at, |entry| entry.at);
            let message = format!("'{}' has no setting '{key}'", self.what);
            self.reading.fault(at, message, like(key, known.iter().copied()));
        }
    }
}

/// The names that there are, the likeliest first.
pub fn like<'b>(name: &str, names: impl Iterator<Item = &'b str>) -> String {
    let mut names: Vec<&str> = names.collect();
    names.sort_by(|a, b| {
        let near = |other: &str| strsim::jaro_winkler(name, other);
        near(b).total_cmp(&near(a))
    });
    match names.first() {
        Some(first) if strsim::jaro_winkler(name, first) > 0.8 => format!("did you mean \"{first}\"?"),
        Some(_) => format!("there are: {}", names.join(", ")),
        None => "there are none yet".to_owned(),
    }
}
