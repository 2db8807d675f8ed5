//! Connections that clients open, and connections on which workers send callbacks. One listener accepts both.

use crate::log::log_line;
use crate::net::Context;
use crate::net::core::buffer::Buffer;
use crate::net::core::deadlines::{ConnectionTimer, Deadline};
use crate::net::core::log_interval::LogInterval;
use crate::net::core::memory::MemoryUse;
use crate::net::core::request_table::Answer;
use crate::net::http::framing::{self, Reject};
use crate::net::http::request_parser::RequestParser;
use crate::net::protocol::ReleaseIdle;
use calicolb::api::Micros;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Token};
use standing::Standing;
use std::collections::HashMap;
use std::net::Shutdown;

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

struct Connection {
    stream: TcpStream,
    buffer: Buffer,
    /// Parses the input.
    parser: RequestParser,
    state: State,
    standing: Standing,
    /// The current request, or the previous one, is the last on this connection.
    close_after_response: bool,
    /// A worker sends callbacks on this connection.
    carries_callbacks: bool,
    /// No complete request has arrived yet.
    awaits_first_request: bool,
    /// The last turn ended before all input was read and processed.
    has_unread_input: bool,
    /// The peer has closed the connection, and input that it sent before may still be in the socket.
    read_closed: bool,
    /// All input is read, and the peer has closed the connection. Requests that it sent before are still in the buffer.
    closed_by_peer: bool,
    last_activity: Micros,
    /// Time at which input was last received.
    last_input: Micros,
    /// Time at which output was last appended or written.
    last_output: Micros,
    /// The time for the present request is over, and input that arrived before has still to be processed.
    timed_out: bool,
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
    /// Number of incomplete requests, and of inputs behind a request in progress, that were given up for lack of memory.
    shed_total: u64,
    /// New connections are accepted here. Otherwise they are left to the other process that shares the
    /// listening socket.
    listening: bool,
    accept_failure_log: LogInterval,
    /// An accepted connection for which there is no room yet.
    waiting: Option<TcpStream>,
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
            shed_total: 0,
            listening: false,
            accept_failure_log: LogInterval::default(),
            waiting: None,
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

    /// Returns whether the client of this connection waits for an answer.
    pub fn awaits_answer(&self, token: usize) -> bool {
        self.connections.get(&token).is_some_and(|connection| connection.state == State::InProgress)
    }

    /// Records that the client has closed its side of this connection.
    pub fn on_read_closed(&mut self, token: usize) {
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.read_closed = true;
        }
    }

    /// Sets the limit on open connections and closes connections above it, except those with a request in
    /// progress.
    pub fn set_max_connections(&mut self, ctx: &mut Context<'_>, max_connections: usize) {
        self.max_connections = max_connections;
        while self.connections.len() > max_connections && self.release_idle(ctx) {}
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
        connection.last_output = ctx.now;
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
        let pending = connection.buffer.pending_output();
        let flushed = connection.buffer.flush(&mut connection.stream);
        if connection.buffer.pending_output() < pending {
            connection.last_output = ctx.now;
        }
        // A response that was already being written when the drain began must close its connection as well.
        let close = connection.close_after_response
            || (draining && !connection.carries_callbacks && !connection.has_pending_input());
        match flushed {
            Ok(false) => false,
            Ok(true) if close && connection.state == State::Reading => {
                // Closing with unread input would reset the connection and lose the response.
                let _ = connection.stream.shutdown(Shutdown::Write);
                connection.state = State::Closing;
                connection.discard_input();
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
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let last_activity = connection.last_activity;
        if connection.state != State::InProgress {
            // Input that arrived before this time counts: an unread request is accepted, and closing the connection
            // would reset it. Input that waits for a turn is not read outside the shares of an iteration.
            if ctx.input_queue.contains(token) {
                connection.timed_out = true;
                return;
            }
            self.read(ctx, token);
        }
        self.end_stalled(ctx, token, last_activity);
    }

    /// Ends a connection whose time is over, unless it has been active after `last_activity`.
    fn end_stalled(&mut self, ctx: &mut Context<'_>, token: usize, last_activity: Micros) {
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

    /// Returns whether no connection has a request in progress and clients have had `DELIVERY_TIME` to read
    /// their last responses.
    pub fn is_idle(&self, now: Micros) -> bool {
        self.waiting.is_none()
            && self
                .connections
                .values()
                .all(|connection| connection.is_delivered(now) || connection.is_idle())
    }
}

impl Connection {
    /// The last response, if any, was written `DELIVERY_TIME` ago, so the client has received it.
    fn is_delivered(&self, now: Micros) -> bool {
        self.state == State::Closing && now >= self.last_activity + DELIVERY_TIME
    }

    /// Input has been received that is not processed yet, or may have been.
    fn has_pending_input(&self) -> bool {
        self.has_unread_input || self.has_partial_request()
    }

    /// A part of a request has been received, or, behind a request in progress, of the next one.
    fn has_partial_request(&self) -> bool {
        self.parser.is_in_body() || !self.buffer.input().is_empty()
    }

    /// The connection is between two requests, with no pending input or output.
    fn is_idle(&self) -> bool {
        self.state == State::Reading && !self.has_pending_input() && !self.buffer.has_output()
    }
}

mod accept;
mod job;
mod memory_pressure;
mod reading;
mod release;
mod standing;
#[cfg(test)]
mod tests;
mod transfer;
