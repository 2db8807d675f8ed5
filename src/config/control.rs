//! Reads the operator file of a control machine.

use super::agreed::{SharedSettingsCheck, shared_settings};
use super::document;
use super::operator::parse_kdl;
use super::settings_reader::{DiagnosticCollector, SettingsReader, suggest_name};
use calicolb_consensus::{Check, Document};
use kdl::KdlDocument;
use miette::{IntoDiagnostic, Report, WrapErr};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The largest number of learners that may watch one control machine at once, if the file does not set `learners`.
const DEFAULT_MAX_LEARNERS: u64 = 400;
/// The largest number of control machines. More would only make agreement slower, since a larger majority must answer.
const MAX_MACHINES: usize = 9;

/// The configuration of a control machine.
pub struct ControlConfig {
    /// The machine's name, for the log.
    pub name: String,
    /// The machine's number: its position in `machines`, counted from 1.
    pub id: u64,
    /// The address on which the machine accepts connections.
    pub listen: SocketAddr,
    /// The addresses at which the control machines reach each other, in the order of their numbers.
    pub machines: Vec<SocketAddr>,
    /// The directory of the machine's store, which keeps the agreed versions across restarts.
    pub store: PathBuf,
    /// The largest number of learners that may watch this machine at once.
    pub max_learners: usize,
    /// The settings to propose as the first version, if none has been agreed yet.
    pub initial_settings: Option<Document>,
}

impl ControlConfig {
    /// Reads the operator file of a control machine. Relative paths in it are resolved against the file's directory.
    ///
    /// # Errors
    /// A report that shows each error in the file with line, column, key and advice on how to correct it.
    pub fn from_operator_file(path: &Path) -> Result<ControlConfig, Report> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .into_diagnostic()
            .wrap_err_with(|| format!("the operator file {name} cannot be read"))?;
        let collector = DiagnosticCollector::new(&name, &text);
        let config = parse_kdl(&collector, &text).and_then(|document| {
            read(&collector, &document, path.parent().unwrap_or_else(|| Path::new(".")))
        });
        let config = collector.finish(config).map_err(Report::new)?;
        config.ok_or_else(|| {
            miette::miette!("{name}: the file is incomplete, but no error was recorded for it")
        })
    }
}

fn read(collector: &DiagnosticCollector, document: &KdlDocument, directory: &Path) -> Option<ControlConfig> {
    let single_node = |node_name: &str| {
        let mut nodes = document.nodes().iter().filter(|node| node.name().value() == node_name);
        let first = nodes.next();
        if let Some(second) = nodes.next() {
            collector.report(
                second.name().span(),
                format!("the node '{node_name}' appears twice"),
                "keep one of them",
            );
        }
        first.map(|node| SettingsReader::new(collector, node))
    };
    for node in document.nodes() {
        let node_name = node.name().value();
        if !["name", "control"].contains(&node_name) {
            let help = suggest_name(node_name, ["name", "control"].into_iter());
            collector.report(
                node.name().span(),
                format!("a control machine's file cannot contain '{node_name}'"),
                help,
            );
        }
    }
    let name = single_node("name").and_then(|reader| reader.name()).unwrap_or("calicolb-control").to_owned();
    let Some(reader) = single_node("control") else {
        collector.report((0, 0).into(), "the node 'control' is missing", "see deploy/control.kdl");
        return None;
    };
    let listen = reader.required("listen", "\"127.0.0.1:7101\"", reader.address("listen"));
    let texts =
        reader.required("machines", "\"127.0.0.1:7101\" \"127.0.0.1:7102\"", reader.texts("machines"));
    let mut machines = Vec::new();
    for text in texts.into_iter().flatten() {
        match text.parse() {
            Ok(address) if machines.contains(&address) => {
                reader.report("machines", format!("'{text}' is listed twice"), "list each machine once");
            }
            Ok(address) => machines.push(address),
            Err(_) => {
                let help = "write addresses with ports: \"127.0.0.1:7101\"";
                reader.report("machines", format!("'{text}' is not an address with a port"), help);
            }
        }
    }
    if machines.len() > MAX_MACHINES {
        let message = format!("there are {} machines", machines.len());
        reader.report("machines", message, format!("list at most {MAX_MACHINES}"));
    }
    let id = reader.required("id", "1", reader.integer("id", 1, machines.len().max(1) as u64));
    let store = reader.required("store", "\"control-1\"", reader.text("store"));
    let max_learners = reader.integer("learners", 1, 20_000).unwrap_or(DEFAULT_MAX_LEARNERS);
    let settings = reader.text("settings").map(|file| read_initial_settings(&reader, &directory.join(file)));
    reader.report_unknown_keys();
    Some(ControlConfig {
        name,
        id: id?,
        listen: listen?,
        machines,
        store: directory.join(store?),
        max_learners: max_learners as usize,
        initial_settings: settings.flatten(),
    })
}

/// Reads the settings to propose as the first version. The file holds either the platform's `settings` object or the
/// platform's complete configuration, which contains that object. Scheduler-local keys are left out.
fn read_initial_settings(reader: &SettingsReader<'_>, path: &Path) -> Option<Document> {
    let report = |message: String| {
        reader.report("settings", message, "name a file with the platform's settings");
        None
    };
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => return report(format!("{} cannot be read: {error}", path.display())),
    };
    let json: serde_json::Value = match serde_json::from_str(&text) {
        Ok(json) => json,
        Err(error) => return report(format!("{}: {error}", path.display())),
    };
    let settings = shared_settings(document::to_document(json.get("settings").unwrap_or(&json)));
    match SharedSettingsCheck.check(&settings) {
        Ok(()) => Some(settings),
        Err(error) => report(format!("{}: '{}' {}", path.display(), error.key, error.reason)),
    }
}
