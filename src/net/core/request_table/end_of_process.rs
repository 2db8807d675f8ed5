//! What a process owes its open requests when it ends, and requests that go on at another process of the same scheduler.

use super::*;
use calicolb_shutdown as shutdown;
use calicolb_shutdown::{Phase, ShutdownAction};
use serde::{Deserialize, Serialize};

/// What is known of a request that goes on at another process, beside what its worker gets of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestHistory {
    /// When it came in.
    pub arrived: Micros,
    /// When its client leaves.
    pub expires: Micros,
    /// What a repeat would do; `None`: as its class says.
    pub effect: Option<Effect>,
    /// Its attempts, in the order in which they were sent.
    pub attempts: Vec<AttemptRecord>,
}

/// An attempt of a request that goes on at another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRecord {
    pub worker: WorkerId,
    pub sent: Micros,
    pub state: AttemptState,
    /// It was ended by a call-back of this kind, which may yet be repeated.
    pub ended_by: Option<Ending>,
}

impl RequestHistory {
    /// The same on a clock that is so far ahead of the one by which its times are told.
    pub fn on_clock(mut self, ahead: i64) -> Self {
        let attempts = self.attempts.iter_mut().map(|attempt| &mut attempt.sent);
        let times = [&mut self.arrived, &mut self.expires].into_iter().chain(attempts);
        times.for_each(|at| *at = at.saturating_add_signed(ahead));
        self
    }
}

impl RequestHistory {
    /// The same for the decision module. `of_class`: what a repeat would do by its class.
    pub(super) fn handed_on(&self, of_class: Effect) -> TransferredRequest {
        let past = |attempt: &AttemptRecord| PriorAttempt {
            worker: attempt.worker,
            sent: attempt.sent,
            state: attempt.state,
        };
        TransferredRequest {
            arrived: self.arrived,
            effect: self.effect.unwrap_or(of_class),
            attempts: self.attempts.iter().map(past).collect(),
        }
    }
}

impl Attempt {
    /// How far it has come.
    fn progress(&self) -> shutdown::Attempt {
        match self.ending {
            Some(ending) => shutdown::Attempt::Ended(ending.state(self.loose)),
            None if self.unwanted => shutdown::Attempt::Cancelling { written: self.written_at.is_some() },
            None if self.taken => shutdown::Attempt::Accepted,
            None if self.written_at.is_some() => shutdown::Attempt::Written,
            None => shutdown::Attempt::Connecting,
        }
    }

    /// One that another process sent.
    fn past(past: &AttemptRecord) -> Self {
        let mut attempt = Attempt {
            written_at: Some(past.sent),
            taken: true,
            ended_by: past.ended_by,
            loose: past.state == AttemptState::MayRun,
            ..Attempt::new(past.worker, past.sent)
        };
        attempt.ending = match past.state {
            AttemptState::InFlight => None,
            AttemptState::NeverRan => Some(Ending::Unreachable),
            AttemptState::MayHaveRan | AttemptState::MayRun => Some(Ending::Cancelled),
        };
        attempt
    }
}

impl<P: Clone> RequestTable<P> {
    /// The program ends, and nobody is answered after this time: what comes in from now on is taken only if it can be done
    /// by then.
    pub fn set_process_end(&mut self, last_answer: Micros) {
        self.ends = last_answer;
    }

    /// What is open already has to be done by then, too: no other process goes on with it.
    pub fn limit_open_requests(&mut self, deadlines: &mut Deadlines) {
        self.limited = true;
        self.events.push_back(Event::ShutdownAt(self.ends));
        for (&number, entry) in self.entries.iter().filter(|(_, entry)| entry.expires > self.ends) {
            let out = (0..).zip(&entry.attempts).filter(|(_, attempt)| attempt.ending.is_none());
            out.for_each(|(nr, _)| deadlines.set(Deadline::AttemptTimeout(number, nr), self.ends));
        }
    }

