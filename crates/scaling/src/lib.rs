//! Measures how the cost of each scheduler control function grows with the size of the fleet. The cost of single
//! events is measured on the decision module ([`probe`], [`probe_jobs`]), messages are counted in a simulation of a
//! whole fleet of schedulers ([`simulation`]), and power laws are fitted to both ([`fit`]) for every control function
//! ([`functions`]) along every axis ([`axes`]).

pub mod axes;
pub mod counts;
pub mod cpu_clock;
pub mod fit;
pub mod functions;
pub mod hypotheses;
pub mod probe;
pub mod probe_jobs;
pub mod quota;
pub mod report;
pub mod scenario;
pub mod simulation;
