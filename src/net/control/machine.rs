//! The event loop of a control machine. Each iteration passes received messages and expired deadlines to the [`Voter`], the
//! machine's part in the agreement on settings. The messages that the voter wants to send are sent at the end of the iteration,
//! when the voter has stored the state that they depend on. Agreed versions are sent to the learners, which are the schedulers:
//! each has a watch, a connection that stays open for new versions.

use super::IoContext;
use super::inbound::InboundConnections;
use super::learners::Learners;
use super::link::Link;
use crate::config::agreed::SharedSettingsCheck;
use crate::config::control::ControlConfig;
use crate::log::log_line;
use crate::net::core::clock::Clock;
use crate::net::core::deadlines::{ConnectionTimer, Deadline, Deadlines};
use crate::net::core::input_queue::InputQueue;
use crate::net::core::iteration::{INPUT_TIME, MAX_MESSAGES_PER_TURN};
use calicolb::api::Micros;
use calicolb_consensus::store::FileStore;
use calicolb_consensus::{Change, Document, Outcome, ProposeError, Ticket, Voter};
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Registry, Token};
use signal_hook::consts::SIGTERM;
use signal_hook_mio::v1_0::Signals;
use std::io;
use std::time::{Duration, Instant};

const LISTENER: Token = Token(0);
const SIGNALS: Token = Token(1);
/// Tokens up to this number are reserved for the event loop itself. Connections get higher ones.
const LAST_RESERVED_TOKEN: usize = 15;
const MILLI: Micros = 1_000;
/// The interval of the voter's ticks. The voter reads no clock; it counts ticks.
const TICK_INTERVAL: Micros = 100 * MILLI;
/// The interval at which each watch gets a line that says that there is no newer version.
const HEARTBEAT_INTERVAL: Micros = 1_500 * MILLI;
/// The largest number of changes that wait for a majority at once.
pub(super) const MAX_PENDING_CHANGES: usize = 16;
/// The time after which a change request is answered with status 503 if the change is not agreed.
pub(super) const AGREEMENT_TIMEOUT: Micros = 4_000 * MILLI;
/// The time after SIGTERM at which the process exits even if changes are pending or responses unfinished.
const SHUTDOWN_TIMEOUT: Micros = 1_000 * MILLI;

/// A change that waits for a majority.
pub(super) struct PendingChange {
    pub(super) ticket: Ticket,
    /// The token of the connection that requested the change; `None` for the initial settings.
    pub(super) token: Option<usize>,
    pub(super) deadline: Micros,
}

/// A running control machine.
pub struct Machine {
    poll: Poll,
    registry: Registry,
    clock: Clock,
    signals: Signals,
    deadlines: Deadlines,
    /// Connections whose input waits to be processed.
    input_queue: InputQueue,
    last_token: usize,
    pub(super) inbound: InboundConnections,
    pub(super) learners: Learners,
    pub(super) links: Vec<Link>,
    pub(super) voter: Voter<FileStore>,
    pub(super) id: u64,
    name: String,
    pub(super) pending_changes: Vec<PendingChange>,
    /// The settings to propose as the first version, until a version is agreed.
    initial_settings: Option<Document>,
    /// The last announcement to the learners: the number of the version, and true if this machine had a majority.
    pub(super) last_announced: (u64, bool),
    /// True if the listener may have more connections to accept, which are then accepted at the next tick.
    accept_again: bool,
    /// The time of the voter's last tick.
    last_tick: Micros,
    pub(super) shutting_down: bool,
}

impl Machine {
    /// Opens the store and the listener.
    ///
    /// # Errors
    /// Returns an error if the address is in use, or if the store cannot be read or written.
    pub fn new(config: ControlConfig) -> io::Result<Self> {
        let mut signals = Signals::new([SIGTERM])?;
        let poll = Poll::new()?;
        let registry = poll.registry().try_clone()?;
        registry.register(&mut signals, SIGNALS, Interest::READABLE)?;
        let mut listener = TcpListener::bind(config.listen)?;
        registry.register(&mut listener, LISTENER, Interest::READABLE)?;
        let address = listener.local_addr()?;
        let clock = Clock::new();
        let last_tick = clock.now();
        let seed = last_tick ^ config.id << 56;
        let others = config.machines.iter().enumerate().map(|(index, &address)| (index as u64 + 1, address));
        let others = others.filter(|(id, _)| *id != config.id);
        let links: Vec<Link> = others.map(|(id, address)| Link::new(config.id, id, address, seed)).collect();
        let voters: Vec<u64> = (1..=config.machines.len() as u64).collect();
        let store = FileStore::open(&config.store).map_err(io::Error::other)?;
        let voter = Voter::new(config.id, &voters, store, seed).map_err(io::Error::other)?;
        log_line!(
            "{} is control machine {} of {} and serves on {address}",
            config.name,
            config.id,
            config.machines.len()
        );
        Ok(Machine {
            poll,
            registry,
            signals,
            deadlines: Deadlines::default(),
            input_queue: InputQueue::default(),
            last_token: LAST_RESERVED_TOKEN,
            inbound: InboundConnections::new(listener, config.max_learners),
            learners: Learners::new(2 * config.max_learners),
            links,
            voter,
            id: config.id,
            name: config.name,
            clock,
            pending_changes: Vec::new(),
            initial_settings: config.initial_settings,
            last_announced: (0, false),
            accept_again: false,
            last_tick,
            shutting_down: false,
        })
    }

