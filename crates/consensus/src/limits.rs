//! Every bound of this package, in one place.

/// Keys of a document, at most.
pub const MAX_KEYS: usize = 4_096;
/// Bytes of a key, at most.
pub const MAX_KEY_BYTES: usize = 256;
/// Bytes of a document in its canonical form, at most.
pub const MAX_DOCUMENT_BYTES: usize = 256 * 1024;
/// Bytes of a change, at most.
pub const MAX_CHANGE_BYTES: usize = 2 * MAX_DOCUMENT_BYTES;
/// How deep a value may be nested.
pub const MAX_NESTING_DEPTH: usize = 16;
/// Proposals that a voter holds at once: the one on its way and those that wait for it.
pub const MAX_PROPOSALS: usize = 64;
/// Entries of a voter's log that aren't decided yet; beyond it none is added.
pub const MAX_UNDECIDED_ENTRIES: usize = 16;
/// Decided entries that a voter keeps in its log before it folds them into a snapshot.
pub const MAX_DECIDED_LOG_ENTRIES: usize = 4_096;
/// Bytes of a voter's log, decided or not, before it folds the decided ones into a snapshot.
pub const MAX_LOG_BYTES: usize = 8 * 1024 * 1024;
/// Deltas that a voter keeps for learners.
pub const MAX_DELTAS: usize = 4_096;
/// Bytes of the deltas that a voter keeps for learners.
pub const MAX_DELTA_BYTES: usize = 4 * 1024 * 1024;
/// Bytes of a message between voters: a log within its bounds, a snapshot and their frame.
pub const MAX_MESSAGE_BYTES: usize =
    MAX_LOG_BYTES + MAX_UNDECIDED_ENTRIES * MAX_CHANGE_BYTES + 4 * MAX_DOCUMENT_BYTES;
/// Messages that a voter holds for its host, at most; the oldest are dropped first, as a network would.
pub const MAX_OUTGOING_MESSAGES: usize = 1_024;
/// Control machines, at most.
pub const MAX_VOTERS: usize = 9;
/// Largest number of a ballot that a voter listens to.
pub const BALLOT_NUMBER_LIMIT: u32 = 1 << 30;

/// Ticks between two rounds of heartbeats; a leader that doesn't answer in a round is given up in the next.
pub const HEARTBEAT_ROUND_TICKS: u64 = 5;
/// Ticks after which what got lost in an election is sent again.
pub const ELECTION_RESEND_TICKS: u64 = 10;
/// Ticks after which a proposal that isn't decided is sent again.
pub const PROPOSAL_RETRY_TICKS: u64 = 10;
/// Ticks after which the proposer of an undecided change is told that its outcome is unknown.
pub const PROPOSAL_TIMEOUT_TICKS: u64 = 100;
/// Ticks for which an answer of another voter counts as contact with it.
pub const CONTACT_TIMEOUT_TICKS: u64 = 10;
/// Ticks for which a leader that a majority follows sees a voter that promised more, before it goes beyond that. Longer
/// than it takes a leader that was replaced to see that nobody follows it.
pub const HIGHER_BALLOT_DELAY_TICKS: u64 = 2 * CONTACT_TIMEOUT_TICKS;
/// Ticks after which a voter that is cut off surely says that it has no majority.
pub const MAJORITY_LOSS_TICKS: u64 = 2 * CONTACT_TIMEOUT_TICKS + 1;
