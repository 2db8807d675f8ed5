//! Connections: receives and sends bytes within limits of size and time, and splits the input into packets and command
//! lines.

use super::Gearman;
use super::packet_handlers::is_submission;
use crate::log::log_line;
use crate::net::Context;
use crate::net::core::buffer::{Buffer, FillOutcome};
use crate::net::core::deadlines::{ConnectionTimer, Deadline};
use crate::net::core::iteration::{ACCEPT_TIME, MAX_MESSAGES_PER_TURN};
use crate::net::core::request_table::AttemptId;
use crate::net::protocol::ReleaseIdle;
use calicolb::api::{AttemptNote, Micros};
use calicolb_gearman::ConnectionId;
use calicolb_gearman::admin::MAX_LINE_LENGTH;
use calicolb_gearman::job_table::OutgoingPacket;
use calicolb_gearman::packet::{self, HEADER_LENGTH, PacketType, Parsed, Sender, encode};
use calicolb_gearman::worker_table::LostAttempt;
use mio::net::TcpStream;
use mio::{Interest, Token};
use std::io::ErrorKind;
use std::net::{IpAddr, Shutdown};
use std::time::Instant;

const SECOND: Micros = 1_000_000;
/// The time from the first byte of a packet or line within which the rest must be received.
const MESSAGE_TIMEOUT: Micros = 5 * SECOND / 2;
/// The time after which a connection that has never sent a complete message is closed. Clients often connect before they
/// have a job.
const FIRST_MESSAGE_TIMEOUT: Micros = 30 * SECOND;
/// The time after which a connection whose peer does not read its output is closed.
const WRITE_TIMEOUT: Micros = 5 * SECOND;
/// The time for which a connection stays open for input after its last answer, an error, was sent.
const LINGER_TIME: Micros = SECOND;
/// The time after which accepting is tried again when no descriptor was available.
const ACCEPT_RETRY_DELAY: Micros = SECOND / 50;
/// The largest number of connections that one iteration accepts; the next iteration accepts the rest.
const MAX_ACCEPTS: usize = 256;
/// The largest number of times that one turn fills the input buffer of a connection. The number is bounded because the
/// contents are copied for processing.
const MAX_FILLS: usize = 8;
/// The largest size of the arguments of a packet apart from its workload, in bytes: names, ids and handles.
const MAX_NAMES_SIZE: usize = 2 * 1024;
/// The largest pending output of one connection, in bytes. A connection with more is closed, because its peer does not
/// read.
const MAX_OUTPUT: usize = 512 * 1024;
/// The largest pending output of all connections together, in bytes. Above it, connections with more than
/// [`FAIR_OUTPUT`] are closed.
const MAX_TOTAL_OUTPUT: usize = 16 * 1024 * 1024;
/// The pending output that a connection may have while the total is exceeded, in bytes: one large packet.
const FAIR_OUTPUT: usize = 64 * 1024 + MAX_NAMES_SIZE;

/// A connection of a client, a worker or an operator.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) buffer: Buffer,
    pub(super) peer_address: Option<IpAddr>,
    /// The time at which the connection was opened, or at which its last complete message was received.
    pub(super) last_active: Micros,
    /// Whether the peer has sent a complete message.
    pub(super) has_sent_message: bool,
    /// The time at which the incomplete message in the input buffer began.
    pub(super) message_started: Option<Micros>,
    /// Whether the last answer has been queued; all further input is discarded.
    pub(super) closing: bool,
    /// The attempt whose assignment is not completely written yet, with the worker's time limit for it in seconds.
    pub(super) unwritten_assignment: Option<(AttemptId, u32)>,
    /// Partial results that are collected for a client that accepts only a complete result.
    pub(super) collected_result: Vec<u8>,
}

