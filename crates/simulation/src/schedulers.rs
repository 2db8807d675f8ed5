//! Schedulers: the host of a dispatcher (the decision module), which follows the same rules as the host in the program. The host
//! turns calls of the simulation into events of the decision module, and the module's actions into commands for the simulation.
//! The host has no access to links or workers.

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

/// Time within which a healthy worker has accepted a job, from the last byte of the job on. The program uses the same value for
/// connections like those of the simulation plan.
pub(crate) const ACCEPTANCE_TIMEOUT: Micros = 500_000;
/// Time within which the end of a connection reaches the other side.
pub(crate) const MAX_TRANSIT_TIME: Micros = 200_000;
/// Time up to which an idle connection is used again.
pub(crate) const MAX_IDLE_TIME: Micros = 9_700_000;

/// Id of an attempt within a scheduler process: the numbers of the request and of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub(crate) request: u32,
    pub(crate) number: u32,
}

/// Final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    Served,
    Refused,
    Failed,
}

/// A deadline of a scheduler process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Deadline {
    /// A timer that the decision module set.
    DispatcherTimer(TimerId),
    /// Time limit of an attempt.
    AttemptTimeout(AttemptId),
    /// Time limit for the acceptance of an attempt by the worker.
    AcceptanceTimeout(AttemptId),
    /// Time at which a cancelled attempt is cancelled at the worker even if it was not accepted.
    CancelUnaccepted(AttemptId),
    /// Time at which the worker's answer to a cancellation arrives.
    CancelConfirmed(AttemptId),
    /// Next deadline of the list lease.
    DiscoveryWatch,
}

/// A command of a scheduler process that the simulation executes.
pub(crate) enum Command {
    SendAnswer {
        job: u32,
        answer: Answer,
    },
    SendAttempt {
        id: AttemptId,
        worker: WorkerId,
    },
    Cancel {
        id: AttemptId,
        worker: WorkerId,
        accepted: bool,
    },
    SendProbe(WorkerId),
    /// Sends a message to the scheduler of rank `to`, or to all others if `to` is `None`.
    SendPeerMessage {
        to: Option<u32>,
        body: Vec<u8>,
    },
    /// Opens a watch of the list, or closes it if false.
    SetWatch(bool),
    FetchList,
    /// Calls [`Process::handle_deadline`] at this time.
    SetDeadline(Micros, Deadline),
}

/// An attempt of an open request.
struct Attempt {
    worker: WorkerId,
    sent: Micros,
    written: Option<Micros>,
    accepted: bool,
    cancel_requested: bool,
    cancel_sent: bool,
    /// How the attempt ended, once it has.
    ending: Option<Ending>,
    /// True if the attempt has ended for the decision module and may still be running at its worker.
    may_be_running: bool,
}

/// A request with its attempts. It is removed when it is answered and all attempts have ended.
struct OpenRequest {
    job: u32,
    arrived: Micros,
    expires: Micros,
    answered: bool,
    attempts: Vec<Attempt>,
}

impl OpenRequest {
    /// The time by which the request has its answer or its client has given up.
    fn answer_by(&self, final_answer_at: Micros) -> Micros {
        self.expires.min(final_answer_at)
    }
}

/// A scheduler process: a dispatcher and the state of its host.
pub(crate) struct Process {
    pub(crate) rank: u32,
    pub(crate) zone: usize,
    /// True while the process runs and its machine is reachable.
    pub(crate) alive: bool,
    pub(crate) dispatcher: Dispatcher,
    requests: BTreeMap<u32, OpenRequest>,
    next_request: u32,
    events: VecDeque<Event>,
    commands: Vec<Command>,
    /// Requests that may be finished; checked at the end of [`Process::process_events`].
    finished_candidates: Vec<u32>,
    max_attempts: u32,
    concurrent_attempts: bool,
    /// Time after which the process sends no answer, set at SIGTERM; unlimited before. The process ends by then.
    ends_at: Micros,
    /// True if the module has been notified of `ends_at`. From then on `ends_at` also limits the requests that were open at
    /// SIGTERM; before, a successor may continue them.
    end_announced: bool,
    list_lease: ListLease,
    /// Time of the next deadline of the list lease.
    list_timer_at: Option<Micros>,
    lease_end: Option<Micros>,
    pub(crate) list_version: u64,
    /// Time at which `list_version` was received.
    list_version_at: Micros,
    /// Number of the watch request that opened the current watch.
    pub(crate) watch_call: Option<u64>,
    /// Idle connections by worker, each with the time at which it became idle and the incarnation of the worker.
    pub(crate) idle_connections: BTreeMap<WorkerId, Vec<(Micros, u32)>>,
    /// Attempts that continue at the successor, with the process and the id of the attempt there.
    pub(crate) transferred_attempts: BTreeMap<AttemptId, (u32, AttemptId)>,
    /// Jobs that arrived since the simulation last took this list; true if the job counted as within its tenant's quota.
    pub(crate) quota_decisions: Vec<(u32, bool)>,
    /// Learner of the agreed settings, where there are control machines.
    pub(crate) learner: Option<Box<ConfigLearner>>,
}

