//! Connections that clients open, and connections on which workers send callbacks. One listener accepts both.

use crate::log::log_line;
use crate::net::Context;
use crate::net::core::buffer::{Buffer, FillOutcome};
use crate::net::core::deadlines::{ConnectionTimer, Deadline};
use crate::net::core::envelope::{Envelope, Payload};
use crate::net::core::iteration::{ACCEPT_TIME, MAX_MESSAGES_PER_TURN};
use crate::net::core::request_table::{Answer, ClientUpdates, IntakeError, Job};
use crate::net::core::transfer::Transfer;
use crate::net::http::callback::handle_callback;
use crate::net::http::framing::{self, Reject, Request};
use crate::net::protocol::ReleaseIdle;
use calicolb::api::{ClassIx, Micros};
use calicolb::wire;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Token};
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Instant;

const SECOND: Micros = 1_000_000;
/// Time within which a new connection must send a complete first request, in microseconds. A slow or silent
/// client occupies a descriptor.
const FIRST_REQUEST_TIMEOUT: Micros = 5 * SECOND / 2;
/// The same limit while clients are being drained, in microseconds: a connection opened late that sends
/// nothing is closed soon.
const FIRST_REQUEST_TIMEOUT_DRAINING: Micros = SECOND;
/// A connection that stops in the middle of a later request, or does not read its response, is closed after
/// this time, in microseconds.
const STALL_TIMEOUT: Micros = 5 * SECOND;
/// A connection without a request is closed after this time, in microseconds.
const IDLE_TIMEOUT: Micros = 120 * SECOND;
/// Time for which a connection may go on sending after its last response before it is closed, in
/// microseconds. With 60 MB in flight, an immediate close would reset the connection and lose the response.
const LINGER_TIMEOUT: Micros = 3 * SECOND;
/// Time for which the process waits after it has written the last response of a connection before it exits,
/// in microseconds. Exiting while the client is still sending resets the connection and loses the part of the
/// response that is in flight.
const DELIVERY_TIME: Micros = SECOND / 2;
/// Interval after which accepting is tried again when no descriptor was available, in microseconds.
const ACCEPT_RETRY_INTERVAL: Micros = SECOND / 50;
/// Maximum number of connections accepted in one iteration of the event loop; the rest is accepted in the
/// next one.
const MAX_ACCEPTS: usize = 256;
/// Bytes that a connection may read beyond its unprocessed input at a time, so that many connections with much input do
/// not hold much memory.
const FILL_BYTES: usize = 16 * 1024;
/// Maximum number of times that one turn fills the input buffer: enough for the largest message.
const MAX_FILLS: usize = framing::MESSAGE_LIMIT / FILL_BYTES + 2;
/// Maximum number of connections examined for one that can be closed in favour of another.
const MAX_RELEASE_CANDIDATES: usize = 8;
/// Upper bound of the `Request-Timeout` of a client, in seconds.
const MAX_CLIENT_TIMEOUT_S: f64 = 3600.0;

#[derive(Clone, Copy, Debug, PartialEq)]
/// State of a client connection.
enum State {
    /// Waits for a request or for the rest of one.
    Reading,
    /// A request of this connection is in the request table.
    InProgress,
    /// The last response is written; further input is discarded.
    Closing,
}

/// Result of a turn of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum TurnOutcome {
    /// All input is processed, or the connection waits for an answer or for its output to be written.
    Waiting,
    /// The turn is used up, and there may be more input.
    MoreInput,
    /// The peer has closed the connection, and all that it sent before is processed.
    Closed,
}

impl From<FillOutcome> for TurnOutcome {
    fn from(filled: FillOutcome) -> Self {
        match filled {
            FillOutcome::WouldBlock => TurnOutcome::Waiting,
            FillOutcome::LimitReached => TurnOutcome::MoreInput,
            FillOutcome::Closed => TurnOutcome::Closed,
        }
    }
}

