//! An upgrade: two processes are one scheduler for a while. What the other one says, and what follows from its coming and
//! going.

use super::transfers::Pending;
use super::*;
use crate::net::core::desk::ClientId;
use crate::net::core::transfer::{AnyTransfer, Transfer};

impl Turn {
    /// A successor has come: it takes what comes from now on, and what was taken here is answered here.
    pub(super) fn retire(&mut self, now: Micros) {
        note!("handing over to the next process: {} requests are open", self.desk.owed());
        self.successor_open = !self.drain.asked();
        self.retired = true;
        // The successor needs the address.
        self.peers = None;
        let (mut ctx, parts) = self.split(now);
        parts.http.clients.stop_listening(&mut ctx);
        parts.http.farewell(&mut ctx);
        parts.upgrade.stop_listening();
        let handover = Handover {
            worker_list: parts.routes.known_list(),
            clock: Some(now),
            confirmed_us_ago: parts.routes.time_since_confirmation(now),
            dispatcher_state: ctx.desk.hand_over(),
            names: Some(IndexedNames::new(ctx.names)),
            open_requests: ctx.desk.share(),
            draining: parts.drain.asked(),
        };
        parts.upgrade.send(Role::Successor, &Message::Handover(Box::new(handover)));
        if parts.drain.ending() {
            parts.drain.part();
        }
        self.share_out(now);
        self.settle_open_requests(now);
    }

    /// The other process has gone. Where it had taken over, this one takes clients again.
    pub(super) fn bereave(&mut self, now: Micros, side: Role) {
        note!("the {side:?} has gone");
        if !self.upgrade.is_connected() {
            self.desk.alone();
        }
        self.share_out(now);
        match side {
            Role::Predecessor => self.begin(now, None),
            // Also near its own end: call-backs for what is still out would reach nobody.
            Role::Successor if self.retired => {
                for pending in self.transfers.take_back() {
                    self.take_back(now, pending);
                }
                self.retired = false;
                let opened = self.open_peers(now);
                let (mut ctx, parts) = self.split(now);
                ctx.desk.resume();
                if parts.drain.open() {
                    parts.http.stay();
                }
                let listening = opened.and_then(|()| parts.http.listen(&mut ctx));
                parts.upgrade.listen(ctx.registry, MEETING);
                if let Err(error) = listening {
                    note!("taking clients again: {error}");
                }
                self.settle_open_requests(now);
            }
            Role::Successor => {}
        }
    }

    /// The successor takes requests now, this one too, and the connection of its client can be passed on.
    pub(super) fn can_transfer(&mut self, number: u32, client: ClientId) -> bool {
        let passable = self.http.clients.connection_for_transfer(client).is_some();
        let wanted = self.desk.name(number).is_some_and(|name| self.transfers.may_send(name));
        passable && wanted && self.upgrade.ready_for_transfer()
    }

    /// Sends a request to the successor, with all that is known of its attempts and with its client's connection. Call-backs
    /// of its workers come to the address that both processes share.
    pub(super) fn transfer(&mut self, now: Micros, number: u32, client: ClientId) {
        let Some((name, envelope, history)) = self.desk.history(number) else { return };
        let Some((stream, keep_alive, unread)) = self.http.clients.connection_for_transfer(client) else {
            return;
        };
        let (envelope, unread) = ((*envelope).clone(), unread.to_vec());
        let transfer = Transfer { envelope, keep_alive, unread, history, clock: now };
        if !self.upgrade.send_transfer(stream, &transfer) {
            return note!(request = number, "a request could not be sent to the next process yet");
        }
        note!(
            request = number,
            attempts = transfer.history.attempts.len(),
            "a request moves to the next process"
        );
        self.desk.moved(number);
        let (mut ctx, parts) = self.split(now);
        parts.http.clients.suspend_connection(&mut ctx, client);
        self.transfers.sent(name, client, transfer);
    }

    /// A request that was sent to the successor goes on here.
    fn take_back(&mut self, now: Micros, pending: Pending) {
        note!("a request comes back from the next process");
        let (mut ctx, parts) = self.split(now);
        parts.http.clients.resume_connection(&mut ctx, pending.client, pending.transfer);
        for body in pending.call_backs {
            // Answered already, where it came in.
            let _ = handle_callback(&mut ctx, body.as_bytes());
        }
    }

