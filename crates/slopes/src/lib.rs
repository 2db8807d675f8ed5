//! What each control function of a scheduler costs by the size of the fleet.

pub mod clock;
pub mod fit;
