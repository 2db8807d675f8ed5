//! Client connections: the connections that clients open, and those on which next hops bring their call-backs. One
//! listener serves both.

use crate::log::log_line;
use crate::net::Ctx;
use crate::net::core::buffer::{Buffer, Filled};
use crate::net::core::deadlines::{Alarm, Due};
use crate::net::core::desk::{Answer, Hears, Job, Unfit};
use crate::net::core::envelope::{Envelope, Payload};
use crate::net::core::transfer::Transfer;
use crate::net::http::call_back::call_back;
use crate::net::http::framing::{self, Reject, Request};
use crate::net::protocol::Spare;
use calicolb::api::{ClassIx, Micros};
use calicolb::wire;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Token};
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::Shutdown;
use std::rc::Rc;

const SECOND: Micros = 1_000_000;
/// Who connects owes a whole first request within this time: a slow or silent client costs a descriptor.
const FIRST: Micros = 5 * SECOND / 2;
/// The same once clients were told to go elsewhere: one that comes late and says nothing is let go soon.
const FIRST_PARTING: Micros = SECOND;
/// A connection that stays in the middle of a later request, or does not take its answer, is closed after this time.
const STALLED: Micros = 5 * SECOND;
/// A connection at rest is closed after this time.
const IDLE: Micros = 120 * SECOND;
/// How long a connection that was told of an error may go on sending before it is cut: with 60 MB on the way a cut
/// would take the answer along.
const LINGER: Micros = 3 * SECOND;
/// A connection whose last answer is written is waited for this long before the program exits: an exit over bytes that its client
/// goes on sending resets the connection, and what of the answer is still under way goes with it.
const TAKEN: Micros = SECOND / 2;
/// Accepting is tried again after this time when no descriptor could be had.
const ACCEPT_AGAIN: Micros = SECOND / 50;
/// Connections taken in one turn at most; the rest come in the next.
const ACCEPTS: usize = 256;
/// The longest time that a client's patience is taken to have.
const PATIENCE: f64 = 3600.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Waits for a request, or for the rest of one.
    Reading,
    /// A request of this connection is with the desk.
    Waiting,
    /// The last answer is written; whatever still comes is thrown away.
    Ending,
}

struct Connection {
    stream: TcpStream,
    buffer: Buffer,
    state: State,
    /// The request in work, or the one before, was the last.
    last: bool,
    /// It carries call-backs.
    back: bool,
    /// No whole request has come on it yet.
    fresh: bool,
    since: Micros,
    /// When the request that is coming in began.
    begun: Option<Micros>,
}

/// See the head of this file.
pub struct Clients {
    listener: TcpListener,
    /// The number of the listener.
    token: usize,
    connections: HashMap<usize, Connection>,
    most: usize,
    /// Answers tell clients to go elsewhere.
    parting: bool,
    /// New clients are welcome.
    pub open: bool,
    /// New connections are taken here: those that are not wait for another process on the same socket.
    listening: bool,
}

impl Clients {
    /// `token`: the number of the listener. How many connections there may be is told later (see [`Clients::limit`]).
    pub fn new(listener: TcpListener, token: usize) -> Self {
        let connections = HashMap::new();
        Clients { listener, token, connections, most: 0, parting: false, open: false, listening: false }
    }

    /// The connection is one of these.
    pub fn has(&self, token: usize) -> bool {
        token == self.token || self.connections.contains_key(&token)
    }

    /// Begins to take connections.
    pub fn listen(&mut self, ctx: &mut Ctx<'_>) -> io::Result<()> {
        if !self.listening {
            ctx.registry.register(&mut self.listener, Token(self.token), Interest::READABLE)?;
        }
        self.listening = true;
        Ok(())
    }

    /// Leaves new connections to the other process on this socket: one that is taken and not served is lost.
    pub fn stop_listening(&mut self, ctx: &mut Ctx<'_>) {
        self.listening = false;
        let _ = ctx.registry.deregister(&mut self.listener);
        ctx.deadlines.clear(Due::Conn(self.token, Alarm::Accept));
    }

