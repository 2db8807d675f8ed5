//! What the platform brings: discovery's list, other schedulers, and the other process during an upgrade.

pub mod inherit;
pub mod kin;
pub mod peers;
pub mod route_set;
