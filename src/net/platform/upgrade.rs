//! The link between the two processes of a scheduler while one is upgraded to the next. They share the clients'
//! socket and `$TMPDIR`, and talk over a Unix socket there, one line of JSON a message. The process that was
//! there before is the predecessor, the one that takes its place the successor.
//!
//! Nothing here decides anything: what a message means is the turn's business.

use crate::config::worker_list::ListUpdate;
use crate::log::log_line;
use crate::net::Ctx;
use crate::net::core::buffer::{Buffer, Filled};
use crate::net::core::transfer::{AnyTransfer, Transfer};
use calicolb::api::Micros;
use calicolb::wire::Names;
use mio::net::{TcpStream, UnixListener, UnixStream};
use mio::{Interest, Registry, Token};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::VecDeque;
use std::fs;
use std::io::{self, IoSlice, IoSliceMut, Read};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;

/// The predecessor has this long to hand over. One that is dead or silent must not keep the successor from serving.
pub const PATIENCE: Micros = 1_000_000;
/// Where a link that brings more than this in one message, or leaves so much unread, is cut.
const LIMIT: usize = 4 << 20;

/// What the two processes say to each other.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Word {
    /// The first word of a successor.
    #[serde(rename = "heir")]
    Successor,
    /// The predecessor's answer: from now on the successor takes what comes.
    Handover(Box<Handover>),
    /// A request of this name is open here.
    Opened(String),
    /// It is open no more.
    Closed(String),
    /// A call-back that fits nothing here, as it came.
    News(String),
    /// What the module tells itself on the other side.
    Load(Vec<u8>),
    /// A request that goes on at the successor. Its client's connection comes along with this word.
    #[serde(rename = "bequest")]
    Transfer(Box<AnyTransfer>),
    /// The successor goes on with the request of this name, and answers it.
    Adopted(String),
    /// The successor cannot go on with the request of this name: it stays where it was.
    Declined(String),
    /// An operator wants clients sent away (`true`), or welcomed again.
    Drain(bool),
}

/// What a successor gets.
#[derive(Serialize, Deserialize)]
pub struct Handover {
    /// The list of next hops, and its version.
    pub routes: ListUpdate,
    /// The predecessor's clock as this was written; a predecessor of before does not tell it.
    #[serde(default)]
    pub clock: Option<Micros>,
    /// How long ago discovery confirmed that list; `None`: never, or the process is one that does not tell.
    #[serde(default)]
    pub confirmed_us_ago: Option<u64>,
    /// What the module has learned, in its own words.
    pub knowledge: Value,
    /// The names that its places stand for; a predecessor of before does not tell them.
    #[serde(default)]
    pub names: Option<Listed>,
    /// The names of the requests that are open.
    pub open: Vec<String>,
    /// Clients are being sent away, as an operator asked.
    pub drained: bool,
}

/// Classes and tenants in the order of their places.
#[derive(Serialize, Deserialize)]
pub struct Listed {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
}

impl Listed {
    pub fn new(names: &Names) -> Self {
        let texts = |name: &str| name.to_owned();
        Listed {
            classes: names.classes().map(texts).collect(),
            tenants: names.tenants().map(texts).collect(),
        }
    }
}

/// Which of the two others is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Predecessor,
    Successor,
}

impl Side {
    /// The other one.
    pub fn other(self) -> Self {
        if self == Side::Predecessor { Side::Successor } else { Side::Predecessor }
    }
}

struct Link {
    token: usize,
    stream: UnixStream,
    buffer: Buffer,
}

/// Reads what comes on a link, and the descriptors that come along: a plain read would drop them.
struct Mail<'a>(&'a UnixStream, &'a mut VecDeque<Option<OwnedFd>>);

