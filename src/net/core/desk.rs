//! The desk: the table of requests and their attempts. It turns facts into the module's events and the
//! module's actions into work. It knows no protocol and no sockets, so that all stand before the same decisions;
//! and it decides nothing itself.

use crate::log::note;
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

/// What a request came by, as whoever took it numbers that.
pub type ClientId = usize;

/// One attempt of one request, numbered as the module numbers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    pub request: u32,
    pub number: u32,
}

/// A request as a protocol hands it in; `P` is what that protocol needs to pass it on.
pub struct Job<P> {
    pub name: String,
    pub class: ClassIx,
    pub tenant: Option<TenantIx>,
    pub hint: Option<f64>,
    pub patience: Micros,
    /// Slots that it takes; `None`: as many as its class says.
    pub slots: Option<u32>,
    pub memory: f64,
    pub key: Option<u64>,
    pub retry: bool,
    /// What a next hop must be able to do for it.
    pub skill: u32,
    /// What its client is told before the end.
    pub hears: Hears,
    pub payload: P,
}

/// What a client is told of a request before the end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Hears {
    /// Nothing: its protocol has no words for it.
    #[default]
    Nothing,
    /// How far it is.
    Progress,
    /// All, parts of the result too. Once it has one, the request cannot be sent again.
    All,
}

/// What a next hop tells of an attempt on the way to its end.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// The job has started.
    Started,
    /// A part of the result.
    Data(Vec<u8>),
    /// The same, of a kind that worries.
    Warning(Vec<u8>),
    /// So much is done, of so much.
    Progress(u64, u64),
    /// Why it is about to fail. Told with the end, if that is a failure.
    Exception(Vec<u8>),
}

/// Why a request is not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unfit {
    /// One of this name is still open.
    Repeated,
    /// As many are open as may be.
    TooMany,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    Busy { come_back: Option<Micros> },
    Failed,
}

impl Answer {
    fn word(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Busy { .. } => "refused",
            Answer::Failed => "failed",
        }
    }
}

/// What is told of an attempt, apart from the connection that it went out on.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    Note(Note),
    Served(Vec<u8>),
    Over(Ending),
}

/// What is to be done.
#[derive(Debug, PartialEq)]
pub enum Work<P> {
    Relay {
        client: ClientId,
        part: Part,
    },
    Answer {
        client: ClientId,
        answer: Answer,
    },
    Send {
        attempt: AttemptId,
        hop: WorkerId,
        payload: P,
        wait: Micros,
    },
    /// An attempt was given up, and may be with its next hop. Who drives that tells when it has heard, with
    /// [`Desk::called_off`].
    GiveUp {
        attempt: AttemptId,
        hop: WorkerId,
        name: String,
    },
    Probe(WorkerId),
    Tell {
        to: Option<u32>,
        body: Vec<u8>,
    },
    FetchList,
    Watch(bool),
    CloseIdle(WorkerId),
}

struct Attempt {
    hop: WorkerId,
    sent: Micros,
    /// When its last byte was written: from then on it may have run.
    written_at: Option<Micros>,
    /// The next hop has said that it took the job.
    taken: bool,
    /// It is to be given up, but what the next hop makes of it is not known yet.
    unwanted: bool,
    /// The next hop is being told that it is given up.
    told_off: bool,
    over: bool,
    /// It is over for the module, and may still be running at its next hop.
    loose: bool,
    /// It was ended by news of this kind, which may yet be repeated.
    ended_by: Option<Ending>,
}

impl Attempt {
    fn new(hop: WorkerId, sent: Micros) -> Self {
        Attempt {
            hop,
            sent,
            written_at: None,
            taken: false,
            unwanted: false,
            told_off: false,
            over: false,
            loose: false,
            ended_by: None,
        }
    }
}

