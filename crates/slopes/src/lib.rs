//! What each control function of a scheduler costs by the size of the fleet: single costs measured on the decision
//! module as it is ([`probe`], [`probe_jobs`]), messages counted in a play of a whole fleet of it ([`play`]), and power
//! laws fitted to both ([`fit`]).

pub mod clock;
pub mod counts;
pub mod fit;
pub mod play;
pub mod probe;
pub mod probe_jobs;
pub mod scene;
