//! The Gearman protocol: one listener for clients, workers and operators. These modules move bytes and translate packets
//! into calls of the request table. The worker table chooses the connection of a worker that gets an attempt, the job
//! table merges submissions of the same job, and the decision module decides everything else.

mod admin_commands;
mod assignments;
mod connections;
mod packet_handlers;
mod release;
#[cfg(test)]
mod tests;

use crate::config::{Function, GearmanConfig, PriorityClass};
use crate::log::log_line;
use crate::net::Context;
use crate::net::core::deadlines::{ConnectionTimer, Deadline};
use crate::net::core::envelope::Payload;
use crate::net::core::log_interval::LogInterval;
use crate::net::core::request_table::{Answer, AttemptId, ClientId, PartialResult, Receipt};
use crate::net::core::worker_registry::WorkerSource;
use crate::net::protocol::{DescriptorLimits, Protocol, ReleaseIdle};
use calicolb::api::{Class, Ending, ListKind, Member, Micros, Report, WorkerId, WorkerStatus};
use calicolb::settings_update::SettingsError;
use calicolb::wire::Names;
use calicolb_gearman::ConnectionId;
use calicolb_gearman::job_table::{JobEnd, JobTable};
use calicolb_gearman::packet::{PacketType, Sender, encode};
use calicolb_gearman::worker_table::{OfferOutcome, WorkerNumber, WorkerTable};
use connections::Connection;
use mio::net::TcpListener;
use mio::{Interest, Token};
use std::collections::hash_map::RandomState;
use std::collections::{HashMap, HashSet};
use std::hash::BuildHasher;
use std::io;
use std::rc::Rc;

const MILLISECOND: Micros = 1_000;
/// The time within which a woken worker must ask for a job. After it the attempt counts as not accepted.
const GRAB_TIMEOUT: Micros = 500 * MILLISECOND;
/// The source under which the worker registry holds the workers of this protocol.
const WORKER_SOURCE: WorkerSource = WorkerSource::SelfRegistered("gearman");

/// The Gearman protocol with its listener, connections, jobs and workers.
pub struct Gearman {
    config: GearmanConfig,
    listener: TcpListener,
    listener_token: usize,
    listening: bool,
    accept_failure_log: LogInterval,
    connections: HashMap<ConnectionId, Connection>,
    max_connections: usize,
    worker_table: WorkerTable<AttemptId>,
    job_table: JobTable,
    /// A part of each handle that differs between processes, so that a handle does not mean another job after a restart.
    process_tag: String,
    /// The payloads of the attempts that are offered to workers and not yet assigned.
    offered_payloads: HashMap<AttemptId, Payload>,
    /// Connections that ask for a job, in the order in which they asked.
    asking: Vec<ConnectionId>,
    /// Connections whose next packets wait until their submissions are confirmed or refused.
    awaiting_confirmation: HashSet<ConnectionId>,
    worker_numbers: HashMap<WorkerId, WorkerNumber>,
    /// The state of each worker as last reported to the decision module: connected, lanes, refused skills, ready since.
    reported_states: HashMap<WorkerNumber, (bool, u32, u64, Micros)>,
    /// Whether new submissions are refused and idle clients are disconnected.
    draining: bool,
    /// The keys of the two hash functions that make a unique id from a workload.
    hash_keys: [RandomState; 2],
}

impl Gearman {
    /// Opens the listener.
    ///
    /// # Errors
    /// Fails if the configured address cannot be bound.
    pub fn new(ctx: &mut Context<'_>, config: GearmanConfig) -> io::Result<Gearman> {
        let listener = TcpListener::bind(config.listen).map_err(|error| {
            io::Error::new(
                error.kind(),
                format!("failed to listen for Gearman on {}: {error}", config.listen),
            )
        })?;
        let hash_keys = [RandomState::new(), RandomState::new()];
        Ok(Gearman {
            listener,
            listener_token: ctx.next_token(),
            listening: false,
            accept_failure_log: LogInterval::default(),
            connections: HashMap::new(),
            max_connections: 0,
            worker_table: WorkerTable::default(),
            job_table: JobTable::new(config.max_remembered_jobs),
            process_tag: format!("{:08x}", hash_keys[0].hash_one(ctx.now) as u32),
            offered_payloads: HashMap::new(),
            asking: Vec::new(),
            awaiting_confirmation: HashSet::new(),
            worker_numbers: HashMap::new(),
            reported_states: HashMap::new(),
            draining: false,
            hash_keys,
            config,
        })
    }
}

