//! Schedulers: what a host does round a dispatcher, by the rules that the program's own host keeps. It turns what happens into
//! the module's events and the module's actions into work, and knows nothing of links or workers.

use crate::Micros;
use crate::config_learner::ConfigLearner;
use crate::discovery::Update;
use crate::recorder::Recorder;
use calicolb::api::*;
use calicolb::rules::Dispatcher;
use calicolb_freshness::{ListLease, ListSource, MISSED_CHANGE_DELAY, WatchAction};
use std::collections::{BTreeMap, VecDeque};
use std::mem;

mod actions;
mod list;
mod process_end;

pub(crate) use process_end::TransferredJob;

/// A next hop that is well has taken a job by this time after its last byte was written: the program's own figure for the
/// plan's connections.
pub(crate) const ACCEPTANCE_TIMEOUT: Micros = 500_000;
/// The end of a connection has come to the other side by this time.
pub(crate) const MAX_TRANSIT_TIME: Micros = 200_000;
/// An idle connection is used again up to this time.
pub(crate) const MAX_IDLE_TIME: Micros = 9_700_000;

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
pub(crate) enum Deadline {
    DispatcherTimer(TimerId),
    AttemptTimeout(AttemptId),
    AcceptanceTimeout(AttemptId),
    CancelUnaccepted(AttemptId),
    CancelDelivered(AttemptId),
    DiscoveryWatch,
}

/// What is to be done.
pub(crate) enum Command {
    SendAnswer { job: u32, answer: Answer },
    SendAttempt { id: AttemptId, worker: WorkerId },
    Cancel { id: AttemptId, worker: WorkerId, accepted: bool },
    SendProbe(WorkerId),
    SendPeerMessage { to: Option<u32>, body: Vec<u8> },
    SetWatch(bool),
    FetchList,
    SetDeadline(Micros, Deadline),
}

struct Attempt {
    worker: WorkerId,
    sent: Micros,
    written: Option<Micros>,
    accepted: bool,
    cancel_requested: bool,
    cancel_sent: bool,
    /// How it ended, once it has.
    ending: Option<Ending>,
    /// It is over for the module, and may still be running at its worker.
    may_be_running: bool,
}

struct OpenRequest {
    job: u32,
    arrived: Micros,
    expires: Micros,
    answered: bool,
    attempts: Vec<Attempt>,
}

