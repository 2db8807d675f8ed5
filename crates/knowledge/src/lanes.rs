//! How many jobs a kind of worker runs at once, where its workers report no free slots but tell when a job starts.
//!
//! What ran at once is certain. That no more could have is seen when a job had to wait while so many ran; until then
//! one more is tried. Jobs of others run there too, so that a wait may have had another cause: a larger number that is
//! seen to run later sets that right.

use serde::{Deserialize, Serialize};

/// See the head of this file.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LaneCount {
    most: usize,
    capped: bool,
}

impl LaneCount {
    /// Lanes to reckon with: those seen at work, and one more as long as none was seen to be too many.
    pub fn lanes(&self) -> usize {
        self.most + usize::from(!self.capped)
    }

    /// A job has started, beside which so many run there now, itself included; it had to wait for that, or not.
    pub fn record_start(&mut self, running: usize, waited: bool) {
        if running > self.most {
            (self.most, self.capped) = (running, false);
        } else if waited && running == self.most {
            self.capped = true;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lanes_grow_with_what_runs_at_once_and_stop_where_a_job_had_to_wait() {
        let mut count = LaneCount::default();
        assert_eq!(count.lanes(), 1);
        count.record_start(1, false);
        assert_eq!(count.lanes(), 2);
        count.record_start(2, false);
        // A third had to wait until one of the two had ended.
        count.record_start(2, true);
        count.record_start(2, true);
        assert_eq!(count.lanes(), 2);
    }

    #[test]
    fn a_wait_that_anothers_jobs_caused_is_set_right_by_what_runs_later() {
        let mut count = LaneCount::default();
        count.record_start(1, false);
        count.record_start(1, true);
        assert_eq!(count.lanes(), 1);
        count.record_start(2, true);
        assert_eq!(count.lanes(), 3);
        count.record_start(1, true);
        assert_eq!(count.lanes(), 3, "fewer at work than were seen before say nothing");
    }
}
