//! The operators' interface: the management server and the state of a drain.

pub mod drain;
pub mod management;
