//! Gearman: one listener for clients, workers and operators. Here bytes are moved; which connection of a worker gets a
//! branch is the fleet's to say, which submissions are one job the book's, and all else the module's. See
//! `docs/gearman.md`.

mod admin;

use crate::config::{Function, GearmanConfig};
use crate::log::note;
use crate::net::Ctx;
use crate::net::core::buffer::{Buffer, Filled};
use crate::net::core::deadlines::{Alarm, Due};
use crate::net::core::desk::{Answer, BranchId, CallerId, Hears, Job, Part, Unfit};
use crate::net::core::envelope::{Envelope, Payload};
use crate::net::core::roster::{Source, hop_id};
use crate::net::protocol::{Protocol, Shares, Spare};
use calicolb::api::{Ending, ListKind, Member, Micros, Note, Report, Standing, WorkerId};
use calicolb_gearman::ConnId;
use calicolb_gearman::admin::LINE;
use calicolb_gearman::book::{Book, End, JobId, Mail, Submission};
use calicolb_gearman::fleet::{Fleet, HopNr, Lost, Offered, Work};
use calicolb_gearman::packet::{self, From, HEAD, Kind, Packet, Read, write};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Token};
use std::collections::hash_map::RandomState;
use std::collections::{HashMap, HashSet};
use std::hash::BuildHasher;
use std::io::{self, ErrorKind};
use std::net::{IpAddr, Shutdown};
use std::rc::Rc;

const MILLI: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// A packet or line is owed whole within this time from its first byte.
const PARTIAL: Micros = 5 * SECOND / 2;
/// Who connects and never says anything is let go after this time: clients may well connect before they have a job.
const FIRST: Micros = 30 * SECOND;
/// A peer that does not take what it is sent for this long is let go.
const STALLED: Micros = 5 * SECOND;
/// How long a connection that was told of an error may go on sending before it is cut.
const LINGER: Micros = SECOND;
/// A worker that was woken asks within this time, or has not taken what was offered to it.
const GRAB: Micros = 500 * MILLI;
/// Accepting is tried again after this time when no descriptor could be had.
const ACCEPT_AGAIN: Micros = SECOND / 50;
/// Connections taken in one turn at most; the rest come in the next.
const ACCEPTS: usize = 256;
/// Packets taken from one connection in one turn at most.
const PACKETS: usize = 256;
/// Bytes of a packet apart from its workload: names, ids and handles.
const NAMES: usize = 2 * 1024;
/// The longest function name, unique id and client id that are taken.
const NAME: usize = 256;
/// Bytes that may wait to go out to one peer. Beyond that it does not read, and is let go.
const OUTPUT: usize = 512 * 1024;
/// The largest result that is put together for a caller that takes it in one piece only.
const RESULT: usize = 64 * 1024;
/// Whose next hops the roster calls these.
const SOURCE: Source = Source::Arrived("gearman");

struct Conn {
    stream: TcpStream,
    buffer: Buffer,
    from: Option<IpAddr>,
    /// When it was opened, or last had something to say.
    since: Micros,
    /// It has said something whole.
    spoke: bool,
    /// When the packet that is coming in began.
    begun: Option<Micros>,
    /// The last answer is written; whatever still comes is thrown away.
    ending: bool,
    /// A branch whose last byte is not written yet, and the worker's own limit for it in seconds.
    assigning: Option<(BranchId, u32)>,
    /// Parts of a result that its caller takes in one piece only.
    parts: Vec<u8>,
}

/// See the head of this file.
pub struct Gearman {
    config: GearmanConfig,
    listener: TcpListener,
    /// The number of the listener.
    token: usize,
    listening: bool,
    conns: HashMap<ConnId, Conn>,
    most: usize,
    fleet: Fleet<BranchId>,
    book: Book,
    /// What this process is told apart by from the one before: a handle must not mean another job after a restart.
    boot: String,
    /// Jobs by the number of their request.
    jobs: HashMap<u32, JobId>,
    /// What is offered to workers and not yet assigned.
    offers: HashMap<BranchId, Payload>,
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
            book: Book::new(config.ends),
            boot: format!("{:08x}", hash[0].hash_one(ctx.now) as u32),
            jobs: HashMap::new(),
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

    // ---- Connections -----------------------------------------------------------------------------

