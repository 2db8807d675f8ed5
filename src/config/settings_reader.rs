//! Reads one node of a KDL operator file: typed values by key, with units, and an error message with position and advice
//! for each invalid value.

use bytesize::ByteSize;
use calicolb::api::Micros;
use kdl::{KdlNode, KdlValue};
use miette::{Diagnostic as MietteDiagnostic, NamedSource, SourceSpan};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// An error in an operator file, with its position and advice on how to correct it.
#[derive(Debug, thiserror::Error, MietteDiagnostic)]
#[error("{message}")]
pub struct Diagnostic {
    message: String,
    #[source_code]
    file: NamedSource<Arc<String>>,
    #[label("here")]
    span: SourceSpan,
    #[help]
    help: String,
}

/// All errors of an operator file, in the order of their positions.
#[derive(Debug, thiserror::Error, MietteDiagnostic)]
#[error("{name}: errors found: {}", diagnostics.len())]
pub struct Diagnostics {
    name: String,
    #[related]
    diagnostics: Vec<Diagnostic>,
}

/// Collects the errors that are found while a file is read.
pub struct DiagnosticCollector {
    name: String,
    text: Arc<String>,
    diagnostics: RefCell<Vec<Diagnostic>>,
}

impl DiagnosticCollector {
    /// Creates an empty collector for the file with this name and text, which error messages quote.
    pub fn new(name: &str, text: &str) -> DiagnosticCollector {
        DiagnosticCollector {
            name: name.to_owned(),
            text: Arc::new(text.to_owned()),
            diagnostics: RefCell::default(),
        }
    }

    /// Records an error: its position, a message that says what is wrong, and help that says how to correct it.
    pub fn report(&self, span: SourceSpan, message: impl Into<String>, help: impl Into<String>) {
        let file = NamedSource::new(&self.name, Arc::clone(&self.text));
        let (message, help) = (message.into(), help.into());
        self.diagnostics.borrow_mut().push(Diagnostic { message, file, span, help });
    }

    /// Returns `value`, or the recorded errors if there are any.
    pub fn finish<T>(self, value: T) -> Result<T, Diagnostics> {
        let mut diagnostics = self.diagnostics.into_inner();
        diagnostics.sort_by_key(|diagnostic| diagnostic.span.offset());
        if diagnostics.is_empty() { Ok(value) } else { Err(Diagnostics { name: self.name, diagnostics }) }
    }
}

/// A value and its position in the file.
#[derive(Clone, Copy)]
struct Entry<'a> {
    value: &'a KdlValue,
    span: SourceSpan,
}

/// Reads the arguments and settings of one node. A setting is either a property (`aim="1s"`) or a child node (`aim "1s"`).
/// A method that reads a setting returns `None` if the setting is absent, and also if it is invalid, which is recorded as an
/// error.
pub struct SettingsReader<'a> {
    collector: &'a DiagnosticCollector,
    node_name: &'a str,
    span: SourceSpan,
    arguments: Vec<Entry<'a>>,
    settings: BTreeMap<&'a str, Vec<Entry<'a>>>,
    /// The keys that were read so far. [`SettingsReader::report_unknown_keys`] rejects all others.
    known_keys: RefCell<Vec<&'static str>>,
}

