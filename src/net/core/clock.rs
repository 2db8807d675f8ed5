//! The clock of the process.

use calicolb::api::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Environment variable, for tests only: number of seconds by which the clock starts ahead of the system time
/// (negative: behind it), to simulate a stepped system clock.
const TEST_STEP: &str = "CALICOLB_TEST_CLOCK_STEP_S";

/// Monotonic clock that counts Unix time in microseconds. It is the only clock of the program and gives the times that
/// the decision module sees.
pub struct Clock {
    unix_at_start: Micros,
    started: Instant,
}

impl Clock {
    /// Starts the clock at the current system time.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        let step = std::env::var(TEST_STEP).ok().and_then(|seconds| seconds.parse::<i64>().ok()).unwrap_or(0);
        let unix = (unix.as_micros() as Micros).saturating_add_signed(step.saturating_mul(1_000_000));
        Clock { unix_at_start: unix, started: Instant::now() }
    }

    /// Microseconds since the Unix epoch.
    pub fn now(&self) -> Micros {
        self.unix_at_start + self.started.elapsed().as_micros() as Micros
    }
}
