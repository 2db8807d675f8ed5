//! Sending of requests to workers, on idle connections or on new ones.

use super::*;

/// Request headers that apply to a single connection only, or that are written anew.
const NOT_FORWARDED: [&str; 8] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "te",
    "upgrade",
    "expect",
    "request-timeout",
];

impl UpstreamConnections {
    /// Sends an attempt that may take `timeout` microseconds. A failure is reported to the request table.
    pub fn send_attempt(
        &mut self,
        ctx: &mut Context<'_>,
        idle_clients: &mut dyn ReleaseIdle,
        attempt: AttemptId,
        worker: WorkerId,
        payload: &Payload,
        timeout: Micros,
    ) {
        let timeout_s = format!("{:.3}", timeout as f64 / 1e6);
        let is_forwarded =
            |name: &str| !NOT_FORWARDED.iter().any(|dropped| name.eq_ignore_ascii_case(dropped));
        let mut headers: Vec<(&str, &str)> =
            payload.headers.iter().filter(|(name, _)| is_forwarded(name)).collect();
        headers.push(("Request-Timeout", &timeout_s));
        let bytes = framing::write_request("POST", &payload.target, &headers, &payload.body);
        let sent = self.address(worker).is_some_and(|address| {
            self.send_request(ctx, idle_clients, (worker, address), Task::Attempt(attempt), &bytes).is_ok()
        });
        if !sent {
            ctx.request_table.connection_broken(ctx.now, attempt);
        }
    }

    /// Closes the connection of an attempt that has already ended. A callback ended the attempt, but the
    /// answer on its own connection did not arrive within the attempt's deadline, and nothing else would end
    /// the wait for it.
    pub fn release_attempt(&mut self, ctx: &mut Context<'_>, attempt: AttemptId) {
        if let Some(token) = self.pending_attempts.get(&attempt).copied() {
            self.drop_connection(ctx, token);
        }
    }

    /// Requests the load report of a worker.
    pub fn probe(&mut self, ctx: &mut Context<'_>, idle_clients: &mut dyn ReleaseIdle, worker: WorkerId) {
        let bytes = framing::write_request("GET", "/metrics/load", &[("Host", "origin.svc")], b"");
        let task = Task::Probe(ctx.now);
        let sent = self.address(worker).is_some_and(|address| {
            self.send_request(ctx, idle_clients, (worker, address), task, &bytes).is_ok()
        });
        if !sent {
            ctx.request_table.probe_finished(worker, Ending::Unreachable, 0, None);
        }
    }

    /// The address of a worker, if the worker is listed.
    pub(super) fn address(&self, worker: WorkerId) -> Option<SocketAddr> {
        self.workers.get(&worker).map(|worker| worker.address)
    }

    /// Time within which the answer to a request has to arrive, in microseconds. The answer to an attempt is timed from
    /// its last byte.
    pub(super) fn answer_timeout(&self, task: &Task) -> Option<Micros> {
        match task {
            Task::Cancel(_) => Some(network_delay::acceptance_timeout(self.connect_timeout)),
            Task::Probe(_) => Some(PROBE_TIMEOUT),
            Task::Attempt(_) | Task::Idle => None,
        }
    }

    /// Writes a request on an idle connection or on a new one.
    ///
    /// # Errors
    /// Fails if no connection is available.
    pub(super) fn send_request(
        &mut self,
        ctx: &mut Context<'_>,
        idle_clients: &mut dyn ReleaseIdle,
        (worker, address): (WorkerId, SocketAddr),
        task: Task,
        bytes: &[u8],
    ) -> Result<(), SendError> {
        let token = match self.take_idle(ctx, worker) {
            Some(token) => {
                self.reused_total += 1;
                token
            }
            None => self.open_connection(ctx, idle_clients, worker, address)?,
        };
        let answer_timeout = self.answer_timeout(&task);
        let connection = self.connections.get_mut(&token).ok_or(SendError::NoConnection)?;
        connection.buffer.append_output(bytes);
        if let Some(timeout) = answer_timeout.filter(|_| connection.is_connected) {
            ctx.deadlines.set(Deadline::Connection(token, ConnectionTimer::Timeout), ctx.now + timeout);
        }
        if let Task::Attempt(attempt) = task {
            self.pending_attempts.insert(attempt, token);
        }
        connection.task = task;
        if connection.is_connected {
            self.flush(ctx, token);
        }
        Ok(())
    }

    pub(super) fn take_idle(&mut self, ctx: &mut Context<'_>, worker: WorkerId) -> Option<usize> {
        while let Some(token) = self.workers.get_mut(&worker)?.idle.pop() {
            ctx.deadlines.clear(Deadline::Connection(token, ConnectionTimer::Idle));
            let Some(connection) = self.connections.get_mut(&token) else { continue };
            connection.idle_before_request = connection.idle_since.map(|since| ctx.now.saturating_sub(since));
            if connection.idle_before_request.is_some_and(|idle| idle > self.idle_limit.current(ctx.now)) {
                self.drop_connection(ctx, token);
                continue;
            }
            // Detects that the worker closed the connection after the poll. A request written on the closed
            // connection would fail but count as one that may have run.
            let still_open = matches!(connection.stream.read(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock);
            if still_open {
                return Some(token);
            }
            self.drop_connection(ctx, token);
        }
        None
    }

    pub(super) fn open_connection(
        &mut self,
        ctx: &mut Context<'_>,
        idle_clients: &mut dyn ReleaseIdle,
        worker: WorkerId,
        address: SocketAddr,
    ) -> Result<usize, SendError> {
        if self.connections.len() >= self.max_connections {
            let idle = self.workers.values().find_map(|worker| worker.idle.first().copied());
            let Some(token) = idle else {
                log_line!(
                    "no connection available for another attempt: {} connections are open",
                    self.connections.len()
                );
                return Err(SendError::NoConnection);
            };
            self.drop_connection(ctx, token);
        }
        let mut connect_result = TcpStream::connect(address);
        // The connect fails when the process is out of descriptors, for example. Sending jobs takes
        // precedence over idle client connections, and nothing has been sent yet.
        if connect_result.is_err() && idle_clients.release_idle(ctx) {
            connect_result = TcpStream::connect(address);
        }
        let mut stream = match connect_result {
            Ok(stream) => stream,
            Err(error) => {
                log_line!("failed to connect to worker at {address}: {error}");
                return Err(SendError::from(&error));
            }
        };
        let token = ctx.next_token();
        let both = Interest::READABLE | Interest::WRITABLE;
        if let Err(error) = ctx.registry.register(&mut stream, Token(token), both) {
            log_line!("failed to register the connection to {address}: {error}");
            return Err(SendError::NoConnection);
        }
        ctx.deadlines
            .set(Deadline::Connection(token, ConnectionTimer::Timeout), ctx.now + self.connect_timeout);
        let connection = Connection {
            stream,
            buffer: Buffer::charged_to(ctx.memory),
            worker,
            opened_at: ctx.now,
            is_connected: false,
            task: Task::Idle,
            idle_since: None,
            idle_before_request: None,
        };
        self.connections.insert(token, connection);
        self.opened_total += 1;
        Ok(token)
    }
}
