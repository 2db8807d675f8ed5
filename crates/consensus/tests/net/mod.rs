//! The simulated network and what is played on it.

pub mod claims;
pub mod parts;
pub mod plays;
pub mod world;

/// Ticks of a pause: 5 s.
pub const PAUSE_TICKS: u64 = 50;
