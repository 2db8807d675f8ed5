//! What a scheduler has spent of what the fleet shares since it started, and what was held back: counts for operators.

use crate::cold::Allowance;
use std::cell::Cell;

/// Counts since the start. What is counted while it is only looked at is counted in place.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// Jobs sent to workers that were cold.
    pub cold_jobs: u64,
    cold_barred: Cell<u64>,
    cold_foreign: Cell<u64>,
    /// Probes asked for.
    pub probes: u64,
    /// Messages to other schedulers; one to all counts once.
    pub messages: u64,
    /// Calls for the list, and for a watch on it.
    pub list_calls: u64,
}

impl Usage {
    /// Notes how a look at a cold worker for a job ended, and gives it on.
    pub fn count_allowance(&self, allowance: Allowance) -> Allowance {
        let count = match allowance {
            Allowance::Yes => return allowance,
            Allowance::NotASender => &self.cold_foreign,
            Allowance::OverSenderShare | Allowance::OverPool => &self.cold_barred,
        };
        count.set(count.get() + 1);
        allowance
    }

    /// The counts by the names that operators see.
    pub fn figures(&self) -> [(&'static str, u64); 6] {
        [
            ("fleet.cold.jobs", self.cold_jobs),
            ("fleet.cold.held_by_budget", self.cold_barred.get()),
            ("fleet.cold.left_to_others", self.cold_foreign.get()),
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
    fn what_the_budget_held_back_is_counted_apart_from_what_is_others_to_send() {
        let spending = Usage::default();
        for allowance in
            [Allowance::Yes, Allowance::OverSenderShare, Allowance::OverPool, Allowance::NotASender]
        {
            assert_eq!(spending.count_allowance(allowance), allowance);
        }
        let count = |name| spending.figures().iter().find(|figure| figure.0 == name).map(|figure| figure.1);
        assert_eq!(count("fleet.cold.held_by_budget"), Some(2));
        assert_eq!(count("fleet.cold.left_to_others"), Some(1));
    }
}
