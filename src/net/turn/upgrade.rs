//! An upgrade: two processes are one scheduler for a while. What the other one says, and what follows from its coming and
//! going.

use super::*;

impl Turn {
    /// An heir has come: it takes what comes from now on, and what was taken here is answered here.
    pub(super) fn retire(&mut self, now: Micros) {
        note!("handing over to the next process: {} requests are open", self.desk.owed());
        self.heir_open = !self.drain.asked();
        self.retired = true;
        // The heir needs the address.
        self.peers = None;
        let (mut ctx, parts) = self.split(now);
        parts.http.clients.stop_listening(&mut ctx);
        parts.http.farewell(&mut ctx);
        parts.kin.stop_listening();
        let handover = Handover {
            routes: parts.routes.list(),
            confirmed_us_ago: parts.routes.confirmed_ago(now),
            knowledge: ctx.desk.hand_over(),
            names: Some(Listed::new(ctx.names)),
            open: ctx.desk.share(),
            drained: parts.drain.asked(),
        };
        parts.kin.say(Side::Heir, &Word::Handover(Box::new(handover)));
        if parts.drain.ending() {
            parts.drain.part();
        }
        self.share_out(now);
    }

    /// The other process has gone. Where it had taken over, this one takes clients again.
    pub(super) fn bereave(&mut self, now: Micros, side: Side) {
        note!("the {side:?} has gone");
        if !self.kin.any() {
            self.desk.alone();
        }
        self.share_out(now);
        match side {
            Side::Elder => self.begin(now, None),
            // Also near its own end: call-backs for what is still out would reach nobody.
            Side::Heir if self.retired => {
                self.retired = false;
                let opened = self.open_peers(now);
                let (mut ctx, parts) = self.split(now);
                ctx.desk.resume();
                if parts.drain.open() {
                    parts.http.stay();
                }
                let listening = opened.and_then(|()| parts.http.listen(&mut ctx));
                parts.kin.listen(ctx.registry, MEETING);
                if let Err(error) = listening {
                    note!("taking clients again: {error}");
                }
            }
            Side::Heir => {}
        }
    }

    /// Leaves to the heir what would still be out when SIGKILL comes: long jobs that a next hop has taken. Their
    /// call-backs come to the address that both share, so all that answering takes is the client's connection.
    pub(super) fn bequeath(&mut self, now: Micros) {
        let (mut ctx, parts) = self.split(now);
        let left = ctx.desk.bequeath();
        note!("{} requests are left to the next process", left.len());
        for (client, hop, sent, expires, request) in left {
            let Some((stream, keep_alive)) = parts.http.clients.release(&mut ctx, client) else { continue };
            let envelope = (*request).clone();
            if !parts.kin.bequeath(&stream, Bequest { envelope, keep_alive, hop: hop.0, sent, expires }) {
                note!("a request could not be left to the next process");
            }
        }
    }

    /// The other process has spoken, or gone.
    pub(super) fn kin_ready(&mut self, now: Micros, token: usize) {
        let (mut ctx, parts) = self.split(now);
        let (side, words, ended) = parts.kin.ready(&mut ctx, token);
        for word in words {
            self.said(now, side, word);
        }
        if ended {
            self.bereave(now, side);
        }
    }

    pub(super) fn said(&mut self, now: Micros, side: Side, word: Word) {
        match (word, side) {
            (Word::Heir, Side::Heir) => self.retire(now),
            (Word::Handover(handover), Side::Elder) => self.begin(now, Some(*handover)),
            (Word::Opened(name), _) => self.desk.elsewhere(name, true),
            (Word::Closed(name), _) => self.desk.elsewhere(name, false),
            (Word::News(body), _) => {
                let before = self.strays.len();
                let (mut ctx, _) = self.split(now);
                // Answered already, where it came in.
                let _ = call_back(&mut ctx, body.as_bytes());
                // Of three processes in a row the middle one passes on what is not its own, but never back.
                for body in self.strays.split_off(before) {
                    self.kin.say(side.other(), &Word::News(body));
                }
            }
            (Word::Load(body), Side::Elder) => self.desk.peer(self.rank, body),
            (Word::Bequest(bequest), Side::Elder) => {
                if let Some(stream) = self.kin.passed() {
                    let (mut ctx, parts) = self.split(now);
                    let Bequest { envelope, keep_alive, hop, sent, expires } = *bequest;
                    let taken = Taken { envelope, keep_alive, hop, sent, expires };
                    parts.http.clients.adopt(&mut ctx, stream, taken);
                }
            }
            (Word::Drain(drained), Side::Heir) => self.heir_open = !drained,
            (Word::Drain(true), Side::Elder) => self.begin_drain(now, Why::Asked),
            (Word::Drain(false), Side::Elder) => drop(self.rejoin()),
            (Word::Heir | Word::Handover(_) | Word::Load(_) | Word::Bequest(_), _) => {
                note!("the {side:?} said what it may not")
            }
        }
    }

    /// Tells the other process, if there is one, what concerns it.
    pub(super) fn tell_kin(&mut self) {
        let turnover = self.desk.turnover().into_iter();
        let names = turnover.map(|(name, open)| if open { Word::Opened(name) } else { Word::Closed(name) });
        let words: Vec<Word> =
            names.chain(std::mem::take(&mut self.strays).into_iter().map(Word::News)).collect();
        for word in words {
            self.kin.say(Side::Elder, &word);
            self.kin.say(Side::Heir, &word);
        }
    }
}
