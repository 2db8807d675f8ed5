//! Model of a class of jobs: the size of its jobs, and the accuracy of their hints.

use serde::{Deserialize, Serialize};

/// Maximum size that is estimated for a job, as run time on a standard core in microseconds.
const MAX_SIZE: f64 = 3600.0 * 1e6;

/// Model of a class. Sizes and hints are run times on a standard core, in microseconds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClassModel {
    /// Mean natural logarithm of the ratio of size to hint.
    ln_ratio: f64,
    /// Mean absolute error of the corrected hint, as a natural logarithm.
    #[serde(rename = "spread")]
    mean_error: f64,
    /// Number of jobs that the model was learned from.
    #[serde(rename = "seen")]
    jobs_seen: f64,
    /// Mean size.
    mean_size: f64,
}

/// Returns the hint if it is a finite positive number.
fn usable_hint(hint: Option<f64>) -> Option<f64> {
    hint.filter(|hint| hint.is_finite() && *hint > 0.0)
}

/// Returns the weight of a new job in a running mean, after `seen` jobs and at least `min`.
fn gain(seen: f64, min: f64) -> f64 {
    (1.0 / (seen + 2.0)).max(min)
}

impl ClassModel {
    /// Estimates the size of a job: from its hint, else from the mean size, else `default`.
    pub fn estimate(&self, hint: Option<f64>, default: f64) -> f64 {
        let size = match usable_hint(hint) {
            Some(hint) => hint * self.ln_ratio.exp(),
            None if self.mean_size > 0.0 => self.mean_size,
            None => default,
        };
        size.clamp(1.0, MAX_SIZE)
    }

    /// Returns a plausible lower bound of a size, as a fraction of the estimated size.
    pub fn lower_bound_factor(&self) -> f64 {
        (-self.mean_error).exp()
    }

    /// Learns from a job of this size. If the job had a usable hint, returns the natural logarithm of the size divided
    /// by the corrected hint, limited to the range from -1 to 1.
    pub fn learn(&mut self, size: f64, hint: Option<f64>) -> Option<f64> {
        let seen = self.jobs_seen;
        self.mean_size += (size - self.mean_size) * gain(seen, 0.05);
        self.jobs_seen += 1.0;
        let error = ((size / usable_hint(hint)?).ln() - self.ln_ratio).clamp(-1.0, 1.0);
        self.ln_ratio += error * gain(seen, 0.03);
        self.mean_error += (error.abs() - self.mean_error) * gain(seen + 4.0, 0.05);
        Some(error)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn wrong_hints_are_corrected_and_the_mean_replaces_a_missing_hint() {
        let mut model = ClassModel::default();
        assert_eq!(model.estimate(None, 700.0), 700.0);
        for _ in 0..200 {
            model.learn(2_000.0, Some(1_000.0));
        }
        assert!((model.estimate(Some(500.0), 1.0) - 1_000.0).abs() < 20.0);
        assert!((model.estimate(None, 1.0) - 2_000.0).abs() < 1.0);
        assert!(model.lower_bound_factor() > 0.95, "corrected hints must have almost no error");
    }

    #[test]
    fn unusable_hints_are_ignored_and_one_extreme_job_has_a_limited_effect() {
        let mut model = ClassModel::default();
        for _ in 0..100 {
            for hint in [f64::NAN, f64::INFINITY, -3.0, 0.0] {
                assert_eq!(model.learn(1_000.0, Some(hint)), None);
            }
        }
        for hint in [f64::NAN, f64::INFINITY, -3.0, 0.0] {
            assert!((model.estimate(Some(hint), 1.0) - 1_000.0).abs() < 1.0);
        }
        assert_eq!(model.estimate(Some(1e300), 1.0), MAX_SIZE);
        assert_eq!(model.learn(1e12, Some(1.0)), Some(1.0), "the error must be limited to 1");
    }
}
