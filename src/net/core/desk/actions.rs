//! What the decision module wants is carried out here; attempts end and requests are answered.

use super::*;

impl<P: Clone> Desk<P> {
    pub(super) fn carry_out(&mut self, now: Micros, action: Action, deadlines: &mut Deadlines) {
        match action {
            Action::Send { request, worker, timeout } => self.send(now, request, worker, timeout, deadlines),
            Action::Refuse { request, come_back, why } => {
                log_line!(debug: request = request.0, ?why, "a request is refused");
                self.conclude(request.0, Answer::Busy { come_back });
            }
            Action::Fail(request) => self.conclude(request.0, Answer::Failed),
            Action::Cancel { request, attempt } => {
                let id = AttemptId { request: request.0, number: attempt };
                let concluded = self.entries.get(&id.request).is_none_or(|entry| entry.concluded);
                let (copies, takes) = (self.copies, self.takes);
                let Some(attempt) = self.attempt(id) else { return };
                let Some(written) = attempt.written_at else { return self.give_up(now, id, Ending::Moot) };
                if copies || concluded {
                    return self.give_up(now, id, Ending::Cancelled);
                }
                // It may run until its next hop has heard: the request may not go elsewhere before. One that may yet
                // take it must be told in words once it has: to end the connection says nothing then.
                attempt.unwanted = true;
                if attempt.taken || now >= written + takes {
                    self.tell_off(id);
                } else {
                    deadlines.set(Due::Unwanted(id.request, id.number), written + takes);
                }
            }
            Action::SetTimer { timer, after } => {
                self.next_timer += 1;
                deadlines.set(Due::Timer(timer.0, self.next_timer), now + after);
            }
            Action::Probe(hop) => {
                self.dispatcher.spent.probes += 1;
                self.work.push(Work::Probe(hop));
            }
            Action::Tell { to, body } => {
                self.dispatcher.spent.messages += 1;
                self.work.push(Work::Tell { to, body });
            }
            Action::FetchList => {
                self.dispatcher.spent.list_calls += 1;
                self.work.push(Work::FetchList);
            }
            Action::Subscribe(want) => {
                self.dispatcher.spent.list_calls += u64::from(want);
                self.work.push(Work::Watch(want));
            }
            Action::CloseIdle(hop) => self.work.push(Work::CloseIdle(hop)),
            Action::Log(text) => log_line!("module: {text}"),
        }
    }

    pub(super) fn send(
        &mut self,
        now: Micros,
        request: RequestId,
        hop: WorkerId,
        timeout: Option<Micros>,
        deadlines: &mut Deadlines,
    ) {
        let answer_by = self.entries.get(&request.0).map(|entry| self.answer_by(entry));
        let Some((entry, answer_by)) = self.entries.get_mut(&request.0).zip(answer_by) else {
            return log_line!("the module sent request {}, which is closed", request.0);
        };
        let id = AttemptId { request: request.0, number: entry.attempts.len() as u32 };
        let ends = answer_by.min(timeout.map_or(Micros::MAX, |span| now.saturating_add(span)));
        entry.attempts.push(Attempt::new(hop, now));
        // The client may have left, or its time may have run out, in the batch that the module answers here.
        if entry.concluded || ends <= now || id.number >= self.most_tries {
            return self.end(now, id, Ending::Moot, false, None);
        }
        deadlines.set(Due::Attempt(id.request, id.number), ends);
        log_line!(debug: request = id.request, attempt = id.number, hop = hop.0, "an attempt is sent");
        self.work.push(Work::Send { attempt: id, hop, payload: entry.payload.clone(), wait: ends - now });
    }

    pub(super) fn attempt(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        let attempt = self.entries.get_mut(&id.request)?.attempts.get_mut(id.number as usize)?;
        attempt.ending.is_none().then_some(attempt)
    }

    pub(super) fn give_up(&mut self, now: Micros, id: AttemptId, ending: Ending) {
        self.tell_off(id);
        self.end(now, id, ending, !ending.never_ran(), None);
    }

    /// The next hop of an attempt is to be told that it is given up, once: a second word could be answered before the
    /// first, the end of the connection, has come there.
    pub(super) fn tell_off(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempt(id).filter(|attempt| !attempt.told_off) else { return };
        attempt.told_off = true;
        let hop = attempt.hop;
        let name = self.entries.get(&id.request).map(|entry| entry.name.clone()).unwrap_or_default();
        self.work.push(Work::GiveUp { attempt: id, hop, name });
    }

    pub(super) fn serve(&mut self, now: Micros, id: AttemptId, result: Vec<u8>, report: Option<Report>) {
        self.conclude(id.request, Answer::Served(result));
        self.end(now, id, Ending::Ok, false, report);
    }

    /// Ends an attempt, once; it may still be `running` at its next hop.
    pub(super) fn end(
        &mut self,
        now: Micros,
        id: AttemptId,
        ending: Ending,
        running: bool,
        report: Option<Report>,
    ) {
        let Some(attempt) = self.attempt(id) else { return };
        (attempt.ending, attempt.loose) = (Some(ending), running);
        let (worker, elapsed) = (attempt.hop, now.saturating_sub(attempt.sent));
        // What a client has a part of ends with the attempt that it came from: the module has done with it.
        if self.entries.get(&id.request).is_some_and(|entry| entry.streaming) {
            self.conclude(id.request, Answer::Failed);
        }
        let concluded = self.entries.get(&id.request).is_none_or(|entry| entry.concluded);
        log_line!(debug: request = id.request, attempt = id.number, hop = worker.0, ?ending, "an attempt has ended");
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
        self.closing.push(id.request);
    }

    /// Gives the final answer, once: whatever comes for a request that has one is passed over.
    pub(super) fn conclude(&mut self, number: u32, answer: Answer) {
        let Some(entry) = self.entries.get_mut(&number) else { return };
        if entry.concluded {
            return;
        }
        entry.concluded = true;
        let tally = self.figures.of(entry.class);
        log_line!(debug: request = number, class = entry.class.0, answer = answer.word(), "a request is answered");
        match answer {
            Answer::Served(_) => tally.served += 1,
            Answer::Busy { .. } => tally.refused += 1,
            Answer::Failed => tally.failed += 1,
        }
        self.clients.remove(&entry.client);
        self.work.push(Work::Answer { client: entry.client, answer });
        self.closing.push(number);
    }

    /// A request's record goes once it is answered and its last attempt is over.
    pub(super) fn forget(&mut self, number: u32) {
        let over = |entry: &Entry<P>| {
            entry.concluded && entry.attempts.iter().all(|attempt| attempt.ending.is_some())
        };
        if self.entries.get(&number).is_some_and(over)
            && let Some(entry) = self.entries.remove(&number)
        {
            self.names.remove(&entry.name);
            if let Some(turnover) = &mut self.turnover {
                turnover.push((entry.name, false));
            }
        }
    }
}