struct Connection {
    stream: TcpStream,
    buffer: Buffer,
    state: State,
    /// The current request, or the previous one, is the last on this connection.
    close_after_response: bool,
    /// A worker sends callbacks on this connection.
    carries_callbacks: bool,
    /// No complete request has arrived yet.
    awaits_first_request: bool,
    /// The last turn ended before all input was read and processed.
    has_unread_input: bool,
    /// The peer has closed the connection. Requests that it sent before are still in the buffer.
    closed_by_peer: bool,
    last_activity: Micros,
    /// Time at which the first byte of the incomplete request arrived, in microseconds.
    request_started: Option<Micros>,
}

/// Connections that were accepted by the HTTP listener, by token.
pub struct ClientConnections {
    listener: TcpListener,
    /// Token of the listener.
    listener_token: usize,
    connections: HashMap<usize, Connection>,
    max_connections: usize,
    /// Clients are being drained: every response closes its connection.
    draining: bool,
    /// `GET /up` reports that this process serves clients.
    pub accepts_clients: bool,
    /// New connections are accepted here. Otherwise they are left to the other process that shares the
    /// listening socket.
    listening: bool,
}

impl ClientConnections {
    /// `listener_token`: token of the listener. The limit on connections is set later, by
    /// [`ClientConnections::set_max_connections`].
    pub fn new(listener: TcpListener, listener_token: usize) -> Self {
        let connections = HashMap::new();
        ClientConnections {
            listener,
            listener_token,
            connections,
            max_connections: 0,
            draining: false,
            accepts_clients: false,
            listening: false,
        }
    }

    /// Returns whether the token belongs to the listener or to one of these connections.
    pub fn owns_token(&self, token: usize) -> bool {
        token == self.listener_token || self.connections.contains_key(&token)
    }

    /// Returns whether the token belongs to one of these connections.
    pub fn owns_connection(&self, token: usize) -> bool {
        self.connections.contains_key(&token)
    }

    /// Starts accepting connections.
    pub fn listen(&mut self, ctx: &mut Context<'_>) -> io::Result<()> {
        if !self.listening {
            ctx.registry.register(&mut self.listener, Token(self.listener_token), Interest::READABLE)?;
        }
        self.listening = true;
        Ok(())
    }

    /// Leaves new connections to the other process that shares the listening socket: a connection that is
    /// accepted but not served is lost.
    pub fn stop_listening(&mut self, ctx: &mut Context<'_>) {
        self.listening = false;
        let _ = ctx.registry.deregister(&mut self.listener);
        ctx.deadlines.clear(Deadline::Connection(self.listener_token, ConnectionTimer::Accept));
    }

    /// Sets the limit on open connections and closes connections above it, except those with a request in
    /// progress.
    pub fn set_max_connections(&mut self, ctx: &mut Context<'_>, max_connections: usize) {
        self.max_connections = max_connections;
        while self.connections.len() > max_connections && self.release_idle(ctx) {}
    }

