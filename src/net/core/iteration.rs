//! Duration of the iterations of an event loop. While an iteration runs, no deadline, callback, signal or new request is
//! seen, so its duration bounds how late the process reacts.

use std::time::{Duration, Instant};

/// Longest duration that an iteration may have. The operators allow each time limit 50 ms more on sockets.
pub const LONGEST_ITERATION: Duration = Duration::from_millis(50);

/// Time of an iteration after which no further connection gets a turn: a fifth of [`LONGEST_ITERATION`]. The rest is for
/// the deadlines, the decisions and their commands.
pub const INPUT_TIME: Duration = Duration::from_millis(10);
/// Time after which a listener accepts no further connection in an iteration: a tenth of [`LONGEST_ITERATION`].
pub const ACCEPT_TIME: Duration = Duration::from_millis(5);
/// Maximum number of messages that one connection may have processed in one turn. A turn then takes well under 1 ms.
pub const MAX_MESSAGES_PER_TURN: usize = 16;

/// Measures the iterations of an event loop.
#[derive(Debug, Default)]
pub struct IterationStatistics {
    longest: Duration,
    slow: u64,
}

impl IterationStatistics {
    /// Records an iteration that began at `started` and ends now. Returns its duration if it was longer than
    /// [`LONGEST_ITERATION`].
    pub fn record(&mut self, started: Instant) -> Option<Duration> {
        let duration = started.elapsed();
        self.longest = self.longest.max(duration);
        let too_long = duration > LONGEST_ITERATION;
        self.slow += u64::from(too_long);
        too_long.then_some(duration)
    }

    /// Metrics by name: the longest duration in microseconds, and the number of iterations longer than
    /// [`LONGEST_ITERATION`], both since the start of the process.
    pub fn metrics(&self) -> [(&'static str, u64); 2] {
        [
            ("event_loop.longest_iteration_us", self.longest.as_micros() as u64),
            ("event_loop.slow_iterations", self.slow),
        ]
    }
}
