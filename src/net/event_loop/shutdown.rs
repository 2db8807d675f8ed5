//! Graceful shutdown: draining clients, the end of the process after SIGTERM, and the end of a drain.

use super::*;
use calicolb_shutdown::{Phase, ShutdownAction};

/// Interval (microseconds) at which open requests are checked for transfer or a final answer after SIGTERM.
const OPEN_REQUEST_CHECK_INTERVAL: Micros = 50_000;

/// State of the shutdown after SIGTERM.
pub(super) struct Termination {
    /// Time at which the first SIGTERM was received.
    since: Micros,
    /// The open requests have been limited to the end of the process, because no successor continues them.
    limited: bool,
}

impl EventLoop {
    /// Ends the process once all accepted requests are answered, without a time limit.
    pub(super) fn begin_graceful_shutdown(&mut self, now: Micros) {
        log_line!(
            "graceful shutdown: waiting for the answers to {} requests",
            self.request_table.unanswered_requests()
        );
        self.graceful = !self.drain.is_process_exiting();
        if self.drain.begin(DrainReason::ProcessExit) {
            self.deadlines.set(
                Deadline::DrainClients,
                now + CLIENT_DISCONNECT_DELAY.min(self.grace.kill_after * 3 / 5),
            );
        }
    }

    /// Begins a drain. Requests are still accepted and processed; when clients have had the time to notice the drain,
    /// their connections are closed. After SIGTERM only requests that can be finished before the end of the process are
    /// accepted.
    pub(super) fn begin_drain(&mut self, now: Micros, reason: DrainReason) {
        if reason == DrainReason::ProcessExit && self.termination.is_none() {
            self.graceful = false;
            log_line!("SIGTERM: {} requests are open", self.request_table.unanswered_requests());
            self.termination = Some(Termination { since: now, limited: false });
            self.request_table.set_process_end(now + self.grace.final_answer_at());
        }
        if reason == DrainReason::ProcessExit && self.handed_over && !self.drain.is_process_exiting() {
            // The clients' connections were closed when the successor took over.
            self.drain.start_disconnecting();
        }
        self.upgrade_link.send(Role::Predecessor, &Message::Drain(true));
        if self.drain.begin(reason) {
            log_line!("draining clients: {} requests are open", self.request_table.unanswered_requests());
            self.deadlines.set(
                Deadline::DrainClients,
                now + CLIENT_DISCONNECT_DELAY.min(self.grace.kill_after * 3 / 5),
            );
        }
        self.http.clients.accepts_clients = self.ready_to_serve && self.accepts_clients();
        self.process_open_requests(now);
    }

    /// After SIGTERM: transfers open requests to the successor where possible, and answers the remaining ones shortly
    /// before the process ends.
    pub(super) fn process_open_requests(&mut self, now: Micros) {
        let Some(termination) = &mut self.termination else { return };
        let phase = self.grace.phase(now.saturating_sub(termination.since));
        let successor = self.handed_over;
        if !termination.limited && (!successor || phase >= Phase::HandingOver) {
            termination.limited = true;
            self.request_table.limit_open_requests(&mut self.deadlines);
        }
        for (number, client) in self.request_table.open_requests() {
            let transferable = successor && self.can_transfer(number, client);
            match self.request_table.shutdown_action(number, phase, transferable) {
                ShutdownAction::Wait => {}
                ShutdownAction::Transfer => self.transfer_request(now, number, client),
                ShutdownAction::Answer(_) => self.request_table.answer_at_process_end(number),
            }
        }
        self.deadlines.set(Deadline::OpenRequestsCheck, now + OPEN_REQUEST_CHECK_INTERVAL);
    }

    /// Ends a drain that an operator asked for. Returns whether the scheduler accepts clients again.
    pub(super) fn end_drain(&mut self) -> bool {
        let accepts_clients = self.drain.rejoin();
        if accepts_clients {
            self.upgrade_link.send(Role::Predecessor, &Message::Drain(false));
            log_line!("drain ended: accepting clients");
            self.deadlines.clear(Deadline::DrainClients);
            self.http.resume();
            self.other_protocols.iter_mut().for_each(|other| other.resume());
            self.http.clients.accepts_clients = self.ready_to_serve;
        }
        accepts_clients
    }
}