    /// Accepts pending connections, for at most `ACCEPT_TIME` and at most `MAX_ACCEPTS` per call.
    fn accept(&mut self, ctx: &mut Context<'_>) {
        if !self.listening {
            return;
        }
        let started = Instant::now();
        for _ in 0..MAX_ACCEPTS {
            if started.elapsed() > ACCEPT_TIME {
                break;
            }
            if self.connections.len() >= self.max_connections && !self.release_idle(ctx) {
                // New connections wait in the listener's backlog until a connection ends.
                return ctx.deadlines.set(
                    Deadline::Connection(self.listener_token, ConnectionTimer::Accept),
                    ctx.now + ACCEPT_RETRY_INTERVAL,
                );
            }
            match self.listener.accept() {
                Ok((stream, _)) => self.add_connection(ctx, stream),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error)
                    if matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(error) => {
                    // No descriptor or memory is available: an idle connection is closed, and accepting is
                    // tried again later.
                    log_line!("failed to accept a connection: {error}");
                    self.release_idle(ctx);
                    return ctx.deadlines.set(
                        Deadline::Connection(self.listener_token, ConnectionTimer::Accept),
                        ctx.now + ACCEPT_RETRY_INTERVAL,
                    );
                }
            }
        }
        ctx.deadlines.set(Deadline::Connection(self.listener_token, ConnectionTimer::Accept), ctx.now + 1);
    }

    fn add_connection(&mut self, ctx: &mut Context<'_>, stream: TcpStream) {
        let token = ctx.next_token();
        self.register_connection(ctx, stream, token);
    }

    fn register_connection(&mut self, ctx: &mut Context<'_>, mut stream: TcpStream, token: usize) {
        let _ = stream.set_nodelay(true);
        if let Err(error) =
            ctx.registry.register(&mut stream, Token(token), Interest::READABLE | Interest::WRITABLE)
        {
            return log_line!("failed to register a client connection: {error}");
        }
        ctx.deadlines.set(
            Deadline::Connection(token, ConnectionTimer::Timeout),
            ctx.now + self.first_request_timeout(),
        );
        let connection = Connection {
            stream,
            buffer: Buffer::default(),
            state: State::Reading,
            close_after_response: false,
            carries_callbacks: false,
            awaits_first_request: true,
            has_unread_input: false,
            closed_by_peer: false,
            last_activity: ctx.now,
            request_started: None,
        };
        self.connections.insert(token, connection);
    }

    /// Time that a new client has for its first request, in microseconds.
    fn first_request_timeout(&self) -> Micros {
        if self.draining { FIRST_REQUEST_TIMEOUT_DRAINING } else { FIRST_REQUEST_TIMEOUT }
    }

    /// Handles a readable or writable connection, or pending connections at the listener.
    pub fn handle_ready(&mut self, ctx: &mut Context<'_>, token: usize) {
        if token == self.listener_token {
            return self.accept(ctx);
        }
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if connection.buffer.has_output() && !self.flush(ctx, token) {
            return;
        }
        self.read(ctx, token);
    }

    /// Handles a deadline of a connection or of the listener.
    pub fn handle_deadline(&mut self, ctx: &mut Context<'_>, token: usize, timer: ConnectionTimer) {
        match timer {
            ConnectionTimer::Accept => self.accept(ctx),
            ConnectionTimer::Timeout | ConnectionTimer::Idle => self.handle_timeout(ctx, token),
            // The event loop checks again whether all work is done.
            ConnectionTimer::OfferTimeout => {}
        }
    }

    /// Reads and processes input of a connection, for one turn.
    fn read(&mut self, ctx: &mut Context<'_>, token: usize) {
        let outcome = self.take_turn(ctx, token);
        if outcome == TurnOutcome::Closed {
            // A client that closes its connection has gone, even in the middle of a response.
            ctx.request_table.client_left(token);
            return self.drop_connection(ctx, token);
        }
        let Some(connection) = self.connections.get_mut(&token) else { return };
        connection.has_unread_input = outcome == TurnOutcome::MoreInput;
        if connection.has_unread_input {
            ctx.input_queue.push_backlog(token);
        }
    }

    fn take_turn(&mut self, ctx: &mut Context<'_>, token: usize) -> TurnOutcome {
        let mut requests_left = MAX_MESSAGES_PER_TURN;
        for fill in 0..MAX_FILLS {
            let Some(connection) = self.connections.get_mut(&token) else { return TurnOutcome::Waiting };
            if connection.buffer.has_output() {
                return TurnOutcome::Waiting;
            }
            let filled = connection.fill(fill == 0);
            connection.closed_by_peer = filled == FillOutcome::Closed;
            while requests_left > 0 && self.may_process(token) && self.process_request(ctx, token) {
                requests_left -= 1;
            }
            let Some(connection) = self.connections.get_mut(&token) else { return TurnOutcome::Waiting };
            match connection.state {
                State::Reading if connection.buffer.has_output() => return TurnOutcome::Waiting,
                State::Reading if requests_left == 0 => return TurnOutcome::MoreInput,
                State::Reading | State::InProgress if filled == FillOutcome::Closed => {
                    return TurnOutcome::Closed;
                }
                // Input behind the last response is discarded.
                State::Closing => {
                    connection.buffer.consume(usize::MAX / 2);
                    return filled.into();
                }
                State::InProgress => return connection.discard_excess_input(filled),
                State::Reading if filled == FillOutcome::WouldBlock => return TurnOutcome::Waiting,
                // The timeout ends a request that does not fit into the buffer.
                State::Reading if connection.buffer.input().len() >= framing::MESSAGE_LIMIT => {
                    return TurnOutcome::Waiting;
                }
                State::Reading => {}
            }
        }
        TurnOutcome::MoreInput
    }

    /// Returns whether the next request of a connection may be processed: the last one is answered.
    fn may_process(&self, token: usize) -> bool {
        let waits_for_request =
            |connection: &Connection| connection.state == State::Reading && !connection.buffer.has_output();
        self.connections.get(&token).is_some_and(waits_for_request)
    }

    /// Processes the next request in the buffer. Returns false if there is none, or it is malformed.
    fn process_request(&mut self, ctx: &mut Context<'_>, token: usize) -> bool {
        let first_request_timeout = self.first_request_timeout();
        let Some(connection) = self.connections.get_mut(&token) else { return false };
        match framing::parse_request(connection.buffer.input()) {
            Ok(None) => {
                // The limit counts from the first byte, so a client that sends single bytes cannot hold a
                // connection forever.
                let deadline = if connection.awaits_first_request {
                    connection.last_activity + first_request_timeout
                } else if connection.buffer.input().is_empty() {
                    ctx.now + IDLE_TIMEOUT
                } else {
                    *connection.request_started.get_or_insert(ctx.now) + STALL_TIMEOUT
                };
                ctx.deadlines.set(Deadline::Connection(token, ConnectionTimer::Timeout), deadline);
                false
            }
            Ok(Some((request, length))) => {
                connection.buffer.consume(length);
                connection.last_activity = ctx.now;
                connection.awaits_first_request = false;
                connection.request_started = None;
                connection.close_after_response |= !request.keep_alive;
                ctx.deadlines
                    .set(Deadline::Connection(token, ConnectionTimer::Timeout), ctx.now + IDLE_TIMEOUT);
                match self.route(ctx, token, request) {
                    Ok(()) => {}
                    Err(Reject(status)) => self.reply(ctx, token, status, &[], b""),
                }
                true
            }
            Err(Reject(status)) => {
                // The end of this message, and thus the start of the next one, is unknown.
                connection.close_after_response = true;
                self.reply(ctx, token, status, &[], b"");
                false
            }
        }
    }

    fn route(&mut self, ctx: &mut Context<'_>, token: usize, request: Request) -> Result<(), Reject> {
        let require_method = |method: &str| if request.method == method { Ok(()) } else { Err(Reject(405)) };
        let path = request.path().to_owned();
        match path.as_str() {
            "/up" => {
                require_method("GET")?;
                let status = if self.accepts_clients { 200 } else { 503 };
                self.reply(ctx, token, status, &[], b"");
            }
            "/_jobs/news" => {
                require_method("POST")?;
                handle_callback(ctx, &request.body)?;
                if let Some(connection) = self.connections.get_mut(&token) {
                    connection.carries_callbacks = true;
                }
                self.reply(ctx, token, 200, &[], b"");
            }
            _ => {
                let job = job_from_request(ctx, request)?;
                match ctx.request_table.add_request(ctx.now, token, job) {
                    Ok(_) => {
                        if let Some(connection) = self.connections.get_mut(&token) {
                            connection.state = State::InProgress;
                        }
                        ctx.deadlines.clear(Deadline::Connection(token, ConnectionTimer::Timeout));
                    }
                    Err(IntakeError::DuplicateName) => return Err(Reject(409)),
                    Err(IntakeError::TooManyOpen) => return Err(Reject(503)),
                }
            }
        }
        Ok(())
    }

    /// Returns the parts of a connection with a request in progress that another process needs: the stream,
    /// whether another request may follow, and the unread input behind the current request.
    pub fn connection_for_transfer(&self, token: usize) -> Option<(&TcpStream, bool, &[u8])> {
        let connection = self.connections.get(&token)?;
        (connection.state == State::InProgress)
            .then(|| (&connection.stream, !connection.close_after_response, connection.buffer.input()))
    }

    /// Stops reading and writing a connection that has been sent to another process, until it is known which
    /// of the two processes keeps it.
    pub fn suspend_connection(&mut self, ctx: &mut Context<'_>, token: usize) {
        ctx.deadlines.clear(Deadline::Connection(token, ConnectionTimer::Timeout));
        ctx.input_queue.remove(token);
        if let Some(connection) = self.connections.get_mut(&token) {
            let _ = ctx.registry.deregister(&mut connection.stream);
        }
    }

    /// Drops a connection that another process has taken over, without shutting it down.
    pub fn release_connection(&mut self, token: usize) {
        self.connections.remove(&token);
    }

    /// Continues the request of a suspended connection here because no other process has taken it over.
    pub fn resume_connection(&mut self, ctx: &mut Context<'_>, token: usize, transfer: Transfer) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let interest = Interest::READABLE | Interest::WRITABLE;
        if let Err(error) = ctx.registry.register(&mut connection.stream, Token(token), interest) {
            log_line!("failed to register a client connection again: {error}");
        }
        match job_from_transfer(ctx, &transfer) {
            Ok(job) => ctx.request_table.adopt(ctx.now, token, job, &transfer.history, ctx.deadlines),
            Err(Reject(status)) => {
                connection.state = State::Reading;
                self.reply(ctx, token, status, &[], b"");
            }
        }
    }

    /// Takes over a connection whose request another process has worked on.
    ///
    /// # Errors
    /// This process cannot take the request; the connection stays untouched.
    pub fn adopt_connection(
        &mut self,
        ctx: &mut Context<'_>,
        stream: TcpStream,
        transfer: Transfer,
    ) -> Result<(), Reject> {
        let job = job_from_transfer(ctx, &transfer)?;
        if ctx.request_table.has_request(&job.name) {
            return Err(Reject(409));
        }
        let token = ctx.next_token();
        self.register_connection(ctx, stream, token);
        let connection = self.connections.get_mut(&token).ok_or(Reject(503))?;
        connection.awaits_first_request = false;
        connection.close_after_response = !transfer.keep_alive;
        connection.state = State::InProgress;
        connection.buffer = Buffer::with_input(&transfer.unread);
        ctx.deadlines.clear(Deadline::Connection(token, ConnectionTimer::Timeout));
        ctx.request_table.adopt(ctx.now, token, job, &transfer.history, ctx.deadlines);
        Ok(())
    }

    /// Writes the final response to the request of a connection.
    pub fn answer(&mut self, ctx: &mut Context<'_>, token: usize, answer: Answer) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        connection.state = State::Reading;
        match answer {
            Answer::Served(result) => self.reply(ctx, token, 200, &[], &result),
            Answer::Busy { retry_after: Some(delay) } => {
                let seconds = format!("{:.3}", delay as f64 / SECOND as f64);
                self.reply(ctx, token, 503, &[("Retry-After", &seconds)], b"");
            }
            Answer::Busy { retry_after: None } => self.reply(ctx, token, 503, &[], b""),
            Answer::Failed => self.reply(ctx, token, 500, &[], b""),
        }
        // The client may have pipelined its next request, and only part of it may have been read.
        if self.connections.get(&token).is_some_and(Connection::has_pending_input) {
            ctx.input_queue.push_ready(token);
        }
    }

    fn reply(
        &mut self,
        ctx: &mut Context<'_>,
        token: usize,
        status: u16,
        extra: &[(&str, &str)],
        body: &[u8],
    ) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        connection.close_after_response |= self.draining && !connection.carries_callbacks;
        connection.last_activity = ctx.now;
        connection.buffer.append_output(&framing::write_response(
            status,
            extra,
            body,
            !connection.close_after_response,
        ));
        ctx.deadlines.set(Deadline::Connection(token, ConnectionTimer::Timeout), ctx.now + STALL_TIMEOUT);
        self.flush(ctx, token);
    }

    /// Writes pending output. Returns false if the output is not complete or the connection has ended.
    fn flush(&mut self, ctx: &mut Context<'_>, token: usize) -> bool {
        let draining = self.draining;
        let Some(connection) = self.connections.get_mut(&token) else { return false };
        let flushed = connection.buffer.flush(&mut connection.stream);
        // A response that was already being written when the drain began must close its connection as well.
        let close = connection.close_after_response
            || (draining && !connection.carries_callbacks && !connection.has_pending_input());
        match flushed {
            Ok(false) => false,
            Ok(true) if close && connection.state == State::Reading => {
                // Closing with unread input would reset the connection and lose the response.
                let _ = connection.stream.shutdown(Shutdown::Write);
                connection.state = State::Closing;
                connection.buffer.consume(usize::MAX / 2);
                ctx.deadlines
                    .set(Deadline::Connection(token, ConnectionTimer::Timeout), ctx.now + LINGER_TIMEOUT);
                ctx.deadlines
                    .set(Deadline::Connection(token, ConnectionTimer::OfferTimeout), ctx.now + DELIVERY_TIME);
                true
            }
            Ok(true) => {
                if connection.state == State::Reading {
                    ctx.deadlines
                        .set(Deadline::Connection(token, ConnectionTimer::Timeout), ctx.now + IDLE_TIMEOUT);
                }
                true
            }
            Err(_) => {
                ctx.request_table.client_left(token);
                self.drop_connection(ctx, token);
                false
            }
        }
    }

    /// Handles a connection that has been idle or stalled for too long.
    pub fn handle_timeout(&mut self, ctx: &mut Context<'_>, token: usize) {
        // Input that arrived since the poll counts: an unread request is accepted, and closing the connection
        // would reset it.
        let Some(&Connection { state, last_activity, .. }) = self.connections.get(&token) else { return };
        if state != State::InProgress {
            self.read(ctx, token);
        }
        let Some(connection) =
            self.connections.get_mut(&token).filter(|connection| connection.last_activity == last_activity)
        else {
            return;
        };
        let request_started = connection.request_started.filter(|_| !connection.awaits_first_request);
        match connection.state {
            State::InProgress => {}
            State::Reading if connection.is_idle() => self.shut_down(ctx, token),
            // The first bytes of the request have only just arrived.
            State::Reading
                if request_started
                    .is_some_and(|request_started| ctx.now < request_started + STALL_TIMEOUT) => {}
            State::Reading if !connection.buffer.has_output() => {
                connection.close_after_response = true;
                self.reply(ctx, token, 408, &[], b"");
            }
            // The client does not read its response, or goes on sending after the last response.
            State::Reading | State::Closing => self.drop_connection(ctx, token),
        }
    }

    /// Shuts down the write side of an idle connection, so that the client sees its end. Input that arrives
    /// meanwhile is discarded instead of causing a reset.
    fn shut_down(&mut self, ctx: &mut Context<'_>, token: usize) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let _ = connection.stream.shutdown(Shutdown::Write);
        connection.state = State::Closing;
        ctx.deadlines.set(Deadline::Connection(token, ConnectionTimer::Timeout), ctx.now + LINGER_TIMEOUT);
    }

    fn drop_connection(&mut self, ctx: &mut Context<'_>, token: usize) {
        let Some(mut connection) = self.connections.remove(&token) else { return };
        let _ = ctx.registry.deregister(&mut connection.stream);
        ctx.input_queue.remove(token);
        [ConnectionTimer::Timeout, ConnectionTimer::OfferTimeout]
            .into_iter()
            .for_each(|timer| ctx.deadlines.clear(Deadline::Connection(token, timer)));
    }

    /// Ends the drain: responses keep their connections open again.
    pub fn end_drain(&mut self) {
        self.draining = false;
    }

    /// Starts the drain: shuts down connections that are idle between two requests, and from now on every
    /// response closes its connection. Connections that carry callbacks stay open.
    pub fn begin_drain(&mut self, ctx: &mut Context<'_>) {
        self.draining = true;
        let idle: Vec<usize> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.is_idle() && !connection.carries_callbacks)
            .map(|(&token, _)| token)
            .collect();
        for token in idle {
            // Input that arrived since the poll is an accepted request, not one that crosses the shutdown.
            self.read(ctx, token);
            if self.connections.get(&token).is_some_and(Connection::is_idle) {
                self.shut_down(ctx, token);
            }
        }
    }

    /// Returns whether no connection has a request in progress and clients have had `DELIVERY_TIME` to read
    /// their last responses.
    pub fn is_idle(&self, now: Micros) -> bool {
        self.connections.values().all(|connection| connection.is_delivered(now) || connection.is_idle())
    }
}

