//! Open requests at the end of a process: their final answers, and their transfer between two processes of a scheduler.

use super::*;
use calicolb_shutdown as shutdown;
use calicolb_shutdown::{Phase, ShutdownAction};
use serde::{Deserialize, Serialize};

/// State of a request that moves to another process, besides the data that is sent to workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestHistory {
    /// Time at which the request arrived.
    pub arrived: Micros,
    /// Time at which its client stops waiting.
    pub expires: Micros,
    /// The effect of a repeat; `None`: as its class states.
    pub effect: Option<Effect>,
    /// Its attempts, in the order in which they were sent.
    pub attempts: Vec<AttemptRecord>,
}

/// An attempt of a request that moves to another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// The worker that the attempt was sent to.
    pub worker: WorkerId,
    /// Time at which the attempt was sent.
    pub sent: Micros,
    /// State of the attempt: ended or not, and whether it may have run.
    pub state: AttemptState,
    /// Ending that a callback reported, if a callback ended the attempt. The worker may send that callback again.
    pub ended_by: Option<Ending>,
}

impl RequestHistory {
    /// Converts the times to a clock that is ahead of the present one by `ahead` microseconds.
    pub fn on_clock(mut self, ahead: i64) -> Self {
        let attempts = self.attempts.iter_mut().map(|attempt| &mut attempt.sent);
        let times = [&mut self.arrived, &mut self.expires].into_iter().chain(attempts);
        times.for_each(|at| *at = at.saturating_add_signed(ahead));
        self
    }
}

impl RequestHistory {
    /// Converts the history to the decision module's type. `class_effect`: the effect of a repeat that the class
    /// states.
    pub(super) fn to_transferred(&self, class_effect: Effect) -> TransferredRequest {
        let to_prior = |attempt: &AttemptRecord| PriorAttempt {
            worker: attempt.worker,
            sent: attempt.sent,
            state: attempt.state,
        };
        TransferredRequest {
            arrived: self.arrived,
            effect: self.effect.unwrap_or(class_effect),
            attempts: self.attempts.iter().map(to_prior).collect(),
        }
    }
}

impl Attempt {
    /// Its progress, for the rules of [`calicolb_shutdown`].
    fn progress(&self) -> shutdown::Attempt {
        match self.ending {
            Some(ending) => shutdown::Attempt::Ended(ending.state(self.may_run)),
            None if self.cancel_pending => {
                shutdown::Attempt::Cancelling { written: self.written_at.is_some() }
            }
            None if self.accepted => shutdown::Attempt::Accepted,
            None if self.written_at.is_some() => shutdown::Attempt::Written,
            None => shutdown::Attempt::Connecting,
        }
    }

    /// Restores an attempt that another process sent.
    fn from_record(record: &AttemptRecord) -> Self {
        let mut attempt = Attempt {
            written_at: Some(record.sent),
            accepted: true,
            ended_by: record.ended_by,
            may_run: record.state == AttemptState::MayRun,
            ..Attempt::new(record.worker, record.sent)
        };
        attempt.ending = match record.state {
            AttemptState::InFlight => None,
            AttemptState::NeverRan => Some(Ending::Unreachable),
            AttemptState::MayHaveRan | AttemptState::MayRun => Some(Ending::Cancelled),
        };
        attempt
    }
}

impl<P: Clone> RequestTable<P> {
    /// Sets the time after which the process answers no request, because it ends. Requests that arrive from now on are
    /// accepted only if they can be finished by then.
    pub fn set_process_end(&mut self, last_answer: Micros) {
        self.process_end = last_answer;
    }

    /// Applies the end of the process to the requests that are open already, because no other process continues them.
    pub fn limit_open_requests(&mut self, deadlines: &mut Deadlines) {
        self.open_requests_limited = true;
        self.events.push_back(Event::ShutdownAt(self.process_end));
        for (&number, entry) in self.requests.iter().filter(|(_, entry)| entry.expires > self.process_end) {
            let open = (0..).zip(&entry.attempts).filter(|(_, attempt)| attempt.ending.is_none());
            open.for_each(|(index, _)| {
                deadlines.set(Deadline::AttemptTimeout(number, index), self.process_end)
            });
        }
    }

