//! The datagram relay between schedulers. Each scheduler sends its datagrams to an address of the relay. The relay
//! counts them and forwards them from the address that represents the sender, so that the receiver identifies the
//! sender by its position in `peers`.

use super::counts::{Counts, Flow, Traffic};
use calicolb_freshness::witness::Message;
use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// Maximum number of datagrams kept while the sender's own address is unknown; later ones are dropped.
const MAX_PENDING_DATAGRAMS: usize = 65_536;
/// Larger than the longest datagram that a scheduler may send, so that a datagram over the limit is detected.
const RECEIVE_BUFFER_BYTES: usize = 2_048;

/// Returns the flows (sent, forwarded) of a datagram by its length and shape.
pub fn classify(body: &[u8]) -> (Flow, Flow) {
    match body.len() {
        3 => (Flow::HellosSent, Flow::HellosPassed),
        6 => (Flow::FaultReportsSent, Flow::FaultReportsPassed),
        8..=11 => (Flow::LoadsSent, Flow::LoadsPassed),
        _ if Message::decode(body).is_some() => (Flow::FreshnessSent, Flow::FreshnessPassed),
        _ => (Flow::UnknownSent, Flow::UnknownPassed),
    }
}

/// Sockets and state of the relay.
pub struct Relay {
    /// By rank: the socket that represents the scheduler to the others. The last socket broadcasts to all schedulers.
    sockets: Vec<UdpSocket>,
    /// By rank: the scheduler's own address, once it is known.
    scheduler_addresses: Vec<Option<SocketAddr>>,
    pending: Vec<(SocketAddr, usize, Vec<u8>)>,
    /// Token of the first socket; the sockets have consecutive tokens.
    first_token: usize,
}

impl Relay {
    /// Opens a relay between `schedulers` schedulers. Its sockets get the tokens from `first_token` on.
    pub fn new(registry: &Registry, first_token: usize, schedulers: usize) -> io::Result<Relay> {
        let mut sockets = Vec::with_capacity(schedulers + 1);
        for rank in 0..=schedulers {
            let mut socket = UdpSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
            registry.register(&mut socket, Token(first_token + rank), Interest::READABLE)?;
            sockets.push(socket);
        }
        Ok(Relay { sockets, scheduler_addresses: vec![None; schedulers], pending: Vec::new(), first_token })
    }

    /// Returns the addresses by rank, as in each scheduler's `peers`, and the broadcast address.
    pub fn addresses(&self) -> io::Result<(Vec<SocketAddr>, SocketAddr)> {
        let mut each = self.sockets.iter().map(UdpSocket::local_addr).collect::<io::Result<Vec<_>>>()?;
        let all = each.pop().ok_or(ErrorKind::NotFound)?;
        Ok((each, all))
    }

    /// Returns the rank of a token's socket; the number of schedulers stands for the broadcast socket.
    pub fn rank(&self, token: usize) -> Option<usize> {
        token.checked_sub(self.first_token).filter(|&rank| rank < self.sockets.len())
    }

    /// Sets the address of a scheduler, or `None` after it has stopped, and forwards pending datagrams.
    pub fn set_address(&mut self, rank: usize, at: Option<SocketAddr>, counts: &mut Counts) {
        self.scheduler_addresses[rank] = at;
        for (from, to, body) in std::mem::take(&mut self.pending) {
            self.forward(from, to, body, counts);
        }
    }

    /// Receives and forwards all datagrams that wait at the socket of rank `to`.
    pub fn receive(&mut self, to: usize, counts: &mut Counts) {
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        loop {
            match self.sockets[to].recv_from(&mut buffer) {
                Ok((length, from)) => self.forward(from, to, buffer[..length].to_vec(), counts),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // The error of an earlier datagram that was sent to a closed port.
                Err(_) => {}
            }
        }
    }

    fn forward(&mut self, from: SocketAddr, to: usize, body: Vec<u8>, counts: &mut Counts) {
        let Some(sender) = self.scheduler_addresses.iter().position(|address| *address == Some(from)) else {
            if self.pending.len() < MAX_PENDING_DATAGRAMS {
                self.pending.push((from, to, body));
            }
            return;
        };
        let one = Traffic { messages: 1, bytes: body.len() as u64 };
        let (sent, passed) = classify(&body);
        counts.add(sent, body.len());
        counts.relay_in = counts.relay_in.plus(one);
        counts.datagram_longest = counts.datagram_longest.max(body.len());
        let to_all = to == self.scheduler_addresses.len();
        for rank in 0..self.scheduler_addresses.len() {
            let is_receiver = if to_all { rank != sender } else { rank == to };
            let Some(address) = self.scheduler_addresses[rank].filter(|_| is_receiver) else { continue };
            if self.sockets[sender].send_to(&body, address).is_ok() {
                counts.add(passed, body.len());
                counts.relay_out = counts.relay_out.plus(one);
            }
        }
    }

    /// Sends a datagram to the scheduler `to` with the address of the scheduler `from`. Only the forwarded datagram is
    /// counted.
    pub fn send_as(&mut self, from: usize, to: usize, body: &[u8], counts: &mut Counts) {
        let Some(address) = self.scheduler_addresses[to] else { return };
        if self.sockets[from].send_to(body, address).is_ok() {
            counts.add(classify(body).1, body.len());
            counts.relay_out = counts.relay_out.plus(Traffic { messages: 1, bytes: body.len() as u64 });
        }
    }

    /// Returns the number of datagrams whose sender's address is still unknown.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }
}
