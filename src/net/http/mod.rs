//! HTTP/1.1: connections of clients and of workers that send callbacks, and connections to workers.

pub mod callback;
pub mod client;
pub mod framing;
pub mod upstream;

use crate::net::Ctx;
use crate::net::core::deadlines::Alarm;
use crate::net::core::desk::{Answer, AttemptId, ClientId};
use crate::net::core::envelope::Payload;
use crate::net::protocol::{Protocol, Shares, Spare};
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

impl Spare for Http {
    fn shed(&mut self, ctx: &mut Ctx<'_>) -> bool {
        self.clients.shed(ctx)
    }
}

impl Protocol for Http {
    fn has(&self, token: usize) -> bool {
        self.clients.owns_token(token) || self.upstream.owns_token(token)
    }

    fn ready(&mut self, ctx: &mut Ctx<'_>, token: usize) {
        if self.clients.owns_token(token) {
            self.clients.handle_ready(ctx, token)
        } else {
            self.upstream.handle_ready(ctx, token)
        }
    }

    fn due(&mut self, ctx: &mut Ctx<'_>, token: usize, alarm: Alarm) {
        if self.clients.owns_token(token) {
            self.clients.handle_deadline(ctx, token, alarm);
        } else {
            self.upstream.handle_deadline(ctx, token, alarm);
        }
    }

    fn serves(&self, client: ClientId) -> bool {
        self.clients.owns_token(client)
    }

    fn answer(&mut self, ctx: &mut Ctx<'_>, client: ClientId, answer: Answer) {
        self.clients.answer(ctx, client, answer);
    }

    fn drives(&self, worker: WorkerId) -> bool {
        self.upstream.has_worker(worker)
    }

    fn send(
        &mut self,
        ctx: &mut Ctx<'_>,
        attempt: AttemptId,
        worker: WorkerId,
        payload: &Payload,
        wait: Micros,
    ) {
        self.upstream.send_attempt(ctx, &mut self.clients, attempt, worker, payload, wait);
    }

    fn give_up(&mut self, ctx: &mut Ctx<'_>, attempt: AttemptId, worker: WorkerId, name: &str) {
        self.upstream.cancel_attempt(ctx, &mut self.clients, attempt, worker, name);
    }

    fn release(&mut self, ctx: &mut Ctx<'_>, attempt: AttemptId) {
        self.upstream.release_attempt(ctx, attempt);
    }

    fn probe(&mut self, ctx: &mut Ctx<'_>, worker: WorkerId) {
        self.upstream.probe(ctx, &mut self.clients, worker);
    }

    fn close_idle(&mut self, ctx: &mut Ctx<'_>, worker: WorkerId) {
        self.upstream.close_idle(ctx, worker);
    }

    fn settled(&mut self, ctx: &mut Ctx<'_>) {
        self.upstream.start_connected_attempts(ctx);
    }

    fn listen(&mut self, ctx: &mut Ctx<'_>) -> io::Result<()> {
        self.clients.listen(ctx)
    }

    fn limit(&mut self, ctx: &mut Ctx<'_>, shares: Shares) {
        self.clients.set_max_connections(ctx, shares.clients);
        self.upstream.set_max_connections(ctx, shares.hops);
    }

    fn farewell(&mut self, ctx: &mut Ctx<'_>) {
        self.clients.begin_drain(ctx);
    }

    fn stay(&mut self) {
        self.clients.end_drain();
    }

    fn at_rest(&self, now: Micros) -> bool {
        self.clients.is_idle(now)
    }
}
