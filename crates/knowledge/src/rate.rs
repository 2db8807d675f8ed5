//! Rate of an amount per second, averaged over about the last ten seconds.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// Time constant of the average, in seconds.
const TIME_CONSTANT_S: f64 = 10.0;

/// Exponentially weighted average of an amount per second.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Rate {
    /// Average at `updated_at`.
    per_s: f64,
    /// Time of the last update.
    #[serde(rename = "at")]
    updated_at: Micros,
}

impl Rate {
    /// Creates a rate of 0.
    pub fn new(now: Micros) -> Self {
        Rate { per_s: 0.0, updated_at: now }
    }

    /// Adds an amount that has arrived at `now`.
    pub fn add(&mut self, now: Micros, amount: f64) {
        let elapsed = now.saturating_sub(self.updated_at) as f64 / 1e6;
        self.per_s = self.per_s * (-elapsed / TIME_CONSTANT_S).exp() + amount / TIME_CONSTANT_S;
        self.updated_at = now;
    }

    /// Converts the time to a clock that is `by` microseconds ahead of the clock that it was taken from.
    pub fn shift(&mut self, by: i64) {
        self.updated_at = self.updated_at.saturating_add_signed(by);
    }

    /// Returns the rate at the time of the last update.
    pub fn per_s(&self) -> f64 {
        self.per_s
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rate_follows_a_steady_stream_and_decays_without_one() {
        let mut rate = Rate::new(0);
        (1..=1_000).for_each(|nr| rate.add(nr * 100_000, 5.0));
        assert!((rate.per_s() - 50.0).abs() < 2.0, "{}", rate.per_s());
        rate.add(200_000_000, 0.0);
        assert!(rate.per_s() < 0.01);
    }
}
