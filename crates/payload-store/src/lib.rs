//! Stores request payloads that may be needed again for a further attempt.
//!
//! * [`placement`] decides, without I/O and without a clock, whether a payload is in memory, in a file, dropped or
//!   never kept.
//! * [`file_store`] keeps payloads in files and checks them when they are read back.
//!
//! This crate does not choose the worker of a job and does not decide whether a job is sent again.

pub mod file_store;
pub mod placement;

/// Identifies a payload; the caller assigns the numbers.
pub type PayloadId = u64;