struct Entry<P> {
    name: String,
    client: ClientId,
    class: ClassIx,
    expires: Micros,
    payload: P,
    /// The final answer is given, or nobody waits for it any more.
    concluded: bool,
    hears: Hears,
    /// Its client has a part of the result: it is not sent again, and the module has done with it.
    streaming: bool,
    attempts: Vec<Attempt>,
}

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
    /// The program ends at this time: nobody is answered later.
    ends: Micros,
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

    /// A request that the other process of this scheduler has out at a next hop goes on here, and its client
    /// with it.
    pub fn adopt(
        &mut self,
        now: Micros,
        client: ClientId,
        job: Job<P>,
        (hop, sent): (WorkerId, Micros),
        deadlines: &mut Deadlines,
    ) {
        self.elsewhere.remove(&job.name);
        let number = self.enter(now, client, job, Some((hop, sent)));
        if let Some(entry) = self.entries.get_mut(&number) {
            deadlines.set(Due::Attempt(number, 0), entry.expires);
            entry.attempts.push(Attempt { written_at: Some(sent), taken: true, ..Attempt::new(hop, sent) });
        }
    }

    /// The requests that another process could answer in the place of this one: those of which nothing is open
    /// but the call-backs of the one next hop that took them. They are forgotten here. Gives for each its
    /// client, its hop, when it was sent there, when its client leaves, and what it is.
    pub fn bequeath(&mut self) -> Vec<(ClientId, WorkerId, Micros, Micros, P)> {
        let fit = |entry: &Entry<P>| match entry.attempts[..] {
            [Attempt { taken: true, over: false, .. }] => !entry.concluded,
            _ => false,
        };
        let numbers: Vec<u32> =
            self.entries.iter().filter(|(_, entry)| fit(entry)).map(|(&number, _)| number).collect();
        let mut left = Vec::new();
        for number in numbers {
            let Some(mut entry) = self.entries.remove(&number) else { continue };
            self.names.remove(&entry.name);
            self.clients.remove(&entry.client);
            if let Some(attempt) = entry.attempts.pop() {
                left.push((entry.client, attempt.hop, attempt.sent, entry.expires, entry.payload));
            }
        }
        left
    }

    fn enter(&mut self, now: Micros, client: ClientId, job: Job<P>, out: Option<(WorkerId, Micros)>) -> u32 {
        while self.entries.contains_key(&self.next_request) {
            self.next_request = self.next_request.wrapping_add(1);
        }
        let number = self.next_request;
        self.next_request = number.wrapping_add(1);
        let expires = now.saturating_add(job.patience).min(self.ends);
        self.names.insert(job.name.clone(), number);
        if let Some(turnover) = &mut self.turnover {
            turnover.push((job.name.clone(), true));
        }
        self.clients.insert(client, number);
        let entry = Entry {
            name: job.name,
            client,
            class: job.class,
            expires,
            payload: job.payload,
            concluded: false,
            hears: job.hears,
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
            expires,
            slots: job.slots.unwrap_or(self.slots[job.class.0]),
            memory: job.memory,
            key: job.key,
            retry: job.retry,
            skill: job.skill,
            out,
        }));
        number
    }

    /// The program ends at this time: for what comes in from now on there is no longer to wait, so that the
    /// module takes only what can be done by then.
    pub fn stop(&mut self, ends: Micros) {
        self.ends = ends;
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

    /// Whether an attempt whose connection has come up may still begin, and if not, what it ends with: its client may have
    /// left meanwhile or its time be over, or the module may no longer want it there.
    pub fn begins(&mut self, now: Micros, id: AttemptId) -> Result<(), Ending> {
        let entry = self.entries.get(&id.request).filter(|entry| !entry.concluded && now < entry.expires);
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
        note!(debug: request = id.request, attempt = id.number, hop = attempt.hop.0, "an attempt is surely over");
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
        if attempt.over || attempt.written_at.is_none() {
            let ended = matches!(news, News::Served(_) | News::Over(_));
            if ended && attempt.over {
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

    /// The time of an attempt is up; tells whether it was still out.
    pub fn time_up(&mut self, now: Micros, id: AttemptId) -> bool {
        let Some(attempt) = self.attempt(id) else { return false };
        let ending = if attempt.written_at.is_some() { Ending::TimedOut } else { Ending::Unreachable };
        self.give_up(now, id, ending);
        true
    }

    // ---- Two processes of one scheduler ----------------------------------------------------------

    /// Another process takes over: gives what the module has learned. From now on that one speaks for both.
    pub fn hand_over(&mut self) -> serde_json::Value {
        self.events.push_back(Event::Succeeded(true));
        self.dispatcher.knowledge()
    }

    /// The process that had taken over has gone.
    pub fn resume(&mut self) {
        self.events.push_back(Event::Succeeded(false));
    }

    /// What the module of the process before this one had learned.
    pub fn inherit(&mut self, knowledge: serde_json::Value) {
        self.events.push_back(Event::Handed(knowledge));
    }

    /// A request of this name is open here.
    pub fn knows(&self, name: &str) -> bool {
        self.names.contains_key(name)
    }

    /// The names of the requests that are open; from now on, who asks is told of each change.
    pub fn share(&mut self) -> Vec<String> {
        self.turnover.get_or_insert_default();
        self.names.keys().cloned().collect()
    }

    /// Names that were opened and closed since the last time.
    pub fn turnover(&mut self) -> Vec<(String, bool)> {
        self.turnover.as_mut().map(mem::take).unwrap_or_default()
    }

    /// A request of this name is open at the other process, or no longer.
    pub fn elsewhere(&mut self, name: String, open: bool) {
        if !open {
            self.elsewhere.remove(&name);
        } else if self.elsewhere.len() < ELSEWHERE {
            self.elsewhere.insert(name);
        }
    }

    /// Requests are open at the other process.
    pub fn any_elsewhere(&self) -> bool {
        !self.elsewhere.is_empty()
    }

    /// There is no other process any more.
    pub fn alone(&mut self) {
        self.elsewhere.clear();
        self.turnover = None;
    }

    /// So many requests may be open from now on.
    pub fn limit(&mut self, most_open: usize) {
        self.most_open = most_open;
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

    fn carry_out(&mut self, now: Micros, action: Action, deadlines: &mut Deadlines) {
        match action {
            Action::Send { request, worker, timeout } => self.send(now, request, worker, timeout, deadlines),
            Action::Refuse { request, come_back, why } => {
                note!(debug: request = request.0, ?why, "a request is refused");
                self.conclude(request.0, Answer::Busy { come_back });
            }
            Action::Fail(request) => self.conclude(request.0, Answer::Failed),
            Action::Cancel { request, attempt } => {
                let id = AttemptId { request: request.0, number: attempt };
                let concluded = self.entries.get(&id.request).is_none_or(|entry| entry.concluded);
                let (copies, takes) = (self.copies, self.takes);
                let Some(attempt) = self.attempt(id) else { return };
                let Some(written) = attempt.written_at else { return self.give_up(now, id, Ending::Moot) };
                if copies || concluded {
                    return self.give_up(now, id, Ending::Cancelled);
                }
                // It may run until its next hop has heard: the request may not go elsewhere before. One that may yet
                // take it must be told in words once it has: to end the connection says nothing then.
                attempt.unwanted = true;
                if attempt.taken || now >= written + takes {
                    self.tell_off(id);
                } else {
                    deadlines.set(Due::Unwanted(id.request, id.number), written + takes);
                }
            }
            Action::SetTimer { timer, after } => {
                self.next_timer += 1;
                deadlines.set(Due::Timer(timer.0, self.next_timer), now + after);
            }
            Action::Probe(hop) => {
                self.dispatcher.spent.probes += 1;
                self.work.push(Work::Probe(hop));
            }
            Action::Tell { to, body } => {
                self.dispatcher.spent.messages += 1;
                self.work.push(Work::Tell { to, body });
            }
            Action::FetchList => {
                self.dispatcher.spent.list_calls += 1;
                self.work.push(Work::FetchList);
            }
            Action::Subscribe(want) => {
                self.dispatcher.spent.list_calls += u64::from(want);
                self.work.push(Work::Watch(want));
            }
            Action::CloseIdle(hop) => self.work.push(Work::CloseIdle(hop)),
            Action::Log(text) => note!("module: {text}"),
        }
    }

    fn send(
        &mut self,
        now: Micros,
        request: RequestId,
        hop: WorkerId,
        timeout: Option<Micros>,
        deadlines: &mut Deadlines,
    ) {
        let Some(entry) = self.entries.get_mut(&request.0) else {
            return note!("the module sent request {}, which is closed", request.0);
        };
        let id = AttemptId { request: request.0, number: entry.attempts.len() as u32 };
        let ends = entry.expires.min(timeout.map_or(Micros::MAX, |span| now.saturating_add(span)));
        entry.attempts.push(Attempt::new(hop, now));
        // The client may have left, or its time may have run out, in the batch that the module answers here.
        if entry.concluded || ends <= now || id.number >= self.most_tries {
            return self.end(now, id, Ending::Moot, false, None);
        }
        deadlines.set(Due::Attempt(id.request, id.number), ends);
        note!(debug: request = id.request, attempt = id.number, hop = hop.0, "an attempt is sent");
        self.work.push(Work::Send { attempt: id, hop, payload: entry.payload.clone(), wait: ends - now });
    }

    fn attempt(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        let attempt = self.entries.get_mut(&id.request)?.attempts.get_mut(id.number as usize)?;
        (!attempt.over).then_some(attempt)
    }

    fn give_up(&mut self, now: Micros, id: AttemptId, ending: Ending) {
        self.tell_off(id);
        self.end(now, id, ending, !ending.never_ran(), None);
    }

    /// The next hop of an attempt is to be told that it is given up, once: a second word could be answered before the
    /// first, the end of the connection, has come there.
    fn tell_off(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempt(id).filter(|attempt| !attempt.told_off) else { return };
        attempt.told_off = true;
        let hop = attempt.hop;
        let name = self.entries.get(&id.request).map(|entry| entry.name.clone()).unwrap_or_default();
        self.work.push(Work::GiveUp { attempt: id, hop, name });
    }

    fn serve(&mut self, now: Micros, id: AttemptId, result: Vec<u8>, report: Option<Report>) {
        self.conclude(id.request, Answer::Served(result));
        self.end(now, id, Ending::Ok, false, report);
    }

    /// Ends an attempt, once; it may still be `running` at its next hop.
    fn end(&mut self, now: Micros, id: AttemptId, ending: Ending, running: bool, report: Option<Report>) {
        let Some(attempt) = self.attempt(id) else { return };
        (attempt.over, attempt.loose) = (true, running);
        let (worker, elapsed) = (attempt.hop, now.saturating_sub(attempt.sent));
        // What a client has a part of ends with the attempt that it came from: the module has done with it.
        if self.entries.get(&id.request).is_some_and(|entry| entry.streaming) {
            self.conclude(id.request, Answer::Failed);
        }
        let concluded = self.entries.get(&id.request).is_none_or(|entry| entry.concluded);
        note!(debug: request = id.request, attempt = id.number, hop = worker.0, ?ending, "an attempt has ended");
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

    /// Gives the final answer, once: whatever comes for a request that has one is passed over.
    fn conclude(&mut self, number: u32, answer: Answer) {
        let Some(entry) = self.entries.get_mut(&number) else { return };
        if entry.concluded {
            return;
        }
        entry.concluded = true;
        let tally = self.figures.of(entry.class);
        note!(debug: request = number, class = entry.class.0, answer = answer.word(), "a request is answered");
        match answer {
            Answer::Served(_) => tally.served += 1,
            Answer::Busy { .. } => tally.refused += 1,
            Answer::Failed => tally.failed += 1,
        }
        self.clients.remove(&entry.client);
        self.work.push(Work::Answer { client: entry.client, answer });
        self.closing.push(number);
    }

    /// A request's record goes once it is answered and its last attempt is over.
    fn forget(&mut self, number: u32) {
        let over = |entry: &Entry<P>| entry.concluded && entry.attempts.iter().all(|attempt| attempt.over);
        if self.entries.get(&number).is_some_and(over)
            && let Some(entry) = self.entries.remove(&number)
        {
            self.names.remove(&entry.name);
            if let Some(turnover) = &mut self.turnover {
                turnover.push((entry.name, false));
            }
        }
    }
}

#[cfg(test)]
mod tests;
