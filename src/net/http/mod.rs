//! HTTP/1.1: the clients' connections with the call-backs that come by them, and the connections to next hops.

pub mod call_back;
pub mod client;
pub mod framing;
pub mod next_hop;

use crate::net::Context;
use crate::net::core::deadlines::ConnectionTimer;
use crate::net::core::envelope::Payload;
use crate::net::core::request_table::{Answer, AttemptId, ClientId};
use crate::net::protocol::{DescriptorLimits, Protocol, ReleaseIdle};
use calicolb::api::{Micros, WorkerId};
use client::Clients;
use next_hop::NextHops;
use std::io;

/// Both sides of it.
pub struct Http {
    pub clients: Clients,
    pub hops: NextHops,
}

impl ReleaseIdle for Http {
    fn release_idle(&mut self, ctx: &mut Context<'_>) -> bool {
        self.clients.release_idle(ctx)
    }
}

impl Protocol for Http {
    fn owns_token(&self, token: usize) -> bool {
        self.clients.has(token) || self.hops.has(token)
    }

    fn on_ready(&mut self, ctx: &mut Context<'_>, token: usize) {
        if self.clients.has(token) { self.clients.ready(ctx, token) } else { self.hops.ready(ctx, token) }
    }

    fn on_deadline(&mut self, ctx: &mut Context<'_>, token: usize, alarm: ConnectionTimer) {
        if self.clients.has(token) {
            self.clients.due(ctx, token, alarm);
        } else {
            self.hops.due(ctx, token, alarm);
        }
    }

    fn owns_client(&self, client: ClientId) -> bool {
        self.clients.has(client)
    }

    fn send_answer(&mut self, ctx: &mut Context<'_>, client: ClientId, answer: Answer) {
        self.clients.answer(ctx, client, answer);
    }

    fn owns_worker(&self, hop: WorkerId) -> bool {
        self.hops.drives(hop)
    }

    fn send_attempt(
        &mut self,
        ctx: &mut Context<'_>,
        attempt: AttemptId,
        hop: WorkerId,
        payload: &Payload,
        wait: Micros,
    ) {
        self.hops.send(ctx, &mut self.clients, attempt, hop, payload, wait);
    }

    fn cancel(&mut self, ctx: &mut Context<'_>, attempt: AttemptId, hop: WorkerId, name: &str) {
        self.hops.give_up(ctx, &mut self.clients, attempt, hop, name);
    }

    fn release_attempt(&mut self, ctx: &mut Context<'_>, attempt: AttemptId) {
        self.hops.release(ctx, attempt);
    }

    fn probe(&mut self, ctx: &mut Context<'_>, hop: WorkerId) {
        self.hops.probe(ctx, &mut self.clients, hop);
    }

    fn close_idle(&mut self, ctx: &mut Context<'_>, hop: WorkerId) {
        self.hops.close_idle(ctx, hop);
    }

    fn on_commands_done(&mut self, ctx: &mut Context<'_>) {
        self.hops.begin(ctx);
    }

    fn listen(&mut self, ctx: &mut Context<'_>) -> io::Result<()> {
        self.clients.listen(ctx)
    }

    fn set_descriptor_limits(&mut self, ctx: &mut Context<'_>, shares: DescriptorLimits) {
        self.clients.limit(ctx, shares.clients);
        self.hops.limit(ctx, shares.workers);
    }

    fn begin_drain(&mut self, ctx: &mut Context<'_>) {
        self.clients.farewell(ctx);
    }

    fn resume(&mut self) {
        self.clients.stay();
    }

    fn is_idle(&self, now: Micros) -> bool {
        self.clients.at_rest(now)
    }
}