impl Protocol for Gearman {
    fn owns_token(&self, token: usize) -> bool {
        token == self.listener_token || self.connections.contains_key(&token)
    }

    fn on_ready(&mut self, ctx: &mut Context<'_>, token: usize) {
        if token == self.listener_token {
            return self.accept_connections(ctx);
        }
        if self.flush(ctx, token) {
            self.receive(ctx, token);
        }
    }

    fn reads_in_turns(&self, token: usize) -> bool {
        self.connections.contains_key(&token)
    }

    fn awaits_answer(&self, token: usize) -> bool {
        self.job_table.has_waiting_client(token)
    }

    fn on_deadline(&mut self, ctx: &mut Context<'_>, token: usize, timer: ConnectionTimer) {
        match timer {
            ConnectionTimer::Accept => self.accept_connections(ctx),
            ConnectionTimer::OfferTimeout => {
                if let Some(attempt) = self.worker_table.expire_offer(token) {
                    log_line!(request = attempt.request, "a woken worker did not ask for its job in time");
                    self.offered_payloads.remove(&attempt);
                    ctx.request_table.connection_broken(ctx.now, attempt);
                }
            }
            ConnectionTimer::Idle => {
                // The time limit that the worker registered for the function has passed.
                if let Some(attempt) = self.worker_table.running_attempt(token) {
                    ctx.request_table.attempt_timed_out(ctx.now, attempt);
                }
            }
            ConnectionTimer::Timeout => {
                let Some(connection) = self.connections.get(&token) else { return };
                if connection.closing
                    || connection.buffer.has_output()
                    || connection.message_started.is_none()
                {
                    return self.remove_connection(ctx, token);
                }
                let error =
                    encode(Sender::Server, PacketType::Error, &[b"TOO_SLOW", b"a packet has not come whole"]);
                self.close_after(ctx, token, &error);
            }
        }
    }

    fn owns_client(&self, client: ClientId) -> bool {
        self.job_table.contains(client)
    }

    fn send_answer(&mut self, ctx: &mut Context<'_>, client: ClientId, answer: Answer) {
        let end = match answer {
            Answer::Served(result) => JobEnd::Served(result),
            Answer::Busy { retry_after } => JobEnd::Refused(retry_after),
            Answer::Failed => JobEnd::Failed,
        };
        let packets = self.job_table.end_job(client, end);
        self.send_packets(ctx, packets);
    }

    fn send_partial_result(&mut self, ctx: &mut Context<'_>, client: ClientId, part: PartialResult) {
        use calicolb_gearman::job_table::JobUpdate as Update;
        let update = match part {
            PartialResult::Started => Update::Started,
            PartialResult::Data(data) => Update::Data(data),
            PartialResult::Warning(data) => Update::Warning(data),
            PartialResult::Progress(done, total) => Update::Status(done, total),
            PartialResult::Exception(exception) => Update::Exception(exception),
        };
        let packets = self.job_table.update_job(client, update);
        self.send_packets(ctx, packets);
    }

    fn owns_worker(&self, worker: WorkerId) -> bool {
        self.worker_numbers.contains_key(&worker)
    }