    /// The time by which a request needs its answer: its client's limit or the end of the process.
    pub(super) fn answer_by(&self, entry: &Entry<P>) -> Micros {
        if self.open_requests_limited { entry.expires.min(self.process_end) } else { entry.expires }
    }

    /// The requests that have no final answer, with their clients, in the order of their numbers.
    pub fn open_requests(&self) -> Vec<(u32, ClientId)> {
        let mut open: Vec<(u32, ClientId)> =
            self.by_client.iter().map(|(&client, &number)| (number, client)).collect();
        open.sort_unstable();
        open
    }

    /// The action that a request needs in this phase of the shutdown. `transferable`: a successor accepts the request,
    /// and its client's connection can be passed on.
    pub fn shutdown_action(&self, number: u32, phase: Phase, transferable: bool) -> ShutdownAction {
        let Some(entry) = self.requests.get(&number) else { return ShutdownAction::Wait };
        let attempts: Vec<shutdown::Attempt> = entry.attempts.iter().map(Attempt::progress).collect();
        let request = shutdown::Request {
            answered: entry.concluded,
            transferable: transferable && !entry.streaming,
            repeatable: self.effect(number, entry).repeatable(),
            attempts: &attempts,
        };
        shutdown::shutdown_action(request, phase, transferable)
    }

    /// The effect of a repeat of a request: the decision module's, or else that of its class.
    fn effect(&self, number: u32, entry: &Entry<P>) -> Effect {
        let class_effect = || self.settings().classes.get(entry.class.0).map(|class| class.effect);
        self.dispatcher.effect(RequestId(number)).or_else(class_effect).unwrap_or_default()
    }

    /// The name of an open request.
    pub fn request_name(&self, number: u32) -> Option<&str> {
        self.requests.get(&number).map(|entry| entry.name.as_str())
    }

    /// The name of an open request, the data that is sent to workers, and the state that another process needs
    /// to continue the request.
    pub fn history(&self, number: u32) -> Option<(String, P, RequestHistory)> {
        let entry = self.requests.get(&number)?;
        let record = |attempt: &Attempt| AttemptRecord {
            worker: attempt.worker,
            sent: attempt.sent,
            state: attempt.progress().state(),
            ended_by: attempt.ended_by,
        };
        let history = RequestHistory {
            arrived: entry.arrived,
            expires: entry.expires,
            effect: Some(self.effect(number, entry)),
            attempts: entry.attempts.iter().map(record).collect(),
        };
        Some((entry.name.clone(), entry.payload.clone(), history))
    }

    /// Removes a request that has been transferred to another process.
    pub fn request_transferred(&mut self, number: u32) {
        let Some(entry) = self.requests.remove(&number) else { return };
        self.by_name.remove(&entry.name);
        self.by_client.remove(&entry.client);
        self.events.push_back(Event::RequestTransferred(RequestId(number)));
    }

    /// Continues a request that another process of this scheduler has worked on, for the client whose connection came
    /// with it.
    pub fn adopt(
        &mut self,
        now: Micros,
        client: ClientId,
        mut job: Job<P>,
        history: &RequestHistory,
        deadlines: &mut Deadlines,
    ) {
        self.open_elsewhere.remove(&job.name);
        job.client_timeout = history.expires.saturating_sub(now);
        let number = self.insert(now, client, job, Some(history));
        let Some(entry) = self.requests.get_mut(&number) else { return };
        entry.arrived = history.arrived;
        entry.attempts = history.attempts.iter().map(Attempt::from_record).collect();
        let ends = entry.expires.min(self.process_end);
        let open = (0..).zip(&entry.attempts).filter(|(_, attempt)| attempt.ending.is_none());
        open.for_each(|(index, _)| deadlines.set(Deadline::AttemptTimeout(number, index), ends));
    }

    /// Gives a request its final answer, because the process ends before it has a result.
    pub fn answer_at_process_end(&mut self, number: u32) {
        match self.requests.get(&number) {
            // The decision module has finished with a request whose client has received a part of the result.
            Some(entry) if entry.streaming => self.conclude(number, Answer::Failed),
            Some(_) => self.events.push_back(Event::FinishRequest(RequestId(number))),
            None => {}
        }
    }
}
