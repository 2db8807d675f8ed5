//! HTTP/1.1: the callers' legs with the call-backs that come by them, and the connections to next hops.

pub mod call_back;
pub mod caller;
pub mod framing;
pub mod next_hop;

use crate::net::Ctx;
use crate::net::core::deadlines::Alarm;
use crate::net::core::desk::{Answer, AttemptId, CallerId};
use crate::net::core::envelope::Payload;
use crate::net::protocol::{Protocol, Shares, Spare};
use calicolb::api::{Micros, WorkerId};
use caller::Callers;
use next_hop::NextHops;
use std::io;

/// Both sides of it.
pub struct Http {
    pub callers: Callers,
    pub hops: NextHops,
}

impl Spare for Http {
    fn shed(&mut self, ctx: &mut Ctx<'_>) -> bool {
        self.callers.shed(ctx)
    }
}

impl Protocol for Http {
    fn has(&self, token: usize) -> bool {
        self.callers.has(token) || self.hops.has(token)
    }

    fn ready(&mut self, ctx: &mut Ctx<'_>, token: usize) {
        if self.callers.has(token) { self.callers.ready(ctx, token) } else { self.hops.ready(ctx, token) }
    }

    fn due(&mut self, ctx: &mut Ctx<'_>, token: usize, alarm: Alarm) {
        if self.callers.has(token) {
            self.callers.due(ctx, token, alarm);
        } else {
            self.hops.due(ctx, token, alarm);
        }
    }

    fn serves(&self, caller: CallerId) -> bool {
        self.callers.has(caller)
    }

    fn answer(&mut self, ctx: &mut Ctx<'_>, caller: CallerId, answer: Answer) {
        self.callers.answer(ctx, caller, answer);
    }

    fn drives(&self, hop: WorkerId) -> bool {
        self.hops.drives(hop)
    }

    fn send(
        &mut self,
        ctx: &mut Ctx<'_>,
        attempt: AttemptId,
        hop: WorkerId,
        payload: &Payload,
        wait: Micros,
    ) {
        self.hops.send(ctx, &mut self.callers, attempt, hop, payload, wait);
    }

    fn give_up(&mut self, ctx: &mut Ctx<'_>, attempt: AttemptId, hop: WorkerId, name: &str) {
        self.hops.give_up(ctx, &mut self.callers, attempt, hop, name);
    }

    fn release(&mut self, ctx: &mut Ctx<'_>, attempt: AttemptId) {
        self.hops.release(ctx, attempt);
    }

    fn probe(&mut self, ctx: &mut Ctx<'_>, hop: WorkerId) {
        self.hops.probe(ctx, &mut self.callers, hop);
    }

    fn close_idle(&mut self, ctx: &mut Ctx<'_>, hop: WorkerId) {
        self.hops.close_idle(ctx, hop);
    }

    fn settled(&mut self, ctx: &mut Ctx<'_>) {
        self.hops.begin(ctx);
    }

    fn listen(&mut self, ctx: &mut Ctx<'_>) -> io::Result<()> {
        self.callers.listen(ctx)
    }

    fn limit(&mut self, ctx: &mut Ctx<'_>, shares: Shares) {
        self.callers.limit(ctx, shares.callers);
        self.hops.limit(ctx, shares.hops);
    }

    fn farewell(&mut self, ctx: &mut Ctx<'_>) {
        self.callers.farewell(ctx);
    }

    fn stay(&mut self) {
        self.callers.stay();
    }

    fn at_rest(&self, now: Micros) -> bool {
        self.callers.at_rest(now)
    }
}
