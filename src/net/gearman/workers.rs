//! The pull: carries out what the module decided with workers that ask for themselves.

use super::Gearman;
use crate::net::Context;
use crate::net::core::deadlines::{ConnectionTimer, Deadline};
use crate::net::core::request_table::AttemptId;
use calicolb_gearman::ConnId;
use calicolb_gearman::packet::{PacketType, Sender, encode};

impl Gearman {
    pub(super) fn wake(&mut self, ctx: &mut Context<'_>, token: ConnId) {
        self.put(ctx, token, &encode(Sender::Server, PacketType::Noop, &[]));
    }

    /// Answers a connection that asks for work.
    pub(super) fn assign(&mut self, ctx: &mut Context<'_>, token: ConnId) {
        let Some((how, given, from)) = self.fleet.assign(token) else {
            return self.put(ctx, token, &encode(Sender::Server, PacketType::NoJob, &[]));
        };
        ctx.deadlines.clear(Deadline::Connection(from, ConnectionTimer::OfferTimeout));
        let Some(payload) = self.offers.remove(&given.attempt) else {
            // It cannot be missing; were it, nothing was written of it.
            self.fleet.done(token);
            return ctx.request_table.connection_broken(ctx.now, given.attempt);
        };
        // The first attempt has its job's handle; a job of HTTP has none in the book.
        let job = self.book.find(&self.handle(AttemptId { number: 0, ..given.attempt }));
        let unique = job.and_then(|job| self.book.unique(job)).unwrap_or(payload.name.as_bytes());
        let (handle, function) = (given.handle.as_bytes(), given.function.as_bytes());
        let bytes = match how {
            PacketType::GrabJobUniq => {
                encode(Sender::Server, PacketType::JobAssignUniq, &[handle, function, unique, &payload.body])
            }
            PacketType::GrabJobAll => encode(
                Sender::Server,
                PacketType::JobAssignAll,
                &[handle, function, unique, b"", &payload.body],
            ),
            _ => encode(Sender::Server, PacketType::JobAssign, &[handle, function, &payload.body]),
        };
        if let Some(conn) = self.conns.get_mut(&token) {
            conn.parts.clear();
            conn.assigning = Some((given.attempt, given.timeout));
        }
        self.put(ctx, token, &bytes);
    }

    /// What a worker that can do these functions does not take.
    pub(super) fn refuses(&self, can: impl Fn(&str) -> bool) -> u64 {
        let mut takes = 0_u64;
        for function in self.config.functions.iter().filter(|function| can(&function.name)) {
            takes |= 1 << function.skill;
            if function.takes_http_jobs {
                takes |= 1 << function.priority_classes[1].class.0;
            }
        }
        !takes
    }
}
