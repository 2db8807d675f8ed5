//! Execution of the decision module's actions, the end of attempts, and the answers to requests.

use super::*;

impl<P: Clone> RequestTable<P> {
    /// Carries out an action of the decision module.
    pub(super) fn execute_action(&mut self, now: Micros, action: Action, deadlines: &mut Deadlines) {
        match action {
            Action::Send { request, worker, timeout } => {
                self.send_attempt(now, request, worker, timeout, deadlines)
            }
            Action::Refuse { request, retry_after, reason } => {
                log_line!(debug: request = request.0, why = ?reason, "request refused");
                self.conclude(request.0, Answer::Busy { retry_after });
            }
            Action::Fail(request) => self.conclude(request.0, Answer::Failed),
            Action::Cancel { request, attempt } => {
                let id = AttemptId { request: request.0, number: attempt };
                let concluded = self.requests.get(&id.request).is_none_or(|entry| entry.concluded);
                let (allow_duplicates, acceptance_timeout) = (self.allow_duplicates, self.acceptance_timeout);
                let Some(attempt) = self.open_attempt(id) else { return };
                let Some(written) = attempt.written_at else {
                    return self.cancel_attempt(now, id, Ending::NotSent);
                };
                if allow_duplicates || concluded {
                    return self.cancel_attempt(now, id, Ending::Cancelled);
                }
                // The attempt may run until its worker has confirmed the cancellation, so the request must not be sent
                // to another worker before that. The worker of an attempt that has just been written is about to
                // confirm the job, and could answer the cancellation before it has read the attempt. The cancellation
                // therefore waits for the confirmation of the job, or for its timeout.
                attempt.cancel_pending = true;
                if attempt.accepted || now >= written + acceptance_timeout {
                    self.send_cancel(id);
                } else {
                    deadlines
                        .set(Deadline::CancelUnaccepted(id.request, id.number), written + acceptance_timeout);
                }
            }
            Action::SetTimer { timer, after } => {
                self.last_timer += 1;
                deadlines.set(Deadline::DispatcherTimer(timer.0, self.last_timer), now + after);
            }
            Action::Probe(worker) => {
                self.dispatcher.shared_spending.probes += 1;
                self.commands.push(Command::Probe(worker));
            }
            Action::SendMessage { to, body } => {
                self.dispatcher.shared_spending.messages += 1;
                self.commands.push(Command::SendPeerMessage { to, body });
            }
            Action::FetchList => {
                self.dispatcher.shared_spending.list_calls += 1;
                self.commands.push(Command::FetchList);
            }
            Action::Subscribe(subscribe) => {
                self.dispatcher.shared_spending.list_calls += u64::from(subscribe);
                self.commands.push(Command::SetWatch(subscribe));
            }
            Action::CloseIdle(worker) => self.commands.push(Command::CloseIdle(worker)),
            Action::Log(text) => log_line!("module: {text}"),
        }
    }

    /// Creates an attempt and sends it, unless the request has ended meanwhile. `timeout`: maximum duration of the
    /// attempt in microseconds; it is also limited by the time at which the request needs its answer.
    pub(super) fn send_attempt(
        &mut self,
        now: Micros,
        request: RequestId,
        worker: WorkerId,
        timeout: Option<Micros>,
        deadlines: &mut Deadlines,
    ) {
        let answer_by = self.requests.get(&request.0).map(|entry| self.answer_by(entry));
        let Some((entry, answer_by)) = self.requests.get_mut(&request.0).zip(answer_by) else {
            return log_line!("the decision module sent request {}, which is not open", request.0);
        };
        let id = AttemptId { request: request.0, number: entry.attempts.len() as u32 };
        let ends = answer_by.min(timeout.map_or(Micros::MAX, |span| now.saturating_add(span)));
        entry.attempts.push(Attempt::new(worker, now));
        // In the batch of events that this action responds to, the client may have left or its time may have run out.
        if entry.concluded || ends <= now || id.number >= self.max_attempts {
            return self.end_attempt(now, id, Ending::NotSent, false, None);
        }
        deadlines.set(Deadline::AttemptTimeout(id.request, id.number), ends);
        log_line!(debug: request = id.request, attempt = id.number, hop = worker.0, "attempt sent");
        self.commands.push(Command::SendAttempt {
            attempt: id,
            worker,
            payload: entry.payload.clone(),
            timeout: ends - now,
        });
    }

    /// The attempt of this number, if it has not ended.
    pub(super) fn open_attempt(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        let attempt = self.requests.get_mut(&id.request)?.attempts.get_mut(id.number as usize)?;
        attempt.ending.is_none().then_some(attempt)
    }