    /// So many connections may be open from now on.
    pub fn limit(&mut self, ctx: &mut Ctx<'_>, most: usize) {
        self.most = most;
        while self.connections.len() > most && self.shed(ctx) {}
    }

    /// Takes new connections.
    fn accept(&mut self, ctx: &mut Ctx<'_>) {
        if !self.listening {
            return;
        }
        for _ in 0..ACCEPTS {
            if self.connections.len() >= self.most && !self.shed(ctx) {
                // They wait in the listener's queue until a connection ends.
                return ctx.deadlines.set(Due::Conn(self.token, Alarm::Accept), ctx.now + ACCEPT_AGAIN);
            }
            match self.listener.accept() {
                Ok((stream, _)) => self.open(ctx, stream),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error)
                    if matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(error) => {
                    // Out of descriptors or memory: a connection at rest makes room, else time may.
                    log_line!("accepting: {error}");
                    self.shed(ctx);
                    return ctx.deadlines.set(Due::Conn(self.token, Alarm::Accept), ctx.now + ACCEPT_AGAIN);
                }
            }
        }
        ctx.deadlines.set(Due::Conn(self.token, Alarm::Accept), ctx.now + 1);
    }

    fn open(&mut self, ctx: &mut Ctx<'_>, stream: TcpStream) {
        let token = ctx.next_token();
        self.open_as(ctx, stream, token);
    }

    fn open_as(&mut self, ctx: &mut Ctx<'_>, mut stream: TcpStream, token: usize) {
        let _ = stream.set_nodelay(true);
        if let Err(error) =
            ctx.registry.register(&mut stream, Token(token), Interest::READABLE | Interest::WRITABLE)
        {
            return log_line!("watching a client connection: {error}");
        }
        ctx.deadlines.set(Due::Conn(token, Alarm::Late), ctx.now + self.first());
        let connection = Connection {
            stream,
            buffer: Buffer::default(),
            state: State::Reading,
            last: false,
            back: false,
            fresh: true,
            since: ctx.now,
            begun: None,
        };
        self.connections.insert(token, connection);
    }

    /// How long a new client may take over its first request.
    fn first(&self) -> Micros {
        if self.parting { FIRST_PARTING } else { FIRST }
    }

    /// Something can be read or written on one of these connections.
    pub fn ready(&mut self, ctx: &mut Ctx<'_>, token: usize) {
        if token == self.token {
            return self.accept(ctx);
        }
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if connection.buffer.has_output() && !self.flush(ctx, token) {
            return;
        }
        self.read(ctx, token);
    }

    /// A time that was set for a connection, or for the listener, has come.
    pub fn due(&mut self, ctx: &mut Ctx<'_>, token: usize, alarm: Alarm) {
        match alarm {
            Alarm::Accept => self.accept(ctx),
            Alarm::More => self.ready(ctx, token),
            Alarm::Late | Alarm::Rested => self.late(ctx, token),
            // The loop looks again whether all is done.
            Alarm::Owed => {}
        }
    }

    fn read(&mut self, ctx: &mut Ctx<'_>, token: usize) {
        loop {
            let Some(connection) = self.connections.get_mut(&token) else { return };
            let filled = connection.buffer.fill(&mut connection.stream, framing::MESSAGE_LIMIT);
            if connection.state == State::Ending && !connection.buffer.has_output() {
                connection.buffer.consume(usize::MAX / 2);
                if filled == Filled::Brimful {
                    // Who sends without end gets its share of a turn, not the whole of it.
                    return ctx.deadlines.set(Due::Conn(token, Alarm::More), ctx.now + 1);
                }
            }
            while self.connections.get(&token).is_some_and(|connection| {
                connection.state == State::Reading && !connection.buffer.has_output()
            }) && self.step(ctx, token)
            {}
            if filled == Filled::Ended {
                // Who closes has gone away, also in the middle of an answer.
                ctx.desk.leave(token);
                return self.drop_connection(ctx, token);
            }
            let Some(connection) = self.connections.get_mut(&token) else { return };
            let full = connection.buffer.input().len() >= framing::MESSAGE_LIMIT;
            if connection.state == State::Waiting && full {
                // Who sends so much and waits may leave, and that shows only behind it: it is read and thrown away, a
                // turn's share at a time, and the answer is the last on this connection.
                connection.last = true;
                connection.buffer.consume(usize::MAX / 2);
                return ctx.deadlines.set(Due::Conn(token, Alarm::More), ctx.now + 1);
            }
            // The buffer was full of requests, and room has come.
            if filled == Filled::Dry || connection.buffer.has_output() || full {
                return;
            }
        }
    }

    /// Deals with the next request in the buffer; tells whether there was one.
    fn step(&mut self, ctx: &mut Ctx<'_>, token: usize) -> bool {
        let first = self.first();
        let Some(connection) = self.connections.get_mut(&token) else { return false };
        match framing::request(connection.buffer.input()) {
            Ok(None) => {
                // Counted from its first byte: who sends a byte now and then does not hold a connection for ever.
                let ends = if connection.fresh {
                    connection.since + first
                } else if connection.buffer.input().is_empty() {
                    ctx.now + IDLE
                } else {
                    *connection.begun.get_or_insert(ctx.now) + STALLED
                };
                ctx.deadlines.set(Due::Conn(token, Alarm::Late), ends);
                false
            }
            Ok(Some((request, length))) => {
                connection.buffer.consume(length);
                connection.since = ctx.now;
                connection.fresh = false;
                connection.begun = None;
                connection.last |= !request.keep_alive;
                ctx.deadlines.set(Due::Conn(token, Alarm::Late), ctx.now + IDLE);
                match self.route(ctx, token, request) {
                    Ok(()) => {}
                    Err(Reject(status)) => self.reply(ctx, token, status, &[], b""),
                }
                true
            }
            Err(Reject(status)) => {
                // Where this message ends and the next begins is not known.
                connection.last = true;
                self.reply(ctx, token, status, &[], b"");
                false
            }
        }
    }

    fn route(&mut self, ctx: &mut Ctx<'_>, token: usize, request: Request) -> Result<(), Reject> {
        let wanted = |method: &str| if request.method == method { Ok(()) } else { Err(Reject(405)) };
        let path = request.path().to_owned();
        match path.as_str() {
            "/up" => {
                wanted("GET")?;
                let status = if self.open { 200 } else { 503 };
                self.reply(ctx, token, status, &[], b"");
            }
            "/_jobs/news" => {
                wanted("POST")?;
                call_back(ctx, &request.body)?;
                if let Some(connection) = self.connections.get_mut(&token) {
                    connection.back = true;
                }
                self.reply(ctx, token, 200, &[], b"");
            }
            _ => {
                let job = job_of(ctx, request)?;
                match ctx.desk.arrive(ctx.now, token, job) {
                    Ok(_) => {
                        if let Some(connection) = self.connections.get_mut(&token) {
                            connection.state = State::Waiting;
                        }
                        ctx.deadlines.clear(Due::Conn(token, Alarm::Late));
                    }
                    Err(Unfit::Repeated) => return Err(Reject(409)),
                    Err(Unfit::TooMany) => return Err(Reject(503)),
                }
            }
        }
        Ok(())
    }

    /// The connection of a request in work, as another process has to have it: the stream, whether another request may follow,
    /// and what has come in behind this one.
    pub fn for_transfer(&self, token: usize) -> Option<(&TcpStream, bool, &[u8])> {
        let connection = self.connections.get(&token)?;
        (connection.state == State::Waiting)
            .then(|| (&connection.stream, !connection.last, connection.buffer.input()))
    }

    /// Another process may have this connection now: nothing is read or written here until it is known which of the two has it.
    pub fn suspend(&mut self, ctx: &mut Ctx<'_>, token: usize) {
        ctx.deadlines.clear(Due::Conn(token, Alarm::Late));
        ctx.deadlines.clear(Due::Conn(token, Alarm::More));
        if let Some(connection) = self.connections.get_mut(&token) {
            let _ = ctx.registry.deregister(&mut connection.stream);
        }
    }

    /// Another process has the connection: it is let go of here, and not ended.
    pub fn release(&mut self, token: usize) {
        self.connections.remove(&token);
    }

    /// No other process has the connection: the request on it goes on here.
    pub fn resume(&mut self, ctx: &mut Ctx<'_>, token: usize, transfer: Transfer) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let both = Interest::READABLE | Interest::WRITABLE;
        if let Err(error) = ctx.registry.register(&mut connection.stream, Token(token), both) {
            log_line!("watching a client connection again: {error}");
        }
        match transferred(ctx, &transfer) {
            Ok(job) => ctx.desk.adopt(ctx.now, token, job, &transfer.history, ctx.deadlines),
            Err(Reject(status)) => {
                connection.state = State::Reading;
                self.reply(ctx, token, status, &[], b"");
            }
        }
    }

    /// Takes on a connection with a request that another process has worked on.
    ///
    /// # Errors
    /// The request is none that this process can take; its connection is not touched.
    pub fn adopt(&mut self, ctx: &mut Ctx<'_>, stream: TcpStream, transfer: Transfer) -> Result<(), Reject> {
        let job = transferred(ctx, &transfer)?;
        if ctx.desk.knows(&job.name) {
            return Err(Reject(409));
        }
        let token = ctx.next_token();
        self.open_as(ctx, stream, token);
        let connection = self.connections.get_mut(&token).ok_or(Reject(503))?;
        connection.fresh = false;
        connection.last = !transfer.keep_alive;
        connection.state = State::Waiting;
        connection.buffer = Buffer::with_input(&transfer.unread);
        ctx.deadlines.clear(Due::Conn(token, Alarm::Late));
        ctx.desk.adopt(ctx.now, token, job, &transfer.history, ctx.deadlines);
        Ok(())
    }

    /// Gives the final answer to the request of a connection.
    pub fn answer(&mut self, ctx: &mut Ctx<'_>, token: usize, answer: Answer) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        connection.state = State::Reading;
        match answer {
            Answer::Served(result) => self.reply(ctx, token, 200, &[], &result),
            Answer::Busy { come_back: Some(span) } => {
                let seconds = format!("{:.3}", span as f64 / SECOND as f64);
                self.reply(ctx, token, 503, &[("Retry-After", &seconds)], b"");
            }
            Answer::Busy { come_back: None } => self.reply(ctx, token, 503, &[], b""),
            Answer::Failed => self.reply(ctx, token, 500, &[], b""),
        }
        // A client may have sent its next request already, and more of it than was read.
        self.read(ctx, token);
    }

    fn reply(&mut self, ctx: &mut Ctx<'_>, token: usize, status: u16, extra: &[(&str, &str)], body: &[u8]) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        connection.last |= self.parting && !connection.back;
        connection.since = ctx.now;
        connection.buffer.put(&framing::write_response(status, extra, body, !connection.last));
        ctx.deadlines.set(Due::Conn(token, Alarm::Late), ctx.now + STALLED);
        self.flush(ctx, token);
    }

    /// Writes what waits; tells whether the connection goes on.
    fn flush(&mut self, ctx: &mut Ctx<'_>, token: usize) -> bool {
        let parting = self.parting;
        let Some(connection) = self.connections.get_mut(&token) else { return false };
        let flushed = connection.buffer.flush(&mut connection.stream);
        // An answer that was on its way when clients were told to go: its connection must not be kept after it.
        let last = connection.last || (parting && !connection.back && connection.buffer.input().is_empty());
        match flushed {
            Ok(false) => false,
            Ok(true) if last && connection.state == State::Reading => {
                // Closing with input unread would reset the connection, and the answer with it.
                let _ = connection.stream.shutdown(Shutdown::Write);
                connection.state = State::Ending;
                connection.buffer.consume(usize::MAX / 2);
                ctx.deadlines.set(Due::Conn(token, Alarm::Late), ctx.now + LINGER);
                ctx.deadlines.set(Due::Conn(token, Alarm::Owed), ctx.now + TAKEN);
                true
            }
            Ok(true) => {
                if connection.state == State::Reading {
                    ctx.deadlines.set(Due::Conn(token, Alarm::Late), ctx.now + IDLE);
                }
                true
            }
            Err(_) => {
                ctx.desk.leave(token);
                self.drop_connection(ctx, token);
                false
            }
        }
    }

    /// A connection has rested or stalled for too long.
    pub fn late(&mut self, ctx: &mut Ctx<'_>, token: usize) {
        // What came in since the poll counts: a request that lies unread has been taken, and a close would reset it.
        let Some(&Connection { state, since, .. }) = self.connections.get(&token) else { return };
        if state != State::Waiting {
            self.read(ctx, token);
        }
        let Some(connection) =
            self.connections.get_mut(&token).filter(|connection| connection.since == since)
        else {
            return;
        };
        let begun = connection.begun.filter(|_| !connection.fresh);
        match connection.state {
            State::Waiting => {}
            State::Reading if connection.at_rest() => self.part(ctx, token),
            // Its first bytes have only just come.
            State::Reading if begun.is_some_and(|begun| ctx.now < begun + STALLED) => {}
            State::Reading if !connection.buffer.has_output() => {
                connection.last = true;
                self.reply(ctx, token, 408, &[], b"");
            }
            // It does not take its answer, or goes on sending after its end.
            State::Reading | State::Ending => self.drop_connection(ctx, token),
        }
    }

    /// Ends a connection at rest: its client hears of it, and what crosses the end is thrown away, not reset.
    fn part(&mut self, ctx: &mut Ctx<'_>, token: usize) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let _ = connection.stream.shutdown(Shutdown::Write);
        connection.state = State::Ending;
        ctx.deadlines.set(Due::Conn(token, Alarm::Late), ctx.now + LINGER);
    }

    fn drop_connection(&mut self, ctx: &mut Ctx<'_>, token: usize) {
        let Some(mut connection) = self.connections.remove(&token) else { return };
        let _ = ctx.registry.deregister(&mut connection.stream);
        [Alarm::Late, Alarm::More, Alarm::Owed]
            .into_iter()
            .for_each(|alarm| ctx.deadlines.clear(Due::Conn(token, alarm)));
    }

    /// Answers are no longer the last of their connections.
    pub fn stay(&mut self) {
        self.parting = false;
    }

    /// Closes the connections at rest, between two requests, and from now on every answer is the last of its connection;
    /// call-backs keep theirs.
    pub fn farewell(&mut self, ctx: &mut Ctx<'_>) {
        self.parting = true;
        let resting: Vec<usize> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.at_rest() && !connection.back)
            .map(|(&token, _)| token)
            .collect();
        for token in resting {
            // What came in since the poll is a request taken, not one that crosses the end.
            self.read(ctx, token);
            if self.connections.get(&token).is_some_and(Connection::at_rest) {
                self.part(ctx, token);
            }
        }
    }

    /// No connection is in the middle of a request, and clients have had the time to take their last answers.
    pub fn at_rest(&self, now: Micros) -> bool {
        self.connections.values().all(|connection| connection.over(now) || connection.at_rest())
    }
}

