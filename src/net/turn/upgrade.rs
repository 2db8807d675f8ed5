//! An upgrade: two processes are one scheduler for a while. What the other one says, and what follows from its coming and
//! going.

use super::transfers::Pending;
use super::*;
use crate::net::core::desk::ClientId;
use crate::net::core::transfer::{AnyTransfer, Transfer};

impl Turn {
    /// A successor has come: it takes what comes from now on, and what was taken here is answered here.
    pub(super) fn retire(&mut self, now: Micros) {
        log_line!("handing over to the next process: {} requests are open", self.desk.owed());
        self.successor_open = !self.drain.is_operator_drain();
        self.retired = true;
        // The successor needs the address.
        self.peers = None;
        let (mut ctx, parts) = self.split(now);
        parts.http.clients.stop_listening(&mut ctx);
        parts.http.farewell(&mut ctx);
        parts.upgrade.stop_listening();
        let handover = Handover {
            routes: parts.routes.list(),
            clock: Some(now),
            confirmed_us_ago: parts.routes.confirmed_ago(now),
            knowledge: ctx.desk.hand_over(),
            names: Some(Listed::new(ctx.names)),
            open: ctx.desk.share(),
            drained: parts.drain.is_operator_drain(),
        };
        parts.upgrade.say(Side::Successor, &Word::Handover(Box::new(handover)));
        if parts.drain.is_process_exiting() {
            parts.drain.start_disconnecting();
        }
        self.share_out(now);
        self.settle_open_requests(now);
    }

    /// The other process has gone. Where it had taken over, this one takes clients again.
    pub(super) fn bereave(&mut self, now: Micros, side: Side) {
        log_line!("the {side:?} has gone");
        if !self.upgrade.any() {
            self.desk.alone();
        }
        self.share_out(now);
        match side {
            Side::Predecessor => self.begin(now, None),
            // Also near its own end: call-backs for what is still out would reach nobody.
            Side::Successor if self.retired => {
                for pending in self.transfers.take_back() {
                    self.take_back(now, pending);
                }
                self.retired = false;
                let opened = self.open_peers(now);
                let (mut ctx, parts) = self.split(now);
                ctx.desk.resume();
                if parts.drain.accepts_clients() {
                    parts.http.stay();
                }
                let listening = opened.and_then(|()| parts.http.listen(&mut ctx));
                parts.upgrade.listen(ctx.registry, MEETING);
                if let Err(error) = listening {
                    log_line!("taking clients again: {error}");
                }
                self.settle_open_requests(now);
            }
            Side::Successor => {}
        }
    }

    /// The successor takes requests now, this one too, and the connection of its client can be passed on.
    pub(super) fn can_transfer(&mut self, number: u32, client: ClientId) -> bool {
        let passable = self.http.clients.for_transfer(client).is_some();
        let wanted = self.desk.name(number).is_some_and(|name| self.transfers.may_send(name));
        passable && wanted && self.upgrade.can_transfer()
    }

    /// Sends a request to the successor, with all that is known of its attempts and with its client's connection. Call-backs
    /// of its workers come to the address that both processes share.
    pub(super) fn transfer(&mut self, now: Micros, number: u32, client: ClientId) {
        let Some((name, envelope, history)) = self.desk.history(number) else { return };
        let Some((stream, keep_alive, unread)) = self.http.clients.for_transfer(client) else { return };
        let (envelope, unread) = ((*envelope).clone(), unread.to_vec());
        let transfer = Transfer { envelope, keep_alive, unread, history, clock: now };
        if !self.upgrade.transfer(stream, &transfer) {
            return log_line!(request = number, "a request could not be sent to the next process yet");
        }
        log_line!(
            request = number,
            attempts = transfer.history.attempts.len(),
            "a request moves to the next process"
        );
        self.desk.moved(number);
        let (mut ctx, parts) = self.split(now);
        parts.http.clients.suspend(&mut ctx, client);
        self.transfers.sent(name, client, transfer);
    }

