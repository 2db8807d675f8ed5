//! The desk: the table of requests and their attempts. It turns facts into the module's events and the
//! module's actions into work. It knows no protocol and no sockets, so that all stand before the same decisions;
//! and it decides nothing itself.

use crate::log::note;
use crate::net::core::counters::Counters;
use crate::net::core::deadlines::{Deadline, Deadlines};
use crate::net::core::network_delay;
use crate::net::core::worker_registry::{WorkerRegistry, WorkerSource};
use calicolb::api::*;
use calicolb::rules::Dispatcher;
use calicolb::settings_update::{SettingsError, settings_key};
use std::collections::{HashMap, HashSet, VecDeque};
use std::mem;

/// Names open elsewhere that are remembered at most.
const ELSEWHERE: usize = 4096;

/// See the head of this file.
pub struct RequestTable<P> {
    dispatcher: Dispatcher,
    /// Slots that a job takes by its class.
    slots: Vec<u32>,
    most_open: usize,
    most_tries: u32,
    /// Two attempts of a request may be out at once.
    copies: bool,
    /// A next hop that is well has taken a job by this time after its last byte was written.
    takes: Micros,
    entries: HashMap<u32, Entry<P>>,
    names: HashMap<String, u32>,
    clients: HashMap<ClientId, u32>,
    next_request: u32,
    next_timer: u64,
    /// The program ends at this time: nobody is answered later. It binds what comes in from SIGTERM on, and once `limited`
    /// what was open before.
    ends: Micros,
    limited: bool,
    events: VecDeque<Event>,
    work: Vec<Command<P>>,
    /// Requests whose records may go, once the module has answered the batch that says so.
    closing: Vec<u32>,
    figures: Counters,
    registry: WorkerRegistry,
    /// Names that are open at the other process of this scheduler.
    elsewhere: HashSet<String>,
    /// Names that were opened (`true`) and closed here, while there is somebody to be told.
    turnover: Option<Vec<(String, bool)>>,
}

impl<P: Clone> RequestTable<P> {
    pub fn new(settings: Settings, seed: u64, now: Micros, most_open: usize) -> Self {
        RequestTable {
            most_tries: settings.limits.max_attempts,
            copies: settings.limits.concurrent_attempts,
            takes: network_delay::acceptance_timeout(settings.limits.connect_timeout),
            slots: settings.classes.iter().map(|class| class.slots).collect(),
            figures: Counters::new(settings.classes.len()),
            dispatcher: Dispatcher::new(settings, seed, now),
            registry: WorkerRegistry::default(),
            most_open,
            entries: HashMap::new(),
            names: HashMap::new(),
            clients: HashMap::new(),
            next_request: 0,
            next_timer: 0,
            ends: Micros::MAX,
            limited: false,
            events: VecDeque::new(),
            work: Vec::new(),
            closing: Vec::new(),
            elsewhere: HashSet::new(),
            turnover: None,
        }
    }

    // ---- Facts -----------------------------------------------------------------------------------

    /// A request has come in whole. Gives its number.
    pub fn add_request(&mut self, now: Micros, client: ClientId, job: Job<P>) -> Result<u32, IntakeError> {
        if self.names.contains_key(&job.name) || self.elsewhere.contains(&job.name) {
            return Err(IntakeError::DuplicateName);
        }
        if self.entries.len() >= self.most_open {
            self.figures.class_mut(job.class).refused += 1;
            return Err(IntakeError::TooManyOpen);
        }
        Ok(self.enter(now, client, job, None))
    }

    fn enter(&mut self, now: Micros, client: ClientId, job: Job<P>, history: Option<&RequestHistory>) -> u32 {
        while self.entries.contains_key(&self.next_request) {
            self.next_request = self.next_request.wrapping_add(1);
        }
        let number = self.next_request;
        self.next_request = number.wrapping_add(1);
        let expires = now.saturating_add(job.client_timeout);
        let answer_by = expires.min(self.ends);
        self.names.insert(job.name.clone(), number);
        if let Some(turnover) = &mut self.turnover {
            turnover.push((job.name.clone(), true));
        }
        self.clients.insert(client, number);
        let of_class = self.settings().classes.get(job.class.0).map(|class| class.effect).unwrap_or_default();
        let entry = Entry {
            name: job.name,
            client,
            class: job.class,
            arrived: now,
            expires,
            payload: job.payload,
            concluded: false,
            hears: job.updates,
            streaming: false,
            attempts: Vec::new(),
        };
        note!(debug: request = number, name = %entry.name, class = entry.class.0, expires = expires, "a request arrives");
        self.entries.insert(number, entry);
        self.events.push_back(Event::Arrival(Arrival {
            request: RequestId(number),
            class: job.class,
            tenant: job.tenant,
            hint: job.hint,
            expires: answer_by,
            slots: job.slots.unwrap_or(self.slots[job.class.0]),
            memory: job.memory,
            key: job.key,
            retry: job.retry,
            skill: job.skill,
            transferred: history.map(|history| history.handed_on(of_class)),
        }));
        number
    }

