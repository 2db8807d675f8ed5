//! The control role: one of the machines that agree on the settings of all schedulers. What is agreed, and when, is the
//! business of [`calicolb_agreed`]; here are its sockets and its clock. `inbound` takes requests of learners, operators and
//! other control machines, `link` is the way to another control machine, `form` is what stands in the bodies, `learners`
//! is who watches, `answers` is what each request is answered, and `machine` is the loop.

mod answers;
mod inbound;
mod learners;
mod link;
pub mod machine;
pub mod messages;

use crate::net::core::deadlines::Deadlines;
use calicolb::api::Micros;
use mio::Registry;

/// The largest body that is taken: a change of many keys.
const BODY_LIMIT: usize = 256 * 1024;
/// The largest message between control machines: all that one lacks that was away for long.
const TALK_LIMIT: usize = calicolb_agreed::bounds::MESSAGE_BYTES;

/// What the connections of a control machine work with in a turn of its loop.
struct Io<'a> {
    registry: &'a Registry,
    deadlines: &'a mut Deadlines,
    tokens: &'a mut usize,
    now: Micros,
}

impl Io<'_> {
    /// A number for a new connection. None is given twice.
    fn next_token(&mut self) -> usize {
        *self.tokens += 1;
        *self.tokens
    }
}
