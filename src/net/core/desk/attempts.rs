//! Facts on attempts: what their connections show, and what their workers tell.

use super::*;

impl<P: Clone> Desk<P> {
    /// Whether an attempt whose connection has come up may still begin, and if not, what it ends with: its client may have
    /// left meanwhile or its time be over, or the module may no longer want it there.
    pub fn begins(&mut self, now: Micros, id: AttemptId) -> Result<(), Ending> {
        let open = |entry: &&Entry<P>| !entry.concluded && now < self.answer_by(entry);
        let entry = self.entries.get(&id.request).filter(open);
        if entry.is_none() {
            return Err(Ending::Moot);
        }
        let may = self.dispatcher.may_begin(now, RequestId(id.request), id.number);
        if may { Ok(()) } else { Err(Ending::Unreachable) }
    }

    /// An attempt has ended before its first byte, with this.
    pub fn unbegun(&mut self, now: Micros, id: AttemptId, ending: Ending) {
        self.end(now, id, ending, false, None);
    }

    /// The last byte of an attempt has been written.
    pub fn written(&mut self, now: Micros, id: AttemptId) {
        let Some(attempt) = self.attempt(id) else { return };
        attempt.written_at = Some(now);
        if let Some(entry) = self.entries.get(&id.request) {
            self.figures.of(entry.class).attempts += 1;
        }
    }

    /// The next hop has taken the job.
    pub fn taken(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempt(id) else { return };
        attempt.taken = true;
        if attempt.unwanted {
            self.tell_off(id);
        }
    }

    /// The next hop should have taken the job long since, and has not said so.
    pub fn silent(&mut self, id: AttemptId) {
        if self.attempt(id).is_some() {
            let note = Note::Silent;
            self.events.push_back(Event::Note { request: RequestId(id.request), attempt: id.number, note });
        }
    }

    /// The job has started, or gone on.
    pub fn note(&mut self, id: AttemptId, note: Note) {
        if self.attempt(id).is_some() {
            if note == Note::Started
                && let Some(entry) = self.entries.get(&id.request)
                && entry.hears != Hears::Nothing
                && !entry.concluded
            {
                self.work.push(Work::Relay { client: entry.client, part: Part::Started });
            }
            self.events.push_back(Event::Note { request: RequestId(id.request), attempt: id.number, note });
        }
    }

    /// A next hop has told a part of what comes. Gives back a part of the result that the client cannot be told yet:
    /// whoever drives the next hop keeps it for the end.
    pub fn part(&mut self, id: AttemptId, part: Part) -> Option<Part> {
        self.attempt(id)?;
        let entry = self.entries.get_mut(&id.request)?;
        let (request, attempt) = (RequestId(id.request), id.number);
        let result = matches!(part, Part::Data(_) | Part::Warning(_));
        if let Part::Progress(done, of) = part {
            let note = Note::Progress(if of > 0 { done as f64 / of as f64 } else { 0.0 });
            self.events.push_back(Event::Note { request, attempt, note });
        }
        if entry.concluded {
            return None;
        }
        if entry.hears == Hears::Nothing || (result && entry.hears != Hears::All) {
            return result.then_some(part);
        }
        if result && !entry.streaming {
            entry.streaming = true;
            self.events.push_back(Event::Streaming { request, attempt });
        }
        self.work.push(Work::Relay { client: entry.client, part });
        None
    }

    /// An attempt has ended with its result.
    pub fn served(&mut self, now: Micros, id: AttemptId, result: Vec<u8>, report: Option<Report>) {
        if self.attempt(id).is_some() {
            self.serve(now, id, result, report);
        }
    }

    /// An attempt has ended without a result, as its connection shows. Once the job is taken, what becomes of
    /// the connection says nothing of it any more.
    pub fn broke(&mut self, now: Micros, id: AttemptId) {
        match self.attempt(id) {
            Some(attempt) if attempt.taken => {}
            Some(attempt) => {
                // The last byte decides: without it the next hop cannot have begun.
                let ending = if attempt.written_at.is_some() { Ending::Broken } else { Ending::Unreachable };
                let running = ending == Ending::Broken;
                self.end(now, id, ending, running, None);
            }
            None => {}
        }
    }

