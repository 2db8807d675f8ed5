//! Schedulers: what a host does round a dispatcher, by the rules that the program's own host keeps. It turns what happens into
//! the module's events and the module's actions into work, and knows nothing of links or workers.

use crate::Micros;
use crate::discovery::Update;
use crate::learners::Study;
use crate::ledger::Ledger;
use calicolb::api::*;
use calicolb::rules::Dispatcher;
use calicolb_freshness::{Act, ListClock, MISSED, Mode};
use std::collections::{BTreeMap, VecDeque};
use std::mem;

/// A next hop that is well has taken a job by this time after its last byte was written: the program's own figure for the
/// plan's connections.
pub(crate) const SILENCE: Micros = 500_000;
/// The end of a connection has come to the other side by this time.
pub(crate) const ARRIVES: Micros = 200_000;
/// An idle connection is used again up to this time.
pub(crate) const REST: Micros = 9_700_000;

/// One attempt of one request of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub(crate) request: u32,
    pub(crate) number: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    Served,
    Refused,
    Failed,
}

/// What falls due at a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Due {
    Timer(TimerId),
    Attempt(AttemptId),
    Silent(AttemptId),
    Unwanted(AttemptId),
    CalledOff(AttemptId),
    Watch,
}

/// What is to be done.
pub(crate) enum Work {
    Answer { job: u32, answer: Answer },
    Send { id: AttemptId, worker: WorkerId },
    GiveUp { id: AttemptId, worker: WorkerId, taken: bool },
    Probe(WorkerId),
    Tell { to: Option<u32>, body: Vec<u8> },
    Watch(bool),
    FetchList,
    Due(Micros, Due),
}

struct Attempt {
    worker: WorkerId,
    sent: Micros,
    written: Option<Micros>,
    taken: bool,
    unwanted: bool,
    told_off: bool,
    over: bool,
    /// It is over for the module, and may still be running at its worker.
    loose: bool,
}

struct Entry {
    job: u32,
    expires: Micros,
    concluded: bool,
    attempts: Vec<Attempt>,
}

/// See the head of this file.
pub(crate) struct Process {
    pub(crate) rank: u32,
    pub(crate) zone: usize,
    /// It runs, and its machine can be reached.
    pub(crate) alive: bool,
    pub(crate) dispatcher: Dispatcher,
    entries: BTreeMap<u32, Entry>,
    next: u32,
    events: VecDeque<Event>,
    work: Vec<Work>,
    closing: Vec<u32>,
    tries: u32,
    copies: bool,
    clock: ListClock,
    /// When the list's clock is looked at next.
    armed: Option<Micros>,
    until: Option<Micros>,
    pub(crate) seq: u64,
    seq_at: Micros,
    /// The number of the call that its watch hangs on.
    pub(crate) watch: Option<u64>,
    /// Idle connections: since when, and to which process of the worker.
    pub(crate) idle: BTreeMap<WorkerId, Vec<(Micros, u32)>>,
    /// Attempts that went on at the process that took over.
    pub(crate) bequeathed: BTreeMap<AttemptId, (u32, AttemptId)>,
    /// Requests that came to the module of late, and whether they counted as within their tenant's share.
    pub(crate) counted: Vec<(u32, bool)>,
    /// How it learns the agreed configuration, where there is one.
    pub(crate) study: Option<Box<Study>>,
}

fn control(event: &Event) -> bool {
    matches!(
        event,
        Event::Members(..)
            | Event::Timer(_)
            | Event::ListUntil(_)
            | Event::ListMoved
            | Event::Peer { .. }
            | Event::Probed { .. }
            | Event::Handed(_)
            | Event::Succeeded(_)
            | Event::Settings(_)
    )
}

