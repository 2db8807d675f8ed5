//! Reading of client connections in turns: each turn reads and processes a bounded amount of input.

use super::job::job_from_request;
use super::*;
use crate::net::core::buffer::FillOutcome;
use crate::net::core::iteration::MAX_MESSAGES_PER_TURN;
use crate::net::core::request_table::IntakeError;
use crate::net::http::callback::{CALLBACK_PATH, CallbackOutcome, handle_callback};
use crate::net::http::framing::Request;

/// Bytes that a connection may read beyond its unprocessed input at a time, so that many connections with much input do
/// not hold much memory.
pub(super) const FILL_BYTES: usize = 16 * 1024;
/// Maximum number of times that one turn fills the input buffer.
const MAX_FILLS: usize = 4;

/// Whether a request led to anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Usefulness {
    /// A job was accepted, or a callback matched an open request.
    Productive,
    /// It was a mistake of the client, a readiness check, or a callback that matches nothing.
    Fruitless,
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

impl ClientConnections {
    /// Reads and processes input of a connection, for one turn.
    pub(super) fn read(&mut self, ctx: &mut Context<'_>, token: usize) {
        let before = self.connections.get_mut(&token);
        let expired_since =
            before.and_then(|connection| connection.take_timeout().then_some(connection.last_activity));
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
        if let Some(last_activity) = expired_since {
            self.end_stalled(ctx, token, last_activity);
        }
    }

    fn take_turn(&mut self, ctx: &mut Context<'_>, token: usize) -> TurnOutcome {
        let mut requests_left = MAX_MESSAGES_PER_TURN;
        for fill in 0..MAX_FILLS {
            let Some(connection) = self.connections.get_mut(&token) else { return TurnOutcome::Waiting };
            if connection.buffer.has_output() {
                return TurnOutcome::Waiting;
            }
            let filled = connection.fill(ctx.now, fill == 0);
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
                // The client has gone, however much of its input is unread.
                State::InProgress if connection.read_closed => return TurnOutcome::Closed,
                // Input behind the last response is discarded.
                State::Closing => {
                    connection.discard_input();
                    return filled.into();
                }
                State::InProgress => return connection.discard_excess_input(filled),
                State::Reading if filled == FillOutcome::WouldBlock => return TurnOutcome::Waiting,
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
        match connection.parser.parse(connection.buffer.input()) {
            Ok((processed, None)) => {
                connection.buffer.consume(processed);
                // The limit counts from the first byte, so a client that sends single bytes cannot hold a
                // connection forever.
                let deadline = if connection.awaits_first_request {
                    connection.last_activity + first_request_timeout
                } else if !connection.has_partial_request() {
                    ctx.now + IDLE_TIMEOUT
                } else {
                    *connection.request_started.get_or_insert(ctx.now) + STALL_TIMEOUT
                };
                ctx.deadlines.set(Deadline::Connection(token, ConnectionTimer::Timeout), deadline);
                false
            }
            Ok((processed, Some(request))) => {
                connection.buffer.consume(processed);
                connection.last_activity = ctx.now;
                connection.awaits_first_request = false;
                connection.request_started = None;
                connection.close_after_response |= !request.keep_alive;
                ctx.deadlines
                    .set(Deadline::Connection(token, ConnectionTimer::Timeout), ctx.now + IDLE_TIMEOUT);
                if !connection.buffer.input().is_empty() && !connection.carries_callbacks {
                    connection.standing.record_pipelining();
                }
                match self.route(ctx, token, request) {
                    Ok(usefulness) => self.record_usefulness(token, usefulness),
                    Err(Reject(status)) => {
                        if !matches!(status, 409 | 503) {
                            self.record_usefulness(token, Usefulness::Fruitless);
                        }
                        self.reply(ctx, token, status, &[], b"");
                    }
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

    fn record_usefulness(&mut self, token: usize, usefulness: Usefulness) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        match usefulness {
            Usefulness::Productive => connection.standing.record_productive(),
            Usefulness::Fruitless => connection.standing.record_fruitless(),
        }
    }

    fn route(&mut self, ctx: &mut Context<'_>, token: usize, request: Request) -> Result<Usefulness, Reject> {
        let require_method = |method: &str| if request.method == method { Ok(()) } else { Err(Reject(405)) };
        let path = request.path().to_owned();
        match path.as_str() {
            "/up" => {
                require_method("GET")?;
                let status = if self.accepts_clients { 200 } else { 503 };
                self.reply(ctx, token, status, &[], b"");
                Ok(Usefulness::Fruitless)
            }
            CALLBACK_PATH => {
                require_method("POST")?;
                let outcome = handle_callback(ctx, &request.body)?;
                if let Some(connection) = self.connections.get_mut(&token) {
                    connection.carries_callbacks = true;
                }
                self.reply(ctx, token, 200, &[], b"");
                Ok(match outcome {
                    CallbackOutcome::Matched => Usefulness::Productive,
                    CallbackOutcome::Unmatched => Usefulness::Fruitless,
                })
            }
            _ => {
                let job = job_from_request(ctx, request)?;
                match ctx.request_table.add_request(ctx.now, token, job) {
                    Ok(_) => {
                        if let Some(connection) = self.connections.get_mut(&token) {
                            connection.state = State::InProgress;
                        }
                        ctx.deadlines.clear(Deadline::Connection(token, ConnectionTimer::Timeout));
                        Ok(Usefulness::Productive)
                    }
                    Err(IntakeError::DuplicateName | IntakeError::MayRunTwice) => Err(Reject(409)),
                    Err(IntakeError::TooManyOpen | IntakeError::OutOfMemory) => Err(Reject(503)),
                }
            }
        }
    }
}

impl Connection {
    /// Reads input. `first`: this is the first time in a turn. Requests that are in the buffer are processed before more is
    /// read.
    fn fill(&mut self, now: Micros, first: bool) -> FillOutcome {
        let left = self.buffer.input().len();
        let limit = match self.state {
            _ if self.closed_by_peer => return FillOutcome::Closed,
            State::Reading if first && left > 0 => return FillOutcome::LimitReached,
            State::Reading | State::Closing => left + FILL_BYTES,
            State::InProgress => framing::MESSAGE_LIMIT.min(left + FILL_BYTES),
        };
        let filled = self.buffer.fill(&mut self.stream, limit);
        if self.buffer.input().len() > left {
            self.last_input = now;
        }
        filled
    }

    /// Returns whether the time for the present request is over, and forgets it.
    fn take_timeout(&mut self) -> bool {
        std::mem::take(&mut self.timed_out)
    }

    /// Discards the input behind a request in progress once it reaches [`framing::MESSAGE_LIMIT`]: only behind it the end
    /// of the connection shows. The response is then the last on this connection.
    /// A connection whose response is the last one has no use for its input at all.
    fn discard_excess_input(&mut self, filled: FillOutcome) -> TurnOutcome {
        self.close_after_response |= self.buffer.input().len() >= framing::MESSAGE_LIMIT;
        if self.close_after_response {
            self.discard_input();
        }
        filled.into()
    }
}
