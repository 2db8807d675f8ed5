//! The route set: discovery's list of next hops, fetched and watched. When to ask a service that all share is the module's
//! decision; an agent of the own machine is asked whenever the list's clock ([`calicolb_freshness`]) wants it. What comes
//! back, and that nothing did, is told to the module.

mod digest;
mod entry;
mod versions;
mod witnesses;

use self::entry::Line;
use crate::config::worker_list::ListUpdate;
use crate::log::log_line;
use crate::net::Ctx;
use crate::net::core::buffer::Buffer;
use crate::net::core::deadlines::Due;
use crate::net::core::roster::Source;
use crate::net::http::framing;
use crate::net::http::next_hop::NextHops;
use crate::net::platform::call::{Call, Heard, Word, fetched, watched};
use crate::net::protocol::Spare;
use calicolb::api::{ListKind, Micros, WorkerId};
use calicolb_freshness::witness::Inquiry;
use calicolb_freshness::{Act, ListClock, Mode, State, TURN};
use mio::net::TcpStream;
use mio::{Interest, Token};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Hops that are remembered at most: a list that names ever new ones must not fill the memory.
const HOPS_LIMIT: usize = 4096;

/// A process counts as ready so long after its start even if discovery has not spoken: one that is down for long must not
/// keep a fleet from starting.
const READY_PATIENCE: Micros = 3_000_000;

/// See the head of this file.
pub struct RouteSet {
    /// Where discovery is, if there is any.
    discovery: Option<SocketAddr>,
    /// How fresh the list is.
    clock: ListClock,
    seq: u64,
    listed: HashMap<WorkerId, Line>,
    fetch: Option<Call>,
    watch: Option<Call>,
    /// The watch before this one: it serves on until this one is open, so that no change falls in between.
    before: Option<Call>,
    /// What the module was last told of until when the list may be acted on.
    until: Option<Micros>,
    /// The list could be acted on when that was last looked at.
    in_force: bool,
    counters: Counters,
    /// What is asked of other schedulers while discovery does not speak.
    inquiry: Inquiry,
    /// The digest of the list, once it was needed.
    digest: Option<u64>,
}

/// What has happened to the list since the start of the process.
#[derive(Default)]
struct Counters {
    /// Calls for the list or for a watch.
    calls: u64,
    /// Calls and watches that were refused, reset, fell silent or could not be read.
    lost: u64,
    /// Versions that were taken in.
    versions: u64,
    /// Versions older than the known one, which were not taken in.
    outdated: u64,
    /// Answers of other schedulers that confirmed the list, and those that showed a newer one.
    vouched: u64,
    behind: u64,
}

impl RouteSet {
    /// The list of this discovery. `grace`: how long after it was told of a change a scheduler may go on as before.
    pub fn new(discovery: Option<SocketAddr>, asked: bool, grace: Micros, now: Micros) -> Self {
        let mode = match discovery {
            None => Mode::Fixed,
            Some(_) if asked => Mode::Asked,
            Some(_) => Mode::Pushed,
        };
        RouteSet {
            discovery,
            clock: ListClock::new(mode, grace, now),
            seq: 0,
            listed: HashMap::new(),
            fetch: None,
            watch: None,
            before: None,
            until: None,
            in_force: false,
            counters: Counters::default(),
            inquiry: Inquiry::default(),
            digest: None,
        }
    }

    /// Takes in the copy of the list that came with the configuration, or from the process before this one.
    /// `confirmed_ago`: how long before the start of this process discovery had confirmed it, if that is known.
    pub fn warm(
        &mut self,
        ctx: &mut Ctx<'_>,
        hops: &mut NextHops,
        known: Option<ListUpdate>,
        confirmed_ago: Option<Micros>,
    ) {
        // What an agent holds counts from the first moment of a process, whatever the one before it was told.
        if let Some(ago) = confirmed_ago.filter(|_| self.clock.mode() == Mode::Asked) {
            self.clock.confirm(self.clock.started().saturating_sub(ago));
        }
        let update = known.unwrap_or(ListUpdate { seq: 0, whole: true, hosts: Vec::new() });
        self.take(ctx, hops, update, ListKind::Saved);
        ctx.deadlines.set(Due::Ready, self.clock.started() + READY_PATIENCE);
        self.keep_time(ctx);
    }

    /// After it was told of a change a scheduler may go on as before for so long from now on.
    pub fn take_up(&mut self, ctx: &mut Ctx<'_>, grace: Micros) {
        if self.clock.set_grace(grace) {
            self.keep_time(ctx);
        }
    }

    /// How long ago the list was last confirmed, for another process to begin with.
    pub fn confirmed_ago(&self, now: Micros) -> Option<Micros> {
        self.clock.confirmed().map(|confirmed| now.saturating_sub(confirmed))
    }

