//! The event loop of a scheduler. Each iteration gathers the ready connections and the due deadlines, passes the
//! resulting events to the decision module in one batch, and carries out the commands that it returns.

use crate::config::worker_list::ListUpdate;
use crate::config::{Config, PeerConfig, StaticWorker};
use crate::log::log_line;
use crate::net::core::clock::Clock;
use crate::net::core::counters::Gauges;
use crate::net::core::deadlines::{Deadline, Deadlines};
use crate::net::core::envelope::Payload;
use crate::net::core::input_queue::InputQueue;
use crate::net::core::iteration::{INPUT_TIME, IterationStatistics};
use crate::net::core::memory::{MemoryAccount, account_limit};
use crate::net::core::request_table::{AttemptId, Command, RequestTable};
use crate::net::core::worker_registry::WorkerSource;
use crate::net::gearman::Gearman;
use crate::net::http::Http;
use crate::net::http::callback::handle_callback;
use crate::net::http::client::ClientConnections;
use crate::net::http::upstream::UpstreamConnections;
use crate::net::operators::drain::{CLIENT_DISCONNECT_DELAY, Drain, DrainReason};
use crate::net::operators::management::{MAX_MANAGEMENT_CONNECTIONS, ManagementCommand, ManagementServer};
use crate::net::platform::control::ControlClient;
use crate::net::platform::discovery::DiscoveryClient;
use crate::net::platform::handover::{Handover, IndexedNames};
use crate::net::platform::inherited_socket;
use crate::net::platform::peer_socket::PeerSocket;
use crate::net::platform::upgrade::{HANDOVER_TIMEOUT, Message, Role, UpgradeLink};
use crate::net::protocol::{DescriptorLimits, Protocol, ProtocolRequest};
use crate::net::{Context, PeerTarget};
use calicolb::api::{Class, ListKind, Micros, WorkerId};
use calicolb::wire::Names;
use calicolb_shutdown::Grace;
use mio::net::{TcpListener, UdpSocket};
use mio::{Events, Interest, Poll, Registry, Token};
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Token of the listening socket for clients.
const CLIENT_LISTENER: usize = 0;
/// Token of the signal pipe.
const SIGNALS: Token = Token(1);
/// Token of the datagram socket for other schedulers.
const PEERS: Token = Token(2);
/// Token of the listening socket for operators.
const MANAGEMENT: Token = Token(3);
/// Token of the listening socket for a successor process.
const UPGRADE_LISTENER: Token = Token(4);
/// Connections have tokens above this one.
const LAST_RESERVED_TOKEN: usize = 15;
/// Interval (microseconds) at which binding the datagram socket is retried while another process may still use its
/// address.
const PEER_SOCKET_RETRY_DELAY: Micros = 100_000;
/// Minimum number of turns for waiting input in an iteration, however long the other events have taken.
const MIN_TURNS: usize = 4;

/// A running scheduler.
pub struct EventLoop {
    poll: Poll,
    registry: Registry,
    clock: Clock,
    names: Names,
    deadlines: Deadlines,
    /// Connections whose input waits to be processed.
    input_queue: InputQueue,
    /// The memory that peers make the process hold.
    memory: MemoryAccount,
    /// Configured limit of the memory of the process, together with the other process during an upgrade, in bytes.
    memory_bytes: usize,
    /// Start of the present iteration.
    iteration_started: Instant,
    iterations: IterationStatistics,
    request_table: RequestTable<Payload>,
    last_token: usize,
    signals: Signals,
    http: Http,
    /// The protocols other than HTTP.
    other_protocols: Vec<Box<dyn Protocol>>,
    protocol_requests: Vec<ProtocolRequest>,
    discovery: DiscoveryClient,
    /// Workers that the operator file names.
    static_workers: Vec<StaticWorker>,
    peers: Option<PeerSocket>,
    /// Client of the control machines, if the configuration names any.
    control: Option<ControlClient>,
    management: Option<ManagementServer>,
    drain: Drain,
    upgrade_link: UpgradeLink,
    /// Callbacks that matched no request of this process. They are passed to the other process of this scheduler
    /// (predecessor or successor) at the end of the iteration.
    unmatched_callbacks: Vec<String>,
    /// Datagrams for other schedulers, sent at the end of the iteration.
    peer_outbox: Vec<(PeerTarget, Vec<u8>)>,
    /// The initial worker list of the configuration, while the predecessor is asked for a newer one; `None` once
    /// serving has started.
    initial_list: Option<Option<ListUpdate>>,
    /// A successor process has taken over.
    handed_over: bool,
    /// The successor accepts clients.
    successor_accepts_clients: bool,
    /// Name of this scheduler.
    name: String,
    /// Address of the listening socket for clients.
    listen_address: SocketAddr,
    /// Rank of this scheduler among all schedulers.
    rank: u32,
    /// The listening socket for clients was inherited: another process may use it too.
    socket_inherited: bool,
    peer_config: Option<PeerConfig>,
    /// Number of file descriptors that the process may use.
    max_descriptors: usize,
    /// Configured maximum number of open requests.
    max_open: usize,
    /// Time (microseconds) after which a worker closes an idle connection.
    worker_idle_timeout: Micros,
    /// Number of settings updates that have come into force.
    settings_updates: u64,
    /// A usable worker list was known, or none was expected soon, so clients may be accepted. Once set, it stays set.
    ready_to_serve: bool,
    /// Time limits from SIGTERM to the earliest SIGKILL.
    grace: Grace,
    /// Set once SIGTERM has been received.
    termination: Option<Termination>,
    /// Requests that were sent to the successor and that it has not confirmed.
    transfers: PendingTransfers,
    /// The process ends after all answers, without a time limit.
    graceful: bool,
    /// The configuration came from an operator file.
    uses_operator_file: bool,
}

