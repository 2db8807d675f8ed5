//! The desk: the table of requests and their attempts. It turns facts into the module's events and the
//! module's actions into work. It knows no protocol and no sockets, so that all stand before the same decisions;
//! and it decides nothing itself.

use crate::log::log_line;
use crate::net::core::deadlines::{Deadlines, Due};
use crate::net::core::figures::Figures;
use crate::net::core::journey;
use crate::net::core::roster::{Roster, Source};
use calicolb::api::*;
use calicolb::renewal::{Fault, key_of};
use calicolb::rules::Dispatcher;
use std::collections::{HashMap, HashSet, VecDeque};
use std::mem;

/// Names open elsewhere that are remembered at most.
const ELSEWHERE: usize = 4096;

/// See the head of this file.
pub struct Desk<P> {
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
    work: Vec<Work<P>>,
    /// Requests whose records may go, once the module has answered the batch that says so.
    closing: Vec<u32>,
    figures: Figures,
    roster: Roster,
    /// Names that are open at the other process of this scheduler.
    elsewhere: HashSet<String>,
    /// Names that were opened (`true`) and closed here, while there is somebody to be told.
    turnover: Option<Vec<(String, bool)>>,
}

impl<P: Clone> Desk<P> {
    pub fn new(settings: Settings, seed: u64, now: Micros, most_open: usize) -> Self {
        Desk {
            most_tries: settings.limits.tries,
            copies: settings.limits.copies,
            takes: journey::silence(settings.limits.connect_timeout),
            slots: settings.classes.iter().map(|class| class.slots).collect(),
            figures: Figures::new(settings.classes.len()),
            dispatcher: Dispatcher::new(settings, seed, now),
            roster: Roster::default(),
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
    pub fn arrive(&mut self, now: Micros, client: ClientId, job: Job<P>) -> Result<u32, Unfit> {
        if self.names.contains_key(&job.name) || self.elsewhere.contains(&job.name) {
            return Err(Unfit::Repeated);
        }
        if self.entries.len() >= self.most_open {
            self.figures.of(job.class).refused += 1;
            return Err(Unfit::TooMany);
        }
        Ok(self.enter(now, client, job, None))
    }

    fn enter(&mut self, now: Micros, client: ClientId, job: Job<P>, history: Option<&History>) -> u32 {
        while self.entries.contains_key(&self.next_request) {
            self.next_request = self.next_request.wrapping_add(1);
        }
        let number = self.next_request;
        self.next_request = number.wrapping_add(1);
        let expires = now.saturating_add(job.patience);
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
            hears: job.hears,
            streaming: false,
            attempts: Vec::new(),
        };
        log_line!(debug: request = number, name = %entry.name, class = entry.class.0, expires = expires, "a request arrives");
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
            handed_on: history.map(|history| history.handed_on(of_class)),
        }));
        number
    }

    /// A client has gone; nothing is owed to it any more.
    pub fn leave(&mut self, client: ClientId) {
        let Some(number) = self.clients.remove(&client) else { return };
        if let Some(entry) = self.entries.get_mut(&number) {
            entry.concluded = true;
            self.events.push_back(Event::Lapsed(RequestId(number)));
        }
        self.closing.push(number);
    }

    /// A client is told more of its request from now on.
    pub fn hear(&mut self, client: ClientId, hears: Hears) {
        if let Some(entry) = self.clients.get(&client).and_then(|number| self.entries.get_mut(number)) {
            entry.hears = hears;
        }
    }

    /// A probe has come back, or not.
    pub fn probed(&mut self, hop: WorkerId, ending: Ending, elapsed: Micros, report: Option<Report>) {
        self.events.push_back(Event::Probed { worker: hop, ending, elapsed, report });
    }

    /// News of the next hops, from one of those who name them.
    pub fn members(&mut self, source: Source, kind: ListKind, members: Vec<Member>) {
        let members = self.roster.merge(source, kind, members);
        self.events.push_back(Event::Members(kind, members));
    }

    /// How many next hops are known.
    pub fn known(&self) -> usize {
        self.roster.known()
    }

    /// A next hop of this number was named by somebody else.
    pub fn foreign(&self, hop: WorkerId, source: Source) -> bool {
        self.roster.foreign(hop, source)
    }

    /// The route set is to be had elsewhere.
    pub fn list_moved(&mut self) {
        self.events.push_back(Event::ListMoved);
    }

    /// Until when the route set may be acted on; `None` while nothing can have been missed of it.
    pub fn list_until(&mut self, until: Option<Micros>) {
        self.events.push_back(Event::ListUntil(until));
    }

    /// A message from another scheduler.
    pub fn peer(&mut self, from: u32, body: Vec<u8>) {
        self.events.push_back(Event::Peer { from, body });
    }

    /// A timer of the module is due.
    pub fn timer(&mut self, timer: u64) {
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
    pub fn could_take(&self, new: &Settings) -> Result<(), Fault> {
        self.dispatcher.could_take(new).map_err(|refused| Fault::new(key_of(refused.field), refused.why))
    }

    /// Takes up settings that [`Desk::could_take`] let pass. No action of the module's waits between two batches, so what
    /// it decided by the old ones has been carried out by them.
    pub fn take_up(&mut self, now: Micros, settings: Settings, deadlines: &mut Deadlines) {
        let (limits, classes) = (&settings.limits, &settings.classes);
        (self.most_tries, self.copies) = (limits.tries, limits.copies);
        self.takes = journey::silence(limits.connect_timeout);
        self.slots = classes.iter().map(|class| class.slots).collect();
        self.figures.grow(classes.len());
        let mut actions = Vec::new();
        self.dispatcher.on_event(now, Event::Settings(Box::new(settings)), &mut actions);
        for action in actions {
            self.carry_out(now, action, deadlines);
        }
    }

    // ---- The module ------------------------------------------------------------------------------

    /// Hands all that was gathered to the module, and gives what is to be done.
    pub fn settle(&mut self, now: Micros, deadlines: &mut Deadlines) -> Vec<Work<P>> {
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
    pub fn has_news(&self) -> bool {
        !self.events.is_empty() || !self.work.is_empty()
    }

    /// What was counted since the start.
    pub fn figures(&self) -> &Figures {
        &self.figures
    }

    /// What was spent since the start of what all schedulers share, by the names that operators see.
    pub fn spent(&self) -> [(&'static str, u64); 6] {
        self.dispatcher.spent.figures()
    }

    /// Why requests got no result, by the names that operators see.
    pub fn rejections(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        self.dispatcher.rejections.figures()
    }

    /// Listed next hops that the module does not send to at present.
    pub fn avoided(&self, now: Micros) -> usize {
        self.dispatcher.avoided(now)
    }

    /// Requests that are still owed an answer.
    pub fn owed(&self) -> usize {
        self.clients.len()
    }
}

pub use end_of_process::{History, PastSend};
pub use request::*;

mod actions;
mod attempts;
mod end_of_process;
mod request;
#[cfg(test)]
mod tests;
mod upgrade;