    /// A client has gone; nothing is owed to it any more.
    pub fn client_left(&mut self, client: ClientId) {
        let Some(number) = self.clients.remove(&client) else { return };
        if let Some(entry) = self.entries.get_mut(&number) {
            entry.concluded = true;
            self.events.push_back(Event::RequestAbandoned(RequestId(number)));
        }
        self.closing.push(number);
    }

    /// A client is told more of its request from now on.
    pub fn subscribe_updates(&mut self, client: ClientId, hears: ClientUpdates) {
        if let Some(entry) = self.clients.get(&client).and_then(|number| self.entries.get_mut(number)) {
            entry.hears = hears;
        }
    }

    /// A probe has come back, or not.
    pub fn probe_finished(&mut self, hop: WorkerId, ending: Ending, elapsed: Micros, report: Option<Report>) {
        self.events.push_back(Event::Probed { worker: hop, ending, elapsed, report });
    }

    /// AttemptUpdate of the next hops, from one of those who name them.
    pub fn update_workers(&mut self, source: WorkerSource, kind: ListKind, members: Vec<Member>) {
        let members = self.registry.merge(source, kind, members);
        self.events.push_back(Event::Members(kind, members));
    }

    /// How many next hops are known.
    pub fn worker_count(&self) -> usize {
        self.registry.len()
    }

    /// A next hop of this number was named by somebody else.
    pub fn belongs_to_other_source(&self, hop: WorkerId, source: WorkerSource) -> bool {
        self.registry.belongs_to_other_source(hop, source)
    }

    /// The route set is to be had elsewhere.
    pub fn list_source_changed(&mut self) {
        self.events.push_back(Event::ListMoved);
    }

    /// Until when the route set may be acted on; `None` while nothing can have been missed of it.
    pub fn set_list_lease_end(&mut self, until: Option<Micros>) {
        self.events.push_back(Event::ListLease(until));
    }

    /// A message from another scheduler.
    pub fn peer_message(&mut self, from: u32, body: Vec<u8>) {
        self.events.push_back(Event::Peer { from, body });
    }

    /// A timer of the module is due.
    pub fn timer_fired(&mut self, timer: u64) {
        self.events.push_back(Event::Timer(TimerId(timer)));
    }

    // ---- Settings --------------------------------------------------------------------------------

    /// The module's settings in force.
    pub fn settings(&self) -> &Settings {
        self.dispatcher.settings()
    }

    /// Whether these could be taken up now.
    ///
    /// # Errors
    /// The field of the module's that stands in the way.
    pub fn check_settings(&self, new: &Settings) -> Result<(), SettingsError> {
        self.dispatcher
            .check_settings(new)
            .map_err(|refused| SettingsError::new(settings_key(refused.field), refused.reason))
    }

    /// Takes up settings that [`RequestTable::could_take`] let pass. No action of the module's waits between two batches, so what
    /// it decided by the old ones has been carried out by them.
    pub fn apply_settings(&mut self, now: Micros, settings: Settings, deadlines: &mut Deadlines) {
        let (limits, classes) = (&settings.limits, &settings.classes);
        (self.most_tries, self.copies) = (limits.max_attempts, limits.concurrent_attempts);
        self.takes = network_delay::acceptance_timeout(limits.connect_timeout);
        self.slots = classes.iter().map(|class| class.slots).collect();
        self.figures.resize(classes.len());
        let mut actions = Vec::new();
        self.dispatcher.on_event(now, Event::Settings(Box::new(settings)), &mut actions);
        for action in actions {
            self.carry_out(now, action, deadlines);
        }
    }

    // ---- The module ------------------------------------------------------------------------------

    /// Hands all that was gathered to the module, and gives what is to be done.
    pub fn process_events(&mut self, now: Micros, deadlines: &mut Deadlines) -> Vec<Command<P>> {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.dispatcher.on_event(now, event, &mut actions);
        }
        for action in actions {
            self.carry_out(now, action, deadlines);
        }
        // Not before: the module may have sent a request in answer to an event that came before its client
        // left, and waits for the outcome of that attempt, or would count its lane as taken for ever.
        for number in mem::take(&mut self.closing) {
            self.forget(number);
        }
        mem::take(&mut self.work)
    }

    /// Events wait for the module, or work of its to be carried out.
    pub fn has_pending(&self) -> bool {
        !self.events.is_empty() || !self.work.is_empty()
    }

    /// What was counted since the start.
    pub fn counters(&self) -> &Counters {
        &self.figures
    }

    /// What was spent since the start of what all schedulers share, by the names that operators see.
    pub fn shared_usage(&self) -> [(&'static str, u64); 6] {
        self.dispatcher.shared_spending.figures()
    }

    /// Why requests got no result, by the names that operators see.
    pub fn rejections(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        self.dispatcher.rejections.figures()
    }

    /// Listed next hops that the module does not send to at present.
    pub fn excluded_workers(&self, now: Micros) -> usize {
        self.dispatcher.avoided_worker_count(now)
    }

    /// Requests that are still owed an answer.
    pub fn unanswered_requests(&self) -> usize {
        self.clients.len()
    }
}

pub use end_of_process::{AttemptRecord, RequestHistory};
pub use request::*;

mod actions;
mod attempts;
mod end_of_process;
mod request;
#[cfg(test)]
mod tests;
mod upgrade;
