//! What a voter tells its host.

use crate::change::{Delta, Version};
use crate::digest::Digest;
use crate::document::ValidationError;
use crate::limits;
use crate::store::StoreError;

/// Number of a voter, from 1.
pub type VoterId = u64;

/// Names a proposal to its proposer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Why a change isn't proposed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// The document with the change in it isn't usable.
    #[error("{0}")]
    Invalid(ValidationError),
    /// This voter isn't in touch with a majority.
    #[error("no majority")]
    NoMajority,
    /// As many proposals as a voter holds are on their way.
    #[error("too many proposals on their way")]
    TooManyProposals,
    /// This voter's store failed; it takes part in nothing until it is started anew.
    #[error("the store failed")]
    Stopped,
}

/// What became of a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Decided: it is this version.
    Decided {
        /// Of the version.
        seq: u64,
        /// Of the version.
        digest: Digest,
    },
    /// Another change was decided before it, and on that one it isn't usable. Nothing changed.
    Invalidated(ValidationError),
    /// Not decided in time. It may still be, when it had been sent.
    Unknown {
        /// Whether it had been sent; otherwise it surely is never decided.
        sent: bool,
    },
}

/// What a learner lacks.
#[derive(Debug, Clone, PartialEq)]
pub enum CatchUp {
    /// Nothing.
    UpToDate,
    /// These, in order.
    Deltas(Vec<Delta>),
    /// The whole: it is further behind than the deltas at hand, or on none of the versions they lead through.
    FullVersion(Version),
    /// The asker has a later version than this voter.
    Ahead,
}

/// Why a voter can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Voters are 3 to [`limits::MAX_VOTERS`], numbered from 1 to there without doubles, this one among them.
    #[error("voters are 3 to {} different numbers from 1, this one among them", limits::MAX_VOTERS)]
    Voters,
    /// The store.
    #[error(transparent)]
    Store(#[from] StoreError),
}