/// True for events whose processor time counts as control.
fn is_control_event(event: &Event) -> bool {
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

    // ---- Input from the simulation -----------------------------------------------------------------------------

    /// Handles a request whose last byte has arrived.
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

    /// The job that an attempt belongs to.
    pub(crate) fn job_of_attempt(&self, id: AttemptId) -> Option<u32> {
        self.requests.get(&id.request).map(|entry| entry.job)
    }

    /// The jobs that have no answer yet.
    pub(crate) fn unanswered_jobs(&self) -> Vec<u32> {
        self.requests.values().filter(|entry| !entry.answered).map(|entry| entry.job).collect()
    }

    /// Handles the disconnect of the client of a job.
    pub(crate) fn client_left(&mut self, job: u32) {
        let found = self.requests.iter_mut().find(|(_, entry)| entry.job == job && !entry.answered);
        if let Some((&number, entry)) = found {
            entry.answered = true;
            self.events.push_back(Event::RequestAbandoned(RequestId(number)));
            self.finished_candidates.push(number);
        }
    }

    /// Called when the connection of an attempt is up. Returns whether the attempt may start.
    pub(crate) fn check_start(&mut self, now: Micros, id: AttemptId) -> bool {
        if self.running_attempt(id).is_none() {
            return false;
        }
        let final_answer_at = self.final_answer_at();
        let entry = self.requests.get(&id.request);
        let open = entry.is_some_and(|entry| !entry.answered && now < entry.answer_by(final_answer_at));
        if !open {
            self.end_attempt(now, id, Ending::NotSent, false, None);
        } else if !self.dispatcher.may_start_attempt(now, RequestId(id.request), id.number) {
            self.end_attempt(now, id, Ending::Unreachable, false, None);
        } else {
            return true;
        }
        false
    }

    /// Called when the last byte of an attempt has been written.
    pub(crate) fn attempt_written(&mut self, now: Micros, id: AttemptId) {
        if let Some(attempt) = self.running_attempt(id) {
            attempt.written = Some(now);
            self.commands
                .push(Command::SetDeadline(now + ACCEPTANCE_TIMEOUT, Deadline::AcceptanceTimeout(id)));
        }
    }

    /// Called when the worker has accepted the attempt.
    pub(crate) fn attempt_accepted(&mut self, id: AttemptId) {
        let Some(attempt) = self.running_attempt(id) else { return };
        attempt.accepted = true;
        if attempt.cancel_requested {
            self.send_cancel(id);
        }
    }

    /// Called when the connection or the worker reports the end of an attempt.
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

    /// Called when the worker has confirmed the cancellation of an attempt: the attempt has ended there.
    fn cancel_confirmed(&mut self, now: Micros, id: AttemptId) {
        self.confirm_ended(id);
        self.end_attempt(now, id, Ending::Cancelled, false, None);
    }

    /// True if an attempt ends only with the confirmation of its cancellation.
    pub(crate) fn awaits_cancel(&self, id: AttemptId) -> bool {
        let entry = self.requests.get(&id.request);
        let attempt = entry.and_then(|entry| entry.attempts.get(id.number as usize));
        attempt.is_some_and(|attempt| attempt.ending.is_none())
    }

    /// Notifies the module that an attempt has ended at its worker, if it had ended in the module and could still be running.
    fn confirm_ended(&mut self, id: AttemptId) {
        let entry = self.requests.get_mut(&id.request);
        let attempt = entry.and_then(|entry| entry.attempts.get_mut(id.number as usize));
        let Some(attempt) = attempt.filter(|attempt| attempt.may_be_running) else { return };
        attempt.may_be_running = false;
        let note = AttemptNote::Over;
        self.events.push_back(Event::Note { request: RequestId(id.request), attempt: id.number, note });
    }

    /// Called when the connection of an attempt has broken or could not be opened.
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

    /// Handles a deadline.
    pub(crate) fn handle_deadline(&mut self, now: Micros, deadline: Deadline) {
        match deadline {
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
            Deadline::CancelConfirmed(id) => self.cancel_confirmed(now, id),
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

    /// Puts new settings into force.
    pub(crate) fn update_settings(&mut self, settings: Settings) {
        self.events.push_back(Event::Settings(Box::new(settings)));
    }

    // ---- Decision module -------------------------------------------------------------------------

    /// True if events wait for the module or commands wait for their execution.
    pub(crate) fn has_pending(&self) -> bool {
        !self.events.is_empty() || !self.commands.is_empty() || !self.finished_candidates.is_empty()
    }

    /// Passes all queued events to the module and returns the commands that result.
    pub(crate) fn process_events(&mut self, now: Micros, recorder: &mut Recorder) -> Vec<Command> {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let (rank, dispatcher) = (self.rank, &mut self.dispatcher);
            if is_control_event(&event) {
                recorder.time_control_event(now, rank, || dispatcher.on_event(now, event, &mut actions));
            } else if let Event::Arrival(Arrival { request, tenant: Some(tenant), .. }) = event {
                let within_quota_count =
                    |of: &Dispatcher| of.quota_counts(tenant).map_or(0, |counted| counted.1);
                let before = within_quota_count(dispatcher);
                dispatcher.on_event(now, event, &mut actions);
                let within_quota = within_quota_count(dispatcher) > before;
                self.quota_decisions
                    .extend(self.requests.get(&request.0).map(|entry| (entry.job, within_quota)));
            } else {
                dispatcher.on_event(now, event, &mut actions);
            }
        }
        for action in actions {
            self.apply_action(now, action);
        }
        for number in mem::take(&mut self.finished_candidates) {
            let finished = |entry: &OpenRequest| {
                entry.answered && entry.attempts.iter().all(|attempt| attempt.ending.is_some())
            };
            if self.requests.get(&number).is_some_and(finished) {
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
