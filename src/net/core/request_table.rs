//! The table of open requests and their attempts. It turns reports of protocols into events for the decision module,
//! and the module's actions into commands for the event loop. It depends on no protocol and on no sockets, so that
//! requests of all protocols are subject to the same decisions, and it makes no decisions itself.

use crate::log::log_line;
use crate::net::core::counters::Counters;
use crate::net::core::deadlines::{Deadline, Deadlines};
use crate::net::core::memory::MemoryAccount;
use crate::net::core::network_delay;
use crate::net::core::worker_registry::{WorkerRegistry, WorkerSource};
use calicolb::api::*;
use calicolb::rules::Dispatcher;
use calicolb::settings_update::{SettingsError, settings_key};
use ended_names::{EndedNames, EndedRequest, EndedState};
use std::collections::{HashMap, HashSet, VecDeque};
use std::mem;

/// Time after the end of an attempt until what is kept for it is released, as a multiple of the acceptance timeout.
const RELEASE_DELAY_FACTOR: Micros = 2;
/// Maximum number of names remembered as open at the other process of this scheduler.
const MAX_OPEN_ELSEWHERE: usize = 4096;

/// The open requests of one scheduler process, and the decision module. `P` is the type of the part of a request that
/// is sent to workers.
pub struct RequestTable<P> {
    dispatcher: Dispatcher,
    /// Slots that a job takes, by class.
    class_slots: Vec<u32>,
    /// Maximum number of open requests.
    max_open: usize,
    /// Account that the payloads of the requests are charged to.
    memory: MemoryAccount,
    /// Maximum number of attempts per request.
    max_attempts: u32,
    /// True if two attempts of a request may be in progress at once.
    allow_duplicates: bool,
    /// Maximum time from writing the last byte of an attempt until a healthy worker has accepted the job, in
    /// microseconds.
    acceptance_timeout: Micros,
    requests: HashMap<u32, Entry<P>>,
    /// Numbers of the open requests by name.
    by_name: HashMap<String, u32>,
    /// Requests that have ended while their workers may still report on them.
    recent_names: recent_names::RecentNames,
    /// Names of ended requests that may have run.
    ended_names: EndedNames,
    /// Numbers of the requests that have no final answer, by client.
    by_client: HashMap<ClientId, u32>,
    next_request: u32,
    /// Sequence number of the last timer that was set.
    last_timer: u64,
    /// Time at which the process ends; no answer is sent later. The limit applies to requests that arrive after
    /// SIGTERM. Once `open_requests_limited` is set, it also applies to requests that were open before.
    process_end: Micros,
    open_requests_limited: bool,
    /// Events that the decision module has not processed yet.
    events: VecDeque<Event>,
    /// Commands that the event loop has not carried out yet.
    commands: Vec<Command<P>>,
    /// Attempts that have ended in the current batch.
    ended_attempts: Vec<AttemptId>,
    /// Requests that may be removed once the decision module has processed the events of the current batch.
    removable: Vec<u32>,
    counters: Counters,
    /// Reports of an end that may have belonged to an earlier attempt at the same worker.
    unattributed_reports: u64,
    workers: WorkerRegistry,
    /// Names of requests that are open at the other process of this scheduler.
    open_elsewhere: HashSet<String>,
    /// Names of requests that were opened (`true`) or closed (`false`) here and of which the other process of this
    /// scheduler has not been notified yet; `None` while there is no other process.
    name_changes: Option<Vec<(String, bool)>>,
}

impl<P: Clone> RequestTable<P> {
    /// Creates an empty table with a decision module. `seed`: seed of the module's random choices; `max_open`: maximum
    /// number of open requests.
    pub fn new(settings: Settings, seed: u64, now: Micros, max_open: usize) -> Self {
        RequestTable {
            max_attempts: settings.limits.max_attempts,
            allow_duplicates: settings.limits.concurrent_attempts,
            acceptance_timeout: network_delay::acceptance_timeout(settings.limits.connect_timeout),
            class_slots: settings.classes.iter().map(|class| class.slots).collect(),
            counters: Counters::new(settings.classes.len()),
            unattributed_reports: 0,
            dispatcher: Dispatcher::new(settings, seed, now),
            workers: WorkerRegistry::default(),
            max_open,
            memory: MemoryAccount::new(usize::MAX),
            requests: HashMap::new(),
            by_name: HashMap::new(),
            recent_names: recent_names::RecentNames::default(),
            ended_names: EndedNames::default(),
            by_client: HashMap::new(),
            next_request: 0,
            last_timer: 0,
            process_end: Micros::MAX,
            open_requests_limited: false,
            events: VecDeque::new(),
            commands: Vec::new(),
            ended_attempts: Vec::new(),
            removable: Vec::new(),
            open_elsewhere: HashSet::new(),
            name_changes: None,
        }
    }

    /// Sets the account that protocols charge the payloads of their requests to. Requests are refused while it has no room
    /// for them.
    pub fn set_memory(&mut self, memory: MemoryAccount) {
        self.memory = memory;
    }

