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
    fn shed(&mut self, ctx: &mut Context<'_>) -> bool {
        self.clients.shed(ctx)
    }
}

impl Protocol for Http {
    fn has(&self, token: usize) -> bool {
        self.clients.has(token) || self.hops.has(token)
    }

    fn ready(&mut self, ctx: &mut Context<'_>, token: usize) {
        if self.clients.has(token) { self.clients.ready(ctx, token) } else { self.hops.ready(ctx, token) }
    }

    fn due(&mut self, ctx: &mut Context<'_>, token: usize, alarm: ConnectionTimer) {
        if self.clients.has(token) {
            self.clients.due(ctx, token, alarm);
        } else {
            self.hops.due(ctx, token, alarm);
        }
    }

    fn serves(&self, client: ClientId) -> bool {
        self.clients.has(client)
    }

    fn answer(&mut self, ctx: &mut Context<'_>, client: ClientId, answer: Answer) {
        self.clients.answer(ctx, client, answer);
    }

    fn drives(&self, hop: WorkerId) -> bool {
        self.hops.drives(hop)
    }

    fn send(
        &mut self,
        ctx: &mut Context<'_>,
        attempt: AttemptId,
        hop: WorkerId,
        payload: &Payload,
        wait: Micros,
    ) {
        self.hops.send(ctx, &mut self.clients, attempt, hop, payload, wait);
    }

    fn give_up(&mut self, ctx: &mut Context<'_>, attempt: AttemptId, hop: WorkerId, name: &str) {
        self.hops.give_up(ctx, &mut self.clients, attempt, hop, name);
    }

    fn release(&mut self, ctx: &mut Context<'_>, attempt: AttemptId) {
        self.hops.release(ctx, attempt);
    }

    fn probe(&mut self, ctx: &mut Context<'_>, hop: WorkerId) {
        self.hops.probe(ctx, &mut self.clients, hop);
    }

    fn close_idle(&mut self, ctx: &mut Context<'_>, hop: WorkerId) {
        self.hops.close_idle(ctx, hop);
    }

    fn settled(&mut self, ctx: &mut Context<'_>) {
        self.hops.begin(ctx);
    }

    fn listen(&mut self, ctx: &mut Context<'_>) -> io::Result<()> {
        self.clients.listen(ctx)
    }

    fn limit(&mut self, ctx: &mut Context<'_>, shares: DescriptorLimits) {
        self.clients.limit(ctx, shares.clients);
        self.hops.limit(ctx, shares.hops);
    }

    fn farewell(&mut self, ctx: &mut Context<'_>) {
        self.clients.farewell(ctx);
    }

    fn stay(&mut self) {
        self.clients.stay();
    }

    fn at_rest(&self, now: Micros) -> bool {
        self.clients.at_rest(now)
    }
}
