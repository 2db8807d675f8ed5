//! Real processes of the program among stand-ins, and what these saw on the wire: the hollow fleet is held against it.
//!
//! | part | what it is |
//! | --- | --- |
//! | `message` | HTTP messages, read and written |
//! | `counts` | messages and bytes, by flow and by control function |
//! | `discovery` | the list and its watches, without sockets |
//! | `crew` | the workers and what they saw, without sockets |
//! | `relay` | the datagrams between schedulers |
//! | `submitters` | the clients |
//! | `stage` | the sockets of all of these, on one thread |
//! | `timers` | what is to be done when |
//! | `process` | the program, and what the kernel says it uses |

pub mod counts;
pub mod crew;
pub mod discovery;
pub mod message;
pub mod process;
pub mod relay;
pub mod stage;
pub mod submitters;
mod timers;
