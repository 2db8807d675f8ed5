//! The sockets of the stand-ins. One thread with one poll serves discovery, all workers, all clients and the relay.

use super::counts::{Counts, Flow};
use super::discovery::{Answer, Capacity, Discovery, Host, KEEPALIVE_INTERVAL};
use super::message::{self, MAX_MESSAGE_BYTES, Message};
use super::relay::Relay;
use super::submitters::{Outcome, Submission, Submitters};
use super::timers::Timers;
use super::worker_pool::{Effect, WorkerPool, WorkerSettings, WorkerSpec};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use std::collections::{HashMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum number of connections of all stand-ins together.
const MAX_CONNECTIONS: usize = 16_000;

/// Purpose of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Role {
    /// From a scheduler to discovery; for an open watch, the time of the last write.
    Discovery(Option<Instant>),
    /// From a scheduler to the worker with this index.
    Worker(usize),
    /// From a worker to a scheduler, for callbacks: index of the worker, rank of the scheduler.
    Callback(usize, usize),
    /// From a client to the scheduler of this rank.
    Client(usize),
}

pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) input: Vec<u8>,
    pub(super) output: Vec<u8>,
    pub(super) role: Role,
}

/// An event that a timer triggers.
pub(super) enum TimerEvent {
    /// An idle watch may need an empty line.
    Keepalive(usize),
    /// Discovery sends an answer.
    DiscoveryAnswer(usize, Answer),
    /// A job makes progress or ends.
    WorkerTimer(u64),
    /// A client submits a job.
    Submit(usize),
    /// A client's timeout ends.
    Expire(usize),
    /// A worker tries its callbacks to a scheduler again.
    Callback(usize, usize),
    /// The list changes.
    Change(Change),
}

/// A change of a worker and of its line on the list.
pub struct Change {
    /// Index of the worker.
    pub worker: usize,
    /// New health: `in_service` with a new start, or `terminating`.
    pub health: &'static str,
}

/// Callbacks of one worker to one scheduler. They are sent one at a time, and each until it is answered, at most
/// [`MAX_CALLBACK_ATTEMPTS`] times.
#[derive(Default)]
pub(super) struct CallbackQueue {
    token: Option<usize>,
    queue: VecDeque<(String, u32)>,
    awaiting_answer: bool,
}

/// Maximum number of times that a callback is sent.
const MAX_CALLBACK_ATTEMPTS: u32 = 10;

/// The stand-ins and their sockets.
pub struct Harness {
    poll: Poll,
    next_token: usize,
    pub(super) connections: HashMap<usize, Connection>,
    listeners: HashMap<usize, (TcpListener, Role)>,
    timers: Timers<TimerEvent>,
    relay: Relay,
    discovery: Discovery,
    discovery_address: SocketAddr,
    worker_pool: WorkerPool,
    callback_queues: HashMap<(usize, usize), CallbackQueue>,
    pub(super) submitters: Submitters,
    /// By rank: address of the scheduler for clients and callbacks.
    pub(super) scheduler_addresses: Vec<Option<SocketAddr>>,
    pub(super) counts: Counts,
    /// Callbacks without an answer after [`MAX_CALLBACK_ATTEMPTS`] attempts, or about a request that no client
    /// submitted.
    pub callbacks_dropped: u64,
}

