//! The loop of a control machine. Each turn takes what has come, and what is due, to the voter; what the voter wants said
//! goes out at the end of the turn, when it has written down what that rests on.

use super::Io;
use super::inbound::Inbound;
use super::learners::Learners;
use super::link::Link;
use crate::config::agreed::SharedSettingsCheck;
use crate::config::control::ControlConfig;
use crate::log::log_line;
use crate::net::core::clock::Clock;
use crate::net::core::deadlines::{ConnectionTimer, Deadline, Deadlines};
use calicolb::api::Micros;
use calicolb_agreed::store::FileStore;
use calicolb_agreed::{Change, Document, Outcome, Refused, Ticket, Voter};
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Registry, Token};
use signal_hook::consts::SIGTERM;
use signal_hook_mio::v1_0::Signals;
use std::io;

const LISTENER: Token = Token(0);
const SIGNALS: Token = Token(1);
const FIRST: usize = 15;
const MILLI: Micros = 1_000;
/// The voter counts time in these.
const TICK: Micros = 100 * MILLI;
/// A watch is told this often that there is nothing new.
const HEARTBEAT: Micros = 1_500 * MILLI;
/// Changes that may wait for a majority at once.
pub(super) const CHANGES: usize = 16;
/// A change that is not agreed by then is answered 503.
pub(super) const AGREE: Micros = 4_000 * MILLI;
/// How long answers that are owed may take after SIGTERM.
const LAST: Micros = 1_000 * MILLI;

/// A change that waits for a majority.
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    /// Who asked for it; nobody where it is the first settings.
    pub(super) token: Option<usize>,
    pub(super) until: Micros,
}

/// A control machine at work.
pub struct Machine {
    poll: Poll,
    registry: Registry,
    clock: Clock,
    signals: Signals,
    deadlines: Deadlines,
    tokens: usize,
    pub(super) inbound: Inbound,
    pub(super) learners: Learners,
    pub(super) links: Vec<Link>,
    pub(super) voter: Voter<FileStore>,
    pub(super) id: u64,
    name: String,
    pub(super) waiting: Vec<Waiting>,
    /// The settings to begin with, until there are any.
    first: Option<Document>,
    /// What learners were told last: the version, and whether there is a majority.
    pub(super) told: (u64, bool),
    /// Connections that may have more to accept.
    accepting: bool,
    /// When the voter was told of a tick last.
    ticked: Micros,
    pub(super) ending: bool,
}

impl Machine {
    /// Opens the store and the sockets.
    ///
    /// # Errors
    /// The address is taken, or the store cannot be read or written.
    pub fn new(config: ControlConfig) -> io::Result<Self> {
        let mut signals = Signals::new([SIGTERM])?;
        let poll = Poll::new()?;
        let registry = poll.registry().try_clone()?;
        registry.register(&mut signals, SIGNALS, Interest::READABLE)?;
        let mut listener = TcpListener::bind(config.listen)?;
        registry.register(&mut listener, LISTENER, Interest::READABLE)?;
        let at = listener.local_addr()?;
        let clock = Clock::new();
        let ticked = clock.now();
        let seed = ticked ^ config.id << 56;
        let others = config.machines.iter().enumerate().map(|(nr, &at)| (nr as u64 + 1, at));
        let others = others.filter(|(id, _)| *id != config.id);
        let links: Vec<Link> = others.map(|(id, at)| Link::new(config.id, id, at, seed)).collect();
        let voters: Vec<u64> = (1..=config.machines.len() as u64).collect();
        let store = FileStore::open(&config.store).map_err(io::Error::other)?;
        let voter = Voter::new(config.id, &voters, store, seed).map_err(io::Error::other)?;
        log_line!(
            "{} is control machine {} of {} and serves on {at}",
            config.name,
            config.id,
            config.machines.len()
        );
        Ok(Machine {
            poll,
            registry,
            signals,
            deadlines: Deadlines::default(),
            tokens: FIRST,
            inbound: Inbound::new(listener, config.max_learners),
            learners: Learners::new(2 * config.max_learners),
            links,
            voter,
            id: config.id,
            name: config.name,
            clock,
            waiting: Vec::new(),
            first: config.initial_settings,
            told: (0, false),
            accepting: false,
            ticked,
            ending: false,
        })
    }

