//! Runs real processes of the program among stand-ins, measures their traffic, and compares the hollow fleet with them.
//!
//! | module | content |
//! | --- | --- |
//! | `message` | HTTP messages: parsing and formatting |
//! | `counts` | messages and bytes, by flow and by control function |
//! | `discovery` | the list and its watches, without sockets |
//! | `worker_pool` | the stand-in workers and their counters, without sockets |
//! | `relay` | the datagram relay between schedulers |
//! | `submitters` | the stand-in clients |
//! | `harness` | the sockets of all stand-ins, on one thread |
//! | `timers` | the timer queue |
//! | `process` | a process of the program and its resource usage |
//! | `fleet` | configuration and start of several processes |
//! | `scenario` | a plan of the hollow fleet as settings, workers and requests |
//! | `replay` | the replay of a plan by real processes |
//! | `compare` | the comparison of the hollow fleet with the replay |
//! | `command` | the command line |
//! | `single_process` | one process at the size of the default plan, and its cost for each control message |

pub mod command;
pub mod compare;
pub mod counts;
pub mod discovery;
pub mod fleet;
pub mod harness;
pub mod message;
pub mod process;
pub mod relay;
pub mod replay;
pub mod scenario;
pub mod single_process;
pub mod submitters;
mod timers;
pub mod worker_pool;
