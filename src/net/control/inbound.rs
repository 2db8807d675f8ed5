//! The connections that a control machine accepts: reads complete HTTP requests from them, and writes responses and watch
//! lines to them.

use super::{IoContext, MAX_BODY_BYTES, MAX_PEER_MESSAGE_BYTES};
use crate::log::log_line;
use crate::net::core::buffer::{Buffer, FillOutcome};
use crate::net::core::deadlines::{ConnectionTimer, Deadline};
use crate::net::http::framing::{self, HEAD_LIMIT, Reject, Request};
use calicolb::api::Micros;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Token};
use rustix::net::sockopt;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Write};
use std::net::Shutdown;

const SECOND: Micros = 1_000_000;
/// The time for a complete request to arrive, from the connection's start or from the first byte of a later request.
const REQUEST_TIMEOUT: Micros = 5 * SECOND / 2;
/// An idle connection is closed after this time. Control machines send messages several times a second.
const IDLE_TIMEOUT: Micros = 15 * SECOND;
/// A connection with pending output is closed if the operating system accepts none of it for this time.
const WRITE_STALL_TIMEOUT: Micros = 5 * SECOND;
/// The operating system closes a watch if sent data is not acknowledged for this time, in milliseconds.
const TCP_USER_TIMEOUT_MS: u32 = 10_000;
/// The size of the operating system's send buffer of a watch, in bytes.
const WATCH_SEND_BUFFER_BYTES: usize = 64 * 1024;
/// The time for the client to close a connection after the last response before it is closed here.
const CLOSE_TIMEOUT: Micros = SECOND;
/// The largest number of connections that may hold more input than a change of settings needs. Each of the other control
/// machines needs one, for its messages.
const MAX_LARGE_INPUTS: usize = calicolb_consensus::limits::MAX_VOTERS;
/// The largest amount of pending output for one learner, in bytes: a few complete versions. The watch of a learner that reads
/// nothing is closed at this limit, and the learner opens a new one.
const MAX_WATCH_OUTPUT_BYTES: usize = 4 * MAX_BODY_BYTES;
/// The largest number of connections beside the watches: from operators, other control machines, and learners that report the
/// version they have in force.
const MAX_OTHER_CONNECTIONS: usize = 64;
/// The largest number of connections accepted in one iteration of the event loop.
const MAX_ACCEPTS_PER_ITERATION: usize = 64;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Waits for a request.
    Reading,
    /// A request was read and has not been answered.
    Responding,
    /// Sends versions to a learner.
    Watching,
    /// The last response was written; further input is ignored.
    Closing,
}

struct Connection {
    stream: TcpStream,
    buffer: Buffer,
    phase: Phase,
    keep_alive: bool,
    /// True while [`REQUEST_TIMEOUT`] is running: the connection is new, or a part of a request has arrived.
    awaiting_request: bool,
}

/// The listener of a control machine and its accepted connections.
pub struct InboundConnections {
    listener: TcpListener,
    connections: BTreeMap<usize, Connection>,
    /// The largest number of watches.
    max_watches: usize,
    open_watches: usize,
}

/// The largest size of a request, in bytes, with a body of up to `body_limit` bytes. The factor 2 covers chunked encoding with
/// small chunks.
fn max_request_bytes(body_limit: usize) -> usize {
    HEAD_LIMIT + 2 * body_limit
}

impl InboundConnections {
    /// Accepts connections from `listener`, of which at most `max_watches` may become watches.
    pub fn new(listener: TcpListener, max_watches: usize) -> Self {
        InboundConnections { listener, connections: BTreeMap::new(), max_watches, open_watches: 0 }
    }

    /// Returns true if the token belongs to an open connection.
    pub fn owns(&self, token: usize) -> bool {
        self.connections.contains_key(&token)
    }

