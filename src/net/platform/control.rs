//! Client of the control machines: learns the agreed configuration over a watch at one of them, and reports
//! which version is in force here. It opens connections but accepts none. [`calicolb_consensus::Learner`]
//! decides which messages count; the event loop applies a new version between two iterations.

use crate::config::agreed::{SchedulerRules, with_local_settings};
use crate::config::document::{self, Document};
use crate::config::{LearnerConfig, SettingsError, SettingsUpdate};
use crate::log::log_line;
use crate::net::Context;
use crate::net::control::messages::{InForceReport, WatchLine};
use crate::net::core::buffer::Buffer;
use crate::net::core::deadlines::Deadline;
use crate::net::http::framing;
use crate::net::platform::call::{Call, WatchInput, WatchRead, read_status, read_watch};
use calicolb::api::Micros;
use calicolb_consensus::{Change, Delta, Learner, UpdateOutcome, Version, VersionInForce, VersionMessage};
use mio::net::TcpStream;
use mio::{Interest, Token};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;

const MILLI: Micros = 1_000;
/// Longest interval at which a control machine sends an empty line while nothing changes, in microseconds.
const HEARTBEAT_INTERVAL: Micros = 1_500 * MILLI;
/// A watch without input for longer than this is broken, in microseconds.
const WATCH_TIMEOUT: Micros = HEARTBEAT_INTERVAL * 5 / 2;
/// Time in which a connection must be established and bring the first line or the response, in microseconds.
const RESPONSE_TIMEOUT: Micros = 1_000 * MILLI;
/// Delay before the next machine is tried after the first failure, in microseconds. It doubles with each
/// failure.
const MIN_RETRY_DELAY: Micros = 50 * MILLI;
/// Upper bound of that delay, in microseconds. A random factor of 0.5 to 1.5 spreads the schedulers that
/// reconnect when regions come back.
const MAX_RETRY_DELAY: Micros = 1_000 * MILLI;

/// The watch at a control machine and the version of the configuration that is in force.
pub struct ControlClient {
    /// The machines, in the order in which this scheduler tries them.
    machines: Vec<SocketAddr>,
    /// Index of the machine in use.
    current: usize,
    name: String,
    /// Time without a message from a majority after which a machine is left, in microseconds.
    majority_timeout: Micros,
    learner: Learner,
    /// Settings that belong to this scheduler alone and are never agreed.
    local_settings: Document,
    watch: Option<Call>,
    /// Times at which the watch was opened, it last brought input, and a machine with a majority last
    /// confirmed it, in microseconds.
    opened_at: Micros,
    last_input: Option<Micros>,
    last_majority: Micros,
    /// The last version that the watched machine reported.
    machine_seq: u64,
    /// Time at which the next machine is tried, in microseconds.
    retry_at: Option<Micros>,
    failures: u32,
    report_call: Option<Call>,
    report_deadline: Micros,
    /// The version that was reported to the watched machine as being in force here.
    reported_seq: Option<u64>,
    random: fastrand::Rng,
    /// The version that the event loop applied last, and the one that was last offered to it, whether it
    /// could be applied or not.
    in_force: Arc<VersionInForce>,
    offered: Arc<VersionInForce>,
    /// The last log line said that this scheduler is behind.
    behind: bool,
}

impl ControlClient {
    /// Creates a client of these machines. The order in which they are tried is derived from the scheduler's
    /// name, so that the schedulers that lose one machine spread over all others.
    pub fn new(config: LearnerConfig, name: &str, seed: u64) -> ControlClient {
        let machines = shuffled_machines(config.machines, name);
        // The settings of the local configuration are in force until a version is agreed.
        let initial = Version::new(0, config.initial_settings);
        let rules = SchedulerRules { local_settings: config.local_settings.clone() };
        let learner = Learner::with_version(config.max_silence, Box::new(rules), initial);
        let in_force = learner.in_force(0);
        ControlClient {
            machines,
            current: 0,
            name: name.to_owned(),
            majority_timeout: config.max_silence,
            learner,
            local_settings: config.local_settings,
            watch: None,
            opened_at: 0,
            last_input: None,
            last_majority: 0,
            machine_seq: 0,
            retry_at: None,
            failures: 0,
            report_call: None,
            report_deadline: 0,
            reported_seq: None,
            random: fastrand::Rng::with_seed(seed ^ name_hash(name)),
            offered: Arc::clone(&in_force),
            in_force,
            behind: true,
        }
    }