impl Read for Mail<'_> {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut along = RecvAncillaryBuffer::new(&mut space);
        let mut into = [IoSliceMut::new(into)];
        let got = recvmsg(self.0, &mut into, &mut along, RecvFlags::CMSG_CLOEXEC)?;
        for message in along.drain() {
            if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                self.1.extend(descriptors.map(Some));
            }
        }
        if got.flags.contains(ReturnFlags::CTRUNC) {
            // One came for which this process had no room: its word comes with none, and not with the next one's.
            self.1.push_back(None);
        }
        Ok(got.bytes)
    }
}

/// See the head of this file.
#[derive(Default)]
pub struct UpgradeLink {
    path: Option<PathBuf>,
    listener: Option<UnixListener>,
    predecessor: Option<Link>,
    successor: Option<Link>,
    /// Connections that have come along, in the order of their words. Kept apart from the link: its last words may
    /// come together with its end.
    passed: VecDeque<Option<OwnedFd>>,
    /// By how much the predecessor's clock is ahead of this one's: the most that its words have shown, since each of them was
    /// under way for some time.
    ahead: Option<i64>,
}

impl UpgradeLink {
    /// `path`: where the two meet; without one there is no other process.
    pub fn new(path: Option<PathBuf>) -> Self {
        UpgradeLink { path, ..UpgradeLink::default() }
    }

    /// Asks the predecessor, if there is one, to hand over; tells whether there is.
    pub fn call(&mut self, ctx: &mut Ctx<'_>) -> bool {
        let Some(path) = &self.path else { return false };
        // A socket that nobody listens at any more was left by a process that has gone.
        let Ok(stream) = UnixStream::connect(path) else { return false };
        self.predecessor = link(ctx, stream);
        self.say(Side::Predecessor, &Word::Successor);
        self.predecessor.is_some()
    }

    /// Begins to wait for a successor, in the place of whoever waited there before.
    pub fn listen(&mut self, registry: &Registry, token: Token) {
        let Some(path) = &self.path else { return };
        let bound = || {
            if let Err(error) = fs::remove_file(path)
                && error.kind() != io::ErrorKind::NotFound
            {
                return Err(error);
            }
            let mut listener = UnixListener::bind(path)?;
            registry.register(&mut listener, token, Interest::READABLE)?;
            Ok(listener)
        };
        match bound() {
            Ok(listener) => self.listener = Some(listener),
            // Serving comes first; the next upgrade will find nobody to hand over.
            Err(error) => log_line!("no successor can find this process: {}: {error}", path.display()),
        }
    }

    /// A successor has been found: the next one will turn to it.
    pub fn stop_listening(&mut self) {
        self.listener = None;
    }

    /// Somebody connects, a successor perhaps. One at a time: there is one place to hand over.
    pub fn accept(&mut self, ctx: &mut Ctx<'_>) {
        while let Some(Ok((stream, _))) = self.listener.as_ref().map(UnixListener::accept) {
            self.successor = link(ctx, stream);
        }
    }

    /// The connection is one of these.
    pub fn has(&self, token: usize) -> bool {
        [&self.predecessor, &self.successor].into_iter().flatten().any(|link| link.token == token)
    }

    /// There is another process.
    pub fn any(&self) -> bool {
        self.predecessor.is_some() || self.successor.is_some()
    }

    /// Something can be read or written; gives what was said, and whether the link has ended.
    pub fn ready(&mut self, ctx: &mut Ctx<'_>, token: usize) -> (Side, Vec<Word>, bool) {
        let side = if self.predecessor.as_ref().is_some_and(|link| link.token == token) {
            Side::Predecessor
        } else {
            Side::Successor
        };
        let mut words = Vec::new();
        let link = if side == Side::Predecessor { &mut self.predecessor } else { &mut self.successor };
        let Some(link) = link else { return (side, words, false) };
        let mut sound = link.buffer.flush(&mut link.stream).is_ok();
        let filled = link.buffer.fill(&mut Mail(&link.stream, &mut self.passed), LIMIT);
        while let Some(end) = link.buffer.input().iter().position(|&byte| byte == b'\n') {
            match serde_json::from_slice(&link.buffer.input()[..end]) {
                Ok(word) => words.push(word),
                Err(error) => {
                    log_line!("the {side:?} is not understood: {error}");
                    sound = false;
                }
            }
            link.buffer.consume(end + 1);
        }
        sound &= link.buffer.input().len() < LIMIT && filled != Filled::Ended;
        if !sound {
            self.cut(ctx, side);
        }
        (side, words, !sound)
    }

