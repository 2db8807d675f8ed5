//! Gearman: one listener for clients, workers and operators. Here bytes are moved; which connection of a worker gets a
//! attempt is the fleet's to say, which submissions are one job the book's, and all else the module's. See
//! `docs/gearman.md`.

mod admin;
mod conns;
mod packets;
#[cfg(test)]
mod tests;
mod workers;

use crate::config::{Function, GearmanConfig, PriorityClass};
use crate::log::log_line;
use crate::net::Context;
use crate::net::core::deadlines::{ConnectionTimer, Deadline};
use crate::net::core::envelope::Payload;
use crate::net::core::request_table::{Answer, AttemptId, ClientId, PartialResult};
use crate::net::core::worker_registry::WorkerSource;
use crate::net::protocol::{DescriptorLimits, Protocol, ReleaseIdle};
use calicolb::api::{Class, Ending, ListKind, Member, Micros, Report, WorkerId, WorkerStatus};
use calicolb::settings_update::SettingsError;
use calicolb::wire::Names;
use calicolb_gearman::ConnId;
use calicolb_gearman::book::{Book, End};
use calicolb_gearman::fleet::{Fleet, HopNr, Offered};
use calicolb_gearman::packet::{PacketType, Sender, encode};
use conns::Conn;
use mio::net::TcpListener;
use mio::{Interest, Token};
use std::collections::hash_map::RandomState;
use std::collections::{HashMap, HashSet};
use std::hash::BuildHasher;
use std::io;
use std::rc::Rc;

const MILLI: Micros = 1_000;
/// A worker that was woken asks within this time, or has not taken what was offered to it.
const GRAB: Micros = 500 * MILLI;
/// Whose next hops the roster calls these.
const SOURCE: WorkerSource = WorkerSource::SelfRegistered("gearman");

/// See the head of this file.
pub struct Gearman {
    config: GearmanConfig,
    listener: TcpListener,
    /// The number of the listener.
    token: usize,
    listening: bool,
    conns: HashMap<ConnId, Conn>,
    most: usize,
    fleet: Fleet<AttemptId>,
    book: Book,
    /// What this process is told apart by from the one before: a handle must not mean another job after a restart.
    boot: String,
    /// What is offered to workers and not yet assigned.
    offers: HashMap<AttemptId, Payload>,
    /// Connections that ask for work, in their order.
    asking: Vec<ConnId>,
    /// Connections whose next packets wait until they are told of their submissions.
    blocked: HashSet<ConnId>,
    hops: HashMap<WorkerId, HopNr>,
    /// What the module was last told of a hop: here, lanes, what it refuses, since when.
    told: HashMap<HopNr, (bool, u32, u64, Micros)>,
    /// Clients are sent away.
    parting: bool,
    hash: [RandomState; 2],
}

impl Gearman {
    /// Opens the listener.
    ///
    /// # Errors
    /// The address cannot be had.
    pub fn new(ctx: &mut Context<'_>, config: GearmanConfig) -> io::Result<Gearman> {
        let listener = TcpListener::bind(config.listen).map_err(|error| {
            io::Error::new(error.kind(), format!("gearman on {}: {error}", config.listen))
        })?;
        let hash = [RandomState::new(), RandomState::new()];
        Ok(Gearman {
            listener,
            token: ctx.next_token(),
            listening: false,
            conns: HashMap::new(),
            most: 0,
            fleet: Fleet::default(),
            book: Book::new(config.max_remembered_jobs),
            boot: format!("{:08x}", hash[0].hash_one(ctx.now) as u32),
            offers: HashMap::new(),
            asking: Vec::new(),
            blocked: HashSet::new(),
            hops: HashMap::new(),
            told: HashMap::new(),
            parting: false,
            hash,
            config,
        })
    }
}

impl ReleaseIdle for Gearman {
    /// Closes a connection that is at its end, else a client that waits for nothing and has said nothing for longest.
    fn release_idle(&mut self, ctx: &mut Context<'_>) -> bool {
        let order = |(&token, conn): (&ConnId, &Conn)| {
            let rests = conn.ending || !(self.fleet.knows(token) || self.book.awaits(token));
            rests.then_some((!conn.ending, conn.spoke, conn.since, token))
        };
        let first = self.conns.iter().filter_map(order).min();
        let Some((.., token)) = first else { return false };
        self.drop_conn(ctx, token);
        true
    }
}

impl Protocol for Gearman {
    fn owns_token(&self, token: usize) -> bool {
        token == self.token || self.conns.contains_key(&token)
    }

    fn on_ready(&mut self, ctx: &mut Context<'_>, token: usize) {
        if token == self.token {
            return self.accept(ctx);
        }
        if self.flush(ctx, token) {
            self.read(ctx, token);
        }
    }

