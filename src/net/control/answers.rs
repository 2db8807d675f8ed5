//! Handles the HTTP requests to a control machine, and sends new versions to its watches.

use super::learners::Watch;
use super::machine::{AGREEMENT_TIMEOUT, MAX_PENDING_CHANGES, Machine, PendingChange};
use super::messages::{AcceptedChange, ChangeRequest, InForceReport, Refusal, State, WatchLine};
use crate::config::agreed::SharedSettingsCheck;
use crate::net::http::framing::{Request, query_parameter};
use calicolb::api::Micros;
use calicolb_consensus::{CatchUp, Change, Digest, Outcome, ProposeError};
use std::collections::BTreeMap;

const JSON_HEADER: (&str, &str) = ("Content-Type", "application/json");

impl Machine {
    pub(super) fn handle_request(&mut self, now: Micros, token: usize, request: &Request) {
        match (request.method.as_str(), request.path()) {
            ("POST", "/control/talk") => {
                let from = query_parameter(&request.target, "from").and_then(|text| text.parse().ok());
                let Some(from) = from.filter(|from| self.links.iter().any(|link| link.id == *from)) else {
                    return self.respond_error(
                        now,
                        token,
                        400,
                        "",
                        "it does not say which control machine it is from",
                    );
                };
                // The voter ignores a message that it cannot parse. The sender only needs to know that the message arrived.
                self.voter.receive(from, &request.body);
                self.respond(now, token, 204, &[], b"");
            }
            ("GET", "/control/versions") if query_parameter(&request.target, "watch").is_some() => {
                self.start_watch(now, token, &request.target);
            }
            ("GET", "/control/versions") => {
                let line = self.full_line();
                self.respond(now, token, 200, &[JSON_HEADER], &line);
            }
            ("GET", "/control/state") => {
                let body = to_json(&self.state());
                self.respond(now, token, 200, &[JSON_HEADER], &body);
            }
            ("POST", "/control/in-force") => match serde_json::from_slice::<InForceReport>(&request.body) {
                Ok(report) if is_valid_name(&report.name) => {
                    self.learners.record_version(now, report.name, report.seq);
                    self.respond(now, token, 204, &[], b"");
                }
                Ok(_) => self.respond_error(now, token, 400, "name", "it is no name"),
                Err(error) => self.respond_error(now, token, 400, "", &error.to_string()),
            },
            ("POST", "/control/changes") => self.handle_change(now, token, &request.body),
            (
                _,
                "/control/talk" | "/control/versions" | "/control/state" | "/control/in-force"
                | "/control/changes",
            ) => {
                self.respond_error(now, token, 405, "", "not by this method");
            }
            _ => self.respond_error(now, token, 404, "", "nothing is there"),
        }
    }

    fn respond(&mut self, now: Micros, token: usize, status: u16, extra: &[(&str, &str)], body: &[u8]) {
        let (mut io, inbound, _) = self.split_borrows(now);
        inbound.respond(&mut io, token, status, extra, body);
    }

    /// Sends an error response with the reason, and with the invalid key unless it is empty. The texts of reasons are part of
    /// the interface: programs and operators' scripts may match them, so they do not change.
    fn respond_error(&mut self, now: Micros, token: usize, status: u16, key: &str, reason: &str) {
        let body = to_json(&Refusal { key: key.to_owned(), why: reason.to_owned() });
        match status {
            503 => self.respond(now, token, status, &[JSON_HEADER, ("Retry-After", "1")], &body),
            _ => self.respond(now, token, status, &[JSON_HEADER], &body),
        }
    }

    // ---- Versions --------------------------------------------------------------------------------

    fn state(&self) -> State {
        let agreed = self.voter.decided_version();
        let learners = self.learners.in_force();
        let behind = learners.iter().filter(|(_, seq)| **seq < agreed.seq).map(|(name, _)| name.clone());
        State {
            id: self.id,
            leader: self.voter.leader(),
            majority: self.voter.has_majority(),
            seq: agreed.seq,
            digest: agreed.digest.to_string(),
            behind: behind.collect(),
            learners,
        }
    }

    fn full_line(&self) -> Vec<u8> {
        let agreed = self.voter.decided_version();
        serialize_line(&WatchLine {
            seq: agreed.seq,
            complete: true,
            majority: self.voter.has_majority(),
            digest: agreed.digest.to_string(),
            settings: (*agreed.document).clone(),
            ..WatchLine::default()
        })
    }

    /// Returns the line that says that there is no newer version.
    pub(super) fn unchanged_line(&self) -> Vec<u8> {
        let (agreed, majority) = (self.voter.decided_version(), self.voter.has_majority());
        let digest = if majority { agreed.digest.to_string() } else { String::new() };
        serialize_line(&WatchLine { seq: agreed.seq, majority, digest, ..WatchLine::default() })
    }

    /// Returns the lines that take a learner from the version with this number and digest to the agreed one.
    fn lines_since(&self, seq: u64, digest: Option<Digest>) -> Vec<u8> {
        let majority = self.voter.has_majority();
        let Some(digest) = digest else { return self.full_line() };
        match self.voter.changes_since(seq, digest) {
            CatchUp::UpToDate | CatchUp::Ahead => self.unchanged_line(),
            CatchUp::FullVersion(_) => self.full_line(),
            CatchUp::Deltas(deltas) => {
                let lines = deltas.into_iter().map(|delta| {
                    serialize_line(&WatchLine {
                        seq: delta.seq,
                        majority,
                        digest: delta.digest.to_string(),
                        base_digest: delta.from_digest.to_string(),
                        set: delta.change.set,
                        unset: delta.change.unset,
                        ..WatchLine::default()
                    })
                });
                lines.collect::<Vec<_>>().concat()
            }
        }
    }

