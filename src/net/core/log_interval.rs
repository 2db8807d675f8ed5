//! Limit on a log line that would repeat many times a second, so that it does not use up the lines of the others.

use calicolb::api::Micros;

/// Minimum time between two such lines, in microseconds.
const INTERVAL: Micros = 1_000_000;

/// Tells when a line that may repeat is due again.
#[derive(Debug, Default)]
pub struct LogInterval {
    last_logged: Option<Micros>,
}

impl LogInterval {
    /// Returns true if the line has not been logged within the last second, and records that it is logged now.
    pub fn is_due(&mut self, now: Micros) -> bool {
        let is_due = self.last_logged.is_none_or(|last_logged| now >= last_logged + INTERVAL);
        if is_due {
            self.last_logged = Some(now);
        }
        is_due
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against a repeated line that takes the place of all others in the log of a second.
    #[test]
    fn line_is_due_once_a_second() {
        let mut interval = LogInterval::default();
        let due = (0..3 * INTERVAL).step_by(20_000).filter(|&now| interval.is_due(now)).count();
        assert_eq!(due, 3);
    }
}
