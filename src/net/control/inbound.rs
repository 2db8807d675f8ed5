//! Connections that come in at a control machine: whole requests out of them, answers and watches into them.

use super::{BODY_LIMIT, Io, TALK_LIMIT};
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
/// Who has begun owes the whole of a request by then.
const SLOW: Micros = 5 * SECOND / 2;
/// A connection at rest is ended by then. Control machines have something to say several times a second.
const IDLE: Micros = 15 * SECOND;
/// How long an answer or a line of a watch may wait to be taken, without any of it being taken.
const UNREAD: Micros = 5 * SECOND;
/// The same for what the other side's system has not even acknowledged, in milliseconds.
const UNACKNOWLEDGED_MS: u32 = 10_000;
/// What the system holds of a watch.
const SYSTEM_BUFFER: usize = 64 * 1024;
/// How long who was told to leave may take to do so.
const LINGER: Micros = SECOND;
/// Connections that may hold more than a change at once: each other control machine has one that talks.
const LARGE: usize = calicolb_agreed::bounds::VOTERS;
/// What may wait for one learner: a few whole versions. One that takes nothing falls behind here, and asks anew.
const WATCH_LIMIT: usize = 4 * BODY_LIMIT;
/// Connections beside the watches: operators, other control machines, learners that tell which version they have.
const OTHERS: usize = 64;
/// Connections that are taken in one turn.
const ACCEPTS: usize = 64;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// A request may come.
    Open,
    /// One has come, and is to be answered.
    Owing,
    /// It is a watch.
    Watching,
    /// Nothing more is taken from it.
    Leaving,
}

struct Conn {
    stream: TcpStream,
    buffer: Buffer,
    phase: Phase,
    keep_alive: bool,
    /// Since when the whole of a request, or the taking of an answer, is owed.
    owed: bool,
}

/// See the head of this file.
pub struct Inbound {
    listener: TcpListener,
    conns: BTreeMap<usize, Conn>,
    /// Watches that may be open.
    watches: usize,
    watching: usize,
}

/// What may lie in a connection unread, where bodies are so large: a whole message, chunked in small pieces.
fn message(body: usize) -> usize {
    HEAD_LIMIT + 2 * body
}

impl Inbound {
    /// Takes connections from this listener, of which so many may become watches.
    pub fn new(listener: TcpListener, watches: usize) -> Self {
        Inbound { listener, conns: BTreeMap::new(), watches, watching: 0 }
    }

    /// The connection is one of these.
    pub fn has(&self, token: usize) -> bool {
        self.conns.contains_key(&token)
    }

    /// Takes new connections; gives their numbers, and whether there may be more to take, which must be tried again.
    pub fn accept(&mut self, io: &mut Io<'_>) -> (Vec<usize>, bool) {
        let mut taken = Vec::new();
        for _ in 0..ACCEPTS {
            match self.listener.accept() {
                Ok((stream, _)) => taken.extend(self.open(io, stream)),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return (taken, false),
                Err(error)
                    if matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(error) => {
                    log_line!(warn: "accepting a connection: {error}");
                    return (taken, true);
                }
            }
        }
        (taken, true)
    }

    fn open(&mut self, io: &mut Io<'_>, mut stream: TcpStream) -> Option<usize> {
        if self.conns.len() >= self.watches + OTHERS {
            // Best effort: who is too many for an answer hears the end.
            let _ = stream.write(&framing::write_response(503, &[("Retry-After", "1")], b"", false));
            return None;
        }
        let _ = stream.set_nodelay(true);
        let token = io.next_token();
        let both = Interest::READABLE | Interest::WRITABLE;
        if let Err(error) = io.registry.register(&mut stream, Token(token), both) {
            log_line!(warn: "watching a connection: {error}");
            return None;
        }
        io.deadlines.set(Deadline::Connection(token, ConnectionTimer::Timeout), io.now + SLOW);
        let buffer = Buffer::default();
        let conn = Conn { stream, buffer, phase: Phase::Open, keep_alive: true, owed: true };
        self.conns.insert(token, conn);
        Some(token)
    }

