//! Connections that are closed to make room for others, and the drain of clients.

use super::*;
use crate::net::protocol::ReleaseIdle;

/// Maximum number of connections examined for one that can be closed in favour of another.
const MAX_RELEASE_CANDIDATES: usize = 8;
/// Maximum number of unsound connections that are closed after their next response each time that there is no room.
const MAX_UNSOUND_CLOSES: usize = 32;

impl ClientConnections {
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
}

/// The order in which connections are closed to make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ReleaseOrder {
    /// The last response is delivered.
    Delivered,
    /// An unsound peer, whose last response may be in flight.
    UnsoundClosing,
    /// An unsound peer that is idle, has sent a part of a request, or does not read its responses.
    Unsound,
    /// An idle client.
    Idle,
    /// An idle connection that carries callbacks.
    IdleCallbacks,
    /// The last response may be in flight.
    Closing,
    /// An incomplete request, which is not accepted before its last byte.
    IncompleteRequest,
}

impl ClientConnections {
    /// Closes the connection that is needed least, to make room for a new one. While unsound peers hold places and none of
    /// their connections can be closed at once, they are closed with their next responses, and no other is closed for
    /// them. Returns whether there is room.
    pub(super) fn release_for_newcomer(&mut self, ctx: &mut Context<'_>) -> bool {
        if self.release_up_to(ctx, ReleaseOrder::Unsound) {
            return true;
        }
        if self.close_unsound_after_response() {
            return false;
        }
        self.release_idle(ctx)
    }

    /// Makes the next response of busy unsound connections their last, for at most [`MAX_UNSOUND_CLOSES`] of them.
    /// Returns whether any will be closed in this way.
    fn close_unsound_after_response(&mut self) -> bool {
        let is_busy = |connection: &&mut Connection| {
            connection.standing.is_unsound() && connection.state != State::Closing
        };
        let busy = self.connections.values_mut().filter(is_busy);
        let marked = busy.take(MAX_UNSOUND_CLOSES).map(|connection| connection.close_after_response = true);
        marked.count() > 0
    }

    /// Closes the connection that is needed least among those up to `last` in the order. Within each group the connection
    /// that has been inactive longest is closed. Returns whether one was closed.
    fn release_up_to(&mut self, ctx: &mut Context<'_>, last: ReleaseOrder) -> bool {
        let now = ctx.now;
        for _ in 0..MAX_RELEASE_CANDIDATES {
            let candidates = self.connections.iter().filter_map(|(&token, connection)| {
                Some((connection.release_order(now).filter(|(order, _)| *order <= last)?, token))
            });
            let Some((order, token)) = candidates.min() else { break };
            // A request that arrived since the poll is accepted: its connection must not be closed.
            self.read(ctx, token);
            let unchanged =
                self.connections.get(&token).map(|connection| connection.release_order(now) == Some(order));
            if unchanged != Some(false) {
                self.drop_connection(ctx, token);
                return true;
            }
        }
        false
    }
}

impl ReleaseIdle for ClientConnections {
    fn release_idle(&mut self, ctx: &mut Context<'_>) -> bool {
        self.release_up_to(ctx, ReleaseOrder::IncompleteRequest)
    }
}

impl Connection {
    /// The place of the connection in the order in which connections are closed, with the time of its last activity; `None`
    /// if it must not be closed.
    fn release_order(&self, now: Micros) -> Option<(ReleaseOrder, Micros)> {
        let is_unsound = self.standing.is_unsound();
        match self.state {
            State::InProgress => None,
            State::Closing if self.is_delivered(now) => Some((ReleaseOrder::Delivered, self.last_activity)),
            State::Closing if is_unsound => Some((ReleaseOrder::UnsoundClosing, self.last_activity)),
            State::Closing => Some((ReleaseOrder::Closing, self.last_activity)),
            // A complete request may be among the input.
            State::Reading if self.has_unread_input => None,
            State::Reading if is_unsound => Some((ReleaseOrder::Unsound, self.last_activity)),
            State::Reading if self.is_idle() && self.carries_callbacks => {
                Some((ReleaseOrder::IdleCallbacks, self.last_activity))
            }
            State::Reading if self.is_idle() => Some((ReleaseOrder::Idle, self.last_activity)),
            State::Reading if !self.buffer.has_output() => {
                let started = self.request_started.unwrap_or(self.last_activity);
                Some((ReleaseOrder::IncompleteRequest, started))
            }
            State::Reading => None,
        }
    }
}
