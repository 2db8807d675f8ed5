//! Agreed configuration, without I/O (but for the file store) and without a clock.
//!
//! * [`Voter`]: one of the control machines that decide together, by Omni-Paxos, which numbered [`Version`] of a
//!   configuration [`Document`] follows which. It is driven by ticks and messages.
//! * [`Learner`]: what a scheduler keeps of it: the version in force, whether it is behind, what to ask for.
//! * [`store`]: where a voter keeps what it has promised, so that a restart doesn't break its word.
//!
//! The document is opaque here: the program supplies the [`Check`] of a whole document, and for each key which
//! direction tightens ([`Rules`]). See `docs/agreed.md`.

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

pub use change::{Change, Delta, Mismatch, Version};
pub use digest::{Digest, NotADigest};
pub use document::{Check, Document, ValidationError, size};
pub use learner::{Ask, Learner, Rules, UpdateOutcome, VersionInForce, VersionMessage};
pub use outcome::{CatchUp, Outcome, ProposeError, StartError, Ticket, VoterId};
pub use store::Store;
pub use tighten::{TighteningDirection, tightened};
pub use voter::Voter;