    /// A request that was sent to the successor goes on here.
    fn take_back(&mut self, now: Micros, pending: Pending) {
        log_line!("a request comes back from the next process");
        let (mut ctx, parts) = self.split(now);
        parts.http.clients.resume(&mut ctx, pending.client, pending.transfer);
        for body in pending.call_backs {
            // Answered already, where it came in.
            let _ = call_back(&mut ctx, body.as_bytes());
        }
    }

    /// The predecessor sends a request, with its client's connection.
    fn take_over(&mut self, now: Micros, transfer: AnyTransfer) {
        let stream = self.upgrade.passed();
        let ahead = match &transfer {
            AnyTransfer::Whole(whole) => self.upgrade.hear_clock(now, whole.clock),
            AnyTransfer::Taken(_) => 0,
        };
        let (transfer, answers) = transfer.received(ahead);
        let name = transfer.envelope.name.clone();
        let (mut ctx, parts) = self.split(now);
        let taken = stream.is_some_and(|stream| parts.http.clients.adopt(&mut ctx, stream, transfer).is_ok());
        if !taken {
            log_line!("a request of the process before this one cannot be taken over");
        }
        if answers {
            let word = if taken { Word::Adopted(name) } else { Word::Declined(name) };
            self.upgrade.say(Side::Predecessor, &word);
        }
    }

    /// The other process has spoken, or gone.
    pub(super) fn link_ready(&mut self, now: Micros, token: usize) {
        let (mut ctx, parts) = self.split(now);
        let (side, words, ended) = parts.upgrade.ready(&mut ctx, token);
        for word in words {
            self.said(now, side, word);
        }
        if ended {
            self.bereave(now, side);
        } else if side == Side::Successor {
            // It may have room for the next request by now.
            self.settle_open_requests(now);
        }
    }

    pub(super) fn said(&mut self, now: Micros, side: Side, word: Word) {
        match (word, side) {
            (Word::Successor, Side::Successor) => self.retire(now),
            (Word::Handover(handover), Side::Predecessor) => self.begin(now, Some(*handover)),
            (Word::Opened(name), _) => self.desk.elsewhere(name, true),
            (Word::Closed(name), _) => self.desk.elsewhere(name, false),
            (Word::News(body), _) => {
                let before = self.strays.len();
                let (mut ctx, _) = self.split(now);
                // Answered already, where it came in.
                let _ = call_back(&mut ctx, body.as_bytes());
                // Of three processes in a row the middle one passes on what is not its own, but never back.
                for body in self.strays.split_off(before) {
                    self.upgrade.say(side.other(), &Word::News(body));
                }
            }
            (Word::Load(body), Side::Predecessor) => self.desk.peer(self.rank, body),
            (Word::Transfer(transfer), Side::Predecessor) => self.take_over(now, *transfer),
            (Word::Adopted(name), Side::Successor) => {
                if let Some(pending) = self.transfers.adopted(&name) {
                    self.http.clients.release(pending.client);
                }
            }
            (Word::Declined(name), Side::Successor) => {
                if let Some(pending) = self.transfers.declined(&name) {
                    self.take_back(now, pending);
                }
            }
            (Word::Drain(drained), Side::Successor) => self.successor_open = !drained,
            (Word::Drain(true), Side::Predecessor) => self.begin_drain(now, DrainReason::OperatorRequest),
            (Word::Drain(false), Side::Predecessor) => drop(self.rejoin()),
            (
                Word::Successor
                | Word::Handover(_)
                | Word::Load(_)
                | Word::Transfer(_)
                | Word::Adopted(_)
                | Word::Declined(_),
                _,
            ) => log_line!("the {side:?} said what it may not"),
        }
    }

    /// Tells the other process, if there is one, what concerns it.
    pub(super) fn tell_other_process(&mut self) {
        let turnover = self.desk.turnover().into_iter();
        self.strays.iter().for_each(|body| self.transfers.call_back(body));
        let names = turnover.map(|(name, open)| if open { Word::Opened(name) } else { Word::Closed(name) });
        let words: Vec<Word> =
            names.chain(std::mem::take(&mut self.strays).into_iter().map(Word::News)).collect();
        for word in words {
            self.upgrade.say(Side::Predecessor, &word);
            self.upgrade.say(Side::Successor, &word);
        }
    }
}
