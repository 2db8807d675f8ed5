//! How long a kept connection to a worker may rest before it is used again.

use calicolb::api::Micros;

const MILLI: Micros = 1_000;
/// Idle connections are closed this long before the worker's own idle timeout, in microseconds. The answer
/// that started the idle period and the next request each spend part of this time on the network.
const IDLE_MARGIN: Micros = 300 * MILLI;
/// Time after which a lowered idle limit is doubled, in microseconds, if it was not lowered again during that
/// time.
const RECOVERY_INTERVAL: Micros = 60_000 * MILLI;
/// Smallest idle limit, in microseconds. If a connection breaks after a shorter idle time, the idle time is
/// not taken as the cause.
const MIN_IDLE_LIMIT: Micros = 50 * MILLI;
/// Share of kept connections that must break under a request, in a moving average over about the last ten,
/// before the idle limit is lowered. Breaks also occur for other reasons, and opening a connection per
/// request would cost more than those breaks.
const MAX_BREAK_RATE: f64 = 0.25;

/// Longest time for which a connection may be idle and still be reused. A middlebox may drop idle connections
/// long before the configured idle timeout, and this shows only when the next request is written. That
/// request may then have run, and it is lost if it must not run twice.
pub(super) struct IdleLimit {
    limit: Micros,
    max: Micros,
    /// Moving average of the share of kept connections that broke under a request.
    break_rate: f64,
    /// Time at which `limit` was last changed, in microseconds.
    changed_at: Micros,
}

impl IdleLimit {
    /// A limit that starts at its upper bound, in microseconds.
    pub(super) fn new(max: Micros) -> Self {
        IdleLimit { limit: max, max, break_rate: 0.0, changed_at: 0 }
    }

    /// Sets the upper bound of the limit, in microseconds. A limit that breaks have lowered stays lowered.
    pub(super) fn set_max(&mut self, max: Micros) {
        let lowered = self.limit < self.max;
        self.limit = if lowered { self.limit.min(max) } else { max };
        self.max = max;
    }

    /// The limit that is in force, in microseconds.
    pub(super) fn current(&mut self, now: Micros) -> Micros {
        if self.limit < self.max && now > self.changed_at + RECOVERY_INTERVAL {
            (self.limit, self.changed_at) = ((self.limit * 2).min(self.max), now);
        }
        self.limit
    }

    /// Records that a connection which had been idle for `idle` microseconds brought an answer.
    pub(super) fn record_success(&mut self, idle: Micros) {
        if idle >= MIN_IDLE_LIMIT {
            self.break_rate *= 0.9;
        }
    }

    /// Records that a connection which had been idle for `idle` microseconds broke under a request.
    pub(super) fn record_break(&mut self, now: Micros, idle: Micros) {
        if idle >= MIN_IDLE_LIMIT {
            self.break_rate += (1.0 - self.break_rate) * 0.1;
            if self.break_rate > MAX_BREAK_RATE {
                // The new limit is half of the idle time after which the connection broke, so a few breaks
                // bring the limit down to a safe value.
                (self.limit, self.changed_at) = (self.limit.min(idle / 2).max(MIN_IDLE_LIMIT), now);
            }
        }
    }
}

/// The idle limit of connections that the worker closes after `worker_idle_timeout`, in microseconds.
pub(super) fn idle_limit_for(worker_idle_timeout: Micros) -> Micros {
    worker_idle_timeout.saturating_sub(IDLE_MARGIN).max(worker_idle_timeout / 2)
}

#[cfg(test)]
mod tests;
