//! HTTP/1.1: connections of clients and of workers that send callbacks, and connections to workers.

mod body_decoder;
pub mod callback;
pub mod client;
pub mod framing;
mod request_parser;
pub mod upstream;

use crate::net::Context;
use crate::net::core::deadlines::ConnectionTimer;
use crate::net::core::envelope::Payload;
use crate::net::core::request_table::{Answer, AttemptId, ClientId, Receipt};
use crate::net::protocol::{DescriptorLimits, Protocol, ReleaseIdle};
use calicolb::api::{Micros, WorkerId};
use client::ClientConnections;
use std::io;
use upstream::UpstreamConnections;

/// The HTTP/1.1 protocol as seen by the event loop.
pub struct Http {
    /// Connections that clients and workers opened.
    pub clients: ClientConnections,
    /// Connections that were opened to workers.
    pub upstream: UpstreamConnections,
}

impl ReleaseIdle for Http {
    fn release_idle(&mut self, ctx: &mut Context<'_>) -> bool {
        self.clients.release_idle(ctx)
    }
}

impl Protocol for Http {
    fn owns_token(&self, token: usize) -> bool {
        self.clients.owns_token(token) || self.upstream.owns_token(token)
    }

    fn reads_in_turns(&self, token: usize) -> bool {
        self.clients.owns_connection(token)
    }

    fn awaits_answer(&self, token: usize) -> bool {
        self.clients.awaits_answer(token)
    }

    fn on_read_closed(&mut self, token: usize) {
        self.clients.on_read_closed(token);
    }

    fn on_ready(&mut self, ctx: &mut Context<'_>, token: usize) {
        if self.clients.owns_token(token) {
            self.clients.handle_ready(ctx, token)
        } else {
            self.upstream.handle_ready(ctx, token)
        }
    }

    fn on_deadline(&mut self, ctx: &mut Context<'_>, token: usize, timer: ConnectionTimer) {
        if self.clients.owns_token(token) {
            self.clients.handle_deadline(ctx, token, timer);
        } else {
            self.upstream.handle_deadline(ctx, token, timer);
        }
    }

    fn owns_client(&self, client: ClientId) -> bool {
        self.clients.owns_token(client)
    }

    fn send_answer(&mut self, ctx: &mut Context<'_>, client: ClientId, answer: Answer) {
        self.clients.answer(ctx, client, answer);
    }

    fn owns_worker(&self, worker: WorkerId) -> bool {
        self.upstream.has_worker(worker)
    }

    fn send_attempt(
        &mut self,
        ctx: &mut Context<'_>,
        attempt: AttemptId,
        worker: WorkerId,
        payload: &Payload,
        wait: Micros,
    ) {
        self.upstream.send_attempt(ctx, &mut self.clients, attempt, worker, payload, wait);
    }

    fn cancel(
        &mut self,
        ctx: &mut Context<'_>,
        attempt: AttemptId,
        worker: WorkerId,
        name: &str,
        receipt: Receipt,
    ) {
        self.upstream.cancel_attempt(ctx, &mut self.clients, attempt, worker, name, receipt);
    }

    fn on_cancel_due(&mut self, ctx: &mut Context<'_>, attempt: AttemptId) {
        self.upstream.send_due_cancel(ctx, &mut self.clients, attempt);
    }

    fn release_attempt(&mut self, ctx: &mut Context<'_>, attempt: AttemptId) {
        self.upstream.release_attempt(ctx, attempt);
    }

    fn probe(&mut self, ctx: &mut Context<'_>, worker: WorkerId) {
        self.upstream.probe(ctx, &mut self.clients, worker);
    }

    fn close_idle(&mut self, ctx: &mut Context<'_>, worker: WorkerId) {
        self.upstream.close_idle(ctx, worker);
    }

    fn on_commands_done(&mut self, ctx: &mut Context<'_>) {
        self.upstream.start_connected_attempts(ctx);
    }

    fn listen(&mut self, ctx: &mut Context<'_>) -> io::Result<()> {
        self.clients.listen(ctx)
    }

    fn set_descriptor_limits(&mut self, ctx: &mut Context<'_>, limits: DescriptorLimits) {
        self.clients.set_max_connections(ctx, limits.clients);
        self.upstream.set_max_connections(ctx, limits.workers);
    }

    fn shed_memory(&mut self, ctx: &mut Context<'_>) -> bool {
        self.clients.shed_memory(ctx)
    }

    fn begin_drain(&mut self, ctx: &mut Context<'_>) {
        self.clients.begin_drain(ctx);
    }

    fn resume(&mut self) {
        self.clients.end_drain();
    }

    fn is_idle(&self, now: Micros) -> bool {
        self.clients.is_idle(now)
    }
}
