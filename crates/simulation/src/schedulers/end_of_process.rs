//! A process that ends and the one that takes over: what was learned, and what is owed to open requests by the rule that the
//! program keeps too ([`calicolb_shutdown::shutdown_action`]).

use super::*;
use calicolb_shutdown as shutdown;
use calicolb_shutdown::{Phase, ShutdownAction};

/// A request on its way to the process that takes over.
pub(crate) struct Moved {
    pub(crate) job: u32,
    /// Its number at the process that it leaves.
    pub(crate) request: u32,
    pub(crate) history: TransferredRequest,
}

impl Attempt {
    /// How far it has come.
    fn progress(&self) -> shutdown::Attempt {
        match self.ending {
            Some(ending) => shutdown::Attempt::Ended(ending.state(self.loose)),
            None if self.unwanted => shutdown::Attempt::Cancelling { written: self.written.is_some() },
            None if self.taken => shutdown::Attempt::Accepted,
            None if self.written.is_some() => shutdown::Attempt::Written,
            None => shutdown::Attempt::Connecting,
        }
    }

    /// One that another process sent.
    fn past(past: &PriorAttempt) -> Self {
        let ending = match past.state {
            AttemptState::InFlight => None,
            AttemptState::NeverRan => Some(Ending::Unreachable),
            AttemptState::MayHaveRan | AttemptState::MayRun => Some(Ending::Cancelled),
        };
        let loose = past.state == AttemptState::MayRun;
        let sent = past.sent;
        Attempt { written: Some(sent), taken: true, ending, loose, ..Attempt::new(past.worker, sent) }
    }
}

impl Process {
    /// SIGTERM has come: nobody is answered after this time.
    pub(crate) fn stop(&mut self, last_answer: Micros) {
        self.ends = last_answer;
    }

    /// Looks at what is owed to open requests: gives those that move to the successor, and answers the others in the last
    /// moment.
    pub(crate) fn settle_open_requests(&mut self, phase: Phase, successor: bool) -> Vec<Moved> {
        if !self.limited && (!successor || phase >= Phase::HandingOver) {
            self.limit_to_end();
        }
        let numbers: Vec<u32> = self.entries.keys().copied().collect();
        let mut moved = Vec::new();
        for number in numbers {
            match self.duty(number, phase, successor) {
                ShutdownAction::Wait => {}
                ShutdownAction::Transfer => moved.extend(self.move_away(number)),
                ShutdownAction::Answer(_) => self.events.push_back(Event::FinishRequest(RequestId(number))),
            }
        }
        moved
    }

    fn limit_to_end(&mut self) {
        self.limited = true;
        self.events.push_back(Event::ShutdownAt(self.ends));
        for (&request, entry) in self.entries.iter().filter(|(_, entry)| entry.expires > self.ends) {
            let out = (0..).zip(&entry.attempts).filter(|(_, attempt)| attempt.ending.is_none());
            let dues = out.map(|(number, _)| Due::Attempt(AttemptId { request, number }));
            self.work.extend(dues.map(|due| Work::Due(self.ends, due)));
        }
    }

    /// When the last answers to what was open at SIGTERM are given; never while a successor goes on with it.
    pub(super) fn last_answer(&self) -> Micros {
        if self.limited { self.ends } else { Micros::MAX }
    }

    fn duty(&self, number: u32, phase: Phase, successor: bool) -> ShutdownAction {
        let Some(entry) = self.entries.get(&number) else { return ShutdownAction::Wait };
        let attempts: Vec<shutdown::Attempt> = entry.attempts.iter().map(Attempt::progress).collect();
        let request = shutdown::Request {
            answered: entry.concluded,
            transferable: true,
            repeatable: self.effect(number).repeatable(),
            attempts: &attempts,
        };
        shutdown::shutdown_action(request, phase, successor)
    }

    fn effect(&self, number: u32) -> Effect {
        self.dispatcher.effect(RequestId(number)).unwrap_or_default()
    }

    fn move_away(&mut self, number: u32) -> Option<Moved> {
        let effect = self.effect(number);
        let entry = self.entries.remove(&number)?;
        self.events.push_back(Event::RequestTransferred(RequestId(number)));
        let past = |attempt: &Attempt| PriorAttempt {
            worker: attempt.worker,
            sent: attempt.sent,
            state: attempt.progress().state(),
        };
        let attempts = entry.attempts.iter().map(past).collect();
        let history = TransferredRequest { arrived: entry.arrived, effect, attempts };
        Some(Moved { job: entry.job, request: number, history })
    }

    /// A request that the process before this one has worked on goes on here; gives its number.
    pub(crate) fn adopt(&mut self, job: u32, mut arrival: Arrival, history: TransferredRequest) -> u32 {
        let number = self.enter(job, history.arrived, arrival.expires);
        arrival.request = RequestId(number);
        let ends = arrival.expires.min(self.ends);
        arrival.expires = ends;
        if let Some(entry) = self.entries.get_mut(&number) {
            entry.attempts = history.attempts.iter().map(Attempt::past).collect();
            let out = (0..).zip(&entry.attempts).filter(|(_, attempt)| attempt.ending.is_none());
            let dues = out.map(|(attempt, _)| Due::Attempt(AttemptId { request: number, number: attempt }));
            self.work.extend(dues.map(|due| Work::Due(ends, due)));
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
    pub(crate) fn confirmed(&self) -> Option<Micros> {
        self.clock.confirmed()
    }

    /// Takes what the process before this one had learned.
    pub(crate) fn inherit(&mut self, knowledge: serde_json::Value, next: u32) {
        self.next = next;
        self.events.push_back(Event::KnowledgeReceived(knowledge));
    }

    pub(crate) fn next(&self) -> u32 {
        self.next
    }
}
