//! The bytes of the messages between schedulers, workers, discovery and control machines: HTTP heads and bodies as the program
//! writes them, and the JSON lines of discovery's protocol.

use serde::Serialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

/// An HTTP request. `Content-Length` is written for every POST and wherever there is a body.
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

/// An HTTP response with `Content-Length`.
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

/// The head of the response to a watch request.
pub const WATCH_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The response of a control machine to a learner's report of the version in force.
pub const NO_CONTENT: &[u8] = b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n";

/// One line of a watch as one HTTP chunk. An empty `line` is the keepalive.
pub fn chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}

/// One worker in the list; the field order is that of the discovery protocol.
#[derive(Clone, Debug, Serialize)]
pub struct WorkerLine {
    /// Name of the worker.
    pub host: String,
    /// Address that the worker listens on, as `host:port`.
    pub dial: String,
    /// Name of the zone.
    pub site: String,
    /// Name of the kind of machine.
    pub class: String,
    /// Number of the cell.
    pub block: u32,
    /// `in_service`, `terminating` or `terminated`.
    pub health: &'static str,
    /// Weight of the worker relative to others; 1.0 in the simulation.
    pub share: f64,
    /// Last start of the process, as Unix time in milliseconds; 0 means long ago.
    pub born_ms: u64,
}

/// A version of the worker list, or the changes since another version, as one line of JSON.
#[derive(Serialize)]
pub struct ListMessage<'a> {
    /// Version number of the list.
    pub seq: u64,
    /// True if `hosts` holds all workers, false if it holds only the changed ones.
    pub whole: bool,
    /// The workers.
    pub hosts: &'a [WorkerLine],
}

impl ListMessage<'_> {
    /// The JSON text without the line feed.
    pub fn text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Request for a watch of the list from version `from` on.
pub fn watch_request(from: u64) -> Vec<u8> {
    http_request("GET", &format!("/discovery/hosts?watch=1&from={from}"), &[("Host", "discovery")], b"")
}

/// Request for the whole list.
pub fn list_request() -> Vec<u8> {
    http_request("GET", "/discovery/hosts", &[("Host", "discovery")], b"")
}

/// Probe request for the load of a worker.
pub fn probe_request() -> Vec<u8> {
    http_request("GET", "/metrics/load", &[("Host", "origin.svc")], b"")
}

/// Probe response: accepted tasks (`inflight`), the waiting ones among them (`queue`), and free slots (`x0`).
pub fn probe_response(inflight: usize, queue: usize, free: usize) -> Vec<u8> {
    let body = format!("{{\"inflight\":{inflight},\"queue\":{queue},\"x0\":{free}}}");
    http_response(200, "OK", &[("Content-Type", "application/json")], body.as_bytes())
}

/// A line of a control machine's watch, in the program's format.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ControlLine {
    /// The version that the learner has once it has read this line.
    pub seq: u64,
    /// True if `settings` holds the complete settings.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub whole: bool,
    /// True if the machine is in contact with a majority of the control machines.
    pub majority: bool,
    /// Digest of the version.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub digest: String,
    /// Digest of the version that the change applies to.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub from: String,
    /// Keys with a new value.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub set: BTreeMap<String, Value>,
    /// Removed keys.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub unset: BTreeSet<String>,
    /// All keys and values, where `whole` is true.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub settings: BTreeMap<String, Value>,
}

impl ControlLine {
    /// The JSON text without the line feed.
    pub fn text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Request of a learner for a watch at a control machine, from version `seq` with this digest on.
pub fn control_watch_request(seq: u64, digest: &str, name: &str) -> Vec<u8> {
    let target = format!("/control/versions?watch=1&from={seq}&digest={digest}&name={name}");
    http_request("GET", &target, &[("Host", "control")], b"")
}

/// Report of the learner `name` that version `seq` is in force.
pub fn in_force_report(name: &str, seq: u64) -> Vec<u8> {
    let body = format!("{{\"name\":\"{name}\",\"seq\":{seq}}}");
    http_request(
        "POST",
        "/control/in-force",
        &[("Host", "control"), ("Connection", "close")],
        body.as_bytes(),
    )
}
