//! What a control machine answers to each request, and tells its watches.

use super::learners::Watch;
use super::machine::{AGREE, CHANGES, Machine, Waiting};
use super::messages::{AcceptedChange, ChangeRequest, InForceReport, Refusal, State, WatchLine};
use crate::config::agreed::SharedSettingsCheck;
use crate::net::http::framing::{Request, query_parameter};
use calicolb::api::Micros;
use calicolb_agreed::{Answer, Change, Digest, Outcome, Refused};
use std::collections::BTreeMap;

const JSON: (&str, &str) = ("Content-Type", "application/json");

impl Machine {
    pub(super) fn request(&mut self, now: Micros, token: usize, request: &Request) {
        match (request.method.as_str(), request.path()) {
            ("POST", "/control/talk") => {
                let from = query_parameter(&request.target, "from").and_then(|text| text.parse().ok());
                let Some(from) = from.filter(|from| self.links.iter().any(|link| link.id == *from)) else {
                    return self.refuse(
                        now,
                        token,
                        400,
                        "",
                        "it does not say which control machine it is from",
                    );
                };
                // What cannot be read is no message; that it came is all that the sender must know.
                self.voter.receive(from, &request.body);
                self.answer(now, token, 204, &[], b"");
            }
            ("GET", "/control/versions") if query_parameter(&request.target, "watch").is_some() => {
                self.watch(now, token, &request.target);
            }
            ("GET", "/control/versions") => {
                let line = self.whole_line();
                self.answer(now, token, 200, &[JSON], &line);
            }
            ("GET", "/control/state") => {
                let body = to_json(&self.state());
                self.answer(now, token, 200, &[JSON], &body);
            }
            ("POST", "/control/in-force") => match serde_json::from_slice::<InForceReport>(&request.body) {
                Ok(told) if fit(&told.name) => {
                    self.learners.told(now, told.name, told.seq);
                    self.answer(now, token, 204, &[], b"");
                }
                Ok(_) => self.refuse(now, token, 400, "name", "it is no name"),
                Err(error) => self.refuse(now, token, 400, "", &error.to_string()),
            },
            ("POST", "/control/changes") => self.change(now, token, &request.body),
            (
                _,
                "/control/talk" | "/control/versions" | "/control/state" | "/control/in-force"
                | "/control/changes",
            ) => {
                self.refuse(now, token, 405, "", "not by this method");
            }
            _ => self.refuse(now, token, 404, "", "nothing is there"),
        }
    }

    fn answer(&mut self, now: Micros, token: usize, status: u16, extra: &[(&str, &str)], body: &[u8]) {
        let (mut io, inbound, _) = self.split(now);
        inbound.answer(&mut io, token, status, extra, body);
    }

    /// Says no, and why.
    fn refuse(&mut self, now: Micros, token: usize, status: u16, key: &str, why: &str) {
        let body = to_json(&Refusal { key: key.to_owned(), why: why.to_owned() });
        match status {
            503 => self.answer(now, token, status, &[JSON, ("Retry-After", "1")], &body),
            _ => self.answer(now, token, status, &[JSON], &body),
        }
    }

    // ---- Versions --------------------------------------------------------------------------------

