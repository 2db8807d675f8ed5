//! What the platform brings: discovery's list, agreed settings, other schedulers, and the other process during an upgrade.

mod call;
pub mod control;
pub mod inherit;
pub mod peers;
pub mod route_set;
pub mod upgrade;
