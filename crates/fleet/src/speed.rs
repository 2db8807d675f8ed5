//! How fast a worker is, learned by several schedulers together.
//!
//! A scheduler of hundreds runs a job at a worker every few seconds, and its clients' hints are rough: alone it learns a
//! worker's speed in minutes. Those that share a worker tell each other what each job shows, and all learn from each.

use serde::{Deserialize, Serialize};

/// The most that one job may be off by, in logarithms: one that ran into a pause tells little of the speed.
const FARTHEST: f64 = 1.0;

/// The natural logarithm of a speed, and how much it is founded on.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Speed {
    /// The logarithm, 0 for a standard core.
    pub ln: f64,
    /// Jobs that it was learned from.
    pub seen: f64,
}

impl Speed {
    /// A job took `error` longer, in logarithms, than the speed says. The estimate counts as much as `prior` jobs at
    /// first, and as `most` jobs at last, so that it follows a worker that changes.
    pub fn learn(&mut self, error: f64, prior: f64, most: f64) {
        if error.is_finite() {
            self.ln -= error.clamp(-FARTHEST, FARTHEST) / (self.seen + prior).min(most);
            self.seen += 1.0;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn eight_that_tell_each_other_know_a_slow_worker_before_one_alone_has_begun_to() {
        // A worker at half speed; each scheduler runs one job there, with hints off by a third either way.
        let jobs = [0.3, -0.3, 0.3, -0.3, 0.3, -0.3, 0.3, -0.3];
        let learn = |count: usize| {
            let mut speed = Speed::default();
            for noise in &jobs[..count] {
                speed.learn(speed.ln - (0.5_f64.ln() + noise), 4.0, 10.0);
            }
            speed.ln.exp()
        };
        assert!(learn(1) > 0.85, "{}", learn(1));
        assert!(learn(8) < 0.68, "{}", learn(8));
    }

    #[test]
    fn no_single_word_moves_it_far_and_none_makes_it_no_number() {
        let mut speed = Speed::default();
        speed.learn(f64::NAN, 4.0, 10.0);
        speed.learn(f64::INFINITY, 4.0, 10.0);
        assert_eq!((speed.ln, speed.seen), (0.0, 0.0));
        speed.learn(1e9, 4.0, 10.0);
        assert_eq!(speed.ln, -0.25);
    }
}
