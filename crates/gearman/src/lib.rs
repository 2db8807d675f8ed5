//! The Gearman protocol without I/O and without a clock.
//!
//! * [`packet`]: the codec of the binary protocol.
//! * [`admin`]: the text commands of the administrative protocol, which shares the port.
//! * [`worker_table`]: the workers, which pull their jobs. It chooses the connection that is woken for a job, and the job
//!   that an asking connection gets.
//! * [`job_table`]: the jobs as clients see them. It merges submissions of the same job, and tracks the clients that wait
//!   for a job and how the job ended.
//!
//! The caller decides which worker runs a job, whether a job is retried, and which jobs are refused.

pub mod admin;
pub mod job_table;
pub mod packet;
pub mod worker_table;

/// The number that the caller gave a connection.
pub type ConnectionId = usize;