impl OpenRequest {
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
    requests: BTreeMap<u32, OpenRequest>,
    next_request: u32,
    events: VecDeque<Event>,
    commands: Vec<Command>,
    finished_candidates: Vec<u32>,
    max_attempts: u32,
    concurrent_attempts: bool,
    /// From SIGTERM on: the process ends at this time, and nobody is answered later.
    ends_at: Micros,
    /// That binds what was open before, too.
    end_announced: bool,
    list_lease: ListLease,
    /// When the list's clock is looked at next.
    list_timer_at: Option<Micros>,
    lease_end: Option<Micros>,
    pub(crate) list_version: u64,
    list_version_at: Micros,
    /// The number of the call that its watch hangs on.
    pub(crate) watch_call: Option<u64>,
    /// Idle connections: since when, and to which process of the worker.
    pub(crate) idle_connections: BTreeMap<WorkerId, Vec<(Micros, u32)>>,
    /// Attempts that went on at the process that took over.
    pub(crate) transferred_attempts: BTreeMap<AttemptId, (u32, AttemptId)>,
    /// Requests that came to the module of late, and whether they counted as within their tenant's share.
    pub(crate) quota_decisions: Vec<(u32, bool)>,
    /// How it learns the agreed configuration, where there is one.
    pub(crate) learner: Option<Box<ConfigLearner>>,
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
            max_attempts: settings.limits.max_attempts,
            concurrent_attempts: settings.limits.concurrent_attempts,
            ends_at: Micros::MAX,
            end_announced: false,
            list_lease: ListLease::new(ListSource::SharedService, settings.rules.drain_grace, now),
            dispatcher: Dispatcher::new(settings, seed, now),
            requests: BTreeMap::new(),
            next_request: 0,
            events: VecDeque::new(),
            commands: Vec::new(),
            finished_candidates: Vec::new(),
            list_timer_at: None,
            lease_end: None,
            list_version: 0,
            list_version_at: now,
            watch_call: None,
            idle_connections: BTreeMap::new(),
            transferred_attempts: BTreeMap::new(),
            quota_decisions: Vec::new(),
            learner: None,
        }
    }

    // ---- Facts -----------------------------------------------------------------------------------

    /// A request has come in whole.
    pub(crate) fn add_request(&mut self, now: Micros, job: u32, mut arrival: Arrival) {
        arrival.request = RequestId(self.insert_request(job, now, arrival.expires));
        arrival.expires = arrival.expires.min(self.ends_at);
        self.events.push_back(Event::Arrival(arrival));
    }

    fn insert_request(&mut self, job: u32, arrived: Micros, expires: Micros) -> u32 {
        let number = self.next_request;
        self.next_request += 1;
        self.requests
            .insert(number, OpenRequest { job, arrived, expires, answered: false, attempts: Vec::new() });
        number
    }

    /// What an attempt is for.
    pub(crate) fn job_of_attempt(&self, id: AttemptId) -> Option<u32> {
        self.requests.get(&id.request).map(|entry| entry.job)
    }

    /// Requests that have no answer yet.
    pub(crate) fn unanswered_jobs(&self) -> Vec<u32> {
        self.requests.values().filter(|entry| !entry.answered).map(|entry| entry.job).collect()
    }

    /// A client has gone.
    pub(crate) fn client_left(&mut self, job: u32) {
        let found = self.requests.iter_mut().find(|(_, entry)| entry.job == job && !entry.answered);
        if let Some((&number, entry)) = found {
            entry.answered = true;
            self.events.push_back(Event::RequestAbandoned(RequestId(number)));
            self.finished_candidates.push(number);
        }
    }

    /// The connection of an attempt has come up: whether it may begin.
    pub(crate) fn check_start(&mut self, now: Micros, id: AttemptId) -> bool {
        if self.running_attempt(id).is_none() {
            return false;
        }
        let last_answer = self.final_answer_at();
        let entry = self.requests.get(&id.request);
        let open = entry.is_some_and(|entry| !entry.answered && now < entry.answer_by(last_answer));
        if !open {
            self.end_attempt(now, id, Ending::NotSent, false, None);
        } else if !self.dispatcher.may_start_attempt(now, RequestId(id.request), id.number) {
            self.end_attempt(now, id, Ending::Unreachable, false, None);
        } else {
            return true;
        }
        false
    }

    /// The last byte of an attempt has been written.
    pub(crate) fn attempt_written(&mut self, now: Micros, id: AttemptId) {
        if let Some(attempt) = self.running_attempt(id) {
            attempt.written = Some(now);
            self.commands
                .push(Command::SetDeadline(now + ACCEPTANCE_TIMEOUT, Deadline::AcceptanceTimeout(id)));
        }
    }

    /// The worker has taken the job.
    pub(crate) fn attempt_accepted(&mut self, id: AttemptId) {
        let Some(attempt) = self.running_attempt(id) else { return };
        attempt.accepted = true;
        if attempt.cancel_requested {
            self.send_cancel(id);
        }
    }

    /// An attempt has ended, as its connection or the worker tells.
    pub(crate) fn attempt_ended(
        &mut self,
        now: Micros,
        id: AttemptId,
        ending: Ending,
        report: Option<Report>,
    ) {
        if self.running_attempt(id).is_none() {
            return self.confirm_ended(id);
        }
        if ending == Ending::Ok {
            self.answer_request(id.request, Answer::Served);
        }
        self.end_attempt(now, id, ending, false, report);
    }

    /// The worker has heard that an attempt is given up. One that has ended here already is over there too, if the worker
    /// had taken it.
    fn cancel_delivered(&mut self, now: Micros, id: AttemptId) {
        let entry = self.requests.get(&id.request);
        let attempt = entry.and_then(|entry| entry.attempts.get(id.number as usize));
        match attempt.filter(|attempt| attempt.may_be_running && attempt.accepted) {
            Some(_) => self.confirm_ended(id),
            None => self.end_attempt(now, id, Ending::Cancelled, false, None),
        }
    }

    /// An attempt that had ended here, and might still have been running, is over at its worker too.
    fn confirm_ended(&mut self, id: AttemptId) {
        let entry = self.requests.get_mut(&id.request);
        let attempt = entry.and_then(|entry| entry.attempts.get_mut(id.number as usize));
        let Some(attempt) = attempt.filter(|attempt| attempt.may_be_running) else { return };
        attempt.may_be_running = false;
        let note = AttemptNote::Over;
        self.events.push_back(Event::Note { request: RequestId(id.request), attempt: id.number, note });
    }

    /// The connection of an attempt has broken, or never came up.
    pub(crate) fn connection_failed(&mut self, now: Micros, id: AttemptId) {
        let Some(attempt) = self.running_attempt(id).filter(|attempt| !attempt.accepted) else { return };
        let ending = if attempt.written.is_some() { Ending::Broken } else { Ending::Unreachable };
        self.end_attempt(now, id, ending, ending == Ending::Broken, None);
    }

    pub(crate) fn attempt_note(&mut self, id: AttemptId, note: AttemptNote) {
        if self.running_attempt(id).is_some() {
            self.events.push_back(Event::Note { request: RequestId(id.request), attempt: id.number, note });
        }
    }

    pub(crate) fn probe_finished(
        &mut self,
        worker: WorkerId,
        ending: Ending,
        elapsed: Micros,
        report: Option<Report>,
    ) {
        self.events.push_back(Event::Probed { worker, ending, elapsed, report });
    }

    pub(crate) fn peer_message(&mut self, from: u32, body: Vec<u8>) {
        self.events.push_back(Event::Peer { from, body });
    }

    /// Something has fallen due.
    pub(crate) fn handle_deadline(&mut self, now: Micros, due: Deadline) {
        match due {
            Deadline::DispatcherTimer(timer) => self.events.push_back(Event::Timer(timer)),
            Deadline::AttemptTimeout(id) => {
                let Some(attempt) = self.running_attempt(id) else { return };
                let ending = if attempt.written.is_some() { Ending::TimedOut } else { Ending::Unreachable };
                self.abandon_attempt(now, id, ending);
            }
            Deadline::AcceptanceTimeout(id) => {
                if self.running_attempt(id).is_some_and(|attempt| !attempt.accepted) {
                    self.attempt_note(id, AttemptNote::Silent);
                }
            }
            Deadline::CancelUnaccepted(id) => {
                if self
                    .running_attempt(id)
                    .is_some_and(|attempt| attempt.cancel_requested && !attempt.accepted)
                {
                    self.send_cancel(id);
                }
            }
            Deadline::CancelDelivered(id) => self.cancel_delivered(now, id),
            Deadline::DiscoveryWatch => {
                if self.list_timer_at.is_some_and(|at| at > now) {
                    return;
                }
                self.list_timer_at = None;
                if self.list_lease.poll(now) == Some(WatchAction::GiveUp) {
                    self.watch_call = None;
                    self.events.push_back(Event::Members(ListKind::Lost, Vec::new()));
                }
                self.update_list_timer();
            }
        }
    }

    /// These settings come into force.
    pub(crate) fn update_settings(&mut self, settings: Settings) {
        self.events.push_back(Event::Settings(Box::new(settings)));
    }

    // ---- The module ------------------------------------------------------------------------------

    /// Events wait for the module, or work to be done.
    pub(crate) fn has_pending(&self) -> bool {
        !self.events.is_empty() || !self.commands.is_empty() || !self.finished_candidates.is_empty()
    }

    /// Hands all that was gathered to the module, and gives what is to be done.
    pub(crate) fn process_events(&mut self, now: Micros, ledger: &mut Recorder) -> Vec<Command> {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let (rank, dispatcher) = (self.rank, &mut self.dispatcher);
            if control(&event) {
                ledger.time_control_event(now, rank, || dispatcher.on_event(now, event, &mut actions));
            } else if let Event::Arrival(Arrival { request, tenant: Some(tenant), .. }) = event {
                let given = |of: &Dispatcher| of.quota_counts(tenant).map_or(0, |counted| counted.1);
                let before = given(dispatcher);
                dispatcher.on_event(now, event, &mut actions);
                let within = given(dispatcher) > before;
                self.quota_decisions.extend(self.requests.get(&request.0).map(|entry| (entry.job, within)));
            } else {
                dispatcher.on_event(now, event, &mut actions);
            }
        }
        for action in actions {
            self.apply_action(now, action);
        }
        for number in mem::take(&mut self.finished_candidates) {
            let over = |entry: &OpenRequest| {
                entry.answered && entry.attempts.iter().all(|attempt| attempt.ending.is_some())
            };
            if self.requests.get(&number).is_some_and(over) {
                self.requests.remove(&number);
            }
        }
        mem::take(&mut self.commands)
    }
}

impl Attempt {
    fn new(worker: WorkerId, sent: Micros) -> Self {
        Attempt {
            worker,
            sent,
            written: None,
            accepted: false,
            cancel_requested: false,
            cancel_sent: false,
            ending: None,
            may_be_running: false,
        }
    }
}
