//! Events on attempts, as reported by their connections and by their workers.

use super::attribution::{Attribution, attribute_end, none_ran_at};
use super::*;

impl<P: Clone> RequestTable<P> {
    /// Checks whether an attempt whose connection has been established may still start. It may not if meanwhile its
    /// client has left, its time has run out, or the decision module no longer wants it at this worker.
    ///
    /// # Errors
    /// Returns the ending of an attempt that may not start.
    pub fn check_start(&mut self, now: Micros, id: AttemptId) -> Result<(), Ending> {
        let open = |entry: &&Entry<P>| !entry.concluded && now < self.answer_by(entry);
        let entry = self.requests.get(&id.request).filter(open);
        if entry.is_none() {
            return Err(Ending::NotSent);
        }
        let may_start = self.dispatcher.may_start_attempt(now, RequestId(id.request), id.number);
        if may_start { Ok(()) } else { Err(Ending::Unreachable) }
    }

    /// Reports that an attempt ended before its first byte was written.
    pub fn attempt_not_started(&mut self, now: Micros, id: AttemptId, ending: Ending) {
        self.end_attempt(now, id, ending, false, None);
    }

    /// Reports that the last byte of an attempt has been written.
    pub fn attempt_written(&mut self, now: Micros, id: AttemptId) {
        let Some(attempt) = self.open_attempt(id) else { return };
        attempt.written_at = Some(now);
        if let Some(entry) = self.requests.get(&id.request) {
            self.counters.class_mut(entry.class).attempts += 1;
        }
    }

    /// Reports that the worker confirmed that it accepted the job. A pending cancellation is sent now.
    pub fn attempt_accepted(&mut self, id: AttemptId) {
        let Some(attempt) = self.open_attempt(id) else { return };
        attempt.accepted = true;
        let early_end = attempt.early_end.take();
        if attempt.cancel_pending {
            self.send_cancel(id);
        }
        // Meanwhile the job may have started, so that the report of its end belongs to an earlier attempt.
        if let Some(ending) =
            early_end.filter(|&ending| self.attribute(id, ending) != Some(Attribution::Earlier))
        {
            self.unattributed_end(id, ending);
        }
    }

    /// Reports that the worker has not confirmed within the acceptance timeout that it accepted the job.
    pub fn acceptance_overdue(&mut self, id: AttemptId) {
        if self.open_attempt(id).is_some() {
            let note = AttemptNote::Silent;
            self.events.push_back(Event::Note { request: RequestId(id.request), attempt: id.number, note });
        }
    }

    /// Reports that the job of an attempt has started or progressed.
    pub fn attempt_note(&mut self, id: AttemptId, note: AttemptNote) {
        if self.open_attempt(id).is_some() {
            if note == AttemptNote::Started
                && let Some(entry) = self.requests.get(&id.request)
                && entry.updates != ClientUpdates::Nothing
                && !entry.concluded
            {
                self.commands
                    .push(Command::SendPartialResult { client: entry.client, part: PartialResult::Started });
            }
            self.events.push_back(Event::Note { request: RequestId(id.request), attempt: id.number, note });
        }
    }

    /// Reports an update from a worker before the end of the job. Returns a part of the result that the client cannot
    /// receive yet; the protocol of the worker has to keep it for the final answer.
    pub fn partial_result(&mut self, id: AttemptId, part: PartialResult) -> Option<PartialResult> {
        self.open_attempt(id)?;
        let entry = self.requests.get_mut(&id.request)?;
        let (request, attempt) = (RequestId(id.request), id.number);
        let is_result = matches!(part, PartialResult::Data(_) | PartialResult::Warning(_));
        if let PartialResult::Progress(numerator, denominator) = part {
            let note = AttemptNote::Progress(if denominator > 0 {
                numerator as f64 / denominator as f64
            } else {
                0.0
            });
            self.events.push_back(Event::Note { request, attempt, note });
        }
        if entry.concluded {
            return None;
        }
        if entry.updates == ClientUpdates::Nothing || (is_result && entry.updates != ClientUpdates::All) {
            return is_result.then_some(part);
        }
        if is_result && !entry.streaming {
            entry.streaming = true;
            self.events.push_back(Event::Streaming { request, attempt });
        }
        self.commands.push(Command::SendPartialResult { client: entry.client, part });
        None
    }

    /// Reports that an attempt has ended with its result.
    pub fn attempt_succeeded(&mut self, now: Micros, id: AttemptId, result: Vec<u8>, report: Option<Report>) {
        if self.open_attempt(id).is_some() {
            self.finish_with_result(now, id, result, report);
        }
    }

    /// Reports that the connection of an attempt has ended without a result. Once the worker has accepted the job, the
    /// state of the connection tells nothing about the job, and the report is ignored.
    pub fn connection_broken(&mut self, now: Micros, id: AttemptId) {
        match self.open_attempt(id) {
            Some(attempt) if attempt.accepted => {}
            Some(attempt) => {
                // The worker cannot have started the job before the last byte was written.
                let ending = if attempt.written_at.is_some() { Ending::Broken } else { Ending::Unreachable };
                let running = ending == Ending::Broken;
                self.end_attempt(now, id, ending, running, None);
            }
            None => {}
        }
    }

