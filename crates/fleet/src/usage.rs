//! Counters for operators: a scheduler's use of resources that the fleet shares, since its start, and the sends to cold
//! workers that were held back.

use crate::cold::Allowance;
use std::cell::Cell;

/// Counters since the start. The counts of held-back sends are in cells, since the check of a worker has only a shared
/// reference.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// Jobs sent to cold workers.
    pub cold_jobs: u64,
    /// Checks of a cold worker that failed because of its budget.
    cold_over_budget: Cell<u64>,
    /// Checks of a cold worker that failed because this scheduler is not a sender for it.
    cold_not_sender: Cell<u64>,
    /// Probes requested.
    pub probes: u64,
    /// Messages to other schedulers; a message to all counts once.
    pub messages: u64,
    /// Calls for the worker list, and for a watch on it.
    pub list_calls: u64,
}

impl Usage {
    /// Counts the result of checking a cold worker for a job, and returns the result.
    pub fn count_allowance(&self, allowance: Allowance) -> Allowance {
        let count = match allowance {
            Allowance::Yes => return allowance,
            Allowance::NotASender => &self.cold_not_sender,
            Allowance::OverSenderShare | Allowance::OverPool => &self.cold_over_budget,
        };
        count.set(count.get() + 1);
        allowance
    }

    /// Returns the counters with their metric names.
    pub fn figures(&self) -> [(&'static str, u64); 6] {
        [
            ("fleet.cold.jobs", self.cold_jobs),
            ("fleet.cold.held_by_budget", self.cold_over_budget.get()),
            ("fleet.cold.left_to_others", self.cold_not_sender.get()),
            ("fleet.probes", self.probes),
            ("fleet.messages", self.messages),
            ("fleet.list_calls", self.list_calls),
        ]
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn budget_limits_and_other_senders_have_separate_counters() {
        let usage = Usage::default();
        for allowance in
            [Allowance::Yes, Allowance::OverSenderShare, Allowance::OverPool, Allowance::NotASender]
        {
            assert_eq!(usage.count_allowance(allowance), allowance);
        }
        let count = |name| usage.figures().iter().find(|figure| figure.0 == name).map(|figure| figure.1);
        assert_eq!(count("fleet.cold.held_by_budget"), Some(2));
        assert_eq!(count("fleet.cold.left_to_others"), Some(1));
    }
}