impl Process {
    pub(crate) fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        Process {
            rank: settings.rank,
            zone: settings.zone.0,
            alive: true,
            tries: settings.limits.tries,
            copies: settings.limits.copies,
            clock: ListClock::new(Mode::Asked, settings.rules.drain_grace, now),
            dispatcher: Dispatcher::new(settings, seed, now),
            entries: BTreeMap::new(),
            next: 0,
            events: VecDeque::new(),
            work: Vec::new(),
            closing: Vec::new(),
            armed: None,
            until: None,
            seq: 0,
            seq_at: now,
            watch: None,
            idle: BTreeMap::new(),
            bequeathed: BTreeMap::new(),
            counted: Vec::new(),
            study: None,
        }
    }

    // ---- Facts -----------------------------------------------------------------------------------

    /// A request has come in whole.
    pub(crate) fn arrive(&mut self, job: u32, mut arrival: Arrival) {
        arrival.request = RequestId(self.enter(job, arrival.expires));
        self.events.push_back(Event::Arrival(arrival));
    }

    fn enter(&mut self, job: u32, expires: Micros) -> u32 {
        let number = self.next;
        self.next += 1;
        self.entries.insert(number, Entry { job, expires, concluded: false, attempts: Vec::new() });
        number
    }

    /// A request that the process before this one has out goes on here.
    pub(crate) fn adopt(
        &mut self,
        job: u32,
        mut arrival: Arrival,
        worker: WorkerId,
        sent: Micros,
    ) -> AttemptId {
        let number = self.enter(job, arrival.expires);
        let id = AttemptId { request: number, number: 0 };
        arrival.request = RequestId(number);
        arrival.out = Some((worker, sent));
        self.work.push(Work::Due(arrival.expires, Due::Attempt(id)));
        if let Some(entry) = self.entries.get_mut(&number) {
            let taken = Attempt { written: Some(sent), taken: true, ..Attempt::new(worker, sent) };
            entry.attempts.push(taken);
        }
        self.events.push_back(Event::Arrival(arrival));
        id
    }

    /// The requests that the process that took over could answer in this one's place; they are forgotten here.
    pub(crate) fn bequeath(&mut self) -> Vec<(u32, AttemptId, WorkerId, Micros)> {
        let fit = |entry: &Entry| {
            !entry.concluded && matches!(entry.attempts[..], [Attempt { taken: true, over: false, .. }])
        };
        let numbers: Vec<u32> =
            self.entries.iter().filter(|(_, entry)| fit(entry)).map(|(&number, _)| number).collect();
        let left = numbers.into_iter().filter_map(|request| {
            let entry = self.entries.remove(&request)?;
            let attempt = entry.attempts.first()?;
            Some((entry.job, AttemptId { request, number: 0 }, attempt.worker, attempt.sent))
        });
        left.collect()
    }

    /// What an attempt is for.
    pub(crate) fn job(&self, id: AttemptId) -> Option<u32> {
        self.entries.get(&id.request).map(|entry| entry.job)
    }

    /// Requests that have no answer yet.
    pub(crate) fn open(&self) -> Vec<u32> {
        self.entries.values().filter(|entry| !entry.concluded).map(|entry| entry.job).collect()
    }

    /// A client has gone.
    pub(crate) fn leave(&mut self, job: u32) {
        let found = self.entries.iter_mut().find(|(_, entry)| entry.job == job && !entry.concluded);
        if let Some((&number, entry)) = found {
            entry.concluded = true;
            self.events.push_back(Event::Lapsed(RequestId(number)));
            self.closing.push(number);
        }
    }

    /// The connection of an attempt has come up: whether it may begin.
    pub(crate) fn begins(&mut self, now: Micros, id: AttemptId) -> bool {
        if self.attempt(id).is_none() {
            return false;
        }
        let open = self.entries.get(&id.request).is_some_and(|entry| !entry.concluded && now < entry.expires);
        if !open {
            self.end(now, id, Ending::Moot, false, None);
        } else if !self.dispatcher.may_begin(now, RequestId(id.request), id.number) {
            self.end(now, id, Ending::Unreachable, false, None);
        } else {
            return true;
        }
        false
    }

    /// The last byte of an attempt has been written.
    pub(crate) fn written(&mut self, now: Micros, id: AttemptId) {
        if let Some(attempt) = self.attempt(id) {
            attempt.written = Some(now);
            self.work.push(Work::Due(now + SILENCE, Due::Silent(id)));
        }
    }

    /// The worker has taken the job.
    pub(crate) fn taken(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempt(id) else { return };
        attempt.taken = true;
        if attempt.unwanted {
            self.tell_off(id);
        }
    }

    /// An attempt has ended, as its connection or the worker tells.
    pub(crate) fn over(&mut self, now: Micros, id: AttemptId, ending: Ending, report: Option<Report>) {
        if self.attempt(id).is_none() {
            return self.surely_over(id);
        }
        if ending == Ending::Ok {
            self.conclude(id.request, Answer::Served);
        }
        self.end(now, id, ending, false, report);
    }

    /// The worker has heard that an attempt is given up. One that has ended here already is over there too, if the worker
    /// had taken it.
    fn called_off(&mut self, now: Micros, id: AttemptId) {
        let entry = self.entries.get(&id.request);
        let attempt = entry.and_then(|entry| entry.attempts.get(id.number as usize));
        match attempt.filter(|attempt| attempt.loose && attempt.taken) {
            Some(_) => self.surely_over(id),
            None => self.end(now, id, Ending::Cancelled, false, None),
        }
    }

    /// An attempt that had ended here, and might still have been running, is over at its worker too.
    fn surely_over(&mut self, id: AttemptId) {
        let entry = self.entries.get_mut(&id.request);
        let attempt = entry.and_then(|entry| entry.attempts.get_mut(id.number as usize));
        let Some(attempt) = attempt.filter(|attempt| attempt.loose) else { return };
        attempt.loose = false;
        let note = Note::Over;
        self.events.push_back(Event::Note { request: RequestId(id.request), attempt: id.number, note });
    }

    /// The connection of an attempt has broken, or never came up.
    pub(crate) fn broke(&mut self, now: Micros, id: AttemptId) {
        let Some(attempt) = self.attempt(id).filter(|attempt| !attempt.taken) else { return };
        let ending = if attempt.written.is_some() { Ending::Broken } else { Ending::Unreachable };
        self.end(now, id, ending, ending == Ending::Broken, None);
    }

    pub(crate) fn note(&mut self, id: AttemptId, note: Note) {
        if self.attempt(id).is_some() {
            self.events.push_back(Event::Note { request: RequestId(id.request), attempt: id.number, note });
        }
    }

    pub(crate) fn probed(
        &mut self,
        worker: WorkerId,
        ending: Ending,
        elapsed: Micros,
        report: Option<Report>,
    ) {
        self.events.push_back(Event::Probed { worker, ending, elapsed, report });
    }

    pub(crate) fn peer(&mut self, from: u32, body: Vec<u8>) {
        self.events.push_back(Event::Peer { from, body });
    }

    /// Something has fallen due.
    pub(crate) fn due(&mut self, now: Micros, due: Due) {
        match due {
            Due::Timer(timer) => self.events.push_back(Event::Timer(timer)),
            Due::Attempt(id) => {
                let Some(attempt) = self.attempt(id) else { return };
                let ending = if attempt.written.is_some() { Ending::TimedOut } else { Ending::Unreachable };
                self.give_up(now, id, ending);
            }
            Due::Silent(id) => {
                if self.attempt(id).is_some_and(|attempt| !attempt.taken) {
                    self.note(id, Note::Silent);
                }
            }
            Due::Unwanted(id) => {
                if self.attempt(id).is_some_and(|attempt| attempt.unwanted && !attempt.taken) {
                    self.tell_off(id);
                }
            }
            Due::CalledOff(id) => self.called_off(now, id),
            Due::Watch => {
                if self.armed.is_some_and(|at| at > now) {
                    return;
                }
                self.armed = None;
                if self.clock.act(now) == Some(Act::Lose) {
                    self.watch = None;
                    self.events.push_back(Event::Members(ListKind::Lost, Vec::new()));
                }
                self.keep_time();
            }
        }
    }

    /// These settings come into force.
    pub(crate) fn renew(&mut self, settings: Settings) {
        self.events.push_back(Event::Settings(Box::new(settings)));
    }

    // ---- The list --------------------------------------------------------------------------------

    /// Begins with this copy of the list. `confirmed`: when discovery confirmed it last, if that is known.
    pub(crate) fn warm(&mut self, list: &Update, confirmed: Option<Micros>) {
        if let Some(at) = confirmed {
            self.clock.confirm(at);
        }
        self.seq = list.seq;
        self.events.push_back(Event::Members(ListKind::Saved, list.members.clone()));
        self.keep_time();
    }

    /// A call for a watch goes out, or the watch is ended.
    pub(crate) fn watches(&mut self, now: Micros, call: Option<u64>) {
        self.watch = call;
        if call.is_some() {
            self.clock.opened(now)
        } else {
            self.clock.closed(now)
        }
        self.keep_time();
    }

    /// The watch has brought something, an empty line perhaps.
    pub(crate) fn heard(&mut self, now: Micros, update: Option<&Update>) {
        self.clock.heard(now);
        if let Some(update) = update.filter(|update| update.seq >= self.seq || now >= self.seq_at + MISSED) {
            (self.seq, self.seq_at) = (update.seq, now);
            self.events.push_back(Event::Members(update.kind, update.members.clone()));
        }
        self.keep_time();
    }

    /// The watch, or the call for it, was refused or ended.
    pub(crate) fn unwatched(&mut self, now: Micros) {
        self.watch = None;
        self.clock.broke(now);
        self.keep_time();
        self.events.push_back(Event::Members(ListKind::Lost, Vec::new()));
    }

    fn keep_time(&mut self) {
        // One that is set for earlier looks again when it comes.
        if let Some(at) = self.clock.due()
            && self.armed.is_none_or(|set| at < set)
        {
            self.armed = Some(at);
            self.work.push(Work::Due(at, Due::Watch));
        }
        let until = self.clock.until();
        if until != self.until {
            self.until = until;
            self.events.push_back(Event::ListUntil(until));
        }
    }

    // ---- The process that takes over -------------------------------------------------------------

    /// Another process takes over: gives what this one has learned.
    pub(crate) fn hand_over(&mut self) -> serde_json::Value {
        self.events.push_back(Event::Succeeded(true));
        self.dispatcher.knowledge()
    }

    /// When discovery last confirmed its list.
    pub(crate) fn confirmed(&self) -> Option<Micros> {
        self.clock.confirmed()
    }

    /// Takes what the process before this one had learned.
    pub(crate) fn inherit(&mut self, knowledge: serde_json::Value, next: u32) {
        self.next = next;
        self.events.push_back(Event::Handed(knowledge));
    }

    pub(crate) fn next(&self) -> u32 {
        self.next
    }

    // ---- The module ------------------------------------------------------------------------------

    /// Events wait for the module, or work to be done.
    pub(crate) fn has_news(&self) -> bool {
        !self.events.is_empty() || !self.work.is_empty() || !self.closing.is_empty()
    }

    /// Hands all that was gathered to the module, and gives what is to be done.
    pub(crate) fn settle(&mut self, now: Micros, ledger: &mut Ledger) -> Vec<Work> {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let (rank, dispatcher) = (self.rank, &mut self.dispatcher);
            if control(&event) {
                ledger.timed(now, rank, || dispatcher.on_event(now, event, &mut actions));
            } else if let Event::Arrival(Arrival { request, tenant: Some(tenant), .. }) = event {
                let given = |of: &Dispatcher| of.counted(tenant).map_or(0, |counted| counted.1);
                let before = given(dispatcher);
                dispatcher.on_event(now, event, &mut actions);
                let within = given(dispatcher) > before;
                self.counted.extend(self.entries.get(&request.0).map(|entry| (entry.job, within)));
            } else {
                dispatcher.on_event(now, event, &mut actions);
            }
        }
        for action in actions {
            self.carry_out(now, action);
        }
        for number in mem::take(&mut self.closing) {
            let over = |entry: &Entry| entry.concluded && entry.attempts.iter().all(|attempt| attempt.over);
            if self.entries.get(&number).is_some_and(over) {
                self.entries.remove(&number);
            }
        }
        mem::take(&mut self.work)
    }

    fn carry_out(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { request, worker, timeout } => self.send(now, request.0, worker, timeout),
            Action::Refuse { request, .. } => self.conclude(request.0, Answer::Refused),
            Action::Fail(request) => self.conclude(request.0, Answer::Failed),
            Action::Cancel { request, attempt } => {
                let id = AttemptId { request: request.0, number: attempt };
                let concluded = self.entries.get(&id.request).is_none_or(|entry| entry.concluded);
                let copies = self.copies;
                let Some(attempt) = self.attempt(id) else { return };
                let Some(written) = attempt.written else { return self.give_up(now, id, Ending::Moot) };
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
            Action::Tell { to, body } => self.work.push(Work::Tell { to, body }),
            Action::FetchList => self.work.push(Work::FetchList),
            Action::Subscribe(want) => self.work.push(Work::Watch(want)),
            Action::CloseIdle(worker) => drop(self.idle.remove(&worker)),
            Action::Log(_) => {}
        }
    }

    fn send(&mut self, now: Micros, request: u32, worker: WorkerId, timeout: Option<Micros>) {
        let tries = self.tries;
        let Some(entry) = self.entries.get_mut(&request) else { return };
        let id = AttemptId { request, number: entry.attempts.len() as u32 };
        let ends = entry.expires.min(timeout.map_or(Micros::MAX, |span| now.saturating_add(span)));
        entry.attempts.push(Attempt::new(worker, now));
        if entry.concluded || ends <= now || id.number >= tries {
            return self.end(now, id, Ending::Moot, false, None);
        }
        self.work.push(Work::Due(ends, Due::Attempt(id)));
        self.work.push(Work::Send { id, worker });
    }

    fn attempt(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        let attempt = self.entries.get_mut(&id.request)?.attempts.get_mut(id.number as usize)?;
        (!attempt.over).then_some(attempt)
    }

    fn give_up(&mut self, now: Micros, id: AttemptId, ending: Ending) {
        self.tell_off(id);
        self.end(now, id, ending, !ending.never_ran(), None);
    }

    fn tell_off(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempt(id).filter(|attempt| !attempt.told_off) else { return };
        attempt.told_off = true;
        let (worker, taken) = (attempt.worker, attempt.taken);
        self.work.push(Work::GiveUp { id, worker, taken });
    }

    /// Ends an attempt, once; it may still be `running` at its worker.
    fn end(&mut self, now: Micros, id: AttemptId, ending: Ending, running: bool, report: Option<Report>) {
        let Some(attempt) = self.attempt(id) else { return };
        (attempt.over, attempt.loose) = (true, running);
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

    fn conclude(&mut self, number: u32, answer: Answer) {
        let Some(entry) = self.entries.get_mut(&number).filter(|entry| !entry.concluded) else { return };
        entry.concluded = true;
        self.work.push(Work::Answer { job: entry.job, answer });
        self.closing.push(number);
    }
}

impl Attempt {
    fn new(worker: WorkerId, sent: Micros) -> Self {
        Attempt {
            worker,
            sent,
            written: None,
            taken: false,
            unwanted: false,
            told_off: false,
            over: false,
            loose: false,
        }
    }
}
