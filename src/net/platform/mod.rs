//! What the platform brings: discovery's list, agreed settings, other schedulers, and the other process during an upgrade.

mod call;
pub mod control;
pub mod discovery;
pub mod inherited_socket;
pub mod peer_socket;

pub mod upgrade;