    /// Clients may come: the list can be acted on, or has not been confirmed for so long that they are refused rather than
    /// kept waiting.
    pub fn serviceable(&self, now: Micros) -> bool {
        !self.stale(now) || now >= self.clock.started() + READY_PATIENCE
    }

    /// The state of the list for operators: by name and value.
    pub fn figures(&self, now: Micros) -> [(&'static str, u64); 9] {
        [
            ("list.version", self.seq),
            ("list.watch_open", u64::from(matches!(self.clock.state(), State::Told(_)))),
            ("list.stale", u64::from(self.stale(now))),
            ("list.calls", self.counters.calls),
            ("list.lost", self.counters.lost),
            ("list.versions_taken", self.counters.versions),
            ("list.versions_outdated", self.counters.outdated),
            ("list.vouched", self.counters.vouched),
            ("list.behind", self.counters.behind),
        ]
    }

    /// The list as it is known, for another process to begin with.
    pub fn list(&self) -> ListUpdate {
        let hosts = self.listed.values().filter_map(|line| serde_json::to_value(line).ok()).collect();
        ListUpdate { seq: self.seq, whole: true, hosts }
    }

    /// Asks for the whole list once.
    pub fn fetch(&mut self, ctx: &mut Ctx<'_>, spare: &mut dyn Spare) {
        // One that is under way brings the same.
        if self.fetch.is_none() {
            self.fetch = self.call(ctx, spare, "/discovery/hosts");
            if self.fetch.is_some() {
                ctx.deadlines.set(Due::Fetch, ctx.now + TURN);
            }
        }
    }

    /// Begins the watch, or ends it.
    pub fn watch(&mut self, ctx: &mut Ctx<'_>, spare: &mut dyn Spare, want: bool) {
        if let Some(call) = self.watch.take() {
            if want && call.open {
                self.leave_before(ctx);
                self.before = Some(call);
            } else {
                hang_up(ctx, call);
            }
        }
        if want {
            let target = format!("/discovery/hosts?watch=1&from={}", self.seq);
            self.clock.opened(ctx.now);
            self.watch = self.call(ctx, spare, &target);
            if self.watch.is_none() {
                self.clock.closed(ctx.now);
            }
        } else {
            self.leave_before(ctx);
            self.clock.closed(ctx.now);
        }
        self.keep_time(ctx);
    }

    /// Sees to it that the clock is looked at when it wants to be, and that the module knows until when the list holds.
    fn keep_time(&mut self, ctx: &mut Ctx<'_>) {
        match self.clock.due() {
            Some(due) => ctx.deadlines.set(Due::Watch, due),
            None => ctx.deadlines.clear(Due::Watch),
        }
        match self.inquiry.due(&self.clock) {
            Some(due) => ctx.deadlines.set(Due::Witness, due),
            None => ctx.deadlines.clear(Due::Witness),
        }
        let until = self.clock.until();
        if until != self.until {
            self.until = until;
            ctx.desk.list_until(until);
            match until {
                Some(until) if until > ctx.now => ctx.deadlines.set(Due::Stale, until),
                _ => ctx.deadlines.clear(Due::Stale),
            }
        }
        let in_force = !self.stale(ctx.now);
        if in_force && !self.in_force && self.discovery.is_some() {
            log_line!(seq = self.seq, "discovery: the list is confirmed");
        }
        self.in_force = in_force;
    }

    /// The list has not been confirmed for so long, or at all, that nothing new may be sent by it.
    fn stale(&self, now: Micros) -> bool {
        self.clock.until().is_some_and(|until| now >= until)
    }

    /// The list has grown too old to be acted on.
    pub fn expire(&mut self, now: Micros) {
        if self.stale(now) {
            self.in_force = false;
            log_line!(warn: seq = self.seq, "discovery: the list is too old: nothing new is sent until it is confirmed");
        }
    }

    fn leave_before(&mut self, ctx: &mut Ctx<'_>) {
        if let Some(call) = self.before.take() {
            hang_up(ctx, call);
        }
    }

    /// Discovery is at this address from now on; what to ask of it, and when, is the module's to say.
    pub fn move_to(&mut self, ctx: &mut Ctx<'_>, discovery: Option<SocketAddr>) {
        if self.discovery != discovery {
            self.discovery = discovery;
            self.clock.moved(ctx.now);
            ctx.desk.list_moved();
            self.keep_time(ctx);
        }
    }

    fn call(&mut self, ctx: &mut Ctx<'_>, spare: &mut dyn Spare, target: &str) -> Option<Call> {
        let discovery = self.discovery?;
        self.counters.calls += 1;
        log_line!(seq = self.seq, %discovery, target, "discovery: a call");
        let mut made = TcpStream::connect(discovery);
        // Out of descriptors, say: without the list nothing can be sent at all, so that clients at rest make room.
        if made.is_err() && spare.shed(ctx) {
            made = TcpStream::connect(discovery);
        }
        let token = ctx.next_token();
        if let Ok(stream) = &mut made
            && let Err(error) =
                ctx.registry.register(stream, Token(token), Interest::READABLE | Interest::WRITABLE)
        {
            made = Err(error);
        }
        match made {
            Ok(stream) => {
                let mut buffer = Buffer::default();
                buffer.put(&framing::write_request("GET", target, &[("Host", "discovery")], b""));
                Some(Call { token, stream, buffer, open: false, text: Vec::new() })
            }
            Err(error) => {
                log_line!("calling discovery: {error}");
                self.tell_lost(ctx);
                None
            }
        }
    }

    /// The connection is one of these.
    pub fn has(&self, token: usize) -> bool {
        [&self.fetch, &self.watch, &self.before].into_iter().flatten().any(|call| call.token == token)
    }

    /// Something can be read or written on one of these connections.
    pub fn ready(&mut self, ctx: &mut Ctx<'_>, hops: &mut NextHops, token: usize) {
        if self.fetch.as_ref().is_some_and(|call| call.token == token) {
            let Some(mut call) = self.fetch.take() else { return };
            match fetched(&mut call) {
                Ok(None) => self.fetch = Some(call),
                Ok(Some(update)) => {
                    hang_up(ctx, call);
                    ctx.deadlines.clear(Due::Fetch);
                    // A watch may have brought what is newer: then this list is one of the past, and tells nothing.
                    if self.update(ctx, hops, update).is_err() {
                        ctx.desk.members(Source::Listed, ListKind::Changes, Vec::new());
                    }
                }
                Err(why) => self.lose(ctx, call, Due::Fetch, why),
            }
        } else if self.watch.as_ref().is_some_and(|call| call.token == token) {
            self.watch_ready(ctx, hops);
        } else if let Some(mut call) = self.before.take_if(|call| call.token == token) {
            let mut updates = Vec::new();
            let Heard { end, .. } = watched(&mut call, &mut updates);
            let taken = updates.into_iter().try_for_each(|update| self.update(ctx, hops, update));
            if taken.is_ok() && end.is_none() {
                self.before = Some(call);
            } else {
                // Nothing to tell the module: the call that takes its place has an outcome of its own.
                hang_up(ctx, call);
            }
        }
    }

    /// The watch has brought something, or has ended.
    fn watch_ready(&mut self, ctx: &mut Ctx<'_>, hops: &mut NextHops) {
        let Some(mut call) = self.watch.take() else { return };
        // What lay unread while this process stood still may be of any time since, and confirms nothing now. The watch
        // counts as silent later in this turn.
        let overdue = self.clock.due().is_some_and(|due| due <= ctx.now);
        let mut updates = Vec::new();
        let Heard { word, end } = watched(&mut call, &mut updates);
        let taken = updates.into_iter().try_for_each(|update| self.update(ctx, hops, update));
        match word {
            Word::None => {}
            // An older list than the known one says nothing of that one.
            _ if taken.is_err() => {}
            _ if overdue => log_line!("discovery: what was not read for too long confirms nothing"),
            Word::Partial => self.clock.received(ctx.now),
            Word::Whole => {
                self.clock.heard(ctx.now);
                self.inquiry.rest();
            }
        }
        if let Some(why) = taken.err().or(end) {
            return self.lose(ctx, call, Due::Watch, why);
        }
        if call.open {
            self.leave_before(ctx);
        }
        self.watch = Some(call);
        self.keep_time(ctx);
    }

    /// Nothing has come for too long, or it is time for another call.
    pub fn late(&mut self, ctx: &mut Ctx<'_>, spare: &mut dyn Spare, due: Due) {
        if due == Due::Fetch {
            if let Some(call) = self.fetch.take() {
                self.lose(ctx, call, due, "nothing came for too long");
            }
            return;
        }
        match self.clock.act(ctx.now) {
            Some(Act::Open) => return self.watch(ctx, spare, true),
            Some(Act::Lose) => {
                if let Some(call) = self.watch.take() {
                    self.lose(ctx, call, due, "nothing came for too long");
                }
            }
            None => {}
        }
        self.keep_time(ctx);
    }

    fn lose(&mut self, ctx: &mut Ctx<'_>, call: Call, due: Due, why: &str) {
        self.counters.lost += 1;
        log_line!(seq = self.seq, "discovery: {why}");
        hang_up(ctx, call);
        if due == Due::Fetch {
            ctx.deadlines.clear(due);
        } else {
            self.clock.broke(ctx.now);
            self.keep_time(ctx);
        }
        self.tell_lost(ctx);
    }

    /// The module says when a service that all share is asked again. An agent is asked without it.
    fn tell_lost(&self, ctx: &mut Ctx<'_>) {
        if self.clock.mode() == Mode::Asked {
            ctx.desk.members(Source::Listed, ListKind::Lost, Vec::new());
        }
    }
}

fn hang_up(ctx: &mut Ctx<'_>, mut call: Call) {
    let _ = ctx.registry.deregister(&mut call.stream);
}