impl Spare for Clients {
    /// Closes the connection that has been at rest for longest, of clients first; if none is, the one that has been in
    /// the middle of sending a request, which is not taken before its last byte.
    fn shed(&mut self, ctx: &mut Ctx<'_>) -> bool {
        let now = ctx.now;
        let order = |connection: &Connection| match connection.state {
            State::Ending => Some((if connection.over(now) { 0 } else { 3 }, connection.since)),
            State::Reading if connection.at_rest() => Some((1 + u8::from(connection.back), connection.since)),
            State::Reading if !connection.buffer.has_output() => {
                Some((4, connection.begun.unwrap_or(connection.since)))
            }
            _ => None,
        };
        for _ in 0..=self.connections.len() {
            let first = self
                .connections
                .iter()
                .filter_map(|(&token, connection)| Some((order(connection)?, token)))
                .min();
            let Some((place, token)) = first else { break };
            // A request that came in since the poll has been taken: its connection is none to let go of.
            self.read(ctx, token);
            let still = self.connections.get(&token).map(|connection| order(connection) == Some(place));
            if still != Some(false) {
                self.drop_connection(ctx, token);
                return true;
            }
        }
        false
    }
}

impl Connection {
    /// Its last answer, if it had one, was written so long ago that its client has it.
    fn over(&self, now: Micros) -> bool {
        self.state == State::Ending && now >= self.since + TAKEN
    }

