//! The discovery stand-in, without sockets: the list, its versions, and requests that are answered one after the
//! other.

use super::message::{chunk, write_response};
use serde::Serialize;
use serde_json::json;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Interval after which an idle watch gets an empty line.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of changes kept for watches that start at an older version.
const MAX_KEPT_CHANGES: usize = 4_096;

/// A line of the list, with the keys of the discovery protocol.
#[derive(Clone, Debug, Serialize)]
pub struct Host {
    /// Name of the worker.
    pub host: String,
    /// Address that the worker listens on.
    pub dial: SocketAddr,
    /// Zone.
    pub site: String,
    /// Kind of machine.
    pub class: String,
    /// Cell.
    pub block: u32,
    /// `in_service`, `terminating` or `terminated`.
    pub health: &'static str,
    /// Weight.
    pub share: f64,
    /// Last start in Unix milliseconds; 0 if it was long ago.
    pub born_ms: u64,
}

/// Service times of discovery, which answers requests one after the other.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Time that each request takes.
    pub per_call: Duration,
    /// Additional time for each line of a full list.
    pub per_line: Duration,
    /// Longest wait in the queue; a request that would wait longer is rejected with status 503.
    pub max_wait: Duration,
}

impl Default for Capacity {
    fn default() -> Self {
        let micros = Duration::from_micros;
        Capacity { per_call: micros(1_000), per_line: micros(6), max_wait: Duration::from_secs(2) }
    }
}

/// The answer to a request, as bytes of the HTTP response.
#[derive(Debug)]
pub enum Answer {
    /// The full list.
    List(Vec<u8>),
    /// Response head and first object of a watch, and whether that object is the full list.
    Watch(Vec<u8>, bool),
    /// Rejection because the wait would exceed [`Capacity::max_wait`].
    Busy(Vec<u8>),
    /// The path is not known.
    NotFound(Vec<u8>),
}

/// State of the discovery service.
pub struct Discovery {
    seq: u64,
    hosts: Vec<Host>,
    changes: VecDeque<(u64, Host)>,
    capacity: Capacity,
    free_at: Instant,
    /// Number of rejected requests.
    pub rejected: u64,
}

impl Discovery {
    /// Creates a service with this list, at version 1.
    pub fn new(hosts: Vec<Host>, capacity: Capacity, now: Instant) -> Discovery {
        Discovery { seq: 1, hosts, changes: VecDeque::new(), capacity, free_at: now, rejected: 0 }
    }

    /// Returns the full list, in the form of `known` in a scheduler's configuration.
    pub fn list(&self) -> serde_json::Value {
        json!({"seq": self.seq, "whole": true, "hosts": self.hosts})
    }

    /// Returns the current lines of the list.
    pub fn hosts(&self) -> &[Host] {
        &self.hosts
    }

    fn object(&self, whole: bool, hosts: &[&Host]) -> String {
        // Keys in the order of the protocol, each object on one line.
        let hosts = serde_json::to_string(hosts).unwrap_or_else(|_| "[]".to_owned());
        format!("{{\"seq\":{},\"whole\":{whole},\"hosts\":{hosts}}}\n", self.seq)
    }

    /// Handles a request for `target`; returns the answer and the time at which it is sent.
    pub fn handle_call(&mut self, now: Instant, target: &str) -> (Instant, Answer) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        if path != "/discovery/hosts" {
            return (now, Answer::NotFound(write_response(404, "Not Found", "", "")));
        }
        let starts_at = self.free_at.max(now);
        if starts_at - now > self.capacity.max_wait {
            self.rejected += 1;
            return (now, Answer::Busy(write_response(503, "Service Unavailable", "", "")));
        }
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        if !pairs.clone().any(|(name, value)| name == "watch" && value == "1") {
            self.free_at =
                starts_at + self.capacity.per_call + self.capacity.per_line * self.hosts.len() as u32;
            let hosts: Vec<&Host> = self.hosts.iter().collect();
            let body = self.object(true, &hosts);
            return (
                self.free_at,
                Answer::List(write_response(200, "OK", "Content-Type: application/json\r\n", &body)),
            );
        }
        let from = pairs.find(|(name, _)| *name == "from").and_then(|(_, value)| value.parse::<u64>().ok());
        let oldest = self.changes.front().map_or(self.seq, |(seq, _)| seq - 1);
        let kept_from = from.filter(|&from| from >= oldest && from <= self.seq);
        let object = match kept_from {
            Some(from) => {
                self.free_at = starts_at + self.capacity.per_call;
                let since: Vec<&Host> =
                    self.changes.iter().filter(|(seq, _)| *seq > from).map(|(_, host)| host).collect();
                self.object(false, &since)
            }
            None => {
                self.free_at =
                    starts_at + self.capacity.per_call + self.capacity.per_line * self.hosts.len() as u32;
                self.object(true, &self.hosts.iter().collect::<Vec<_>>())
            }
        };
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        (self.free_at, Answer::Watch([head.as_bytes(), &chunk(&object)].concat(), kept_from.is_none()))
    }

    /// Changes a line; returns the chunk for every open watch.
    pub fn apply_change(&mut self, host: Host) -> Vec<u8> {
        self.seq += 1;
        self.hosts.retain(|known| known.host != host.host);
        if host.health != "terminated" {
            self.hosts.push(host.clone());
        }
        let text = self.object(false, &[&host]);
        self.changes.push_back((self.seq, host));
        if self.changes.len() > MAX_KEPT_CHANGES {
            self.changes.pop_front();
        }
        chunk(&text)
    }

    /// Returns the full list under a new version, as a chunk for a watch.
    pub fn republish(&mut self) -> Vec<u8> {
        self.seq += 1;
        chunk(&self.object(true, &self.hosts.iter().collect::<Vec<_>>()))
    }

    /// Returns the empty line for an idle watch, as a chunk.
    pub fn keepalive() -> Vec<u8> {
        chunk("\n")
    }
}
