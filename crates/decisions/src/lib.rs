//! The decision module of a scheduler. It decides which worker gets a job and when, whether a job is tried again, and
//! which requests are rejected.
//!
//! The module has no clock and no sockets, and it does not know the names of workers, classes or tenants. A host feeds
//! events to a [`rules::Dispatcher`] and carries out the actions that it returns; [`api`] defines the types of both.
//! The design is EDF (earliest deadline first) admission over a map from job sizes to ranges of workers. Each concern
//! has its own file in `src/rules`.

pub mod api;
pub mod departed;
mod handover;
mod peer_message;
pub mod rejections;
pub mod rules;
pub mod settings_update;
mod state;
