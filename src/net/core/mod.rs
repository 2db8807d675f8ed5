//! What every protocol shares: the desk where requests meet the decisions, what a request is, who the next hops are,
//! what is due when, and the one buffer of a connection. Nothing here knows a protocol or a socket.

pub mod buffer;
mod bytes_as_text;
pub mod clock;
pub mod counters;
pub mod deadlines;
pub mod envelope;
pub mod network_delay;
pub mod request_table;
pub mod transfer;
pub mod worker_registry;
