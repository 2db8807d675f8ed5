//! The way to another control machine: one kept connection, a bounded queue, and another try after each break.

use super::Io;
use crate::net::core::buffer::{Buffer, FillOutcome};
use crate::net::core::deadlines::{ConnectionTimer, Deadline};
use crate::net::http::framing;
use calicolb::api::Micros;
use mio::net::TcpStream;
use mio::{Interest, Token};
use std::collections::VecDeque;
use std::net::SocketAddr;

const MILLI: Micros = 1_000;
/// A connection that is not up, or an answer that has not come, by then is a break: the message is lost, which who agrees
/// bears, and newer ones go out on another connection.
const ANSWER: Micros = 1_000 * MILLI;
/// Tries are this far apart at first, ...
const FIRST_WAIT: Micros = 50 * MILLI;
/// ... and at most, give or take a half.
const LONGEST_WAIT: Micros = 800 * MILLI;
/// Messages that wait at most; the oldest goes first, since each is said again if it still matters.
const QUEUE: usize = 256;
/// Their bytes at most.
const QUEUE_BYTES: usize = 2 << 20;
/// Messages that may be out without an answer.
const OUT: usize = 64;
/// What may lie unread: answers without bodies.
const ANSWERS: usize = 64 * 1024;

struct Conn {
    token: usize,
    stream: TcpStream,
    buffer: Buffer,
    /// Messages that went out, and are not answered.
    out: usize,
}

/// See the head of this file.
pub struct Link {
    /// The number of the machine at the other end.
    pub id: u64,
    at: SocketAddr,
    target: String,
    conn: Option<Conn>,
    queue: VecDeque<Vec<u8>>,
    bytes: usize,
    /// Tries that failed one after another.
    failed: u32,
    random: fastrand::Rng,
}

impl Link {
    /// The way from the machine `own` to the one of this number at this address.
    pub fn new(own: u64, id: u64, at: SocketAddr, seed: u64) -> Self {
        Link {
            id,
            at,
            target: format!("/control/talk?from={own}"),
            conn: None,
            queue: VecDeque::new(),
            bytes: 0,
            failed: 0,
            random: fastrand::Rng::with_seed(seed ^ id.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        }
    }

    /// The connection is this one's.
    pub fn has(&self, token: usize) -> bool {
        self.conn.as_ref().is_some_and(|conn| conn.token == token)
    }

    /// Lets a message wait for its turn.
    pub fn put(&mut self, message: Vec<u8>) {
        self.bytes += message.len();
        self.queue.push_back(message);
        // One that is larger by itself, what a machine lacks that was away for long, goes out alone.
        while self.queue.len() > QUEUE || self.queue.len() > 1 && self.bytes > QUEUE_BYTES {
            let Some(oldest) = self.queue.pop_front() else { return };
            self.bytes -= oldest.len();
        }
    }

    /// Connects where there is something to say, writes, and reads answers.
    pub fn pump(&mut self, io: &mut Io<'_>) {
        if self.conn.is_none() {
            // Its deadline stands while it waits for another try.
            if self.queue.is_empty() || io.deadlines.has(Deadline::ControlLinkRetry(self.id)) {
                return;
            }
            if !self.connect(io) {
                return self.broken(io);
            }
        }
        if self.turn(io).is_err() {
            self.broken(io);
        }
    }

    fn connect(&mut self, io: &mut Io<'_>) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.at) else { return false };
        let token = io.next_token();
        let both = Interest::READABLE | Interest::WRITABLE;
        if io.registry.register(&mut stream, Token(token), both).is_err() {
            return false;
        }
        io.deadlines.set(Deadline::Connection(token, ConnectionTimer::Timeout), io.now + ANSWER);
        self.conn = Some(Conn { token, stream, buffer: Buffer::default(), out: 0 });
        true
    }

    fn turn(&mut self, io: &mut Io<'_>) -> Result<(), ()> {
        let Some(conn) = &mut self.conn else { return Ok(()) };
        if !matches!(conn.stream.take_error(), Ok(None)) {
            return Err(());
        }
        if conn.stream.peer_addr().is_err() {
            return Ok(());
        }
        let _ = conn.stream.set_nodelay(true);
        loop {
            let waiting = conn.buffer.pending_output();
            if !conn.buffer.flush(&mut conn.stream).map_err(|_| ())? {
                if conn.buffer.pending_output() < waiting {
                    io.deadlines
                        .set(Deadline::Connection(conn.token, ConnectionTimer::Timeout), io.now + ANSWER);
                }
                return Ok(());
            }
            let filled = conn.buffer.fill(&mut conn.stream, ANSWERS);
            while let Some((answer, length)) = framing::parse_response(conn.buffer.input()).map_err(|_| ())? {
                if answer.status != 204 || conn.out == 0 {
                    return Err(());
                }
                conn.buffer.consume(length);
                conn.out -= 1;
                self.failed = 0;
                match conn.out {
                    0 => io.deadlines.clear(Deadline::Connection(conn.token, ConnectionTimer::Timeout)),
                    _ => io
                        .deadlines
                        .set(Deadline::Connection(conn.token, ConnectionTimer::Timeout), io.now + ANSWER),
                }
            }
            if filled == FillOutcome::Closed {
                return Err(());
            }
            if self.queue.is_empty() || conn.out >= OUT {
                if conn.out == 0 {
                    io.deadlines.clear(Deadline::Connection(conn.token, ConnectionTimer::Timeout));
                }
                return Ok(());
            }
            if conn.out == 0 {
                io.deadlines.set(Deadline::Connection(conn.token, ConnectionTimer::Timeout), io.now + ANSWER);
            }
            while conn.out < OUT
                && let Some(message) = self.queue.pop_front()
            {
                self.bytes -= message.len();
                conn.out += 1;
                let request = framing::write_request("POST", &self.target, &[("Host", "control")], &message);
                conn.buffer.append_output(&request);
            }
        }
    }

    /// Nothing has come for too long.
    pub fn late(&mut self, io: &mut Io<'_>) {
        self.broken(io);
    }

    /// Ends the connection, if there is one; the next try comes later.
    fn broken(&mut self, io: &mut Io<'_>) {
        if let Some(mut conn) = self.conn.take() {
            let _ = io.registry.deregister(&mut conn.stream);
            io.deadlines.clear(Deadline::Connection(conn.token, ConnectionTimer::Timeout));
        }
        let wait = (FIRST_WAIT << self.failed.min(8)).min(LONGEST_WAIT);
        self.failed += 1;
        let wait = wait / 2 + self.random.u64(0..=wait);
        io.deadlines.set(Deadline::ControlLinkRetry(self.id), io.now + wait);
    }
}