impl ReleaseIdle for ClientConnections {
    /// Closes the connection that is needed least. The order is: last response delivered, idle client, idle
    /// callback connection, last response possibly in flight, incomplete request, which is not accepted
    /// before its last byte. Within each group the connection that has been inactive longest is closed.
    fn release_idle(&mut self, ctx: &mut Context<'_>) -> bool {
        let now = ctx.now;
        let release_order = |connection: &Connection| match connection.state {
            // A complete request may be among the input.
            State::Reading if connection.has_unread_input => None,
            State::Closing => {
                Some((if connection.is_delivered(now) { 0 } else { 3 }, connection.last_activity))
            }
            State::Reading if connection.is_idle() => {
                Some((1 + u8::from(connection.carries_callbacks), connection.last_activity))
            }
            State::Reading if !connection.buffer.has_output() => {
                Some((4, connection.request_started.unwrap_or(connection.last_activity)))
            }
            _ => None,
        };
        for _ in 0..MAX_RELEASE_CANDIDATES {
            let next = self
                .connections
                .iter()
                .filter_map(|(&token, connection)| Some((release_order(connection)?, token)))
                .min();
            let Some((order, token)) = next else { break };
            // A request that arrived since the poll is accepted: its connection must not be closed.
            self.read(ctx, token);
            let unchanged =
                self.connections.get(&token).map(|connection| release_order(connection) == Some(order));
            if unchanged != Some(false) {
                self.drop_connection(ctx, token);
                return true;
            }
        }
        false
    }
}

