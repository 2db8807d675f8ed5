//! Connections to the platform: discovery, control machines, other schedulers, the inherited listening socket, and the
//! other process during an upgrade.

mod call;
pub mod control;
pub mod discovery;
pub mod handover;
pub mod inherited_socket;
pub mod peer_socket;
pub mod upgrade;
