//! Request bodies that may be needed again.
//!
//! * [`keeper`] decides, without I/O and clock, which body is in memory, in a file, dropped or never kept.
//! * [`store`] keeps bodies in files that are checked when they are read back.
//!
//! See `docs/bodies.md`. Which next hop a job goes to, and whether it goes again, is decided elsewhere.

pub mod keeper;
pub mod store;

/// A body, as its host numbers it.
pub type BodyId = u64;
