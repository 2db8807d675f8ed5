//! The link between the two processes of a scheduler during an upgrade. The processes share the clients'
//! listening socket and `$TMPDIR`, and exchange messages over a Unix socket there, one line of JSON per
//! message. The process that was running before is the predecessor, the one that replaces it the successor.
//!
//! This module only carries messages. The event loop acts on them.

use crate::log::log_line;
use crate::net::Context;
use crate::net::core::buffer::{Buffer, FillOutcome};
use crate::net::core::transfer::{AnyTransfer, Transfer};
use crate::net::platform::handover::Handover;
use calicolb::api::Micros;
use mio::net::{TcpStream, UnixListener, UnixStream};
use mio::{Interest, Registry, Token};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg,
};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::fs;
use std::io::{self, IoSlice, IoSliceMut, Read};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;

/// Time in which the predecessor must hand over, in microseconds. A dead or unresponsive predecessor must not
/// keep the successor from serving.
pub const HANDOVER_TIMEOUT: Micros = 1_000_000;
/// Size of one message, or of the unsent output, above which a link is closed, in bytes.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Messages between the two processes.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Message {
    /// The first message of a successor.
    #[serde(rename = "heir")]
    HandoverRequest,
    /// The predecessor's response: from now on the successor takes new requests.
    Handover(Box<Handover>),
    /// A request with this name was opened in the sending process.
    #[serde(rename = "opened")]
    RequestOpened(String),
    /// The request with this name has ended.
    #[serde(rename = "closed")]
    RequestClosed(String),
    /// The body of a callback that matches no request of the sending process.
    #[serde(rename = "news")]
    Callback(String),
    /// A message of the dispatcher to its own rank, for the dispatcher of the successor.
    #[serde(rename = "load")]
    DispatcherData(Vec<u8>),
    /// A request that continues at the successor. The connection of its client is passed along with this
    /// message.
    #[serde(rename = "bequest")]
    Transfer(Box<AnyTransfer>),
    /// The successor continues the request with this name and will answer it.
    #[serde(rename = "adopted")]
    TransferAccepted(String),
    /// The successor cannot continue the request with this name, so it stays at the predecessor.
    #[serde(rename = "declined")]
    TransferDeclined(String),
    /// An operator wants clients to be drained (`true`) or accepted again.
    Drain(bool),
}

/// The role of the process at the other end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The process that was running before the upgrade.
    Predecessor,
    /// The process that replaces the other one.
    Successor,
}

impl Role {
    /// Returns the opposite role.
    pub fn other(self) -> Self {
        if self == Role::Predecessor { Role::Successor } else { Role::Predecessor }
    }
}

struct Link {
    token: usize,
    stream: UnixStream,
    buffer: Buffer,
}

/// Reads a link together with the passed file descriptors, which a plain read would drop.
struct DescriptorReader<'a>(&'a UnixStream, &'a mut VecDeque<Option<OwnedFd>>);

impl Read for DescriptorReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let mut slices = [IoSliceMut::new(buffer)];
        let received = recvmsg(self.0, &mut slices, &mut control, RecvFlags::CMSG_CLOEXEC)?;
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                self.1.extend(descriptors.map(Some));
            }
        }
        if received.flags.contains(ReturnFlags::CTRUNC) {
            // A descriptor arrived, but this process had no free descriptor number for it. `None` takes its
            // place, so that its message does not get the descriptor of the next message.
            self.1.push_back(None);
        }
        Ok(received.bytes)
    }
}

/// The listener for a successor and the links to a predecessor and a successor.
#[derive(Default)]
pub struct UpgradeLink {
    path: Option<PathBuf>,
    listener: Option<UnixListener>,
    predecessor: Option<Link>,
    successor: Option<Link>,
    /// Passed connections in the order of their messages; `None` if a connection could not be received. They
    /// are kept apart from the link, because the last messages of a link may arrive together with its end.
    received_descriptors: VecDeque<Option<OwnedFd>>,
    /// How far the predecessor's clock is ahead of this process's clock, in microseconds: the largest value
    /// that a message of the predecessor has shown. Each message spent some time in transit and so shows too
    /// small a value.
    clock_offset: Option<i64>,
}

