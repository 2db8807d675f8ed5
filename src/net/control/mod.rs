//! A control machine: one of the machines that agree on the settings of all schedulers. [`calicolb_consensus`] implements the
//! agreement; this module provides its sockets and its clock. `inbound` accepts connections from learners, operators and
//! other control machines, `link` connects to one other control machine, `messages` defines the JSON bodies, `learners`
//! records the watches, `answers` handles each request, and `machine` is the event loop.

mod answers;
mod inbound;
mod learners;
mod link;
pub mod machine;
pub mod messages;

use crate::net::core::deadlines::Deadlines;
use crate::net::core::input_queue::InputQueue;
use calicolb::api::Micros;
use mio::Registry;

/// The largest request body, in bytes, that is accepted from anyone but another control machine: a change of many keys.
const MAX_BODY_BYTES: usize = 256 * 1024;
/// The largest message between control machines, in bytes: everything that a machine lacks after a long absence.
const MAX_PEER_MESSAGE_BYTES: usize = calicolb_consensus::limits::MAX_MESSAGE_BYTES;

/// The resources that the connections of a control machine use in one iteration of its event loop.
struct IoContext<'a> {
    registry: &'a Registry,
    deadlines: &'a mut Deadlines,
    last_token: &'a mut usize,
    /// Connections whose input waits to be processed.
    input_queue: &'a mut InputQueue,
    now: Micros,
}

impl IoContext<'_> {
    /// Returns a token for a new connection. No token is used twice.
    fn next_token(&mut self) -> usize {
        *self.last_token += 1;
        *self.last_token
    }
}
