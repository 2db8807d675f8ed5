//! A process that ends and the one that takes over: what was learned, and what is owed to open requests by the rule that the
//! program keeps too ([`calicolb_shutdown::shutdown_action`]).

use super::*;
use calicolb_shutdown as shutdown;
use calicolb_shutdown::{Phase, ShutdownAction};

/// A request on its way to the process that takes over.
pub(crate) struct TransferredJob {
    pub(crate) job: u32,
    /// Its number at the process that it leaves.
    pub(crate) request: u32,
    pub(crate) history: TransferredRequest,
}

impl Attempt {
    /// How far it has come.
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

    /// One that another process sent.
    fn from_prior(past: &PriorAttempt) -> Self {
        let ending = match past.state {
            AttemptState::InFlight => None,
            AttemptState::NeverRan => Some(Ending::Unreachable),
            AttemptState::MayHaveRan | AttemptState::MayRun => Some(Ending::Cancelled),
        };
        let loose = past.state == AttemptState::MayRun;
        let sent = past.sent;
        Attempt {
            written: Some(sent),
            accepted: true,
            ending,
            may_be_running: loose,
            ..Attempt::new(past.worker, sent)
        }
    }
}

impl Process {
    /// SIGTERM has come: nobody is answered after this time.
    pub(crate) fn set_process_end(&mut self, last_answer: Micros) {
        self.ends_at = last_answer;
    }

    /// Looks at what is owed to open requests: gives those that move to the successor, and answers the others in the last
    /// moment.
    pub(crate) fn settle_open_requests(&mut self, phase: Phase, successor: bool) -> Vec<TransferredJob> {
        if !self.end_announced && (!successor || phase >= Phase::HandingOver) {
            self.announce_end();
        }
        let numbers: Vec<u32> = self.requests.keys().copied().collect();
        let mut moved = Vec::new();
        for number in numbers {
            match self.shutdown_action(number, phase, successor) {
                ShutdownAction::Wait => {}
                ShutdownAction::Transfer => moved.extend(self.transfer_request(number)),
                ShutdownAction::Answer(_) => self.events.push_back(Event::FinishRequest(RequestId(number))),
            }
        }
        moved
    }

    fn announce_end(&mut self) {
        self.end_announced = true;
        self.events.push_back(Event::ShutdownAt(self.ends_at));
        for (&request, entry) in self.requests.iter().filter(|(_, entry)| entry.expires > self.ends_at) {
            let out = (0..).zip(&entry.attempts).filter(|(_, attempt)| attempt.ending.is_none());
            let dues = out.map(|(number, _)| Deadline::AttemptTimeout(AttemptId { request, number }));
            self.commands.extend(dues.map(|due| Command::SetDeadline(self.ends_at, due)));
        }
    }

    /// When the last answers to what was open at SIGTERM are given; never while a successor goes on with it.
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
        let past = |attempt: &Attempt| PriorAttempt {
            worker: attempt.worker,
            sent: attempt.sent,
            state: attempt.shutdown_state().state(),
        };
        let attempts = entry.attempts.iter().map(past).collect();
        let history = TransferredRequest { arrived: entry.arrived, effect, attempts };
        Some(TransferredJob { job: entry.job, request: number, history })
    }

    /// A request that the process before this one has worked on goes on here; gives its number.
    pub(crate) fn adopt_request(
        &mut self,
        job: u32,
        mut arrival: Arrival,
        history: TransferredRequest,
    ) -> u32 {
        let number = self.insert_request(job, history.arrived, arrival.expires);
        arrival.request = RequestId(number);
        let ends = arrival.expires.min(self.ends_at);
        arrival.expires = ends;
        if let Some(entry) = self.requests.get_mut(&number) {
            entry.attempts = history.attempts.iter().map(Attempt::from_prior).collect();
            let out = (0..).zip(&entry.attempts).filter(|(_, attempt)| attempt.ending.is_none());
            let dues = out
                .map(|(attempt, _)| Deadline::AttemptTimeout(AttemptId { request: number, number: attempt }));
            self.commands.extend(dues.map(|due| Command::SetDeadline(ends, due)));
        }
        arrival.transferred = Some(history);
        self.events.push_back(Event::Arrival(arrival));
        number
    }

    /// Another process takes over: gives what this one has learned.
    pub(crate) fn hand_over(&mut self) -> serde_json::Value {
        self.events.push_back(Event::SuccessorActive(true));
        self.dispatcher.knowledge()
    }

    /// When discovery last confirmed its list.
    pub(crate) fn list_confirmed_at(&self) -> Option<Micros> {
        self.list_lease.confirmed()
    }

    /// Takes what the process before this one had learned.
    pub(crate) fn import_knowledge(&mut self, knowledge: serde_json::Value, next: u32) {
        self.next_request = next;
        self.events.push_back(Event::KnowledgeReceived(knowledge));
    }

    pub(crate) fn next_request_number(&self) -> u32 {
        self.next_request
    }
}
