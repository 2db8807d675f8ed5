//! A simulation of control machines and learners with faults in the network and in the machines.

pub mod invariants;
pub mod scenarios;
pub mod simulation;
pub mod subjects;

/// The length of a pause in ticks: 5 s.
pub const PAUSE_TICKS: u64 = 50;
