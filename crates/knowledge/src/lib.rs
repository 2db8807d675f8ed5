//! Models that a scheduler learns from jobs and workers. Each model is separate from the others, with its own learning
//! rule, so that it can be handed over to another process and tested alone. The crate has no I/O and no clock of its
//! own.
//!
//! * [`classes`]: size of the jobs of a class, and accuracy of their hints;
//! * [`lanes`]: number of jobs that a kind of worker runs at once;
//! * [`sizes`]: distribution of job sizes, and the bounds that divide the work among workers of different speeds;
//! * [`rate`]: work that arrives per second.
//!
//! The decision module uses the models to decide about jobs.

pub mod classes;
pub mod lanes;
pub mod rate;
pub mod sizes;

/// A point in time on the caller's clock, or a duration, in microseconds.
pub type Micros = u64;
