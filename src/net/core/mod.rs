//! What every protocol shares: the desk where requests meet the decisions, what a request is, who the next hops are,
//! what is due when, and the one buffer of a connection. Nothing here knows a protocol or a socket.

pub mod buffer;
mod bytes_as_text;
pub mod clock;
pub mod deadlines;
pub mod desk;
pub mod envelope;
pub mod figures;
pub mod journey;
pub mod roster;
pub mod transfer;
