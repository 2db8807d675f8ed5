//! Cancellation of attempts over HTTP.
//!
//! The end of an attempt's connection cancels the job only if it reaches the worker before the worker accepts the job, and
//! that no confirmation has been read does not show that none was sent. Each cancelled attempt is therefore followed by a
//! DELETE request, and it is over only once the worker has answered one. The answer is a proof only if the worker has
//! read the attempt before the DELETE. A DELETE that follows the end of the connection therefore waits until that end has
//! arrived. If its answer is slow, the worker or the network was held up, and the attempt may have waited there beside it:
//! then a second DELETE, sent some time after the answer to the first one, brings the proof.

use super::*;
use crate::net::core::request_table::{CancelDemand, Receipt};

/// Time after a failed DELETE until the next one, in microseconds; it doubles with each failure.
const MIN_RETRY_DELAY: Micros = 100 * MILLI;
/// Upper bound of the time after a failed DELETE until the next one, in microseconds.
const MAX_RETRY_DELAY: Micros = 1_000 * MILLI;
/// An answer is prompt if it arrives within the maximum transit time divided by this number.
const PROMPT_ANSWER_DIVISOR: Micros = 4;
/// Maximum number of unconfirmed cancellations. Above it, cancellations on which nothing depends are dropped.
const MAX_CANCELLATIONS: usize = 4096;

/// A cancellation that its worker has not confirmed.
struct Cancellation {
    worker: WorkerId,
    /// Address of the worker when the cancellation began; used if the worker has left the list since.
    address: Option<SocketAddr>,
    /// The request name that the worker knows.
    name: String,
    /// The worker is known to have received the attempt, so its answer to any DELETE is a proof.
    received: bool,
    /// Time at which the last DELETE request was sent.
    sent_at: Micros,
    /// Number of DELETE requests that failed.
    failures: u32,
    /// A DELETE request was not answered in time: the worker or the network was held up.
    held_up: bool,
    /// A DELETE request was answered, but the answer was no proof.
    answered: bool,
    /// The connection of the attempt broke.
    disconnected: bool,
}

impl Cancellation {
    /// Returns whether an answer that arrives now proves that the attempt is over. `transit_time`: upper bound of the
    /// time that a message is on its way, in microseconds.
    fn is_proven(&self, now: Micros, transit_time: Micros) -> bool {
        let is_prompt = now.saturating_sub(self.sent_at) <= transit_time / PROMPT_ANSWER_DIVISOR;
        self.received || self.answered || (!self.held_up && is_prompt)
    }
}

/// Cancellations that their workers have not confirmed yet, by attempt.
#[derive(Default)]
pub(super) struct Cancellations(HashMap<AttemptId, Cancellation>);

/// Time until the next DELETE after this number of failed ones, in microseconds.
fn retry_delay(failures: u32) -> Micros {
    let doublings = failures.saturating_sub(1).min(Micros::BITS - 1);
    MIN_RETRY_DELAY.saturating_mul(1 << doublings).min(MAX_RETRY_DELAY)
}

impl UpstreamConnections {
    /// Cancels an attempt. Its connection is closed, if the answer on it is outstanding. A DELETE request follows: at
    /// once if the worker is known to have received the attempt or the connection broke, otherwise when the end of the
    /// connection has arrived.
    pub fn cancel_attempt(
        &mut self,
        ctx: &mut Context<'_>,
        idle_clients: &mut dyn ReleaseIdle,
        attempt: AttemptId,
        worker: WorkerId,
        name: &str,
        receipt: Receipt,
    ) {
        let pending = self.pending_attempts.get(&attempt).copied();
        let connection = pending.and_then(|token| self.connections.get(&token));
        let connected_to = connection.and_then(|connection| connection.stream.peer_addr().ok());
        let address = connected_to.or_else(|| self.address(worker));
        if let Some(token) = pending {
            self.drop_connection(ctx, token);
        }
        if receipt == Receipt::Unwritten {
            return;
        }
        let disconnected = receipt == Receipt::Disconnected;
        let received = receipt == Receipt::Confirmed || (pending.is_none() && !disconnected);
        let cancellation = Cancellation {
            worker,
            address,
            name: name.to_owned(),
            received,
            sent_at: ctx.now,
            failures: 0,
            held_up: false,
            answered: false,
            disconnected,
        };
        self.cancellations.0.insert(attempt, cancellation);
        if pending.is_some() && !received {
            let close_arrives = ctx.now + network_delay::max_transit_time(self.connect_timeout);
            ctx.deadlines.set(cancel_due(attempt), close_arrives);
        } else {
            self.send_due_cancel(ctx, idle_clients, attempt);
        }
    }