    /// An attempt that is unwanted should have been taken by now.
    pub fn untaken(&mut self, id: AttemptId) {
        if self.attempt(id).is_some_and(|attempt| attempt.unwanted && !attempt.taken) {
            self.tell_off(id);
        }
    }

    /// A next hop has heard that an attempt is given up. Where it has not, whether it runs is not known, and the attempt
    /// ends with what the hop tells, or with its time. One that has ended here already is over there too, if the hop had
    /// taken it and so was told in words: what the end of a connection meant to a hop that was just taking it is not known.
    pub fn called_off(&mut self, now: Micros, id: AttemptId) {
        let entry = self.entries.get_mut(&id.request);
        let attempt = entry.and_then(|entry| entry.attempts.get_mut(id.number as usize));
        match attempt.filter(|attempt| attempt.loose && attempt.taken) {
            Some(_) => self.surely_over(id),
            None => self.end(now, id, Ending::Cancelled, false, None),
        }
    }

    /// An attempt is given up, and its next hop cannot be told.
    pub fn runs_on(&mut self, now: Micros, id: AttemptId) {
        self.end(now, id, Ending::Cancelled, true, None);
    }

    /// An attempt that had ended here, and might still have been running, is over at its next hop too.
    fn surely_over(&mut self, id: AttemptId) {
        let entry = self.entries.get_mut(&id.request);
        let attempt = entry.and_then(|entry| entry.attempts.get_mut(id.number as usize));
        let Some(attempt) = attempt.filter(|attempt| attempt.loose) else { return };
        attempt.loose = false;
        log_line!(debug: request = id.request, attempt = id.number, hop = attempt.hop.0, "an attempt is surely over");
        let note = Note::Over;
        self.events.push_back(Event::Note { request: RequestId(id.request), attempt: id.number, note });
    }

    /// An attempt has ended without a result, as the next hop said on its connection.
    pub fn answered(&mut self, now: Micros, id: AttemptId, ending: Ending, report: Option<Report>) {
        self.end(now, id, ending, false, report);
    }

    /// A call-back about the request of this name from this next hop; tells whether it met an open attempt.
    pub fn news(
        &mut self,
        now: Micros,
        name: &str,
        hop: WorkerId,
        news: News,
        report: Option<Report>,
    ) -> bool {
        let Some(&number) = self.names.get(name) else { return false };
        let Some(entry) = self.entries.get(&number) else { return false };
        let here = |&nr: &usize| entry.attempts[nr].hop == hop;
        let Some(nr) = (0..entry.attempts.len()).rev().find(here) else { return false };
        let attempt = &entry.attempts[nr];
        // Before its last byte is written nothing can be known of an attempt: the news is of an older one.
        if attempt.ending.is_some() || attempt.written_at.is_none() {
            let ended = matches!(news, News::Served(_) | News::Over(_));
            if ended && attempt.ending.is_some() {
                self.surely_over(AttemptId { request: number, number: nr as u32 });
            }
            return false;
        }
        // The same news as ended an older attempt there, before the hop has taken this one: a repeat, whose
        // first answer was lost on the way.
        let repeats =
            |ending| entry.attempts[..nr].iter().any(|old| old.hop == hop && old.ended_by == Some(ending));
        let id = AttemptId { request: number, number: nr as u32 };
        match news {
            News::Note(Note::Progress(share)) if entry.hears != Hears::Nothing => {
                self.part(id, Part::Progress((share.clamp(0.0, 1.0) * 100.0) as u64, 100));
            }
            News::Note(note) => self.note(id, note),
            News::Served(result) => self.serve(now, id, result, report),
            News::Over(ending) if !attempt.taken && repeats(ending) => return false,
            News::Over(ending) => {
                if let Some(attempt) = self.attempt(id) {
                    attempt.ended_by = Some(ending);
                }
                self.end(now, id, ending, false, report);
            }
        }
        true
    }

    /// The time of an attempt is up; tells whether it was still out.
    pub fn time_up(&mut self, now: Micros, id: AttemptId) -> bool {
        let Some(attempt) = self.attempt(id) else { return false };
        let ending = if attempt.written_at.is_some() { Ending::TimedOut } else { Ending::Unreachable };
        self.give_up(now, id, ending);
        true
    }
}
