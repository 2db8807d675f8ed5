//! How large the jobs of a class are, and what their hints are worth.

use serde::{Deserialize, Serialize};

/// The longest time that any job is taken to need on a standard core, in microseconds.
const LONGEST: f64 = 3600.0 * 1e6;

/// What is known of a class. Sizes are times on a standard core, in microseconds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClassModel {
    /// The natural logarithm of what jobs need, as a part of their hints.
    ln_ratio: f64,
    /// The mean error of the hint, in logarithms.
    spread: f64,
    seen: f64,
    mean_size: f64,
}

/// A hint that says something.
fn usable(hint: Option<f64>) -> Option<f64> {
    hint.filter(|hint| hint.is_finite() && *hint > 0.0)
}

fn gain(seen: f64, least: f64) -> f64 {
    (1.0 / (seen + 2.0)).max(least)
}

impl ClassModel {
    /// The size of a job with this hint; where nothing tells, `guess`.
    pub fn estimate(&self, hint: Option<f64>, guess: f64) -> f64 {
        let size = match usable(hint) {
            Some(hint) => hint * self.ln_ratio.exp(),
            None if self.mean_size > 0.0 => self.mean_size,
            None => guess,
        };
        size.clamp(1.0, LONGEST)
    }

    /// What a size may well be instead, as a part of it.
    pub fn lower_bound_factor(&self) -> f64 {
        (-self.spread).exp()
    }

    /// Learns from a job that was this large; where it had a hint, gives by how much, in logarithms, it was larger than
    /// that said, one at most.
    pub fn learn(&mut self, size: f64, hint: Option<f64>) -> Option<f64> {
        let seen = self.seen;
        self.mean_size += (size - self.mean_size) * gain(seen, 0.05);
        self.seen += 1.0;
        let error = ((size / usable(hint)?).ln() - self.ln_ratio).clamp(-1.0, 1.0);
        self.ln_ratio += error * gain(seen, 0.03);
        self.spread += (error.abs() - self.spread) * gain(seen + 4.0, 0.05);
        Some(error)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn hints_that_are_off_by_a_factor_are_corrected_and_without_one_the_mean_serves() {
        let mut model = ClassModel::default();
        assert_eq!(model.estimate(None, 700.0), 700.0);
        for _ in 0..200 {
            model.learn(2_000.0, Some(1_000.0));
        }
        assert!((model.estimate(Some(500.0), 1.0) - 1_000.0).abs() < 20.0);
        assert!((model.estimate(None, 1.0) - 2_000.0).abs() < 1.0);
        assert!(model.lower_bound_factor() > 0.95, "the hints are sure, once corrected");
    }

    #[test]
    fn absurd_hints_and_one_absurd_job_change_little() {
        let mut model = ClassModel::default();
        for _ in 0..100 {
            for hint in [f64::NAN, f64::INFINITY, -3.0, 0.0] {
                assert_eq!(model.learn(1_000.0, Some(hint)), None);
            }
        }
        for hint in [f64::NAN, f64::INFINITY, -3.0, 0.0] {
            assert!((model.estimate(Some(hint), 1.0) - 1_000.0).abs() < 1.0);
        }
        assert_eq!(model.estimate(Some(1e300), 1.0), LONGEST);
        assert_eq!(model.learn(1e12, Some(1.0)), Some(1.0), "no more than one step");
    }
}