impl Connection {
    /// The last response, if any, was written `DELIVERY_TIME` ago, so the client has received it.
    fn is_delivered(&self, now: Micros) -> bool {
        self.state == State::Closing && now >= self.last_activity + DELIVERY_TIME
    }

    /// Reads input. `first`: this is the first time in a turn. Requests that are in the buffer are processed before more is
    /// read.
    fn fill(&mut self, first: bool) -> FillOutcome {
        let left = self.buffer.input().len();
        let limit = match self.state {
            _ if self.closed_by_peer => return FillOutcome::Closed,
            State::Reading if first && left > 0 => return FillOutcome::LimitReached,
            State::Reading => framing::MESSAGE_LIMIT.min(left + FILL_BYTES),
            State::InProgress | State::Closing => framing::MESSAGE_LIMIT,
        };
        self.buffer.fill(&mut self.stream, limit)
    }

    /// Discards the input behind a request in progress once it reaches [`framing::MESSAGE_LIMIT`]: only behind it the end
    /// of the connection shows. The response is then the last on this connection.
    fn discard_excess_input(&mut self, filled: FillOutcome) -> TurnOutcome {
        if self.buffer.input().len() < framing::MESSAGE_LIMIT {
            return filled.into();
        }
        self.close_after_response = true;
        self.buffer.consume(usize::MAX / 2);
        TurnOutcome::MoreInput
    }

