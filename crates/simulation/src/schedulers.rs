//! Schedulers: what a host does round a dispatcher, by the rules that the program's own host keeps. It turns what happens into
//! the module's events and the module's actions into work, and knows nothing of links or workers.

use crate::Micros;
use crate::discovery::Update;
use crate::learners::Study;
use crate::recorder::Recorder;
use calicolb::api::*;
use calicolb::rules::Dispatcher;
use calicolb_freshness::{ListLease, ListSource, MISSED_CHANGE_DELAY, WatchAction};
use std::collections::{BTreeMap, VecDeque};
use std::mem;

mod actions;
mod end_of_process;
mod list;

pub(crate) use end_of_process::Moved;

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
    /// How it ended, once it has.
    ending: Option<Ending>,
    /// It is over for the module, and may still be running at its worker.
    loose: bool,
}

struct Entry {
    job: u32,
    arrived: Micros,
    expires: Micros,
    concluded: bool,
    attempts: Vec<Attempt>,
}

impl Entry {
    /// The time by which it has its answer, or has lost its client.
    fn answer_by(&self, last_answer: Micros) -> Micros {
        self.expires.min(last_answer)
    }
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
    /// From SIGTERM on: the process ends at this time, and nobody is answered later.
    ends: Micros,
    /// That binds what was open before, too.
    limited: bool,
    clock: ListLease,
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
    pub(crate) moved: BTreeMap<AttemptId, (u32, AttemptId)>,
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
            | Event::ListLease(_)
            | Event::ListMoved
            | Event::Peer { .. }
            | Event::Probed { .. }
            | Event::KnowledgeReceived(_)
            | Event::SuccessorActive(_)
            | Event::Settings(_)
    )
}

impl Process {
    pub(crate) fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        Process {
            rank: settings.rank,
            zone: settings.zone.0,
            alive: true,
            tries: settings.limits.max_attempts,
            copies: settings.limits.concurrent_attempts,
            ends: Micros::MAX,
            limited: false,
            clock: ListLease::new(ListSource::SharedService, settings.rules.drain_grace, now),
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
            moved: BTreeMap::new(),
            counted: Vec::new(),
            study: None,
        }
    }

    // ---- Facts -----------------------------------------------------------------------------------

    /// A request has come in whole.
    pub(crate) fn arrive(&mut self, now: Micros, job: u32, mut arrival: Arrival) {
        arrival.request = RequestId(self.enter(job, now, arrival.expires));
        arrival.expires = arrival.expires.min(self.ends);
        self.events.push_back(Event::Arrival(arrival));
    }

    fn enter(&mut self, job: u32, arrived: Micros, expires: Micros) -> u32 {
        let number = self.next;
        self.next += 1;
        self.entries.insert(number, Entry { job, arrived, expires, concluded: false, attempts: Vec::new() });
        number
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
            self.events.push_back(Event::RequestAbandoned(RequestId(number)));
            self.closing.push(number);
        }
    }

    /// The connection of an attempt has come up: whether it may begin.
    pub(crate) fn begins(&mut self, now: Micros, id: AttemptId) -> bool {
        if self.attempt(id).is_none() {
            return false;
        }
        let last_answer = self.last_answer();
        let entry = self.entries.get(&id.request);
        let open = entry.is_some_and(|entry| !entry.concluded && now < entry.answer_by(last_answer));
        if !open {
            self.end(now, id, Ending::NotSent, false, None);
        } else if !self.dispatcher.may_start_attempt(now, RequestId(id.request), id.number) {
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
        let note = AttemptNote::Over;
        self.events.push_back(Event::Note { request: RequestId(id.request), attempt: id.number, note });
    }

    /// The connection of an attempt has broken, or never came up.
    pub(crate) fn broke(&mut self, now: Micros, id: AttemptId) {
        let Some(attempt) = self.attempt(id).filter(|attempt| !attempt.taken) else { return };
        let ending = if attempt.written.is_some() { Ending::Broken } else { Ending::Unreachable };
        self.end(now, id, ending, ending == Ending::Broken, None);
    }

    pub(crate) fn note(&mut self, id: AttemptId, note: AttemptNote) {
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
                    self.note(id, AttemptNote::Silent);
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
                if self.clock.poll(now) == Some(WatchAction::GiveUp) {
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

    // ---- The module ------------------------------------------------------------------------------

    /// Events wait for the module, or work to be done.
    pub(crate) fn has_news(&self) -> bool {
        !self.events.is_empty() || !self.work.is_empty() || !self.closing.is_empty()
    }

    /// Hands all that was gathered to the module, and gives what is to be done.
    pub(crate) fn settle(&mut self, now: Micros, ledger: &mut Recorder) -> Vec<Work> {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let (rank, dispatcher) = (self.rank, &mut self.dispatcher);
            if control(&event) {
                ledger.timed(now, rank, || dispatcher.on_event(now, event, &mut actions));
            } else if let Event::Arrival(Arrival { request, tenant: Some(tenant), .. }) = event {
                let given = |of: &Dispatcher| of.quota_counts(tenant).map_or(0, |counted| counted.1);
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
            let over = |entry: &Entry| {
                entry.concluded && entry.attempts.iter().all(|attempt| attempt.ending.is_some())
            };
            if self.entries.get(&number).is_some_and(over) {
                self.entries.remove(&number);
            }
        }
        mem::take(&mut self.work)
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
            ending: None,
            loose: false,
        }
    }
}
