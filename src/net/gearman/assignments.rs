//! Assignments: wakes workers, and gives asking workers the attempts that the decision module sent them.

use super::Gearman;
use super::packet_handlers::IDEMPOTENCY_KEY;
use crate::net::Context;
use crate::net::core::deadlines::{ConnectionTimer, Deadline};
use crate::net::core::request_table::AttemptId;
use calicolb_gearman::ConnectionId;
use calicolb_gearman::packet::{PacketType, Sender, encode};

impl Gearman {
    /// Sends NOOP to a sleeping worker connection, so that it asks for a job.
    pub(super) fn wake_connection(&mut self, ctx: &mut Context<'_>, token: ConnectionId) {
        self.send(ctx, token, &encode(Sender::Server, PacketType::Noop, &[]));
    }

    /// Answers a connection that asks for a job: with an assignment, or with NO_JOB.
    pub(super) fn answer_grab(&mut self, ctx: &mut Context<'_>, token: ConnectionId) {
        let Some((grab_type, assignment, holder)) = self.worker_table.assign(token) else {
            return self.send(ctx, token, &encode(Sender::Server, PacketType::NoJob, &[]));
        };
        ctx.deadlines.clear(Deadline::Connection(holder, ConnectionTimer::OfferTimeout));
        let Some(payload) = self.offered_payloads.remove(&assignment.attempt) else {
            // Every offered attempt has a payload. If it were missing, nothing has been sent of the attempt.
            self.worker_table.finish_job(token);
            return ctx.request_table.connection_broken(ctx.now, assignment.attempt);
        };
        // The first attempt has the handle of its job. A job that came over HTTP is not in the job table.
        let job = self
            .job_table
            .find_by_handle(&self.attempt_handle(AttemptId { number: 0, ..assignment.attempt }));
        let key = payload.headers.get(IDEMPOTENCY_KEY).unwrap_or(&payload.name);
        let unique_id = job.and_then(|job| self.job_table.unique_id(job)).unwrap_or(key.as_bytes());
        let (handle, function) = (assignment.handle.as_bytes(), assignment.function.as_bytes());
        let packet = match grab_type {
            PacketType::GrabJobUniq => encode(
                Sender::Server,
                PacketType::JobAssignUniq,
                &[handle, function, unique_id, &payload.body],
            ),
            PacketType::GrabJobAll => encode(
                Sender::Server,
                PacketType::JobAssignAll,
                &[handle, function, unique_id, b"", &payload.body],
            ),
            _ => encode(Sender::Server, PacketType::JobAssign, &[handle, function, &payload.body]),
        };
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.collected_result.clear();
            connection.unwritten_assignment = Some((assignment.attempt, assignment.timeout_seconds));
        }
        self.send(ctx, token, &packet);
    }

    /// Returns the bit set of the skills that a worker refuses which can run the functions for which `can_run` is true.
    pub(super) fn refused_skills(&self, can_run: impl Fn(&str) -> bool) -> u64 {
        let mut accepted = 0_u64;
        for function in self.config.functions.iter().filter(|function| can_run(&function.name)) {
            accepted |= 1 << function.skill;
            if function.takes_http_jobs {
                accepted |= 1 << function.priority_classes[1].class.0;
            }
        }
        !accepted
    }
}
