//! Connections to workers: sends attempts, cancellations and load probes over HTTP/1.1 and reads the answers.
//!
//! This module never retries. A request that fails on a stale kept connection is reported as a broken
//! attempt, and the dispatcher decides whether it is sent again.

use crate::log::log_line;
use crate::net::Context;
use crate::net::core::buffer::{Buffer, FillOutcome};
use crate::net::core::deadlines::{ConnectionTimer, Deadline};
use crate::net::core::envelope::Payload;
use crate::net::core::network_delay;
use crate::net::core::request_table::AttemptId;
use crate::net::http::callback::parse_load_report;
use crate::net::http::framing;
use crate::net::protocol::ReleaseIdle;
use calicolb::api::{Ending, Micros, WorkerId};
use cancellations::Cancellations;
use idle_limit::{IdleLimit, idle_limit_for};
use mio::net::TcpStream;
use mio::{Interest, Token};
use std::collections::HashMap;
use std::io::{self, Read};
use std::net::SocketAddr;

const MILLI: Micros = 1_000;
/// Time within which a probe is answered, in microseconds.
const PROBE_TIMEOUT: Micros = 1_000 * MILLI;

/// The exchange that occupies a connection.
#[derive(Debug, PartialEq)]
enum Task {
    Idle,
    Attempt(AttemptId),
    Cancel(AttemptId),
    Probe(Micros),
}

/// The reason why a request was not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendError {
    /// The worker's machine refused the connection: no process listens there.
    Refused,
    /// No connection is available.
    NoConnection,
}

impl From<&io::Error> for SendError {
    fn from(error: &io::Error) -> Self {
        if error.kind() == io::ErrorKind::ConnectionRefused {
            SendError::Refused
        } else {
            SendError::NoConnection
        }
    }
}

struct Connection {
    stream: TcpStream,
    buffer: Buffer,
    worker: WorkerId,
    opened_at: Micros,
    is_connected: bool,
    task: Task,
    /// Time at which the connection last became idle, in microseconds; `None` during its first request.
    idle_since: Option<Micros>,
    /// Time for which the connection was idle before the current request was written, in microseconds; `None`
    /// for the first request of a connection.
    idle_before_request: Option<Micros>,
}

struct Worker {
    address: SocketAddr,
    started_ms: u64,
    /// Tokens of the idle connections. The most recently used one is taken first, so that the others can
    /// reach their idle limit.
    idle: Vec<usize>,
}

/// Connections to all workers that are reached over HTTP, by token and by worker.
pub struct UpstreamConnections {
    workers: HashMap<WorkerId, Worker>,
    connections: HashMap<usize, Connection>,
    /// Tokens of the connections of attempts that have not been answered yet.
    pending_attempts: HashMap<AttemptId, usize>,
    /// Cancellations that their workers have not confirmed yet.
    cancellations: Cancellations,
    /// Tokens of connections that were established for an attempt in this iteration of the event loop. The
    /// attempt is sent once all events of the iteration have been processed.
    connected_attempts: Vec<usize>,
    connect_timeout: Micros,
    idle_limit: IdleLimit,
    max_connections: usize,
    /// Number of connections opened since the start of the process.
    opened_total: u64,
    /// Number of requests sent on a kept connection since the start of the process.
    reused_total: u64,
}

impl UpstreamConnections {
    /// `worker_idle_timeout`: the time after which a worker closes an idle connection, in microseconds.
    /// `max_connections`: the limit on open connections.
    pub fn new(connect_timeout: Micros, worker_idle_timeout: Micros, max_connections: usize) -> Self {
        UpstreamConnections {
            workers: HashMap::new(),
            connections: HashMap::new(),
            pending_attempts: HashMap::new(),
            cancellations: Cancellations::default(),
            connected_attempts: Vec::new(),
            connect_timeout,
            idle_limit: IdleLimit::new(idle_limit_for(worker_idle_timeout)),
            max_connections,
            opened_total: 0,
            reused_total: 0,
        }
    }