    fn send_attempt(
        &mut self,
        ctx: &mut Context<'_>,
        attempt: AttemptId,
        worker: WorkerId,
        payload: &Payload,
        _timeout: Micros,
    ) {
        let Some(&number) = self.worker_numbers.get(&worker) else {
            return ctx.request_table.connection_broken(ctx.now, attempt);
        };
        let accepts_payload = |function: &&Function| {
            let as_http_job =
                function.takes_http_jobs && function.priority_classes[1].class.0 as u32 == payload.skill;
            function.skill == payload.skill || as_http_job
        };
        let functions: Vec<&str> = self
            .config
            .functions
            .iter()
            .filter(accepts_payload)
            .map(|function| function.name.as_str())
            .collect();
        let handle = self.attempt_handle(attempt);
        let outcome = self.worker_table.offer(number, attempt, &functions, &handle);
        let (OfferOutcome::Wake(token) | OfferOutcome::AwaitGrab(token) | OfferOutcome::AssignNow(token)) =
            outcome
        else {
            return ctx.request_table.attempt_failed(ctx.now, attempt, Ending::Full, None);
        };
        self.offered_payloads.insert(attempt, Rc::clone(payload));
        ctx.deadlines.set(Deadline::Connection(token, ConnectionTimer::OfferTimeout), ctx.now + GRAB_TIMEOUT);
        if matches!(outcome, OfferOutcome::Wake(_)) {
            self.wake_connection(ctx, token);
        }
    }

    fn cancel(
        &mut self,
        ctx: &mut Context<'_>,
        attempt: AttemptId,
        _worker: WorkerId,
        _name: &str,
        _receipt: Receipt,
    ) {
        let connection = self.worker_table.cancel(attempt);
        if self.offered_payloads.remove(&attempt).is_some() {
            if let Some(token) = connection {
                ctx.deadlines.clear(Deadline::Connection(token, ConnectionTimer::OfferTimeout));
            }
            return ctx.request_table.cancel_confirmed(ctx.now, attempt);
        }
        // The attempt was assigned, and the protocol has no packet that cancels a job. The worker keeps running it, and its
        // later reports are ignored.
        ctx.request_table.cancel_undeliverable(ctx.now, attempt);
    }

