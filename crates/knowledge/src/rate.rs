//! How much comes in a second, the last ten seconds or so counting most.

use crate::Micros;
use serde::{Deserialize, Serialize};

const SPAN: f64 = 10.0;

/// A rate that fades while nothing comes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Rate {
    per_s: f64,
    at: Micros,
}

impl Rate {
    /// Nothing has come yet.
    pub fn new(now: Micros) -> Self {
        Rate { per_s: 0.0, at: now }
    }

    /// So much has come.
    pub fn add(&mut self, now: Micros, amount: f64) {
        let gone = now.saturating_sub(self.at) as f64 / 1e6;
        self.per_s = self.per_s * (-gone / SPAN).exp() + amount / SPAN;
        self.at = now;
    }

    /// Its times are of a clock that is so far behind the one that counts from now on (microseconds).
    pub fn shift(&mut self, by: i64) {
        self.at = self.at.saturating_add_signed(by);
    }

    /// What came a second, when something last came.
    pub fn per_s(&self) -> f64 {
        self.per_s
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_steady_stream_is_measured_and_fades() {
        let mut rate = Rate::new(0);
        (1..=1_000).for_each(|nr| rate.add(nr * 100_000, 5.0));
        assert!((rate.per_s() - 50.0).abs() < 2.0, "{}", rate.per_s());
        rate.add(200_000_000, 0.0);
        assert!(rate.per_s() < 0.01);
    }
}
