//! Connections: bytes in and out, within their bounds and times. What a packet means is the business of `packets`.

use super::Gearman;
use super::packets::submits;
use crate::log::log_line;
use crate::net::Context;
use crate::net::core::buffer::{Buffer, FillOutcome};
use crate::net::core::deadlines::{ConnectionTimer, Deadline};
use crate::net::core::request_table::AttemptId;
use crate::net::protocol::ReleaseIdle;
use calicolb::api::{AttemptNote, Micros};
use calicolb_gearman::ConnId;
use calicolb_gearman::admin::LINE;
use calicolb_gearman::book::Mail;
use calicolb_gearman::fleet::Lost;
use calicolb_gearman::packet::{self, HEAD, PacketType, Parsed, Sender, encode};
use mio::net::TcpStream;
use mio::{Interest, Token};
use std::io::ErrorKind;
use std::net::{IpAddr, Shutdown};

const SECOND: Micros = 1_000_000;
/// A packet or line is owed whole within this time from its first byte.
const PARTIAL: Micros = 5 * SECOND / 2;
/// Who connects and never says anything is let go after this time: clients may well connect before they have a job.
const FIRST: Micros = 30 * SECOND;
/// A peer that does not take what it is sent for this long is let go.
const STALLED: Micros = 5 * SECOND;
/// How long a connection that was told of an error may go on sending before it is cut.
const LINGER: Micros = SECOND;
/// Accepting is tried again after this time when no descriptor could be had.
const ACCEPT_AGAIN: Micros = SECOND / 50;
/// Connections taken in one turn at most; the rest come in the next.
const ACCEPTS: usize = 256;
/// Packets taken from one connection in one turn at most.
const PACKETS: usize = 256;
/// Buffers full that are taken from one connection in one turn at most: what they hold is copied on its way.
const FILLS: usize = 8;
/// Bytes of a packet apart from its workload: names, ids and handles.
const NAMES: usize = 2 * 1024;
/// Bytes that may wait to go out to one peer. Beyond that it does not read, and is let go.
const OUTPUT: usize = 512 * 1024;
/// Bytes that may wait to go out to all peers together; one that has less than a fair share waiting is let be.
const ALL_OUTPUT: usize = 16 * 1024 * 1024;
/// Such a share: a large packet.
const FAIR: usize = 64 * 1024 + NAMES;

pub(super) struct Conn {
    pub(super) stream: TcpStream,
    pub(super) buffer: Buffer,
    pub(super) from: Option<IpAddr>,
    /// When it was opened, or last had something to say.
    pub(super) since: Micros,
    /// It has said something whole.
    pub(super) spoke: bool,
    /// When the packet that is coming in began.
    pub(super) begun: Option<Micros>,
    /// The last answer is written; whatever still comes is thrown away.
    pub(super) ending: bool,
    /// An attempt whose last byte is not written yet, and the worker's own limit for it in seconds.
    pub(super) assigning: Option<(AttemptId, u32)>,
    /// Parts of a result that its client takes in one piece only.
    pub(super) parts: Vec<u8>,
}

