//! Acceptance of client connections within their limit.

use super::*;
use crate::net::core::iteration::ACCEPT_TIME;
use std::io::{self, ErrorKind};
use std::time::Instant;

/// Interval after which accepting is tried again when no descriptor was available, in microseconds.
const ACCEPT_RETRY_INTERVAL: Micros = SECOND / 50;
/// Maximum number of connections accepted in one iteration of the event loop; the rest is accepted in the
/// next one.
const MAX_ACCEPTS: usize = 256;

impl ClientConnections {
    /// Starts accepting connections.
    pub fn listen(&mut self, ctx: &mut Context<'_>) -> io::Result<()> {
        if !self.listening {
            ctx.registry.register(&mut self.listener, Token(self.listener_token), Interest::READABLE)?;
        }
        self.listening = true;
        Ok(())
    }

    /// Leaves new connections to the other process that shares the listening socket: a connection that is
    /// accepted but not served is lost.
    pub fn stop_listening(&mut self, ctx: &mut Context<'_>) {
        self.listening = false;
        if let Some(stream) = self.waiting.take() {
            self.add_connection(ctx, stream);
        }
        let _ = ctx.registry.deregister(&mut self.listener);
        ctx.deadlines.clear(Deadline::Connection(self.listener_token, ConnectionTimer::Accept));
    }

    /// Accepts pending connections, for at most `ACCEPT_TIME` and at most `MAX_ACCEPTS` per call.
    pub(super) fn accept(&mut self, ctx: &mut Context<'_>) {
        if !self.listening {
            return;
        }
        let started = Instant::now();
        for _ in 0..MAX_ACCEPTS {
            if started.elapsed() > ACCEPT_TIME {
                break;
            }
            let accepted = match self.waiting.take() {
                Some(stream) => Ok(stream),
                None => self.listener.accept().map(|(stream, _)| stream),
            };
            match accepted {
                // Room is made only for a connection that exists. It waits until there is room, and those behind it wait
                // in the listener's backlog.
                Ok(stream) if !self.has_room(ctx) => {
                    self.waiting = Some(stream);
                    return self.retry_accept(ctx);
                }
                Ok(stream) => self.add_connection(ctx, stream),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error)
                    if matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(error) => {
                    // No descriptor or memory is available: an idle connection is closed, and accepting is
                    // tried again later.
                    if self.accept_failure_log.is_due(ctx.now) {
                        log_line!("failed to accept a connection: {error}");
                    }
                    self.release_idle(ctx);
                    return self.retry_accept(ctx);
                }
            }
        }
        ctx.deadlines.set(Deadline::Connection(self.listener_token, ConnectionTimer::Accept), ctx.now + 1);
    }

    /// Makes room for one more connection, if need be. Returns whether there is room.
    fn has_room(&mut self, ctx: &mut Context<'_>) -> bool {
        self.connections.len() < self.max_connections || self.release_for_newcomer(ctx)
    }

    /// Accepts again after [`ACCEPT_RETRY_INTERVAL`].
    fn retry_accept(&mut self, ctx: &mut Context<'_>) {
        let retry = Deadline::Connection(self.listener_token, ConnectionTimer::Accept);
        ctx.deadlines.set(retry, ctx.now + ACCEPT_RETRY_INTERVAL);
    }

    fn add_connection(&mut self, ctx: &mut Context<'_>, stream: TcpStream) {
        let token = ctx.next_token();
        self.register_connection(ctx, stream, token);
    }

    pub(super) fn register_connection(&mut self, ctx: &mut Context<'_>, mut stream: TcpStream, token: usize) {
        let _ = stream.set_nodelay(true);
        if let Err(error) =
            ctx.registry.register(&mut stream, Token(token), Interest::READABLE | Interest::WRITABLE)
        {
            return log_line!("failed to register a client connection: {error}");
        }
        ctx.deadlines.set(
            Deadline::Connection(token, ConnectionTimer::Timeout),
            ctx.now + self.first_request_timeout(),
        );
        let connection = Connection {
            stream,
            buffer: Buffer::charged_to(ctx.memory),
            parser: RequestParser::new(ctx.memory.charge(MemoryUse::Connection)),
            state: State::Reading,
            standing: Standing::default(),
            close_after_response: false,
            carries_callbacks: false,
            awaits_first_request: true,
            has_unread_input: false,
            read_closed: false,
            closed_by_peer: false,
            last_activity: ctx.now,
            last_input: ctx.now,
            last_output: ctx.now,
            timed_out: false,
            request_started: None,
        };
        self.connections.insert(token, connection);
    }
}