    /// Writes what waits, and gives the next whole request, which is to be answered with one of [`Inbound::answer`] and
    /// [`Inbound::watch`].
    pub fn next(&mut self, io: &mut Io<'_>, token: usize) -> Option<Request> {
        loop {
            if !self.flush(io, token) {
                return None;
            }
            let room = self.room(token);
            let conn = self.conns.get_mut(&token)?;
            if conn.phase != Phase::Open {
                // Only its end is of interest. What an owing client sends ahead waits for its turn, within the limit.
                let filled = conn.buffer.fill(&mut conn.stream, message(room));
                if conn.phase != Phase::Owing {
                    conn.buffer.consume(usize::MAX / 2);
                }
                if filled == FillOutcome::Closed {
                    self.close(io, token);
                }
                return None;
            }
            match framing::parse_request_with_limit(conn.buffer.input(), room) {
                Ok(Some((request, length))) => {
                    conn.buffer.consume(length);
                    conn.phase = Phase::Owing;
                    conn.keep_alive = request.keep_alive;
                    conn.owed = false;
                    io.deadlines.clear(Deadline::Connection(token, ConnectionTimer::Timeout));
                    return Some(request);
                }
                Ok(None) if conn.buffer.input().len() >= message(room) => self.reject(io, token, 413),
                Ok(None) => match conn.buffer.fill(&mut conn.stream, message(room)) {
                    FillOutcome::LimitReached => {}
                    FillOutcome::Closed if conn.buffer.input().is_empty() => {
                        self.close(io, token);
                        return None;
                    }
                    // What it brought along may be whole; if it isn't, it never will be.
                    FillOutcome::Closed => {
                        if let Ok(None) = framing::parse_request_with_limit(conn.buffer.input(), room) {
                            self.close(io, token);
                            return None;
                        }
                    }
                    FillOutcome::WouldBlock => {
                        if let Ok(None) = framing::parse_request_with_limit(conn.buffer.input(), room) {
                            self.rest(io, token);
                            return None;
                        }
                    }
                },
                Err(Reject(status)) => self.reject(io, token, status),
            }
        }
    }

    /// The largest body that a connection may bring now.
    fn room(&self, token: usize) -> usize {
        let talks = |conn: &Conn| conn.buffer.input().starts_with(b"POST /control/talk?");
        let large = |conn: &Conn| conn.buffer.input().len() > message(BODY_LIMIT);
        match self.conns.get(&token) {
            Some(conn) if talks(conn) => {
                let others = self.conns.iter().filter(|(other, conn)| **other != token && large(conn));
                if others.count() < LARGE { TALK_LIMIT } else { BODY_LIMIT }
            }
            _ => BODY_LIMIT,
        }
    }

    /// Nothing more is to be read for now.
    fn rest(&mut self, io: &mut Io<'_>, token: usize) {
        let Some(conn) = self.conns.get_mut(&token) else { return };
        if conn.owed {
            return;
        }
        conn.owed = !conn.buffer.input().is_empty();
        let span = if conn.owed { SLOW } else { IDLE };
        io.deadlines.set(Deadline::Connection(token, ConnectionTimer::Timeout), io.now + span);
    }

    fn reject(&mut self, io: &mut Io<'_>, token: usize, status: u16) {
        if let Some(conn) = self.conns.get_mut(&token) {
            conn.keep_alive = false;
        }
        self.answer(io, token, status, &[], b"");
    }

    /// Answers a request. More may lie behind it: [`Inbound::next`] tells.
    pub fn answer(
        &mut self,
        io: &mut Io<'_>,
        token: usize,
        status: u16,
        extra: &[(&str, &str)],
        body: &[u8],
    ) {
        let Some(conn) = self.conns.get_mut(&token) else { return };
        conn.buffer.append_output(&framing::write_response(status, extra, body, conn.keep_alive));
        conn.phase = if conn.keep_alive { Phase::Open } else { Phase::Leaving };
        conn.owed = false;
        io.deadlines.clear(Deadline::Connection(token, ConnectionTimer::Timeout));
    }

    /// Makes a connection a watch; `false` where as many are open as may be.
    pub fn watch(&mut self, io: &mut Io<'_>, token: usize) -> bool {
        if self.watching >= self.watches {
            return false;
        }
        let Some(conn) = self.conns.get_mut(&token) else { return false };
        conn.phase = Phase::Watching;
        // One whose other side has gone without a word is ended by the system: each line is acknowledged, or it is over.
        let _ = sockopt::set_tcp_user_timeout(&conn.stream, UNACKNOWLEDGED_MS);
        // Hundreds of them must not hold megabytes each in the system.
        let _ = sockopt::set_socket_send_buffer_size(&conn.stream, SYSTEM_BUFFER);
        conn.buffer.append_output(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n",
        );
        self.watching += 1;
        io.deadlines.clear(Deadline::Connection(token, ConnectionTimer::Timeout));
        true
    }