    /// Sends the DELETE request of a cancellation, if the cancellation is still of use.
    pub fn send_due_cancel(
        &mut self,
        ctx: &mut Context<'_>,
        idle_clients: &mut dyn ReleaseIdle,
        attempt: AttemptId,
    ) {
        let pending_cancellations = self.cancellations.0.len();
        let Some(cancellation) = self.cancellations.0.get_mut(&attempt) else { return };
        let needed = match ctx.request_table.cancel_demand(attempt, &cancellation.name) {
            CancelDemand::Awaited => true,
            CancelDemand::Optional => {
                cancellation.failures == 0 && pending_cancellations <= MAX_CANCELLATIONS
            }
            CancelDemand::Obsolete => false,
        };
        if !needed {
            self.cancellations.0.remove(&attempt);
            return;
        }
        cancellation.sent_at = ctx.now;
        let worker = cancellation.worker;
        log_line!(
            debug: request = attempt.request, attempt = attempt.number, hop = worker.0,
            failures = cancellation.failures, "cancellation sent"
        );
        let (last_address, target) = (cancellation.address, format!("/jobs/{}", cancellation.name));
        let address = self.address(worker).or(last_address);
        let bytes = framing::write_request("DELETE", &target, &[("Host", "origin.svc")], b"");
        let sent = address.map_or(Err(SendError::NoConnection), |address| {
            self.send_request(ctx, idle_clients, (worker, address), Task::Cancel(attempt), &bytes)
        });
        match sent {
            Ok(()) => {}
            Err(SendError::Refused) => self.handle_cancel_refused(ctx, attempt),
            Err(SendError::NoConnection) => self.handle_cancel_failure(ctx, attempt),
        }
    }

    /// Handles a refused connection for a DELETE request. A process that dies resets its connections, and new ones are
    /// refused: together the two signs show that the job has died with its worker.
    pub(super) fn handle_cancel_refused(&mut self, ctx: &mut Context<'_>, attempt: AttemptId) {
        match self.cancellations.0.get(&attempt) {
            Some(cancellation) if cancellation.disconnected => self.confirm_cancel(ctx, attempt),
            _ => self.handle_cancel_failure(ctx, attempt),
        }
    }

    fn confirm_cancel(&mut self, ctx: &mut Context<'_>, attempt: AttemptId) {
        self.cancellations.0.remove(&attempt);
        log_line!(debug: request = attempt.request, attempt = attempt.number, "cancellation confirmed");
        ctx.request_table.cancel_confirmed(ctx.now, attempt);
    }

    /// Handles the answer to a DELETE request. Any answer but a failure of the worker confirms the cancellation: the
    /// worker has ended the job, or does not know it.
    pub(super) fn handle_cancel_answer(&mut self, ctx: &mut Context<'_>, attempt: AttemptId, status: u16) {
        if status >= 500 {
            log_line!("a worker answered a cancellation with status {status}");
            return self.handle_cancel_failure(ctx, attempt);
        }
        let transit_time = network_delay::max_transit_time(self.connect_timeout);
        let Some(cancellation) = self.cancellations.0.get_mut(&attempt) else { return };
        if cancellation.is_proven(ctx.now, transit_time) {
            self.confirm_cancel(ctx, attempt);
        } else {
            cancellation.answered = true;
            ctx.deadlines.set(cancel_due(attempt), ctx.now + transit_time);
        }
    }

    /// Records that a DELETE request was not answered in time. Its connection fails next.
    pub(super) fn record_cancel_timeout(&mut self, attempt: AttemptId) {
        if let Some(cancellation) = self.cancellations.0.get_mut(&attempt) {
            cancellation.held_up = true;
        }
    }

    /// Handles a DELETE request that could not be sent or was not answered: it is sent again later.
    pub(super) fn handle_cancel_failure(&mut self, ctx: &mut Context<'_>, attempt: AttemptId) {
        if let Some(cancellation) = self.cancellations.0.get_mut(&attempt) {
            cancellation.failures = cancellation.failures.saturating_add(1);
            ctx.deadlines.set(cancel_due(attempt), ctx.now + retry_delay(cancellation.failures));
        }
    }
}

/// The deadline at which the DELETE request of a cancellation is sent.
fn cancel_due(attempt: AttemptId) -> Deadline {
    Deadline::CancelDue(attempt.request, attempt.number)
}