    /// Accepts new connections. Returns their tokens, and whether `accept` must be called again because more may be waiting.
    pub fn accept(&mut self, io: &mut IoContext<'_>) -> (Vec<usize>, bool) {
        let mut tokens = Vec::new();
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            match self.listener.accept() {
                Ok((stream, _)) => tokens.extend(self.open(io, stream)),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return (tokens, false),
                Err(error)
                    if matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(error) => {
                    log_line!(warn: "accepting a connection failed: {error}");
                    return (tokens, true);
                }
            }
        }
        (tokens, true)
    }

    fn open(&mut self, io: &mut IoContext<'_>, mut stream: TcpStream) -> Option<usize> {
        if self.connections.len() >= self.max_watches + MAX_OTHER_CONNECTIONS {
            // Best effort: if the response cannot be written at once, the client only sees that the connection is closed.
            let _ = stream.write(&framing::write_response(503, &[("Retry-After", "1")], b"", false));
            return None;
        }
        let _ = stream.set_nodelay(true);
        let token = io.next_token();
        let interests = Interest::READABLE | Interest::WRITABLE;
        if let Err(error) = io.registry.register(&mut stream, Token(token), interests) {
            log_line!(warn: "registering a connection failed: {error}");
            return None;
        }
        io.deadlines.set(Deadline::Connection(token, ConnectionTimer::Timeout), io.now + REQUEST_TIMEOUT);
        let buffer = Buffer::default();
        let connection =
            Connection { stream, buffer, phase: Phase::Reading, keep_alive: true, awaiting_request: true };
        self.connections.insert(token, connection);
        Some(token)
    }

    /// Writes pending output and returns the next complete request. The caller must answer it with
    /// [`InboundConnections::respond`] or [`InboundConnections::start_watch`].
    pub fn next_request(&mut self, io: &mut IoContext<'_>, token: usize) -> Option<Request> {
        loop {
            if !self.flush(io, token) {
                return None;
            }
            let body_limit = self.body_limit(token);
            let connection = self.connections.get_mut(&token)?;
            if connection.phase != Phase::Reading {
                // Reads only to notice that the client closes the connection. Input that arrives before the response is sent is
                // kept, up to the limit, as the next request.
                let outcome = connection.buffer.fill(&mut connection.stream, max_request_bytes(body_limit));
                if connection.phase != Phase::Responding {
                    connection.buffer.consume(usize::MAX / 2);
                    if outcome == FillOutcome::LimitReached {
                        io.input_queue.push_backlog(token);
                    }
                }
                if outcome == FillOutcome::Closed {
                    self.close(io, token);
                }
                return None;
            }
            match framing::parse_request_with_limit(connection.buffer.input(), body_limit) {
                Ok(Some((request, length))) => {
                    connection.buffer.consume(length);
                    connection.phase = Phase::Responding;
                    connection.keep_alive = request.keep_alive;
                    connection.awaiting_request = false;
                    io.deadlines.clear(Deadline::Connection(token, ConnectionTimer::Timeout));
                    return Some(request);
                }
                Ok(None) if connection.buffer.input().len() >= max_request_bytes(body_limit) => {
                    self.reject(io, token, 413)
                }
                Ok(None) => {
                    match connection.buffer.fill(&mut connection.stream, max_request_bytes(body_limit)) {
                        FillOutcome::LimitReached => {}
                        FillOutcome::Closed if connection.buffer.input().is_empty() => {
                            self.close(io, token);
                            return None;
                        }
                        // The client sends nothing more. The input may hold a complete request; if not, the connection is closed.
                        FillOutcome::Closed => {
                            if let Ok(None) =
                                framing::parse_request_with_limit(connection.buffer.input(), body_limit)
                            {
                                self.close(io, token);
                                return None;
                            }
                        }
                        FillOutcome::WouldBlock => {
                            if let Ok(None) =
                                framing::parse_request_with_limit(connection.buffer.input(), body_limit)
                            {
                                self.start_read_timer(io, token);
                                return None;
                            }
                        }
                    }
                }
                Err(Reject(status)) => self.reject(io, token, status),
            }
        }
    }

    /// The largest request body, in bytes, that a connection may send now.
    fn body_limit(&self, token: usize) -> usize {
        let is_peer_message =
            |connection: &Connection| connection.buffer.input().starts_with(b"POST /control/talk?");
        let is_large =
            |connection: &Connection| connection.buffer.input().len() > max_request_bytes(MAX_BODY_BYTES);
        match self.connections.get(&token) {
            Some(connection) if is_peer_message(connection) => {
                let others = self
                    .connections
                    .iter()
                    .filter(|(other, connection)| **other != token && is_large(connection));
                if others.count() < MAX_LARGE_INPUTS { MAX_PEER_MESSAGE_BYTES } else { MAX_BODY_BYTES }
            }
            _ => MAX_BODY_BYTES,
        }
    }

    /// Starts the timer of a connection from which nothing more can be read for now, unless a request timeout is running.
    fn start_read_timer(&mut self, io: &mut IoContext<'_>, token: usize) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if connection.awaiting_request {
            return;
        }
        connection.awaiting_request = !connection.buffer.input().is_empty();
        let timeout = if connection.awaiting_request { REQUEST_TIMEOUT } else { IDLE_TIMEOUT };
        io.deadlines.set(Deadline::Connection(token, ConnectionTimer::Timeout), io.now + timeout);
    }

    fn reject(&mut self, io: &mut IoContext<'_>, token: usize, status: u16) {
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.keep_alive = false;
        }
        self.respond(io, token, status, &[], b"");
    }

    /// Sends the response to a request. The input may already contain another one; see
    /// [`InboundConnections::next_request`].
    pub fn respond(
        &mut self,
        io: &mut IoContext<'_>,
        token: usize,
        status: u16,
        extra: &[(&str, &str)],
        body: &[u8],
    ) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        connection.buffer.append_output(&framing::write_response(status, extra, body, connection.keep_alive));
        connection.phase = if connection.keep_alive { Phase::Reading } else { Phase::Closing };
        connection.awaiting_request = false;
        io.deadlines.clear(Deadline::Connection(token, ConnectionTimer::Timeout));
    }

    /// Turns a connection into a watch. Returns `false` if the largest number of watches is already open.
    pub fn start_watch(&mut self, io: &mut IoContext<'_>, token: usize) -> bool {
        if self.open_watches >= self.max_watches {
            return false;
        }
        let Some(connection) = self.connections.get_mut(&token) else { return false };
        connection.phase = Phase::Watching;
        // If the learner's host disappears without closing the connection, the operating system closes it, since sent lines
        // are no longer acknowledged.
        let _ = sockopt::set_tcp_user_timeout(&connection.stream, TCP_USER_TIMEOUT_MS);
        // Hundreds of watches must not hold megabytes of kernel memory each.
        let _ = sockopt::set_socket_send_buffer_size(&connection.stream, WATCH_SEND_BUFFER_BYTES);
        connection.buffer.append_output(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
        );
        self.open_watches += 1;
        io.deadlines.clear(Deadline::Connection(token, ConnectionTimer::Timeout));
        true
    }

    /// Sends a line to a watch, as one HTTP chunk. Closes the watch if too much output is pending.
    pub fn send_line(&mut self, io: &mut IoContext<'_>, token: usize, line: &[u8]) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if connection.buffer.pending_output() + line.len() > MAX_WATCH_OUTPUT_BYTES {
            log_line!("a learner did not read its watch or has disconnected: the watch is closed");
            return self.close(io, token);
        }
        connection.buffer.append_output(format!("{:x}\r\n", line.len()).as_bytes());
        connection.buffer.append_output(line);
        connection.buffer.append_output(b"\r\n");
        self.flush(io, token);
    }

    /// Writes pending output. Returns `false` if some is left or the connection was closed.
    fn flush(&mut self, io: &mut IoContext<'_>, token: usize) -> bool {
        let Some(connection) = self.connections.get_mut(&token) else { return false };
        if !connection.buffer.has_output() {
            return true;
        }
        let pending_before = connection.buffer.pending_output();
        match connection.buffer.flush(&mut connection.stream) {
            Ok(true) => {
                io.deadlines.clear(Deadline::Connection(token, ConnectionTimer::OfferTimeout));
                if connection.phase == Phase::Closing {
                    // Only the write side is closed: closing the socket while it has unread input would reset the
                    // connection, and the client could lose the response.
                    let _ = connection.stream.shutdown(Shutdown::Write);
                    io.deadlines
                        .set(Deadline::Connection(token, ConnectionTimer::Timeout), io.now + CLOSE_TIMEOUT);
                }
                true
            }
            Ok(false) => {
                if connection.buffer.pending_output() < pending_before
                    || !io.deadlines.has(Deadline::Connection(token, ConnectionTimer::OfferTimeout))
                {
                    io.deadlines.set(
                        Deadline::Connection(token, ConnectionTimer::OfferTimeout),
                        io.now + WRITE_STALL_TIMEOUT,
                    );
                }
                false
            }
            Err(_) => {
                // The learner has not read the pending output, or has disconnected.
                if connection.phase == Phase::Watching && connection.buffer.pending_output() > 0 {
                    log_line!("a learner did not read its watch or has disconnected: the watch is closed");
                }
                self.close(io, token);
                false
            }
        }
    }

    /// Handles an expired timer of a connection.
    pub fn handle_timeout(&mut self, io: &mut IoContext<'_>, token: usize, timer: ConnectionTimer) {
        match self.connections.get(&token) {
            Some(connection)
                if timer == ConnectionTimer::Timeout
                    && connection.phase == Phase::Reading
                    && connection.awaiting_request =>
            {
                self.reject(io, token, 408);
                self.flush(io, token);
            }
            Some(connection) if connection.phase == Phase::Watching => {
                log_line!("a learner did not read its watch or has disconnected: the watch is closed");
                self.close(io, token);
            }
            _ => self.close(io, token),
        }
    }

    /// Closes a connection.
    pub fn close(&mut self, io: &mut IoContext<'_>, token: usize) {
        let Some(mut connection) = self.connections.remove(&token) else { return };
        self.open_watches -= usize::from(connection.phase == Phase::Watching);
        let _ = io.registry.deregister(&mut connection.stream);
        io.input_queue.remove(token);
        io.deadlines.clear(Deadline::Connection(token, ConnectionTimer::Timeout));
        io.deadlines.clear(Deadline::Connection(token, ConnectionTimer::OfferTimeout));
    }

    /// Ends all watches with the last HTTP chunk, and stops accepting connections.
    pub fn begin_drain(&mut self, io: &mut IoContext<'_>) {
        let _ = io.registry.deregister(&mut self.listener);
        let watch_tokens: Vec<usize> = self.tokens_in_phase(Phase::Watching);
        for token in watch_tokens {
            self.send_line(io, token, b"");
        }
    }

    fn tokens_in_phase(&self, phase: Phase) -> Vec<usize> {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.phase == phase)
            .map(|(&token, _)| token)
            .collect()
    }

    /// Returns true if any connection has pending output or an unanswered request.
    pub fn is_busy(&self) -> bool {
        self.connections
            .values()
            .any(|connection| connection.buffer.has_output() || connection.phase == Phase::Responding)
    }
}