impl UpgradeLink {
    /// `path`: the Unix socket where the two processes meet; `None` if there is no other process.
    pub fn new(path: Option<PathBuf>) -> Self {
        UpgradeLink { path, ..UpgradeLink::default() }
    }

    /// Asks the predecessor to hand over. Returns whether there is one.
    pub fn connect_to_predecessor(&mut self, ctx: &mut Context<'_>) -> bool {
        let Some(path) = &self.path else { return false };
        // A socket without a listener was left behind by a process that has exited.
        let Ok(stream) = UnixStream::connect(path) else { return false };
        self.predecessor = register_link(ctx, stream);
        self.send(Role::Predecessor, &Message::HandoverRequest);
        self.predecessor.is_some()
    }

    /// Starts listening for a successor, replacing the socket of any process that listened there before.
    pub fn listen(&mut self, registry: &Registry, token: Token) {
        let Some(path) = &self.path else { return };
        let bind = || {
            if let Err(error) = fs::remove_file(path)
                && error.kind() != io::ErrorKind::NotFound
            {
                return Err(error);
            }
            let mut listener = UnixListener::bind(path)?;
            registry.register(&mut listener, token, Interest::READABLE)?;
            Ok(listener)
        };
        match bind() {
            Ok(listener) => self.listener = Some(listener),
            // Serving takes precedence: without the listener only the next upgrade fails to hand over.
            Err(error) => log_line!("failed to listen for a successor at {}: {error}", path.display()),
        }
    }

    /// Stops listening, because this process has a successor: a later process connects to that successor.
    pub fn stop_listening(&mut self) {
        self.listener = None;
    }

    /// Accepts connections of successors. A later connection replaces an earlier one, since this process can
    /// hand over to only one successor.
    pub fn accept(&mut self, ctx: &mut Context<'_>) {
        while let Some(Ok((stream, _))) = self.listener.as_ref().map(UnixListener::accept) {
            self.successor = register_link(ctx, stream);
        }
    }

    /// Returns whether the token belongs to one of the links.
    pub fn owns_token(&self, token: usize) -> bool {
        [&self.predecessor, &self.successor].into_iter().flatten().any(|link| link.token == token)
    }

    /// Returns whether there is a link to another process.
    pub fn is_connected(&self) -> bool {
        self.predecessor.is_some() || self.successor.is_some()
    }

    /// Handles a readable or writable link. Returns the role of the other process, its messages, and whether
    /// the link has ended.
    pub fn receive(&mut self, ctx: &mut Context<'_>, token: usize) -> (Role, Vec<Message>, bool) {
        let role = if self.predecessor.as_ref().is_some_and(|link| link.token == token) {
            Role::Predecessor
        } else {
            Role::Successor
        };
        let mut messages = Vec::new();
        let link = if role == Role::Predecessor { &mut self.predecessor } else { &mut self.successor };
        let Some(link) = link else { return (role, messages, false) };
        let mut intact = link.buffer.flush(&mut link.stream).is_ok();
        let filled = link
            .buffer
            .fill(&mut DescriptorReader(&link.stream, &mut self.received_descriptors), MAX_MESSAGE_BYTES);
        while let Some(end) = link.buffer.input().iter().position(|&byte| byte == b'\n') {
            match serde_json::from_slice(&link.buffer.input()[..end]) {
                Ok(message) => messages.push(message),
                Err(error) => {
                    log_line!("malformed message from the {role:?}: {error}");
                    intact = false;
                }
            }
            link.buffer.consume(end + 1);
        }
        intact &= link.buffer.input().len() < MAX_MESSAGE_BYTES && filled != FillOutcome::Closed;
        if intact && filled == FillOutcome::LimitReached && !link.buffer.has_output() {
            ctx.input_queue.push_backlog(token);
        }
        if !intact {
            self.close_link(ctx, role);
        }
        (role, messages, !intact)
    }

