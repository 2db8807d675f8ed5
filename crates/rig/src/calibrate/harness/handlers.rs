//! Discovery, workers and their call-backs, as the harness serves them.

use super::*;
use crate::calibrate::worker_pool::{Job, Verdict};
use std::time::{SystemTime, UNIX_EPOCH};

impl Harness {
    /// A scheduler asks discovery.
    pub(super) fn asked(&mut self, now: Instant, token: usize, message: &Message) {
        let watch = message.target.contains("watch=1");
        let flow = if watch { Flow::WatchRequested } else { Flow::ListRequested };
        self.counts.add(flow, message.length);
        let (at, answer) = self.discovery.call(now, &message.target);
        self.set(at, Due::Reply(token, answer));
    }

    pub(super) fn reply(&mut self, now: Instant, token: usize, answer: Answer) {
        let (flow, bytes) = match answer {
            Answer::List(bytes) | Answer::Busy(bytes) | Answer::Unknown(bytes) => (Flow::ListAnswered, bytes),
            Answer::Watch(bytes, whole) => {
                let Some(conn) = self.conns.get_mut(&token) else { return };
                conn.role = Role::Discovery(Some(now));
                self.set(now + BEAT, Due::Beat(token));
                (if whole { Flow::WatchFullList } else { Flow::WatchOpened }, bytes)
            }
        };
        if self.conns.contains_key(&token) {
            self.counts.add(flow, bytes.len());
            self.put(token, &bytes);
        }
    }

    /// A watch on which nothing was written for a while gets its empty line.
    pub(super) fn beat(&mut self, now: Instant, token: usize) {
        let Some(Conn { role: Role::Discovery(Some(last)), .. }) = self.conns.get_mut(&token) else { return };
        let due = *last + BEAT;
        if now < due {
            return self.set(due, Due::Beat(token));
        }
        *last = now;
        let bytes = Discovery::beat();
        self.counts.add(Flow::WatchKeepalives, bytes.len());
        self.set(now + BEAT, Due::Beat(token));
        self.put(token, &bytes);
    }

    /// Writes a chunk on every watch.
    pub(super) fn broadcast(&mut self, flow: Flow, chunk: &[u8]) {
        let now = Instant::now();
        let mut open = Vec::new();
        for (&token, conn) in &mut self.conns {
            if let Role::Discovery(Some(last)) = &mut conn.role {
                *last = now;
                open.push(token);
            }
        }
        for token in open {
            self.counts.add(flow, chunk.len());
            self.put(token, chunk);
        }
    }

    /// The list changes, and the worker with it.
    pub(super) fn turn(&mut self, now: Instant, change: Change) {
        let name = self.worker_pool.name(change.station).to_owned();
        let Some(mut host) = self.discovery.hosts().iter().find(|host| host.host == name).cloned() else {
            return;
        };
        host.health = change.health;
        let anew = change.health == "in_service";
        if anew {
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            host.born_ms = unix.as_millis() as u64;
        }
        self.worker_pool.turn(change.station, !anew, anew.then_some(now));
        let chunk = self.discovery.change(host);
        self.broadcast(Flow::WatchChanges, &chunk);
    }

    /// A scheduler asks a worker for something.
    pub(super) fn job_came(&mut self, now: Instant, token: usize, at: usize, message: &Message) {
        match (message.method.as_str(), message.target.as_str()) {
            ("GET", "/metrics/load" | "/alive") => {
                self.counts.add(Flow::ProbesRequested, message.length);
                let report = self.worker_pool.report(now, at).to_string();
                let answer =
                    message::write_response(200, "OK", "Content-Type: application/json\r\n", &report);
                self.counts.add(Flow::ProbesAnswered, answer.len());
                self.put(token, &answer);
            }
            ("DELETE", target) => {
                self.counts.add(Flow::CancelsSent, message.length);
                let id = target.strip_prefix("/jobs/").unwrap_or_default();
                let (found, effects) = self.worker_pool.give_up(now, at, id);
                let answer = match found {
                    true => message::write_response(200, "OK", "", ""),
                    false => message::write_response(404, "Not Found", "", ""),
                };
                self.counts.add(Flow::CancelsAnswered, answer.len());
                self.put(token, &answer);
                self.follow(effects);
            }
            _ => {
                self.counts.add(Flow::AttemptsSent, message.length);
                let (answer, effects) = match job(message) {
                    Some(job) => match self.worker_pool.arrive(now, at, job) {
                        (Verdict::Accepted, effects) => {
                            (message::write_response(202, "Accepted", "", ""), effects)
                        }
                        (Verdict::Rejected, effects) => {
                            let unstarted = "Not-Started: 1\r\n";
                            (message::write_response(503, "Service Unavailable", unstarted, ""), effects)
                        }
                    },
                    None => (message::write_response(404, "Not Found", "", ""), Vec::new()),
                };
                self.counts.add(Flow::AttemptsAnswered, answer.len());
                self.put(token, &answer);
                self.follow(effects);
            }
        }
    }