    /// Opens the watch.
    pub fn start(&mut self, ctx: &mut Context<'_>) {
        log_line!(
            "settings are agreed by {} control machines; connecting to {} first",
            self.machines.len(),
            self.machines[0]
        );
        // At the start nothing has been received yet. Being behind is logged only after it has lasted for the
        // timeout.
        self.behind = false;
        self.last_majority = ctx.now;
        self.open_watch(ctx);
        self.update_deadlines(ctx);
    }

    /// Sets the addresses of the control machines.
    pub fn set_machines(&mut self, ctx: &mut Context<'_>, machines: Vec<SocketAddr>) {
        let current = self.machines[self.current];
        self.machines = shuffled_machines(machines, &self.name);
        match self.machines.iter().position(|at| *at == current) {
            Some(at) => self.current = at,
            None => {
                self.current = 0;
                self.handle_loss(ctx, "no longer a control machine");
            }
        }
        self.update_deadlines(ctx);
    }

    /// Returns whether the token belongs to one of the calls.
    pub fn owns_token(&self, token: usize) -> bool {
        [&self.watch, &self.report_call].into_iter().flatten().any(|call| call.token == token)
    }

    fn open_call(&self, ctx: &mut Context<'_>, request: &[u8]) -> Option<Call> {
        let token = ctx.next_token();
        let connect_result = TcpStream::connect(self.machines[self.current]).and_then(|mut stream| {
            let interest = Interest::READABLE | Interest::WRITABLE;
            ctx.registry.register(&mut stream, Token(token), interest)?;
            Ok(stream)
        });
        match connect_result {
            Ok(stream) => {
                let mut buffer = Buffer::default();
                buffer.append_output(request);
                Some(Call { token, stream, buffer, head_received: false, pending: Vec::new() })
            }
            Err(error) => {
                log_line!(debug: "failed to call a control machine: {error}");
                None
            }
        }
    }

    fn open_watch(&mut self, ctx: &mut Context<'_>) {
        let held = self.learner.held_version();
        let target =
            format!("/control/versions?watch=1&from={}&digest={}&name={}", held.seq, held.digest, self.name);
        (self.opened_at, self.last_input, self.reported_seq, self.retry_at) = (ctx.now, None, None, None);
        self.watch =
            self.open_call(ctx, &framing::write_request("GET", &target, &[("Host", "control")], b""));
        if self.watch.is_none() {
            self.schedule_retry(ctx);
        }
    }

    /// Selects the next machine and sets the time at which it is tried.
    fn schedule_retry(&mut self, ctx: &mut Context<'_>) {
        self.current = (self.current + 1) % self.machines.len();
        let delay = (MIN_RETRY_DELAY << self.failures.min(8)).min(MAX_RETRY_DELAY);
        self.failures += 1;
        self.retry_at = Some(ctx.now + delay / 2 + self.random.u64(0..=delay));
    }

    fn handle_loss(&mut self, ctx: &mut Context<'_>, why: &str) {
        log_line!(debug: "control machine {}: {why}", self.machines[self.current]);
        for call in [self.watch.take(), self.report_call.take()].into_iter().flatten() {
            close_call(ctx, call);
        }
        self.schedule_retry(ctx);
    }

