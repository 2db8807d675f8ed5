//! Connections that are closed to make room for others, and the drain of clients.

use super::*;
use crate::net::protocol::ReleaseIdle;

/// Maximum number of connections examined for one that can be closed in favour of another.
const MAX_RELEASE_CANDIDATES: usize = 8;

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

impl ReleaseIdle for ClientConnections {
    /// Closes the connection that is needed least. The order is: last response delivered, idle client, idle
    /// callback connection, last response possibly in flight, incomplete request, which is not accepted
    /// before its last byte. Within each group the connection that has been inactive longest is closed.
    fn release_idle(&mut self, ctx: &mut Context<'_>) -> bool {
        let now = ctx.now;
        let release_order = |connection: &Connection| match connection.state {
            // A complete request may be among the input.
            State::Reading if connection.has_unread_input => None,
            State::Closing => {
                Some((if connection.is_delivered(now) { 0 } else { 3 }, connection.last_activity))
            }
            State::Reading if connection.is_idle() => {
                Some((1 + u8::from(connection.carries_callbacks), connection.last_activity))
            }
            State::Reading if !connection.buffer.has_output() => {
                Some((4, connection.request_started.unwrap_or(connection.last_activity)))
            }
            _ => None,
        };
        for _ in 0..MAX_RELEASE_CANDIDATES {
            let next = self
                .connections
                .iter()
                .filter_map(|(&token, connection)| Some((release_order(connection)?, token)))
                .min();
            let Some((order, token)) = next else { break };
            // A request that arrived since the poll is accepted: its connection must not be closed.
            self.read(ctx, token);
            let unchanged =
                self.connections.get(&token).map(|connection| release_order(connection) == Some(order));
            if unchanged != Some(false) {
                self.drop_connection(ctx, token);
                return true;
            }
        }
        false
    }
}