impl EventLoop {
    /// Opens the sockets, and starts to serve with the worker list of the configuration unless a predecessor process is
    /// going to hand over.
    ///
    /// # Errors
    /// Fails if a socket cannot be opened or registered.
    pub fn new(config: Config) -> io::Result<Self> {
        // The handlers are installed first, because a signal without a handler ends the process.
        let mut signals = Signals::new([SIGTERM, SIGHUP])?;
        let poll = Poll::new()?;
        let registry = poll.registry().try_clone()?;
        let clock = Clock::new();
        let (listener, socket_inherited) =
            inherited_socket::open_listener(config.passed_socket, config.listen)?;
        let listen_address = listener.local_addr()?;
        registry.register(&mut signals, SIGNALS, Interest::READABLE)?;
        let management = match config.management {
            Some(address) => {
                let mut listener = TcpListener::bind(address)?;
                registry.register(&mut listener, MANAGEMENT, Interest::READABLE)?;
                log_line!("{} listens for operators on {}", config.name, listener.local_addr()?);
                Some(ManagementServer::new(listener))
            }
            None => None,
        };
        let (on_request, drain_grace) = (config.settings.list_on_request, config.settings.rules.drain_grace);
        let discovery = DiscoveryClient::new(config.discovery, on_request, drain_grace, clock.now());
        let upstream =
            UpstreamConnections::new(config.settings.limits.connect_timeout, config.worker_idle_timeout, 0);
        let mut event_loop = EventLoop {
            grace: grace_period(&config.settings.classes),
            termination: None,
            transfers: PendingTransfers::default(),
            rank: config.settings.rank,
            request_table: RequestTable::new(config.settings, config.seed, clock.now(), 0),
            poll,
            registry,
            clock,
            names: config.names,
            deadlines: Deadlines::default(),
            input_queue: InputQueue::default(),
            memory: MemoryAccount::new(account_limit(config.memory_bytes, 0)),
            memory_bytes: config.memory_bytes,
            iteration_started: Instant::now(),
            iterations: IterationStatistics::default(),
            last_token: LAST_RESERVED_TOKEN,
            signals,
            http: Http { clients: ClientConnections::new(listener, CLIENT_LISTENER), upstream },
            other_protocols: Vec::new(),
            protocol_requests: Vec::new(),
            discovery,
            static_workers: config.static_workers,
            peers: None,
            control: config.control.map(|control| ControlClient::new(control, &config.name, config.seed)),
            management,
            drain: Drain::default(),
            upgrade_link: UpgradeLink::new(config.upgrade_socket.filter(|_| socket_inherited)),
            unmatched_callbacks: Vec::new(),
            peer_outbox: Vec::new(),
            initial_list: Some(config.known_workers),
            handed_over: false,
            successor_accepts_clients: false,
            name: config.name,
            listen_address,
            socket_inherited,
            peer_config: config.peers,
            max_descriptors: config.max_descriptors,
            max_open: config.max_open_requests,
            worker_idle_timeout: config.worker_idle_timeout,
            settings_updates: 0,
            ready_to_serve: false,
            graceful: false,
            uses_operator_file: config.discovery.is_none(),
        };
        event_loop.request_table.set_memory(event_loop.memory.clone());
        let now = event_loop.clock.now();
        if let Some(gearman) = config.gearman {
            let (mut ctx, components) = event_loop.split(now);
            components.other_protocols.push(Box::new(Gearman::new(&mut ctx, gearman)?));
        }
        let (mut ctx, components) = event_loop.split(now);
        if components.upgrade_link.connect_to_predecessor(&mut ctx) {
            ctx.deadlines.set(Deadline::PredecessorHandover, now + HANDOVER_TIMEOUT);
            event_loop.distribute_descriptors(now);
        } else {
            event_loop.start_serving(now, None)?;
        }
        Ok(event_loop)
    }