    /// The time by which a request has its answer, or has lost its client.
    pub(super) fn answer_by(&self, entry: &Entry<P>) -> Micros {
        if self.limited { entry.expires.min(self.ends) } else { entry.expires }
    }

    /// The requests that are still owed an answer, and their clients, in the order in which they came.
    pub fn open_requests(&self) -> Vec<(u32, ClientId)> {
        let mut open: Vec<(u32, ClientId)> =
            self.clients.iter().map(|(&client, &number)| (number, client)).collect();
        open.sort_unstable();
        open
    }

    /// What is owed to a request in this phase. `movable`: a successor takes it, and its client's connection can be passed on.
    pub fn duty(&self, number: u32, phase: Phase, movable: bool) -> ShutdownAction {
        let Some(entry) = self.entries.get(&number) else { return ShutdownAction::Wait };
        let attempts: Vec<shutdown::Attempt> = entry.attempts.iter().map(Attempt::progress).collect();
        let request = shutdown::Request {
            answered: entry.concluded,
            transferable: movable && !entry.streaming,
            repeatable: self.effect(number, entry).repeatable(),
            attempts: &attempts,
        };
        shutdown::shutdown_action(request, phase, movable)
    }

    fn effect(&self, number: u32, entry: &Entry<P>) -> Effect {
        let of_class = || self.settings().classes.get(entry.class.0).map(|class| class.effect);
        self.dispatcher.effect(RequestId(number)).or_else(of_class).unwrap_or_default()
    }

    /// The name of an open request.
    pub fn request_name(&self, number: u32) -> Option<&str> {
        self.entries.get(&number).map(|entry| entry.name.as_str())
    }

    /// The name of a request, what its worker gets of it, and what another process has to know to go on with it.
    pub fn history(&self, number: u32) -> Option<(String, P, RequestHistory)> {
        let entry = self.entries.get(&number)?;
        let past = |attempt: &Attempt| AttemptRecord {
            worker: attempt.hop,
            sent: attempt.sent,
            state: attempt.progress().state(),
            ended_by: attempt.ended_by,
        };
        let history = RequestHistory {
            arrived: entry.arrived,
            expires: entry.expires,
            effect: Some(self.effect(number, entry)),
            attempts: entry.attempts.iter().map(past).collect(),
        };
        Some((entry.name.clone(), entry.payload.clone(), history))
    }

    /// A request has been sent to another process, and is forgotten here.
    pub fn request_transferred(&mut self, number: u32) {
        let Some(entry) = self.entries.remove(&number) else { return };
        self.names.remove(&entry.name);
        self.clients.remove(&entry.client);
        self.events.push_back(Event::RequestTransferred(RequestId(number)));
    }

    /// A request that another process of this scheduler has worked on goes on here, and its client with it.
    pub fn adopt(
        &mut self,
        now: Micros,
        client: ClientId,
        mut job: Job<P>,
        history: &RequestHistory,
        deadlines: &mut Deadlines,
    ) {
        self.elsewhere.remove(&job.name);
        job.client_timeout = history.expires.saturating_sub(now);
        let number = self.enter(now, client, job, Some(history));
        let Some(entry) = self.entries.get_mut(&number) else { return };
        entry.arrived = history.arrived;
        entry.attempts = history.attempts.iter().map(Attempt::past).collect();
        let ends = entry.expires.min(self.ends);
        let out = (0..).zip(&entry.attempts).filter(|(_, attempt)| attempt.ending.is_none());
        out.for_each(|(nr, _)| deadlines.set(Deadline::AttemptTimeout(number, nr), ends));
    }

    /// The process ends before this request has a result: it gets its final answer.
    pub fn answer_at_process_end(&mut self, number: u32) {
        match self.entries.get(&number) {
            // The module has done with it.
            Some(entry) if entry.streaming => self.conclude(number, Answer::Failed),
            Some(_) => self.events.push_back(Event::FinishRequest(RequestId(number))),
            None => {}
        }
    }
}