    fn state(&self) -> State {
        let agreed = self.voter.agreed();
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

    fn whole_line(&self) -> Vec<u8> {
        let agreed = self.voter.agreed();
        line(&WatchLine {
            seq: agreed.seq,
            complete: true,
            majority: self.voter.has_majority(),
            digest: agreed.digest.to_string(),
            settings: (*agreed.document).clone(),
            ..WatchLine::default()
        })
    }

    /// That there is nothing new.
    pub(super) fn level_line(&self) -> Vec<u8> {
        let (agreed, majority) = (self.voter.agreed(), self.voter.has_majority());
        let digest = if majority { agreed.digest.to_string() } else { String::new() };
        line(&WatchLine { seq: agreed.seq, majority, digest, ..WatchLine::default() })
    }

    /// All that a learner with this version lacks.
    fn since(&self, seq: u64, digest: Option<Digest>) -> Vec<u8> {
        let majority = self.voter.has_majority();
        let Some(digest) = digest else { return self.whole_line() };
        match self.voter.since(seq, digest) {
            Answer::Level | Answer::Ahead => self.level_line(),
            Answer::Whole(_) => self.whole_line(),
            Answer::Deltas(deltas) => {
                let lines = deltas.into_iter().map(|delta| {
                    line(&WatchLine {
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

    fn watch(&mut self, now: Micros, token: usize, target: &str) {
        let Some(name) = query_parameter(target, "name").filter(|name| fit(name)) else {
            return self.refuse(now, token, 400, "name", "it is no name");
        };
        let seq = query_parameter(target, "from").and_then(|text| text.parse().ok()).unwrap_or(0);
        let digest = query_parameter(target, "digest").and_then(|text| text.parse::<Digest>().ok());
        let (mut io, inbound, _) = self.split(now);
        if !inbound.watch(&mut io, token) {
            return self.refuse(
                now,
                token,
                503,
                "",
                "as many learners watch here as may: ask another machine",
            );
        }
        let name = name.to_owned();
        let lines = self.since(seq, digest);
        let agreed = self.voter.agreed();
        // One that is ahead of this machine is told on when this machine has come further. Before the first version each
        // learner has settings of its own under the number 0.
        let (seq, digest) = if seq >= agreed.seq { (seq, digest) } else { (agreed.seq, Some(agreed.digest)) };
        let watch = Watch { name, seq, digest };
        self.learners.begin(token, watch);
        self.tell(now, token, &lines);
    }

    pub(super) fn tell(&mut self, now: Micros, token: usize, line: &[u8]) {
        let (mut io, inbound, _) = self.split(now);
        inbound.tell(&mut io, token, line);
        self.gone(now, token);
    }

    /// Tells the watches what is new.
    pub(super) fn tell_all(&mut self, now: Micros) {
        let present = (self.voter.agreed().seq, self.voter.has_majority());
        if present == self.told {
            return;
        }
        let moved = present.1 != self.told.1;
        self.told = present;
        let agreed = (self.voter.agreed().seq, self.voter.agreed().digest);
        let mut written: BTreeMap<(u64, Option<Digest>), Vec<u8>> = BTreeMap::new();
        for token in self.learners.tokens() {
            let Some(watch) = self.learners.watch(token) else { continue };
            let known = (watch.seq, watch.digest);
            if known == (agreed.0, Some(agreed.1)) && !moved {
                continue;
            }
            if watch.seq <= agreed.0 {
                (watch.seq, watch.digest) = (agreed.0, Some(agreed.1));
            }
            // All that were told the same version lack the same.
            let lines = match written.get(&known) {
                Some(lines) => lines.clone(),
                None => {
                    let lines = self.since(known.0, known.1);
                    written.insert(known, lines.clone());
                    lines
                }
            };
            self.tell(now, token, &lines);
        }
    }

    // ---- Changes ---------------------------------------------------------------------------------

    fn change(&mut self, now: Micros, token: usize, body: &[u8]) {
        let wanted: ChangeRequest = match serde_json::from_slice(body) {
            Ok(wanted) => wanted,
            Err(error) => return self.refuse(now, token, 400, "", &error.to_string()),
        };
        if self.waiting.len() >= CHANGES {
            return self.refuse(now, token, 503, "", "too many changes wait to be agreed");
        }
        if self.ending {
            return self.refuse(now, token, 503, "", "this machine is ending");
        }
        let change = Change { set: wanted.set, unset: wanted.unset };
        match self.voter.propose(change, &SharedSettingsCheck) {
            Ok(ticket) => self.waiting.push(Waiting { ticket, token: Some(token), until: now + AGREE }),
            Err(refused) => self.refused(now, token, refused),
        }
    }

    /// Answers a change with what became of it; `None` where that is not known in time.
    pub(super) fn settled(&mut self, now: Micros, token: usize, outcome: Option<Outcome>) {
        match outcome {
            Some(Outcome::Agreed { seq, digest }) => {
                let body = to_json(&AcceptedChange { seq, digest: digest.to_string() });
                self.answer(now, token, 200, &[JSON], &body);
            }
            Some(Outcome::Void(fault)) => self.refuse(now, token, 400, &fault.key, &fault.why),
            Some(Outcome::Unknown { sent: false }) => {
                self.refuse(now, token, 503, "", "there is no majority of the control machines");
            }
            Some(Outcome::Unknown { sent: true }) | None => {
                self.refuse(now, token, 503, "", "not agreed in time; it may yet be: look at the versions");
            }
        }
    }

    fn refused(&mut self, now: Micros, token: usize, refused: Refused) {
        match refused {
            Refused::Faulty(fault) => self.refuse(now, token, 400, &fault.key, &fault.why),
            Refused::NoMajority => {
                self.refuse(now, token, 503, "", "there is no majority of the control machines");
            }
            Refused::Stopped => self.refuse(now, token, 503, "", "this machine's store has failed"),
            Refused::TooMany => self.refuse(now, token, 503, "", "too many changes wait to be agreed"),
        }
    }
}

/// It can stand in a request line, and in the log.
fn fit(name: &str) -> bool {
    (1..=64).contains(&name.len())
        && name.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
}

fn to_json(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

fn line(line: &WatchLine) -> Vec<u8> {
    let mut bytes = to_json(line);
    bytes.push(b'\n');
    bytes
}
