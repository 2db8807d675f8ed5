//! Sessions with the other voters, and the evidence that this voter has a majority.
//!
//! The consensus library expects messages in order, and must be told when a session breaks. A session breaks whenever
//! a message of the log is lost. Both ends detect this from the counters in every message.
//!
//! Only replies count as evidence. A reply to a round of heartbeats proves that both directions worked after the
//! round began, measured in this voter's own ticks, no matter how long the reply was in transit.

use crate::envelope::Envelope;
use crate::limits::CONTACT_TIMEOUT_TICKS;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::Message;
use omnipaxos::messages::ballot_leader_election::HeartbeatMsg;
use std::collections::{BTreeMap, VecDeque};

/// The session with another voter.
#[derive(Debug, Default)]
struct Peer {
    /// The number of log messages sent to the peer since this voter started.
    sent_count: u64,
    /// The peer's start number; 0 before its first message.
    start: u64,
    /// The highest message count received from this start of the peer.
    received_count: u64,
    /// The number of gaps seen in the messages of this start of the peer.
    gap_count: u64,
    /// The number of gaps that the peer has reported in this voter's messages.
    reported_gaps: u64,
    /// The last heartbeat round that the peer has answered.
    last_answered_round: u32,
    latest_reply: Option<HeartbeatReply>,
}

/// The state of a peer according to its latest reply to a heartbeat.
#[derive(Debug, Clone, Copy)]
struct HeartbeatReply {
    /// The tick at which the answered round began.
    tick: u64,
    leader: u64,
    has_majority: bool,
    decided_index: usize,
    /// The highest ballot that the peer knows.
    ballot: Ballot,
}

/// How to handle a received message.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The message is outdated or a duplicate: ignore it.
    Drop,
    /// Pass the message to the consensus library.
    Accept,
    /// Pass the message to the consensus library, then report that the session broke.
    AcceptAndReconnect,
}

/// The sessions of a voter with all its peers.
#[derive(Debug)]
pub(crate) struct Sessions {
    start: u64,
    tick: u64,
    peers: BTreeMap<u64, Peer>,
    /// The recent heartbeat rounds, each with the tick at which it began.
    rounds: VecDeque<(u32, u64)>,
}

impl Sessions {
    /// Creates the sessions of the start with this number.
    pub(crate) fn new(start: u64, peers: impl Iterator<Item = u64>) -> Sessions {
        let peers = peers.map(|peer| (peer, Peer::default())).collect();
        Sessions { start, tick: 0, peers, rounds: VecDeque::new() }
    }

    /// Advances the time.
    pub(crate) fn advance_ticks(&mut self, ticks: u64) {
        self.tick = self.tick.saturating_add(ticks);
    }

    /// Wraps a message in an envelope for its receiver. Returns `None` if the receiver is not a peer.
    pub(crate) fn wrap(
        &mut self,
        message: Message<crate::replica::Entry>,
        status: VoterStatus,
    ) -> Option<(u64, Envelope)> {
        if let Message::BLE(heartbeat) = &message
            && let HeartbeatMsg::Request(request) = &heartbeat.msg
            && self.rounds.back().is_none_or(|(round, _)| *round != request.round)
        {
            self.rounds.push_back((request.round, self.tick));
            if self.rounds.len() as u64 > CONTACT_TIMEOUT_TICKS {
                self.rounds.pop_front();
            }
        }
        let to = message.get_receiver();
        let peer = self.peers.get_mut(&to)?;
        if matches!(message, Message::SequencePaxos(_)) {
            peer.sent_count += 1;
        }
        let (sender_start, receiver_start, message_count, gap_count) =
            (self.start, peer.start, peer.sent_count, peer.gap_count);
        let VoterStatus { decided_index, leader, has_majority } = status;
        Some((
            to,
            Envelope {
                sender_start,
                receiver_start,
                message_count,
                gap_count,
                decided_index,
                leader,
                has_majority,
                message,
            },
        ))
    }

    /// Updates the session with a received message, and decides how to handle the message.
    pub(crate) fn classify(&mut self, from: u64, envelope: &Envelope) -> Verdict {
        let Some(peer) = self.peers.get_mut(&from) else { return Verdict::Drop };
        if envelope.sender_start < peer.start {
            return Verdict::Drop;
        }
        let mut session_broken = false;
        if envelope.sender_start > peer.start {
            let (sent_count, previous_start) = (peer.sent_count, peer.start);
            *peer = Peer { sent_count, start: envelope.sender_start, ..Peer::default() };
            session_broken = previous_start > 0;
        }
        let in_session = envelope.is_session_message();
        if in_session && envelope.message_count <= peer.received_count {
            return Verdict::Drop;
        }
        if envelope.message_count > peer.received_count + u64::from(in_session) {
            peer.gap_count += 1;
            session_broken = true;
        }
        peer.received_count = peer.received_count.max(envelope.message_count);
        if envelope.receiver_start == self.start && envelope.gap_count > peer.reported_gaps {
            peer.reported_gaps = envelope.gap_count;
            session_broken = true;
        }
        if let Message::BLE(heartbeat) = &envelope.message
            && let HeartbeatMsg::Reply(reply) = &heartbeat.msg
        {
            let round = self.rounds.iter().find(|(round, _)| *round == reply.round);
            let Some((_, tick)) = round
                .filter(|_| envelope.receiver_start == self.start && reply.round > peer.last_answered_round)
            else {
                return if session_broken { Verdict::AcceptAndReconnect } else { Verdict::Drop };
            };
            peer.last_answered_round = reply.round;
            let (leader, has_majority, decided_index) =
                (envelope.leader, envelope.has_majority, envelope.decided_index);
            peer.latest_reply = Some(HeartbeatReply {
                tick: *tick,
                leader,
                has_majority,
                decided_index,
                ballot: reply.leader,
            });
        }
        if session_broken { Verdict::AcceptAndReconnect } else { Verdict::Accept }
    }

    /// The peers' replies to rounds that began at most [`CONTACT_TIMEOUT_TICKS`] ago.
    fn recent_replies(&self) -> impl Iterator<Item = (u64, HeartbeatReply)> {
        let tick = self.tick;
        let replies = self.peers.iter().filter_map(|(id, peer)| peer.latest_reply.map(|reply| (*id, reply)));
        replies.filter(move |(_, reply)| tick - reply.tick <= CONTACT_TIMEOUT_TICKS)
    }

    /// Returns whether a majority follows this voter according to the recent replies.
    pub(crate) fn has_follower_majority(&self, own_id: u64) -> bool {
        let followers = self.recent_replies().filter(|(_, reply)| reply.leader == own_id).count();
        (followers + 1) * 2 > self.peers.len() + 1
    }

    /// Returns whether a majority follows this voter while another peer has replied with a higher ballot than this
    /// one.
    pub(crate) fn is_higher_ballot_known(&self, own_id: u64, ballot: Ballot) -> bool {
        self.has_follower_majority(own_id)
            && self.recent_replies().any(|(_, reply)| reply.leader != own_id && reply.ballot > ballot)
    }

    /// Returns whether the leader has recently reported a majority, and this voter has all entries that the leader
    /// then had.
    pub(crate) fn is_up_to_date_with(&self, leader: u64, decided_index: usize) -> bool {
        let mut recent = self.recent_replies();
        recent.any(|(id, reply)| id == leader && reply.has_majority && reply.decided_index <= decided_index)
    }
}

/// The state that a voter reports with each message.
#[derive(Debug, Clone, Copy)]
pub(crate) struct VoterStatus {
    pub(crate) decided_index: usize,
    pub(crate) leader: u64,
    pub(crate) has_majority: bool,
}