impl Gearman {
    /// Accepts waiting connections, up to [`MAX_ACCEPTS`] of them, while the descriptor limit allows it.
    pub(super) fn accept_connections(&mut self, ctx: &mut Context<'_>) {
        let retry = Deadline::Connection(self.listener_token, ConnectionTimer::Accept);
        let started = Instant::now();
        for _ in 0..MAX_ACCEPTS {
            if started.elapsed() > ACCEPT_TIME {
                break;
            }
            if self.connections.len() >= self.max_connections && !self.release_idle(ctx) {
                // New connections wait in the listener's backlog until a connection closes.
                return ctx.deadlines.set(retry, ctx.now + ACCEPT_RETRY_DELAY);
            }
            match self.listener.accept() {
                Ok((stream, address)) => self.add_connection(ctx, stream, address.ip()),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error)
                    if matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(error) => {
                    if self.accept_failure_log.is_due(ctx.now) {
                        log_line!(warn: "failed to accept a Gearman connection: {error}");
                    }
                    self.release_idle(ctx);
                    return ctx.deadlines.set(retry, ctx.now + ACCEPT_RETRY_DELAY);
                }
            }
        }
        ctx.deadlines.set(retry, ctx.now + 1);
    }

    /// Registers an accepted connection with the event loop.
    pub(super) fn add_connection(
        &mut self,
        ctx: &mut Context<'_>,
        mut stream: TcpStream,
        peer_address: IpAddr,
    ) {
        let token = ctx.next_token();
        let _ = stream.set_nodelay(true);
        let interests = Interest::READABLE | Interest::WRITABLE;
        if let Err(error) = ctx.registry.register(&mut stream, Token(token), interests) {
            return log_line!(warn: "failed to register a Gearman connection: {error}");
        }
        ctx.deadlines
            .set(Deadline::Connection(token, ConnectionTimer::Timeout), ctx.now + FIRST_MESSAGE_TIMEOUT);
        let connection = Connection {
            stream,
            buffer: Buffer::charged_to(ctx.memory),
            peer_address: Some(peer_address),
            last_active: ctx.now,
            has_sent_message: false,
            message_started: None,
            closing: false,
            unwritten_assignment: None,
            collected_result: Vec::new(),
        };
        self.connections.insert(token, connection);
    }

    /// Closes and removes a connection. An attempt that was offered or assigned to it is reported as broken; whether it
    /// may have run depends on whether its assignment was completely written. The client's jobs are abandoned.
    pub(super) fn remove_connection(&mut self, ctx: &mut Context<'_>, token: ConnectionId) {
        let Some(mut connection) = self.connections.remove(&token) else { return };
        let _ = ctx.registry.deregister(&mut connection.stream);
        for timer in [ConnectionTimer::Timeout, ConnectionTimer::OfferTimeout, ConnectionTimer::Idle] {
            ctx.deadlines.clear(Deadline::Connection(token, timer));
        }
        ctx.input_queue.remove(token);
        self.awaiting_confirmation.remove(&token);
        if let Some(LostAttempt::Offered(attempt) | LostAttempt::Assigned(attempt)) =
            self.worker_table.remove_connection(token)
        {
            self.offered_payloads.remove(&attempt);
            ctx.request_table.connection_broken(ctx.now, attempt);
        }
        for job in self.job_table.remove_client(token) {
            ctx.request_table.client_left(job);
        }
    }

    /// Queues bytes for a peer, and writes as many as the socket accepts now.
    pub(super) fn send(&mut self, ctx: &mut Context<'_>, token: ConnectionId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&token).filter(|connection| !connection.closing)
        else {
            return;
        };
        connection.buffer.append_output(bytes);
        self.flush(ctx, token);
    }

    /// Sends each packet to its connection.
    pub(super) fn send_packets(&mut self, ctx: &mut Context<'_>, packets: Vec<OutgoingPacket>) {
        packets.into_iter().for_each(|(connection, bytes)| self.send(ctx, connection, &bytes));
    }

    /// Sends an ERROR packet.
    pub(super) fn send_error(&mut self, ctx: &mut Context<'_>, token: ConnectionId, code: &str, text: &str) {
        self.send(
            ctx,
            token,
            &encode(Sender::Server, PacketType::Error, &[code.as_bytes(), text.as_bytes()]),
        );
    }

    /// Sends a last answer to a peer whose input cannot be parsed any further, and closes the connection
    /// [`LINGER_TIME`] later.
    pub(super) fn close_after(&mut self, ctx: &mut Context<'_>, token: ConnectionId, last_answer: &[u8]) {
        self.send(ctx, token, last_answer);
        if let Some(connection) = self.connections.get_mut(&token) {
            // Closing a socket with unread input would reset the connection, and the peer could lose the answer.
            let _ = connection.stream.shutdown(Shutdown::Write);
            connection.closing = true;
            ctx.deadlines.set(Deadline::Connection(token, ConnectionTimer::Timeout), ctx.now + LINGER_TIME);
        }
    }

    /// Writes pending output. Returns whether the connection is open and has no more pending output.
    pub(super) fn flush(&mut self, ctx: &mut Context<'_>, token: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(&token) else { return false };
        let timeout = Deadline::Connection(token, ConnectionTimer::Timeout);
        match connection.buffer.flush(&mut connection.stream) {
            Ok(true) => {
                if let Some((attempt, limit_seconds)) = connection.unwritten_assignment.take() {
                    ctx.request_table.attempt_written(ctx.now, attempt);
                    ctx.request_table.attempt_note(attempt, AttemptNote::Started);
                    if limit_seconds > 0 {
                        let job_deadline = ctx.now + Micros::from(limit_seconds) * SECOND;
                        ctx.deadlines.set(Deadline::Connection(token, ConnectionTimer::Idle), job_deadline);
                    }
                }
                if !connection.closing {
                    connection.set_input_timeout(ctx, token);
                }
                true
            }
            Ok(false) => {
                ctx.deadlines.set(timeout, ctx.now + WRITE_TIMEOUT);
                let pending = connection.buffer.pending_output();
                let total = || {
                    self.connections
                        .values()
                        .map(|connection| connection.buffer.pending_output())
                        .sum::<usize>()
                };
                if pending > MAX_OUTPUT || (pending > FAIR_OUTPUT && total() > MAX_TOTAL_OUTPUT) {
                    log_line!(warn: "closing a Gearman connection that does not read: {pending} bytes of output are pending");
                    self.remove_connection(ctx, token);
                }
                false
            }
            Err(_) => {
                self.remove_connection(ctx, token);
                false
            }
        }
    }

    /// Reads input from a connection and processes its messages, within the limits of one turn.
    pub(super) fn receive(&mut self, ctx: &mut Context<'_>, token: ConnectionId) {
        let max_input = HEADER_LENGTH + MAX_NAMES_SIZE + self.config.max_workload_bytes;
        let mut messages_left = MAX_MESSAGES_PER_TURN;
        for _ in 0..MAX_FILLS {
            let Some(connection) = self.connections.get_mut(&token) else { return };
            let outcome = connection.buffer.fill(&mut connection.stream, max_input);
            while messages_left > 0 && self.process_message(ctx, token) {
                messages_left -= 1;
            }
            let Some(connection) = self.connections.get_mut(&token) else { return };
            if connection.closing {
                connection.buffer.consume(usize::MAX / 2);
            }
            if messages_left == 0 {
                break;
            }
            if outcome == FillOutcome::Closed {
                // The messages that the peer sent before it closed the connection are processed by now.
                return self.remove_connection(ctx, token);
            }
            // Otherwise the buffer was filled to its limit and has room again, so there may be more input to read.
            if outcome == FillOutcome::WouldBlock
                || connection.buffer.has_output()
                || connection.buffer.input().len() >= max_input
            {
                return;
            }
        }
        ctx.input_queue.push_backlog(token);
    }

    /// Processes the next packet or line in the input buffer. Returns whether one was processed.
    pub(super) fn process_message(&mut self, ctx: &mut Context<'_>, token: ConnectionId) -> bool {
        let max_arguments = MAX_NAMES_SIZE + self.config.max_workload_bytes;
        let may_process =
            |connection: &&mut Connection| !(connection.closing || connection.buffer.has_output());
        let Some(connection) = self.connections.get_mut(&token).filter(may_process) else { return false };
        let input = connection.buffer.input();
        let Some(&first_byte) = input.first() else {
            connection.set_input_timeout(ctx, token);
            return false;
        };
        if first_byte != 0 {
            return self.process_line(ctx, token);
        }
        match packet::parse(input, Sender::Peer, max_arguments) {
            Ok(Parsed::Incomplete) => {
                connection.message_started.get_or_insert(ctx.now);
                connection.set_input_timeout(ctx, token);
                false
            }
            Ok(Parsed::Complete(packet, length)) => {
                if !is_submission(packet.packet_type) && self.job_table.has_unconfirmed_submission(token) {
                    // Answers are sent in order, and the answer to a submission is known at the end of the iteration.
                    self.awaiting_confirmation.insert(token);
                    return false;
                }
                // The packet is copied, because processing it may write answers to the same buffer.
                let bytes = input[..length].to_vec();
                connection.consume_message(ctx.now, length);
                if let Ok(Parsed::Complete(packet, _)) = packet::parse(&bytes, Sender::Peer, max_arguments) {
                    self.handle_packet(ctx, token, packet);
                }
                true
            }
            Ok(Parsed::Invalid(error, length)) => {
                connection.consume_message(ctx.now, length);
                self.send_error(ctx, token, "BAD_PACKET", &error.to_string());
                true
            }
            Err(error) => {
                log_line!("closing a Gearman connection with unparsable input: {error}");
                let last_answer =
                    encode(Sender::Server, PacketType::Error, &[b"BAD_PACKET", error.to_string().as_bytes()]);
                self.close_after(ctx, token, &last_answer);
                false
            }
        }
    }

    /// Processes the next command line, if it is complete. Returns whether one was processed.
    pub(super) fn process_line(&mut self, ctx: &mut Context<'_>, token: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(&token) else { return false };
        let input = connection.buffer.input();
        match input.iter().take(MAX_LINE_LENGTH).position(|&byte| byte == b'\n') {
            Some(end) => {
                let line = input[..end].to_vec();
                connection.consume_message(ctx.now, end + 1);
                let answer = self.run_line(ctx, line.trim_ascii());
                self.send(ctx, token, answer.as_bytes());
                true
            }
            None if input.len() >= MAX_LINE_LENGTH => {
                self.close_after(ctx, token, b"ERR TOO_LONG the line is too long\n");
                false
            }
            None => {
                connection.message_started.get_or_insert(ctx.now);
                connection.set_input_timeout(ctx, token);
                false
            }
        }
    }
}

impl Connection {
    /// Sets the time by which the rest of a message, or the first message, must be received. Called while no output is
    /// pending.
    fn set_input_timeout(&self, ctx: &mut Context<'_>, token: ConnectionId) {
        let timeout = Deadline::Connection(token, ConnectionTimer::Timeout);
        match self.message_started {
            Some(started) => ctx.deadlines.set(timeout, started + MESSAGE_TIMEOUT),
            None if self.has_sent_message => ctx.deadlines.clear(timeout),
            None => ctx.deadlines.set(timeout, self.last_active + FIRST_MESSAGE_TIMEOUT),
        }
    }

    /// Removes a complete message of this length from the input buffer.
    pub(super) fn consume_message(&mut self, now: Micros, length: usize) {
        self.buffer.consume(length);
        (self.last_active, self.has_sent_message, self.message_started) = (now, true, None);
    }
}