    /// Says something, if there is anybody to hear it.
    pub fn say(&mut self, side: Side, word: &Word) {
        let Some(link) = self.link(side) else { return };
        let Ok(mut line) = serde_json::to_vec(word) else {
            return log_line!("a word to the {side:?} cannot be written");
        };
        line.push(b'\n');
        link.buffer.put(&line);
        // That a link has broken is told by the poll as well, and dealt with there.
        let _ = link.buffer.flush(&mut link.stream);
        if link.buffer.waiting() > LIMIT {
            log_line!("the {side:?} does not listen");
            let _ = link.stream.shutdown(Shutdown::Both);
            link.buffer = Buffer::default();
        }
    }

    /// The next connection that came along with a word.
    pub fn passed(&mut self) -> Option<TcpStream> {
        let descriptor = self.passed.pop_front()??;
        Some(TcpStream::from_std(descriptor.into()))
    }

    /// The successor has taken all that was written to it, so that a request can be sent to it with its client's connection.
    pub fn can_transfer(&mut self) -> bool {
        let Some(link) = &mut self.successor else { return false };
        // What waits goes first, or the connection would come along with another word.
        matches!(link.buffer.flush(&mut link.stream), Ok(true))
    }

    /// Sends a request to the successor, with its client's connection; tells whether that could be done.
    pub fn transfer(&mut self, stream: &TcpStream, transfer: &Transfer) -> bool {
        let transfer = AnyTransfer::Whole(transfer.clone());
        let Ok(mut line) = serde_json::to_vec(&Word::Transfer(Box::new(transfer))) else { return false };
        line.push(b'\n');
        if !self.can_transfer() {
            return false;
        }
        let Some(link) = &mut self.successor else { return false };
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut along = SendAncillaryBuffer::new(&mut space);
        let descriptors = [stream.as_fd()];
        if !along.push(SendAncillaryMessage::ScmRights(&descriptors)) {
            return false;
        }
        match sendmsg(&link.stream, &[IoSlice::new(&line)], &mut along, SendFlags::NOSIGNAL) {
            Ok(sent) => {
                link.buffer.put(&line[sent..]);
                let _ = link.buffer.flush(&mut link.stream);
                true
            }
            Err(_) => false,
        }
    }

    /// The predecessor's clock showed this as it spoke; gives by how much it is ahead of this one's.
    pub fn hear_clock(&mut self, now: Micros, told: Micros) -> i64 {
        let shown = told.cast_signed() - now.cast_signed();
        *self.ahead.insert(self.ahead.map_or(shown, |ahead| ahead.max(shown)))
    }

    fn link(&mut self, side: Side) -> Option<&mut Link> {
        match side {
            Side::Predecessor => self.predecessor.as_mut(),
            Side::Successor => self.successor.as_mut(),
        }
    }

    fn cut(&mut self, ctx: &mut Ctx<'_>, side: Side) {
        let link = match side {
            Side::Predecessor => self.predecessor.take(),
            Side::Successor => self.successor.take(),
        };
        if let Some(mut link) = link {
            let _ = ctx.registry.deregister(&mut link.stream);
        }
    }
}

fn link(ctx: &mut Ctx<'_>, mut stream: UnixStream) -> Option<Link> {
    let token = ctx.next_token();
    match ctx.registry.register(&mut stream, Token(token), Interest::READABLE | Interest::WRITABLE) {
        Ok(()) => Some(Link { token, stream, buffer: Buffer::default() }),
        Err(error) => {
            log_line!("watching the link to another process: {error}");
            None
        }
    }
}
