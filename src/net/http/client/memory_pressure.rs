//! Memory of client connections that is given up when the account is over its limit: what was not accepted, and at last
//! answers that nobody reads, but never a request in progress.

use super::*;
use crate::net::http::callback::CALLBACK_PATH;
use std::cmp::Reverse;

/// Time without input after which a client counts as stopped, in microseconds.
const INPUT_PAUSE: Micros = SECOND / 2;

/// Time without progress after which nobody seems to read an answer, in microseconds.
const OUTPUT_STALL: Micros = SECOND;

/// What a connection holds beside a request in progress, in the order in which it is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Holding {
    /// Input behind a request in progress.
    PipelinedInput,
    /// An incomplete request.
    IncompleteRequest,
    /// An incomplete report of a worker.
    IncompleteReport,
    /// An answer that has not been read for [`OUTPUT_STALL`].
    UnreadAnswer,
}

/// Progress of the input of a connection, in the order in which the connections are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum InputState {
    /// Nothing has been received since this time, for [`INPUT_PAUSE`] at least.
    PausedSince(Micros),
    /// The request began at this time, and its input goes on.
    ReceivingSince(Reverse<Micros>),
}

/// The order in which connections are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ShedOrder {
    holding: Holding,
    input: InputState,
}

impl ClientConnections {
    /// Number of inputs and unread answers that were given up since the start of the process.
    pub fn shed_count(&self) -> u64 {
        self.shed_total
    }

    /// Gives up one incomplete request, the input behind a request in progress, or an answer that is not read. Within each
    /// kind of holding, input that has paused goes first, the longest pause before the others: a client that stopped goes
    /// before one that is slow. If none has paused, the request that began last goes first. Returns whether there was one.
    pub fn shed_memory(&mut self, ctx: &mut Context<'_>) -> bool {
        let candidates = self.connections.iter().filter_map(|(&token, connection)| {
            let order = ShedOrder {
                holding: connection.sheddable_holding(ctx.now)?,
                input: connection.input_state(ctx.now),
            };
            Some((order, token))
        });
        let Some((ShedOrder { holding, .. }, token)) = candidates.min() else { return false };
        self.shed_total += 1;
        if holding == Holding::UnreadAnswer {
            self.drop_connection(ctx, token);
            return true;
        }
        let Some(connection) = self.connections.get_mut(&token) else { return false };
        connection.close_after_response = true;
        connection.discard_input();
        if holding != Holding::PipelinedInput {
            self.reply(ctx, token, 503, &[], b"");
        }
        true
    }
}

impl Connection {
    /// What the connection holds that may be given up, if it takes any memory.
    fn sheddable_holding(&self, now: Micros) -> Option<Holding> {
        match self.state {
            State::InProgress => (!self.buffer.input().is_empty()).then_some(Holding::PipelinedInput),
            State::Reading if self.buffer.has_output() => {
                (now >= self.last_output + OUTPUT_STALL).then_some(Holding::UnreadAnswer)
            }
            State::Reading if !self.has_partial_request() => None,
            State::Reading if self.carries_callbacks || self.parser.receives(CALLBACK_PATH) => {
                Some(Holding::IncompleteReport)
            }
            State::Reading => Some(Holding::IncompleteRequest),
            State::Closing => None,
        }
    }

    fn input_state(&self, now: Micros) -> InputState {
        if now >= self.last_input + INPUT_PAUSE {
            InputState::PausedSince(self.last_input)
        } else {
            InputState::ReceivingSince(Reverse(self.request_started.unwrap_or(self.last_activity)))
        }
    }

    /// Discards all input that is not processed.
    pub(super) fn discard_input(&mut self) {
        self.buffer.consume(usize::MAX / 2);
        self.parser.reset();
    }
}
