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
use crate::net::Ctx;
use crate::net::core::deadlines::{Alarm, Due};
use crate::net::core::desk::{Answer, AttemptId, ClientId, Part};
use crate::net::core::envelope::Payload;
use crate::net::core::roster::Source;
use crate::net::protocol::{Protocol, Shares, Spare};
use calicolb::api::{Class, Ending, ListKind, Member, Micros, Report, Standing, WorkerId};
use calicolb::renewal::Fault;
use calicolb::wire::Names;
use calicolb_gearman::ConnId;
use calicolb_gearman::book::{Book, End};
use calicolb_gearman::fleet::{Fleet, HopNr, Offered};
use calicolb_gearman::packet::{From, Kind, write};
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
const SOURCE: Source = Source::Arrived("gearman");

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
    pub fn new(ctx: &mut Ctx<'_>, config: GearmanConfig) -> io::Result<Gearman> {
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

impl Spare for Gearman {
    /// Closes a connection that is at its end, else a client that waits for nothing and has said nothing for longest.
    fn shed(&mut self, ctx: &mut Ctx<'_>) -> bool {
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
    fn has(&self, token: usize) -> bool {
        token == self.token || self.conns.contains_key(&token)
    }

    fn ready(&mut self, ctx: &mut Ctx<'_>, token: usize) {
        if token == self.token {
            return self.accept(ctx);
        }
        if self.flush(ctx, token) {
            self.read(ctx, token);
        }
    }

    fn due(&mut self, ctx: &mut Ctx<'_>, token: usize, alarm: Alarm) {
        match alarm {
            Alarm::Accept => self.accept(ctx),
            Alarm::More => self.ready(ctx, token),
            Alarm::Owed => {
                if let Some(attempt) = self.fleet.expire(token) {
                    log_line!(request = attempt.request, "a worker was woken and did not ask");
                    self.offers.remove(&attempt);
                    ctx.desk.broke(ctx.now, attempt);
                }
            }
            Alarm::Rested => {
                // The worker's own limit is over.
                if let Some(attempt) = self.fleet.running(token) {
                    ctx.desk.time_up(ctx.now, attempt);
                }
            }
            Alarm::Late => {
                let Some(conn) = self.conns.get(&token) else { return };
                if conn.ending || conn.buffer.has_output() || conn.begun.is_none() {
                    return self.drop_conn(ctx, token);
                }
                let last = write(From::Server, Kind::Error, &[b"TOO_SLOW", b"a packet has not come whole"]);
                self.part_with(ctx, token, &last);
            }
        }
    }

    fn serves(&self, client: ClientId) -> bool {
        self.book.has(client)
    }

    fn answer(&mut self, ctx: &mut Ctx<'_>, client: ClientId, answer: Answer) {
        let end = match answer {
            Answer::Served(result) => End::Served(result),
            Answer::Busy { come_back } => End::Refused(come_back),
            Answer::Failed => End::Failed,
        };
        let mail = self.book.end(client, end);
        self.mail(ctx, mail);
    }

    fn relay(&mut self, ctx: &mut Ctx<'_>, client: ClientId, part: Part) {
        use calicolb_gearman::book::Part as Told;
        let part = match part {
            Part::Started => Told::Started,
            Part::Data(data) => Told::Data(data),
            Part::Warning(data) => Told::Warning(data),
            Part::Progress(done, of) => Told::Status(done, of),
            Part::Exception(what) => Told::Exception(what),
        };
        let mail = self.book.relay(client, part);
        self.mail(ctx, mail);
    }

    fn drives(&self, hop: WorkerId) -> bool {
        self.hops.contains_key(&hop)
    }

    fn send(
        &mut self,
        ctx: &mut Ctx<'_>,
        attempt: AttemptId,
        hop: WorkerId,
        payload: &Payload,
        _wait: Micros,
    ) {
        let Some(&nr) = self.hops.get(&hop) else { return ctx.desk.broke(ctx.now, attempt) };
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
            return ctx.desk.answered(ctx.now, attempt, Ending::Full, None);
        };
        self.offers.insert(attempt, Rc::clone(payload));
        ctx.deadlines.set(Due::Conn(token, Alarm::Owed), ctx.now + GRAB);
        if matches!(offered, Offered::Wake(_)) {
            self.wake(ctx, token);
        }
    }

    fn give_up(&mut self, ctx: &mut Ctx<'_>, attempt: AttemptId, _hop: WorkerId, _name: &str) {
        let conn = self.fleet.give_up(attempt);
        if self.offers.remove(&attempt).is_some() {
            if let Some(token) = conn {
                ctx.deadlines.clear(Due::Conn(token, Alarm::Owed));
            }
            return ctx.desk.called_off(ctx.now, attempt);
        }
        // It was handed out, and there are no words for it: the worker runs on, and what it tells later meets nothing.
        ctx.desk.runs_on(ctx.now, attempt);
    }

    fn release(&mut self, _ctx: &mut Ctx<'_>, _attempt: AttemptId) {}

    fn probe(&mut self, ctx: &mut Ctx<'_>, hop: WorkerId) {
        // What a worker could say of its load is known here.
        let free = self.hops.get(&hop).map(|&nr| self.fleet.free(nr) as f64);
        let ending = if free.is_some() { Ending::Ok } else { Ending::Unreachable };
        ctx.desk.probed(hop, ending, 0, Some(Report { free_slots: free, ..Report::default() }));
    }

    fn close_idle(&mut self, _ctx: &mut Ctx<'_>, _hop: WorkerId) {}

    /// Tells of workers that came, went, or can do other things now.
    fn gathered(&mut self, ctx: &mut Ctx<'_>) {
        let mut members = Vec::new();
        for change in self.fleet.changes() {
            let worker = calicolb::wire::hop_id(&format!("gearman worker {}", change.nr));
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
                (false, _) => Standing::Gone,
                (true, true) => Standing::Draining,
                (true, false) => Standing::On,
            };
            members.push(Member {
                worker,
                zone: self.config.zone,
                kind: self.config.kind,
                standing,
                weight: 1.0,
                started: Some(change.since),
                lanes: Some(now.1),
                refuses,
                ..Member::default()
            });
        }
        if !members.is_empty() {
            ctx.desk.members(SOURCE, ListKind::Changes, members);
        }
    }

    fn settled(&mut self, ctx: &mut Ctx<'_>) {
        for token in std::mem::take(&mut self.asking) {
            self.assign(ctx, token);
        }
        let mail = self.book.settle();
        self.mail(ctx, mail);
        for token in std::mem::take(&mut self.blocked) {
            ctx.deadlines.set(Due::Conn(token, Alarm::More), ctx.now);
        }
    }

    fn listen(&mut self, ctx: &mut Ctx<'_>) -> io::Result<()> {
        if !self.listening {
            ctx.registry.register(&mut self.listener, Token(self.token), Interest::READABLE)?;
            log_line!("{} speaks Gearman on {}", self.config.name, self.listener.local_addr()?);
        }
        self.listening = true;
        Ok(())
    }

    fn limit(&mut self, ctx: &mut Ctx<'_>, shares: Shares) {
        // Workers come in like clients.
        self.most = shares.clients + shares.hops;
        while self.conns.len() > self.most && self.shed(ctx) {}
    }

    fn farewell(&mut self, ctx: &mut Ctx<'_>) {
        self.parting = true;
        let rests = |token: &&ConnId| !(self.fleet.knows(**token) || self.book.awaits(**token));
        let resting: Vec<ConnId> = self.conns.keys().filter(rests).copied().collect();
        resting.into_iter().for_each(|token| self.drop_conn(ctx, token));
    }

    fn stay(&mut self) {
        self.parting = false;
    }

    fn could_take(&self, names: &Names, classes: &[Class]) -> Result<(), Fault> {
        for function in &self.config.functions {
            let effect = |grade: &PriorityClass| classes.get(grade.class.0).map(|class| class.effect);
            for grade in &function.priority_classes {
                let Some(class) = self.config.classes.get(grade.class.0) else { continue };
                if names.class(class).is_err() {
                    let why = format!("is the class of the function '{}', and cannot go", function.name);
                    return Err(Fault::new(format!("request_classes.{class}"), why));
                }
                if effect(grade) != effect(&function.priority_classes[1]) {
                    let why = format!("differs from that of the other classes of '{}'", function.name);
                    return Err(Fault::new(format!("request_classes.{class}.effect"), why));
                }
            }
        }
        Ok(())
    }

    fn take_up(&mut self, classes: &[Class]) {
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

    fn at_rest(&self, _now: Micros) -> bool {
        self.conns.values().all(|conn| !conn.buffer.has_output())
    }

    fn figures(&self) -> Vec<(&'static str, u64)> {
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
