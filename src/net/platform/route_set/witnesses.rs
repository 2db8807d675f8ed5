//! What schedulers ask each other of the freshness of their lists, as [`calicolb_freshness::witness`] has it.

use super::RouteSet;
use super::digest::digest;
use crate::log::log_line;
use crate::net::{Audience, Ctx};
use calicolb_freshness::witness::{AUDIENCE, Inquiry, Message, Verdict};

impl RouteSet {
    /// It is time to ask some other schedulers how fresh their lists are.
    pub fn ask_witnesses(&mut self, ctx: &mut Ctx<'_>) {
        if self.inquiry.due(&self.clock).is_some_and(|due| due <= ctx.now) {
            let question = self.inquiry.ask(ctx.now);
            ctx.tell(Audience::Some(AUDIENCE), question.encode());
        }
        self.keep_time(ctx);
    }

    /// Another scheduler asks how fresh this one's list is, or answers.
    pub fn witness(&mut self, ctx: &mut Ctx<'_>, from: u32, message: Message) {
        let own = *self.digest.get_or_insert_with(|| digest(self.listed.values()));
        match message {
            Message::Question { number } => {
                if let Some(answer) = Inquiry::answer(number, &self.clock, own, ctx.now) {
                    ctx.tell(Audience::One(from), answer.encode());
                }
            }
            Message::Answer { number, digest, age_ms } => {
                let verdict = self.inquiry.answered(&mut self.clock, own, (number, digest, age_ms));
                match verdict {
                    Verdict::Nothing => return,
                    Verdict::Confirmed => self.counters.vouched += 1,
                    Verdict::Behind => self.counters.behind += 1,
                }
                log_line!(
                    seq = self.seq,
                    from,
                    age_ms,
                    ?verdict,
                    "discovery: another scheduler had a word of it"
                );
                self.keep_time(ctx);
            }
        }
    }
}