    fn accept(&mut self, ctx: &mut Ctx<'_>) {
        let again = Due::Conn(self.token, Alarm::Accept);
        for _ in 0..ACCEPTS {
            if self.conns.len() >= self.most && !self.shed(ctx) {
                // They wait in the listener's queue until a connection ends.
                return ctx.deadlines.set(again, ctx.now + ACCEPT_AGAIN);
            }
            match self.listener.accept() {
                Ok((stream, from)) => self.open(ctx, stream, from.ip()),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error)
                    if matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(error) => {
                    note!(warn: "accepting Gearman: {error}");
                    self.shed(ctx);
                    return ctx.deadlines.set(again, ctx.now + ACCEPT_AGAIN);
                }
            }
        }
        ctx.deadlines.set(again, ctx.now + 1);
    }

    fn open(&mut self, ctx: &mut Ctx<'_>, mut stream: TcpStream, from: IpAddr) {
        let token = ctx.next_token();
        let _ = stream.set_nodelay(true);
        let both = Interest::READABLE | Interest::WRITABLE;
        if let Err(error) = ctx.registry.register(&mut stream, Token(token), both) {
            return note!(warn: "watching a Gearman connection: {error}");
        }
        ctx.deadlines.set(Due::Conn(token, Alarm::Late), ctx.now + FIRST);
        let conn = Conn {
            stream,
            buffer: Buffer::default(),
            from: Some(from),
            since: ctx.now,
            spoke: false,
            begun: None,
            ending: false,
            assigning: None,
            parts: Vec::new(),
        };
        self.conns.insert(token, conn);
    }

    /// A connection has ended, or is ended. What was offered or assigned to it ends as its last byte says, and its
    /// client waits for nothing any more.
    fn drop_conn(&mut self, ctx: &mut Ctx<'_>, token: ConnId) {
        let Some(mut conn) = self.conns.remove(&token) else { return };
        let _ = ctx.registry.deregister(&mut conn.stream);
        for alarm in [Alarm::Late, Alarm::More, Alarm::Owed, Alarm::Rested] {
            ctx.deadlines.clear(Due::Conn(token, alarm));
        }
        self.blocked.remove(&token);
        if let Some(Lost::Offered(branch) | Lost::Assigned(branch)) = self.fleet.close(token) {
            self.offers.remove(&branch);
            ctx.desk.broke(ctx.now, branch);
        }
        for job in self.book.leave(token) {
            self.jobs.retain(|_, known| *known != job);
            ctx.desk.leave(job);
        }
    }

    /// Writes a packet or text to a peer, as far as it takes it now.
    fn put(&mut self, ctx: &mut Ctx<'_>, token: ConnId, bytes: &[u8]) {
        let Some(conn) = self.conns.get_mut(&token).filter(|conn| !conn.ending) else { return };
        conn.buffer.put(bytes);
        self.flush(ctx, token);
    }

    fn mail(&mut self, ctx: &mut Ctx<'_>, mail: Vec<Mail>) {
        mail.into_iter().for_each(|(conn, bytes)| self.put(ctx, conn, &bytes));
    }

    fn error(&mut self, ctx: &mut Ctx<'_>, token: ConnId, code: &str, text: &str) {
        self.put(ctx, token, &write(From::Server, Kind::Error, &[code.as_bytes(), text.as_bytes()]));
    }

    /// The last word to a peer that is out of step.
    fn part_with(&mut self, ctx: &mut Ctx<'_>, token: ConnId, last: &[u8]) {
        self.put(ctx, token, last);
        if let Some(conn) = self.conns.get_mut(&token) {
            // Closing with input unread would reset the connection, and the answer with it.
            let _ = conn.stream.shutdown(Shutdown::Write);
            conn.ending = true;
            ctx.deadlines.set(Due::Conn(token, Alarm::Late), ctx.now + LINGER);
        }
    }

    /// Writes what waits; tells whether the connection lives and has nothing more to write.
    fn flush(&mut self, ctx: &mut Ctx<'_>, token: ConnId) -> bool {
        let Some(conn) = self.conns.get_mut(&token) else { return false };
        let late = Due::Conn(token, Alarm::Late);
        match conn.buffer.flush(&mut conn.stream) {
            Ok(true) => {
                if let Some((branch, limit)) = conn.assigning.take() {
                    ctx.desk.written(branch);
                    ctx.desk.note(branch, Note::Started);
                    if limit > 0 {
                        let ends = ctx.now + Micros::from(limit) * SECOND;
                        ctx.deadlines.set(Due::Conn(token, Alarm::Rested), ends);
                    }
                }
                if !conn.ending {
                    ctx.deadlines.clear(late);
                }
                true
            }
            Ok(false) if conn.buffer.waiting() <= OUTPUT => {
                ctx.deadlines.set(late, ctx.now + STALLED);
                false
            }
            Ok(false) | Err(_) => {
                self.drop_conn(ctx, token);
                false
            }
        }
    }

    fn read(&mut self, ctx: &mut Ctx<'_>, token: ConnId) {
        let most = HEAD + NAMES + self.config.workload;
        for _ in 0..PACKETS {
            let Some(conn) = self.conns.get_mut(&token) else { return };
            let filled = conn.buffer.fill(&mut conn.stream, most);
            if conn.ending {
                conn.buffer.consume(usize::MAX / 2);
            }
            let stepped = !conn.ending && self.step(ctx, token);
            if stepped {
                continue;
            }
            // What it said before it left has been heard.
            if filled == Filled::Ended {
                return self.drop_conn(ctx, token);
            }
            if filled == Filled::Brimful && self.conns.get(&token).is_some_and(|conn| conn.ending) {
                break;
            }
            return;
        }
        // The rest in the next turn: who sends without end gets its share of this one.
        ctx.deadlines.set(Due::Conn(token, Alarm::More), ctx.now + 1);
    }

    /// Deals with the next packet or line; tells whether there was one.
    fn step(&mut self, ctx: &mut Ctx<'_>, token: ConnId) -> bool {
        let limit = NAMES + self.config.workload;
        let Some(conn) = self.conns.get_mut(&token).filter(|conn| !conn.buffer.has_output()) else {
            return false;
        };
        let input = conn.buffer.input();
        let Some(&first) = input.first() else {
            conn.begun = None;
            if conn.spoke {
                ctx.deadlines.clear(Due::Conn(token, Alarm::Late));
            }
            return false;
        };
        if first != 0 {
            return self.line(ctx, token);
        }
        match packet::read(input, From::Peer, limit) {
            Ok(Read::Partial) => {
                let begun = *conn.begun.get_or_insert(ctx.now);
                ctx.deadlines.set(Due::Conn(token, Alarm::Late), begun + PARTIAL);
                false
            }
            Ok(Read::Whole(found, length)) => {
                if !submits(found.kind) && self.book.owes(token) {
                    // Answers go out in order, and the one to a submission is known at the end of the turn.
                    self.blocked.insert(token);
                    return false;
                }
                // A copy, for the buffer is needed for answers.
                let bytes = input[..length].to_vec();
                conn.heard(ctx.now, length);
                if let Ok(Read::Whole(found, _)) = packet::read(&bytes, From::Peer, limit) {
                    self.packet(ctx, token, found);
                }
                true
            }
            Ok(Read::Unusable(fault, length)) => {
                conn.heard(ctx.now, length);
                self.error(ctx, token, "BAD_PACKET", &fault.to_string());
                true
            }
            Err(fault) => {
                note!("a Gearman peer is out of step: {fault}");
                let last = write(From::Server, Kind::Error, &[b"BAD_PACKET", fault.to_string().as_bytes()]);
                self.part_with(ctx, token, &last);
                false
            }
        }
    }

    /// Deals with a line of text, if a whole one is there.
    fn line(&mut self, ctx: &mut Ctx<'_>, token: ConnId) -> bool {
        let Some(conn) = self.conns.get_mut(&token) else { return false };
        let input = conn.buffer.input();
        match input.iter().take(LINE).position(|&byte| byte == b'\n') {
            Some(end) => {
                let line = input[..end].to_vec();
                conn.heard(ctx.now, end + 1);
                let answer = self.command(ctx, line.trim_ascii());
                self.put(ctx, token, answer.as_bytes());
                true
            }
            None if input.len() >= LINE => {
                self.part_with(ctx, token, b"ERR TOO_LONG the line is too long\n");
                false
            }
            None => {
                let begun = *conn.begun.get_or_insert(ctx.now);
                ctx.deadlines.set(Due::Conn(token, Alarm::Late), begun + PARTIAL);
                false
            }
        }
    }

    // ---- Packets ---------------------------------------------------------------------------------

    fn packet(&mut self, ctx: &mut Ctx<'_>, token: ConnId, packet: Packet<'_>) {
        match packet.kind {
            kind if submits(kind) => self.submit(ctx, token, packet),
            Kind::SubmitJobSched | Kind::SubmitJobEpoch | Kind::SubmitReduceJob | Kind::SubmitReduceJobBg => {
                let text = format!("{} is not spoken here", packet.kind);
                self.error(ctx, token, "NOT_SUPPORTED", &text);
            }
            Kind::GetStatus => {
                let [handle] = packet.fields();
                let answer = self.book.status(handle);
                self.put(ctx, token, &answer);
            }
            Kind::GetStatusUnique => {
                let [unique] = packet.fields();
                let answer = self.book.status_unique(unique);
                self.put(ctx, token, &answer);
            }
            Kind::EchoReq => {
                let [bytes] = packet.fields();
                self.put(ctx, token, &write(From::Server, Kind::EchoRes, &[bytes]));
            }
            Kind::OptionReq => match packet.fields() {
                [b"exceptions"] => {
                    self.book.with_exceptions(token);
                    self.put(ctx, token, &write(From::Server, Kind::OptionRes, &[b"exceptions"]));
                }
                [_] => self.error(ctx, token, "UNKNOWN_OPTION", "the one option is 'exceptions'"),
            },
            Kind::SetClientId => {
                let [id] = packet.fields();
                let named = name(id).is_some_and(|id| self.fleet.name(token, id));
                if !named {
                    let text =
                        "a client id is 1 to 256 printable characters, and does not change under a job";
                    self.error(ctx, token, "BAD_CLIENT_ID", text);
                }
            }
            Kind::CanDo | Kind::CanDoTimeout | Kind::CantDo | Kind::ResetAbilities => {
                self.ability(ctx, token, packet);
            }
            Kind::PreSleep => match self.fleet.sleep(token, ctx.now) {
                Ok(true) => self.wake(ctx, token),
                Ok(false) => {}
                Err(error) => self.error(ctx, token, "TOO_MANY", &error.to_string()),
            },
            Kind::GrabJob | Kind::GrabJobUniq | Kind::GrabJobAll => {
                match self.fleet.ask(token, packet.kind, ctx.now) {
                    // What the module sends in this turn may be for it.
                    Ok(true) => self.asking.push(token),
                    Ok(false) => self.put(ctx, token, &write(From::Server, Kind::NoJob, &[])),
                    Err(error) => self.error(ctx, token, "TOO_MANY", &error.to_string()),
                }
            }
            Kind::WorkComplete
            | Kind::WorkFail
            | Kind::WorkData
            | Kind::WorkWarning
            | Kind::WorkStatus
            | Kind::WorkException => self.report(ctx, token, packet),
            Kind::AllYours => {}
            kind => {
                self.error(ctx, token, "UNEXPECTED_PACKET", &format!("{kind} is for a job server to send"))
            }
        }
    }

    fn ability(&mut self, ctx: &mut Ctx<'_>, token: ConnId, packet: Packet<'_>) {
        let [first, second] = packet.fields();
        let withdrawn = match (packet.kind, name(first)) {
            (Kind::ResetAbilities, _) => self.fleet.reset(token),
            (_, None) => return self.error(ctx, token, "BAD_FUNCTION", "a function is 1 to 256 characters"),
            (Kind::CantDo, Some(function)) => self.fleet.cant_do(token, function),
            (kind, Some(function)) => {
                let limit = if kind == Kind::CanDoTimeout { number(second) } else { Some(0) };
                let Some(limit) = limit else {
                    return self.error(ctx, token, "BAD_TIMEOUT", "the time is a number of seconds");
                };
                if !self.fleet.can_do(token, function, limit.min(u64::from(u32::MAX)) as u32) {
                    self.error(ctx, token, "TOO_MANY", "no more functions are taken from one connection");
                }
                None
            }
        };
        if let Some(branch) = withdrawn {
            // Only offered: it never ran, and goes elsewhere at once.
            ctx.deadlines.clear(Due::Conn(token, Alarm::Owed));
            self.offers.remove(&branch);
            ctx.desk.answered(ctx.now, branch, Ending::Full, None);
        }
    }

    fn submit(&mut self, ctx: &mut Ctx<'_>, token: ConnId, packet: Packet<'_>) {
        let [function, unique, workload] = packet.fields();
        let declared = |known: &&Function| known.name.as_bytes() == function;
        let Some(function) = self.config.functions.iter().find(declared) else {
            let text =
                format!("no function '{}' is declared", String::from_utf8_lossy(function).escape_debug());
            return self.error(ctx, token, "UNKNOWN_FUNCTION", &text);
        };
        if self.parting {
            return self.error(ctx, token, "DRAINING", "clients are sent away: submit it elsewhere");
        }
        if workload.len() > self.config.workload || unique.len() > NAME {
            let text = format!("a workload is {} bytes at most, a unique id {NAME}", self.config.workload);
            return self.error(ctx, token, "TOO_LARGE", &text);
        }
        let unique = if unique == b"-" {
            // The workload itself is the id. Hashed with keys of this process, so that nobody can make two alike.
            let [first, second] = self.hash.each_ref().map(|hash| hash.hash_one(workload));
            format!("-{first:016x}{second:016x}").into_bytes()
        } else {
            unique.to_vec()
        };
        let (priority, background) = urgency(packet.kind);
        let submission = Submission { conn: token, function: function.name.clone(), unique, background };
        if let Some(job) = self.book.same(&submission) {
            self.book.join(job, &submission);
            if !background {
                ctx.desk.hear(job, Hears::All);
            }
            return;
        }
        if self.book.full(&function.name) {
            return self.error(ctx, token, "QUEUE_FULL", "as many jobs of this function are open as may be");
        }
        let grade = function.grades[priority];
        let class = &self.config.classes[grade.class.0];
        let caller = ctx.next_token();
        let name = format!("{}-{caller:x}", self.boot);
        let headers = [
            ("Host", "origin.svc"),
            ("Request-Id", &name),
            ("Request-Class", class),
            ("Request-Function", &function.name),
        ];
        let headers = headers.iter().map(|(key, value)| ((*key).to_owned(), (*value).to_owned())).collect();
        let envelope = Envelope {
            name: name.clone(),
            skill: function.skill,
            target: format!("/{class}"),
            headers,
            body: workload.to_vec(),
        };
        let job = Job {
            name,
            class: grade.class,
            tenant: None,
            hint: None,
            patience: if background { function.background } else { grade.patience },
            slots: None,
            memory: 0.0,
            key: None,
            retry: false,
            skill: function.skill,
            hears: if background { Hears::Progress } else { Hears::All },
            payload: Rc::new(envelope),
        };
        match ctx.desk.arrive(ctx.now, caller, job) {
            Ok(request) => {
                self.jobs.insert(request, caller);
                let handle = self.handle(BranchId { request, attempt: 0 });
                self.book.open(caller, handle, submission);
            }
            Err(Unfit::Repeated | Unfit::TooMany) => {
                self.error(ctx, token, "BUSY", "as many jobs are open as may be");
            }
        }
    }

    /// The handle of a branch. The first has that of its job; each has its own, so that a late report ends no newer one.
    fn handle(&self, branch: BranchId) -> String {
        let BranchId { request, attempt } = branch;
        let again = if attempt > 0 { format!(".{}", attempt + 1) } else { String::new() };
        format!("H:{}-{}:{request}{again}", self.config.name, self.boot)
    }

    /// A worker tells of what it has at hand.
    fn report(&mut self, ctx: &mut Ctx<'_>, token: ConnId, packet: Packet<'_>) {
        // Each has its handle first; FAIL has nothing else.
        let [handle, rest] = packet.fields();
        let assigning = self.conns.get(&token).is_none_or(|conn| conn.assigning.is_some());
        let branch = match self.fleet.work(token, handle) {
            Work::Branch(branch) if !assigning => Some(branch),
            Work::Orphan => None,
            Work::Branch(_) | Work::Strange => {
                let text = "this connection has no job of that handle";
                return self.error(ctx, token, "JOB_NOT_FOUND", text);
            }
        };
        if matches!(packet.kind, Kind::WorkComplete | Kind::WorkFail) {
            ctx.deadlines.clear(Due::Conn(token, Alarm::Rested));
            self.fleet.done(token);
        }
        let Some(branch) = branch else { return };
        let Some(conn) = self.conns.get_mut(&token) else { return };
        let part = match packet.kind {
            Kind::WorkComplete => {
                let mut result = std::mem::take(&mut conn.parts);
                result.extend_from_slice(rest);
                return ctx.desk.served(ctx.now, branch, result, None);
            }
            Kind::WorkFail => return ctx.desk.answered(ctx.now, branch, Ending::Error, None),
            Kind::WorkData => Part::Data(rest.to_vec()),
            Kind::WorkWarning => Part::Warning(rest.to_vec()),
            Kind::WorkException => Part::Exception(rest.to_vec()),
            _ => {
                let mut numbers = rest.split(|&byte| byte == 0);
                let mut next = || numbers.next().and_then(number);
                let (Some(done), Some(of)) = (next(), next()) else {
                    return self.error(ctx, token, "BAD_STATUS", "a status is two numbers");
                };
                Part::Progress(done, of)
            }
        };
        let Some(Part::Data(part) | Part::Warning(part)) = ctx.desk.part(branch, part) else { return };
        if conn.parts.len() + part.len() <= RESULT {
            conn.parts.extend_from_slice(&part);
        } else {
            // It ran, and what it gave cannot be served whole: it must not be served in part either.
            note!(warn: request = branch.request, "a result is too large for its caller");
            ctx.desk.answered(ctx.now, branch, Ending::Error, None);
            self.fleet.give_up(branch);
        }
    }

    // ---- Workers ---------------------------------------------------------------------------------

    fn wake(&mut self, ctx: &mut Ctx<'_>, token: ConnId) {
        self.put(ctx, token, &write(From::Server, Kind::Noop, &[]));
    }

    /// Answers a connection that asks for work.
    fn assign(&mut self, ctx: &mut Ctx<'_>, token: ConnId) {
        let Some((how, given, from)) = self.fleet.assign(token) else {
            return self.put(ctx, token, &write(From::Server, Kind::NoJob, &[]));
        };
        ctx.deadlines.clear(Due::Conn(from, Alarm::Owed));
        let Some(payload) = self.offers.remove(&given.branch) else {
            // It cannot be missing; were it, nothing was written of it.
            self.fleet.done(token);
            return ctx.desk.broke(ctx.now, given.branch);
        };
        let job = self.jobs.get(&given.branch.request).copied();
        let unique = job.and_then(|job| self.book.unique(job)).unwrap_or(payload.name.as_bytes());
        let (handle, function) = (given.handle.as_bytes(), given.function.as_bytes());
        let bytes = match how {
            Kind::GrabJobUniq => {
                write(From::Server, Kind::JobAssignUniq, &[handle, function, unique, &payload.body])
            }
            Kind::GrabJobAll => {
                write(From::Server, Kind::JobAssignAll, &[handle, function, unique, b"", &payload.body])
            }
            _ => write(From::Server, Kind::JobAssign, &[handle, function, &payload.body]),
        };
        if let Some(job) = job {
            self.book.sent(job);
        }
        if let Some(conn) = self.conns.get_mut(&token) {
            conn.parts.clear();
            conn.assigning = Some((given.branch, given.timeout));
        }
        self.put(ctx, token, &bytes);
    }

    /// What a worker that can do these functions does not take.
    fn refuses(&self, can: impl Fn(&str) -> bool) -> u64 {
        let mut takes = 0_u64;
        for function in self.config.functions.iter().filter(|function| can(&function.name)) {
            takes |= 1 << function.skill;
            if function.takes_http {
                takes |= 1 << function.grades[1].class.0;
            }
        }
        !takes
    }
}