    fn start_watch(&mut self, now: Micros, token: usize, target: &str) {
        let Some(name) = query_parameter(target, "name").filter(|name| is_valid_name(name)) else {
            return self.respond_error(now, token, 400, "name", "it is no name");
        };
        let seq = query_parameter(target, "from").and_then(|text| text.parse().ok()).unwrap_or(0);
        let digest = query_parameter(target, "digest").and_then(|text| text.parse::<Digest>().ok());
        let (mut io, inbound, _) = self.split_borrows(now);
        if !inbound.start_watch(&mut io, token) {
            return self.respond_error(
                now,
                token,
                503,
                "",
                "as many learners watch here as may: ask another machine",
            );
        }
        let name = name.to_owned();
        let lines = self.lines_since(seq, digest);
        let agreed = self.voter.decided_version();
        // A learner that is ahead of this machine keeps its number and digest, and gets lines only when this machine has caught
        // up. So does a learner with the number 0 before the first version is agreed: its settings are those of its own file.
        let (seq, digest) = if seq >= agreed.seq { (seq, digest) } else { (agreed.seq, Some(agreed.digest)) };
        let watch = Watch { name, seq, digest };
        self.learners.add_watch(token, watch);
        self.send_line(now, token, &lines);
    }

    /// Sends a line to the watch on a connection.
    pub(super) fn send_line(&mut self, now: Micros, token: usize, line: &[u8]) {
        let (mut io, inbound, _) = self.split_borrows(now);
        inbound.send_line(&mut io, token, line);
        self.remove_watch_if_closed(now, token);
    }

    /// Sends new versions, or a change of the majority, to all watches.
    pub(super) fn announce_version(&mut self, now: Micros) {
        let current = (self.voter.decided_version().seq, self.voter.has_majority());
        if current == self.last_announced {
            return;
        }
        let majority_changed = current.1 != self.last_announced.1;
        self.last_announced = current;
        let agreed = (self.voter.decided_version().seq, self.voter.decided_version().digest);
        let mut lines_by_version: BTreeMap<(u64, Option<Digest>), Vec<u8>> = BTreeMap::new();
        for token in self.learners.watch_tokens() {
            let Some(watch) = self.learners.watch_mut(token) else { continue };
            let sent_version = (watch.seq, watch.digest);
            if sent_version == (agreed.0, Some(agreed.1)) && !majority_changed {
                continue;
            }
            if watch.seq <= agreed.0 {
                (watch.seq, watch.digest) = (agreed.0, Some(agreed.1));
            }
            // Watches with the same last version need the same lines.
            let lines = match lines_by_version.get(&sent_version) {
                Some(lines) => lines.clone(),
                None => {
                    let lines = self.lines_since(sent_version.0, sent_version.1);
                    lines_by_version.insert(sent_version, lines.clone());
                    lines
                }
            };
            self.send_line(now, token, &lines);
        }
    }

    // ---- Changes ---------------------------------------------------------------------------------

    fn handle_change(&mut self, now: Micros, token: usize, body: &[u8]) {
        let request: ChangeRequest = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => return self.respond_error(now, token, 400, "", &error.to_string()),
        };
        if self.pending_changes.len() >= MAX_PENDING_CHANGES {
            return self.respond_error(now, token, 503, "", "too many changes wait to be agreed");
        }
        if self.shutting_down {
            return self.respond_error(now, token, 503, "", "this machine is ending");
        }
        let change = Change { set: request.set, unset: request.unset };
        match self.voter.propose(change, &SharedSettingsCheck) {
            Ok(ticket) => self.pending_changes.push(PendingChange {
                ticket,
                token: Some(token),
                deadline: now + AGREEMENT_TIMEOUT,
            }),
            Err(refused) => self.respond_to_rejected_change(now, token, refused),
        }
    }

    /// Answers a change request with the outcome of the change; `None` if the outcome was not known in time.
    pub(super) fn respond_to_change(&mut self, now: Micros, token: usize, outcome: Option<Outcome>) {
        match outcome {
            Some(Outcome::Decided { seq, digest }) => {
                let body = to_json(&AcceptedChange { seq, digest: digest.to_string() });
                self.respond(now, token, 200, &[JSON_HEADER], &body);
            }
            Some(Outcome::Invalidated(fault)) => {
                self.respond_error(now, token, 400, &fault.key, &fault.reason)
            }
            Some(Outcome::Unknown { sent: false }) => {
                self.respond_error(now, token, 503, "", "there is no majority of the control machines");
            }
            Some(Outcome::Unknown { sent: true }) | None => {
                self.respond_error(
                    now,
                    token,
                    503,
                    "",
                    "not agreed in time; it may yet be: look at the versions",
                );
            }
        }
    }

    fn respond_to_rejected_change(&mut self, now: Micros, token: usize, refused: ProposeError) {
        match refused {
            ProposeError::Invalid(fault) => self.respond_error(now, token, 400, &fault.key, &fault.reason),
            ProposeError::NoMajority => {
                self.respond_error(now, token, 503, "", "there is no majority of the control machines");
            }
            ProposeError::Stopped => {
                self.respond_error(now, token, 503, "", "this machine's store has failed")
            }
            ProposeError::TooManyProposals => {
                self.respond_error(now, token, 503, "", "too many changes wait to be agreed")
            }
        }
    }
}

/// Returns true if a learner's name can be written to a request line and to the log unescaped: it has 1 to 64 ASCII letters,
/// digits, '-', '_' or '.'.
fn is_valid_name(name: &str) -> bool {
    (1..=64).contains(&name.len())
        && name.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
}

fn to_json(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

fn serialize_line(line: &WatchLine) -> Vec<u8> {
    let mut bytes = to_json(line);
    bytes.push(b'\n');
    bytes
}
