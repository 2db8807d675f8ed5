//! Datagrams between schedulers. Only datagrams from the configured addresses are accepted.

use crate::log::log_line;
use crate::net::core::deadlines::Deadline;
use crate::net::{Context, PeerTarget};
use calicolb_freshness::witness::{self, Message};
use mio::net::UdpSocket;
use std::io::ErrorKind;
use std::net::SocketAddr;

/// Longest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 256;
/// Maximum number of datagrams received in one iteration of the event loop; the rest is received in the next
/// one.
const MAX_DATAGRAMS: usize = 256;

/// The UDP socket to the other schedulers and their addresses.
pub struct PeerSocket {
    socket: UdpSocket,
    /// Addresses by rank.
    addresses: Vec<SocketAddr>,
    /// Address that reaches all schedulers at once, if there is one.
    broadcast: Option<SocketAddr>,
    /// The rank of this scheduler.
    own_rank: u32,
    rng: fastrand::Rng,
}

impl PeerSocket {
    /// Creates a socket for the scheduler of rank `own_rank`. `seed` selects the random recipients of
    /// [`Audience::Some`].
    pub fn new(
        socket: UdpSocket,
        addresses: Vec<SocketAddr>,
        broadcast: Option<SocketAddr>,
        own_rank: u32,
        seed: u64,
    ) -> Self {
        PeerSocket { socket, addresses, broadcast, own_rank, rng: fastrand::Rng::with_seed(seed) }
    }

    /// Sets the addresses of the schedulers.
    pub fn set_addresses(&mut self, addresses: Vec<SocketAddr>, broadcast: Option<SocketAddr>) {
        (self.addresses, self.broadcast) = (addresses, broadcast);
    }

    /// Receives pending datagrams, up to `MAX_DATAGRAMS`, so that a flood does not block the event loop.
    /// Messages of the dispatcher go to the request table; messages about the worker list are returned with
    /// the rank of their sender.
    pub fn receive(&mut self, ctx: &mut Context<'_>) -> Vec<(u32, Message)> {
        let mut bytes = [0; MAX_MESSAGE_BYTES + 1];
        let mut list_messages = Vec::new();
        for _ in 0..MAX_DATAGRAMS {
            match self.socket.recv_from(&mut bytes) {
                Ok((length, from)) => {
                    let rank = self.addresses.iter().position(|peer| *peer == from);
                    match rank {
                        // A message of this rank that was sent to all. The other process of this rank is
                        // reached over the upgrade link.
                        Some(rank) if rank as u32 == self.own_rank => {}
                        Some(rank) if length <= MAX_MESSAGE_BYTES && bytes[0] == witness::VERSION => {
                            list_messages.extend(
                                Message::decode(&bytes[..length]).map(|message| (rank as u32, message)),
                            );
                        }
                        Some(rank) if length <= MAX_MESSAGE_BYTES => {
                            ctx.request_table.peer_message(rank as u32, bytes[..length].to_vec())
                        }
                        Some(_) => log_line!("ignored a datagram from {from}: it is too long"),
                        None => log_line!("ignored a datagram from {from}, which is not a peer"),
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return list_messages,
                // An earlier datagram was rejected by a closed port; the next receive may succeed.
                Err(_) => {}
            }
        }
        ctx.deadlines.set(Deadline::ReceivePeers, ctx.now + 1);
        list_messages
    }

    /// Sends a datagram to the schedulers of an audience.
    pub fn send_to_audience(&mut self, audience: PeerTarget, body: &[u8]) {
        match audience {
            PeerTarget::Rank(rank) => self.send(Some(rank), body),
            PeerTarget::Random(count) => {
                let others = (0..self.addresses.len() as u32).filter(|&rank| rank != self.own_rank);
                for rank in self.rng.choose_multiple(others, count) {
                    self.send(Some(rank), body);
                }
            }
        }
    }

    /// Sends a message to the scheduler of rank `to`, or to all if it is `None`.
    pub fn send(&self, to: Option<u32>, body: &[u8]) {
        let address = match to {
            Some(rank) => self.addresses.get(rank as usize).copied(),
            None if self.broadcast.is_none() => {
                // Without a common address, each scheduler gets its own datagram. The receiver ignores
                // messages from its own rank.
                return (0..self.addresses.len()).for_each(|rank| self.send(Some(rank as u32), body));
            }
            None => self.broadcast,
        };
        match address {
            Some(_) if body.len() > MAX_MESSAGE_BYTES => {
                log_line!("cannot send a message of {} bytes: it is too long", body.len())
            }
            // Datagrams may be lost on the network anyway, so send errors are ignored.
            Some(address) => drop(self.socket.send_to(body, address)),
            None => log_line!("cannot send a message to {to:?}, which is not a peer"),
        }
    }
}