impl Conn {
    /// Something whole of this length has come in.
    fn heard(&mut self, now: Micros, length: usize) {
        self.buffer.consume(length);
        (self.since, self.spoke, self.begun) = (now, true, None);
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
                if let Some(branch) = self.fleet.expire(token) {
                    note!(request = branch.request, "a worker was woken and did not ask");
                    self.offers.remove(&branch);
                    ctx.desk.broke(ctx.now, branch);
                }
            }
            Alarm::Rested => {
                // The worker's own limit is over.
                if let Some(branch) = self.fleet.running(token) {
                    ctx.desk.time_up(ctx.now, branch);
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

    fn serves(&self, caller: CallerId) -> bool {
        self.book.has(caller)
    }

    fn answer(&mut self, ctx: &mut Ctx<'_>, caller: CallerId, answer: Answer) {
        self.jobs.retain(|_, job| *job != caller);
        let end = match answer {
            Answer::Served(result) => End::Served(result),
            Answer::Busy { come_back } => End::Refused(come_back),
            Answer::Failed => End::Failed,
        };
        let mail = self.book.end(caller, end);
        self.mail(ctx, mail);
    }

    fn relay(&mut self, ctx: &mut Ctx<'_>, caller: CallerId, part: Part) {
        use calicolb_gearman::book::Part as Told;
        let part = match part {
            Part::Data(data) => Told::Data(data),
            Part::Warning(data) => Told::Warning(data),
            Part::Progress(done, of) => Told::Status(done, of),
            Part::Exception(what) => Told::Exception(what),
        };
        let mail = self.book.relay(caller, part);
        self.mail(ctx, mail);
    }

    fn drives(&self, hop: WorkerId) -> bool {
        self.hops.contains_key(&hop)
    }

    fn send(&mut self, ctx: &mut Ctx<'_>, branch: BranchId, hop: WorkerId, payload: &Payload, _wait: Micros) {
        let Some(&nr) = self.hops.get(&hop) else { return ctx.desk.broke(ctx.now, branch) };
        let fits = |function: &&Function| {
            let as_http = function.takes_http && function.grades[1].class.0 as u32 == payload.skill;
            function.skill == payload.skill || as_http
        };
        let functions: Vec<&str> =
            self.config.functions.iter().filter(fits).map(|function| function.name.as_str()).collect();
        let handle = self.handle(branch);
        let offered = self.fleet.offer(nr, branch, &functions, &handle);
        let (Offered::Wake(token) | Offered::Awaited(token) | Offered::Asked(token)) = offered else {
            return ctx.desk.answered(ctx.now, branch, Ending::Full, None);
        };
        self.offers.insert(branch, Rc::clone(payload));
        ctx.deadlines.set(Due::Conn(token, Alarm::Owed), ctx.now + GRAB);
        if matches!(offered, Offered::Wake(_)) {
            self.wake(ctx, token);
        }
    }

    fn give_up(&mut self, ctx: &mut Ctx<'_>, branch: BranchId, _hop: WorkerId, _name: &str) {
        if let Some(token) = self.fleet.give_up(branch)
            && self.offers.remove(&branch).is_some()
        {
            ctx.deadlines.clear(Due::Conn(token, Alarm::Owed));
        }
    }

    fn release(&mut self, _ctx: &mut Ctx<'_>, _branch: BranchId) {}

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
            let worker = hop_id(&format!("gearman worker {}", change.nr));
            self.hops.insert(worker, change.nr);
            // Without a lane there is nothing that it could take.
            let can = |name: &str| change.lanes > 0 && change.functions.contains(name);
            let refuses = self.refuses(can);
            let now = (change.here, change.lanes.max(1) as u32, refuses, change.since);
            if self.told.insert(change.nr, now) == Some(now) {
                continue;
            }
            note!(debug: worker = change.name, lanes = change.lanes, here = change.here, "a worker has changed");
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
            note!("{} speaks Gearman on {}", self.config.name, self.listener.local_addr()?);
        }
        self.listening = true;
        Ok(())
    }

    fn limit(&mut self, ctx: &mut Ctx<'_>, shares: Shares) {
        // Workers come in like clients.
        self.most = shares.callers + shares.hops;
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

    fn at_rest(&self) -> bool {
        self.conns.values().all(|conn| !conn.buffer.has_output())
    }
}

/// The packets that submit a job that is taken here.
fn submits(kind: Kind) -> bool {
    matches!(
        kind,
        Kind::SubmitJob
            | Kind::SubmitJobHigh
            | Kind::SubmitJobLow
            | Kind::SubmitJobBg
            | Kind::SubmitJobHighBg
            | Kind::SubmitJobLowBg
    )
}

/// The priority of a submission, from low to high, and whether it is for the background.
fn urgency(kind: Kind) -> (usize, bool) {
    match kind {
        Kind::SubmitJobLow => (0, false),
        Kind::SubmitJobHigh => (2, false),
        Kind::SubmitJobLowBg => (0, true),
        Kind::SubmitJobHighBg => (2, true),
        Kind::SubmitJobBg => (1, true),
        _ => (1, false),
    }
}

/// A name that can be shown: printable, and not too long.
fn name(bytes: &[u8]) -> Option<&str> {
    let sound = (1..=NAME).contains(&bytes.len()) && bytes.iter().all(|byte| (b' '..=b'~').contains(byte));
    std::str::from_utf8(bytes).ok().filter(|_| sound)
}

fn number(bytes: &[u8]) -> Option<u64> {
    std::str::from_utf8(bytes).ok()?.trim().parse().ok()
}
