//! The connection to another control machine: one persistent HTTP connection, a bounded message queue, and reconnection with
//! increasing delays.

use super::IoContext;
use crate::net::core::buffer::{Buffer, FillOutcome};
use crate::net::core::deadlines::{ConnectionTimer, Deadline};
use crate::net::http::framing;
use calicolb::api::Micros;
use mio::net::TcpStream;
use mio::{Interest, Token};
use std::collections::VecDeque;
use std::net::SocketAddr;

const MILLI: Micros = 1_000;
/// If a connection is not established or a response has not arrived within this time, the connection is closed. Its
/// unanswered messages are lost, which the agreement protocol tolerates, and newer ones are sent on a new connection.
const RESPONSE_TIMEOUT: Micros = 1_000 * MILLI;
/// The delay before the first reconnection, which doubles with each failure, up to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Micros = 50 * MILLI;
/// The largest delay between reconnections. The actual delay is random, from half of it to one and a half times it.
const MAX_RETRY_DELAY: Micros = 800 * MILLI;
/// The largest number of queued messages. Beyond it the oldest one is dropped, since the agreement protocol repeats a message
/// that is still needed.
const MAX_QUEUED_MESSAGES: usize = 256;
/// The largest total size of the queued messages, in bytes.
const MAX_QUEUED_BYTES: usize = 2 << 20;
/// The largest number of messages that are sent without having been answered.
const MAX_UNANSWERED: usize = 64;
/// The largest amount of received data, in bytes, that is held unparsed. Responses have no body.
const MAX_INPUT_BYTES: usize = 64 * 1024;

struct Connection {
    token: usize,
    stream: TcpStream,
    buffer: Buffer,
    /// The number of messages that were sent and are not answered.
    unanswered: usize,
}

/// The connection to another control machine and the messages that wait for it.
pub struct Link {
    /// The number of the other machine.
    pub id: u64,
    address: SocketAddr,
    /// The target of the HTTP requests, which names the sending machine.
    request_target: String,
    connection: Option<Connection>,
    queue: VecDeque<Vec<u8>>,
    queued_bytes: usize,
    /// The number of consecutive failed connections.
    failures: u32,
    rng: fastrand::Rng,
}

