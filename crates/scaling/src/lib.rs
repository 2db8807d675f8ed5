//! What each control function of a scheduler costs by the size of the fleet: single costs measured on the decision
//! module as it is ([`probe`], [`probe_jobs`]), messages counted in a play of a whole fleet of it ([`play`]), and power
//! laws fitted to both ([`fit`]) for every function ([`functions`]) along every axis ([`axes`]).

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
