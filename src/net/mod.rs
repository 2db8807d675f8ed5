//! The network side: sockets, framing, and the desk where they meet the decisions.
//!
//! `core` knows no protocol; `http` and `gearman` are protocols, each behind the same trait; `platform` is what the
//! platform brings (discovery, other schedulers, upgrades); `operators` is their door; `turn` is the loop; `control` is the other role,
//! with a loop of its own.

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
use self::core::request_table::RequestTable;
use calicolb::api::Micros;
use calicolb::wire::Names;
use mio::Registry;

/// What every part of the network side works with in a turn of the loop.
pub struct Context<'a> {
    registry: &'a Registry,
    names: &'a Names,
    deadlines: &'a mut Deadlines,
    request_table: &'a mut RequestTable<Payload>,
    last_token: &'a mut usize,
    /// Call-backs that fit nothing here: the other process of this scheduler, if there is one, is to be told.
    unmatched_callbacks: &'a mut Vec<String>,
    /// What a protocol wants of the whole program.
    protocol_requests: &'a mut Vec<protocol::ProtocolRequest>,
    /// Datagrams to other schedulers, sent at the end of the turn.
    peer_outbox: &'a mut Vec<(PeerTarget, Vec<u8>)>,
    now: Micros,
}

/// Which other schedulers a datagram is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerTarget {
    /// The one of this rank.
    Rank(u32),
    /// So many, drawn by chance.
    Random(usize),
}

impl Context<'_> {
    /// Sends a datagram to other schedulers, where there are any.
    fn send_to_peers(&mut self, audience: PeerTarget, body: Vec<u8>) {
        self.peer_outbox.push((audience, body));
    }

    /// A number for a new connection. None is given twice, so a late event of one that is gone meets nothing.
    fn next_token(&mut self) -> usize {
        *self.last_token += 1;
        *self.last_token
    }
}
