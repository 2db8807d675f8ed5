//! The clock.

use calicolb::api::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time that never goes back, in microseconds: the one clock of the program, the module's too.
pub struct Clock {
    unix: Micros,
    from: Instant,
}

impl Clock {
    /// Begins at the system's time.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { unix: unix.as_micros() as Micros, from: Instant::now() }
    }

    /// Microseconds since 1970.
    pub fn now(&self) -> Micros {
        self.unix + self.from.elapsed().as_micros() as Micros
    }
}
