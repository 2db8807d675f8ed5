//! Upgrade: two processes act as one scheduler for a while. Handles the messages of the other process, its arrival and
//! its end.

use super::transfers::PendingTransfer;
use super::*;
use crate::net::core::request_table::ClientId;
use crate::net::core::transfer::{AnyTransfer, Transfer};
use serde_json::value::RawValue;

impl EventLoop {
    /// Hands over to a successor: from now on it accepts all new requests. Requests that were accepted here are
    /// answered here.
    pub(super) fn hand_over_to_successor(&mut self, now: Micros) {
        log_line!(
            "handing over to the successor process: {} requests are open",
            self.request_table.unanswered_requests()
        );
        self.successor_accepts_clients = !self.drain.is_operator_drain();
        self.handed_over = true;
        // The successor binds the same address.
        self.peers = None;
        let (mut ctx, components) = self.split(now);
        components.http.clients.stop_listening(&mut ctx);
        components.http.begin_drain(&mut ctx);
        components.upgrade_link.stop_listening();
        let learned = ctx.request_table.hand_over(now).and_then(RawValue::from_string);
        let dispatcher_state = learned.unwrap_or_else(|error| {
            log_line!("the successor begins without what was learned: {error}");
            RawValue::NULL.to_owned()
        });
        let handover = Handover {
            worker_list: components.discovery.known_list(),
            clock: Some(now),
            confirmed_us_ago: components.discovery.time_since_confirmation(now),
            dispatcher_state,
            names: Some(IndexedNames::new(ctx.names)),
            open_requests: ctx.request_table.track_open_names(),
            ended_requests: ctx.request_table.ended_names(),
            draining: components.drain.is_operator_drain(),
        };
        components.upgrade_link.send_handover(handover);
        if components.drain.is_process_exiting() {
            components.drain.start_disconnecting();
        }
        self.distribute_descriptors(now);
        self.process_open_requests(now);
    }

    /// Handles the end of the other process. If it was a successor that had taken over, this process accepts clients
    /// again.
    pub(super) fn other_process_gone(&mut self, now: Micros, role: Role) {
        log_line!("the link to the {role:?} process is closed");
        if !self.upgrade_link.is_connected() {
            self.request_table.other_process_gone(now);
        }
        self.distribute_descriptors(now);
        match role {
            Role::Predecessor => self.try_start_serving(now, None),
            // Listening resumes even if this process is about to end, because callbacks for open attempts would
            // otherwise reach no process.
            Role::Successor if self.handed_over => {
                for pending in self.transfers.take_all() {
                    self.restore_request(now, pending);
                }
                self.handed_over = false;
                let opened = self.open_peer_socket(now);
                let (mut ctx, components) = self.split(now);
                ctx.request_table.successor_gone();
                if components.drain.accepts_clients() {
                    components.http.resume();
                }
                let listening = opened.and_then(|()| components.http.listen(&mut ctx));
                components.upgrade_link.listen(ctx.registry, UPGRADE_LISTENER);
                if let Err(error) = listening {
                    log_line!("cannot accept clients again: {error}");
                }
                self.process_open_requests(now);
            }
            Role::Successor => {}
        }
    }

    /// Returns true if the successor is ready to receive a request, has not declined this one, and its client's
    /// connection can be passed on.
    pub(super) fn can_transfer(&mut self, number: u32, client: ClientId) -> bool {
        let connection_passable = self.http.clients.connection_for_transfer(client).is_some();
        let not_declined =
            self.request_table.request_name(number).is_some_and(|name| self.transfers.may_send(name));
        connection_passable && not_declined && self.upgrade_link.ready_for_transfer()
    }

    /// Sends a request to the successor, with the history of its attempts and its client's connection. Callbacks of its
    /// workers arrive at the address that both processes share.
    pub(super) fn transfer_request(&mut self, now: Micros, number: u32, client: ClientId) {
        let Some((name, envelope, history)) = self.request_table.history(number) else { return };
        let Some((stream, keep_alive, unread)) = self.http.clients.connection_for_transfer(client) else {
            return;
        };
        let (envelope, unread) = ((*envelope).clone(), unread.to_vec());
        let transfer = Transfer { envelope, keep_alive, unread, history, clock: now };
        if !self.upgrade_link.send_transfer(stream, &transfer) {
            return log_line!(request = number, "request cannot be sent to the successor process yet");
        }
        log_line!(
            request = number,
            attempts = transfer.history.attempts.len(),
            "request sent to the successor process"
        );
        self.request_table.request_transferred(number);
        let (mut ctx, components) = self.split(now);
        components.http.clients.suspend_connection(&mut ctx, client);
        self.transfers.insert(name, client, transfer);
    }

