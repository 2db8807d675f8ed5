//! The sockets of the stand-ins: one thread and one poll for discovery, all workers, all clients and the relay.

use super::counts::{Counts, Flow};
use super::discovery::{Answer, BEAT, Capacity, Discovery, Host};
use super::message::{self, LIMIT, Message};
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

/// Connections that all stand-ins together may hold.
const CONNECTIONS: usize = 16_000;

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Role {
    /// From a scheduler to discovery; on an open watch, when it was last written to.
    Discovery(Option<Instant>),
    /// From a scheduler to this worker.
    Worker(usize),
    /// From this worker to this scheduler, with call-backs.
    News(usize, usize),
    /// From a client to this scheduler.
    Client(usize),
}

pub(super) struct Conn {
    pub(super) stream: TcpStream,
    pub(super) input: Vec<u8>,
    pub(super) output: Vec<u8>,
    pub(super) role: Role,
}

/// What is to be done at a time.
pub(super) enum Due {
    /// A watch may need its empty line.
    Beat(usize),
    /// Discovery answers a call.
    Reply(usize, Answer),
    /// A worker's job goes on or ends.
    Wake(u64),
    /// A client submits a job.
    Submit(usize),
    /// A client's patience ends.
    Expire(usize),
    /// Call-backs of this worker to this scheduler are tried again.
    News(usize, usize),
    /// The list changes.
    Change(Change),
}

/// A change of the list, and of the worker that it is about.
pub struct Change {
    /// The worker.
    pub station: usize,
    /// Its new health: `in_service` under a new start, or `terminating`.
    pub health: &'static str,
}

/// Call-backs of a worker to a scheduler: one after the other, each until it is answered, ten times at most.
#[derive(Default)]
pub(super) struct Back {
    token: Option<usize>,
    queue: VecDeque<(String, u32)>,
    busy: bool,
}

/// Calls of a call-back at most.
const NEWS_TRIES: u32 = 10;

/// See the head of this file.
pub struct Harness {
    poll: Poll,
    next: usize,
    pub(super) conns: HashMap<usize, Conn>,
    listeners: HashMap<usize, (TcpListener, Role)>,
    timers: Timers<Due>,
    relay: Relay,
    discovery: Discovery,
    discovery_at: SocketAddr,
    worker_pool: WorkerPool,
    backs: HashMap<(usize, usize), Back>,
    pub(super) submitters: Submitters,
    /// By rank: where the scheduler takes clients and call-backs.
    pub(super) homes: Vec<Option<SocketAddr>>,
    pub(super) counts: Counts,
    /// Call-backs that were not answered in ten calls, or had nobody to go to.
    pub news_dropped: u64,
}

