//! Test doubles for the peers of a running scheduler process (workers, clients, discovery), used by the rig's commands
//! and by tests.

pub mod calibrate;
pub mod program;
