//! The configuration that control machines agree on for all schedulers. The crate has no clock, and no I/O except in
//! the file store.
//!
//! * [`Voter`]: one of the control machines that agree by Omni-Paxos on the sequence of numbered [`Version`]s of a
//!   configuration [`Document`]. Ticks and messages drive it.
//! * [`Learner`]: a scheduler's copy of the configuration. It knows the version in force, whether it is behind, and
//!   which changes to request.
//! * [`store`]: the durable storage of a voter, so that a restarted voter keeps the promises it has made.
//!
//! The crate does not interpret the document. The program supplies a [`Check`] that validates a complete document,
//! and [`Rules`] that define for each key which direction tightens it.

mod change;
mod digest;
mod document;
mod envelope;
mod history;
mod learner;
pub mod limits;
mod log_storage;
mod outcome;
mod proposals;
mod replica;
mod sessions;
pub mod store;
mod tighten;
mod voter;

pub use change::{Change, Delta, DeltaError, Version};
pub use digest::{Digest, ParseDigestError};
pub use document::{Check, Document, ValidationError, document_size};
pub use learner::{Learner, Rules, UpdateOutcome, VersionId, VersionInForce, VersionMessage};
pub use outcome::{CatchUp, Outcome, ProposeError, StartError, Ticket, VoterId};
pub use store::Store;
pub use tighten::{TighteningDirection, apply_tightening};
pub use voter::Voter;
