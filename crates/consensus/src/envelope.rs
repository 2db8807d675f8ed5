//! What goes between voters: a message of the consensus crate, and what makes a session of messages that may get
//! lost, doubled or out of order.

use crate::limits;
use crate::replica::{Entry, Snapshot};
use omnipaxos::messages::Message;
use omnipaxos::messages::ballot_leader_election::HeartbeatMsg;
use omnipaxos::messages::sequence_paxos::PaxosMsg;
use omnipaxos::storage::SnapshotType;
use omnipaxos::util::LogSync;
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Envelope {
    /// Which start of the sender.
    #[serde(rename = "s")]
    pub(crate) start: u64,
    /// Which start of the receiver the sender last heard; 0 for none.
    #[serde(rename = "o")]
    pub(crate) of: u64,
    /// Messages of the log that this start sent to the receiver, this one included.
    #[serde(rename = "c")]
    pub(crate) count: u64,
    /// How often the sender missed messages of the receiver's start `of`.
    #[serde(rename = "g")]
    pub(crate) gaps: u64,
    /// Entries that the sender knows to be decided.
    #[serde(rename = "d")]
    pub(crate) decided: usize,
    /// Whom the sender follows; 0 for nobody.
    #[serde(rename = "l")]
    pub(crate) leader: u64,
    /// The sender leads and is in touch with a majority that follows it.
    #[serde(rename = "m")]
    pub(crate) leads: bool,
    #[serde(rename = "b")]
    pub(crate) body: Message<Entry>,
}

impl Envelope {
    /// From bytes, when they are a message that a sound voter may send from `from` to `to`.
    pub(crate) fn decode(bytes: &[u8], from: u64, to: u64) -> Option<Envelope> {
        if bytes.len() > limits::MAX_MESSAGE_BYTES {
            return None;
        }
        let envelope: Envelope = serde_json::from_slice(bytes).ok()?;
        let body = &envelope.body;
        let fits = body.get_sender() == from && body.get_receiver() == to && envelope.start > 0;
        (fits && is_plausible(body)).then_some(envelope)
    }

    pub(crate) fn encode(&self) -> Option<Vec<u8>> {
        serde_json::to_vec(self).ok().filter(|bytes| bytes.len() <= limits::MAX_MESSAGE_BYTES)
    }

    /// Whether it is part of the log's session; heartbeats aren't.
    pub(crate) fn is_counted(&self) -> bool {
        matches!(self.body, Message::SequencePaxos(_))
    }
}

/// Whether a message holds nothing that the consensus crate would stumble over.
fn is_plausible(body: &Message<Entry>) -> bool {
    let ballot = |ballot: &omnipaxos::ballot_leader_election::Ballot| {
        ballot.n < limits::BALLOT_NUMBER_LIMIT
            && ballot.pid <= limits::MAX_VOTERS as u64
            && ballot.config_id <= 1
    };
    let index = |index: usize| index < usize::MAX / 4;
    let paxos = match body {
        Message::BLE(message) => {
            return match &message.msg {
                HeartbeatMsg::Request(_) => true,
                HeartbeatMsg::Reply(reply) => ballot(&reply.ballot) && ballot(&reply.leader),
            };
        }
        Message::SequencePaxos(message) => &message.msg,
    };
    match paxos {
        PaxosMsg::PrepareReq(m) => ballot(&m.n),
        PaxosMsg::Prepare(m) => {
            ballot(&m.n) && ballot(&m.n_accepted) && index(m.decided_idx) && index(m.accepted_idx)
        }
        PaxosMsg::Promise(m) => {
            let counts = index(m.decided_idx) && index(m.accepted_idx);
            ballot(&m.n)
                && ballot(&m.n_accepted)
                && counts
                && m.log_sync.as_ref().is_none_or(is_plausible_sync)
        }
        PaxosMsg::AcceptSync(m) => ballot(&m.n) && index(m.decided_idx) && is_plausible_sync(&m.log_sync),
        PaxosMsg::AcceptDecide(m) => {
            ballot(&m.n) && index(m.decided_idx) && m.entries.len() <= limits::MAX_UNDECIDED_ENTRIES * 2
        }
        PaxosMsg::Accepted(m) => ballot(&m.n) && index(m.accepted_idx),
        PaxosMsg::NotAccepted(m) => ballot(&m.n),
        PaxosMsg::Decide(m) => ballot(&m.n) && index(m.decided_idx),
        PaxosMsg::ProposalForward(entries) => entries.len() == 1,
        // Each voter trims its own log, and the five aren't changed by the log.
        PaxosMsg::Compaction(_) | PaxosMsg::AcceptStopSign(_) | PaxosMsg::ForwardStopSign(_) => false,
    }
}

fn is_plausible_sync(sync: &LogSync<Entry>) -> bool {
    let snapshot = match &sync.decided_snapshot {
        Some(SnapshotType::Complete(Snapshot::Whole(replica))) => replica.version.is_sound(),
        Some(SnapshotType::Delta(Snapshot::Since(_))) | None => true,
        Some(_) => false,
    };
    sync.stopsign.is_none() && sync.sync_idx < usize::MAX / 4 && snapshot
}