impl Harness {
    /// Opens the sockets. Fills in the addresses of `hosts`; `hosts` and `specs` list the workers in the same order.
    ///
    /// # Errors
    ///
    /// A socket cannot be opened.
    pub fn new(
        specs: Vec<WorkerSpec>,
        mut hosts: Vec<Host>,
        worker_settings: WorkerSettings,
        capacity: Capacity,
        schedulers: usize,
    ) -> Result<Harness, String> {
        let error_text = |error: std::io::Error| error.to_string();
        let poll = Poll::new().map_err(error_text)?;
        let mut listeners = HashMap::new();
        let mut next_token = 0;
        let mut listen = |role| -> Result<SocketAddr, String> {
            let mut listener =
                TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).map_err(error_text)?;
            let address = listener.local_addr().map_err(error_text)?;
            poll.registry()
                .register(&mut listener, Token(next_token), Interest::READABLE)
                .map_err(error_text)?;
            listeners.insert(next_token, (listener, role));
            next_token += 1;
            Ok(address)
        };
        let discovery_address = listen(Role::Discovery(None))?;
        for (index, host) in hosts.iter_mut().enumerate() {
            host.dial = listen(Role::Worker(index))?;
        }
        let relay = Relay::new(poll.registry(), next_token, schedulers).map_err(error_text)?;
        let now = Instant::now();
        Ok(Harness {
            poll,
            next_token: next_token + schedulers + 1,
            connections: HashMap::new(),
            listeners,
            timers: Timers::default(),
            relay,
            discovery: Discovery::new(hosts, capacity, now),
            discovery_address,
            worker_pool: WorkerPool::new(specs, worker_settings),
            callback_queues: HashMap::new(),
            submitters: Submitters::new(schedulers),
            scheduler_addresses: vec![None; schedulers],
            counts: Counts::default(),
            callbacks_dropped: 0,
        })
    }

    /// Returns the address of discovery.
    pub fn discovery_address(&self) -> SocketAddr {
        self.discovery_address
    }

    /// Returns the discovery stand-in.
    pub fn discovery(&self) -> &Discovery {
        &self.discovery
    }

    /// Returns the worker stand-ins.
    pub fn worker_pool(&self) -> &WorkerPool {
        &self.worker_pool
    }

    /// Returns the datagram relay.
    pub fn relay(&self) -> &Relay {
        &self.relay
    }

    /// Returns the traffic counters.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Sets the addresses of the scheduler of this rank, or `None` after it has stopped.
    pub fn set_address(&mut self, rank: usize, clients: Option<SocketAddr>, peers: Option<SocketAddr>) {
        self.scheduler_addresses[rank] = clients;
        self.relay.set_address(rank, peers, &mut self.counts);
    }

    /// Schedules the submission of jobs, each at its offset from `from`.
    pub fn submit(&mut self, from: Instant, jobs: Vec<Submission>) {
        for index in self.submitters.add_jobs(jobs) {
            let at = from + self.submitters.job(index).offset;
            self.set_timer(at, TimerEvent::Submit(index));
        }
    }

    /// Returns the outcomes of the jobs, in their order; `None` while a job is open.
    pub fn outcomes(&self) -> &[Option<Outcome>] {
        self.submitters.outcomes()
    }

    /// Schedules a change of the list.
    pub fn schedule_change(&mut self, at: Instant, change: Change) {
        self.set_timer(at, TimerEvent::Change(change));
    }

    /// Sends the full list, under a new version, on every watch.
    pub fn send_full_list(&mut self) {
        let chunk = self.discovery.republish();
        self.broadcast(Flow::WatchFullList, &chunk);
    }

    /// Sends a datagram to the scheduler `to` as if the scheduler `from` had sent it.
    pub fn send_as(&mut self, from: usize, to: usize, body: &[u8]) {
        self.relay.send_as(from, to, body, &mut self.counts);
    }

    /// Returns the number of open watches.
    pub fn watches(&self) -> usize {
        self.connections
            .values()
            .filter(|connection| matches!(connection.role, Role::Discovery(Some(_))))
            .count()
    }

    /// Serves until this time.
    ///
    /// # Errors
    ///
    /// The poll fails.
    pub fn run_until(&mut self, until: Instant) -> Result<(), String> {
        let mut events = Events::with_capacity(1_024);
        loop {
            let now = Instant::now();
            while let Some(event) = self.timers.pop_due(now) {
                self.on_timer_event(now, event);
            }
            let now = Instant::now();
            if now >= until {
                return Ok(());
            }
            let next = self.timers.next().map_or(until, |next| next.min(until));
            match self.poll.poll(&mut events, Some(next.saturating_duration_since(now))) {
                Err(error) if error.kind() != ErrorKind::Interrupted => return Err(error.to_string()),
                _ => {}
            }
            for event in &events {
                self.on_ready(Instant::now(), event.token().0);
            }
        }
    }

    /// Serves while `condition` holds; returns `false` if it still holds after `timeout`.
    ///
    /// # Errors
    ///
    /// The poll fails.
    pub fn run_while(
        &mut self,
        timeout: Duration,
        condition: impl Fn(&Harness) -> bool,
    ) -> Result<bool, String> {
        let until = Instant::now() + timeout;
        while condition(self) {
            if Instant::now() >= until {
                return Ok(false);
            }
            self.run_until(Instant::now() + Duration::from_millis(5))?;
        }
        Ok(true)
    }

    pub(super) fn set_timer(&mut self, at: Instant, event: TimerEvent) {
        self.timers.set(at, event);
    }

    fn on_timer_event(&mut self, now: Instant, event: TimerEvent) {
        match event {
            TimerEvent::Keepalive(token) => self.send_keepalive(now, token),
            TimerEvent::DiscoveryAnswer(token, answer) => self.send_discovery_answer(now, token, answer),
            TimerEvent::WorkerTimer(number) => {
                let effects = self.worker_pool.on_timer(now, number);
                self.apply_effects(effects);
            }
            TimerEvent::Submit(job) => self.submit_job(now, job),
            TimerEvent::Expire(job) => self.expire_job(now, job),
            TimerEvent::Callback(worker, rank) => self.send_callback(worker, rank),
            TimerEvent::Change(change) => self.apply_change(now, change),
        }
    }

    fn on_ready(&mut self, now: Instant, token: usize) {
        if let Some(rank) = self.relay.rank(token) {
            return self.relay.receive(rank, &mut self.counts);
        }
        if self.listeners.contains_key(&token) {
            return self.accept(token);
        }
        if self.flush(token) {
            self.read(now, token);
        }
    }

    fn accept(&mut self, listener: usize) {
        while let Some((socket, role)) = self.listeners.get(&listener) {
            let role = *role;
            match socket.accept() {
                Ok((stream, _)) => drop(self.add_connection(stream, role)),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }

    /// Registers a connection; `None` if there are already [`MAX_CONNECTIONS`].
    pub(super) fn add_connection(&mut self, mut stream: TcpStream, role: Role) -> Option<usize> {
        if self.connections.len() >= MAX_CONNECTIONS {
            return None;
        }
        let token = self.next_token;
        self.next_token += 1;
        let _ = stream.set_nodelay(true);
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(token), interest).ok()?;
        self.connections.insert(token, Connection { stream, input: Vec::new(), output: Vec::new(), role });
        Some(token)
    }

    /// Queues bytes on a connection and writes what the socket takes.
    pub(super) fn send(&mut self, token: usize, bytes: &[u8]) {
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.output.extend_from_slice(bytes);
            self.flush(token);
        }
    }

    /// Writes queued bytes; returns whether the connection is still open.
    fn flush(&mut self, token: usize) -> bool {
        let Some(connection) = self.connections.get_mut(&token) else { return false };
        while !connection.output.is_empty() {
            match connection.stream.write(&connection.output) {
                Ok(count) => drop(connection.output.drain(..count)),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // The connection is still being opened, or its send buffer is full.
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                    break;
                }
                Err(_) => {
                    self.close(token);
                    return false;
                }
            }
        }
        true
    }

    fn read(&mut self, now: Instant, token: usize) {
        let mut buffer = [0; 16 * 1_024];
        let mut ended = false;
        while let Some(connection) = self.connections.get_mut(&token) {
            match connection.stream.read(&mut buffer) {
                Ok(0) => ended = true,
                Ok(count) => connection.input.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                    break;
                }
                Err(_) => ended = true,
            }
            if ended || connection.input.len() > MAX_MESSAGE_BYTES {
                break;
            }
        }
        while let Some(connection) = self.connections.get_mut(&token) {
            let is_request = matches!(connection.role, Role::Discovery(_) | Role::Worker(_));
            let parsed = if is_request {
                message::parse_request(&connection.input)
            } else {
                message::parse_response(&connection.input)
            };
            match parsed {
                Ok(Some(message)) => {
                    connection.input.drain(..message.length);
                    let role = connection.role;
                    self.on_message(now, token, role, message);
                }
                Ok(None) => break,
                Err(_) => ended = true,
            }
            if ended {
                break;
            }
        }
        if ended {
            self.close(token);
        }
    }

    fn on_message(&mut self, now: Instant, token: usize, role: Role, message: Message) {
        match role {
            Role::Discovery(_) => self.on_discovery_request(now, token, &message),
            Role::Worker(worker) => self.on_worker_request(now, token, worker, &message),
            Role::Callback(worker, rank) => {
                self.counts.add(Flow::CallbacksAnswered, message.length);
                self.on_callback_answer(token, worker, rank, &message);
            }
            Role::Client(rank) => self.on_job_answer(now, token, rank, &message),
        }
    }

    /// Closes a connection.
    pub(super) fn close(&mut self, token: usize) {
        let Some(mut connection) = self.connections.remove(&token) else { return };
        let _ = self.poll.registry().deregister(&mut connection.stream);
        match connection.role {
            Role::Callback(worker, rank) => self.on_callback_closed(token, worker, rank),
            Role::Client(rank) => self.on_client_closed(token, rank),
            Role::Discovery(_) | Role::Worker(_) => {}
        }
    }
}

// Handlers for discovery requests, worker requests and callbacks.
mod handlers;
