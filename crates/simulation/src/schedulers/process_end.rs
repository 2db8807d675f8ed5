//! End of a process, and handover to its successor: learned state, and the treatment of open requests by the rule that the
//! program uses ([`calicolb_shutdown::shutdown_action`]).

use super::*;
use calicolb_shutdown as shutdown;
use calicolb_shutdown::{Phase, ShutdownAction};

/// A request that is transferred to the successor.
pub(crate) struct TransferredJob {
    pub(crate) job: u32,
    /// Number of the request at the predecessor.
    pub(crate) request: u32,
    pub(crate) history: TransferredRequest,
}

impl Attempt {
    /// State of the attempt, as the shutdown rule takes it.
    fn shutdown_state(&self) -> shutdown::Attempt {
        match self.ending {
            Some(ending) => shutdown::Attempt::Ended(ending.state(self.may_be_running)),
            None if self.cancel_requested => {
                shutdown::Attempt::Cancelling { written: self.written.is_some() }
            }
            None if self.accepted => shutdown::Attempt::Accepted,
            None if self.written.is_some() => shutdown::Attempt::Written,
            None => shutdown::Attempt::Connecting,
        }
    }

    /// An attempt that the predecessor sent.
    fn from_prior(prior: &PriorAttempt) -> Self {
        let ending = match prior.state {
            AttemptState::InFlight => None,
            AttemptState::NeverRan => Some(Ending::Unreachable),
            AttemptState::MayHaveRan | AttemptState::MayRun => Some(Ending::Cancelled),
        };
        let may_be_running = prior.state == AttemptState::MayRun;
        let sent = prior.sent;
        Attempt {
            written: Some(sent),
            accepted: true,
            ending,
            may_be_running,
            ..Attempt::new(prior.worker, sent)
        }
    }
}

impl Process {
    /// Handles SIGTERM: no answer is sent after `final_answer_at`.
    pub(crate) fn set_process_end(&mut self, final_answer_at: Micros) {
        self.ends_at = final_answer_at;
    }

    /// Applies the shutdown rule to all open requests. Returns those that are transferred to the successor, and makes the
    /// module answer those that the rule answers now.
    pub(crate) fn settle_open_requests(&mut self, phase: Phase, successor: bool) -> Vec<TransferredJob> {
        if !self.end_announced && (!successor || phase >= Phase::HandingOver) {
            self.announce_end();
        }
        let numbers: Vec<u32> = self.requests.keys().copied().collect();
        let mut transferred = Vec::new();
        for number in numbers {
            match self.shutdown_action(number, phase, successor) {
                ShutdownAction::Wait => {}
                ShutdownAction::Transfer => transferred.extend(self.transfer_request(number)),
                ShutdownAction::Answer(_) => self.events.push_back(Event::FinishRequest(RequestId(number))),
            }
        }
        transferred
    }

    fn announce_end(&mut self) {
        self.end_announced = true;
        self.events.push_back(Event::ShutdownAt(self.ends_at));
        for (&request, entry) in self.requests.iter().filter(|(_, entry)| entry.expires > self.ends_at) {
            let running = (0..).zip(&entry.attempts).filter(|(_, attempt)| attempt.ending.is_none());
            let deadlines =
                running.map(|(number, _)| Deadline::AttemptTimeout(AttemptId { request, number }));
            self.commands.extend(deadlines.map(|deadline| Command::SetDeadline(self.ends_at, deadline)));
        }
    }

    /// Time of the last answers to requests that were open at SIGTERM; unlimited while a successor continues them.
    pub(super) fn final_answer_at(&self) -> Micros {
        if self.end_announced { self.ends_at } else { Micros::MAX }
    }

    fn shutdown_action(&self, number: u32, phase: Phase, successor: bool) -> ShutdownAction {
        let Some(entry) = self.requests.get(&number) else { return ShutdownAction::Wait };
        let attempts: Vec<shutdown::Attempt> = entry.attempts.iter().map(Attempt::shutdown_state).collect();
        let request = shutdown::Request {
            answered: entry.answered,
            transferable: true,
            repeatable: self.effect(number).repeatable(),
            attempts: &attempts,
        };
        shutdown::shutdown_action(request, phase, successor)
    }

    fn effect(&self, number: u32) -> Effect {
        self.dispatcher.effect(RequestId(number)).unwrap_or_default()
    }

    fn transfer_request(&mut self, number: u32) -> Option<TransferredJob> {
        let effect = self.effect(number);
        let entry = self.requests.remove(&number)?;
        self.events.push_back(Event::RequestTransferred(RequestId(number)));
        let prior = |attempt: &Attempt| PriorAttempt {
            worker: attempt.worker,
            sent: attempt.sent,
            state: attempt.shutdown_state().state(),
        };
        let attempts = entry.attempts.iter().map(prior).collect();
        let history = TransferredRequest { arrived: entry.arrived, effect, attempts };
        Some(TransferredJob { job: entry.job, request: number, history })
    }

    /// Continues a request of the predecessor. Returns its number here.
    pub(crate) fn adopt_request(
        &mut self,
        job: u32,
        mut arrival: Arrival,
        history: TransferredRequest,
    ) -> u32 {
        let number = self.insert_request(job, history.arrived, arrival.expires);
        arrival.request = RequestId(number);
        let ends_at = arrival.expires.min(self.ends_at);
        arrival.expires = ends_at;
        if let Some(entry) = self.requests.get_mut(&number) {
            entry.attempts = history.attempts.iter().map(Attempt::from_prior).collect();
            let running = (0..).zip(&entry.attempts).filter(|(_, attempt)| attempt.ending.is_none());
            let deadlines = running
                .map(|(attempt, _)| Deadline::AttemptTimeout(AttemptId { request: number, number: attempt }));
            self.commands.extend(deadlines.map(|deadline| Command::SetDeadline(ends_at, deadline)));
        }
        arrival.transferred = Some(history);
        self.events.push_back(Event::Arrival(arrival));
        number
    }

    /// Hands over to a successor: returns the knowledge of this process.
    pub(crate) fn hand_over(&mut self, now: Micros) -> String {
        self.events.push_back(Event::SuccessorActive(true));
        self.dispatcher.knowledge_text(now).unwrap_or_default()
    }

    /// Time at which discovery last confirmed the list.
    pub(crate) fn list_confirmed_at(&self) -> Option<Micros> {
        self.list_lease.confirmed()
    }

    /// Takes over the knowledge of the predecessor. `next` is the number of the next request.
    pub(crate) fn import_knowledge(&mut self, knowledge: String, next: u32) {
        self.next_request = next;
        self.events.push_back(Event::KnowledgeReceived(knowledge));
    }

    pub(crate) fn next_request_number(&self) -> u32 {
        self.next_request
    }
}
