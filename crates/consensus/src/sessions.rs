//! Sessions with the other voters, and the evidence of a majority.
//!
//! The consensus crate expects messages in order, and to be told when a session broke. Sessions here break whenever
//! a message of the log is missed; both ends learn it from counts that every message carries.
//!
//! Only answers count as evidence: an answer to a round of heartbeats proves that both directions worked after the
//! round began, by this voter's own ticks, however long the answer was on its way.

use crate::envelope::Envelope;
use crate::limits::CONTACT_TIMEOUT_TICKS;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message;
use omnipaxos::messages::ballot_leader_election::HeartbeatMsg;
use std::collections::{BTreeMap, VecDeque};

#[derive(Debug, Default)]
struct Peer {
    sent: u64,
    start: u64,
    received: u64,
    gaps: u64,
    gaps_told: u64,
    answered: u32,
    evidence: Option<Evidence>,
}

#[derive(Debug, Clone, Copy)]
struct Evidence {
    /// When the round that was answered began.
    tick: u64,
    leader: u64,
    leads: bool,
    decided: usize,
    /// The highest ballot it knows.
    ballot: Ballot,
}

/// What to do with a message.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Old, or there already.
    Drop,
    /// Hand it on.
    Take,
    /// Hand it on, then say that the session broke.
    TakeAndReconnect,
}

#[derive(Debug)]
pub(crate) struct Sessions {
    start: u64,
    tick: u64,
    peers: BTreeMap<u64, Peer>,
    rounds: VecDeque<(u32, u64)>,
}

impl Sessions {
    pub(crate) fn new(start: u64, peers: impl Iterator<Item = u64>) -> Sessions {
        let peers = peers.map(|peer| (peer, Peer::default())).collect();
        Sessions { start, tick: 0, peers, rounds: VecDeque::new() }
    }

    pub(crate) fn pass(&mut self, ticks: u64) {
        self.tick = self.tick.saturating_add(ticks);
    }

    /// Puts a message in its envelope.
    pub(crate) fn wrap(&mut self, body: Message<crate::replica::Entry>, own: Own) -> Option<(u64, Envelope)> {
        if let Message::BLE(message) = &body
            && let HeartbeatMsg::Request(request) = &message.msg
            && self.rounds.back().is_none_or(|(round, _)| *round != request.round)
        {
            self.rounds.push_back((request.round, self.tick));
            if self.rounds.len() as u64 > CONTACT_TIMEOUT_TICKS {
                self.rounds.pop_front();
            }
        }
        let to = body.get_receiver();
        let peer = self.peers.get_mut(&to)?;
        if matches!(body, Message::SequencePaxos(_)) {
            peer.sent += 1;
        }
        let (start, of, count, gaps) = (self.start, peer.start, peer.sent, peer.gaps);
        let Own { decided, leader, leads } = own;
        Some((to, Envelope { start, of, count, gaps, decided, leader, leads, body }))
    }

    /// Looks at a message of a peer.
    pub(crate) fn judge(&mut self, from: u64, envelope: &Envelope) -> Verdict {
        let Some(peer) = self.peers.get_mut(&from) else { return Verdict::Drop };
        if envelope.start < peer.start {
            return Verdict::Drop;
        }
        let mut broke = false;
        if envelope.start > peer.start {
            let (sent, before) = (peer.sent, peer.start);
            *peer = Peer { sent, start: envelope.start, ..Peer::default() };
            broke = before > 0;
        }
        let counted = envelope.is_counted();
        if counted && envelope.count <= peer.received {
            return Verdict::Drop;
        }
        if envelope.count > peer.received + u64::from(counted) {
            peer.gaps += 1;
            broke = true;
        }
        peer.received = peer.received.max(envelope.count);
        if envelope.of == self.start && envelope.gaps > peer.gaps_told {
            peer.gaps_told = envelope.gaps;
            broke = true;
        }
        if let Message::BLE(message) = &envelope.body
            && let HeartbeatMsg::Reply(reply) = &message.msg
        {
            let round = self.rounds.iter().find(|(round, _)| *round == reply.round);
            let Some((_, tick)) = round.filter(|_| envelope.of == self.start && reply.round > peer.answered)
            else {
                return if broke { Verdict::TakeAndReconnect } else { Verdict::Drop };
            };
            peer.answered = reply.round;
            let (leader, leads, decided) = (envelope.leader, envelope.leads, envelope.decided);
            peer.evidence = Some(Evidence { tick: *tick, leader, leads, decided, ballot: reply.leader });
        }
        if broke { Verdict::TakeAndReconnect } else { Verdict::Take }
    }

    fn fresh(&self) -> impl Iterator<Item = (u64, Evidence)> {
        let tick = self.tick;
        let evidence =
            self.peers.iter().filter_map(|(id, peer)| peer.evidence.map(|evidence| (*id, evidence)));
        evidence.filter(move |(_, evidence)| tick - evidence.tick <= CONTACT_TIMEOUT_TICKS)
    }

    /// Whether a majority follows this voter, as its answers of late say.
    pub(crate) fn is_followed(&self, me: u64) -> bool {
        let followers = self.fresh().filter(|(_, evidence)| evidence.leader == me).count();
        (followers + 1) * 2 > self.peers.len() + 1
    }

    /// Whether a majority follows this voter, and another that answers knows a higher ballot than this.
    pub(crate) fn is_surpassed(&self, me: u64, ballot: Ballot) -> bool {
        self.is_followed(me)
            && self.fresh().any(|(_, evidence)| evidence.leader != me && evidence.ballot > ballot)
    }

    /// Whether the leader of late said that it has a majority, and this voter has all that it then had.
    pub(crate) fn follows(&self, leader: u64, decided: usize) -> bool {
        let mut fresh = self.fresh();
        fresh.any(|(id, evidence)| id == leader && evidence.leads && evidence.decided <= decided)
    }
}

/// What a voter says of itself with each message.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Own {
    pub(crate) decided: usize,
    pub(crate) leader: u64,
    pub(crate) leads: bool,
}