impl Link {
    /// Creates a link from the machine with the number `own_id` to the one with the number `id` at `address`. `seed` is for
    /// the random part of the reconnection delay.
    pub fn new(own_id: u64, id: u64, address: SocketAddr, seed: u64) -> Self {
        Link {
            id,
            address,
            request_target: format!("/control/talk?from={own_id}"),
            connection: None,
            queue: VecDeque::new(),
            queued_bytes: 0,
            failures: 0,
            rng: fastrand::Rng::with_seed(seed ^ id.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        }
    }

    /// Returns true if the token belongs to this link's connection.
    pub fn owns(&self, token: usize) -> bool {
        self.connection.as_ref().is_some_and(|connection| connection.token == token)
    }

    /// Queues a message. Drops the oldest ones if the queue is too long.
    pub fn enqueue(&mut self, message: Vec<u8>) {
        self.queued_bytes += message.len();
        self.queue.push_back(message);
        // A single message may exceed the byte limit: it holds everything that a machine lacks after a long absence.
        while self.queue.len() > MAX_QUEUED_MESSAGES
            || self.queue.len() > 1 && self.queued_bytes > MAX_QUEUED_BYTES
        {
            let Some(oldest) = self.queue.pop_front() else { return };
            self.queued_bytes -= oldest.len();
        }
    }

    /// Connects if messages wait, sends queued messages, and reads responses.
    pub fn drive(&mut self, io: &mut IoContext<'_>) {
        if self.connection.is_none() {
            // The deadline is set while the link waits for the next connection attempt.
            if self.queue.is_empty() || io.deadlines.has(Deadline::ControlLinkRetry(self.id)) {
                return;
            }
            if !self.connect(io) {
                return self.disconnect(io);
            }
        }
        if self.transfer(io).is_err() {
            self.disconnect(io);
        }
    }

    fn connect(&mut self, io: &mut IoContext<'_>) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        let token = io.next_token();
        let interests = Interest::READABLE | Interest::WRITABLE;
        if io.registry.register(&mut stream, Token(token), interests).is_err() {
            return false;
        }
        io.deadlines.set(Deadline::Connection(token, ConnectionTimer::Timeout), io.now + RESPONSE_TIMEOUT);
        self.connection = Some(Connection { token, stream, buffer: Buffer::default(), unanswered: 0 });
        true
    }

    /// Sends and receives on the connection. An error means that the connection is broken.
    fn transfer(&mut self, io: &mut IoContext<'_>) -> Result<(), ()> {
        let Some(connection) = &mut self.connection else { return Ok(()) };
        if !matches!(connection.stream.take_error(), Ok(None)) {
            return Err(());
        }
        // The connection is not established yet.
        if connection.stream.peer_addr().is_err() {
            return Ok(());
        }
        let _ = connection.stream.set_nodelay(true);
        loop {
            let pending = connection.buffer.pending_output();
            if !connection.buffer.flush(&mut connection.stream).map_err(|_| ())? {
                if connection.buffer.pending_output() < pending {
                    io.deadlines.set(
                        Deadline::Connection(connection.token, ConnectionTimer::Timeout),
                        io.now + RESPONSE_TIMEOUT,
                    );
                }
                return Ok(());
            }
            let outcome = connection.buffer.fill(&mut connection.stream, MAX_INPUT_BYTES);
            while let Some((response, length)) =
                framing::parse_response(connection.buffer.input()).map_err(|_| ())?
            {
                if response.status != 204 || connection.unanswered == 0 {
                    return Err(());
                }
                connection.buffer.consume(length);
                connection.unanswered -= 1;
                self.failures = 0;
                match connection.unanswered {
                    0 => io.deadlines.clear(Deadline::Connection(connection.token, ConnectionTimer::Timeout)),
                    _ => io.deadlines.set(
                        Deadline::Connection(connection.token, ConnectionTimer::Timeout),
                        io.now + RESPONSE_TIMEOUT,
                    ),
                }
            }
            if outcome == FillOutcome::Closed {
                return Err(());
            }
            if self.queue.is_empty() || connection.unanswered >= MAX_UNANSWERED {
                if connection.unanswered == 0 {
                    io.deadlines.clear(Deadline::Connection(connection.token, ConnectionTimer::Timeout));
                }
                return Ok(());
            }
            if connection.unanswered == 0 {
                io.deadlines.set(
                    Deadline::Connection(connection.token, ConnectionTimer::Timeout),
                    io.now + RESPONSE_TIMEOUT,
                );
            }
            while connection.unanswered < MAX_UNANSWERED
                && let Some(message) = self.queue.pop_front()
            {
                self.queued_bytes -= message.len();
                connection.unanswered += 1;
                let request =
                    framing::write_request("POST", &self.request_target, &[("Host", "control")], &message);
                connection.buffer.append_output(&request);
            }
        }
    }

    /// Handles the timeout of the connection: closes it.
    pub fn handle_timeout(&mut self, io: &mut IoContext<'_>) {
        self.disconnect(io);
    }

    /// Closes the connection, if there is one, and schedules the next connection attempt.
    fn disconnect(&mut self, io: &mut IoContext<'_>) {
        if let Some(mut connection) = self.connection.take() {
            let _ = io.registry.deregister(&mut connection.stream);
            io.deadlines.clear(Deadline::Connection(connection.token, ConnectionTimer::Timeout));
        }
        let delay = (MIN_RETRY_DELAY << self.failures.min(8)).min(MAX_RETRY_DELAY);
        self.failures += 1;
        let delay = delay / 2 + self.rng.u64(0..=delay);
        io.deadlines.set(Deadline::ControlLinkRetry(self.id), io.now + delay);
    }
}