    /// Sends a message if there is a link to a process in this role.
    pub fn send(&mut self, role: Role, message: &Message) {
        let Some(link) = self.link(role) else { return };
        let Ok(mut line) = serde_json::to_vec(message) else {
            return log_line!("failed to serialize a message to the {role:?}");
        };
        line.push(b'\n');
        link.buffer.append_output(&line);
        // A broken link is also reported by the poll and handled there.
        let _ = link.buffer.flush(&mut link.stream);
        if link.buffer.pending_output() > MAX_MESSAGE_BYTES {
            log_line!("the {role:?} does not read its messages");
            let _ = link.stream.shutdown(Shutdown::Both);
            link.buffer = Buffer::default();
        }
    }

    /// Sends the state of this process to a successor.
    pub fn send_handover(&mut self, handover: Handover) {
        let line = match handover.encode(MAX_MESSAGE_BYTES) {
            Ok(line) => line,
            Err(error) => return log_line!("failed to serialize the state for the successor: {error}"),
        };
        log_line!(bytes = line.len(), "sending the state of this process to the successor");
        let Some(link) = &mut self.successor else { return };
        link.buffer.append_owned_output(line);
        // A broken link is also reported by the poll and handled there.
        let _ = link.buffer.flush(&mut link.stream);
    }

    /// Returns the next passed connection; `None` if its descriptor could not be received.
    pub fn take_received_connection(&mut self) -> Option<TcpStream> {
        let descriptor = self.received_descriptors.pop_front()??;
        Some(TcpStream::from_std(descriptor.into()))
    }

    /// Returns whether all output to the successor is written, so that a request can be sent with its
    /// client's connection.
    pub fn ready_for_transfer(&mut self) -> bool {
        let Some(link) = &mut self.successor else { return false };
        // Pending output must be written first, or the connection would be attached to another message.
        matches!(link.buffer.flush(&mut link.stream), Ok(true))
    }

    /// Sends a request to the successor together with its client's connection. Returns whether that was
    /// possible.
    pub fn send_transfer(&mut self, stream: &TcpStream, transfer: &Transfer) -> bool {
        let transfer = AnyTransfer::Current(transfer.clone());
        let Ok(mut line) = serde_json::to_vec(&Message::Transfer(Box::new(transfer))) else { return false };
        line.push(b'\n');
        if !self.ready_for_transfer() {
            return false;
        }
        let Some(link) = &mut self.successor else { return false };
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        let descriptors = [stream.as_fd()];
        if !control.push(SendAncillaryMessage::ScmRights(&descriptors)) {
            return false;
        }
        match sendmsg(&link.stream, &[IoSlice::new(&line)], &mut control, SendFlags::NOSIGNAL) {
            Ok(sent) => {
                link.buffer.append_output(&line[sent..]);
                let _ = link.buffer.flush(&mut link.stream);
                true
            }
            Err(_) => false,
        }
    }

    /// Updates the clock offset from a message in which the predecessor's clock showed `remote` microseconds.
    /// Returns by how many microseconds that clock is ahead.
    pub fn record_clock_offset(&mut self, now: Micros, remote: Micros) -> i64 {
        let observed = remote.cast_signed() - now.cast_signed();
        *self.clock_offset.insert(self.clock_offset.map_or(observed, |offset| offset.max(observed)))
    }

    fn link(&mut self, role: Role) -> Option<&mut Link> {
        match role {
            Role::Predecessor => self.predecessor.as_mut(),
            Role::Successor => self.successor.as_mut(),
        }
    }

    fn close_link(&mut self, ctx: &mut Context<'_>, role: Role) {
        let link = match role {
            Role::Predecessor => self.predecessor.take(),
            Role::Successor => self.successor.take(),
        };
        if let Some(mut link) = link {
            let _ = ctx.registry.deregister(&mut link.stream);
        }
    }
}

fn register_link(ctx: &mut Context<'_>, mut stream: UnixStream) -> Option<Link> {
    let token = ctx.next_token();
    match ctx.registry.register(&mut stream, Token(token), Interest::READABLE | Interest::WRITABLE) {
        Ok(()) => Some(Link { token, stream, buffer: Buffer::default() }),
        Err(error) => {
            log_line!("failed to register the link to another process: {error}");
            None
        }
    }
}
