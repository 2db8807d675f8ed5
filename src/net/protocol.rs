//! What the loop asks of a protocol. It goes through the protocols and asks whose a connection, a client or a next hop
//! is, so that another protocol adds a folder and nothing here or there.

use crate::net::Context;
use crate::net::core::deadlines::ConnectionTimer;
use crate::net::core::envelope::Payload;
use crate::net::core::request_table::{Answer, AttemptId, ClientId, PartialResult};
use calicolb::api::{Class, Micros, WorkerId};
use calicolb::settings_update::SettingsError;
use calicolb::wire::Names;
use std::io;

/// What a protocol wants of the whole program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolRequest {
    /// Send clients away, answer what was taken, and exit.
    Shutdown {
        /// However long the answers take; else as after SIGTERM.
        graceful: bool,
    },
}

/// How many descriptors a protocol may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorLimits {
    /// For connections that come in.
    pub clients: usize,
    /// For connections that go out to next hops.
    pub workers: usize,
}

/// Something that holds descriptors which others may need more.
pub trait ReleaseIdle {
    /// Lets go of the descriptor that is needed least; tells whether there was one.
    fn release_idle(&mut self, ctx: &mut Context<'_>) -> bool;
}

/// One protocol: its connections, clients and next hops.
pub trait Protocol: ReleaseIdle {
    /// This is one of its connections or listeners.
    fn owns_token(&self, token: usize) -> bool;

    /// Something can be read, written or accepted there.
    fn on_ready(&mut self, ctx: &mut Context<'_>, token: usize);

    /// A time that was set for it has come.
    fn on_deadline(&mut self, ctx: &mut Context<'_>, token: usize, alarm: ConnectionTimer);

    /// This is one of its clients.
    fn owns_client(&self, client: ClientId) -> bool;

    /// Gives a client its final answer.
    fn send_answer(&mut self, ctx: &mut Context<'_>, client: ClientId, answer: Answer);

    /// Passes on to a client what its next hop told on the way to the end.
    fn send_partial_result(&mut self, _ctx: &mut Context<'_>, _client: ClientId, _part: PartialResult) {}

    /// This is one of its next hops.
    fn owns_worker(&self, hop: WorkerId) -> bool;

    /// Sends an attempt. What becomes of it is told to the desk.
    fn send_attempt(
        &mut self,
        ctx: &mut Context<'_>,
        attempt: AttemptId,
        hop: WorkerId,
        payload: &Payload,
        wait: Micros,
    );

    /// An attempt was given up, and may be with its next hop, which knows it by this name.
    fn cancel(&mut self, ctx: &mut Context<'_>, attempt: AttemptId, hop: WorkerId, name: &str);

    /// All the time of an attempt has passed, which was over before: nothing need be kept for it.
    fn release_attempt(&mut self, ctx: &mut Context<'_>, attempt: AttemptId);

    /// Asks a next hop for its load.
    fn probe(&mut self, ctx: &mut Context<'_>, hop: WorkerId);

    /// Closes connections to a next hop that are at rest.
    fn close_idle(&mut self, ctx: &mut Context<'_>, hop: WorkerId);

    /// All facts of a turn are in; the module is asked next.
    fn on_events_gathered(&mut self, _ctx: &mut Context<'_>) {}

    /// All that the module wanted in this turn is carried out.
    fn on_commands_done(&mut self, _ctx: &mut Context<'_>) {}

    /// Begins to take connections.
    fn listen(&mut self, ctx: &mut Context<'_>) -> io::Result<()>;

    /// So many descriptors may be used from now on.
    fn set_descriptor_limits(&mut self, ctx: &mut Context<'_>, shares: DescriptorLimits);

    /// Clients are parted with: those at rest now, the others after their answers.
    fn begin_drain(&mut self, ctx: &mut Context<'_>);

    /// Clients are welcome to stay again.
    fn resume(&mut self);

    /// No client is in the middle of a request, or has still to take its last answer.
    fn is_idle(&self, now: Micros) -> bool;

    /// Whether it could go by these classes, each at its old place.
    ///
    /// # Errors
    /// The key of the settings that stands in the way.
    fn check_settings(&self, _names: &Names, _classes: &[Class]) -> Result<(), SettingsError> {
        Ok(())
    }

    /// Other settings are in force: these are the classes, each at its old place.
    fn apply_settings(&mut self, _classes: &[Class]) {}

    /// What operators are shown of it, by name.
    fn metrics(&self) -> Vec<(&'static str, u64)> {
        Vec::new()
    }
}
