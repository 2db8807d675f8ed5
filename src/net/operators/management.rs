//! The management server: a separate listener on which each connection carries one command line and gets one response.

use crate::log::log_line;
use crate::net::Context;
use crate::net::core::buffer::{Buffer, FillOutcome};
use crate::net::core::deadlines::Deadline;
use crate::net::protocol::ReleaseIdle;
use calicolb::api::Micros;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Token};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::Shutdown;

const SECOND: Micros = 1_000_000;
/// The largest number of open connections, for which descriptors are reserved. A further connection closes the oldest one,
/// so that clients that connect without sending a command cannot lock others out.
pub const MAX_MANAGEMENT_CONNECTIONS: usize = 16;
/// A connection that has not sent its command within this time gets an error response.
const COMMAND_TIMEOUT: Micros = 3 * SECOND;
/// Time for the client to read the response and close the connection before it is closed here.
const CLOSE_TIMEOUT: Micros = SECOND;
/// Input in bytes after which a command line counts as complete even without a line feed.
const MAX_LINE_BYTES: usize = 256;
/// Accepting is retried after this time if it failed, for example because no descriptor was free.
const ACCEPT_RETRY_DELAY: Micros = SECOND / 50;

/// A management command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ManagementCommand {
    /// Asks whether the scheduler is ready.
    Ping,
    /// Asks for the metrics.
    Info,
    /// Starts a drain.
    Lameduck,
    /// Ends a drain.
    Rejoin,
}

struct Connection {
    stream: TcpStream,
    buffer: Buffer,
    response_sent: bool,
}

/// The management listener and its connections.
pub struct ManagementServer {
    listener: TcpListener,
    /// Connections by token. Tokens increase, so the oldest connection comes first.
    connections: BTreeMap<usize, Connection>,
}

impl ManagementServer {
    /// Creates a server for a listener that is registered with the event loop.
    pub fn new(listener: TcpListener) -> Self {
        ManagementServer { listener, connections: BTreeMap::new() }
    }

    /// Returns true if the token belongs to a connection of this server.
    pub fn owns(&self, token: usize) -> bool {
        self.connections.contains_key(&token)
    }

    /// Accepts new connections. Returns the token and the command of each connection whose command line has already
    /// arrived, `None` for an unknown command.
    pub fn accept(
        &mut self,
        ctx: &mut Context<'_>,
        idle_connections: &mut dyn ReleaseIdle,
    ) -> Vec<(usize, Option<ManagementCommand>)> {
        let mut commands = Vec::new();
        // One iteration of the event loop accepts at most as many connections as may be open. The rest are accepted in the
        // next iteration.
        for _ in 0..MAX_MANAGEMENT_CONNECTIONS {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    if let Some(token) = self.open(ctx, stream)
                        && let Some(command) = self.handle_ready(ctx, token)
                    {
                        commands.push((token, command));
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return commands,
                Err(error)
                    if matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(error) => {
                    // The process may be out of descriptors. Operators have priority over idle client connections, which
                    // are closed to free some.
                    log_line!("accepting a management connection failed: {error}");
                    idle_connections.release_idle(ctx);
                    ctx.deadlines.set(Deadline::ManagementAccept, ctx.now + ACCEPT_RETRY_DELAY);
                    return commands;
                }
            }
        }
        ctx.deadlines.set(Deadline::ManagementAccept, ctx.now + 1);
        commands
    }

    fn open(&mut self, ctx: &mut Context<'_>, mut stream: TcpStream) -> Option<usize> {
        if self.connections.len() >= MAX_MANAGEMENT_CONNECTIONS
            && let Some(&oldest) = self.connections.keys().next()
        {
            self.close(ctx, oldest);
        }
        let token = ctx.next_token();
        let interests = Interest::READABLE | Interest::WRITABLE;
        if let Err(error) = ctx.registry.register(&mut stream, Token(token), interests) {
            log_line!("registering a management connection failed: {error}");
            return None;
        }
        ctx.deadlines.set(Deadline::ManagementCall(token), ctx.now + COMMAND_TIMEOUT);
        self.connections.insert(
            token,
            Connection { stream, buffer: Buffer::charged_to(ctx.memory), response_sent: false },
        );
        Some(token)
    }

    /// Reads from and writes to a connection that is ready. Returns the command once its line is complete, `Some(None)` if
    /// the command is unknown.
    pub fn handle_ready(&mut self, ctx: &mut Context<'_>, token: usize) -> Option<Option<ManagementCommand>> {
        let connection = self.connections.get_mut(&token)?;
        if connection.buffer.has_output() {
            self.flush(ctx, token);
        }
        let connection = self.connections.get_mut(&token)?;
        let filled = connection.buffer.fill(&mut connection.stream, MAX_LINE_BYTES);
        if connection.response_sent {
            connection.buffer.consume(usize::MAX / 2);
            if filled == FillOutcome::Closed {
                self.close(ctx, token);
            }
            return None;
        }
        let input = connection.buffer.input();
        let end = input.iter().position(|&byte| byte == b'\n');
        if end.is_none() && filled == FillOutcome::WouldBlock {
            return None;
        }
        // A line also ends where the client closes its side of the connection, or where the length limit is reached.
        let command = parse_command(&input[..end.unwrap_or(input.len())]);
        if input.is_empty() {
            self.close(ctx, token);
            return None;
        }
        connection.buffer.consume(usize::MAX / 2);
        Some(command)
    }

    /// Sends the response to a connection's command. The connection is closed afterwards.
    pub fn respond(&mut self, ctx: &mut Context<'_>, token: usize, text: &str) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        connection.response_sent = true;
        connection.buffer.append_output(text.as_bytes());
        ctx.deadlines.set(Deadline::ManagementCall(token), ctx.now + CLOSE_TIMEOUT);
        self.flush(ctx, token);
    }

    fn flush(&mut self, ctx: &mut Context<'_>, token: usize) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        match connection.buffer.flush(&mut connection.stream) {
            // Only the write side is closed: closing the socket while it has unread input would reset the connection, and
            // the client could lose the response.
            Ok(true) => drop(connection.stream.shutdown(Shutdown::Write)),
            Ok(false) => {}
            Err(_) => self.close(ctx, token),
        }
    }

    /// Handles the timeout of a connection: sends an error if no command has arrived, else closes the connection.
    pub fn handle_timeout(&mut self, ctx: &mut Context<'_>, token: usize) {
        match self.connections.get(&token) {
            Some(connection) if !connection.response_sent => self.respond(ctx, token, "error no call came\n"),
            _ => self.close(ctx, token),
        }
    }

    fn close(&mut self, ctx: &mut Context<'_>, token: usize) {
        let Some(mut connection) = self.connections.remove(&token) else { return };
        let _ = ctx.registry.deregister(&mut connection.stream);
        ctx.deadlines.clear(Deadline::ManagementCall(token));
    }
}

/// Parses a command line; `None` if the command is unknown.
fn parse_command(line: &[u8]) -> Option<ManagementCommand> {
    match line.trim_ascii() {
        b"PING" => Some(ManagementCommand::Ping),
        b"INFO" => Some(ManagementCommand::Info),
        b"LAMEDUCK" => Some(ManagementCommand::Lameduck),
        b"REJOIN" => Some(ManagementCommand::Rejoin),
        _ => None,
    }
}