    /// Handles a readable or writable call.
    pub fn handle_ready(&mut self, ctx: &mut Context<'_>, token: usize) {
        if let Some(mut call) = self.report_call.take_if(|call| call.token == token) {
            match read_status(&mut call) {
                Ok(false) => self.report_call = Some(call),
                Ok(true) => close_call(ctx, call),
                Err(_) => {
                    // The report is repeated after the next line of the watch.
                    close_call(ctx, call);
                    self.reported_seq = None;
                }
            }
        } else if let Some(mut call) = self.watch.take_if(|call| call.token == token) {
            let mut lines: Vec<WatchLine> = Vec::new();
            let WatchRead { input, has_more, end } = read_watch(&mut call, &mut lines);
            if has_more {
                ctx.input_queue.push_backlog(token);
            }
            self.watch = Some(call);
            if input != WatchInput::None {
                self.last_input = Some(ctx.now);
                // An empty line means that nothing is new and is sent only by a machine with a majority. An
                // incomplete line means nothing.
                if input == WatchInput::Complete && lines.is_empty() {
                    lines.push(WatchLine { seq: self.machine_seq, majority: true, ..WatchLine::default() });
                }
            }
            let result = lines.into_iter().try_for_each(|line| self.apply_line(ctx, line));
            match result.and(end.map_or(Ok(()), Err)) {
                Ok(()) => self.report_in_force(ctx),
                Err(why) => self.handle_loss(ctx, why),
            }
        }
        self.update_deadlines(ctx);
    }