    fn on_deadline(&mut self, ctx: &mut Context<'_>, token: usize, alarm: ConnectionTimer) {
        match alarm {
            ConnectionTimer::Accept => self.accept(ctx),
            ConnectionTimer::ContinueRead => self.on_ready(ctx, token),
            ConnectionTimer::OfferTimeout => {
                if let Some(attempt) = self.fleet.expire(token) {
                    log_line!(request = attempt.request, "a worker was woken and did not ask");
                    self.offers.remove(&attempt);
                    ctx.request_table.connection_broken(ctx.now, attempt);
                }
            }
            ConnectionTimer::Idle => {
                // The worker's own limit is over.
                if let Some(attempt) = self.fleet.running(token) {
                    ctx.request_table.attempt_timed_out(ctx.now, attempt);
                }
            }
            ConnectionTimer::Timeout => {
                let Some(conn) = self.conns.get(&token) else { return };
                if conn.ending || conn.buffer.has_output() || conn.begun.is_none() {
                    return self.drop_conn(ctx, token);
                }
                let last =
                    encode(Sender::Server, PacketType::Error, &[b"TOO_SLOW", b"a packet has not come whole"]);
                self.part_with(ctx, token, &last);
            }
        }
    }

    fn owns_client(&self, client: ClientId) -> bool {
        self.book.has(client)
    }

    fn send_answer(&mut self, ctx: &mut Context<'_>, client: ClientId, answer: Answer) {
        let end = match answer {
            Answer::Served(result) => End::Served(result),
            Answer::Busy { retry_after: come_back } => End::Refused(come_back),
            Answer::Failed => End::Failed,
        };
        let mail = self.book.end(client, end);
        self.mail(ctx, mail);
    }

    fn send_partial_result(&mut self, ctx: &mut Context<'_>, client: ClientId, part: PartialResult) {
        use calicolb_gearman::book::Part as Told;
        let part = match part {
            PartialResult::Started => Told::Started,
            PartialResult::Data(data) => Told::Data(data),
            PartialResult::Warning(data) => Told::Warning(data),
            PartialResult::Progress(done, of) => Told::Status(done, of),
            PartialResult::Exception(what) => Told::Exception(what),
        };
        let mail = self.book.relay(client, part);
        self.mail(ctx, mail);
    }

    fn owns_worker(&self, hop: WorkerId) -> bool {
        self.hops.contains_key(&hop)
    }

    fn send_attempt(
        &mut self,
        ctx: &mut Context<'_>,
        attempt: AttemptId,
        hop: WorkerId,
        payload: &Payload,
        _wait: Micros,
    ) {
        let Some(&nr) = self.hops.get(&hop) else {
            return ctx.request_table.connection_broken(ctx.now, attempt);
        };
        let fits = |function: &&Function| {
            let as_http =
                function.takes_http_jobs && function.priority_classes[1].class.0 as u32 == payload.skill;
            function.skill == payload.skill || as_http
        };
        let functions: Vec<&str> =
            self.config.functions.iter().filter(fits).map(|function| function.name.as_str()).collect();
        let handle = self.handle(attempt);
        let offered = self.fleet.offer(nr, attempt, &functions, &handle);
        let (Offered::Wake(token) | Offered::Awaited(token) | Offered::Asked(token)) = offered else {
            return ctx.request_table.attempt_failed(ctx.now, attempt, Ending::Full, None);
        };
        self.offers.insert(attempt, Rc::clone(payload));
        ctx.deadlines.set(Deadline::Connection(token, ConnectionTimer::OfferTimeout), ctx.now + GRAB);
        if matches!(offered, Offered::Wake(_)) {
            self.wake(ctx, token);
        }
    }

    fn cancel(&mut self, ctx: &mut Context<'_>, attempt: AttemptId, _hop: WorkerId, _name: &str) {
        let conn = self.fleet.give_up(attempt);
        if self.offers.remove(&attempt).is_some() {
            if let Some(token) = conn {
                ctx.deadlines.clear(Deadline::Connection(token, ConnectionTimer::OfferTimeout));
            }
            return ctx.request_table.cancel_delivered(ctx.now, attempt);
        }
        // It was handed out, and there are no words for it: the worker runs on, and what it tells later meets nothing.
        ctx.request_table.cancel_undeliverable(ctx.now, attempt);
    }