    // ---- Events from protocols -------------------------------------------------------------------

    /// Adds a request that was received completely, and returns its number.
    ///
    /// # Errors
    /// Fails if a request of the same name is open, here or at the other process of this scheduler, or may have run and must
    /// not run again, if the maximum number of requests is open, or if there is no memory for another payload.
    pub fn add_request(&mut self, now: Micros, client: ClientId, job: Job<P>) -> Result<u32, IntakeError> {
        if self.by_name.contains_key(&job.name) || self.open_elsewhere.contains(&job.name) {
            return Err(IntakeError::DuplicateName);
        }
        if self.may_run_twice(now, &job) {
            return Err(IntakeError::MayRunTwice);
        }
        if self.requests.len() >= self.max_open {
            self.counters.class_mut(job.class).refused += 1;
            return Err(IntakeError::TooManyOpen);
        }
        if !self.memory.admits_payload(job.payload_bytes) {
            self.counters.class_mut(job.class).refused += 1;
            return Err(IntakeError::OutOfMemory);
        }
        Ok(self.insert(now, client, job, None))
    }

    /// Returns true if an ended request of the same name may have run, or may still run, so that this one must not: by the
    /// effect of its class, and by whether two attempts may be in progress at once.
    fn may_run_twice(&self, now: Micros, job: &Job<P>) -> bool {
        let class = self.settings().classes.get(job.class.0);
        let is_safe = class.is_some_and(|class| class.effect == Effect::Safe);
        match self.ended_names.state(now, &job.name) {
            None => false,
            Some(EndedState::Over) => !is_safe,
            Some(EndedState::MayRun) => !is_safe || !self.allow_duplicates,
        }
    }

    /// Inserts a request and reports its arrival to the decision module. `history`: its previous attempts, if another
    /// process has worked on it.
    fn insert(
        &mut self,
        now: Micros,
        client: ClientId,
        job: Job<P>,
        history: Option<&RequestHistory>,
    ) -> u32 {
        while self.requests.contains_key(&self.next_request) {
            self.next_request = self.next_request.wrapping_add(1);
        }
        let number = self.next_request;
        self.next_request = number.wrapping_add(1);
        let expires = now.saturating_add(job.client_timeout);
        let answer_by = expires.min(self.process_end);
        self.by_name.insert(job.name.clone(), number);
        if let Some(name_changes) = &mut self.name_changes {
            name_changes.push((job.name.clone(), true));
        }
        self.by_client.insert(client, number);
        let class_effect =
            self.settings().classes.get(job.class.0).map(|class| class.effect).unwrap_or_default();
        let entry = Entry {
            earlier_attempts: self.recent_names.take(&job.name),
            name: job.name,
            client,
            class: job.class,
            arrived: now,
            expires,
            payload: job.payload,
            concluded: false,
            updates: job.updates,
            streaming: false,
            attempts: Vec::new(),
        };
        log_line!(debug: request = number, name = %entry.name, class = entry.class.0, expires = expires, "request arrived");
        self.requests.insert(number, entry);
        self.events.push_back(Event::Arrival(Arrival {
            request: RequestId(number),
            class: job.class,
            tenant: job.tenant,
            hint: job.hint,
            expires: answer_by,
            slots: job.slots.unwrap_or(self.class_slots[job.class.0]),
            memory: job.memory,
            key: job.key,
            retry: job.retry,
            skill: job.skill,
            transferred: history.map(|history| history.to_transferred(class_effect)),
        }));
        number
    }

    /// Reports that a client has left: its request gets no answer.
    pub fn client_left(&mut self, client: ClientId) {
        let Some(number) = self.by_client.remove(&client) else { return };
        if let Some(entry) = self.requests.get_mut(&number) {
            entry.concluded = true;
            self.events.push_back(Event::RequestAbandoned(RequestId(number)));
        }
        self.removable.push(number);
    }

    /// Sets which updates on its request a client receives from now on.
    pub fn subscribe_updates(&mut self, client: ClientId, updates: ClientUpdates) {
        if let Some(entry) = self.by_client.get(&client).and_then(|number| self.requests.get_mut(number)) {
            entry.updates = updates;
        }
    }

    /// Reports the end of a probe of a worker, `elapsed` microseconds after it was sent.
    pub fn probe_finished(
        &mut self,
        worker: WorkerId,
        ending: Ending,
        elapsed: Micros,
        report: Option<Report>,
    ) {
        self.events.push_back(Event::Probed { worker, ending, elapsed, report });
    }

    /// Applies a list of workers, or changes to it, from one source.
    pub fn update_workers(&mut self, source: WorkerSource, kind: ListKind, members: Vec<Member>) {
        let members = self.workers.merge(source, kind, members);
        self.events.push_back(Event::Members(kind, members));
    }

    /// Number of known workers.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Returns true if a source other than `source` added the worker of this number.
    pub fn belongs_to_other_source(&self, worker: WorkerId, source: WorkerSource) -> bool {
        self.workers.belongs_to_other_source(worker, source)
    }

