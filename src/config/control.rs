//! The operator file of a control machine.

use super::agreed::{SharedSettingsCheck, shared_settings};
use super::document;
use super::operator::parse;
use super::sheet::{Reading, Sheet, like};
use calicolb_agreed::{Check, Document};
use kdl::KdlDocument;
use miette::{IntoDiagnostic, Report, WrapErr};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Learners that may watch one machine at once, where the file does not say.
const DEFAULT_LEARNERS: u64 = 400;
/// Machines that can agree: a majority of more would only be slower.
const MOST_MACHINES: usize = 9;

/// What a control machine is told.
pub struct ControlConfig {
    /// Its name, for the log.
    pub name: String,
    /// Its number: its place in `machines`, from 1.
    pub id: u64,
    /// Where it takes connections.
    pub listen: SocketAddr,
    /// Where all of them are reached by the others, in the order of their numbers.
    pub machines: Vec<SocketAddr>,
    /// The folder that keeps what was agreed.
    pub store: PathBuf,
    /// Learners that may watch here at once.
    pub learners: usize,
    /// The settings to begin with, where none were agreed yet.
    pub initial_settings: Option<Document>,
}

impl ControlConfig {
    /// Reads the operator file of a control machine. Relative paths in it start from its folder.
    ///
    /// # Errors
    /// A report that names every fault with file, line, column, key and mend.
    pub fn operator(path: &Path) -> Result<ControlConfig, Report> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .into_diagnostic()
            .wrap_err_with(|| format!("the operator file {name} cannot be read"))?;
        let reading = Reading::new(&name, &text);
        let config = parse(&reading, &text)
            .and_then(|document| read(&reading, &document, path.parent().unwrap_or_else(|| Path::new("."))));
        let whole = reading.end(config).map_err(Report::new)?;
        whole.ok_or_else(|| miette::miette!("{name}: it cannot be used, though no fault was found in it"))
    }
}

fn read(reading: &Reading, document: &KdlDocument, folder: &Path) -> Option<ControlConfig> {
    let one = |word: &str| {
        let mut nodes = document.nodes().iter().filter(|node| node.name().value() == word);
        let first = nodes.next();
        if let Some(second) = nodes.next() {
            reading.fault(second.name().span(), format!("there are two '{word}'"), "keep one of them");
        }
        first.map(|node| Sheet::new(reading, node))
    };
    for node in document.nodes() {
        let word = node.name().value();
        if !["name", "control"].contains(&word) {
            let mend = like(word, ["name", "control"].into_iter());
            reading.fault(node.name().span(), format!("a control machine has no '{word}'"), mend);
        }
    }
    let name = one("name").and_then(|sheet| sheet.name()).unwrap_or("calicolb-control").to_owned();
    let Some(sheet) = one("control") else {
        reading.fault((0, 0).into(), "there is no 'control'", "see deploy/control.kdl");
        return None;
    };
    let listen = sheet.needed("listen", "\"127.0.0.1:7101\"", sheet.address("listen"));
    let texts = sheet.needed("machines", "\"127.0.0.1:7101\" \"127.0.0.1:7102\"", sheet.texts("machines"));
    let mut machines = Vec::new();
    for text in texts.into_iter().flatten() {
        match text.parse() {
            Ok(at) if machines.contains(&at) => {
                sheet.fault("machines", format!("'{text}' stands there twice"), "name each machine once");
            }
            Ok(at) => machines.push(at),
            Err(_) => {
                let mend = "write addresses with ports: \"127.0.0.1:7101\"";
                sheet.fault("machines", format!("'{text}' is no address"), mend);
            }
        }
    }
    if machines.len() > MOST_MACHINES {
        let message = format!("there are {} machines", machines.len());
        sheet.fault("machines", message, format!("name {MOST_MACHINES} at most"));
    }
    let id = sheet.needed("id", "1", sheet.whole("id", 1, machines.len().max(1) as u64));
    let store = sheet.needed("store", "\"control-1\"", sheet.text("store"));
    let learners = sheet.whole("learners", 1, 20_000).unwrap_or(DEFAULT_LEARNERS);
    let settings = sheet.text("settings").map(|file| first(&sheet, &folder.join(file)));
    sheet.close();
    Some(ControlConfig {
        name,
        id: id?,
        listen: listen?,
        machines,
        store: folder.join(store?),
        learners: learners as usize,
        initial_settings: settings.flatten(),
    })
}

/// The settings to begin with. The file holds the platform's `settings`, or the whole of the platform's configuration.
fn first(sheet: &Sheet<'_>, path: &Path) -> Option<Document> {
    let fault = |message: String| {
        sheet.fault("settings", message, "name a file with the platform's settings");
        None
    };
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => return fault(format!("{} cannot be read: {error}", path.display())),
    };
    let whole: serde_json::Value = match serde_json::from_str(&text) {
        Ok(whole) => whole,
        Err(error) => return fault(format!("{}: {error}", path.display())),
    };
    let first = shared_settings(document::to_document(whole.get("settings").unwrap_or(&whole)));
    match SharedSettingsCheck.check(&first) {
        Ok(()) => Some(first),
        Err(wrong) => fault(format!("{}: '{}' {}", path.display(), wrong.key, wrong.why)),
    }
}
