//! Connections that are closed to make room for others, and input that is given up for lack of memory.

use super::Gearman;
use super::connections::Connection;
use crate::net::Context;
use crate::net::protocol::ReleaseIdle;
use calicolb_gearman::ConnectionId;
use calicolb_gearman::packet::{PacketType, Sender, encode};

impl ReleaseIdle for Gearman {
    /// Closes a connection that has received its last answer. If there is none, closes the idle client connection that
    /// has sent nothing yet, or else has been idle longest.
    fn release_idle(&mut self, ctx: &mut Context<'_>) -> bool {
        let close_order = |(&token, connection): (&ConnectionId, &Connection)| {
            let may_close = connection.closing
                || !(self.worker_table.is_worker(token) || self.job_table.has_waiting_client(token));
            may_close.then_some((
                !connection.closing,
                connection.has_sent_message,
                connection.last_active,
                token,
            ))
        };
        let first = self.connections.iter().filter_map(close_order).min();
        let Some((.., token)) = first else { return false };
        self.remove_connection(ctx, token);
        true
    }
}

impl Gearman {
    /// Gives up the incomplete packet that began first, of a client or of a worker without a job. Returns whether there was
    /// one.
    pub(super) fn shed_incomplete_packet(&mut self, ctx: &mut Context<'_>) -> bool {
        let candidate = |(&token, connection): (&ConnectionId, &Connection)| {
            let is_sheddable = !connection.closing
                && !connection.buffer.has_output()
                && self.worker_table.running_attempt(token).is_none();
            let message_started = connection.message_started.filter(|_| is_sheddable)?;
            Some((self.worker_table.is_worker(token), message_started, token))
        };
        let Some((.., token)) = self.connections.iter().filter_map(candidate).min() else { return false };
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.consume_message(ctx.now, usize::MAX / 2);
        }
        let error =
            encode(Sender::Server, PacketType::Error, &[b"BUSY", b"there is no memory for the packet"]);
        self.close_after(ctx, token, &error);
        true
    }
}