    fn apply_line(&mut self, ctx: &mut Context<'_>, line: WatchLine) -> Result<(), &'static str> {
        self.failures = 0;
        self.machine_seq = line.seq;
        let (seq, majority) = (line.seq, line.majority);
        if majority {
            self.last_majority = ctx.now;
        }
        let digest = |text: &str| text.parse().map_err(|_| "received a malformed digest");
        let message = if line.complete {
            let version = Version { seq, digest: digest(&line.digest)?, document: Arc::new(line.settings) };
            VersionMessage::Full { version, majority }
        } else if line.base_digest.is_empty() {
            VersionMessage::Current { seq, majority }
        } else {
            let change = Change { set: line.set, unset: line.unset };
            let (from_digest, digest) = (digest(&line.base_digest)?, digest(&line.digest)?);
            VersionMessage::Delta { delta: Delta { seq, from_digest, digest, change }, majority }
        };
        match self.learner.receive(ctx.now, message) {
            UpdateOutcome::Gap => Err("received a change that does not follow the known version"),
            UpdateOutcome::Invalid(fault) => {
                log_line!(warn: "version {seq} cannot be applied: '{}' {}", fault.key, fault.reason);
                Ok(())
            }
            UpdateOutcome::Unchanged | UpdateOutcome::InForce | UpdateOutcome::Tightened => Ok(()),
        }
    }

    /// Returns a version that has not been offered to the event loop yet, with its checked settings.
    pub fn next_version(
        &mut self,
        now: Micros,
    ) -> Option<(Arc<VersionInForce>, Result<SettingsUpdate, SettingsError>)> {
        let latest = self.learner.in_force(now);
        if Arc::ptr_eq(&latest, &self.offered) {
            return None;
        }
        self.offered = Arc::clone(&latest);
        let checked = document::check(&with_local_settings(&latest.document, &self.local_settings));
        Some((latest, checked))
    }

    /// Records whether the event loop could apply a version.
    pub fn record_result(
        &mut self,
        ctx: &mut Context<'_>,
        version: Arc<VersionInForce>,
        outcome: Result<(), SettingsError>,
    ) {
        match (outcome, version.tightened_to) {
            (Ok(()), None) => log_line!(seq = version.seq, "version {} is in force", version.seq),
            (Ok(()), Some(seq)) => {
                log_line!(
                    seq,
                    "applied only the tightening settings of version {seq}: the control machine had no majority"
                );
            }
            (Err(fault), _) => {
                let seq = version.tightened_to.unwrap_or(version.seq);
                log_line!(warn: "version {seq} cannot be applied: '{}' {}; version {} stays in force", fault.key, fault.reason,
                    self.in_force.seq);
                return;
            }
        }
        self.in_force = version;
        self.report_in_force(ctx);
        self.update_deadlines(ctx);
    }

    /// Reports the version in force to the watched machine, unless it was reported already.
    fn report_in_force(&mut self, ctx: &mut Context<'_>) {
        let seq = self.in_force.seq;
        if self.last_input.is_none()
            || self.report_call.is_some()
            || seq == 0
            || self.reported_seq == Some(seq)
        {
            return;
        }
        let body = serde_json::to_vec(&InForceReport { name: self.name.clone(), seq }).unwrap_or_default();
        let extra = [("Host", "control"), ("Connection", "close")];
        let request = framing::write_request("POST", "/control/in-force", &extra, &body);
        self.report_call = self.open_call(ctx, &request);
        self.report_deadline = ctx.now + RESPONSE_TIMEOUT;
        // If the call could not be opened, the report is repeated after the next line of the watch.
        self.reported_seq = self.report_call.as_ref().map(|_| seq);
    }

    /// Handles timeouts of the calls, and the time at which the next machine is tried.
    pub fn handle_timeout(&mut self, ctx: &mut Context<'_>) {
        let now = ctx.now;
        if let Some(call) = self.report_call.take_if(|_| self.report_deadline <= now) {
            close_call(ctx, call);
            self.reported_seq = None;
        }
        if self.watch.is_some() {
            if self.watch_deadline() <= now {
                self.handle_loss(ctx, "timed out waiting for data");
            } else if self.last_majority.max(self.opened_at) + self.majority_timeout <= now {
                self.handle_loss(ctx, "no majority");
            }
        }
        if self.retry_at.is_some_and(|retry_at| retry_at <= now) {
            self.open_watch(ctx);
        }
        self.update_deadlines(ctx);
    }

    /// Time from which on the watch counts as broken unless it brings input, in microseconds.
    fn watch_deadline(&self) -> Micros {
        self.last_input.map_or(self.opened_at + RESPONSE_TIMEOUT, |last_input| last_input + WATCH_TIMEOUT)
    }

    /// Sets the next deadline, and logs once when this scheduler falls behind or catches up.
    fn update_deadlines(&mut self, ctx: &mut Context<'_>) {
        let now = ctx.now;
        let behind = self.behind(now);
        // Nothing can have been received in the first moments.
        let past_start = behind && now >= self.last_majority + self.majority_timeout || self.in_force.seq > 0;
        if behind != self.behind && (past_start || !behind) {
            self.behind = behind;
            if behind {
                log_line!(warn: "behind: no recent message from a majority of the control machines, or the agreed version cannot \
                    be applied; version {} stays in force", self.in_force.seq);
            } else {
                log_line!("up to date with the control machines at version {}", self.in_force.seq);
            }
        }
        let mut deadline = self.retry_at;
        let mut set_earlier =
            |due: Micros| deadline = Some(deadline.map_or(due, |deadline| deadline.min(due)));
        if self.watch.is_some() {
            set_earlier(self.watch_deadline());
            set_earlier(self.last_majority.max(self.opened_at) + self.majority_timeout);
        }
        if self.report_call.is_some() {
            set_earlier(self.report_deadline);
        }
        if !self.behind {
            set_earlier((self.last_majority + self.majority_timeout + MILLI).max(now + MILLI));
        }
        match deadline {
            Some(deadline) => ctx.deadlines.set(Deadline::ControlClient, deadline),
            None => ctx.deadlines.clear(Deadline::ControlClient),
        }
    }

    /// Returns whether a later version than the one in force here may be in force elsewhere.
    fn behind(&self, now: Micros) -> bool {
        self.learner.is_behind(now) || *self.in_force != *self.offered
    }

    /// Returns whether a version has come into force since the start, so that the settings of the local
    /// configuration no longer apply.
    pub fn has_agreed_version(&self) -> bool {
        self.in_force.seq > 0
    }

    /// Metrics of the agreed configuration by name.
    pub fn metrics(&self, now: Micros) -> Vec<(&'static str, String)> {
        vec![
            ("control.seq", self.in_force.seq.to_string()),
            ("control.digest", self.in_force.digest.to_string()),
            ("control.behind", u8::from(self.behind(now)).to_string()),
            ("control.tightened_to", self.in_force.tightened_to.unwrap_or(0).to_string()),
        ]
    }
}

fn name_hash(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// Returns the machines in the order in which the scheduler of this name tries them.
fn shuffled_machines(mut machines: Vec<SocketAddr>, name: &str) -> Vec<SocketAddr> {
    machines.sort_unstable();
    machines.dedup();
    fastrand::Rng::with_seed(name_hash(name)).shuffle(&mut machines);
    machines
}

fn close_call(ctx: &mut Context<'_>, mut call: Call) {
    let _ = ctx.registry.deregister(&mut call.stream);
}
