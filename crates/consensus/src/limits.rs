//! The limits that voters enforce on documents, messages, logs and queues, and their timing in ticks.

/// The largest number of keys in a document.
pub const MAX_KEYS: usize = 4_096;
/// The largest length of a key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;
/// The largest size of a document in its canonical form, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 256 * 1024;
/// The largest size of a change, in bytes.
pub const MAX_CHANGE_BYTES: usize = 2 * MAX_DOCUMENT_BYTES;
/// The largest nesting depth of a value.
pub const MAX_NESTING_DEPTH: usize = 16;
/// The largest number of proposals that a voter holds at once, including the one that has been sent.
pub const MAX_PROPOSALS: usize = 64;
/// The largest number of undecided entries in a leader's log. A leader adds no entry beyond it.
pub const MAX_UNDECIDED_ENTRIES: usize = 16;
/// The number of decided entries at which a voter compacts its log into a snapshot.
pub const MAX_DECIDED_LOG_ENTRIES: usize = 4_096;
/// The size of a voter's log in bytes, including undecided entries, at which the voter compacts the decided entries
/// into a snapshot.
pub const MAX_LOG_BYTES: usize = 8 * 1024 * 1024;
/// The largest number of deltas that a voter keeps for learners.
pub const MAX_DELTAS: usize = 4_096;
/// The largest total size of the deltas that a voter keeps for learners, in bytes.
pub const MAX_DELTA_BYTES: usize = 4 * 1024 * 1024;
/// The largest message between voters, in bytes: a log at its limits, a snapshot and the envelope.
pub const MAX_MESSAGE_BYTES: usize =
    MAX_LOG_BYTES + MAX_UNDECIDED_ENTRIES * MAX_CHANGE_BYTES + 4 * MAX_DOCUMENT_BYTES;
/// The largest number of messages that a voter queues for its host. The oldest are dropped first; the protocol
/// tolerates this like a loss in the network.
pub const MAX_OUTGOING_MESSAGES: usize = 1_024;
/// The largest number of control machines.
pub const MAX_VOTERS: usize = 9;
/// Messages with a ballot number of this value or more are ignored.
pub const BALLOT_NUMBER_LIMIT: u32 = 1 << 30;

/// The number of ticks between two rounds of heartbeats. A leader that does not answer in one round is replaced in
/// the next.
pub const HEARTBEAT_ROUND_TICKS: u64 = 5;
/// The number of ticks after which lost election messages are sent again.
pub const ELECTION_RESEND_TICKS: u64 = 10;
/// The number of ticks after which an undecided proposal is sent again.
pub const PROPOSAL_RETRY_TICKS: u64 = 10;
/// The number of ticks after which the proposer of an undecided change learns that its outcome is unknown.
pub const PROPOSAL_TIMEOUT_TICKS: u64 = 100;
/// The number of ticks for which a reply of another voter counts as contact with it.
pub const CONTACT_TIMEOUT_TICKS: u64 = 10;
/// The number of ticks for which a leader with a majority must see a voter with a higher promised ballot before the
/// leader tries a higher ballot itself. Longer than a replaced leader needs to notice that no voter follows it any
/// more.
pub const HIGHER_BALLOT_DELAY_TICKS: u64 = 2 * CONTACT_TIMEOUT_TICKS;
/// The largest number of ticks until a disconnected voter reports that it has no majority.
pub const MAJORITY_LOSS_TICKS: u64 = 2 * CONTACT_TIMEOUT_TICKS + 1;
