//! The clock.

use calicolb::api::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// For tests only: the clock begins so many seconds ahead of the system's time, or behind it, as if that had been stepped.
const TEST_STEP: &str = "CALICOLB_TEST_CLOCK_STEP_S";

/// Unix time that never goes back, in microseconds: the one clock of the program, the module's too.
pub struct Clock {
    unix: Micros,
    from: Instant,
}

impl Clock {
    /// Begins at the system's time.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        let step = std::env::var(TEST_STEP).ok().and_then(|seconds| seconds.parse::<i64>().ok()).unwrap_or(0);
        let unix = (unix.as_micros() as Micros).saturating_add_signed(step.saturating_mul(1_000_000));
        Clock { unix, from: Instant::now() }
    }

    /// Microseconds since 1970.
    pub fn now(&self) -> Micros {
        self.unix + self.from.elapsed().as_micros() as Micros
    }
}