    /// Between two requests.
    fn at_rest(&self) -> bool {
        self.state == State::Reading && self.buffer.input().is_empty() && !self.buffer.has_output()
    }
}

/// A request that another process has worked on, as the desk takes it, if its class is known here.
fn transferred(ctx: &Ctx<'_>, transfer: &Transfer) -> Result<Job<Payload>, Reject> {
    let Envelope { target, headers, body, .. } = transfer.envelope.clone();
    let keep_alive = transfer.keep_alive;
    job_of(ctx, Request { method: "POST".to_owned(), target, headers, body, keep_alive })
}

/// A client's request as the desk takes it, if it is one.
fn job_of(ctx: &Ctx<'_>, request: Request) -> Result<Job<Payload>, Reject> {
    let path = request.path().to_owned();
    let first = path.trim_start_matches('/').split('/').next().unwrap_or("");
    let class = ctx.names.class(first).map_err(|_| Reject(404))?;
    if request.method == "POST" { job(ctx, class, first, request) } else { Err(Reject(405)) }
}

fn job(ctx: &Ctx<'_>, class: ClassIx, name: &str, request: Request) -> Result<Job<Payload>, Reject> {
    let bad = Reject(400);
    let header = |name: &str| request.headers.get(name);
    if header("request-class").is_some_and(|told| told != name) {
        return Err(bad);
    }
    let id = header("request-id").filter(|id| sound_id(id)).ok_or(bad)?.to_owned();
    let figure =
        |text: &str| text.trim().parse::<f64>().ok().filter(|value| value.is_finite() && *value >= 0.0);
    let patience = figure(header("request-timeout").ok_or(bad)?).ok_or(bad)?.min(PATIENCE);
    let tenant = match header("tenant") {
        // One that the settings do not know has no share to count against.
        Some(name) => ctx.names.tenant(name).ok(),
        None => None,
    };
    let hint = header("work-hint").map(|text| figure(text).ok_or(bad)).transpose()?;
    let retry = header("client-retry") == Some("1");
    let (mut slots, mut memory) = (None, 0.0);
    for pair in header("request-info").unwrap_or("").split(',').filter(|pair| !pair.trim().is_empty()) {
        let (key, value) = pair.split_once('=').ok_or(bad)?;
        match key.trim() {
            "slots" | "needs" => slots = Some(figure(value).ok_or(bad)?.ceil() as u32),
            "memory" => memory = figure(value).ok_or(bad)?,
            _ => {}
        }
    }
    let Request { target, headers, body, .. } = request;
    let key = framing::query(&target, "obj").map(wire::hash_text);
    // Its class says what a next hop must be able to do for it.
    let skill = class.0 as u32;
    let envelope = Envelope { name: id.clone(), skill, target, headers, body };
    Ok(Job {
        name: id,
        class,
        tenant,
        hint,
        patience: (patience * SECOND as f64) as Micros,
        slots,
        memory,
        key,
        retry,
        skill,
        hears: Hears::Nothing,
        payload: Rc::new(envelope),
    })
}

/// An id is written into the path of a give-up, so it must not hold what means something there.
fn sound_id(id: &str) -> bool {
    (1..=128).contains(&id.len())
        && id.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte))
}

#[cfg(test)]
mod tests;