    /// The predecessor sends a request, with its client's connection.
    fn take_over(&mut self, now: Micros, transfer: AnyTransfer) {
        let stream = self.upgrade.take_received_connection();
        let ahead = match &transfer {
            AnyTransfer::Whole(whole) => self.upgrade.record_clock_offset(now, whole.clock),
            AnyTransfer::Taken(_) => 0,
        };
        let (transfer, answers) = transfer.received(ahead);
        let name = transfer.envelope.name.clone();
        let (mut ctx, parts) = self.split(now);
        let taken = stream
            .is_some_and(|stream| parts.http.clients.adopt_connection(&mut ctx, stream, transfer).is_ok());
        if !taken {
            note!("a request of the process before this one cannot be taken over");
        }
        if answers {
            let word = if taken { Message::TransferAccepted(name) } else { Message::TransferDeclined(name) };
            self.upgrade.send(Role::Predecessor, &word);
        }
    }

    /// The other process has spoken, or gone.
    pub(super) fn link_ready(&mut self, now: Micros, token: usize) {
        let (mut ctx, parts) = self.split(now);
        let (side, words, ended) = parts.upgrade.receive(&mut ctx, token);
        for word in words {
            self.said(now, side, word);
        }
        if ended {
            self.bereave(now, side);
        } else if side == Role::Successor {
            // It may have room for the next request by now.
            self.settle_open_requests(now);
        }
    }

    pub(super) fn said(&mut self, now: Micros, side: Role, word: Message) {
        match (word, side) {
            (Message::HandoverRequest, Role::Successor) => self.retire(now),
            (Message::Handover(handover), Role::Predecessor) => self.begin(now, Some(*handover)),
            (Message::RequestOpened(name), _) => self.desk.elsewhere(name, true),
            (Message::RequestClosed(name), _) => self.desk.elsewhere(name, false),
            (Message::Callback(body), _) => {
                let before = self.strays.len();
                let (mut ctx, _) = self.split(now);
                // Answered already, where it came in.
                let _ = handle_callback(&mut ctx, body.as_bytes());
                // Of three processes in a row the middle one passes on what is not its own, but never back.
                for body in self.strays.split_off(before) {
                    self.upgrade.send(side.other(), &Message::Callback(body));
                }
            }
            (Message::DispatcherData(body), Role::Predecessor) => self.desk.peer(self.rank, body),
            (Message::Transfer(transfer), Role::Predecessor) => self.take_over(now, *transfer),
            (Message::TransferAccepted(name), Role::Successor) => {
                if let Some(pending) = self.transfers.adopted(&name) {
                    self.http.clients.release_connection(pending.client);
                }
            }
            (Message::TransferDeclined(name), Role::Successor) => {
                if let Some(pending) = self.transfers.declined(&name) {
                    self.take_back(now, pending);
                }
            }
            (Message::Drain(drained), Role::Successor) => self.successor_open = !drained,
            (Message::Drain(true), Role::Predecessor) => self.begin_drain(now, Why::Asked),
            (Message::Drain(false), Role::Predecessor) => drop(self.rejoin()),
            (
                Message::HandoverRequest
                | Message::Handover(_)
                | Message::DispatcherData(_)
                | Message::Transfer(_)
                | Message::TransferAccepted(_)
                | Message::TransferDeclined(_),
                _,
            ) => note!("the {side:?} said what it may not"),
        }
    }

    /// Tells the other process, if there is one, what concerns it.
    pub(super) fn tell_other_process(&mut self) {
        let turnover = self.desk.turnover().into_iter();
        self.strays.iter().for_each(|body| self.transfers.call_back(body));
        let names =
            turnover.map(
                |(name, open)| if open { Message::RequestOpened(name) } else { Message::RequestClosed(name) },
            );
        let words: Vec<Message> =
            names.chain(std::mem::take(&mut self.strays).into_iter().map(Message::Callback)).collect();
        for word in words {
            self.upgrade.send(Role::Predecessor, &word);
            self.upgrade.send(Role::Successor, &word);
        }
    }
}