    /// Connection metrics by name.
    pub fn metrics(&self) -> [(&'static str, u64); 3] {
        let open = self.connections.len() as u64;
        [
            ("fleet.connections.open", open),
            ("fleet.connections.opened", self.opened_total),
            ("fleet.connections.reused", self.reused_total),
        ]
    }

    /// Sets the limit on open connections and closes idle connections above it.
    pub fn set_max_connections(&mut self, ctx: &mut Context<'_>, max_connections: usize) {
        self.max_connections = max_connections;
        let idle: Vec<usize> = self.workers.values().flat_map(|worker| worker.idle.iter().copied()).collect();
        for token in idle.into_iter().take(self.connections.len().saturating_sub(max_connections)) {
            self.drop_connection(ctx, token);
        }
    }

    /// Returns whether the token belongs to one of these connections.
    pub fn owns_token(&self, token: usize) -> bool {
        self.connections.contains_key(&token)
    }

    /// Returns whether the worker is reached through these connections.
    pub fn has_worker(&self, worker: WorkerId) -> bool {
        self.workers.contains_key(&worker)
    }

    /// Adds a worker or updates its address and start time. A worker that moved or restarted loses its idle
    /// connections.
    pub fn update_worker(
        &mut self,
        ctx: &mut Context<'_>,
        id: WorkerId,
        address: SocketAddr,
        started_ms: u64,
    ) {
        let changed = self
            .workers
            .get(&id)
            .is_some_and(|worker| worker.address != address || worker.started_ms != started_ms);
        if changed {
            self.close_idle(ctx, id);
        }
        let worker = self.workers.entry(id).or_insert(Worker { address, started_ms, idle: Vec::new() });
        (worker.address, worker.started_ms) = (address, started_ms);
    }

    /// Removes a worker and its idle connections. Attempts on its busy connections end with those
    /// connections.
    pub fn remove_worker(&mut self, ctx: &mut Context<'_>, id: WorkerId) {
        self.close_idle(ctx, id);
        self.workers.remove(&id);
    }

    /// Applies new timeouts. Idle connections are checked against them when they are next used.
    pub fn update_settings(&mut self, connect_timeout: Micros, worker_idle_timeout: Micros) {
        self.connect_timeout = connect_timeout;
        self.idle_limit.set_max(idle_limit_for(worker_idle_timeout));
    }

    /// Closes the idle connections to a worker.
    pub fn close_idle(&mut self, ctx: &mut Context<'_>, id: WorkerId) {
        let idle =
            self.workers.get_mut(&id).map(|worker| std::mem::take(&mut worker.idle)).unwrap_or_default();
        for token in idle {
            self.drop_connection(ctx, token);
        }
    }

    /// Handles a readable or writable connection.
    pub fn handle_ready(&mut self, ctx: &mut Context<'_>, token: usize) {
        let answer_timeout =
            self.connections.get(&token).and_then(|connection| self.answer_timeout(&connection.task));
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if !connection.is_connected {
            match connection.stream.take_error() {
                Ok(None) => {}
                Ok(Some(error)) => return self.handle_connect_error(ctx, token, SendError::from(&error)),
                Err(_) => return self.handle_failure(ctx, token),
            }
            if connection.stream.peer_addr().is_err() {
                return;
            }
            if ctx.now >= connection.opened_at + self.connect_timeout {
                return self.handle_failure(ctx, token);
            }
            connection.is_connected = true;
            let _ = connection.stream.set_nodelay(true);
            if let Task::Attempt(_) = connection.task {
                ctx.deadlines.clear(Deadline::Connection(token, ConnectionTimer::Timeout));
                return self.connected_attempts.push(token);
            }
            if let Some(timeout) = answer_timeout {
                ctx.deadlines.set(Deadline::Connection(token, ConnectionTimer::Timeout), ctx.now + timeout);
            }
        }
        self.flush_and_read(ctx, token);
    }

    /// Handles a connection that could not be established.
    fn handle_connect_error(&mut self, ctx: &mut Context<'_>, token: usize, error: SendError) {
        match self.connections.get(&token) {
            Some(&Connection { task: Task::Cancel(attempt), .. }) if error == SendError::Refused => {
                self.drop_connection(ctx, token);
                self.handle_cancel_refused(ctx, attempt);
            }
            _ => self.handle_failure(ctx, token),
        }
    }

    fn flush_and_read(&mut self, ctx: &mut Context<'_>, token: usize) {
        if self.flush(ctx, token) {
            self.read(ctx, token);
        }
    }

    /// Sends the attempts whose connections were established in this iteration. The dispatcher has processed
    /// all events of the iteration, so attempts that it no longer wants are already cancelled, or are
    /// rejected here.
    pub fn start_connected_attempts(&mut self, ctx: &mut Context<'_>) {
        for token in std::mem::take(&mut self.connected_attempts) {
            let Some(&Connection { task: Task::Attempt(attempt), .. }) = self.connections.get(&token) else {
                continue;
            };
            match ctx.request_table.check_start(ctx.now, attempt) {
                Ok(()) => self.flush_and_read(ctx, token),
                Err(ending) => {
                    self.drop_connection(ctx, token);
                    ctx.request_table.attempt_not_started(ctx.now, attempt, ending);
                }
            }
        }
    }

    /// Writes pending output. Returns true if the connection is alive and all output is written.
    fn flush(&mut self, ctx: &mut Context<'_>, token: usize) -> bool {
        // A healthy worker accepts a job at once. A worker that has not accepted it after this time is
        // unresponsive or cut off from the network, which the connection itself does not show.
        let acceptance_timeout = network_delay::acceptance_timeout(self.connect_timeout);
        let Some(connection) = self.connections.get_mut(&token) else { return false };
        if !connection.buffer.has_output() {
            return true;
        }
        match connection.buffer.flush(&mut connection.stream) {
            Ok(true) => {
                if let Task::Attempt(attempt) = connection.task {
                    ctx.request_table.attempt_written(ctx.now, attempt);
                    ctx.deadlines.set(
                        Deadline::Connection(token, ConnectionTimer::Timeout),
                        ctx.now + acceptance_timeout,
                    );
                }
                true
            }
            Ok(false) => false,
            Err(_) => {
                self.handle_failure(ctx, token);
                false
            }
        }
    }

    /// Handles a connection that broke or could not be established.
    fn handle_failure(&mut self, ctx: &mut Context<'_>, token: usize) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        let (worker, was_connected) = (connection.worker, connection.is_connected);
        let task = std::mem::replace(&mut connection.task, Task::Idle);
        if let Some(idle) = connection.idle_before_request {
            self.idle_limit.record_break(ctx.now, idle);
        }
        match task {
            Task::Attempt(attempt) => {
                self.pending_attempts.remove(&attempt);
                ctx.request_table.connection_lost(ctx.now, attempt);
            }
            Task::Probe(sent) => {
                let ending = if was_connected { Ending::Broken } else { Ending::Unreachable };
                ctx.request_table.probe_finished(worker, ending, ctx.now.saturating_sub(sent), None);
            }
            Task::Cancel(attempt) => self.handle_cancel_failure(ctx, attempt),
            Task::Idle => {}
        }
        self.drop_connection(ctx, token);
    }

    fn drop_connection(&mut self, ctx: &mut Context<'_>, token: usize) {
        let Some(mut connection) = self.connections.remove(&token) else { return };
        let _ = ctx.registry.deregister(&mut connection.stream);
        ctx.deadlines.clear(Deadline::Connection(token, ConnectionTimer::Timeout));
        ctx.deadlines.clear(Deadline::Connection(token, ConnectionTimer::Idle));
        if let Task::Attempt(attempt) = connection.task {
            self.pending_attempts.remove(&attempt);
        }
        if let Some(worker) = self.workers.get_mut(&connection.worker) {
            worker.idle.retain(|&idle| idle != token);
        }
    }

    /// Handles the timeout of a connect, of a probe or cancellation, or of the answer to an attempt.
    fn handle_timeout(&mut self, ctx: &mut Context<'_>, token: usize) {
        match self.connections.get(&token) {
            // The worker may have the job and may still send callbacks for it, so the dispatcher decides
            // whether the attempt has failed.
            Some(Connection { is_connected: true, task: Task::Attempt(attempt), .. }) => {
                ctx.request_table.acceptance_overdue(*attempt)
            }
            Some(&Connection { task: Task::Cancel(attempt), .. }) => {
                self.record_cancel_timeout(attempt);
                self.handle_failure(ctx, token);
            }
            _ => self.handle_failure(ctx, token),
        }
    }

    /// Handles a deadline of a connection.
    pub fn handle_deadline(&mut self, ctx: &mut Context<'_>, token: usize, timer: ConnectionTimer) {
        if timer == ConnectionTimer::Idle {
            self.handle_idle_timeout(ctx, token)
        } else {
            self.handle_timeout(ctx, token)
        }
    }

    /// Closes a connection that has been idle for the idle limit.
    fn handle_idle_timeout(&mut self, ctx: &mut Context<'_>, token: usize) {
        if self.connections.get(&token).is_some_and(|connection| connection.task == Task::Idle) {
            self.drop_connection(ctx, token);
        }
    }
}

mod answers;
mod cancellations;
mod idle_limit;
mod sending;