    /// Does what follows from a worker's step.
    pub(super) fn follow(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Wake(at, number) => self.set(at, Due::Wake(number)),
                Effect::Callback(station, id, body) => {
                    let Some(rank) = self.submitters.rank_of(&id) else {
                        self.news_dropped += 1;
                        continue;
                    };
                    self.backs.entry((station, rank)).or_default().queue.push_back((body, 0));
                    self.call_back(station, rank);
                }
            }
        }
    }

    /// Writes the next call-back, if none is on its way.
    pub(super) fn call_back(&mut self, station: usize, rank: usize) {
        let Some(back) = self.backs.get_mut(&(station, rank)).filter(|back| !back.busy) else { return };
        let Some((body, tries)) = back.queue.front_mut() else { return };
        if *tries >= NEWS_TRIES {
            back.queue.pop_front();
            self.news_dropped += 1;
            return self.call_back(station, rank);
        }
        *tries += 1;
        let json = ("Content-Type", "application/json".to_owned());
        let bytes =
            message::write_request("POST", "/_jobs/news", &[("Host", "scheduler".to_owned()), json], body);
        let token = match back.token {
            Some(token) => Some(token),
            None => {
                let made = self.homes[rank].and_then(|at| TcpStream::connect(at).ok());
                made.and_then(|stream| self.hold(stream, Role::News(station, rank)))
            }
        };
        let Some(token) = token else {
            return self.set(Instant::now() + AGAIN, Due::News(station, rank));
        };
        if let Some(back) = self.backs.get_mut(&(station, rank)) {
            (back.token, back.busy) = (Some(token), true);
        }
        self.counts.add(Flow::CallbacksSent, bytes.len());
        self.put(token, &bytes);
    }

    pub(super) fn news_answered(&mut self, token: usize, station: usize, rank: usize, message: &Message) {
        let Some(back) = self.backs.get_mut(&(station, rank)) else { return };
        back.busy = false;
        if matches!(message.status, 200 | 204) {
            back.queue.pop_front();
        }
        if message.last() {
            back.token = None;
            self.close(token);
        }
        self.call_back(station, rank);
    }

    /// The connection of call-backs has ended: what was on its way is called again.
    pub(super) fn news_broke(&mut self, token: usize, station: usize, rank: usize) {
        let Some(back) = self.backs.get_mut(&(station, rank)).filter(|back| back.token == Some(token)) else {
            return;
        };
        (back.token, back.busy) = (None, false);
        if !back.queue.is_empty() {
            self.set(Instant::now() + AGAIN, Due::News(station, rank));
        }
    }
}

/// A call-back that could not be made is made again after this time.
const AGAIN: Duration = Duration::from_millis(50);

/// An attempt, from what the client wrote into the body: `work=MICROSECONDS slots=N memory=UNITS`.
fn job(message: &Message) -> Option<Job> {
    let id = message.header("request-id")?.to_owned();
    let text = String::from_utf8_lossy(&message.body).into_owned();
    let figure = |name: &str| {
        let value = text.split(' ').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        value.and_then(|value| value.parse::<f64>().ok()).filter(|value| value.is_finite() && *value >= 0.0)
    };
    Some(Job {
        id,
        work: Duration::from_micros(figure("work")? as u64),
        slots: figure("slots").unwrap_or(1.0) as u32,
        memory: figure("memory").unwrap_or(0.0),
    })
}