    /// Reports that the worker list is available at another address.
    pub fn list_source_changed(&mut self) {
        self.events.push_back(Event::ListMoved);
    }

    /// Sets the time until which the worker list may be used; `None` as long as no change can have been missed.
    pub fn set_list_lease_end(&mut self, lease_end: Option<Micros>) {
        self.events.push_back(Event::ListLease(lease_end));
    }

    /// Passes on a message from the scheduler of rank `from`.
    pub fn peer_message(&mut self, from: u32, body: Vec<u8>) {
        self.events.push_back(Event::Peer { from, body });
    }

    /// Reports that a timer of the decision module has expired.
    pub fn timer_fired(&mut self, timer: u64) {
        self.events.push_back(Event::Timer(TimerId(timer)));
    }

    // ---- Settings --------------------------------------------------------------------------------

    /// The settings of the decision module that are in force.
    pub fn settings(&self) -> &Settings {
        self.dispatcher.settings()
    }

    /// Checks whether these settings can be applied now.
    ///
    /// # Errors
    /// Returns the settings key that prevents it.
    pub fn check_settings(&self, new: &Settings) -> Result<(), SettingsError> {
        self.dispatcher
            .check_settings(new)
            .map_err(|refused| SettingsError::new(settings_key(refused.field), refused.reason))
    }

    /// Applies settings that [`RequestTable::check_settings`] accepted. The module's actions are carried out after each
    /// batch of events, so no action that the module decided under the old settings is pending here.
    pub fn apply_settings(&mut self, now: Micros, settings: Settings, deadlines: &mut Deadlines) {
        let (limits, classes) = (&settings.limits, &settings.classes);
        (self.max_attempts, self.allow_duplicates) = (limits.max_attempts, limits.concurrent_attempts);
        self.acceptance_timeout = network_delay::acceptance_timeout(limits.connect_timeout);
        self.class_slots = classes.iter().map(|class| class.slots).collect();
        self.counters.resize(classes.len());
        let mut actions = Vec::new();
        self.dispatcher.on_event(now, Event::Settings(Box::new(settings)), &mut actions);
        for action in actions {
            self.execute_action(now, action, deadlines);
        }
    }

    // ---- Decision module -------------------------------------------------------------------------

    /// Passes all pending events to the decision module, and returns the commands to carry out.
    pub fn process_events(&mut self, now: Micros, deadlines: &mut Deadlines) -> Vec<Command<P>> {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.dispatcher.on_event(now, event, &mut actions);
        }
        for action in actions {
            self.execute_action(now, action, deadlines);
        }
        self.release_ended_attempts(now, deadlines);
        // Requests are removed only now. In response to an event that preceded the client's leaving, the module may
        // have sent an attempt. The module waits for the outcome of that attempt; without the outcome it would count
        // the attempt's lane as occupied forever.
        for number in mem::take(&mut self.removable) {
            self.remove_if_finished(now, number);
        }
        mem::take(&mut self.commands)
    }

    /// Moves the time limits of ended attempts forward: only the answer on an attempt's own connection may be outstanding,
    /// and a client may have stated a very long time.
    fn release_ended_attempts(&mut self, now: Micros, deadlines: &mut Deadlines) {
        let release_at = now + RELEASE_DELAY_FACTOR * self.acceptance_timeout;
        for AttemptId { request, number } in mem::take(&mut self.ended_attempts) {
            deadlines.advance(Deadline::AttemptTimeout(request, number), release_at);
        }
    }

    /// Returns true if events or commands are pending.
    pub fn has_pending(&self) -> bool {
        !self.events.is_empty() || !self.commands.is_empty()
    }

    /// Counters since the start of the process.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Number of reports of an end, since the start of the process, that may have belonged to an earlier attempt at the
    /// same worker.
    pub fn unattributed_reports(&self) -> u64 {
        self.unattributed_reports
    }

    /// Counters, since the start of the process, for the use of resources that all schedulers share. They have the
    /// names that operators see.
    pub fn shared_usage(&self) -> [(&'static str, u64); 6] {
        self.dispatcher.shared_spending.figures()
    }

    /// Numbers of requests without a result, by reason. The reasons have the names that operators see.
    pub fn rejections(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        self.dispatcher.rejections.figures()
    }

    /// Number of listed workers to which the decision module does not send at present.
    pub fn excluded_workers(&self, now: Micros) -> usize {
        self.dispatcher.avoided_worker_count(now)
    }

    /// Number of requests that have no final answer yet and whose client has not left.
    pub fn unanswered_requests(&self) -> usize {
        self.by_client.len()
    }
}

pub use end_of_process::{AttemptRecord, RequestHistory};
pub use ended_names::EndedName;
pub use request::*;

mod actions;
mod attempts;
mod attribution;
mod end_of_process;
mod ended_names;
mod recent_names;
mod request;
#[cfg(test)]
mod tests;
mod upgrade;