    /// Input has been received that is not processed yet, or may have been.
    fn has_pending_input(&self) -> bool {
        self.has_unread_input || !self.buffer.input().is_empty()
    }

    /// The connection is between two requests, with no pending input or output.
    fn is_idle(&self) -> bool {
        self.state == State::Reading && !self.has_pending_input() && !self.buffer.has_output()
    }
}

/// Builds the job of a transferred request, if its class is known here.
fn job_from_transfer(ctx: &Context<'_>, transfer: &Transfer) -> Result<Job<Payload>, Reject> {
    let Envelope { target, headers, body, .. } = transfer.envelope.clone();
    let keep_alive = transfer.keep_alive;
    job_from_request(ctx, Request { method: "POST".to_owned(), target, headers, body, keep_alive })
}

/// Builds the job of a client's request.
fn job_from_request(ctx: &Context<'_>, request: Request) -> Result<Job<Payload>, Reject> {
    let path = request.path().to_owned();
    let class_name = path.trim_start_matches('/').split('/').next().unwrap_or("");
    let class = ctx.names.class(class_name).map_err(|_| Reject(404))?;
    if request.method == "POST" { parse_job(ctx, class, class_name, request) } else { Err(Reject(405)) }
}

fn parse_job(
    ctx: &Context<'_>,
    class: ClassIx,
    class_name: &str,
    request: Request,
) -> Result<Job<Payload>, Reject> {
    let bad_request = Reject(400);
    let header = |name: &str| request.headers.get(name);
    if header("request-class").is_some_and(|class| class != class_name) {
        return Err(bad_request);
    }
    let id = header("request-id").filter(|id| is_valid_request_id(id)).ok_or(bad_request)?.to_owned();
    let parse_number =
        |text: &str| text.trim().parse::<f64>().ok().filter(|value| value.is_finite() && *value >= 0.0);
    let timeout_s = parse_number(header("request-timeout").ok_or(bad_request)?)
        .ok_or(bad_request)?
        .min(MAX_CLIENT_TIMEOUT_S);
    let tenant = match header("tenant") {
        // A tenant that the settings do not know has no share to count against.
        Some(name) => ctx.names.tenant(name).ok(),
        None => None,
    };
    let hint = header("work-hint").map(|text| parse_number(text).ok_or(bad_request)).transpose()?;
    let retry = header("client-retry") == Some("1");
    let (mut slots, mut memory) = (None, 0.0);
    for pair in header("request-info").unwrap_or("").split(',').filter(|pair| !pair.trim().is_empty()) {
        let (key, value) = pair.split_once('=').ok_or(bad_request)?;
        match key.trim() {
            "slots" | "needs" => slots = Some(parse_number(value).ok_or(bad_request)?.ceil() as u32),
            "memory" => memory = parse_number(value).ok_or(bad_request)?,
            _ => {}
        }
    }
    let Request { target, headers, body, .. } = request;
    let key = framing::query_parameter(&target, "obj").map(wire::fnv1a_hash);
    // The class determines which skill a worker must have for the job.
    let skill = class.0 as u32;
    let envelope = Envelope { name: id.clone(), skill, target, headers, body };
    Ok(Job {
        name: id,
        class,
        tenant,
        hint,
        client_timeout: (timeout_s * SECOND as f64) as Micros,
        slots,
        memory,
        key,
        retry,
        skill,
        updates: ClientUpdates::Nothing,
        payload: Rc::new(envelope),
    })
}

/// The id is part of the path of a cancellation, so it must not contain characters that are special in a
/// path.
fn is_valid_request_id(id: &str) -> bool {
    (1..=128).contains(&id.len())
        && id.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte))
}

#[cfg(test)]
mod tests;