    /// Reports that the connection of an attempt has ended without a result, where the worker can still be told to cancel
    /// the job. It may have accepted the job, with the confirmation lost: if the request is to be sent again and two
    /// attempts may not be in progress at once, the attempt is cancelled and ends with the confirmation of that.
    pub fn connection_lost(&mut self, now: Micros, id: AttemptId) {
        if !self.must_confirm_end(now, id) {
            return self.connection_broken(now, id);
        }
        if let Some(attempt) = self.open_attempt(id) {
            attempt.disconnected = true;
            attempt.cancel_pending = true;
            self.send_cancel(id);
        }
    }

    /// Returns whether this open attempt, whose connection has broken, may run at its worker while a further attempt of
    /// its request, which must not be in progress at the same time, is possible.
    fn must_confirm_end(&self, now: Micros, id: AttemptId) -> bool {
        let Some(entry) = self.requests.get(&id.request).filter(|entry| !entry.concluded) else {
            return false;
        };
        let Some(attempt) = entry.attempts.get(id.number as usize) else { return false };
        let may_be_accepted = attempt.receipt() == Receipt::Unknown;
        let may_repeat = !entry.streaming && self.dispatcher.may_repeat(now, RequestId(id.request));
        let may_cancel = self.settings().limits.cancel;
        !self.allow_duplicates && may_be_accepted && may_repeat && may_cancel
    }

    /// Sends a pending cancellation if its worker has not accepted the job within the acceptance timeout.
    pub fn cancel_unaccepted(&mut self, id: AttemptId) {
        if self.open_attempt(id).is_some_and(|attempt| attempt.cancel_pending && !attempt.accepted) {
            self.send_cancel(id);
        }
    }

    /// Reports that the worker has confirmed a cancellation, so that the attempt is over there. An attempt that is still
    /// open ends as cancelled, or as broken if its connection broke.
    ///
    /// As long as a cancellation is not confirmed, it is unknown whether the job runs, and the attempt ends with a
    /// report of the worker or with its time limit.
    pub fn cancel_confirmed(&mut self, now: Micros, id: AttemptId) {
        self.confirm_not_running(id);
        self.ended_names.attempt_over(id.request);
        let disconnected = self.open_attempt(id).is_some_and(|attempt| attempt.disconnected);
        let ending = if disconnected { Ending::Broken } else { Ending::Cancelled };
        self.end_attempt(now, id, ending, false, None);
    }

    /// Returns who depends on the confirmation of the cancellation of this attempt. `name`: the request name that the
    /// worker knows.
    pub fn cancel_demand(&self, id: AttemptId, name: &str) -> CancelDemand {
        let Some(entry) = self.requests.get(&id.request).filter(|entry| entry.name == name) else {
            let name_is_used = self.by_name.contains_key(name) || self.open_elsewhere.contains(name);
            return if name_is_used { CancelDemand::Obsolete } else { CancelDemand::Optional };
        };
        let Some((attempt, later)) = entry.attempts.get(id.number as usize..).and_then(<[_]>::split_first)
        else {
            return CancelDemand::Obsolete;
        };
        if attempt.ending.is_none() {
            CancelDemand::Awaited
        } else if later.iter().any(|other| other.worker == attempt.worker) {
            CancelDemand::Obsolete
        } else {
            CancelDemand::Optional
        }
    }

    /// Reports that an attempt is cancelled and its worker cannot be told, so that the job may run on.
    pub fn cancel_undeliverable(&mut self, now: Micros, id: AttemptId) {
        self.end_attempt(now, id, Ending::Cancelled, true, None);
    }

    /// Records that an attempt that had ended here, and might still have been running, is over at its worker.
    fn confirm_not_running(&mut self, id: AttemptId) {
        let entry = self.requests.get_mut(&id.request);
        let attempt = entry.and_then(|entry| entry.attempts.get_mut(id.number as usize));
        let Some(attempt) = attempt.filter(|attempt| attempt.may_run) else { return };
        attempt.may_run = false;
        log_line!(debug: request = id.request, attempt = id.number, hop = attempt.worker.0, "attempt is over at its worker");
        let note = AttemptNote::Over;
        self.events.push_back(Event::Note { request: RequestId(id.request), attempt: id.number, note });
    }

    /// Reports that the worker ended an attempt without a result, on the connection of the attempt.
    pub fn attempt_failed(&mut self, now: Micros, id: AttemptId, ending: Ending, report: Option<Report>) {
        if let Some(attempt) = self.open_attempt(id) {
            attempt.declined = !attempt.accepted;
        }
        self.end_attempt(now, id, ending, false, report);
    }

