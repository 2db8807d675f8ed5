//! The messages between voters: a message of the consensus library, wrapped with counters that detect lost,
//! duplicated and reordered messages.

use crate::limits;
use crate::replica::{Entry, Snapshot};
use omnipaxos::messages::Message;
use omnipaxos::messages::ballot_leader_election::HeartbeatMsg;
use omnipaxos::messages::sequence_paxos::PaxosMsg;
use omnipaxos::storage::SnapshotType;
use omnipaxos::util::LogSync;
use serde::{Deserialize, Serialize};

/// A message between two voters with the state of their session. The fields are serialized under one-letter names.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Envelope {
    /// The sender's start number, which identifies one run of the process.
    #[serde(rename = "s")]
    pub(crate) sender_start: u64,
    /// The receiver's start number as the sender last received it; 0 if the sender has not received any message.
    #[serde(rename = "o")]
    pub(crate) receiver_start: u64,
    /// The number of log messages that the sender has sent to the receiver since this start, including this one.
    #[serde(rename = "c")]
    pub(crate) message_count: u64,
    /// The number of gaps that the sender has seen in the messages of the receiver's start `receiver_start`.
    #[serde(rename = "g")]
    pub(crate) gap_count: u64,
    /// The number of entries that the sender knows to be decided.
    #[serde(rename = "d")]
    pub(crate) decided_index: usize,
    /// The number of the voter that the sender follows; 0 for none.
    #[serde(rename = "l")]
    pub(crate) leader: u64,
    /// True if the sender is the leader and has recent replies from a majority that follows it.
    #[serde(rename = "m")]
    pub(crate) has_majority: bool,
    /// The message of the consensus library.
    #[serde(rename = "b")]
    pub(crate) message: Message<Entry>,
}

impl Envelope {
    /// Decodes a message. Returns `None` unless it is a valid message from voter `from` to voter `to`.
    pub(crate) fn decode(bytes: &[u8], from: u64, to: u64) -> Option<Envelope> {
        if bytes.len() > limits::MAX_MESSAGE_BYTES {
            return None;
        }
        let envelope: Envelope = serde_json::from_slice(bytes).ok()?;
        let message = &envelope.message;
        let addresses_match =
            message.get_sender() == from && message.get_receiver() == to && envelope.sender_start > 0;
        (addresses_match && is_valid_message(message)).then_some(envelope)
    }

    /// Encodes the message. Returns `None` if it exceeds the maximum message size.
    pub(crate) fn encode(&self) -> Option<Vec<u8>> {
        serde_json::to_vec(self).ok().filter(|bytes| bytes.len() <= limits::MAX_MESSAGE_BYTES)
    }

    /// Returns whether the message counts in the session. Messages of the log do, heartbeats do not.
    pub(crate) fn is_session_message(&self) -> bool {
        matches!(self.message, Message::SequencePaxos(_))
    }
}

/// Returns whether a message contains only values that the consensus library can handle. The library may panic on
/// others.
fn is_valid_message(message: &Message<Entry>) -> bool {
    let is_valid_ballot = |ballot: &omnipaxos::ballot_leader_election::Ballot| {
        ballot.n < limits::BALLOT_NUMBER_LIMIT
            && ballot.pid <= limits::MAX_VOTERS as u64
            && ballot.config_id <= 1
    };
    let is_valid_index = |index: usize| index < usize::MAX / 4;
    let paxos_message = match message {
        Message::BLE(heartbeat) => {
            return match &heartbeat.msg {
                HeartbeatMsg::Request(_) => true,
                HeartbeatMsg::Reply(reply) => {
                    is_valid_ballot(&reply.ballot) && is_valid_ballot(&reply.leader)
                }
            };
        }
        Message::SequencePaxos(paxos) => &paxos.msg,
    };
    match paxos_message {
        PaxosMsg::PrepareReq(m) => is_valid_ballot(&m.n),
        PaxosMsg::Prepare(m) => {
            is_valid_ballot(&m.n)
                && is_valid_ballot(&m.n_accepted)
                && is_valid_index(m.decided_idx)
                && is_valid_index(m.accepted_idx)
        }
        PaxosMsg::Promise(m) => {
            let indexes_valid = is_valid_index(m.decided_idx) && is_valid_index(m.accepted_idx);
            is_valid_ballot(&m.n)
                && is_valid_ballot(&m.n_accepted)
                && indexes_valid
                && m.log_sync.as_ref().is_none_or(is_valid_log_sync)
        }
        PaxosMsg::AcceptSync(m) => {
            is_valid_ballot(&m.n) && is_valid_index(m.decided_idx) && is_valid_log_sync(&m.log_sync)
        }
        PaxosMsg::AcceptDecide(m) => {
            is_valid_ballot(&m.n)
                && is_valid_index(m.decided_idx)
                && m.entries.len() <= limits::MAX_UNDECIDED_ENTRIES * 2
        }
        PaxosMsg::Accepted(m) => is_valid_ballot(&m.n) && is_valid_index(m.accepted_idx),
        PaxosMsg::NotAccepted(m) => is_valid_ballot(&m.n),
        PaxosMsg::Decide(m) => is_valid_ballot(&m.n) && is_valid_index(m.decided_idx),
        PaxosMsg::ProposalForward(entries) => entries.len() == 1,
        // Each voter compacts its own log, and the set of voters is not changed through the log.
        PaxosMsg::Compaction(_) | PaxosMsg::AcceptStopSign(_) | PaxosMsg::ForwardStopSign(_) => false,
    }
}

/// Returns whether the log part of a message is valid: its index is in range, its snapshot matches its digest, and it
/// does not change the set of voters.
fn is_valid_log_sync(sync: &LogSync<Entry>) -> bool {
    let snapshot = match &sync.decided_snapshot {
        Some(SnapshotType::Complete(Snapshot::Full(replica))) => replica.version.digest_matches(),
        Some(SnapshotType::Delta(Snapshot::Entries(_))) | None => true,
        Some(_) => false,
    };
    sync.stopsign.is_none() && sync.sync_idx < usize::MAX / 4 && snapshot
}