    /// Runs until SIGTERM has been received and all accepted requests are answered.
    ///
    /// # Errors
    /// Fails if polling fails.
    pub fn run(mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(1024);
        // The loop ends when it was finished in two iterations in a row, so that events that arrived during the first
        // check are processed too.
        let mut finished_iterations = 0;
        while finished_iterations < 2 {
            let now = self.clock.now();
            // The second check must not wait for the next deadline, which may be far away.
            let at_once =
                self.request_table.has_pending() || !self.input_queue.is_empty() || finished_iterations > 0;
            let timeout = if at_once { Some(Duration::ZERO) } else { self.deadlines.poll_timeout(now) };
            match self.poll.poll(&mut events, timeout) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                other => other?,
            }
            let now = self.clock.now();
            self.iteration_started = Instant::now();
            for event in &events {
                self.handle_ready(now, event.token(), event.is_read_closed());
            }
            self.process_input(now);
            while let Some(deadline) = self.deadlines.next_due(now) {
                self.handle_deadline(now, deadline);
            }
            let (mut ctx, mut components) = self.split(now);
            components.protocols().for_each(|protocol| protocol.on_events_gathered(&mut ctx));
            for command in self.request_table.process_events(now, &mut self.deadlines) {
                self.execute_command(now, command);
            }
            let (mut ctx, mut components) = self.split(now);
            components.protocols().for_each(|protocol| protocol.on_commands_done(&mut ctx));
            for request in std::mem::take(&mut self.protocol_requests) {
                self.handle_protocol_request(now, request);
            }
            self.apply_agreed_settings(now);
            self.ready_to_serve |= self.request_table.worker_count() > 0 && self.discovery.is_ready(now);
            self.http.clients.accepts_clients = self.ready_to_serve && self.accepts_clients();
            self.notify_other_process();
            self.memory.set_limit(account_limit(self.memory_bytes, self.request_table.worker_count()));
            self.shed_memory(now);
            self.send_peer_datagrams();
            finished_iterations = if self.is_finished(now) { finished_iterations + 1 } else { 0 };
            if let Some(duration) = self.iterations.record(self.iteration_started) {
                log_line!(warn: ms = duration.as_millis() as u64, "an iteration of the event loop took too long");
            }
        }
        Ok(())
    }

    /// Gives each connection whose input waits a turn, until [`INPUT_TIME`] of the iteration has passed. The others follow
    /// in the next iterations; [`MIN_TURNS`] turns are taken in any case.
    fn process_input(&mut self, now: Micros) {
        for turn in 0..self.input_queue.len() {
            if turn >= MIN_TURNS && self.iteration_started.elapsed() > INPUT_TIME {
                return;
            }
            let Some(token) = self.input_queue.pop() else { return };
            self.handle_input(now, token);
            self.shed_memory(now);
        }
    }

    /// Gives up what was not accepted until the account of memory is within its limit, as far as that is possible.
    fn shed_memory(&mut self, now: Micros) {
        while self.memory.is_exceeded() {
            let (mut ctx, mut components) = self.split(now);
            if !components.protocols().any(|protocol| protocol.shed_memory(&mut ctx)) {
                return;
            }
        }
    }

    /// Sends the datagrams that this iteration queued for other schedulers.
    fn send_peer_datagrams(&mut self) {
        for (target, body) in std::mem::take(&mut self.peer_outbox) {
            if let Some(peers) = &mut self.peers {
                peers.send_to_audience(target, &body);
            }
        }
    }

    /// Returns true if this scheduler accepts clients, here or at the successor process: both processes are one
    /// scheduler.
    fn accepts_clients(&self) -> bool {
        if self.handed_over { self.successor_accepts_clients } else { self.drain.accepts_clients() }
    }

    /// Returns true if the process may exit: all accepted requests are answered.
    fn is_finished(&self, now: Micros) -> bool {
        // The last condition keeps this process running for the open attempts of the predecessor: callbacks for them
        // arrive at the process that listens for clients, which is this one.
        self.drain.is_final_phase()
            && self.request_table.unanswered_requests() == 0
            && self.transfers.is_empty()
            && self.http.is_idle(now)
            && self.other_protocols.iter().all(|other| other.is_idle(now))
            && (self.handed_over || !self.request_table.any_open_elsewhere())
    }

    /// Handles the signals that have been received.
    fn handle_signals(&mut self, now: Micros) {
        // Each signal may have been received several times since the last iteration; it is handled once.
        let signals: BTreeSet<i32> = self.signals.pending().collect();
        if signals.contains(&SIGHUP) {
            self.reload(now);
        }
        if signals.contains(&SIGTERM) {
            self.begin_drain(now, DrainReason::ProcessExit);
        }
    }

    /// Carries out a request of a protocol that concerns the whole process.
    fn handle_protocol_request(&mut self, now: Micros, request: ProtocolRequest) {
        match request {
            ProtocolRequest::Shutdown { graceful: false } => self.begin_drain(now, DrainReason::ProcessExit),
            ProtocolRequest::Shutdown { graceful: true } => self.begin_graceful_shutdown(now),
        }
    }
}

/// Time limits from SIGTERM to the earliest SIGKILL, for clients that may wait as long as the deadlines of these
/// classes.
fn grace_period(classes: &[Class]) -> Grace {
    Grace::new(classes.iter().map(|class| class.deadline).max().unwrap_or(0))
}

mod components;
mod descriptors;
mod dispatch;
mod management;
mod settings_update;
mod shutdown;
mod start;
mod transfers;
mod upgrade;

use shutdown::Termination;
use transfers::PendingTransfers;