    /// Applies a callback of a worker about the request of this name. Returns whether it matched an open attempt.
    pub fn attempt_update(
        &mut self,
        now: Micros,
        name: &str,
        worker: WorkerId,
        update: AttemptUpdate,
        report: Option<Report>,
    ) -> bool {
        let Some(&number) = self.by_name.get(name) else { return false };
        let Some(entry) = self.requests.get(&number) else { return false };
        let at_worker = |&index: &usize| entry.attempts[index].worker == worker;
        let Some(index) = (0..entry.attempts.len()).rev().find(at_worker) else { return false };
        let id = AttemptId { request: number, number: index as u32 };
        let (attempt, relays_progress) = (&entry.attempts[index], entry.updates != ClientUpdates::Nothing);
        if attempt.ending.is_some() {
            self.late_report(id, &update);
            return false;
        }
        // Before the last byte of an attempt is written its worker knows nothing of it, so the update belongs to an
        // older attempt.
        if attempt.written_at.is_none() {
            return false;
        }
        match update {
            AttemptUpdate::Note(note) => {
                let certain = self.note_is_of_latest(id);
                if let Some(attempt) = self.open_attempt(id) {
                    attempt.started = true;
                    // A cancellation that waits for the confirmation of the job was decided while nothing was known of
                    // the job. The decision module decides anew, now that the job runs.
                    attempt.cancel_pending &= attempt.cancel_sent || !certain;
                }
                if certain {
                    self.attempt_accepted(id);
                }
                match note {
                    AttemptNote::Progress(share) if relays_progress => {
                        let percent = (share.clamp(0.0, 1.0) * 100.0) as u64;
                        self.partial_result(id, PartialResult::Progress(percent, 100));
                    }
                    note => self.attempt_note(id, note),
                }
            }
            AttemptUpdate::Served(result) => self.finish_with_result(now, id, result, report),
            AttemptUpdate::Ended(ending) => return self.reported_end(now, id, ending, report),
        }
        true
    }

    /// Applies a callback about an attempt that has ended here. A report of its end shows that it is over at its worker,
    /// unless an earlier attempt there may have sent the report.
    fn late_report(&mut self, id: AttemptId, update: &AttemptUpdate) {
        let ending = match update {
            AttemptUpdate::Served(_) => Ending::Ok,
            AttemptUpdate::Ended(ending) => *ending,
            AttemptUpdate::Note(_) => return,
        };
        if self.attribute(id, ending) == Some(Attribution::Current) {
            self.confirm_not_running(id);
        }
    }

    /// Attributes a report of an end from the worker of this attempt. `None` if there is no such attempt.
    fn attribute(&self, id: AttemptId, ending: Ending) -> Option<Attribution> {
        let entry = self.requests.get(&id.request)?;
        let (earlier, rest) = entry.attempts.split_at_checked(id.number as usize)?;
        Some(attribute_end(entry.earlier_attempts.iter().chain(earlier), rest.first()?, ending))
    }

    /// Returns whether a report of a start or of progress from the worker of this attempt certainly belongs to it.
    fn note_is_of_latest(&self, id: AttemptId) -> bool {
        let Some(entry) = self.requests.get(&id.request) else { return false };
        let attempts = entry.attempts.split_at_checked(id.number as usize);
        let current = attempts.and_then(|(earlier, rest)| Some((earlier, rest.first()?)));
        current.is_some_and(|(earlier, current)| {
            none_ran_at(entry.earlier_attempts.iter().chain(earlier), current.worker)
        })
    }

    /// Applies a report that an attempt at the worker of this open attempt has ended. Returns whether it counts for this
    /// attempt.
    fn reported_end(&mut self, now: Micros, id: AttemptId, ending: Ending, report: Option<Report>) -> bool {
        let Some(attribution) = self.attribute(id, ending) else { return false };
        let Some(attempt) = self.open_attempt(id) else { return false };
        match attribution {
            Attribution::Earlier => return false,
            // A callback may overtake the confirmation of the job.
            Attribution::Uncertain if !attempt.accepted => {
                attempt.early_end = Some(ending);
                return false;
            }
            Attribution::Uncertain => self.unattributed_end(id, ending),
            Attribution::Current => {
                attempt.ended_by = Some(ending);
                self.end_attempt(now, id, ending, false, report);
            }
        }
        true
    }

    /// Reports to the decision module that an attempt which a worker has accepted, or an earlier one there, has ended.
    fn unattributed_end(&mut self, id: AttemptId, ending: Ending) {
        self.unattributed_reports += 1;
        log_line!(
            request = id.request,
            attempt = id.number,
            ?ending,
            "a worker's report of an end may belong to an earlier attempt"
        );
        let note = AttemptNote::UnattributedEnd(ending);
        self.events.push_back(Event::Note { request: RequestId(id.request), attempt: id.number, note });
    }

    /// Ends an attempt whose time limit is reached. Returns whether it was still open.
    pub fn attempt_timed_out(&mut self, now: Micros, id: AttemptId) -> bool {
        let Some(attempt) = self.open_attempt(id) else { return false };
        let ending = if attempt.written_at.is_some() { Ending::TimedOut } else { Ending::Unreachable };
        self.cancel_attempt(now, id, ending);
        true
    }
}
