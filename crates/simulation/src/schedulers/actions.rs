//! Execution of the actions of the decision module: start, cancellation and end of attempts, and answers to requests.

use super::*;

impl Process {
    pub(super) fn apply_action(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { request, worker, timeout } => self.start_attempt(now, request.0, worker, timeout),
            Action::Refuse { request, .. } => self.answer_request(request.0, Answer::Refused),
            Action::Fail(request) => self.answer_request(request.0, Answer::Failed),
            Action::Cancel { request, attempt } => {
                let id = AttemptId { request: request.0, number: attempt };
                let answered = self.requests.get(&id.request).is_none_or(|entry| entry.answered);
                let concurrent_attempts = self.concurrent_attempts;
                let Some(attempt) = self.running_attempt(id) else { return };
                let Some(written) = attempt.written else {
                    return self.abandon_attempt(now, id, Ending::NotSent);
                };
                if concurrent_attempts || answered {
                    return self.abandon_attempt(now, id, Ending::Cancelled);
                }
                attempt.cancel_requested = true;
                if attempt.accepted || now >= written + ACCEPTANCE_TIMEOUT {
                    self.send_cancel(id);
                } else {
                    self.commands.push(Command::SetDeadline(
                        written + ACCEPTANCE_TIMEOUT,
                        Deadline::CancelUnaccepted(id),
                    ));
                }
            }
            Action::SetTimer { timer, after } => {
                self.commands.push(Command::SetDeadline(now + after, Deadline::DispatcherTimer(timer)))
            }
            Action::Probe(worker) => self.commands.push(Command::SendProbe(worker)),
            Action::SendMessage { to, body } => self.commands.push(Command::SendPeerMessage { to, body }),
            Action::FetchList => self.commands.push(Command::FetchList),
            Action::Subscribe(want) => self.commands.push(Command::SetWatch(want)),
            Action::CloseIdle(worker) => drop(self.idle_connections.remove(&worker)),
            Action::Log(_) => {}
        }
    }

    pub(super) fn start_attempt(
        &mut self,
        now: Micros,
        request: u32,
        worker: WorkerId,
        timeout: Option<Micros>,
    ) {
        let (max_attempts, final_answer_at) = (self.max_attempts, self.final_answer_at());
        let Some(entry) = self.requests.get_mut(&request) else { return };
        let id = AttemptId { request, number: entry.attempts.len() as u32 };
        let ends_at = entry
            .answer_by(final_answer_at)
            .min(timeout.map_or(Micros::MAX, |span| now.saturating_add(span)));
        entry.attempts.push(Attempt::new(worker, now));
        if entry.answered || ends_at <= now || id.number >= max_attempts {
            return self.end_attempt(now, id, Ending::NotSent, false, None);
        }
        self.commands.push(Command::SetDeadline(ends_at, Deadline::AttemptTimeout(id)));
        self.commands.push(Command::SendAttempt { id, worker });
    }

    pub(super) fn running_attempt(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        let attempt = self.requests.get_mut(&id.request)?.attempts.get_mut(id.number as usize)?;
        attempt.ending.is_none().then_some(attempt)
    }

    pub(super) fn abandon_attempt(&mut self, now: Micros, id: AttemptId, ending: Ending) {
        self.send_cancel(id);
        self.end_attempt(now, id, ending, !ending.never_ran(), None);
    }

    pub(super) fn send_cancel(&mut self, id: AttemptId) {
        let Some(attempt) = self.running_attempt(id).filter(|attempt| !attempt.cancel_sent) else { return };
        attempt.cancel_sent = true;
        let (worker, accepted) = (attempt.worker, attempt.accepted);
        self.commands.push(Command::Cancel { id, worker, accepted });
    }

    /// Ends an attempt that has not ended yet. `running` says that it may still be running at its worker.
    pub(super) fn end_attempt(
        &mut self,
        now: Micros,
        id: AttemptId,
        ending: Ending,
        running: bool,
        report: Option<Report>,
    ) {
        let Some(attempt) = self.running_attempt(id) else { return };
        (attempt.ending, attempt.may_be_running) = (Some(ending), running);
        let (worker, elapsed) = (attempt.worker, now.saturating_sub(attempt.sent));
        let answered = self.requests.get(&id.request).is_none_or(|entry| entry.answered);
        self.events.push_back(Event::Outcome(Outcome {
            request: RequestId(id.request),
            attempt: id.number,
            worker,
            ending,
            elapsed,
            running,
            concluded: answered,
            report,
        }));
        self.finished_candidates.push(id.request);
    }

    pub(super) fn answer_request(&mut self, number: u32, answer: Answer) {
        let Some(entry) = self.requests.get_mut(&number).filter(|entry| !entry.answered) else { return };
        entry.answered = true;
        self.commands.push(Command::SendAnswer { job: entry.job, answer });
        self.finished_candidates.push(number);
    }
}
