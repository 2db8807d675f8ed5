//! The interface between the event loop and a protocol. The event loop asks each protocol in turn whether it owns a
//! connection, a client or a worker, so that another protocol only adds a module and needs no change here.

use crate::net::Context;
use crate::net::core::deadlines::ConnectionTimer;
use crate::net::core::envelope::Payload;
use crate::net::core::request_table::{Answer, AttemptId, ClientId, PartialResult, Receipt};
use calicolb::api::{Class, Micros, WorkerId};
use calicolb::settings_update::SettingsError;
use calicolb::wire::Names;
use std::io;

/// A request of a protocol that concerns the whole process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolRequest {
    /// Drain clients, answer the accepted requests, and exit.
    Shutdown {
        /// Wait without limit for the answers; otherwise the time limits of SIGTERM apply.
        graceful: bool,
    },
}

/// Numbers of file descriptors that a protocol may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorLimits {
    /// For incoming connections.
    pub clients: usize,
    /// For outgoing connections to workers.
    pub workers: usize,
}

/// Holder of file descriptors that can release one when they run short.
pub trait ReleaseIdle {
    /// Closes the connection that is needed least, if there is one that may be closed. Returns whether one was closed.
    fn release_idle(&mut self, ctx: &mut Context<'_>) -> bool;
}

/// A protocol with its connections, clients and workers.
pub trait Protocol: ReleaseIdle {
    /// Returns true if the token belongs to a connection or listener of this protocol.
    fn owns_token(&self, token: usize) -> bool;

    /// Returns true if a peer opened this connection, so that its input is processed in turns (see
    /// [`InputQueue`](crate::net::core::input_queue::InputQueue)).
    fn reads_in_turns(&self, token: usize) -> bool;

    /// Returns true if a client on this connection waits for an answer.
    fn awaits_answer(&self, token: usize) -> bool;

    /// Records that the peer has closed its side of a connection. What it sent before may still be unread.
    fn on_read_closed(&mut self, _token: usize) {}

    /// Handles readiness of a connection or listener: it can be read, written or accepted.
    fn on_ready(&mut self, ctx: &mut Context<'_>, token: usize);

    /// Handles a timer that this protocol set for a connection or listener and that has expired.
    fn on_deadline(&mut self, ctx: &mut Context<'_>, token: usize, timer: ConnectionTimer);

    /// Returns true if the client belongs to this protocol.
    fn owns_client(&self, client: ClientId) -> bool;

    /// Sends a client its final answer.
    fn send_answer(&mut self, ctx: &mut Context<'_>, client: ClientId, answer: Answer);

    /// Sends a client a partial result or progress that its worker reported before the end of the attempt. Protocols
    /// that cannot express it ignore it.
    fn send_partial_result(&mut self, _ctx: &mut Context<'_>, _client: ClientId, _part: PartialResult) {}

    /// Returns true if the worker is reached through this protocol.
    fn owns_worker(&self, worker: WorkerId) -> bool;

    /// Sends an attempt, which ends `timeout` microseconds later at the latest. The outcome is reported to the request
    /// table.
    fn send_attempt(
        &mut self,
        ctx: &mut Context<'_>,
        attempt: AttemptId,
        worker: WorkerId,
        payload: &Payload,
        timeout: Micros,
    );

    /// Cancels an attempt that its worker may have received. `name`: the request name that the worker knows. `receipt`:
    /// what is known of the attempt's arrival at the worker.
    fn cancel(
        &mut self,
        ctx: &mut Context<'_>,
        attempt: AttemptId,
        worker: WorkerId,
        name: &str,
        receipt: Receipt,
    );

    /// Sends a cancellation for which this protocol set [`Deadline::CancelDue`](crate::net::core::deadlines::Deadline).
    fn on_cancel_due(&mut self, _ctx: &mut Context<'_>, _attempt: AttemptId) {}

    /// Releases the state kept for an attempt that had ended before and whose time limit is now reached.
    fn release_attempt(&mut self, ctx: &mut Context<'_>, attempt: AttemptId);

    /// Asks a worker for its load.
    fn probe(&mut self, ctx: &mut Context<'_>, worker: WorkerId);

    /// Closes the idle connections to a worker.
    fn close_idle(&mut self, ctx: &mut Context<'_>, worker: WorkerId);

    /// Called once per iteration after all events are gathered and before the decision module processes them.
    fn on_events_gathered(&mut self, _ctx: &mut Context<'_>) {}

    /// Called once per iteration after all commands of the decision module are carried out.
    fn on_commands_done(&mut self, _ctx: &mut Context<'_>) {}

    /// Starts to accept connections.
    ///
    /// # Errors
    /// Fails if a listening socket cannot be registered.
    fn listen(&mut self, ctx: &mut Context<'_>) -> io::Result<()>;

    /// Sets the numbers of file descriptors that may be used from now on.
    fn set_descriptor_limits(&mut self, ctx: &mut Context<'_>, limits: DescriptorLimits);

    /// Gives up the memory of one connection that is needed least: input that is not part of an accepted request. Returns
    /// whether there was any.
    fn shed_memory(&mut self, ctx: &mut Context<'_>) -> bool;

    /// Begins to close the clients' connections: idle ones now, the others after their answers.
    fn begin_drain(&mut self, ctx: &mut Context<'_>);

    /// Ends the drain: clients' connections are kept open again.
    fn resume(&mut self);

    /// Returns true if no client is sending a request, waits for an answer, or has still to receive its last answer.
    fn is_idle(&self, now: Micros) -> bool;

    /// Checks whether these settings can be applied. Each class has the index that it had before.
    ///
    /// # Errors
    /// Returns the settings key that prevents it.
    fn check_settings(&self, _names: &Names, _classes: &[Class]) -> Result<(), SettingsError> {
        Ok(())
    }

    /// Applies the classes of settings that have come into force. Each class has the index that it had before.
    fn apply_settings(&mut self, _classes: &[Class]) {}

    /// Metrics of this protocol for operators, by name.
    fn metrics(&self) -> Vec<(&'static str, u64)> {
        Vec::new()
    }
}
