//! What the decision module wants is carried out here; attempts end and requests are answered.

use super::*;

impl Process {
    pub(super) fn carry_out(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { request, worker, timeout } => self.send(now, request.0, worker, timeout),
            Action::Refuse { request, .. } => self.conclude(request.0, Answer::Refused),
            Action::Fail(request) => self.conclude(request.0, Answer::Failed),
            Action::Cancel { request, attempt } => {
                let id = AttemptId { request: request.0, number: attempt };
                let concluded = self.entries.get(&id.request).is_none_or(|entry| entry.concluded);
                let copies = self.copies;
                let Some(attempt) = self.attempt(id) else { return };
                let Some(written) = attempt.written else { return self.give_up(now, id, Ending::NotSent) };
                if copies || concluded {
                    return self.give_up(now, id, Ending::Cancelled);
                }
                attempt.unwanted = true;
                if attempt.taken || now >= written + SILENCE {
                    self.tell_off(id);
                } else {
                    self.work.push(Work::Due(written + SILENCE, Due::Unwanted(id)));
                }
            }
            Action::SetTimer { timer, after } => self.work.push(Work::Due(now + after, Due::Timer(timer))),
            Action::Probe(worker) => self.work.push(Work::Probe(worker)),
            Action::SendMessage { to, body } => self.work.push(Work::Tell { to, body }),
            Action::FetchList => self.work.push(Work::FetchList),
            Action::Subscribe(want) => self.work.push(Work::Watch(want)),
            Action::CloseIdle(worker) => drop(self.idle.remove(&worker)),
            Action::Log(_) => {}
        }
    }

    pub(super) fn send(&mut self, now: Micros, request: u32, worker: WorkerId, timeout: Option<Micros>) {
        let (tries, last_answer) = (self.tries, self.last_answer());
        let Some(entry) = self.entries.get_mut(&request) else { return };
        let id = AttemptId { request, number: entry.attempts.len() as u32 };
        let ends =
            entry.answer_by(last_answer).min(timeout.map_or(Micros::MAX, |span| now.saturating_add(span)));
        entry.attempts.push(Attempt::new(worker, now));
        if entry.concluded || ends <= now || id.number >= tries {
            return self.end(now, id, Ending::NotSent, false, None);
        }
        self.work.push(Work::Due(ends, Due::Attempt(id)));
        self.work.push(Work::Send { id, worker });
    }

    pub(super) fn attempt(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        let attempt = self.entries.get_mut(&id.request)?.attempts.get_mut(id.number as usize)?;
        attempt.ending.is_none().then_some(attempt)
    }

    pub(super) fn give_up(&mut self, now: Micros, id: AttemptId, ending: Ending) {
        self.tell_off(id);
        self.end(now, id, ending, !ending.never_ran(), None);
    }

    pub(super) fn tell_off(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempt(id).filter(|attempt| !attempt.told_off) else { return };
        attempt.told_off = true;
        let (worker, taken) = (attempt.worker, attempt.taken);
        self.work.push(Work::GiveUp { id, worker, taken });
    }

    /// Ends an attempt, once; it may still be `running` at its worker.
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
        let (worker, elapsed) = (attempt.worker, now.saturating_sub(attempt.sent));
        let concluded = self.entries.get(&id.request).is_none_or(|entry| entry.concluded);
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

    pub(super) fn conclude(&mut self, number: u32, answer: Answer) {
        let Some(entry) = self.entries.get_mut(&number).filter(|entry| !entry.concluded) else { return };
        entry.concluded = true;
        self.work.push(Work::Answer { job: entry.job, answer });
        self.closing.push(number);
    }
}