    /// Serves until SIGTERM.
    ///
    /// # Errors
    /// Returns an error if polling fails or the voter cannot store its state.
    pub fn run(mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(1_024);
        let now = self.clock.now();
        self.deadlines.set(Deadline::ControlTick, now);
        self.deadlines.set(Deadline::Heartbeat, now + HEARTBEAT_INTERVAL);
        loop {
            let now = self.clock.now();
            let timeout = match self.input_queue.is_empty() {
                true => self.deadlines.poll_timeout(now),
                false => Some(Duration::ZERO),
            };
            match self.poll.poll(&mut events, timeout) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                other => other?,
            }
            let now = self.clock.now();
            for event in &events {
                self.handle_event(now, event.token());
            }
            self.process_input(now);
            while let Some(deadline) = self.deadlines.next_due(now) {
                // The end of SHUTDOWN_TIMEOUT.
                if deadline == Deadline::DrainClients {
                    return Ok(());
                }
                self.handle_deadline(now, deadline);
            }
            self.finish_iteration(now)?;
            if self.shutting_down && self.pending_changes.is_empty() && !self.inbound.is_busy() {
                return Ok(());
            }
        }
    }

    /// Borrows the parts of the machine separately, with the I/O context for its connections.
    pub(super) fn split_borrows(
        &mut self,
        now: Micros,
    ) -> (IoContext<'_>, &mut InboundConnections, &mut Vec<Link>) {
        let io = IoContext {
            registry: &self.registry,
            deadlines: &mut self.deadlines,
            last_token: &mut self.last_token,
            input_queue: &mut self.input_queue,
            now,
        };
        (io, &mut self.inbound, &mut self.links)
    }

    fn handle_event(&mut self, now: Micros, token: Token) {
        match token {
            SIGNALS => {
                if self.signals.pending().any(|signal| signal == SIGTERM) && !self.shutting_down {
                    log_line!(
                        "{} is shutting down after SIGTERM: {} changes are pending",
                        self.name,
                        self.pending_changes.len()
                    );
                    self.shutting_down = true;
                    let (mut io, inbound, _) = self.split_borrows(now);
                    inbound.begin_drain(&mut io);
                    self.deadlines.set(Deadline::DrainClients, now + SHUTDOWN_TIMEOUT);
                }
            }
            LISTENER => self.accept(now),
            Token(token) if self.inbound.owns(token) => self.input_queue.push_ready(token),
            Token(token) => {
                let (mut io, _, links) = self.split_borrows(now);
                if let Some(link) = links.iter_mut().find(|link| link.owns(token)) {
                    link.drive(&mut io);
                }
            }
        }
    }

    fn accept(&mut self, now: Micros) {
        if self.shutting_down {
            return;
        }
        let (mut io, inbound, _) = self.split_borrows(now);
        let (tokens, accept_again) = inbound.accept(&mut io);
        self.accept_again = accept_again;
        tokens.into_iter().for_each(|token| self.serve_requests(now, token));
    }

    fn handle_deadline(&mut self, now: Micros, deadline: Deadline) {
        match deadline {
            Deadline::ControlTick => {
                // Ticks that were due while the process was paused are not repeated. The voter is told their number, so that
                // it takes the messages received before the pause for that much older.
                let missed = now.saturating_sub(self.last_tick) / TICK_INTERVAL;
                if missed > 1 {
                    self.voter.skip_ticks(missed - 1);
                }
                self.last_tick = now;
                self.deadlines.set(Deadline::ControlTick, now + TICK_INTERVAL);
                self.voter.tick();
                self.learners.remove_expired(now);
                if self.accept_again {
                    self.accept(now);
                }
            }
            Deadline::Heartbeat => {
                self.deadlines.set(Deadline::Heartbeat, now + HEARTBEAT_INTERVAL);
                // With a majority, an empty line says that there is no newer version.
                let line = if self.voter.has_majority() { b"\n".to_vec() } else { self.unchanged_line() };
                for token in self.learners.watch_tokens() {
                    self.send_line(now, token, &line);
                }
            }
            Deadline::ControlLinkRetry(id) => {
                let (mut io, _, links) = self.split_borrows(now);
                if let Some(link) = links.iter_mut().find(|link| link.id == id) {
                    link.drive(&mut io);
                }
            }
            Deadline::Connection(token, timer) => {
                let (mut io, inbound, links) = self.split_borrows(now);
                match links.iter_mut().find(|link| link.owns(token)) {
                    Some(link) if timer == ConnectionTimer::Timeout => link.handle_timeout(&mut io),
                    Some(_) => {}
                    None => inbound.handle_timeout(&mut io, token, timer),
                }
                self.remove_watch_if_closed(now, token);
            }
            // The other deadlines are set only by schedulers.
            _ => {}
        }
    }

    /// Removes the watch of a connection that has been closed. Does nothing for an open connection.
    pub(super) fn remove_watch_if_closed(&mut self, now: Micros, token: usize) {
        if !self.inbound.owns(token) {
            self.learners.remove_watch(now, token);
        }
    }

    /// Gives each connection whose input waits a turn, until [`INPUT_TIME`] has passed.
    fn process_input(&mut self, now: Micros) {
        let started = Instant::now();
        for _ in 0..self.input_queue.len() {
            let Some(token) = self.input_queue.pop() else { return };
            self.serve_requests(now, token);
            if started.elapsed() > INPUT_TIME {
                return;
            }
        }
    }

    /// Handles the complete requests on a connection, for one turn.
    fn serve_requests(&mut self, now: Micros, token: usize) {
        for _ in 0..MAX_MESSAGES_PER_TURN {
            let (mut io, inbound, _) = self.split_borrows(now);
            let Some(request) = inbound.next_request(&mut io, token) else {
                return self.remove_watch_if_closed(now, token);
            };
            self.handle_request(now, token, &request);
        }
        self.input_queue.push_backlog(token);
        self.remove_watch_if_closed(now, token);
    }

    /// Proposes the initial settings as the first version, if none is agreed yet and this machine is the leader of a majority.
    fn propose_initial_settings(&mut self, now: Micros) {
        if self.voter.decided_version().seq > 0 {
            self.initial_settings = None;
        }
        let is_proposed = self.pending_changes.iter().any(|change| change.token.is_none());
        if is_proposed || self.voter.leader() != Some(self.id) || !self.voter.has_majority() {
            return;
        }
        let Some(set) = self.initial_settings.clone() else { return };
        match self.voter.propose(Change { set, ..Change::default() }, &SharedSettingsCheck) {
            Ok(ticket) => {
                log_line!(
                    "no version is agreed yet: proposing the initial settings that the operator file names"
                );
                self.pending_changes.push(PendingChange {
                    ticket,
                    token: None,
                    deadline: now + AGREEMENT_TIMEOUT,
                });
            }
            Err(ProposeError::Invalid(fault)) => {
                log_line!(
                    warn: "the initial settings that the operator file names are invalid: '{}' {}",
                    fault.key,
                    fault.reason
                );
                self.initial_settings = None;
            }
            // The settings are proposed again in the next iteration.
            Err(_) => {}
        }
    }

    /// Ends an iteration of the event loop: sends the voter's messages, announces new versions to the learners, and answers the
    /// changes whose outcome is known.
    ///
    /// # Errors
    /// Returns an error if the voter's store failed.
    fn finish_iteration(&mut self, now: Micros) -> io::Result<()> {
        self.propose_initial_settings(now);
        let mut outcomes: Vec<(Option<usize>, Option<Outcome>)> = Vec::new();
        for (ticket, outcome) in self.voter.take_outcomes(&SharedSettingsCheck) {
            if let Some(index) = self.pending_changes.iter().position(|change| change.ticket == ticket) {
                outcomes.push((self.pending_changes.swap_remove(index).token, Some(outcome)));
            }
        }
        let expired = self.pending_changes.extract_if(.., |change| change.deadline <= now);
        outcomes.extend(expired.map(|change| (change.token, None)));
        for (id, message) in self.voter.take_outgoing() {
            if let Some(link) = self.links.iter_mut().find(|link| link.id == id) {
                link.enqueue(message);
            }
        }
        if self.voter.is_stopped() {
            return Err(io::Error::other("the store of the agreed versions failed"));
        }
        let (mut io, _, links) = self.split_borrows(now);
        links.iter_mut().for_each(|link| link.drive(&mut io));
        self.announce_version(now);
        for (token, outcome) in outcomes {
            let Some(token) = token else { continue };
            self.respond_to_change(now, token, outcome);
            // The connection's next request may already have arrived.
            self.serve_requests(now, token);
        }
        Ok(())
    }
}
