//! The network side: sockets, framing, and the desk where they meet the decisions.

mod buffer;
mod caller;
mod deadlines;
mod desk;
mod door;
mod drain;
mod figures;
mod http;
pub mod inherit;
mod kin;
pub(crate) mod log;
mod next_hop;
mod peers;
mod route_set;
pub mod turn;

pub use route_set::Update;

use calicolb::api::Micros;
use calicolb::wire::Names;
use deadlines::Deadlines;
use desk::Desk;
use kin::Word;
use mio::Registry;
use next_hop::Payload;

/// What every part of the network side works with in a turn of the loop.
pub struct Ctx<'a> {
    registry: &'a Registry,
    names: &'a Names,
    deadlines: &'a mut Deadlines,
    desk: &'a mut Desk<Payload>,
    tokens: &'a mut usize,
    /// What the other process of this scheduler, if there is one, is to be told.
    strays: &'a mut Vec<Word>,
    now: Micros,
}

impl Ctx<'_> {
    /// A number for a new connection. None is given twice, so a late event of one that is gone meets nothing.
    fn next_token(&mut self) -> usize {
        *self.tokens += 1;
        *self.tokens
    }
}
