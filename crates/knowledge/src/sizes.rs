//! How the sizes of jobs are spread: a sample of the last ones, and the bounds that it gives for ranges of workers.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Sizes remembered.
const SAMPLE: usize = 256;

/// The last sizes, as times on a standard core in microseconds, times the slots taken.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SizeSample {
    last: VecDeque<f64>,
    /// Sizes added since [`Sizes::bounds`] was last asked.
    #[serde(skip)]
    fresh: usize,
}

impl SizeSample {
    /// Remembers a size; tells whether so many are new, and `least` at the least, that bounds should be drawn anew.
    pub fn add(&mut self, size: f64, least: usize) -> bool {
        self.last.push_back(size);
        if self.last.len() > SAMPLE {
            self.last.pop_front();
        }
        self.fresh += 1;
        self.fresh * 2 >= self.last.len().max(least)
    }

    /// How many are remembered.
    pub fn len(&self) -> usize {
        self.last.len()
    }

    /// None is.
    pub fn is_empty(&self) -> bool {
        self.last.is_empty()
    }

    /// The upper sizes of ranges of these powers, so that each range gets work in the measure of its power; the last one
    /// is infinite.
    pub fn bounds(&mut self, powers: &[f64]) -> Vec<f64> {
        self.fresh = 0;
        let mut sizes: Vec<f64> = self.last.iter().copied().collect();
        sizes.sort_by(f64::total_cmp);
        let (work, all): (f64, f64) = (sizes.iter().sum(), powers.iter().sum());
        let mut bounds = Vec::with_capacity(powers.len());
        let (mut at, mut sum, mut share) = (0, 0.0, 0.0);
        for (nr, power) in powers.iter().enumerate() {
            share += power;
            while at < sizes.len() && sum + sizes[at] <= work * share / all {
                sum += sizes[at];
                at += 1;
            }
            let upper = sizes.get(at).or(sizes.last()).copied().unwrap_or(0.0);
            bounds.push(if nr + 1 == powers.len() { f64::INFINITY } else { upper });
        }
        bounds
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_range_gets_work_in_the_measure_of_its_power() {
        let mut sizes = SizeSample::default();
        (1..=100).for_each(|size| assert!(sizes.add(f64::from(size), 1)));
        let bounds = sizes.bounds(&[1.0, 1.0]);
        // Half of the 5,050 of work is in the jobs up to 70.
        assert!((69.0..=72.0).contains(&bounds[0]) && bounds[1] == f64::INFINITY, "{bounds:?}");
        assert_eq!(SizeSample::default().bounds(&[1.0, 2.0]), [0.0, f64::INFINITY]);
        assert!(SizeSample::default().bounds(&[]).is_empty());
    }

    #[test]
    fn new_bounds_are_due_when_half_of_the_sample_is_new_and_the_sample_is_bounded() {
        let mut sizes = SizeSample::default();
        let due: Vec<bool> = (0..16).map(|nr| sizes.add(f64::from(nr), 16)).collect();
        assert_eq!(due.iter().position(|&due| due), Some(7));
        sizes.bounds(&[1.0]);
        for nr in 0..1_000 {
            sizes.add(f64::from(nr), 16);
        }
        assert_eq!(sizes.len(), SAMPLE);
    }
}
