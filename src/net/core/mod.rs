//! Code that every protocol shares: the request table, the request envelope, the worker registry, deadlines, counters
//! and connection buffers. Nothing in this module depends on a protocol or on a socket type.

mod base64_bytes;
pub mod buffer;
pub mod clock;
pub mod counters;
pub mod deadlines;
pub mod envelope;
pub mod input_queue;
pub mod iteration;
pub mod log_interval;
pub mod memory;
pub mod network_delay;
pub mod request_table;
pub mod transfer;
pub mod worker_registry;