    /// Sends a cancellation to the worker of an attempt, and ends the attempt without waiting for the confirmation.
    pub(super) fn cancel_attempt(&mut self, now: Micros, id: AttemptId, ending: Ending) {
        self.send_cancel(id);
        self.end_attempt(now, id, ending, !ending.never_ran(), None);
    }

    /// Sends a cancellation to the worker of an attempt, at most once: the protocol of the worker repeats it as long as
    /// [`RequestTable::cancel_demand`] asks for it.
    pub(super) fn send_cancel(&mut self, id: AttemptId) {
        let Some(attempt) = self.open_attempt(id).filter(|attempt| !attempt.cancel_sent) else { return };
        attempt.cancel_sent = true;
        let (worker, receipt) = (attempt.worker, attempt.receipt());
        let name = self.requests.get(&id.request).map(|entry| entry.name.clone()).unwrap_or_default();
        self.commands.push(Command::Cancel { attempt: id, worker, name, receipt });
    }

    /// Answers a request with its result, and ends the attempt that produced it.
    pub(super) fn finish_with_result(
        &mut self,
        now: Micros,
        id: AttemptId,
        result: Vec<u8>,
        report: Option<Report>,
    ) {
        self.conclude(id.request, Answer::Served(result));
        self.end_attempt(now, id, Ending::Ok, false, report);
    }

    /// Ends an attempt, once, and reports the outcome to the decision module. `running`: the attempt may still be
    /// running at its worker.
    pub(super) fn end_attempt(
        &mut self,
        now: Micros,
        id: AttemptId,
        ending: Ending,
        running: bool,
        report: Option<Report>,
    ) {
        let Some(attempt) = self.open_attempt(id) else { return };
        (attempt.ending, attempt.may_run) = (Some(ending), running);
        let (worker, elapsed) = (attempt.worker, now.saturating_sub(attempt.sent));
        // A request whose client has received a part of the result ends with the attempt that produced the part: the
        // decision module has finished with it.
        if self.requests.get(&id.request).is_some_and(|entry| entry.streaming) {
            self.conclude(id.request, Answer::Failed);
        }
        let concluded = self.requests.get(&id.request).is_none_or(|entry| entry.concluded);
        log_line!(debug: request = id.request, attempt = id.number, hop = worker.0, ?ending, "attempt ended");
        self.events.push_back(Event::Outcome(Outcome {
            request: RequestId(id.request),
            attempt: id.number,
            worker,
            ending,
            elapsed,
            running,
            concluded,
            report,
        }));
        self.ended_attempts.push(id);
        self.removable.push(id.request);
    }

    /// Gives a request its final answer, once: later answers to the same request are ignored.
    pub(super) fn conclude(&mut self, number: u32, answer: Answer) {
        let Some(entry) = self.requests.get_mut(&number) else { return };
        if entry.concluded {
            return;
        }
        entry.concluded = true;
        let counters = self.counters.class_mut(entry.class);
        log_line!(debug: request = number, class = entry.class.0, answer = answer.label(), "request answered");
        match answer {
            Answer::Served(_) => counters.served += 1,
            Answer::Busy { .. } => counters.refused += 1,
            Answer::Failed => counters.failed += 1,
        }
        self.by_client.remove(&entry.client);
        self.commands.push(Command::SendAnswer { client: entry.client, answer });
        self.removable.push(number);
    }

    /// Remembers the name of a request that may have run.
    fn remember_ended(&mut self, now: Micros, number: u32, entry: &Entry<P>) {
        if entry.attempts.iter().all(Attempt::never_ran) {
            return;
        }
        let running_attempts = entry.attempts.iter().filter(|attempt| attempt.may_run).count();
        let ended = EndedRequest { name: &entry.name, number: Some(number), running_attempts };
        self.ended_names.remember(now, &ended);
    }

    /// Removes a request that is concluded and whose attempts have all ended.
    pub(super) fn remove_if_finished(&mut self, now: Micros, number: u32) {
        let finished = |entry: &Entry<P>| {
            entry.concluded && entry.attempts.iter().all(|attempt| attempt.ending.is_some())
        };
        if self.requests.get(&number).is_some_and(finished)
            && let Some(entry) = self.requests.remove(&number)
        {
            self.by_name.remove(&entry.name);
            if let Some(name_changes) = &mut self.name_changes {
                name_changes.push((entry.name.clone(), false));
            }
            self.remember_ended(now, number, &entry);
            let attempts = entry.earlier_attempts.into_iter().chain(entry.attempts).collect();
            self.recent_names.remember(entry.name, attempts);
        }
    }
}