    fn release_attempt(&mut self, _ctx: &mut Context<'_>, _attempt: AttemptId) {}

    fn probe(&mut self, ctx: &mut Context<'_>, hop: WorkerId) {
        // What a worker could say of its load is known here.
        let free = self.hops.get(&hop).map(|&nr| self.fleet.free(nr) as f64);
        let ending = if free.is_some() { Ending::Ok } else { Ending::Unreachable };
        ctx.request_table.probe_finished(
            hop,
            ending,
            0,
            Some(Report { free_slots: free, ..Report::default() }),
        );
    }

    fn close_idle(&mut self, _ctx: &mut Context<'_>, _hop: WorkerId) {}

    /// Tells of workers that came, went, or can do other things now.
    fn on_events_gathered(&mut self, ctx: &mut Context<'_>) {
        let mut members = Vec::new();
        for change in self.fleet.changes() {
            let worker = calicolb::wire::worker_id(&format!("gearman worker {}", change.nr));
            self.hops.insert(worker, change.nr);
            // Without a lane there is nothing that it could take.
            let can = |name: &str| change.lanes > 0 && change.functions.contains(name);
            let refuses = self.refuses(can);
            let now = (change.here, change.lanes.max(1) as u32, refuses, change.since);
            if self.told.insert(change.nr, now) == Some(now) {
                continue;
            }
            log_line!(debug: worker = change.name, lanes = change.lanes, here = change.here, "a worker has changed");
            let standing = match (change.here, change.functions.is_empty()) {
                (false, _) => WorkerStatus::Gone,
                (true, true) => WorkerStatus::Draining,
                (true, false) => WorkerStatus::On,
            };
            members.push(Member {
                worker,
                zone: self.config.zone,
                kind: self.config.kind,
                status: standing,
                weight: 1.0,
                started: Some(change.since),
                lanes: Some(now.1),
                refuses,
                ..Member::default()
            });
        }
        if !members.is_empty() {
            ctx.request_table.update_workers(SOURCE, ListKind::Changes, members);
        }
    }

    fn on_commands_done(&mut self, ctx: &mut Context<'_>) {
        for token in std::mem::take(&mut self.asking) {
            self.assign(ctx, token);
        }
        let mail = self.book.settle();
        self.mail(ctx, mail);
        for token in std::mem::take(&mut self.blocked) {
            ctx.deadlines.set(Deadline::Connection(token, ConnectionTimer::ContinueRead), ctx.now);
        }
    }

    fn listen(&mut self, ctx: &mut Context<'_>) -> io::Result<()> {
        if !self.listening {
            ctx.registry.register(&mut self.listener, Token(self.token), Interest::READABLE)?;
            log_line!("{} speaks Gearman on {}", self.config.name, self.listener.local_addr()?);
        }
        self.listening = true;
        Ok(())
    }

    fn set_descriptor_limits(&mut self, ctx: &mut Context<'_>, shares: DescriptorLimits) {
        // Workers come in like clients.
        self.most = shares.clients + shares.workers;
        while self.conns.len() > self.most && self.release_idle(ctx) {}
    }

    fn begin_drain(&mut self, ctx: &mut Context<'_>) {
        self.parting = true;
        let rests = |token: &&ConnId| !(self.fleet.knows(**token) || self.book.awaits(**token));
        let resting: Vec<ConnId> = self.conns.keys().filter(rests).copied().collect();
        resting.into_iter().for_each(|token| self.drop_conn(ctx, token));
    }

    fn resume(&mut self) {
        self.parting = false;
    }

    fn check_settings(&self, names: &Names, classes: &[Class]) -> Result<(), SettingsError> {
        for function in &self.config.functions {
            let effect = |grade: &PriorityClass| classes.get(grade.class.0).map(|class| class.effect);
            for grade in &function.priority_classes {
                let Some(class) = self.config.classes.get(grade.class.0) else { continue };
                if names.class(class).is_err() {
                    let why = format!("is the class of the function '{}', and cannot go", function.name);
                    return Err(SettingsError::new(format!("request_classes.{class}"), why));
                }
                if effect(grade) != effect(&function.priority_classes[1]) {
                    let why = format!("differs from that of the other classes of '{}'", function.name);
                    return Err(SettingsError::new(format!("request_classes.{class}.effect"), why));
                }
            }
        }
        Ok(())
    }

    fn apply_settings(&mut self, classes: &[Class]) {
        for function in &mut self.config.functions {
            // A background job that was given no time of its own has its class's.
            let as_class = function.background_timeout == function.priority_classes[1].client_timeout;
            for grade in &mut function.priority_classes {
                grade.client_timeout =
                    classes.get(grade.class.0).map_or(grade.client_timeout, |class| class.deadline);
            }
            if as_class {
                function.background_timeout = function.priority_classes[1].client_timeout;
            }
        }
    }

    fn is_idle(&self, _now: Micros) -> bool {
        self.conns.values().all(|conn| !conn.buffer.has_output())
    }

    fn metrics(&self) -> Vec<(&'static str, u64)> {
        let lanes = self.told.values().filter(|told| told.0).map(|told| u64::from(told.1)).sum();
        vec![
            ("gearman.connections", self.conns.len() as u64),
            ("gearman.workers", self.told.values().filter(|told| told.0).count() as u64),
            ("gearman.lanes", lanes),
            ("gearman.jobs", self.book.len() as u64),
            ("gearman.offered", self.offers.len() as u64),
        ]
    }
}
