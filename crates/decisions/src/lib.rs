//! The decision module: which worker gets a job and when, whether it is tried again, and what is turned away.
//!
//! It has no clock, no sockets and no names. A host feeds events to a [`rules::Dispatcher`] and carries out the actions
//! that come back; [`api`] has the types of both. The design is EDF admission over a map of sizes; each concern is a
//! file of `src/rules`.

pub mod api;
mod handover;
mod peer_message;
pub mod rejections;
pub mod rules;
pub mod settings_update;
mod state;
