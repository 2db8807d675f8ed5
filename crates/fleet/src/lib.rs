//! Limits on one scheduler's use of the resources that a fleet of schedulers shares.
//!
//! Hundreds of schedulers send jobs to the same workers and query the same discovery service. An action that is
//! harmless for one scheduler, such as a job to a worker that has just started, can overload the receiver if all
//! schedulers do the same. This crate computes the share that one scheduler may use. It has no I/O and no clock of its
//! own.
//!
//! * [`fleet_size`]: number of schedulers, from the settings and from received messages;
//! * [`peer_set`]: assumptions about the other schedulers, depending on whether they send messages;
//! * [`cold`]: limits on the work for a cold worker, for members of its cohort, for designated senders, and for
//!   schedulers that send each other no messages;
//! * [`hash`]: hash function for choices that all schedulers must make alike;
//! * [`speed`]: speed of a worker, from measurements of several schedulers;
//! * [`usage`]: counters for operators;
//! * [`health`]: health of a worker, from its faults, its own reports and the reports of other schedulers.
//!
//! The decision module decides which worker gets a job, whether a job is tried again and which requests are rejected;
//! it asks this crate for the limits.

pub mod cold;
pub mod fleet_size;
pub mod hash;
pub mod health;
pub mod peer_set;
pub mod speed;
pub mod usage;