    /// Continues a request here that had been sent to the successor.
    fn restore_request(&mut self, now: Micros, pending: PendingTransfer) {
        log_line!("a request returned from the successor process");
        let (mut ctx, components) = self.split(now);
        components.http.clients.resume_connection(&mut ctx, pending.client, pending.transfer);
        for body in pending.callbacks {
            // The callback was answered when it arrived.
            let _ = handle_callback(&mut ctx, body.as_bytes());
        }
    }

    /// Continues a request that the predecessor sent with its client's connection, and tells the predecessor whether
    /// that was possible.
    fn accept_transfer(&mut self, now: Micros, transfer: AnyTransfer) {
        let stream = self.upgrade_link.take_received_connection();
        let ahead = match &transfer {
            AnyTransfer::Current(current) => self.upgrade_link.record_clock_offset(now, current.clock),
            AnyTransfer::Legacy(_) => 0,
        };
        let (transfer, wants_reply) = transfer.received(ahead);
        let name = transfer.envelope.name.clone();
        let (mut ctx, components) = self.split(now);
        let accepted = stream.is_some_and(|stream| {
            components.http.clients.adopt_connection(&mut ctx, stream, transfer).is_ok()
        });
        if !accepted {
            log_line!("a request of the predecessor process cannot be continued");
        }
        if wants_reply {
            let message =
                if accepted { Message::TransferAccepted(name) } else { Message::TransferDeclined(name) };
            self.upgrade_link.send(Role::Predecessor, &message);
        }
    }

    /// Handles messages of the other process, or the end of the link to it.
    pub(super) fn handle_link_ready(&mut self, now: Micros, token: usize) {
        let (mut ctx, components) = self.split(now);
        let (role, messages, ended) = components.upgrade_link.receive(&mut ctx, token);
        for message in messages {
            self.handle_message(now, role, message);
        }
        if ended {
            self.other_process_gone(now, role);
        } else if role == Role::Successor {
            // The link may have become ready for the next request.
            self.process_open_requests(now);
        }
    }

    /// Handles a message of the other process.
    pub(super) fn handle_message(&mut self, now: Micros, role: Role, message: Message) {
        match (message, role) {
            (Message::HandoverRequest, Role::Successor) => self.hand_over_to_successor(now),
            (Message::Handover(handover), Role::Predecessor) => self.try_start_serving(now, Some(*handover)),
            (Message::RequestOpened(name), _) => self.request_table.set_open_elsewhere(now, name, true),
            (Message::RequestClosed(name), _) => self.request_table.set_open_elsewhere(now, name, false),
            (Message::Callback(body), _) => {
                let before = self.unmatched_callbacks.len();
                let (mut ctx, _) = self.split(now);
                // The callback was answered when it arrived.
                let _ = handle_callback(&mut ctx, body.as_bytes());
                // With three processes in a chain, the middle one passes on callbacks that match none of its requests,
                // but never back to the process they came from.
                for body in self.unmatched_callbacks.split_off(before) {
                    self.upgrade_link.send(role.other(), &Message::Callback(body));
                }
            }
            (Message::DispatcherData(body), Role::Predecessor) => {
                self.request_table.peer_message(self.rank, body)
            }
            (Message::Transfer(transfer), Role::Predecessor) => self.accept_transfer(now, *transfer),
            (Message::TransferAccepted(name), Role::Successor) => {
                if let Some(pending) = self.transfers.remove(&name) {
                    self.http.clients.release_connection(pending.client);
                }
            }
            (Message::TransferDeclined(name), Role::Successor) => {
                if let Some(pending) = self.transfers.decline(&name) {
                    self.restore_request(now, pending);
                }
            }
            (Message::Drain(draining), Role::Successor) => self.successor_accepts_clients = !draining,
            (Message::Drain(true), Role::Predecessor) => self.begin_drain(now, DrainReason::OperatorRequest),
            (Message::Drain(false), Role::Predecessor) => drop(self.end_drain()),
            (
                Message::HandoverRequest
                | Message::Handover(_)
                | Message::DispatcherData(_)
                | Message::Transfer(_)
                | Message::TransferAccepted(_)
                | Message::TransferDeclined(_),
                _,
            ) => log_line!("the {role:?} process sent a message that its role does not allow"),
        }
    }

    /// Tells the other process, if there is one, about opened and closed requests and unmatched callbacks.
    pub(super) fn notify_other_process(&mut self) {
        let name_changes = self.request_table.take_name_changes().into_iter();
        self.unmatched_callbacks.iter().for_each(|body| self.transfers.record_callback(body));
        let names =
            name_changes.map(
                |(name, open)| if open { Message::RequestOpened(name) } else { Message::RequestClosed(name) },
            );
        let messages: Vec<Message> = names
            .chain(std::mem::take(&mut self.unmatched_callbacks).into_iter().map(Message::Callback))
            .collect();
        for message in messages {
            self.upgrade_link.send(Role::Predecessor, &message);
            self.upgrade_link.send(Role::Successor, &message);
        }
    }
}
