//! The relay between schedulers: each sends its datagrams to an address of the relay, which counts them and passes them
//! on from the address that stands for the sender, so that the receiver knows it by its place in `peers`.

use super::counts::{Counts, Flow, Traffic};
use calicolb_freshness::witness::Message;
use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// Datagrams of schedulers whose own address isn't known yet: so many are kept, the rest are lost.
const MAX_PENDING_DATAGRAMS: usize = 65_536;
/// Longer than the longest datagram that a scheduler may send, so that a longer one is seen.
const RECEIVE_BUFFER_BYTES: usize = 2_048;

/// What a datagram is, by its shape.
pub fn classify(body: &[u8]) -> (Flow, Flow) {
    match body.len() {
        3 => (Flow::HellosSent, Flow::HellosPassed),
        6 => (Flow::FaultReportsSent, Flow::FaultReportsPassed),
        8..=11 => (Flow::LoadsSent, Flow::LoadsPassed),
        _ if Message::decode(body).is_some() => (Flow::FreshnessSent, Flow::FreshnessPassed),
        _ => (Flow::UnknownSent, Flow::UnknownPassed),
    }
}

/// See the head of this file.
pub struct Relay {
    /// By rank: where the others reach it, and what it is heard from; the last one reaches all.
    sockets: Vec<UdpSocket>,
    /// By rank: where the scheduler itself listens, once that is known.
    scheduler_addresses: Vec<Option<SocketAddr>>,
    pending: Vec<(SocketAddr, usize, Vec<u8>)>,
    /// Of these tokens, from this one on, the sockets have one each.
    first_token: usize,
}

impl Relay {
    /// A relay between so many schedulers; its sockets get the tokens from `first_token` on.
    pub fn new(registry: &Registry, first_token: usize, schedulers: usize) -> io::Result<Relay> {
        let mut sockets = Vec::with_capacity(schedulers + 1);
        for rank in 0..=schedulers {
            let mut socket = UdpSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
            registry.register(&mut socket, Token(first_token + rank), Interest::READABLE)?;
            sockets.push(socket);
        }
        Ok(Relay { sockets, scheduler_addresses: vec![None; schedulers], pending: Vec::new(), first_token })
    }

    /// The addresses by rank, as each scheduler's `peers` name them, and the one that reaches all.
    pub fn addresses(&self) -> io::Result<(Vec<SocketAddr>, SocketAddr)> {
        let mut each = self.sockets.iter().map(UdpSocket::local_addr).collect::<io::Result<Vec<_>>>()?;
        let all = each.pop().ok_or(ErrorKind::NotFound)?;
        Ok((each, all))
    }

    /// The rank, or one beyond the last for all, that a token stands for.
    pub fn rank(&self, token: usize) -> Option<usize> {
        token.checked_sub(self.first_token).filter(|&rank| rank < self.sockets.len())
    }

    /// A scheduler listens here from now on; `None`: it has gone.
    pub fn set_address(&mut self, rank: usize, at: Option<SocketAddr>, counts: &mut Counts) {
        self.scheduler_addresses[rank] = at;
        for (from, to, body) in std::mem::take(&mut self.pending) {
            self.forward(from, to, body, counts);
        }
    }

    /// Takes what has come for this rank.
    pub fn receive(&mut self, to: usize, counts: &mut Counts) {
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        loop {
            match self.sockets[to].recv_from(&mut buffer) {
                Ok((length, from)) => self.forward(from, to, buffer[..length].to_vec(), counts),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // An earlier datagram met a closed port.
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

    /// Sends a datagram to the scheduler of one rank as if that of another had: only what is passed on is counted.
    pub fn send_as(&mut self, from: usize, to: usize, body: &[u8], counts: &mut Counts) {
        let Some(address) = self.scheduler_addresses[to] else { return };
        if self.sockets[from].send_to(body, address).is_ok() {
            counts.add(classify(body).1, body.len());
            counts.relay_out = counts.relay_out.plus(Traffic { messages: 1, bytes: body.len() as u64 });
        }
    }

    /// Datagrams that came while the sender's address was not known yet, and still isn't.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }
}