impl Harness {
    /// Opens the sockets. The addresses in `hosts` are filled in; one stands for the worker of the same place in `kinds`.
    pub fn new(
        kinds: Vec<WorkerSpec>,
        mut hosts: Vec<Host>,
        worker_settings: WorkerSettings,
        capacity: Capacity,
        schedulers: usize,
    ) -> Result<Harness, String> {
        let told = |error: std::io::Error| error.to_string();
        let poll = Poll::new().map_err(told)?;
        let mut listeners = HashMap::new();
        let mut next = 0;
        let mut listen = |role| -> Result<SocketAddr, String> {
            let mut listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).map_err(told)?;
            let at = listener.local_addr().map_err(told)?;
            poll.registry().register(&mut listener, Token(next), Interest::READABLE).map_err(told)?;
            listeners.insert(next, (listener, role));
            next += 1;
            Ok(at)
        };
        let discovery_at = listen(Role::Discovery(None))?;
        for (nr, host) in hosts.iter_mut().enumerate() {
            host.dial = listen(Role::Worker(nr))?;
        }
        let relay = Relay::new(poll.registry(), next, schedulers).map_err(told)?;
        let now = Instant::now();
        Ok(Harness {
            poll,
            next: next + schedulers + 1,
            conns: HashMap::new(),
            listeners,
            timers: Timers::default(),
            relay,
            discovery: Discovery::new(hosts, capacity, now),
            discovery_at,
            worker_pool: WorkerPool::new(kinds, worker_settings),
            backs: HashMap::new(),
            submitters: Submitters::new(schedulers),
            homes: vec![None; schedulers],
            counts: Counts::default(),
            news_dropped: 0,
        })
    }

    /// Where discovery is.
    pub fn discovery_at(&self) -> SocketAddr {
        self.discovery_at
    }

    /// Discovery, the workers, the relay, and what was counted.
    pub fn discovery(&self) -> &Discovery {
        &self.discovery
    }

    /// See above.
    pub fn worker_pool(&self) -> &WorkerPool {
        &self.worker_pool
    }

    /// See above.
    pub fn relay(&self) -> &Relay {
        &self.relay
    }

    /// See above.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// A scheduler of this rank listens here from now on; `None`: it has gone.
    pub fn set_address(&mut self, rank: usize, clients: Option<SocketAddr>, peers: Option<SocketAddr>) {
        self.homes[rank] = clients;
        self.relay.set_address(rank, peers, &mut self.counts);
    }

    /// Clients submit these jobs, each so long after `from`.
    pub fn submit(&mut self, from: Instant, jobs: Vec<Submission>) {
        for nr in self.submitters.take(jobs) {
            let at = from + self.submitters.job(nr).at;
            self.set(at, Due::Submit(nr));
        }
    }

    /// What came of the jobs, in their order; `None`: nothing yet.
    pub fn outcomes(&self) -> &[Option<Outcome>] {
        self.submitters.outcomes()
    }

    /// The list changes at this time.
    pub fn change(&mut self, at: Instant, change: Change) {
        self.set(at, Due::Change(change));
    }

    /// Writes the whole list, under a new version, on every watch.
    pub fn renew(&mut self) {
        let chunk = self.discovery.renew();
        self.broadcast(Flow::WatchFullList, &chunk);
    }

    /// Sends a datagram to the scheduler of one rank as if that of another had.
    pub fn send_as(&mut self, from: usize, to: usize, body: &[u8]) {
        self.relay.send_as(from, to, body, &mut self.counts);
    }

    /// Watches that are open.
    pub fn watches(&self) -> usize {
        self.conns.values().filter(|conn| matches!(conn.role, Role::Discovery(Some(_)))).count()
    }

    /// Serves until this time.
    pub fn run_until(&mut self, until: Instant) -> Result<(), String> {
        let mut events = Events::with_capacity(1_024);
        loop {
            let now = Instant::now();
            while let Some(due) = self.timers.due(now) {
                self.due(now, due);
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
                self.ready(Instant::now(), event.token().0);
            }
        }
    }

    /// Serves until the condition holds; tells whether it did in time.
    pub fn run_while(&mut self, most: Duration, go: impl Fn(&Harness) -> bool) -> Result<bool, String> {
        let until = Instant::now() + most;
        while go(self) {
            if Instant::now() >= until {
                return Ok(false);
            }
            self.run_until(Instant::now() + Duration::from_millis(5))?;
        }
        Ok(true)
    }

    pub(super) fn set(&mut self, at: Instant, due: Due) {
        self.timers.set(at, due);
    }

    fn due(&mut self, now: Instant, due: Due) {
        match due {
            Due::Beat(token) => self.beat(now, token),
            Due::Reply(token, answer) => self.reply(now, token, answer),
            Due::Wake(number) => {
                let effects = self.worker_pool.wake(now, number);
                self.follow(effects);
            }
            Due::Submit(job) => self.begin_job(now, job),
            Due::Expire(job) => self.expire_job(now, job),
            Due::News(station, rank) => self.call_back(station, rank),
            Due::Change(change) => self.turn(now, change),
        }
    }

    fn ready(&mut self, now: Instant, token: usize) {
        if let Some(rank) = self.relay.rank(token) {
            return self.relay.ready(rank, &mut self.counts);
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
                Ok((stream, _)) => drop(self.hold(stream, role)),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }

    /// Keeps a connection; `None` where there are too many.
    pub(super) fn hold(&mut self, mut stream: TcpStream, role: Role) -> Option<usize> {
        if self.conns.len() >= CONNECTIONS {
            return None;
        }
        let token = self.next;
        self.next += 1;
        let _ = stream.set_nodelay(true);
        let both = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(token), both).ok()?;
        self.conns.insert(token, Conn { stream, input: Vec::new(), output: Vec::new(), role });
        Some(token)
    }

    /// Writes to a connection.
    pub(super) fn put(&mut self, token: usize, bytes: &[u8]) {
        if let Some(conn) = self.conns.get_mut(&token) {
            conn.output.extend_from_slice(bytes);
            self.flush(token);
        }
    }

    /// Writes what waits; tells whether the connection goes on.
    fn flush(&mut self, token: usize) -> bool {
        let Some(conn) = self.conns.get_mut(&token) else { return false };
        while !conn.output.is_empty() {
            match conn.stream.write(&conn.output) {
                Ok(count) => drop(conn.output.drain(..count)),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // Not up yet, or full.
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
        let mut part = [0; 16 * 1_024];
        let mut ended = false;
        while let Some(conn) = self.conns.get_mut(&token) {
            match conn.stream.read(&mut part) {
                Ok(0) => ended = true,
                Ok(count) => conn.input.extend_from_slice(&part[..count]),
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                    break;
                }
                Err(_) => ended = true,
            }
            if ended || conn.input.len() > LIMIT {
                break;
            }
        }
        while let Some(conn) = self.conns.get_mut(&token) {
            let asked = matches!(conn.role, Role::Discovery(_) | Role::Worker(_));
            let found = if asked { message::request(&conn.input) } else { message::response(&conn.input) };
            match found {
                Ok(Some(message)) => {
                    conn.input.drain(..message.length);
                    let role = conn.role;
                    self.heard(now, token, role, message);
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

    fn heard(&mut self, now: Instant, token: usize, role: Role, message: Message) {
        match role {
            Role::Discovery(_) => self.asked(now, token, &message),
            Role::Worker(at) => self.job_came(now, token, at, &message),
            Role::News(station, rank) => {
                self.counts.add(Flow::CallbacksAnswered, message.length);
                self.news_answered(token, station, rank, &message);
            }
            Role::Client(rank) => self.job_answered(now, token, rank, &message),
        }
    }

    /// Lets go of a connection.
    pub(super) fn close(&mut self, token: usize) {
        let Some(mut conn) = self.conns.remove(&token) else { return };
        let _ = self.poll.registry().deregister(&mut conn.stream);
        match conn.role {
            Role::News(station, rank) => self.news_broke(token, station, rank),
            Role::Client(rank) => self.client_broke(token, rank),
            Role::Discovery(_) | Role::Worker(_) => {}
        }
    }
}

// What the parts of the harness do with what comes.
mod handlers;
