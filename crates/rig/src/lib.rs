//! Stand-ins round the running program, for the rig's commands and for tests: see [`calibrate`].

pub mod calibrate;
pub mod program;