    /// Tells a watch a line. One that takes nothing is ended.
    pub fn tell(&mut self, io: &mut Io<'_>, token: usize, line: &[u8]) {
        let Some(conn) = self.conns.get_mut(&token) else { return };
        if conn.buffer.pending_output() + line.len() > WATCH_LIMIT {
            log_line!("a learner took nothing of its watch, or has gone: the watch is ended");
            return self.close(io, token);
        }
        conn.buffer.append_output(format!("{:x}\r\n", line.len()).as_bytes());
        conn.buffer.append_output(line);
        conn.buffer.append_output(b"\r\n");
        self.flush(io, token);
    }

    /// Writes what waits; `false` if something is left, or the connection has gone.
    fn flush(&mut self, io: &mut Io<'_>, token: usize) -> bool {
        let Some(conn) = self.conns.get_mut(&token) else { return false };
        if !conn.buffer.has_output() {
            return true;
        }
        let before = conn.buffer.pending_output();
        match conn.buffer.flush(&mut conn.stream) {
            Ok(true) => {
                io.deadlines.clear(Deadline::Connection(token, ConnectionTimer::OfferTimeout));
                if conn.phase == Phase::Leaving {
                    // Closed with something unread, the connection would be reset, and take the answer along.
                    let _ = conn.stream.shutdown(Shutdown::Write);
                    io.deadlines.set(Deadline::Connection(token, ConnectionTimer::Timeout), io.now + LINGER);
                }
                true
            }
            Ok(false) => {
                if conn.buffer.pending_output() < before
                    || !io.deadlines.has(Deadline::Connection(token, ConnectionTimer::OfferTimeout))
                {
                    io.deadlines
                        .set(Deadline::Connection(token, ConnectionTimer::OfferTimeout), io.now + UNREAD);
                }
                false
            }
            Err(_) => {
                // What waited was not taken, or its other side has gone.
                if conn.phase == Phase::Watching && conn.buffer.pending_output() > 0 {
                    log_line!("a learner took nothing of its watch, or has gone: the watch is ended");
                }
                self.close(io, token);
                false
            }
        }
    }

    /// A time that was set for a connection has come.
    pub fn late(&mut self, io: &mut Io<'_>, token: usize, alarm: ConnectionTimer) {
        match self.conns.get(&token) {
            Some(conn) if alarm == ConnectionTimer::Timeout && conn.phase == Phase::Open && conn.owed => {
                self.reject(io, token, 408);
                self.flush(io, token);
            }
            Some(conn) if conn.phase == Phase::Watching => {
                log_line!("a learner took nothing of its watch, or has gone: the watch is ended");
                self.close(io, token);
            }
            _ => self.close(io, token),
        }
    }

    /// Ends a connection.
    pub fn close(&mut self, io: &mut Io<'_>, token: usize) {
        let Some(mut conn) = self.conns.remove(&token) else { return };
        self.watching -= usize::from(conn.phase == Phase::Watching);
        let _ = io.registry.deregister(&mut conn.stream);
        io.deadlines.clear(Deadline::Connection(token, ConnectionTimer::Timeout));
        io.deadlines.clear(Deadline::Connection(token, ConnectionTimer::OfferTimeout));
    }

    /// Ends all watches in order, and takes no more connections. Gives whether anything still waits to go out.
    pub fn farewell(&mut self, io: &mut Io<'_>) {
        let _ = io.registry.deregister(&mut self.listener);
        let watches: Vec<usize> = self.tokens_in(Phase::Watching);
        for token in watches {
            self.tell(io, token, b"");
        }
    }

    fn tokens_in(&self, phase: Phase) -> Vec<usize> {
        self.conns.iter().filter(|(_, conn)| conn.phase == phase).map(|(&token, _)| token).collect()
    }

    /// Something waits to go out on a connection, or is owed to it.
    pub fn busy(&self) -> bool {
        self.conns.values().any(|conn| conn.buffer.has_output() || conn.phase == Phase::Owing)
    }
}
