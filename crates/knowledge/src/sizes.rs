//! Distribution of job sizes: a sample of recent sizes, and the bounds of size ranges that follow from it.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Maximum number of sizes in the sample.
const SAMPLE_SIZE: usize = 256;

/// Sample of recent job sizes. A size is the run time on a standard core in microseconds, times the slots of the job.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SizeSample {
    sizes: VecDeque<f64>,
    /// Number of sizes added since the last call of [`SizeSample::bounds`].
    #[serde(skip)]
    added: usize,
}

impl SizeSample {
    /// Adds a size. Returns whether the bounds should be computed again: when at least half of the sample is new,
    /// counting a sample of fewer than `min_sample` sizes as one of `min_sample`.
    pub fn add(&mut self, size: f64, min_sample: usize) -> bool {
        self.sizes.push_back(size);
        if self.sizes.len() > SAMPLE_SIZE {
            self.sizes.pop_front();
        }
        self.added += 1;
        self.added * 2 >= self.sizes.len().max(min_sample)
    }

    /// Returns the number of sizes in the sample.
    pub fn len(&self) -> usize {
        self.sizes.len()
    }

    /// Returns whether the sample is empty.
    pub fn is_empty(&self) -> bool {
        self.sizes.is_empty()
    }

    /// Returns the upper bounds of size ranges, one for each entry of `powers`, so that the work in a range is
    /// proportional to the processing power of its workers. The last bound is infinite.
    pub fn bounds(&mut self, powers: &[f64]) -> Vec<f64> {
        self.added = 0;
        let mut sizes: Vec<f64> = self.sizes.iter().copied().collect();
        sizes.sort_by(f64::total_cmp);
        let (total_work, total_power): (f64, f64) = (sizes.iter().sum(), powers.iter().sum());
        let mut bounds = Vec::with_capacity(powers.len());
        let (mut next, mut work_below, mut power_below) = (0, 0.0, 0.0);
        for (range, power) in powers.iter().enumerate() {
            power_below += power;
            while next < sizes.len() && work_below + sizes[next] <= total_work * power_below / total_power {
                work_below += sizes[next];
                next += 1;
            }
            let upper = sizes.get(next).or(sizes.last()).copied().unwrap_or(0.0);
            bounds.push(if range + 1 == powers.len() { f64::INFINITY } else { upper });
        }
        bounds
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn work_in_each_range_is_proportional_to_its_power() {
        let mut sizes = SizeSample::default();
        (1..=100).for_each(|size| assert!(sizes.add(f64::from(size), 1)));
        let bounds = sizes.bounds(&[1.0, 1.0]);
        // The jobs of sizes up to about 70 hold half of the total work of 5,050.
        assert!((69.0..=72.0).contains(&bounds[0]) && bounds[1] == f64::INFINITY, "{bounds:?}");
        assert_eq!(SizeSample::default().bounds(&[1.0, 2.0]), [0.0, f64::INFINITY]);
        assert!(SizeSample::default().bounds(&[]).is_empty());
    }

    #[test]
    fn new_bounds_are_due_when_half_of_the_sample_is_new_and_the_sample_is_bounded() {
        let mut sizes = SizeSample::default();
        let due: Vec<bool> = (0..16).map(|size| sizes.add(f64::from(size), 16)).collect();
        assert_eq!(due.iter().position(|&due| due), Some(7));
        sizes.bounds(&[1.0]);
        for size in 0..1_000 {
            sizes.add(f64::from(size), 16);
        }
        assert_eq!(sizes.len(), SAMPLE_SIZE);
    }
}
