//! Networking: sockets, framing, and the request table that connects them to the decision module.
//!
//! - `core` holds what all protocols share and depends on none of them.
//! - `http` and `gearman` are protocols, each behind the trait [`protocol::Protocol`].
//! - `platform` holds what the platform provides: discovery, messages between schedulers, upgrades.
//! - `operators` is the management interface.
//! - `event_loop` is the loop of a scheduler.
//! - `control` is the role of a control machine, which has a loop of its own.

pub mod control;
pub mod core;
pub mod event_loop;
mod gearman;
mod http;
mod operators;
pub mod platform;
mod protocol;

use self::core::deadlines::Deadlines;
use self::core::envelope::Payload;
use self::core::input_queue::InputQueue;
use self::core::memory::MemoryAccount;
use self::core::request_table::RequestTable;
use calicolb::api::Micros;
use calicolb::wire::Names;
use mio::Registry;

/// State of the scheduler that all networking code can use during an iteration of the event loop.
pub struct Context<'a> {
    registry: &'a Registry,
    names: &'a Names,
    deadlines: &'a mut Deadlines,
    request_table: &'a mut RequestTable<Payload>,
    /// The last token that was assigned to a connection.
    last_token: &'a mut usize,
    /// Callbacks that match no request of this process. They are passed on to the other process of this scheduler
    /// during an upgrade.
    unmatched_callbacks: &'a mut Vec<String>,
    /// Requests of protocols that concern the whole process.
    protocol_requests: &'a mut Vec<protocol::ProtocolRequest>,
    /// Datagrams to other schedulers, sent at the end of the iteration.
    peer_outbox: &'a mut Vec<(PeerTarget, Vec<u8>)>,
    /// Connections whose input waits to be processed.
    input_queue: &'a mut InputQueue,
    /// The memory that peers make the process hold.
    memory: &'a MemoryAccount,
    now: Micros,
}

/// The schedulers that a datagram is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerTarget {
    /// The scheduler of this rank.
    Rank(u32),
    /// This number of randomly chosen schedulers.
    Random(usize),
}

impl Context<'_> {
    /// Queues a datagram for other schedulers. It is dropped if no other schedulers are configured.
    fn send_to_peers(&mut self, target: PeerTarget, body: Vec<u8>) {
        self.peer_outbox.push((target, body));
    }

    /// Assigns a token for a new connection. Tokens are never reused, so a late event of a closed connection matches no
    /// other connection.
    fn next_token(&mut self) -> usize {
        *self.last_token += 1;
        *self.last_token
    }
}
