//! Handlers of the harness for discovery, workers and their callbacks.

use super::*;
use crate::calibrate::worker_pool::{Job, Verdict};
use std::time::{SystemTime, UNIX_EPOCH};

impl Harness {
    /// Handles a request to discovery.
    pub(super) fn on_discovery_request(&mut self, now: Instant, token: usize, message: &Message) {
        let watch = message.target.contains("watch=1");
        let flow = if watch { Flow::WatchRequested } else { Flow::ListRequested };
        self.counts.add(flow, message.length);
        let (at, answer) = self.discovery.handle_call(now, &message.target);
        self.set_timer(at, TimerEvent::DiscoveryAnswer(token, answer));
    }

    pub(super) fn send_discovery_answer(&mut self, now: Instant, token: usize, answer: Answer) {
        let (flow, bytes) = match answer {
            Answer::List(bytes) | Answer::Busy(bytes) | Answer::NotFound(bytes) => {
                (Flow::ListAnswered, bytes)
            }
            Answer::Watch(bytes, whole) => {
                let Some(connection) = self.connections.get_mut(&token) else { return };
                connection.role = Role::Discovery(Some(now));
                self.set_timer(now + KEEPALIVE_INTERVAL, TimerEvent::Keepalive(token));
                (if whole { Flow::WatchFullList } else { Flow::WatchOpened }, bytes)
            }
        };
        if self.connections.contains_key(&token) {
            self.counts.add(flow, bytes.len());
            self.send(token, &bytes);
        }
    }

    /// Sends an empty line on a watch that was idle for [`KEEPALIVE_INTERVAL`].
    pub(super) fn send_keepalive(&mut self, now: Instant, token: usize) {
        let Some(Connection { role: Role::Discovery(Some(last)), .. }) = self.connections.get_mut(&token)
        else {
            return;
        };
        let due = *last + KEEPALIVE_INTERVAL;
        if now < due {
            return self.set_timer(due, TimerEvent::Keepalive(token));
        }
        *last = now;
        let bytes = Discovery::keepalive();
        self.counts.add(Flow::WatchKeepalives, bytes.len());
        self.set_timer(now + KEEPALIVE_INTERVAL, TimerEvent::Keepalive(token));
        self.send(token, &bytes);
    }

    /// Sends a chunk on every open watch.
    pub(super) fn broadcast(&mut self, flow: Flow, chunk: &[u8]) {
        let now = Instant::now();
        let mut open = Vec::new();
        for (&token, connection) in &mut self.connections {
            if let Role::Discovery(Some(last)) = &mut connection.role {
                *last = now;
                open.push(token);
            }
        }
        for token in open {
            self.counts.add(flow, chunk.len());
            self.send(token, chunk);
        }
    }

    /// Applies a change to the list and to the worker.
    pub(super) fn apply_change(&mut self, now: Instant, change: Change) {
        let name = self.worker_pool.name(change.worker).to_owned();
        let Some(mut host) = self.discovery.hosts().iter().find(|host| host.host == name).cloned() else {
            return;
        };
        host.health = change.health;
        let in_service = change.health == "in_service";
        if in_service {
            let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            host.born_ms = unix_time.as_millis() as u64;
        }
        self.worker_pool.set_draining(change.worker, !in_service, in_service.then_some(now));
        let chunk = self.discovery.apply_change(host);
        self.broadcast(Flow::WatchChanges, &chunk);
    }

    /// Handles a request to a worker: a probe, a cancellation or an attempt.
    pub(super) fn on_worker_request(&mut self, now: Instant, token: usize, worker: usize, message: &Message) {
        match (message.method.as_str(), message.target.as_str()) {
            ("GET", "/metrics/load" | "/alive") => {
                self.counts.add(Flow::ProbesRequested, message.length);
                let report = self.worker_pool.report(now, worker).to_string();
                let answer =
                    message::write_response(200, "OK", "Content-Type: application/json\r\n", &report);
                self.counts.add(Flow::ProbesAnswered, answer.len());
                self.send(token, &answer);
            }
            ("DELETE", target) => {
                self.counts.add(Flow::CancelsSent, message.length);
                let id = target.strip_prefix("/jobs/").unwrap_or_default();
                let (found, effects) = self.worker_pool.cancel(now, worker, id);
                let answer = match found {
                    true => message::write_response(200, "OK", "", ""),
                    false => message::write_response(404, "Not Found", "", ""),
                };
                self.counts.add(Flow::CancelsAnswered, answer.len());
                self.send(token, &answer);
                self.apply_effects(effects);
            }
            _ => {
                self.counts.add(Flow::AttemptsSent, message.length);
                let (answer, effects) = match parse_attempt(message) {
                    Some(job) => match self.worker_pool.submit_attempt(now, worker, job) {
                        (Verdict::Accepted, effects) => {
                            (message::write_response(202, "Accepted", "", ""), effects)
                        }
                        (Verdict::Rejected, effects) => {
                            let not_started = "Not-Started: 1\r\n";
                            (message::write_response(503, "Service Unavailable", not_started, ""), effects)
                        }
                    },
                    None => (message::write_response(404, "Not Found", "", ""), Vec::new()),
                };
                self.counts.add(Flow::AttemptsAnswered, answer.len());
                self.send(token, &answer);
                self.apply_effects(effects);
            }
        }
    }