impl Gearman {
    pub(super) fn accept(&mut self, ctx: &mut Context<'_>) {
        let again = Deadline::Connection(self.token, ConnectionTimer::Accept);
        for _ in 0..ACCEPTS {
            if self.conns.len() >= self.most && !self.release_idle(ctx) {
                // They wait in the listener's queue until a connection ends.
                return ctx.deadlines.set(again, ctx.now + ACCEPT_AGAIN);
            }
            match self.listener.accept() {
                Ok((stream, from)) => self.open(ctx, stream, from.ip()),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error)
                    if matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(error) => {
                    log_line!(warn: "accepting Gearman: {error}");
                    self.release_idle(ctx);
                    return ctx.deadlines.set(again, ctx.now + ACCEPT_AGAIN);
                }
            }
        }
        ctx.deadlines.set(again, ctx.now + 1);
    }

    pub(super) fn open(&mut self, ctx: &mut Context<'_>, mut stream: TcpStream, from: IpAddr) {
        let token = ctx.next_token();
        let _ = stream.set_nodelay(true);
        let both = Interest::READABLE | Interest::WRITABLE;
        if let Err(error) = ctx.registry.register(&mut stream, Token(token), both) {
            return log_line!(warn: "watching a Gearman connection: {error}");
        }
        ctx.deadlines.set(Deadline::Connection(token, ConnectionTimer::Timeout), ctx.now + FIRST);
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
    pub(super) fn drop_conn(&mut self, ctx: &mut Context<'_>, token: ConnId) {
        let Some(mut conn) = self.conns.remove(&token) else { return };
        let _ = ctx.registry.deregister(&mut conn.stream);
        for alarm in [
            ConnectionTimer::Timeout,
            ConnectionTimer::ContinueRead,
            ConnectionTimer::OfferTimeout,
            ConnectionTimer::Idle,
        ] {
            ctx.deadlines.clear(Deadline::Connection(token, alarm));
        }
        self.blocked.remove(&token);
        if let Some(Lost::Offered(attempt) | Lost::Assigned(attempt)) = self.fleet.close(token) {
            self.offers.remove(&attempt);
            ctx.request_table.connection_broken(ctx.now, attempt);
        }
        for job in self.book.leave(token) {
            ctx.request_table.client_left(job);
        }
    }

    /// Writes a packet or text to a peer, as far as it takes it now.
    pub(super) fn put(&mut self, ctx: &mut Context<'_>, token: ConnId, bytes: &[u8]) {
        let Some(conn) = self.conns.get_mut(&token).filter(|conn| !conn.ending) else { return };
        conn.buffer.append_output(bytes);
        self.flush(ctx, token);
    }

    pub(super) fn mail(&mut self, ctx: &mut Context<'_>, mail: Vec<Mail>) {
        mail.into_iter().for_each(|(conn, bytes)| self.put(ctx, conn, &bytes));
    }

    pub(super) fn error(&mut self, ctx: &mut Context<'_>, token: ConnId, code: &str, text: &str) {
        self.put(ctx, token, &encode(Sender::Server, PacketType::Error, &[code.as_bytes(), text.as_bytes()]));
    }

    /// The last word to a peer that is out of step.
    pub(super) fn part_with(&mut self, ctx: &mut Context<'_>, token: ConnId, last: &[u8]) {
        self.put(ctx, token, last);
        if let Some(conn) = self.conns.get_mut(&token) {
            // Closing with input unread would reset the connection, and the answer with it.
            let _ = conn.stream.shutdown(Shutdown::Write);
            conn.ending = true;
            ctx.deadlines.set(Deadline::Connection(token, ConnectionTimer::Timeout), ctx.now + LINGER);
        }
    }

    /// Writes what waits; tells whether the connection lives and has nothing more to write.
    pub(super) fn flush(&mut self, ctx: &mut Context<'_>, token: ConnId) -> bool {
        let Some(conn) = self.conns.get_mut(&token) else { return false };
        let late = Deadline::Connection(token, ConnectionTimer::Timeout);
        match conn.buffer.flush(&mut conn.stream) {
            Ok(true) => {
                if let Some((attempt, limit)) = conn.assigning.take() {
                    ctx.request_table.attempt_written(ctx.now, attempt);
                    ctx.request_table.attempt_note(attempt, AttemptNote::Started);
                    if limit > 0 {
                        let ends = ctx.now + Micros::from(limit) * SECOND;
                        ctx.deadlines.set(Deadline::Connection(token, ConnectionTimer::Idle), ends);
                    }
                }
                if !conn.ending {
                    conn.rest(ctx, token);
                }
                true
            }
            Ok(false) => {
                ctx.deadlines.set(late, ctx.now + STALLED);
                let waiting = conn.buffer.pending_output();
                let all = || self.conns.values().map(|conn| conn.buffer.pending_output()).sum::<usize>();
                if waiting > OUTPUT || (waiting > FAIR && all() > ALL_OUTPUT) {
                    log_line!(warn: "a Gearman peer does not take what it is sent: {waiting} bytes wait");
                    self.drop_conn(ctx, token);
                }
                false
            }
            Err(_) => {
                self.drop_conn(ctx, token);
                false
            }
        }
    }

    pub(super) fn read(&mut self, ctx: &mut Context<'_>, token: ConnId) {
        let most = HEAD + NAMES + self.config.max_workload_bytes;
        let mut left = PACKETS;
        for _ in 0..FILLS {
            let Some(conn) = self.conns.get_mut(&token) else { return };
            let filled = conn.buffer.fill(&mut conn.stream, most);
            while left > 0 && self.step(ctx, token) {
                left -= 1;
            }
            let Some(conn) = self.conns.get_mut(&token) else { return };
            if conn.ending {
                conn.buffer.consume(usize::MAX / 2);
            }
            if left == 0 {
                break;
            }
            if filled == FillOutcome::Closed {
                // What it said before it left has been heard.
                return self.drop_conn(ctx, token);
            }
            // The buffer was full of packets, and room has come; or else the rest waits for something.
            if filled == FillOutcome::WouldBlock
                || conn.buffer.has_output()
                || conn.buffer.input().len() >= most
            {
                return;
            }
        }
        // The rest in the next turn: who sends without end gets its share of this one.
        ctx.deadlines.set(Deadline::Connection(token, ConnectionTimer::ContinueRead), ctx.now + 1);
    }

    /// Deals with the next packet or line; tells whether there was one.
    pub(super) fn step(&mut self, ctx: &mut Context<'_>, token: ConnId) -> bool {
        let limit = NAMES + self.config.max_workload_bytes;
        let ready = |conn: &&mut Conn| !(conn.ending || conn.buffer.has_output());
        let Some(conn) = self.conns.get_mut(&token).filter(ready) else { return false };
        let input = conn.buffer.input();
        let Some(&first) = input.first() else {
            conn.rest(ctx, token);
            return false;
        };
        if first != 0 {
            return self.line(ctx, token);
        }
        match packet::parse(input, Sender::Peer, limit) {
            Ok(Parsed::Incomplete) => {
                conn.begun.get_or_insert(ctx.now);
                conn.rest(ctx, token);
                false
            }
            Ok(Parsed::Complete(found, length)) => {
                if !submits(found.packet_type) && self.book.owes(token) {
                    // Answers go out in order, and the one to a submission is known at the end of the turn.
                    self.blocked.insert(token);
                    return false;
                }
                // A copy, for the buffer is needed for answers.
                let bytes = input[..length].to_vec();
                conn.heard(ctx.now, length);
                if let Ok(Parsed::Complete(found, _)) = packet::parse(&bytes, Sender::Peer, limit) {
                    self.packet(ctx, token, found);
                }
                true
            }
            Ok(Parsed::Invalid(fault, length)) => {
                conn.heard(ctx.now, length);
                self.error(ctx, token, "BAD_PACKET", &fault.to_string());
                true
            }
            Err(fault) => {
                log_line!("a Gearman peer is out of step: {fault}");
                let last =
                    encode(Sender::Server, PacketType::Error, &[b"BAD_PACKET", fault.to_string().as_bytes()]);
                self.part_with(ctx, token, &last);
                false
            }
        }
    }

    /// Deals with a line of text, if a whole one is there.
    pub(super) fn line(&mut self, ctx: &mut Context<'_>, token: ConnId) -> bool {
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
                conn.begun.get_or_insert(ctx.now);
                conn.rest(ctx, token);
                false
            }
        }
    }
}

impl Conn {
    /// Sets the time by which something is owed, while nothing waits to go out.
    fn rest(&self, ctx: &mut Context<'_>, token: ConnId) {
        let late = Deadline::Connection(token, ConnectionTimer::Timeout);
        match self.begun {
            Some(begun) => ctx.deadlines.set(late, begun + PARTIAL),
            None if self.spoke => ctx.deadlines.clear(late),
            None => ctx.deadlines.set(late, self.since + FIRST),
        }
    }

    /// Something whole of this length has come in.
    pub(super) fn heard(&mut self, now: Micros, length: usize) {
        self.buffer.consume(length);
        (self.since, self.spoke, self.begun) = (now, true, None);
    }
}
