//! Queries between schedulers about the freshness of their lists, by the protocol in
//! [`calicolb_freshness::witness`].

use super::DiscoveryClient;
use super::digest::list_digest;
use crate::log::log_line;
use crate::net::{Context, PeerTarget};
use calicolb_freshness::witness::{Inquiry, Message, PEERS_PER_QUESTION, Verdict};

impl DiscoveryClient {
    /// Queries some other schedulers about their lists if a query is due.
    pub fn query_peers(&mut self, ctx: &mut Context<'_>) {
        if self.inquiry.due(&self.lease).is_some_and(|due| due <= ctx.now) {
            let question = self.inquiry.ask(ctx.now);
            ctx.send_to_peers(PeerTarget::Random(PEERS_PER_QUESTION), question.encode());
        }
        self.update_deadlines(ctx);
    }

    /// Answers the query of another scheduler, or processes its answer.
    pub fn handle_peer_message(&mut self, ctx: &mut Context<'_>, from: u32, message: Message) {
        let own = *self.digest.get_or_insert_with(|| list_digest(self.listed.values()));
        match message {
            Message::Question { number } => {
                if let Some(answer) = Inquiry::answer(number, &self.lease, own, ctx.now) {
                    ctx.send_to_peers(PeerTarget::Rank(from), answer.encode());
                }
            }
            Message::Answer { number, digest, age_ms } => {
                let verdict = self.inquiry.handle_answer(&mut self.lease, own, (number, digest, age_ms));
                match verdict {
                    Verdict::Nothing => return,
                    Verdict::Confirmed => self.counters.confirmed_by_peer += 1,
                    Verdict::Behind => self.counters.newer_at_peer += 1,
                }
                log_line!(
                    seq = self.seq,
                    from,
                    age_ms,
                    ?verdict,
                    "discovery: received another scheduler's answer about its list"
                );
                self.update_deadlines(ctx);
            }
        }
    }
}