    /// Serves until SIGTERM.
    ///
    /// # Errors
    /// The poll fails, or what the voter must not forget cannot be written.
    pub fn run(mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(1_024);
        let now = self.clock.now();
        self.deadlines.set(Deadline::ControlTick, now);
        self.deadlines.set(Deadline::Heartbeat, now + HEARTBEAT);
        loop {
            let now = self.clock.now();
            match self.poll.poll(&mut events, self.deadlines.poll_timeout(now)) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                other => other?,
            }
            let now = self.clock.now();
            for event in &events {
                self.ready(now, event.token());
            }
            while let Some(due) = self.deadlines.next_due(now) {
                if due == Deadline::DrainClients {
                    return Ok(());
                }
                self.due(now, due);
            }
            self.settle(now)?;
            if self.ending && self.waiting.is_empty() && !self.inbound.busy() {
                return Ok(());
            }
        }
    }

    pub(super) fn split(&mut self, now: Micros) -> (Io<'_>, &mut Inbound, &mut Vec<Link>) {
        let io =
            Io { registry: &self.registry, deadlines: &mut self.deadlines, tokens: &mut self.tokens, now };
        (io, &mut self.inbound, &mut self.links)
    }

    fn ready(&mut self, now: Micros, token: Token) {
        match token {
            SIGNALS => {
                if self.signals.pending().any(|signal| signal == SIGTERM) && !self.ending {
                    log_line!("{} ends: {} changes are open", self.name, self.waiting.len());
                    self.ending = true;
                    let (mut io, inbound, _) = self.split(now);
                    inbound.farewell(&mut io);
                    self.deadlines.set(Deadline::DrainClients, now + LAST);
                }
            }
            LISTENER => self.accept(now),
            Token(token) if self.inbound.has(token) => self.serve(now, token),
            Token(token) => {
                let (mut io, _, links) = self.split(now);
                if let Some(link) = links.iter_mut().find(|link| link.has(token)) {
                    link.pump(&mut io);
                }
            }
        }
    }

    fn accept(&mut self, now: Micros) {
        if self.ending {
            return;
        }
        let (mut io, inbound, _) = self.split(now);
        let (tokens, more) = inbound.accept(&mut io);
        self.accepting = more;
        tokens.into_iter().for_each(|token| self.serve(now, token));
    }

    fn due(&mut self, now: Micros, due: Deadline) {
        match due {
            Deadline::ControlTick => {
                // One that stood still does not make up for the ticks that it missed, but what it heard is older now.
                let missed = now.saturating_sub(self.ticked) / TICK;
                if missed > 1 {
                    self.voter.missed(missed - 1);
                }
                self.ticked = now;
                self.deadlines.set(Deadline::ControlTick, now + TICK);
                self.voter.tick();
                self.learners.forget(now);
                if self.accepting {
                    self.accept(now);
                }
            }
            Deadline::Heartbeat => {
                self.deadlines.set(Deadline::Heartbeat, now + HEARTBEAT);
                let line = if self.voter.has_majority() { b"\n".to_vec() } else { self.level_line() };
                for token in self.learners.tokens() {
                    self.tell(now, token, &line);
                }
            }
            Deadline::ControlLinkRetry(id) => {
                let (mut io, _, links) = self.split(now);
                if let Some(link) = links.iter_mut().find(|link| link.id == id) {
                    link.pump(&mut io);
                }
            }
            Deadline::Connection(token, alarm) => {
                let (mut io, inbound, links) = self.split(now);
                match links.iter_mut().find(|link| link.has(token)) {
                    Some(link) if alarm == ConnectionTimer::Timeout => link.late(&mut io),
                    Some(_) => {}
                    None => inbound.late(&mut io, token, alarm),
                }
                self.gone(now, token);
            }
            _ => {}
        }
    }

    /// Notes that a connection has gone, if it has.
    pub(super) fn gone(&mut self, now: Micros, token: usize) {
        if !self.inbound.has(token) {
            self.learners.end(now, token);
        }
    }

    /// Takes all that has come on a connection.
    fn serve(&mut self, now: Micros, token: usize) {
        loop {
            let (mut io, inbound, _) = self.split(now);
            let Some(request) = inbound.next(&mut io, token) else { break };
            self.request(now, token, &request);
        }
        self.gone(now, token);
    }

    /// The settings of the first version are proposed by the machine that leads, once there is one.
    fn begin(&mut self, now: Micros) {
        if self.voter.agreed().seq > 0 {
            self.first = None;
        }
        let proposed = self.waiting.iter().any(|waiting| waiting.token.is_none());
        if proposed || self.voter.leader() != Some(self.id) || !self.voter.has_majority() {
            return;
        }
        let Some(set) = self.first.clone() else { return };
        match self.voter.propose(Change { set, ..Change::default() }, &SharedSettingsCheck) {
            Ok(ticket) => {
                log_line!("there are no settings yet: those of the operator file are proposed");
                self.waiting.push(Waiting { ticket, token: None, until: now + AGREE });
            }
            Err(Refused::Faulty(fault)) => {
                log_line!(warn: "the first settings cannot be used: '{}' {}", fault.key, fault.why);
                self.first = None;
            }
            Err(_) => {}
        }
    }

    /// Ends a turn: what the voter wants said goes out, and what it has decided is told.
    fn settle(&mut self, now: Micros) -> io::Result<()> {
        self.begin(now);
        let mut settled: Vec<(Option<usize>, Option<Outcome>)> = Vec::new();
        for (ticket, outcome) in self.voter.settled(&SharedSettingsCheck) {
            if let Some(nr) = self.waiting.iter().position(|waiting| waiting.ticket == ticket) {
                settled.push((self.waiting.swap_remove(nr).token, Some(outcome)));
            }
        }
        let late = self.waiting.extract_if(.., |waiting| waiting.until <= now);
        settled.extend(late.map(|waiting| (waiting.token, None)));
        for (id, message) in self.voter.outgoing() {
            if let Some(link) = self.links.iter_mut().find(|link| link.id == id) {
                link.put(message);
            }
        }
        if self.voter.is_stopped() {
            return Err(io::Error::other("the store failed"));
        }
        let (mut io, _, links) = self.split(now);
        links.iter_mut().for_each(|link| link.pump(&mut io));
        self.tell_all(now);
        for (token, outcome) in settled {
            let Some(token) = token else { continue };
            self.settled(now, token, outcome);
            self.serve(now, token);
        }
        Ok(())
    }
}