    fn release_attempt(&mut self, _ctx: &mut Context<'_>, _attempt: AttemptId) {}

    fn probe(&mut self, ctx: &mut Context<'_>, worker: WorkerId) {
        // The worker table knows the free lanes, so the probe is answered without asking the worker.
        let free_lanes =
            self.worker_numbers.get(&worker).map(|&number| self.worker_table.free_lanes(number) as f64);
        let ending = if free_lanes.is_some() { Ending::Ok } else { Ending::Unreachable };
        ctx.request_table.probe_finished(
            worker,
            ending,
            0,
            Some(Report { free_slots: free_lanes, ..Report::default() }),
        );
    }

    fn close_idle(&mut self, _ctx: &mut Context<'_>, _worker: WorkerId) {}

    /// Reports the workers that have connected, disconnected or changed their lanes or functions.
    fn on_events_gathered(&mut self, ctx: &mut Context<'_>) {
        let mut members = Vec::new();
        for change in self.worker_table.take_changes() {
            let worker = calicolb::wire::worker_id(&format!("gearman worker {}", change.number));
            self.worker_numbers.insert(worker, change.number);
            // A worker without lanes cannot take any job.
            let can_run = |name: &str| change.lanes > 0 && change.functions.contains(name);
            let refuses = self.refused_skills(can_run);
            let state = (change.connected, change.lanes.max(1) as u32, refuses, change.ready_since);
            if self.reported_states.insert(change.number, state) == Some(state) {
                continue;
            }
            log_line!(
                debug: worker = change.name, lanes = change.lanes, here = change.connected,
                "the state of a worker has changed"
            );
            let status = match (change.connected, change.functions.is_empty()) {
                (false, _) => WorkerStatus::Gone,
                (true, true) => WorkerStatus::Draining,
                (true, false) => WorkerStatus::On,
            };
            members.push(Member {
                worker,
                zone: self.config.zone,
                kind: self.config.kind,
                status,
                weight: 1.0,
                started: Some(change.ready_since),
                lanes: Some(state.1),
                refuses,
                ..Member::default()
            });
        }
        if !members.is_empty() {
            ctx.request_table.update_workers(WORKER_SOURCE, ListKind::Changes, members);
        }
    }

    fn on_commands_done(&mut self, ctx: &mut Context<'_>) {
        for token in std::mem::take(&mut self.asking) {
            self.answer_grab(ctx, token);
        }
        let packets = self.job_table.confirm_submissions();
        self.send_packets(ctx, packets);
        for token in std::mem::take(&mut self.awaiting_confirmation) {
            ctx.input_queue.push_ready(token);
        }
    }

    fn listen(&mut self, ctx: &mut Context<'_>) -> io::Result<()> {
        if !self.listening {
            ctx.registry.register(&mut self.listener, Token(self.listener_token), Interest::READABLE)?;
            log_line!("{} speaks Gearman on {}", self.config.name, self.listener.local_addr()?);
        }
        self.listening = true;
        Ok(())
    }

    fn set_descriptor_limits(&mut self, ctx: &mut Context<'_>, limits: DescriptorLimits) {
        // Workers open their connections themselves as clients do, so both numbers bound the accepted connections.
        self.max_connections = limits.clients + limits.workers;
        while self.connections.len() > self.max_connections && self.release_idle(ctx) {}
    }

    fn shed_memory(&mut self, ctx: &mut Context<'_>) -> bool {
        self.shed_incomplete_packet(ctx)
    }

    fn begin_drain(&mut self, ctx: &mut Context<'_>) {
        self.draining = true;
        let is_idle = |token: &&ConnectionId| {
            !(self.worker_table.is_worker(**token) || self.job_table.has_waiting_client(**token))
        };
        let idle: Vec<ConnectionId> = self.connections.keys().filter(is_idle).copied().collect();
        idle.into_iter().for_each(|token| self.remove_connection(ctx, token));
    }

    fn resume(&mut self) {
        self.draining = false;
    }

    fn check_settings(&self, names: &Names, classes: &[Class]) -> Result<(), SettingsError> {
        for function in &self.config.functions {
            let effect = |priority: &PriorityClass| classes.get(priority.class.0).map(|class| class.effect);
            for priority in &function.priority_classes {
                let Some(class) = self.config.classes.get(priority.class.0) else { continue };
                if names.class(class).is_err() {
                    let reason =
                        format!("is the class of the function '{}' and cannot be removed", function.name);
                    return Err(SettingsError::new(format!("request_classes.{class}"), reason));
                }
                if effect(priority) != effect(&function.priority_classes[1]) {
                    let reason =
                        format!("differs from that of the other classes of the function '{}'", function.name);
                    return Err(SettingsError::new(format!("request_classes.{class}.effect"), reason));
                }
            }
        }
        Ok(())
    }

    fn apply_settings(&mut self, classes: &[Class]) {
        for function in &mut self.config.functions {
            // A background timeout that equals the client timeout was not configured: it follows the class's deadline.
            let follows_class = function.background_timeout == function.priority_classes[1].client_timeout;
            for priority in &mut function.priority_classes {
                priority.client_timeout =
                    classes.get(priority.class.0).map_or(priority.client_timeout, |class| class.deadline);
            }
            if follows_class {
                function.background_timeout = function.priority_classes[1].client_timeout;
            }
        }
    }

    fn is_idle(&self, _now: Micros) -> bool {
        self.connections.values().all(|connection| !connection.buffer.has_output())
    }

    fn metrics(&self) -> Vec<(&'static str, u64)> {
        let lanes =
            self.reported_states.values().filter(|state| state.0).map(|state| u64::from(state.1)).sum();
        vec![
            ("gearman.connections", self.connections.len() as u64),
            ("gearman.workers", self.reported_states.values().filter(|state| state.0).count() as u64),
            ("gearman.lanes", lanes),
            ("gearman.jobs", self.job_table.len() as u64),
            ("gearman.offered", self.offered_payloads.len() as u64),
        ]
    }
}
