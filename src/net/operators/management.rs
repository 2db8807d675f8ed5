//! The operators' door: a second listener, where a connection carries one line and gets one answer.

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
/// Calls that may be open at once. The next one ends the oldest: who connects and says nothing must not keep
/// others out, and the descriptors kept for the door are so many.
pub const MAX_MANAGEMENT_CONNECTIONS: usize = 16;
/// A call whose line has not come by then is turned away.
const SLOW: Micros = 3 * SECOND;
/// How long the answer may take to be read before the call is cut.
const LINGER: Micros = SECOND;
/// The longest line that is looked at.
const LINE: usize = 256;
/// Accepting is tried again after this time when no descriptor could be had.
const AGAIN: Micros = SECOND / 50;

/// What an operator wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ManagementCommand {
    Ping,
    Info,
    Lameduck,
    Rejoin,
}

struct Call {
    stream: TcpStream,
    buffer: Buffer,
    answered: bool,
}

/// See the head of this file.
pub struct ManagementServer {
    listener: TcpListener,
    /// By the number of the connection, so the oldest comes first.
    calls: BTreeMap<usize, Call>,
}

impl ManagementServer {
    pub fn new(listener: TcpListener) -> Self {
        ManagementServer { listener, calls: BTreeMap::new() }
    }

    /// The connection is one of these.
    pub fn owns(&self, token: usize) -> bool {
        self.calls.contains_key(&token)
    }

    /// Takes new calls; those that bring their line along are given back at once.
    pub fn accept(
        &mut self,
        ctx: &mut Context<'_>,
        spare: &mut dyn ReleaseIdle,
    ) -> Vec<(usize, Option<ManagementCommand>)> {
        let mut orders = Vec::new();
        // As many in a turn as may be open; the rest come in the next.
        for _ in 0..MAX_MANAGEMENT_CONNECTIONS {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    if let Some(token) = self.open(ctx, stream)
                        && let Some(order) = self.handle_ready(ctx, token)
                    {
                        orders.push((token, order));
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return orders,
                Err(error)
                    if matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(error) => {
                    // Out of descriptors, say: operators come before clients at rest.
                    log_line!("accepting an operator's call: {error}");
                    spare.release_idle(ctx);
                    ctx.deadlines.set(Deadline::ManagementAccept, ctx.now + AGAIN);
                    return orders;
                }
            }
        }
        ctx.deadlines.set(Deadline::ManagementAccept, ctx.now + 1);
        orders
    }

    fn open(&mut self, ctx: &mut Context<'_>, mut stream: TcpStream) -> Option<usize> {
        if self.calls.len() >= MAX_MANAGEMENT_CONNECTIONS
            && let Some(&oldest) = self.calls.keys().next()
        {
            self.drop_call(ctx, oldest);
        }
        let token = ctx.next_token();
        let both = Interest::READABLE | Interest::WRITABLE;
        if let Err(error) = ctx.registry.register(&mut stream, Token(token), both) {
            log_line!("watching an operator's call: {error}");
            return None;
        }
        ctx.deadlines.set(Deadline::ManagementCall(token), ctx.now + SLOW);
        self.calls.insert(token, Call { stream, buffer: Buffer::default(), answered: false });
        Some(token)
    }

    /// Something can be read or written. Gives the order once its line is whole; `Some(None)` is one that
    /// nobody understands.
    pub fn handle_ready(&mut self, ctx: &mut Context<'_>, token: usize) -> Option<Option<ManagementCommand>> {
        let call = self.calls.get_mut(&token)?;
        if call.buffer.has_output() {
            self.flush(ctx, token);
        }
        let call = self.calls.get_mut(&token)?;
        let filled = call.buffer.fill(&mut call.stream, LINE);
        if call.answered {
            call.buffer.consume(usize::MAX / 2);
            if filled == FillOutcome::Closed {
                self.drop_call(ctx, token);
            }
            return None;
        }
        let input = call.buffer.input();
        let end = input.iter().position(|&byte| byte == b'\n');
        if end.is_none() && filled == FillOutcome::WouldBlock {
            return None;
        }
        // The end of what the client has to say ends its line as well.
        let order = read(&input[..end.unwrap_or(input.len())]);
        if input.is_empty() {
            self.drop_call(ctx, token);
            return None;
        }
        call.buffer.consume(usize::MAX / 2);
        Some(order)
    }

    /// Answers a call; it ends with that.
    pub fn respond(&mut self, ctx: &mut Context<'_>, token: usize, text: &str) {
        let Some(call) = self.calls.get_mut(&token) else { return };
        call.answered = true;
        call.buffer.append_output(text.as_bytes());
        ctx.deadlines.set(Deadline::ManagementCall(token), ctx.now + LINGER);
        self.flush(ctx, token);
    }

    fn flush(&mut self, ctx: &mut Context<'_>, token: usize) {
        let Some(call) = self.calls.get_mut(&token) else { return };
        match call.buffer.flush(&mut call.stream) {
            // Closed with something unread, the connection would be reset, and take the answer along.
            Ok(true) => drop(call.stream.shutdown(Shutdown::Write)),
            Ok(false) => {}
            Err(_) => self.drop_call(ctx, token),
        }
    }

    /// A call has been open for too long.
    pub fn handle_timeout(&mut self, ctx: &mut Context<'_>, token: usize) {
        match self.calls.get(&token) {
            Some(call) if !call.answered => self.respond(ctx, token, "error no call came\n"),
            _ => self.drop_call(ctx, token),
        }
    }

    fn drop_call(&mut self, ctx: &mut Context<'_>, token: usize) {
        let Some(mut call) = self.calls.remove(&token) else { return };
        let _ = ctx.registry.deregister(&mut call.stream);
        ctx.deadlines.clear(Deadline::ManagementCall(token));
    }
}

fn read(line: &[u8]) -> Option<ManagementCommand> {
    match line.trim_ascii() {
        b"PING" => Some(ManagementCommand::Ping),
        b"INFO" => Some(ManagementCommand::Info),
        b"LAMEDUCK" => Some(ManagementCommand::Lameduck),
        b"REJOIN" => Some(ManagementCommand::Rejoin),
        _ => None,
    }
}
