//! Number of jobs that a kind of worker runs at once (its lanes), for workers that report no free slots but report the
//! start of a job.
//!
//! The largest number of jobs seen running at once is a certain lower bound. It is taken as the exact number once a job
//! had to wait while this number ran; until then, one more lane is assumed. Jobs of other schedulers run at the worker
//! too, so a wait may have had another cause: a larger number that is later seen running corrects the estimate.

use serde::{Deserialize, Serialize};

/// Estimated number of lanes of a kind of worker. The module documentation describes the estimate.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LaneCount {
    /// Largest number of jobs seen running at once.
    #[serde(rename = "most")]
    max_running: usize,
    /// True if a job had to wait while `max_running` jobs ran.
    #[serde(rename = "capped")]
    is_exact: bool,
}

impl LaneCount {
    /// Returns the number of lanes to assume: the largest number of jobs seen running at once, plus one unless that
    /// number is known to be exact.
    pub fn lanes(&self) -> usize {
        self.max_running + usize::from(!self.is_exact)
    }

    /// Records the start of a job. `running` is the number of jobs that now run at the worker, this one included.
    /// `waited`: the job had to wait for its start.
    pub fn record_start(&mut self, running: usize, waited: bool) {
        if running > self.max_running {
            (self.max_running, self.is_exact) = (running, false);
        } else if waited && running == self.max_running {
            self.is_exact = true;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lanes_grow_with_running_jobs_until_a_job_has_to_wait() {
        let mut count = LaneCount::default();
        assert_eq!(count.lanes(), 1);
        count.record_start(1, false);
        assert_eq!(count.lanes(), 2);
        count.record_start(2, false);
        // A third job had to wait until one of the two ended.
        count.record_start(2, true);
        count.record_start(2, true);
        assert_eq!(count.lanes(), 2);
    }

    #[test]
    fn wait_caused_by_other_schedulers_is_corrected_by_a_larger_number_of_running_jobs() {
        let mut count = LaneCount::default();
        count.record_start(1, false);
        count.record_start(1, true);
        assert_eq!(count.lanes(), 1);
        count.record_start(2, true);
        assert_eq!(count.lanes(), 3);
        count.record_start(1, true);
        assert_eq!(
            count.lanes(),
            3,
            "a wait with fewer running jobs than the maximum must not change the count"
        );
    }
}
