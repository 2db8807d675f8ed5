//! The bytes of what is written between schedulers, workers and discovery: heads and bodies as the program writes them, and
//! discovery's lines in the form of the protocol page.

use serde::Serialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

/// A request: request line, headers, the length where there is a body, an empty line, the body.
pub fn http_request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" {
        let _ = write!(head, "Content-Length: {}\r\n", body.len());
    }
    append_body(head, body)
}

/// An answer with a body of stated length.
pub fn http_response(status: u16, reason: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    append_body(head, body)
}

fn append_body(mut head: String, body: &[u8]) -> Vec<u8> {
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// The head of a watch's answer.
pub const WATCH_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The answer to a learner that tells what it has in force.
pub const NO_CONTENT: &[u8] = b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n";

/// A line of a watch, as a chunk of its own.
pub fn chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}

/// One worker in the list, in the order of the page.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerLine {
    /// The worker's name.
    pub host: String,
    /// Where it listens.
    pub dial: String,
    /// Its zone.
    pub site: String,
    /// Its kind.
    pub class: String,
    /// Its cell.
    pub block: u32,
    /// `in_service`, `terminating` or `terminated`.
    pub health: &'static str,
    /// A figure of its size.
    pub share: f64,
    /// Its last start, as Unix time in milliseconds; 0: long ago.
    pub born_ms: u64,
}

/// A version of the list, or changes, as one line of JSON.
#[derive(Serialize)]
pub struct ListMessage<'a> {
    /// The version.
    pub seq: u64,
    /// All lines are there.
    pub whole: bool,
    /// The lines.
    pub hosts: &'a [WorkerLine],
}

impl ListMessage<'_> {
    /// The line, without its end.
    pub fn text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// A call for a watch from this version on.
pub fn watch_request(from: u64) -> Vec<u8> {
    http_request("GET", &format!("/discovery/hosts?watch=1&from={from}"), &[("Host", "discovery")], b"")
}

/// A call for the whole list.
pub fn list_request() -> Vec<u8> {
    http_request("GET", "/discovery/hosts", &[("Host", "discovery")], b"")
}

/// A probe.
pub fn probe_request() -> Vec<u8> {
    http_request("GET", "/metrics/load", &[("Host", "origin.svc")], b"")
}

/// Its answer: requests in hand, of which waiting, and free slots.
pub fn probe_response(inflight: usize, queue: usize, free: usize) -> Vec<u8> {
    let body = format!("{{\"inflight\":{inflight},\"queue\":{queue},\"x0\":{free}}}");
    http_response(200, "OK", &[("Content-Type", "application/json")], body.as_bytes())
}

/// A line of a control machine's watch, in the program's form.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ControlLine {
    /// The version that is known with this line.
    pub seq: u64,
    /// All settings stand in it.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub whole: bool,
    /// The machine speaks with a majority.
    pub majority: bool,
    /// The digest of the version.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub digest: String,
    /// The digest of the version that the change rests on.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub from: String,
    /// Keys that have another value.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub set: BTreeMap<String, Value>,
    /// Keys that have gone.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub unset: BTreeSet<String>,
    /// All keys.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub settings: BTreeMap<String, Value>,
}

impl ControlLine {
    /// The line, without its end.
    pub fn text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// A learner's call for a watch at a control machine.
pub fn control_watch_request(seq: u64, digest: &str, name: &str) -> Vec<u8> {
    let target = format!("/control/versions?watch=1&from={seq}&digest={digest}&name={name}");
    http_request("GET", &target, &[("Host", "control")], b"")
}

/// A learner tells which version it has in force.
pub fn in_force_report(name: &str, seq: u64) -> Vec<u8> {
    let body = format!("{{\"name\":\"{name}\",\"seq\":{seq}}}");
    http_request(
        "POST",
        "/control/in-force",
        &[("Host", "control"), ("Connection", "close")],
        body.as_bytes(),
    )
}