    /// Carries out the effects of a worker's step.
    pub(super) fn apply_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Timer(at, number) => self.set_timer(at, TimerEvent::WorkerTimer(number)),
                Effect::Callback(worker, id, body) => {
                    let Some(rank) = self.submitters.rank_of(&id) else {
                        self.callbacks_dropped += 1;
                        continue;
                    };
                    self.callback_queues.entry((worker, rank)).or_default().queue.push_back((body, 0));
                    self.send_callback(worker, rank);
                }
            }
        }
    }

    /// Sends the next callback, unless one awaits its answer.
    pub(super) fn send_callback(&mut self, worker: usize, rank: usize) {
        let Some(callbacks) =
            self.callback_queues.get_mut(&(worker, rank)).filter(|callbacks| !callbacks.awaiting_answer)
        else {
            return;
        };
        let Some((body, attempts)) = callbacks.queue.front_mut() else { return };
        if *attempts >= MAX_CALLBACK_ATTEMPTS {
            callbacks.queue.pop_front();
            self.callbacks_dropped += 1;
            return self.send_callback(worker, rank);
        }
        *attempts += 1;
        let json = ("Content-Type", "application/json".to_owned());
        let bytes =
            message::write_request("POST", "/_jobs/news", &[("Host", "scheduler".to_owned()), json], body);
        let token = match callbacks.token {
            Some(token) => Some(token),
            None => {
                let stream = self.scheduler_addresses[rank].and_then(|at| TcpStream::connect(at).ok());
                stream.and_then(|stream| self.add_connection(stream, Role::Callback(worker, rank)))
            }
        };
        let Some(token) = token else {
            return self.set_timer(Instant::now() + CALLBACK_RETRY_DELAY, TimerEvent::Callback(worker, rank));
        };
        if let Some(callbacks) = self.callback_queues.get_mut(&(worker, rank)) {
            (callbacks.token, callbacks.awaiting_answer) = (Some(token), true);
        }
        self.counts.add(Flow::CallbacksSent, bytes.len());
        self.send(token, &bytes);
    }

    pub(super) fn on_callback_answer(&mut self, token: usize, worker: usize, rank: usize, message: &Message) {
        let Some(callbacks) = self.callback_queues.get_mut(&(worker, rank)) else { return };
        callbacks.awaiting_answer = false;
        if matches!(message.status, 200 | 204) {
            callbacks.queue.pop_front();
        }
        if message.closes_connection() {
            callbacks.token = None;
            self.close(token);
        }
        self.send_callback(worker, rank);
    }

    /// Handles the end of a callback connection; the callback without an answer is sent again.
    pub(super) fn on_callback_closed(&mut self, token: usize, worker: usize, rank: usize) {
        let Some(callbacks) =
            self.callback_queues.get_mut(&(worker, rank)).filter(|callbacks| callbacks.token == Some(token))
        else {
            return;
        };
        (callbacks.token, callbacks.awaiting_answer) = (None, false);
        if !callbacks.queue.is_empty() {
            self.set_timer(Instant::now() + CALLBACK_RETRY_DELAY, TimerEvent::Callback(worker, rank));
        }
    }
}

/// Delay before a failed callback is sent again.
const CALLBACK_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Parses an attempt; the client has written `work=MICROSECONDS slots=N memory=UNITS` into the body.
fn parse_attempt(message: &Message) -> Option<Job> {
    let id = message.header("request-id")?.to_owned();
    let text = String::from_utf8_lossy(&message.body).into_owned();
    let number = |name: &str| {
        let value = text.split(' ').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        value.and_then(|value| value.parse::<f64>().ok()).filter(|value| value.is_finite() && *value >= 0.0)
    };
    Some(Job {
        id,
        work: Duration::from_micros(number("work")? as u64),
        slots: number("slots").unwrap_or(1.0) as u32,
        memory: number("memory").unwrap_or(0.0),
    })
}