impl<'a> SettingsReader<'a> {
    /// Sorts the node's content into arguments and settings. Records an error for each key that is set twice.
    pub fn new(collector: &'a DiagnosticCollector, node: &'a KdlNode) -> SettingsReader<'a> {
        let entry = |entry: &'a kdl::KdlEntry| Entry { value: entry.value(), span: entry.span() };
        let mut settings: BTreeMap<&str, Vec<Entry<'_>>> = BTreeMap::new();
        let mut insert = |key: &'a str, values: Vec<Entry<'a>>, span: SourceSpan| {
            if settings.insert(key, values).is_some() {
                collector.report(span, format!("'{key}' is set twice"), "keep one of the two");
            }
        };
        for property in node.entries().iter().filter(|entry| entry.name().is_some()) {
            let key = property.name().map_or("", |name| name.value());
            insert(key, vec![entry(property)], property.span());
        }
        for child in node.children().into_iter().flat_map(|children| children.nodes()) {
            let values = child.entries().iter().map(entry).collect();
            insert(child.name().value(), values, child.name().span());
        }
        SettingsReader {
            collector,
            node_name: node.name().value(),
            span: node.name().span(),
            arguments: node.entries().iter().filter(|entry| entry.name().is_none()).map(entry).collect(),
            settings,
            known_keys: RefCell::default(),
        }
    }

    /// Returns the position of the node's name.
    pub fn span(&self) -> SourceSpan {
        self.span
    }

    /// Records an error at the first value of a key, or at the node's name if the key is absent.
    pub fn report(&self, key: &str, message: impl Into<String>, help: impl Into<String>) {
        let entry = self.settings.get(key).and_then(|values| values.first());
        self.collector.report(entry.map_or(self.span, |entry| entry.span), message, help);
    }

    /// Returns the node's first argument, which must be a valid name: 1 to 64 ASCII letters, digits, '-', '_' or '.'.
    pub fn name(&self) -> Option<&'a str> {
        let name = self.arguments.first().and_then(|entry| entry.value.as_string());
        let is_valid = |name: &&str| {
            (1..=64).contains(&name.len())
                && name.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
        };
        let valid_name = name.filter(is_valid);
        if valid_name.is_none() {
            let help =
                format!("write {} \"a-name\": 1 to 64 letters, digits, '-', '_' or '.'", self.node_name);
            self.collector.report(self.span, format!("'{}' has no valid name", self.node_name), help);
        }
        valid_name
    }

    /// Returns the first value of a key, if it is text. Neither records an error nor marks the key as known.
    pub fn peek_text(&self, key: &str) -> Option<&'a str> {
        self.settings.get(key)?.first()?.value.as_string()
    }

    fn single_entry(&self, key: &'static str) -> Option<Entry<'a>> {
        self.known_keys.borrow_mut().push(key);
        let values = self.settings.get(key)?;
        if values.len() != 1 {
            self.report(key, format!("'{key}' has {} values", values.len()), "give it one value");
        }
        values.first().copied()
    }

    fn parse<T>(
        &self,
        key: &'static str,
        expected: &str,
        parse: impl Fn(&'a KdlValue) -> Option<T>,
    ) -> Option<T> {
        let entry = self.single_entry(key)?;
        let value = parse(entry.value);
        if value.is_none() {
            let message = format!("'{key}' is {}", entry.value);
            self.collector.report(entry.span, message, format!("write {expected}"));
        }
        value
    }

    /// Reads a text.
    pub fn text(&self, key: &'static str) -> Option<&'a str> {
        self.parse(key, &format!("text: {key}=\"...\""), KdlValue::as_string)
    }

    /// Reads a list of texts. Values that are not text are recorded as errors and left out.
    pub fn texts(&self, key: &'static str) -> Option<Vec<&'a str>> {
        self.known_keys.borrow_mut().push(key);
        let values = self.settings.get(key)?;
        let text = |entry: &Entry<'a>| {
            let text = entry.value.as_string();
            if text.is_none() {
                let message = format!("'{key}' contains {}", entry.value);
                self.collector.report(entry.span, message, format!("write names: {key} \"one\" \"other\""));
            }
            text
        };
        Some(values.iter().filter_map(text).collect())
    }

    /// Reads one of the given words and returns the value that belongs to it.
    pub fn choice<T: Copy>(&self, key: &'static str, choices: &[(&str, T)]) -> Option<T> {
        let words: Vec<String> = choices.iter().map(|(word, _)| format!("\"{word}\"")).collect();
        let find = |value: &KdlValue| {
            let text = value.as_string()?;
            choices.iter().find(|(word, _)| *word == text).map(|(_, choice)| *choice)
        };
        self.parse(key, &format!("one of {}", words.join(", ")), find)
    }

    /// Reads a boolean.
    pub fn flag(&self, key: &'static str) -> Option<bool> {
        self.parse(key, "#true or #false", KdlValue::as_bool)
    }

    /// Reads a whole number from `min` to `max`.
    pub fn integer(&self, key: &'static str, min: u64, max: u64) -> Option<u64> {
        let in_range = |value: &KdlValue| {
            let number = u64::try_from(value.as_integer()?).ok()?;
            (min..=max).contains(&number).then_some(number)
        };
        self.parse(key, &format!("a whole number from {min} to {max}"), in_range)
    }

    /// Reads a number from `min` to `max`.
    pub fn number(&self, key: &'static str, min: f64, max: f64) -> Option<f64> {
        let in_range = |value: &KdlValue| {
            let number = value.as_float().or_else(|| value.as_integer().map(|number| number as f64))?;
            (min..=max).contains(&number).then_some(number)
        };
        self.parse(key, &format!("a number from {min} to {max}"), in_range)
    }

    /// Reads a duration with its unit, such as `"900ms"`, from `min` to `max`.
    pub fn duration(&self, key: &'static str, min: Micros, max: Micros) -> Option<Micros> {
        let in_range = |value: &KdlValue| {
            let duration = humantime::parse_duration(value.as_string()?).ok()?;
            let duration = Micros::try_from(duration.as_micros()).ok()?;
            (min..=max).contains(&duration).then_some(duration)
        };
        let format = |duration| humantime::format_duration(std::time::Duration::from_micros(duration));
        let expected = format!("a time with its unit, from \"{}\" to \"{}\"", format(min), format(max));
        self.parse(key, &expected, in_range)
    }

    /// Reads a size with its unit, such as `"64KiB"`, from `min` to `max` bytes. Returns bytes.
    pub fn byte_size(&self, key: &'static str, min: u64, max: u64) -> Option<u64> {
        let in_range = |value: &KdlValue| {
            let text = value.as_string()?;
            // Without this check, a number without a unit would be accepted as bytes.
            let has_unit = text.bytes().any(|byte| byte.is_ascii_alphabetic());
            let size = text.parse::<ByteSize>().ok().filter(|_| has_unit)?.as_u64();
            (min..=max).contains(&size).then_some(size)
        };
        let format = |size| ByteSize(size).display().iec().to_string().replace(' ', "");
        self.parse(
            key,
            &format!("a size with its unit, from \"{}\" to \"{}\"", format(min), format(max)),
            in_range,
        )
    }

    /// Reads a socket address: IP address and port.
    pub fn address(&self, key: &'static str) -> Option<SocketAddr> {
        let parse = |value: &KdlValue| value.as_string()?.parse().ok();
        self.parse(key, "an address with a port: \"127.0.0.1:8080\"", parse)
    }

    /// Reads the name of another node and returns its index in `names`. `kind` is the word for
    /// such a node in error messages, for example `class`.
    pub fn name_index(&self, key: &'static str, kind: &str, names: &[&str]) -> Option<usize> {
        let name = self.text(key)?;
        let index = names.iter().position(|known| *known == name);
        if index.is_none() {
            self.report(
                key,
                format!("there is no {kind} \"{name}\""),
                suggest_name(name, names.iter().copied()),
            );
        }
        index
    }

    /// Returns `value`, which was read from `key`, and records an error if the key is absent.
    pub fn required<T>(&self, key: &'static str, example: &str, value: Option<T>) -> Option<T> {
        if value.is_none() && !self.settings.contains_key(key) {
            let message = format!("'{}' has no '{key}'", self.node_name);
            self.collector.report(self.span, message, format!("add {key}={example}"));
        }
        value
    }

    /// Records an error for each setting of the node that was not read, so that a misspelt key is not ignored. Must be called
    /// after all known settings were read.
    pub fn report_unknown_keys(&self) {
        let known = self.known_keys.borrow();
        for (key, values) in self.settings.iter().filter(|(key, _)| !known.contains(*key)) {
            let span = values.first().map_or(self.span, |entry| entry.span);
            let message = format!("'{}' has no setting '{key}'", self.node_name);
            self.collector.report(span, message, suggest_name(key, known.iter().copied()));
        }
    }
}

/// Returns the help for an unknown name: the most similar known name, or all known names if none is similar.
pub fn suggest_name<'b>(name: &str, known: impl Iterator<Item = &'b str>) -> String {
    let mut known: Vec<&str> = known.collect();
    known.sort_by(|a, b| {
        let similarity = |other: &str| strsim::jaro_winkler(name, other);
        similarity(b).total_cmp(&similarity(a))
    });
    match known.first() {
        Some(first) if strsim::jaro_winkler(name, first) > 0.8 => format!("did you mean \"{first}\"?"),
        Some(_) => format!("known names are: {}", known.join(", ")),
        None => "no names are known here".to_owned(),
    }
}
