//! ReplayResult processes of the program among stand-ins, and what these saw on the wire: the hollow fleet is held against it.
//!
//! | part | what it is |
//! | --- | --- |
//! | `message` | HTTP messages, read and written |
//! | `counts` | messages and bytes, by flow and by control function |
//! | `discovery` | the list and its watches, without sockets |
//! | `worker_pool` | the workers and what they saw, without sockets |
//! | `relay` | the datagrams between schedulers |
//! | `submitters` | the clients |
//! | `harness` | the sockets of all of these, on one thread |
//! | `timers` | what is to be done when |
//! | `process` | the program, and what the kernel says it uses |
//! | `fleet` | several processes: configuration, start |
//! | `scenario` | a plan of the hollow fleet, as settings, workers and requests |
//! | `replay` | the plan played by processes |
//! | `compare` | the hollow fleet held against it |
//! | `command` | the command line |
//! | `single_process` | one process at the letter's size, and what each message costs it |

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
