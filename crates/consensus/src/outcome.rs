//! The results that a voter reports to its host.

use crate::change::{Delta, Version};
use crate::digest::Digest;
use crate::document::ValidationError;
use crate::limits;
use crate::store::StoreError;

/// The number of a voter, starting at 1.
pub type VoterId = u64;

/// Identifies a proposal within one start of a voter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A change was not accepted as a proposal.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// The document with the change applied is invalid.
    #[error("{0}")]
    Invalid(ValidationError),
    /// This voter has no contact with a majority.
    #[error("this voter has no contact with a majority")]
    NoMajority,
    /// The maximum number of proposals is pending.
    #[error("too many proposals are pending")]
    TooManyProposals,
    /// This voter's store failed. The voter does not take part until it is restarted.
    #[error("this voter has stopped because its store failed")]
    Stopped,
}

/// The result of a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The change was decided and led to this version.
    Decided {
        /// The number of the version.
        seq: u64,
        /// The digest of the version.
        digest: Digest,
    },
    /// Another change was decided first, and this change is invalid on the resulting version. The change was not
    /// applied.
    Invalidated(ValidationError),
    /// The change was not decided in time. If it had been sent, it may still be decided later.
    Unknown {
        /// True if the proposal had been sent. If false, it is certain never to be decided.
        sent: bool,
    },
}

/// The changes that a learner lacks.
#[derive(Debug, Clone, PartialEq)]
pub enum CatchUp {
    /// The learner has the latest version.
    UpToDate,
    /// The missing changes in order.
    Deltas(Vec<Delta>),
    /// The complete version. The learner's version is older than the kept deltas, or the deltas do not lead through
    /// it.
    FullVersion(Version),
    /// The learner has a later version than this voter.
    Ahead,
}

/// A voter cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The voter numbers are invalid: there must be 3 to [`limits::MAX_VOTERS`] different numbers between 1 and that
    /// maximum, including this voter's.
    #[error(
        "there must be 3 to {} voters with different numbers from 1 to that maximum, including this voter",
        limits::MAX_VOTERS
    )]
    Voters,
    /// The store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
}
