//! What one scheduler of many may spend of what they all share.
//!
//! Hundreds of schedulers send to the same stock workers and ask the same discovery service. What is harmless in one
//! of them (a job to a worker that has just started, say) adds up over all. This crate computes, without
//! I/O and without a clock of its own, what one scheduler may
//! spend:
//!
//! * [`census`]: how many schedulers there are, from what the settings say and from whom it has heard;
//! * [`company`]: what it assumes of the others, where they speak, fall silent, or must not speak;
//! * [`cold`]: what it may send a worker that is still cold, as a member of the cohort that shares it, as a warden, or,
//!   where nobody speaks, in turn;
//! * [`draw`]: draws that all schedulers make alike;
//! * [`speed`]: how fast a worker is, by what several schedulers measured;
//! * [`spending`]: what it has spent, for operators;
//! * [`trust`]: how far it trusts a worker, by what it saw, what the worker reports and what the others tell.
//!
//! Which worker a job goes to, whether it is tried again and what is turned away are decided elsewhere, by the
//! decision module; it asks here what it may spend. See `docs/fleet.md`.

pub mod cold;
pub mod fleet_size;
pub mod hash;
pub mod health;
pub mod peer_set;
pub mod speed;
pub mod usage;
