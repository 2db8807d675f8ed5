//! Speed of a worker, learned by several schedulers together.
//!
//! In a fleet of hundreds, one scheduler runs a job at a worker only every few seconds, and its clients' hints are
//! inaccurate, so alone it would need minutes to learn a worker's speed. Schedulers that share a worker send each other
//! the speed that each job shows, and all of them learn from it.

use serde::{Deserialize, Serialize};

/// Limit of the error of one job, as a natural logarithm. A larger error is cut off, since a job that was delayed by a
/// pause of the worker says little about its speed.
const MAX_ERROR: f64 = 1.0;

/// Estimate of a speed, and the number of jobs that it is based on.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Speed {
    /// Natural logarithm of the speed; 0 for a standard core.
    pub ln: f64,
    /// Number of jobs that it was learned from.
    pub seen: f64,
}

impl Speed {
    /// Learns from a job. `error` is the natural logarithm of its run time divided by the run time at the estimated
    /// speed. The estimate has the weight of `prior` jobs at first, and of at most `max_weight` jobs later, so that it
    /// follows a worker whose speed changes.
    pub fn learn(&mut self, error: f64, prior: f64, max_weight: f64) {
        if error.is_finite() {
            self.ln -= error.clamp(-MAX_ERROR, MAX_ERROR) / (self.seen + prior).min(max_weight);
            self.seen += 1.0;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn eight_jobs_show_a_slow_worker_better_than_one_job() {
        // A worker at half speed. Each of 8 schedulers runs one job there, with hints that are off by about a third.
        let errors = [0.3, -0.3, 0.3, -0.3, 0.3, -0.3, 0.3, -0.3];
        let learn = |count: usize| {
            let mut speed = Speed::default();
            for noise in &errors[..count] {
                speed.learn(speed.ln - (0.5_f64.ln() + noise), 4.0, 10.0);
            }
            speed.ln.exp()
        };
        assert!(learn(1) > 0.85, "{}", learn(1));
        assert!(learn(8) < 0.68, "{}", learn(8));
    }

    #[test]
    fn one_job_has_a_limited_effect_and_non_finite_errors_are_ignored() {
        let mut speed = Speed::default();
        speed.learn(f64::NAN, 4.0, 10.0);
        speed.learn(f64::INFINITY, 4.0, 10.0);
        assert_eq!((speed.ln, speed.seen), (0.0, 0.0));
        speed.learn(1e9, 4.0, 10.0);
        assert_eq!(speed.ln, -0.25);
    }
}
