//! Messages between schedulers: datagrams to and from the addresses that the configuration names, no others.

use crate::log::log_line;
use crate::net::core::deadlines::Due;
use crate::net::{Audience, Ctx};
use calicolb_freshness::witness::{self, Message};
use mio::net::UdpSocket;
use std::io::ErrorKind;
use std::net::SocketAddr;

/// The longest message.
const LIMIT: usize = 256;
/// Datagrams taken in one turn at most; the rest come in the next.
const BATCH: usize = 256;

/// See the head of this file.
pub struct Peers {
    socket: UdpSocket,
    /// Addresses by rank.
    peers: Vec<SocketAddr>,
    all: Option<SocketAddr>,
    /// The rank of this scheduler.
    own: u32,
    rng: fastrand::Rng,
}

impl Peers {
    pub fn new(
        socket: UdpSocket,
        peers: Vec<SocketAddr>,
        all: Option<SocketAddr>,
        own: u32,
        seed: u64,
    ) -> Self {
        Peers { socket, peers, all, own, rng: fastrand::Rng::with_seed(seed) }
    }

    /// The schedulers are at these addresses from now on.
    pub fn learn(&mut self, peers: Vec<SocketAddr>, all: Option<SocketAddr>) {
        (self.peers, self.all) = (peers, all);
    }

    /// Takes what has come, as much as is one turn's share: a flood must not stop the loop. Gives what concerns the list,
    /// with the rank of its sender.
    pub fn ready(&mut self, ctx: &mut Ctx<'_>) -> Vec<(u32, Message)> {
        let mut bytes = [0; LIMIT + 1];
        let mut of_the_list = Vec::new();
        for _ in 0..BATCH {
            match self.socket.recv_from(&mut bytes) {
                Ok((length, from)) => {
                    let rank = self.peers.iter().position(|peer| *peer == from);
                    match rank {
                        // What was sent to all; by its own rank the module knows its other process.
                        Some(rank) if rank as u32 == self.own => {}
                        Some(rank) if length <= LIMIT && bytes[0] == witness::VERSION => {
                            of_the_list
                                .extend(Message::decode(&bytes[..length]).map(|told| (rank as u32, told)));
                        }
                        Some(rank) if length <= LIMIT => ctx.desk.peer(rank as u32, bytes[..length].to_vec()),
                        Some(_) => log_line!("a datagram from {from} is too long"),
                        None => log_line!("a datagram from {from}, which is no peer"),
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return of_the_list,
                // An earlier datagram met a closed port; the next may be fine.
                Err(_) => {}
            }
        }
        ctx.deadlines.set(Due::Peers, ctx.now + 1);
        of_the_list
    }

    /// Sends a datagram to this audience.
    pub fn address(&mut self, audience: Audience, body: &[u8]) {
        match audience {
            Audience::One(rank) => self.tell(Some(rank), body),
            Audience::Some(count) => {
                let others = (0..self.peers.len() as u32).filter(|&rank| rank != self.own);
                for rank in self.rng.choose_multiple(others, count) {
                    self.tell(Some(rank), body);
                }
            }
        }
    }

    /// Sends a message to one scheduler, or to all.
    pub fn tell(&self, to: Option<u32>, body: &[u8]) {
        let address = match to {
            Some(rank) => self.peers.get(rank as usize).copied(),
            None if self.all.is_none() => {
                // Each in turn; the module passes over what it hears from itself.
                return (0..self.peers.len()).for_each(|rank| self.tell(Some(rank as u32), body));
            }
            None => self.all,
        };
        match address {
            Some(_) if body.len() > LIMIT => {
                log_line!("a message of {} bytes is too long to send", body.len())
            }
            // It may be lost on the way in any case.
            Some(address) => drop(self.socket.send_to(body, address)),
            None => log_line!("a message to {to:?}, which is no peer"),
        }
    }
}
