//! The operators' side: their door, and the one state of sending clients away.

pub mod drain;
pub mod management;
