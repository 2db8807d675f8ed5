//! The Gearman protocol without I/O and without a clock.
//!
//! * [`packet`]: bytes to packets and back, as published for the binary protocol.
//! * [`admin`]: the text commands on the same port.
//! * [`fleet`]: workers that pull. Which connection is woken for a job, and which job a connection gets that asks.
//! * [`book`]: jobs as clients see them. Which submissions are one job, who waits for it, and how it ended.
//!
//! Which worker runs a job, whether it is tried again and what is refused is decided elsewhere.

pub mod admin;
pub mod book;
pub mod fleet;
pub mod packet;

/// A connection, as its host numbers it.
pub type ConnId = usize;
